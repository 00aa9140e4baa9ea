"""The store client, tested against a server with the platform's protocol."""

import threading
import time

import pytest

from buckthornrock.platform.store_client import open_store
from buckthornrock.store.kv_port import (
    CommitConflict,
    CommitDone,
    CommitNotDone,
    Compare,
    Delete,
    Put,
    Transaction,
    payload,
)
from buckthornrock.store.store_watcher import Listener, StoreWatcher, WatchControl
from buckthornrock.telemetry import Telemetry, open_log, open_metrics
from tests.platform.store_server import StoreServer

TELEMETRY = Telemetry(open_log(None), open_metrics("", 0, ""))


@pytest.fixture
def server():
    server = StoreServer()
    yield server
    server.close()


@pytest.fixture
def store(server):
    return open_store(server.address, TELEMETRY, lambda: time.monotonic() * 1000.0)


def test_written_keys_are_read_back(store):
    outcome = store.commit(Transaction((Compare("a", 0),), (Put("a", b"1"),)))
    assert isinstance(outcome, CommitDone)
    entry = store.get("a").ok
    assert (payload(entry), entry.mod_revision) == (b"1", outcome.revision)
    assert store.get("b").ok is None


def test_conflict_returns_the_current_entries(store, server):
    server.write("a", b"x" * 20)
    outcome = store.commit(Transaction((Compare("a", 0),), (Put("a", b"1"),)))
    assert isinstance(outcome, CommitConflict)
    assert [entry.key for entry in outcome.entries] == ["a"]


@pytest.mark.parametrize("status", [429, 503])
def test_refused_write_is_not_done(store, server, status):
    server.faults = [status]
    outcome = store.commit(Transaction((Compare("a", 0),), (Put("a", b"1"),)))
    assert isinstance(outcome, CommitNotDone)
    assert store.get("a").ok is None


def test_write_whose_response_was_lost_is_read_back(store, server):
    server.faults = ["lose"]
    outcome = store.commit(Transaction((Compare("a", 0),), (Put("a", b"1"),)))
    assert isinstance(outcome, CommitDone)
    assert outcome.revision == server.items["a"]["rev"]


def test_write_with_a_revoked_lease_is_not_done(store):
    lease = store.grant_lease(3.0).ok
    store.revoke_lease(lease.lease_id)
    put = Put("a", b"1", lease.lease_id)
    assert isinstance(store.commit(Transaction((), (put,))), CommitNotDone)
    assert store.keep_alive(lease.lease_id).error.code == "lease-gone"


def test_keys_are_removed_with_their_lease(store):
    lease = store.grant_lease(3.0).ok
    store.commit(Transaction((), (Put("a", b"1", lease.lease_id), Put("b", b"2"))))
    assert store.keep_alive(lease.lease_id).ok == 3.0
    store.revoke_lease(lease.lease_id)
    assert store.get("a").ok is None
    assert store.get("b").ok is not None


def test_keys_are_removed(store, server):
    server.write("a", b"x")
    store.commit(Transaction((), (Delete("a"),)))
    assert store.get("a").ok is None


def test_snapshot_reads_every_page(store, server):
    for number in range(10):
        server.write(f"p/{number}", b"x")
    server.write("q/0", b"x")
    snapshot = store.snapshot("p/").ok
    assert [entry.key for entry in snapshot.entries] == [f"p/{n}" for n in range(10)]


def test_unreachable_store_is_unavailable(server):
    store = open_store("127.0.0.1:1", TELEMETRY, lambda: time.monotonic() * 1000.0)
    assert store.get("a").error.code == "kv-unavailable"
    assert store.snapshot("a").error.code == "kv-unavailable"
    outcome = store.commit(Transaction((), (Put("a", b"1"),)))
    assert isinstance(outcome, CommitNotDone)


def control():
    is_wanted = threading.Event()
    is_wanted.set()
    return WatchControl(is_wanted, lambda: 0, lambda: 1)


class Recorder:
    """A listener that holds the keys as a watcher reports them."""

    def __init__(self):
        self.keys = {}
        self.n_lost = 0
        self.n_snapshots = 0
        self.changed = threading.Condition()

    def listener(self):
        return Listener(self.on_snapshot, self.on_change, self.on_lost)

    def on_snapshot(self, snapshot):
        with self.changed:
            self.n_snapshots += 1
            self.keys = {entry.key: entry.value for entry in snapshot.entries}
            self.changed.notify_all()

    def on_change(self, change):
        with self.changed:
            self.keys.update({entry.key: entry.value for entry in change.entries})
            for key in change.deleted:
                self.keys.pop(key, None)
            self.changed.notify_all()

    def on_lost(self, reason):
        with self.changed:
            self.n_lost += 1
            self.changed.notify_all()

    def wait(self, condition):
        with self.changed:
            assert self.changed.wait_for(condition, timeout=30.0)


def test_watcher_reports_every_change_despite_faults(server, store):
    server.write("p/a", b"1")
    recorder = Recorder()
    watcher = StoreWatcher.start(store, recorder.listener(), control(), TELEMETRY)
    try:
        recorder.wait(lambda: recorder.keys == {"p/a": b"1"})
        server.write("p/b", b"2")
        server.write("q/c", b"3")
        server.delete("p/a")
        recorder.wait(lambda: recorder.keys == {"p/b": b"2", "q/c": b"3"})
        server.faults = [503, "lose", 429]
        server.write("p/d", b"4")
        recorder.wait(lambda: recorder.keys == {"p/b": b"2", "p/d": b"4", "q/c": b"3"})
        recorder.wait(lambda: recorder.n_lost >= 1)
    finally:
        watcher.stop(block=False)


def test_watcher_takes_a_new_snapshot_after_compaction(server, store):
    recorder = Recorder()
    server.write("p/a", b"1")
    watcher = StoreWatcher.start(store, recorder.listener(), control(), TELEMETRY)
    try:
        recorder.wait(lambda: recorder.n_snapshots == 1)
        with server.changed:
            server.revision += 1
            server.put("p/b", b"2")
            del server.items["p/a"]
            server.revision += 1
            server.compacted = server.revision
            server.history.clear()
            server.changed.notify_all()
        recorder.wait(lambda: recorder.keys == {"p/b": b"2"})
        assert recorder.n_snapshots == 2
    finally:
        watcher.stop(block=False)

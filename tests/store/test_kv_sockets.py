"""The client against the stand-in over HTTP: faults, paging and watches."""

import threading

import pytest

from buckthornrock.conf.settings import KvSettings
from buckthornrock.standins.kv import KvStandin, start_kv
from buckthornrock.store import (
    CommitDone,
    CommitNotDone,
    CommitUnknown,
    Compare,
    Put,
    Transaction,
    open_kv,
)
from buckthornrock.store.breaker import N_FAILURES_TO_OPEN
from buckthornrock.store.kv_client import PAGE_ENTRIES
from buckthornrock.store.kv_port import LEASE_GONE
from buckthornrock.telemetry import Telemetry, open_log, open_metrics

TELEMETRY = Telemetry(open_log(None), open_metrics("", 0, ""))
WAIT_LIMIT_S = 10.0


@pytest.fixture(scope="module")
def server():
    standin = KvStandin(seed=1)
    server = start_kv(standin)
    yield standin, f"http://127.0.0.1:{server.port}"
    server.stop()


@pytest.fixture
def standin(server):
    standin, _ = server
    standin.fault = ""
    # The snapshot is by default the empty initial state, so this clears the data.
    standin.restore()
    standin.counts.by_kind.clear()
    return standin


@pytest.fixture
def kv(server, standin):
    _, url = server
    return open_kv(KvSettings(url, timeout_ms=300), TELEMETRY)


def put(kv, key, value=b"v", revision=0, limit_ms=1_500.0):
    writes = (Put(key, value),)
    return kv.commit(Transaction((Compare(key, revision),), writes), limit_ms)


OUTCOMES = [
    ("", CommitDone),
    ("lose_answers", CommitDone),
    ("late", CommitDone),
    ("down", CommitUnknown),
    # Slower than the client's timeout: the write takes effect after it gave up.
    ("slow", CommitUnknown),
]


@pytest.mark.parametrize(("fault", "expected"), OUTCOMES)
def test_commit_under_fault(kv, standin, fault, expected):
    standin.fault = fault
    if fault == "late":
        standin.set_faults(standin.faults._replace(late_ms=100.0))
    assert isinstance(put(kv, "a/1"), expected)


def test_write_with_a_lost_lease_is_refused_and_keeps_the_breaker_closed(kv, standin):
    lease_id = kv.grant_lease(60).ok.lease_id
    standin.expire_leases()
    transaction = Transaction((Compare("a/1", 0),), (Put("a/1", b"v", lease_id),))
    for _ in range(N_FAILURES_TO_OPEN + 1):
        assert kv.commit(transaction) == CommitNotDone(LEASE_GONE)
    assert kv.is_answering()
    assert kv.get("a/1").ok is None


def test_refused_connection_proves_that_nothing_was_done():
    kv = open_kv(KvSettings("http://127.0.0.1:1", timeout_ms=300), TELEMETRY)
    assert isinstance(put(kv, "a/1"), CommitNotDone)
    assert kv.get("a/1").is_error()


def test_prefix_is_read_in_pages(server, standin):
    # A page that takes longer than the timeout would be read again and count twice,
    # so the timeout is generous.
    kv = open_kv(KvSettings(server[1], timeout_ms=2_000), TELEMETRY)
    n_entries = PAGE_ENTRIES + 5
    writes = tuple(Put(f"a/{index:04d}", b"v") for index in range(n_entries))
    kv.commit(Transaction((Compare("a/0000", 0),), writes))
    entries = kv.get_prefix("a/").ok
    assert [entry.key for entry in entries] == [write.key for write in writes]
    assert standin.counts.by_kind["read"] == 2


def test_watch_shows_changes_and_ends_with_an_outage(kv, standin):
    seen = []
    established = threading.Event()

    def follow():
        for batch in kv.watch("a/", 0):
            established.set()
            seen.extend(entry.key for entry in batch.entries)

    thread = threading.Thread(target=follow)
    thread.start()
    assert established.wait(WAIT_LIMIT_S)
    put(kv, "b/1")
    put(kv, "a/1")
    assert standin.counts.n_watches == 1
    standin.fault = "down"
    thread.join(WAIT_LIMIT_S)
    assert not thread.is_alive()
    assert seen == ["a/1"]


def test_watch_from_an_earlier_revision_misses_nothing(kv):
    revision = put(kv, "a/1").revision
    put(kv, "a/2")
    watch = kv.watch("a/", revision)
    keys = []
    while len(keys) < 2:
        keys += [entry.key for entry in next(watch).entries]
    watch.close()
    assert keys == ["a/1", "a/2"]


def test_keys_are_deleted_with_a_lease_that_is_dropped_early(kv, standin):
    lease = kv.grant_lease(30).ok
    kv.commit(Transaction((Compare("a/1", 0),), (Put("a/1", b"v", lease.lease_id),)))
    standin.expire_leases()
    assert kv.get("a/1").ok is None
    assert kv.keep_alive(lease.lease_id).error.code == "lease-gone"


def test_restored_snapshot_brings_old_values_back(kv, standin):
    put(kv, "a/1", b"old")
    standin.take_snapshot()
    put(kv, "a/1", b"new", kv.get("a/1").ok.mod_revision)
    standin.restore()
    assert kv.get("a/1").ok.value == b"old"

"""When a watcher calls the store, and how often while keys keep changing."""

import threading
import time

import pytest
from expression import Error, Ok

from buckthornrock.store.errors import HistoryGone
from buckthornrock.store.kv_port import KvEntry, Snapshot, StorePort, WatchBatch
from buckthornrock.store.store_watcher import (
    FLEET_CALLS_PER_S,
    MAX_BATCHING_DELAY_MS,
    Listener,
    StoreWatcher,
    WatchControl,
    batching_delay_ms,
)
from buckthornrock.telemetry import Telemetry, open_metrics

CHANGE_PERIOD_S = 0.005
TELEMETRY = Telemetry(lambda event, **fields: None, open_metrics("", 0, ""))


class ChangingStore:
    """A store with one key that changes every ``CHANGE_PERIOD_S``."""

    def __init__(self):
        self.began_at_s = time.monotonic()
        self.n_polls = 0
        self.reads, self.polled_from = [], []
        self.is_history_gone = False

    def port(self):
        return StorePort(
            get=None, snapshot=self.snapshot, poll=self.poll, commit=None,
            grant_lease=None, keep_alive=None, revoke_lease=None,
        )  # fmt: skip

    def revision(self):
        return 1 + int((time.monotonic() - self.began_at_s) / CHANGE_PERIOD_S)

    def snapshot(self, prefix, may_be_stale):
        self.reads.append(may_be_stale)
        return Ok(Snapshot(self.revision(), ()))

    def poll(self, prefix, after_revision, wait_ms):
        self.n_polls += 1
        self.polled_from.append(after_revision)
        if self.is_history_gone:
            self.is_history_gone = False
            return Error(HistoryGone(after_revision))
        while self.revision() <= after_revision:
            time.sleep(CHANGE_PERIOD_S / 2)
        entry = KvEntry("k/1", b"v", self.revision(), 0, b"")
        return Ok(WatchBatch(self.revision(), (entry,), ()))


def control(is_wanted=None, known_revision=lambda: 0, n_watchers=1):
    if is_wanted is None:
        is_wanted = threading.Event()
        is_wanted.set()
    return WatchControl(is_wanted, known_revision, lambda: n_watchers)


def recording_listener():
    """Return a listener and the list of the revisions that it learns."""
    learnt = []
    listener = Listener(
        on_snapshot=lambda _: None,
        on_change=lambda batch: learnt.append(batch.revision),
        on_lost=lambda _: None,
    )
    return listener, learnt


@pytest.mark.parametrize("n_instances", [1, 7, 88, 340, 10_000])
def test_call_rate_of_the_fleet_is_bounded(n_instances):
    """Without batching, each change cost every instance a call: 500/s at 88."""
    pause_ms = batching_delay_ms(n_instances)
    assert pause_ms <= MAX_BATCHING_DELAY_MS
    if pause_ms < MAX_BATCHING_DELAY_MS:
        assert n_instances * 1000.0 / pause_ms <= FLEET_CALLS_PER_S


def test_consecutive_changes_cost_one_call():
    store = ChangingStore()
    listener, learnt = recording_listener()
    # Eight watchers wait for 200 ms each.
    watcher = StoreWatcher.start(
        store.port(), listener, control(n_watchers=8), TELEMETRY
    )
    time.sleep(1.0)
    watcher.stop(block=False)
    assert 2 <= store.n_polls <= 6
    assert learnt[-1] > 50, "the next call returns the batched changes"


def test_watcher_that_is_not_wanted_reads_once_and_rests():
    store, is_wanted = ChangingStore(), threading.Event()
    listener, _ = recording_listener()
    watcher = StoreWatcher.start(store.port(), listener, control(is_wanted), TELEMETRY)
    time.sleep(0.3)
    assert (store.reads, store.n_polls) == ([True], 0)
    is_wanted.set()
    deadline_s = time.monotonic() + 10.0
    while not store.n_polls and time.monotonic() < deadline_s:
        time.sleep(0.01)
    watcher.stop(block=False)
    assert store.n_polls


def test_watcher_goes_on_from_what_peers_told_meanwhile():
    store = ChangingStore()
    listener, learnt = recording_listener()
    known = {"revision": 0}
    watcher = StoreWatcher.start(
        store.port(),
        listener,
        control(known_revision=lambda: known["revision"]),
        TELEMETRY,
    )
    while not learnt:
        time.sleep(0.01)
    known["revision"] = store.revision() + 40
    time.sleep(0.5)
    watcher.stop(block=False)
    assert known["revision"] in store.polled_from


def test_lost_history_is_followed_by_a_read_of_the_current_state():
    store = ChangingStore()
    listener, learnt = recording_listener()
    watcher = StoreWatcher.start(store.port(), listener, control(), TELEMETRY)
    while not learnt:
        time.sleep(0.01)
    store.is_history_gone = True
    time.sleep(0.3)
    watcher.stop(block=False)
    assert store.reads == [True, False], "only the first read may be stale"


@pytest.mark.parametrize("failing", ["on_snapshot", "on_change", "store"])
def test_watcher_survives_a_step_that_raises(failing):
    """An exception ended the actor, and its instance no longer followed the store."""
    store, logged, lost = ChangingStore(), [], []
    listener, learnt = recording_listener()
    calls = iter([True, False])

    def fails_once(call):
        def wrapped(*arguments):
            if next(calls, False):
                raise RecursionError("nested too deeply")
            return call(*arguments)

        return wrapped

    port = store.port()
    if failing == "store":
        port = port._replace(poll=fails_once(port.poll))
    else:
        changed = {failing: fails_once(getattr(listener, failing))}
        listener = listener._replace(**changed)
    listener = listener._replace(on_lost=lost.append)
    telemetry = TELEMETRY._replace(
        log=lambda event, **fields: logged.append((event.name, fields["error_type"]))
    )
    watcher = StoreWatcher.start(port, listener, control(), telemetry)
    deadline_s = time.monotonic() + 5.0
    while len(learnt) < 3 and time.monotonic() < deadline_s:
        time.sleep(0.01)
    watcher.stop(block=False)
    assert len(learnt) >= 3
    assert logged == [("lifecycle.step_failed", "RecursionError")]
    assert lost == ["RecursionError"]

"""How often a prefix watcher polls the store while keys keep changing."""

import time

import pytest
from expression import Ok

from buckthornrock.store.kv_port import KvEntry, Snapshot, StorePort, WatchBatch
from buckthornrock.store.prefix_watcher import (
    FLEET_CALLS_PER_S,
    MAX_BATCHING_DELAY_MS,
    Listener,
    PrefixWatcher,
    batching_delay_ms,
)

CHANGE_PERIOD_S = 0.005


class ChangingStore:
    """A store with one key that changes every ``CHANGE_PERIOD_S``."""

    def __init__(self):
        self.began_at_s = time.monotonic()
        self.n_polls = 0

    def port(self):
        return StorePort(
            get=None, snapshot=self.snapshot, poll=self.poll, commit=None,
            grant_lease=None, keep_alive=None, revoke_lease=None,
        )  # fmt: skip

    def revision(self):
        return 1 + int((time.monotonic() - self.began_at_s) / CHANGE_PERIOD_S)

    def snapshot(self, prefix):
        return Ok(Snapshot(self.revision(), ()))

    def poll(self, prefix, after_revision, wait_ms):
        self.n_polls += 1
        while self.revision() <= after_revision:
            time.sleep(CHANGE_PERIOD_S / 2)
        entry = KvEntry("k/1", b"v", self.revision(), 0, b"")
        return Ok(WatchBatch(self.revision(), (entry,), ()))


@pytest.mark.parametrize("n_instances", [1, 7, 88, 340, 10_000])
def test_call_rate_of_the_fleet_is_bounded(n_instances):
    """Without batching, each change cost every instance a call: 500/s at 88."""
    pause_ms = batching_delay_ms(n_instances)
    assert pause_ms <= MAX_BATCHING_DELAY_MS
    if pause_ms < MAX_BATCHING_DELAY_MS:
        assert n_instances * 1000.0 / pause_ms <= FLEET_CALLS_PER_S


def test_consecutive_changes_cost_one_call():
    store, learnt = ChangingStore(), []
    listener = Listener(
        on_snapshot=lambda _: None,
        on_change=lambda batch: learnt.append(batch.revision),
        on_lost=lambda _: None,
    )
    watcher = PrefixWatcher.start(store.port(), "k/", listener, lambda: 200.0)
    time.sleep(1.0)
    watcher.stop(block=False)
    assert 2 <= store.n_polls <= 6
    assert learnt[-1] > 50, "the next call returns the batched changes"

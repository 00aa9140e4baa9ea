"""Tests the upstream directory against a model of the store, with outages."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from buckthornrock.catalog.upstreams import (
    RETURN_GRACE_MS,
    Upstream,
    UpstreamDirectory,
)

IDS = st.sampled_from(["u1", "u2", "u3"])


def upstream(upstream_id, started_ms=1, is_draining=False):
    return Upstream(upstream_id, "s", "h:1", "a", is_draining, started_ms, 8, {})


class DirectoryMachine(RuleBasedStateMachine):
    """Entries are added, drain, expire during outages, and return or stay missing."""

    def __init__(self):
        super().__init__()
        self.directory = UpstreamDirectory()
        self.now_ms = 10_000.0
        self.stored = {}
        self.is_down = False
        self.back_at_ms = None
        self.frozen = set()
        self.revision = 0

    def _changed(self, changed=(), removed=()):
        self.revision += 1
        if not self.is_down:
            self.directory.apply(changed, removed, self.revision, self.now_ms)

    @rule(upstream_id=IDS, is_draining=st.booleans())
    def write(self, upstream_id, is_draining):
        if self.is_down:
            return
        self.stored[upstream_id] = upstream(upstream_id, self.revision, is_draining)
        self._changed([self.stored[upstream_id]])

    @rule(upstream_id=IDS)
    def remove(self, upstream_id):
        if self.is_down or upstream_id not in self.stored:
            return
        del self.stored[upstream_id]
        self._changed(removed=[upstream_id])

    @rule()
    def outage_begins(self):
        if self.is_down:
            return
        self.is_down = True
        self.frozen = {u.upstream_id for u in self.directory.all()}
        self.directory.on_store_lost()

    @rule(lapsed=st.sets(IDS))
    def outage_ends(self, lapsed):
        if not self.is_down:
            return
        self.is_down = False
        self.back_at_ms = self.now_ms
        self.stored = {k: v for k, v in self.stored.items() if k not in lapsed}
        self.directory.replace(self.stored.values(), self.revision, self.now_ms)

    @rule(duration_ms=st.sampled_from([1.0, 500.0, RETURN_GRACE_MS + 1.0]))
    def wait(self, duration_ms):
        self.now_ms += duration_ms
        self.directory.expire(self.now_ms)

    @invariant()
    def stored_entries_are_known(self):
        if self.is_down:
            return
        for upstream_id, entry in self.stored.items():
            assert self.directory.get(upstream_id) == entry

    @invariant()
    def outage_drops_nothing(self):
        if self.is_down:
            assert {u.upstream_id for u in self.directory.all()} == self.frozen

    @invariant()
    def draining_upstreams_are_not_usable(self):
        usable = self.directory.usable("s")
        assert not any(entry.is_draining for entry in usable)

    @invariant()
    def missing_entries_go_after_the_grace_period(self):
        if self.is_down:
            return
        extra = {u.upstream_id for u in self.directory.all()} - set(self.stored)
        if not extra:
            return
        assert self.back_at_ms is not None
        # The grace period begins when the store is back, also for entries that are
        # removed within it.
        assert self.now_ms - self.back_at_ms < RETURN_GRACE_MS


DirectoryMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, derandomize=True, deadline=None
)
TestDirectory = DirectoryMachine.TestCase


def test_outage_drops_nothing():
    directory = UpstreamDirectory()
    directory.replace([upstream("u1")], 1, 0.0)
    directory.on_store_lost()
    directory.expire(60_000.0)
    assert directory.get("u1") is not None


def test_new_start_under_the_same_id_is_another_incarnation():
    directory = UpstreamDirectory()
    directory.replace([upstream("u1", 1)], 1, 0.0)
    directory.apply([upstream("u1", 2)], [], 2, 1.0)
    assert directory.get("u1").incarnation == ("u1", 2)


def test_missing_entry_is_kept_through_a_second_outage():
    directory = UpstreamDirectory()
    directory.replace([upstream("u1")], 1, 0.0)
    directory.on_store_lost()
    directory.replace([], 2, 5_000.0)
    directory.on_store_lost()
    directory.expire(5_000.0 + RETURN_GRACE_MS + 1.0)
    assert directory.get("u1") is not None
    directory.apply([], [], 3, 9_000.0)
    directory.expire(9_000.0)
    assert directory.get("u1") is None


@pytest.mark.parametrize("removed_after_ms", [1.0, 1_000.0, RETURN_GRACE_MS - 1.0])
def test_upstream_that_leaves_in_the_grace_period_goes_at_its_end(removed_after_ms):
    """Guards against a second grace period for an upstream that leaves in the first.

    Found by the randomized fault search (Wieszak, mix 371512540761): the entry was kept
    past the bound.
    """
    directory = UpstreamDirectory()
    directory.replace([upstream("u1")], 1, 0.0)
    directory.on_store_lost()
    directory.apply([], [], 2, 5_000.0)
    directory.apply([], ["u1"], 3, 5_000.0 + removed_after_ms)
    directory.expire(5_000.0 + RETURN_GRACE_MS - 0.5)
    assert directory.get("u1") is not None
    directory.expire(5_000.0 + RETURN_GRACE_MS)
    assert directory.get("u1") is None

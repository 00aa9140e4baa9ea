"""Outlier ejection, slow start, cold starts and leaving upstreams."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from buckthornrock.fleet.health import (
    MAX_EJECTED_SHARE,
    SLOW_START_SHARE,
    HealthTracker,
)
from buckthornrock.fleet.leaving import PEER_TTL_MS, LeavingTracker

IDS = tuple(f"e{i}" for i in range(9))


class HealthMachine(RuleBasedStateMachine):
    """Random outcomes, restarts and waits."""

    def __init__(self):
        super().__init__()
        self.tracker = HealthTracker(IDS, random.Random(1))
        self.now_ms = 1.0

    @rule(id_=st.sampled_from(IDS), n=st.integers(1, 12))
    def fail(self, id_, n):
        for _ in range(n):
            self.tracker.note_failure(id_, self.now_ms)

    @rule(id_=st.sampled_from(IDS))
    def succeed(self, id_):
        self.tracker.note_success(id_, self.now_ms)

    @rule(id_=st.sampled_from(IDS), run=st.sampled_from(["a", "b"]))
    def poll(self, id_, run):
        is_cold = self.tracker.note_poll(id_, run, self.now_ms)
        if is_cold:
            assert self.tracker.health(id_, self.now_ms) == SLOW_START_SHARE

    @rule(wait_ms=st.sampled_from([10.0, 1_500.0, 8_000.0]))
    def wait(self, wait_ms):
        self.now_ms += wait_ms

    @invariant()
    def few_are_ejected(self):
        healths = [self.tracker.health(id_, self.now_ms) for id_ in IDS]
        assert healths.count(0.0) <= MAX_EJECTED_SHARE * len(IDS)
        assert all(h == 0.0 or SLOW_START_SHARE <= h <= 1.0 for h in healths)

    def teardown(self):
        """No upstream stays ejected for ever."""
        later_ms = self.now_ms + 100_000.0
        assert all(self.tracker.health(id_, later_ms) == 1.0 for id_ in IDS)


TestHealthMachine = HealthMachine.TestCase


def test_consecutive_failures_eject_and_traffic_ramps_up_again():
    tracker = HealthTracker(IDS, random.Random(1))
    ejected = [tracker.note_failure("e0", 0.0) for _ in range(3)]
    assert ejected == [False, False, True]
    assert tracker.health("e0", 100.0) == 0.0
    shares = [tracker.health("e0", at_ms) for at_ms in (1_600.0, 4_000.0, 9_000.0)]
    assert shares == sorted(shares)
    assert 0.0 < shares[0] < 0.5
    assert shares[-1] == 1.0


def test_one_refused_poll_or_three_silent_ones_mean_down():
    tracker = HealthTracker(IDS, random.Random(1))
    assert tracker.note_failed_poll("e0", is_refused=True)
    assert [tracker.note_failed_poll("e1", is_refused=False) for _ in range(3)] == [
        False,
        False,
        True,
    ]
    assert tracker.health("e0", 0.0) == tracker.health("e1", 0.0) == 0.0
    tracker.note_poll("e0", "a", 1.0)
    assert tracker.health("e0", 1.0) == 1.0


def test_any_source_makes_an_upstream_leave():
    tracker = LeavingTracker()
    for source in ("list", "report"):
        tracker.note(source, "e0", True)
        assert tracker.is_leaving("e0", 0.0)
        assert tracker.directly_reported() == ("e0",)
        tracker.note(source, "e0", False)
        assert not tracker.is_leaving("e0", 0.0)
    tracker.note_peer(["e0"], 0.0)
    assert tracker.is_leaving("e0", PEER_TTL_MS - 1.0)
    # A peer's report is not passed on; otherwise instances would renew each other's
    # reports for ever.
    assert tracker.directly_reported() == ()
    assert not tracker.is_leaving("e0", PEER_TTL_MS)

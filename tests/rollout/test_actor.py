"""The rollout continues when some engines give no report, and logs each failure."""

import threading

import pytest
from expression import Error, Ok

from buckthornrock.rollout.actor import SET_ASIDE_MS, RolloutActor
from buckthornrock.rollout.plan import RolloutEngine
from buckthornrock.rollout.port import (
    EnginePort,
    EngineReport,
    EngineUnanswered,
    OrderAnswer,
    RolloutCallbacks,
    RolloutInputs,
)
from buckthornrock.telemetry import Telemetry, open_metrics
from tests.scheduling.world import engine

CALL_MS = 600.0


class AlwaysHeldLease:
    """A lease that is always held."""

    fence = 7

    def may_act(self):
        return True

    def is_held(self):
        return True

    def step(self):
        pass


class Fleet:
    """Engines, some of them unresponsive; a call to those takes its whole timeout."""

    def __init__(self, n_engines, silent):
        self.now_ms = 0.0
        self.upstreams = [engine(number) for number in range(n_engines)]
        self.silent = set(silent)
        self.ordered, self.logged = [], []
        self.n_silent_calls = 0

    def report(self, upstream):
        if upstream.upstream_id in self.silent:
            self.now_ms += CALL_MS
            self.n_silent_calls += 1
            return Error(EngineUnanswered("ConnectTimeoutError"))
        is_loaded = upstream.upstream_id in self.ordered
        return Ok(EngineReport({"m": 2 if is_loaded else 1}, False, 0))

    def order(self, order, fencing):
        self.ordered.append(order.upstream.upstream_id)
        return Ok(OrderAnswer(202))

    def inputs(self):
        views = [RolloutEngine(upstream, 1, 0.0) for upstream in self.upstreams]
        return RolloutInputs({"m": 2}, {"m": views})

    def actor(self, lease=None, on_loading=lambda *_: None):
        return RolloutActor(
            lease or AlwaysHeldLease(),
            EnginePort(self.report, self.order),
            self.inputs,
            RolloutCallbacks(on_loading, lambda *_: None),
            "i1",
            lambda: self.now_ms,
            Telemetry(
                lambda event, **fields: self.logged.append((event.name, fields)),
                open_metrics("", 0, ""),
            ),
            threading.Event(),
            wall_ms=lambda: 0,
        )


def test_unresponsive_engines_do_not_block_the_batch():
    # By id the unresponsive engines sort first, so they would fill every batch.
    fleet = Fleet(6, silent={"e0", "e1"})
    actor = fleet.actor()
    for _ in range(6):
        actor._step()
        fleet.now_ms += 200.0
    assert {"e2", "e3"} <= set(fleet.ordered)
    # Each slot of the batch is tried at most once per call and pause.
    assert fleet.n_silent_calls <= fleet.now_ms / CALL_MS


def test_engine_without_a_report_is_logged_and_asked_again():
    fleet = Fleet(1, silent={"e0"})
    actor = fleet.actor()
    actor._step()
    assert fleet.logged[-1] == (
        "rollout.engine_set_aside",
        {
            "upstream_id": "e0",
            "reason": "ConnectTimeoutError",
            "duration_ms": SET_ASIDE_MS,
        },
    )
    actor._step()
    assert fleet.n_silent_calls == 1
    fleet.silent.clear()
    fleet.now_ms += SET_ASIDE_MS
    actor._step()
    assert fleet.ordered == ["e0"]


def test_state_of_removed_engines_is_discarded():
    fleet = Fleet(3, silent={"e0"})
    actor = fleet.actor()
    for _ in range(4):
        actor._step()
        fleet.now_ms += 200.0
    assert actor._silent_until_ms and actor._pending
    fleet.upstreams = [engine(9, version=2)]
    actor._step()
    assert not actor._silent_until_ms and not {("e0", 1)} & actor._pending.keys()


class EndingLease(AlwaysHeldLease):
    """A lease that ends at a time of the fleet's clock."""

    def __init__(self, fleet, ends_at_ms):
        self.fleet, self.ends_at_ms = fleet, ends_at_ms

    def may_act(self):
        return self.fleet.now_ms < self.ends_at_ms


@pytest.mark.parametrize("frozen_in", ["", "report", "on_loading"])
def test_holder_that_freezes_before_its_order_sends_none(frozen_in):
    fleet = Fleet(2, silent=())
    report = fleet.report

    def freeze(place):
        if place == frozen_in:
            fleet.now_ms += 10_000.0

    def slow_report(upstream):
        freeze("report")
        return report(upstream)

    fleet.report = slow_report
    lease = EndingLease(fleet, ends_at_ms=3_000.0)
    fleet.actor(lease, lambda *_: freeze("on_loading"))._step()
    assert bool(fleet.ordered) == (not frozen_in)


@pytest.mark.parametrize("is_loaded_after", [False, True])
def test_engine_that_falls_silent_after_its_order_is_not_ordered_again(is_loaded_after):
    fleet = Fleet(1, silent=())
    is_busy = [False]

    def report(upstream):
        if upstream.upstream_id in fleet.silent:
            return Error(EngineUnanswered("ReadTimeoutError"))
        is_loaded = bool(fleet.ordered) and not is_busy[0]
        return Ok(EngineReport({"m": 2 if is_loaded else 1}, is_busy[0], 0))

    fleet.report = report
    actor = fleet.actor()
    actor._step()
    assert fleet.ordered == ["e0"]
    fleet.silent.add("e0")
    for _ in range(300):
        fleet.now_ms += 200.0
        actor._step()
    fleet.silent.clear()
    is_busy[0] = not is_loaded_after
    for _ in range(100):
        fleet.now_ms += 200.0
        actor._step()
    assert fleet.ordered == ["e0"]


def test_rollout_survives_a_step_that_raises():
    """An exception ended the actor, and the instance gave no more orders."""
    fleet = Fleet(2, [])
    n_calls = 0
    report = fleet.report

    def fails_first(upstream):
        nonlocal n_calls
        n_calls += 1
        if n_calls == 1:
            raise OverflowError("port must be 0-65535")
        return report(upstream)

    fleet.report = fails_first
    actor = fleet.actor()
    for _ in range(2):
        # The actor's library ends an actor that raises here.
        actor.on_receive("step")
    assert fleet.ordered
    failures = [f for name, f in fleet.logged if name == "lifecycle.step_failed"]
    assert [failure["error_type"] for failure in failures] == ["OverflowError"]

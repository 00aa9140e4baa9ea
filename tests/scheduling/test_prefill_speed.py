"""Engines of one service that differ in speed."""

import random

import pytest

from buckthornrock.scheduling.choice import choose
from buckthornrock.scheduling.loads import FleetLoads
from buckthornrock.scheduling.prefill_speed import (
    FACTORS_LIFETIME_MS,
    HALF_LIFE_MS,
    MAX_FACTOR,
    MIN_EXPECTED_MS,
    PRIOR_EXPECTED_MS,
    REPORT_LIFETIME_MS,
    PrefillTimes,
    RecentTimes,
    prefill_factors,
)
from buckthornrock.wire.numeric_ids import incarnation_number
from tests.scheduling.world import engine, long, view

ENGINES = [engine(number) for number in range(6)]
EXPECTED_MS = 300.0


def times(expected_ms, factor):
    return PrefillTimes(expected_ms, expected_ms * factor)


@pytest.mark.parametrize(
    ("by_engine", "slow", "fast"),
    [
        # All take half as long again as estimated: none differs from the others.
        ({"a": times(9e3, 1.5), "b": times(9e3, 1.5)}, set(), set()),
        (
            {"a": times(9e3, 0.6), "b": times(9e3, 1.0), "c": times(9e3, 1.6)},
            {"c"},
            {"a"},
        ),
        # Too little is known of an engine, or of all.
        ({"a": times(9e3, 1.0), "b": times(100.0, 2.0)}, set(), set()),
        ({"a": times(800.0, 0.6), "b": times(800.0, 1.6)}, set(), set()),
        ({"a": PrefillTimes(9e3, 0.0)}, set(), set()),
        ({}, set(), set()),
    ],
)
def test_factors_tell_slow_and_fast_engines_from_chance(by_engine, slow, fast):
    factors = prefill_factors(by_engine)
    assert {key for key, factor in factors.items() if factor > 1.0} == slow
    assert {key for key, factor in factors.items() if factor < 1.0} == fast


@pytest.mark.parametrize(
    "odd",
    [
        times(1e18, 1e6),
        PrefillTimes(-1e9, 5e9),
        # Cancels the prior: dividing by the sum made every choice of an engine raise.
        PrefillTimes(-PRIOR_EXPECTED_MS, 0.0),
    ],
)
def test_factors_are_bounded_whatever_peers_report(odd):
    factors = prefill_factors({"a": times(9e3, 1.0), "b": odd})
    assert all(1.0 / MAX_FACTOR <= factor <= MAX_FACTOR for factor in factors.values())


def test_old_times_count_less_and_short_prompts_not_at_all():
    recent = RecentTimes()
    recent.add(EXPECTED_MS, 3.0 * EXPECTED_MS, 0.0)
    recent.add(MIN_EXPECTED_MS - 1.0, 9e3, 0.0)
    assert recent.at(HALF_LIFE_MS) == (EXPECTED_MS / 2.0, 1.5 * EXPECTED_MS)


# Load: long prompts whose objective leaves time for one prefill on a usual engine. Half
# of them went to engines that take 1.6 times as long, while faster ones had room.
def test_long_prompts_prefer_fast_engines_once_times_are_known():
    loads, rng = FleetLoads(), random.Random(1)
    slowness = {u.upstream_id: (0.6, 1.0, 1.6)[n % 3] for n, u in enumerate(ENGINES)}
    chosen = []
    for number in range(90):
        now_ms = number * 100.0
        placement = choose(
            long(f"c{number}"), ENGINES, view(now_ms=now_ms, loads=loads)
        )
        upstream = placement.upstream
        chosen.append(slowness[upstream.upstream_id])
        noise = rng.uniform(0.8, 1.2)
        loads.times.add(
            upstream.incarnation, EXPECTED_MS, EXPECTED_MS * chosen[-1] * noise, now_ms
        )
    assert sum(chosen[60:]) < 0.8 * sum(chosen[:30])


# An instance sends few requests to each engine, and learns the rest from its peers.
def test_times_that_peers_observed_count():
    loads = FleetLoads()
    reported = {
        incarnation_number(*upstream.incarnation): times(
            2_000.0, 2.0 if number == 0 else 1.0
        )
        for number, upstream in enumerate(ENGINES)
    }
    loads.times.on_report("peer", reported, 0.0)
    assert loads.times.factor(ENGINES[0].incarnation, 0.0) > 1.0
    assert loads.times.factor(ENGINES[1].incarnation, 0.0) == 1.0


def test_engines_are_compared_with_those_of_their_own_service():
    """All engines of the service with the larger model once counted as slow."""
    loads = FleetLoads()
    services = {}
    for index, upstream in enumerate(ENGINES):
        number = incarnation_number(*upstream.incarnation)
        services[number] = ("small", "large")[index % 2]
        observed_ms = 9_000.0 * (1.0, 3.0)[index % 2] * (2.0 if index == 3 else 1.0)
        loads.times.add(upstream.incarnation, 9_000.0, observed_ms, 0.0)
    loads.times.set_services(services)
    factors = [loads.times.factor(u.incarnation, 0.0) for u in ENGINES]
    small, large = factors[0::2], factors[1::2]
    assert small == [1.0, 1.0, 1.0]
    # The second of the large ones takes twice as long as the two others.
    assert large[0] == large[2] == pytest.approx(0.76, abs=0.01)
    assert large[1] == pytest.approx(1.47, abs=0.01)
    assert loads.snapshot().times.factor(ENGINES[3].incarnation, 0.0) == large[1]


def test_reports_of_silent_peers_lapse():
    loads = FleetLoads()
    number = incarnation_number(*ENGINES[0].incarnation)
    loads.times.on_report("peer", {number: times(9_000.0, 1.0)}, 0.0)
    assert loads.times.combined(["peer"], REPORT_LIFETIME_MS)
    assert not loads.times.combined(["peer"], REPORT_LIFETIME_MS + 1.0)


def test_times_for_a_follower_leave_out_its_own():
    loads = FleetLoads()
    number = incarnation_number(*ENGINES[0].incarnation)
    loads.times.add(ENGINES[0].incarnation, 500.0, 800.0, 0.0)
    loads.times.on_report("follower", {number: times(9_000.0, 1.0)}, 0.0)
    total = loads.times.combined(["follower"], 0.0)
    assert total == {number: (9_500.0, 9_800.0)}
    excluding = loads.times.excluding_peer(total, "follower", 0.0)
    assert excluding == {number: (500.0, 800.0)}


def test_snapshot_uses_the_factors_in_use():
    """Guards against a preview by newer factors than the next decision's."""
    loads = FleetLoads()
    for upstream in ENGINES:
        loads.times.add(upstream.incarnation, 9_000.0, 9_000.0, 0.0)
    slow = ENGINES[0].incarnation
    assert loads.times.factor(slow, 0.0) == 1.0
    loads.times.add(slow, 20_000.0, 60_000.0, 10.0)
    later_ms = FACTORS_LIFETIME_MS + 1.0
    for now_ms, is_slow in ((20.0, False), (later_ms, True)):
        expected = loads.snapshot().times.factor(slow, now_ms)
        assert loads.times.factor(slow, now_ms) == expected
        assert (expected > 1.0) == is_slow

"""Quotas in a small fleet under random demand and faults.

Demand stays below six times the rate of the account. What instances admit within the
time of a digest, before they hear of each other, is covered by the slack up to there.
"""

from typing import NamedTuple

from hypothesis import example, given, settings
from hypothesis import strategies as st

from buckthornrock.admission.quota_limits import AccountLimit
from tests.admission.quota_fleet import (
    LATENCY_MS,
    LIMITED,
    Fleet,
    admitted_cost,
    allowed_in_window,
    largest_window,
    within_bucket,
)

LIMITS = [
    AccountLimit(50_000.0, 100_000.0, True),
    AccountLimit(20_000.0, 20_000.0, True),
    AccountLimit(100_000.0, 50_000.0, True),
    AccountLimit(300_000.0, 1_200_000.0, True),
    AccountLimit(8_000.0, 0.0, True),
]
COSTS = [400, 3_000, 17_000, 17_000, 30_000]
FAULTS = [
    "none", "one cut off", "halves", "all cut off", "one way", "restart one",
    "restart all", "pause one", "pause all", "lossy", "late", "stop one",
]  # fmt: skip


class Phase(NamedTuple):
    """Some time with one kind of demand and one fault."""

    duration_ms: float
    demand_factor: float
    is_skewed: bool
    fault: str


PHASES = st.builds(
    Phase,
    st.sampled_from([300.0, 1_500.0, 4_000.0, 9_000.0]),
    st.sampled_from([0.0, 0.5, 1.0, 2.0, 6.0]),
    st.booleans(),
    st.sampled_from(FAULTS),
)


FACTORS = st.sampled_from([0.0, 0.5, 0.9, 1.0, 3.0])


def play(fleet, phase):
    """Run a phase; the network and the paused instances are well again after it."""
    first = fleet.instances[0]
    half = set(fleet.instances[: fleet.n_instances // 2])
    rng, fault = fleet.rng, phase.fault
    delays = {
        "one cut off": lambda a, b: None if first in (a, b) else LATENCY_MS,
        "halves": lambda a, b: None if (a in half) != (b in half) else LATENCY_MS,
        "all cut off": lambda a, b: None,
        "one way": lambda a, b: None if b is first else LATENCY_MS,
        "lossy": lambda a, b: None if rng.random() < 0.7 else LATENCY_MS,
        "late": lambda a, b: rng.uniform(0.0, 2_000.0),
    }
    fleet.delay_ms = delays.get(fault, lambda a, b: LATENCY_MS)
    fleet.is_paused = {
        "pause one": lambda instance: instance is first,
        "pause all": lambda instance: True,
    }.get(fault, lambda instance: False)
    if fault == "stop one":
        first.is_running = False
    restarted = {"restart one": [first], "restart all": fleet.instances}.get(fault, [])
    for instance in restarted:
        instance.start()
    weights = [10.0] + [1.0] * (fleet.n_instances - 1) if phase.is_skewed else None
    rate_per_s = phase.demand_factor * fleet.limits[LIMITED].rate_per_s
    fleet.arrivals(LIMITED, rate_per_s, COSTS, phase.duration_ms, weights)
    fleet.run(phase.duration_ms)


#: Each instance spends a full bucket, or starts with one.
CUT_OFF = [Phase(9_000.0, 6.0, False, "all cut off")]
RESTARTED = [
    Phase(4_000.0, 6.0, False, "none"),
    *(Phase(1_500.0, 6.0, False, "restart all") for _ in range(3)),
]


@example(6, LIMITS[3], CUT_OFF, 0)
@example(6, LIMITS[3], RESTARTED, 0)
@settings(max_examples=120)
@given(
    n_instances=st.integers(2, 6),
    limit=st.sampled_from(LIMITS),
    phases=st.lists(PHASES, min_size=2, max_size=7),
    seed=st.integers(0, 999),
)
def test_no_window_exceeds_the_bound(n_instances, limit, phases, seed):
    """Guards against quota that is granted twice around a fault."""
    fleet = Fleet(n_instances, {LIMITED: limit}, seed)
    fleet.run(5_000.0)
    for phase in phases:
        play(fleet, phase)
    allowed = allowed_in_window(limit)
    assert largest_window(fleet.decisions, LIMITED) <= allowed


@settings(max_examples=60)
@given(
    n_instances=st.integers(1, 6),
    limit=st.sampled_from(LIMITS[:4]),
    factors=st.lists(
        st.sampled_from([0.0, 0.5, 0.9, 1.0, 3.0]), min_size=3, max_size=6
    ),
    is_skewed=st.booleans(),
    seed=st.integers(0, 999),
)
def test_nearly_all_within_the_bucket_is_admitted_in_calm(
    n_instances, limit, factors, is_skewed, seed
):
    """Guards against quota that is lost between instances, however uneven demand is."""
    fleet = Fleet(n_instances, {LIMITED: limit}, seed)
    fleet.run(10_000.0)
    for factor in factors:
        play(fleet, Phase(10_000.0, factor, is_skewed, "none"))
    expected = within_bucket(fleet.decisions, LIMITED, limit, limit.burst)
    assert admitted_cost(fleet.decisions, LIMITED) >= 0.97 * expected

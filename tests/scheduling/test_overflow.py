"""Long prompts overflow to engines that urgent requests don't need."""

import math

import pytest

from buckthornrock.scheduling import estimates
from buckthornrock.scheduling.capacity import MAX_QUEUED_PREFILL_MS
from buckthornrock.scheduling.choice import choose
from buckthornrock.scheduling.loads import FleetLoads, Work
from buckthornrock.scheduling.long_prompts import (
    KEPT_FOR_URGENT_SHARE,
    LONG_PREFILL_MS,
    MAX_OVERFLOW_OBJECTIVE_MS,
    long_prompt_engines,
)
from buckthornrock.scheduling.placement import NoCapacity
from tests.scheduling.world import engine, long, short, view

N_ENGINES = 20
N_OTHERS = N_ENGINES // 2
N_KEPT = math.ceil(N_OTHERS * KEPT_FOR_URGENT_SHARE)
#: Work of a long prompt whose shared part is not cached.
LONG_WORK = Work(1, MAX_QUEUED_PREFILL_MS + 1.0, 17_000)
ENGINES = [engine(number) for number in range(N_ENGINES)]


def tight_long(shared="contract", objective_ms=MAX_OVERFLOW_OBJECTIVE_MS, **changes):
    """Return a long prompt whose objective leaves no time to wait."""
    demand = long(shared, **changes)
    return demand._replace(route=demand.route._replace(objective_ms=objective_ms))


def place_long_prompts(loads, n_prompts):
    """Place prompts without a common part; return the engines' ids, None for none."""
    chosen = []
    for number in range(n_prompts):
        placement = choose(tight_long(f"contract-{number}"), ENGINES, view(loads=loads))
        if isinstance(placement, NoCapacity):
            chosen.append(None)
            continue
        load = loads.of(placement.upstream.incarnation)
        load.own = load.own.plus(LONG_WORK)
        chosen.append(placement.upstream.upstream_id)
    return chosen


# Load: a burst in which long prompts wait for full engines, and each wake of the queue
# evaluated the idle others, on which they may not be placed, several times.
@pytest.mark.parametrize("objective_ms", [MAX_OVERFLOW_OBJECTIVE_MS, 2_000.0])
def test_no_engine_is_evaluated_while_those_for_long_prompts_are_full(
    monkeypatch, objective_ms
):
    loads = FleetLoads()
    open_engines = set(place_long_prompts(loads, N_ENGINES)) - {None}
    for upstream_id in open_engines & long_prompt_engines(ENGINES).keys():
        loads.of((upstream_id, 1)).own = Work(40, 0.0, 17_000)
    monkeypatch.setattr(estimates, "evaluate", None)
    demand = tight_long(objective_ms=objective_ms)
    placement = choose(demand, ENGINES, view(loads=loads))
    assert placement == NoCapacity(N_ENGINES)


# Load: a burst of long prompts, which waited while engines were nearly idle.
def test_burst_of_long_prompts_uses_engines_that_others_leave_idle():
    chosen = place_long_prompts(FleetLoads(), N_ENGINES)
    placed = [upstream_id for upstream_id in chosen if upstream_id is not None]
    assert len(set(placed)) == len(placed) == N_ENGINES - N_KEPT


# Load: the same burst beside urgent requests, which must find engines without long
# prefill at any time.
def test_urgent_requests_find_engines_without_long_prefill_in_a_burst():
    loads = FleetLoads()
    place_long_prompts(loads, N_ENGINES)
    for number in range(4 * N_KEPT):
        placement = choose(short(f"short-{number}"), ENGINES, view(loads=loads))
        assert placement.queued_prefill_ms <= LONG_PREFILL_MS
        load = loads.of(placement.upstream.incarnation)
        load.own = load.own.plus(placement.work)


# Load: urgent requests that need most of the engines beside the long-prompt ones. The
# number kept for them follows their running requests.
@pytest.mark.parametrize(
    ("n_running", "n_kept"), [(0, 4), (6, 4), (10, 7), (14, 9), (16, 10), (30, 10)]
)
def test_number_of_kept_engines_follows_the_running_urgent_requests(n_running, n_kept):
    loads = FleetLoads()
    long_engines = set(place_long_prompts(loads, N_OTHERS))
    for upstream in ENGINES:
        if upstream.upstream_id not in long_engines:
            loads.of(upstream.incarnation).own = Work(n_running, 5.0, 300 * n_running)
    n_placed = sum(map(bool, place_long_prompts(loads, N_ENGINES)))
    assert n_placed == N_OTHERS - n_kept


# Load: a quiet hour. Long prompts stay on their engines while there is room.
def test_long_prompts_stay_on_their_engines_while_there_is_room():
    chosen = place_long_prompts(FleetLoads(), N_OTHERS)
    assert set(chosen) == long_prompt_engines(ENGINES).keys()


# Load: a prompt so large that it is late on any engine, in a quiet hour. It went to an
# engine kept for urgent requests to be a few ms earlier.
@pytest.mark.parametrize(("queued_ms", "is_overflow"), [(40.0, False), (340.0, True)])
def test_prompt_that_is_late_everywhere_overflows_only_for_a_clear_gain(
    queued_ms, is_overflow
):
    loads = FleetLoads()
    for upstream_id in long_prompt_engines(ENGINES):
        upstream = next(u for u in ENGINES if u.upstream_id == upstream_id)
        loads.of(upstream.incarnation).own = Work(1, queued_ms, 1_000)
    placement = choose(tight_long(n_own=88_000), ENGINES, view(loads=loads))
    assert placement.is_overflow == is_overflow


# Load: the same burst where the objective leaves time to wait. Overflow served hardly
# more long prompts there and delayed urgent requests.
@pytest.mark.parametrize(("excess_ms", "is_placed"), [(0.0, True), (1.0, False)])
def test_prompts_that_can_wait_do_not_overflow(excess_ms, is_placed):
    loads = FleetLoads()
    place_long_prompts(loads, N_OTHERS)
    demand = tight_long("other", MAX_OVERFLOW_OBJECTIVE_MS + excess_ms)
    placement = choose(demand, ENGINES, view(loads=loads))
    assert isinstance(placement, NoCapacity) != is_placed

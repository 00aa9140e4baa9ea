"""Separates long prompts from urgent requests on the engines of a service.

Every prompt of a route that isn't urgent counts as long. Long prompts go to a share of
the engines, the long-prompt engines. The others are reserved for urgent requests; long
prompts overflow to a part of them while the long-prompt engines have no place in time.
"""

import functools
import math
from collections.abc import Iterator

from ..catalog.upstreams import Upstream
from ..runtime import rendezvous
from .capacity import MAX_QUEUED_PREFILL_MS
from .estimates import PromptContext, find_best, is_late
from .placement import Demand, Placement, SchedulingView

#: Share of the engines that are used for long prompts.
LONG_PROMPT_SHARE = 0.5
LONG_PROMPT_KEY = b"long prompts"
#: Rankings kept in the cache, one per set of engines; the sets change as engines
#: join and leave.
N_CACHED_RANKINGS = 64
#: Queued prefill above this noticeably delays urgent requests on the same engine.
LONG_PREFILL_MS = 60.0
#: Cost for a non-urgent prompt of an engine outside the long-prompt engines.
RESERVED_ENGINE_COST_MS = 150.0
#: Longest objective of a route whose long prompts overflow. Others can wait for an
#: engine to finish its queued prefill, and overflow would delay urgent requests.
MAX_OVERFLOW_OBJECTIVE_MS = 4.0 * MAX_QUEUED_PREFILL_MS
#: Share of the other engines that long prompts never use, so that urgent requests
#: always find engines without long prefill.
KEPT_FOR_URGENT_SHARE = 0.4
#: Share of their slots that the running requests may fill on the engines kept for them.
URGENT_SLOT_SHARE = 0.5


def long_prompt_engines(upstreams: list[Upstream]) -> dict[str, Upstream]:
    """Return the engines used for long prompts, by id.

    While an engine prefills a long prompt, its other responses slow down, so the
    remaining engines are reserved for other requests. Rendezvous hashing makes all
    instances choose the same engines.
    """
    n_long = math.ceil(len(upstreams) * LONG_PROMPT_SHARE)
    by_id = {upstream.upstream_id: upstream for upstream in upstreams}
    ranked = _rank_for_long_prompts(tuple(by_id))
    return {upstream_id: by_id[upstream_id] for upstream_id in ranked[:n_long]}


def has_tight_objective(demand: Demand) -> bool:
    """Return whether a route isn't urgent and leaves no time to wait for an engine."""
    objective_ms = demand.route.objective_ms
    return not demand.is_urgent and objective_ms <= MAX_OVERFLOW_OBJECTIVE_MS


def open_to_long(
    demand: Demand, upstreams: list[Upstream], view: SchedulingView
) -> Iterator[Upstream]:
    """Yield the engines one of which must have room for a long prompt to be placed.

    An engine that is reserved for urgent requests is taken only instead of another that
    has room, unless the prompt may overflow to it.
    """
    engines = long_prompt_engines(upstreams)
    yield from engines.values()
    if has_tight_objective(demand):
        others = [u for u in upstreams if u.upstream_id not in engines]
        yield from _overflow_engines(others, view)


def find_best_for_long(
    demand: Demand,
    context: PromptContext,
    upstreams: list[Upstream],
    view: SchedulingView,
) -> Placement | None:
    """Return the best placement, favouring the engines used for long prompts.

    While these are full, or the response would be late there, prompts whose objective
    leaves no time to wait overflow to engines that urgent requests don't need. Else
    another engine is taken only if it is clearly faster, and none is while any of the
    others has much prefill queued.
    """
    engines = context.long_engines
    best = find_best(demand, context, list(engines.values()), view)
    others = [u for u in upstreams if u.upstream_id not in engines]
    is_in_time = best is not None and not is_late(best.estimate_ms, demand)
    if has_tight_objective(demand) and not is_in_time:
        overflow = find_best(demand, context, _overflow_engines(others, view), view)
        if overflow is None or not _is_worth_overflowing(best, overflow, demand):
            return best
        return overflow._replace(is_overflow=True)
    if best is None:
        return None
    if any(_queued_prefill_ms(upstream, view) > LONG_PREFILL_MS for upstream in others):
        return best
    other = find_best(demand, context, others, view)
    if other is None or other.estimate_ms + RESERVED_ENGINE_COST_MS > best.estimate_ms:
        return best
    return other


def _is_worth_overflowing(
    best: Placement | None, overflow: Placement, demand: Demand
) -> bool:
    """Return whether an engine outside the long-prompt engines is to be taken.

    A response that is late there, too, has to be clearly earlier.
    """
    if best is None:
        return True
    least_gain_ms = 0.0
    if is_late(overflow.estimate_ms, demand):
        least_gain_ms = RESERVED_ENGINE_COST_MS
    return overflow.estimate_ms + least_gain_ms < best.estimate_ms


def _overflow_engines(others: list[Upstream], view: SchedulingView) -> list[Upstream]:
    """Return the engines outside the long-prompt engines that may take a long prompt.

    Each has little prefill queued. The last ones of the ranking are kept for urgent
    requests: a share of all, and as many as the requests running on these engines need.
    """
    if not others:
        return []
    totals = [view.loads.total(u.incarnation, view.now_ms) for u in others]
    # An engine with much prefill queued is taken to run one long prompt.
    n_long = sum(total.prefill_ms > LONG_PREFILL_MS for total in totals)
    n_urgent = sum(total.n_requests for total in totals) - n_long
    n_slots = max(1, max(upstream.n_slots for upstream in others))
    n_needed = math.ceil(n_urgent / (n_slots * URGENT_SLOT_SHARE))
    n_kept = max(n_needed, math.ceil(len(others) * KEPT_FOR_URGENT_SHARE))
    by_id = {upstream.upstream_id: upstream for upstream in others}
    ranked = _rank_for_long_prompts(tuple(by_id))
    n_usable = max(0, len(others) - n_kept)
    usable = [by_id[upstream_id] for upstream_id in ranked[:n_usable]]
    return [u for u in usable if _queued_prefill_ms(u, view) <= LONG_PREFILL_MS]


def _queued_prefill_ms(upstream: Upstream, view: SchedulingView) -> float:
    return view.loads.total(upstream.incarnation, view.now_ms).prefill_ms


@functools.lru_cache(N_CACHED_RANKINGS)
def _rank_for_long_prompts(upstream_ids: tuple[str, ...]) -> list[str]:
    return rendezvous.rank(LONG_PROMPT_KEY, upstream_ids)

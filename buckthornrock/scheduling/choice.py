"""Chooses the upstream with the lowest estimated time to first response.

Among otherwise equal engines, rendezvous hashing of the shared prefix selects the
preferred one, so that instances send equal prompts to the same engine without
coordination.
"""

import math
from collections.abc import Iterable, Iterator

from ..catalog.upstreams import Upstream
from ..runtime import rendezvous
from .capacity import accepts_work, has_room, may_fit, may_serve
from .estimates import PromptContext, evaluate, find_best
from .long_prompts import (
    find_best_for_long,
    has_tight_objective,
    long_prompt_engines,
    open_to_long,
)
from .placement import Demand, NoCapacity, Obstacle, Placement, SchedulingView
from .prefill import SharedPrompt, find_cache_sources, prefill_planner


def choose(
    demand: Demand, upstreams: Iterable[Upstream], view: SchedulingView
) -> Placement | NoCapacity:
    """Return the best placement among upstreams with free capacity."""
    usable = [u for u in upstreams if may_serve(demand, u, view)]
    accepting = [u for u in usable if accepts_work(u, view)]
    # Stops at the first upstream with room. While all are full, the choice ends here,
    # before any estimate is computed.
    if not may_fit(demand, _with_room(demand, accepting, view), view):
        return NoCapacity(len(usable))
    context = _prompt_context(demand, accepting, view)
    if _is_long(demand):
        best = find_best_for_long(demand, context, accepting, view)
    else:
        best = find_best(demand, context, accepting, view)
    return best or NoCapacity(len(usable))


def find_candidates(
    demand: Demand, upstreams: Iterable[Upstream], view: SchedulingView
) -> list[Upstream]:
    """Return the upstreams with a slot, one of which must fit for a placement.

    They are the same for requests with the same ``candidates_key``.
    """
    accepting = [
        u for u in upstreams if may_serve(demand, u, view) and accepts_work(u, view)
    ]
    return list(_with_room(demand, accepting, view))


def candidates_key(demand: Demand) -> tuple[str | None, bool, bool]:
    """Return what of a request decides which upstreams are its candidates."""
    model = demand.prompt.model if demand.prompt is not None else None
    return model, demand.is_urgent, has_tight_objective(demand)


def options(
    demand: Demand, upstreams: Iterable[Upstream], view: SchedulingView
) -> list[tuple[Upstream, Placement | Obstacle]]:
    """Return each upstream with its placement, or why it isn't an option.

    These are the placements that ``choose`` takes one of.
    """
    upstreams = list(upstreams)
    found = {u.upstream_id: _unavailable(demand, u, view) for u in upstreams}
    accepting = [u for u in upstreams if found[u.upstream_id] is None]
    context = _prompt_context(demand, accepting, view)
    for upstream in accepting:
        option = evaluate(demand, context, upstream, view, math.inf)
        found[upstream.upstream_id] = option
    return [(u, found[u.upstream_id]) for u in upstreams]


def _unavailable(
    demand: Demand, upstream: Upstream, view: SchedulingView
) -> Obstacle | None:
    """Return why an upstream takes no such request, None if it does."""
    if not may_serve(demand, upstream, view):
        is_loaded = view.weights.loaded(upstream, demand.prompt.model) is not None
        return Obstacle.OUTDATED_WEIGHTS if is_loaded else Obstacle.NO_WEIGHTS
    if accepts_work(upstream, view):
        return None
    load = view.loads.of(upstream.incarnation)
    is_blocked = view.now_ms < load.blocked_until_ms
    return Obstacle.BLOCKED if is_blocked else Obstacle.LOADING


def _prompt_context(
    demand: Demand, upstreams: list[Upstream], view: SchedulingView
) -> PromptContext | None:
    if not _has_engine_prompt(demand):
        return None
    shared_prompt = SharedPrompt(
        demand.prompt, demand.cache_scope, demand.service.engine
    )
    long_engines = long_prompt_engines(upstreams)
    if demand.is_urgent or not shared_prompt.is_worth_fetching or not long_engines:
        plan = prefill_planner(shared_prompt, (), view.caches)
        return PromptContext(long_engines, shared_prompt, plan)
    key = f"{demand.cache_scope}/{demand.prompt.shared[-1].part_id}"
    preferred_id = rendezvous.owner(key.encode(), list(long_engines))
    service = demand.service.name
    sources = upstreams + [u for u in view.cache_only if u.service == service]
    cache_sources = find_cache_sources(shared_prompt, sources, view.caches)
    plan = prefill_planner(shared_prompt, cache_sources, view.caches)
    return PromptContext(long_engines, shared_prompt, plan, preferred_id, cache_sources)


def _with_room(
    demand: Demand, accepting: list[Upstream], view: SchedulingView
) -> Iterator[Upstream]:
    is_long = _is_long(demand)
    candidates = open_to_long(demand, accepting, view) if is_long else accepting
    return (u for u in candidates if has_room(u, view))


def _is_long(demand: Demand) -> bool:
    return _has_engine_prompt(demand) and not demand.is_urgent


def _has_engine_prompt(demand: Demand) -> bool:
    """Return whether a request has a prompt that an engine prefills."""
    return demand.prompt is not None and demand.service.engine is not None

"""Estimates the time to first response at upstreams, and finds the lowest.

The estimate is made for long prompts with shared prefixes. It counts the tokens to
prefill, the prefill work already queued at the engine, and memory.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from ..catalog.upstreams import Upstream
from .capacity import find_shortage, fits
from .loads import UpstreamLoad, Work
from .placement import CostTerms, Demand, Obstacle, Placement, SchedulingView
from .prefill import MIN_SHARED_TOKENS, CacheSource, PrefillPlan, SharedPrompt
from .prompt_stores import kv_target

#: Added to each decoding step by every running request.
STEP_MS_PER_REQUEST = 0.1
#: Cost of an upstream in another failure domain.
CROSS_DOMAIN_COST_MS = 2.0
#: Cost of an engine that is not the preferred one for the prompt's shared parts and
#: has too few of them cached. It keeps equal prompts on one engine.
NO_AFFINITY_COST_MS = 25.0
#: Assumed cost of a failed request; multiplied by the upstream's failure rate.
FAILURE_COST_MS = 3_000.0
#: Cost for an urgent request of an engine used for long prompts.
LONG_PROMPT_ENGINE_COST_MS = 80.0
#: Cost of outdated weights, as a share of the route's latency objective.
OUTDATED_WEIGHTS_COST_SHARE = 0.5
#: Outdated weights cost nothing for this long after a newer version is wanted.
OUTDATED_WEIGHTS_GRACE_MS = 1_400.0
#: An estimate above this share of the latency objective is expected to be late.
ON_TIME_SHARE = 0.8
#: Cost of a response expected to be late, as a share of the latency objective.
LATE_COST_SHARE = 1.0


class PromptContext(NamedTuple):
    """What is computed once per request to an engine and used for every candidate.

    ``long_engines`` are the engines used for long prompts, by id. ``preferred_id`` is
    the engine to which equal prompts go if nothing else decides, "" for prompts
    without a preference. ``plan`` returns an engine's prefill plan. ``cache_sources``
    are the addresses from which shared parts can be fetched.
    """

    long_engines: dict[str, Upstream]
    shared_prompt: SharedPrompt
    plan: Callable[[Upstream], PrefillPlan]
    preferred_id: str = ""
    cache_sources: tuple[CacheSource, ...] = ()


def find_best(
    demand: Demand,
    context: PromptContext | None,
    upstreams: list[Upstream],
    view: SchedulingView,
) -> Placement | None:
    """Return the placement with the lowest estimate, None if there is none."""
    best = None
    for upstream in upstreams:
        limit_ms = best.estimate_ms if best is not None else math.inf
        option = evaluate(demand, context, upstream, view, limit_ms)
        if isinstance(option, Placement) and option.estimate_ms < limit_ms:
            best = option
    if best is None or context is None:
        return best
    shared_prompt, cache_sources = context.shared_prompt, context.cache_sources
    target = kv_target(demand, shared_prompt, cache_sources, best.upstream, view)
    return best._replace(kv_target=target)


def evaluate(
    demand: Demand,
    context: PromptContext | None,
    upstream: Upstream,
    view: SchedulingView,
    limit_ms: float,
) -> Placement | Obstacle:
    """Return a placement, or why the upstream can't take the request.

    ``DEARER`` may be returned if the estimate is at least ``limit_ms``, which saves
    computing the prefill plan.
    """
    incarnation = upstream.incarnation
    total = view.loads.total(incarnation, view.now_ms)
    shortage = find_shortage(upstream, total)
    if shortage is not None:
        return shortage
    load = view.loads.of(incarnation)
    if context is None:
        return _plain_option(demand, upstream, load, total, view)
    is_penalized = demand.is_urgent and upstream.upstream_id in context.long_engines
    work_ms = total.prefill_ms + total.n_requests * STEP_MS_PER_REQUEST
    prefill_factor = view.loads.times.factor(incarnation, view.now_ms)
    queue_ms = work_ms * load.pace(view.now_ms) * prefill_factor
    failures_ms = load.failure_rate(view.now_ms) * FAILURE_COST_MS
    distance_ms = _distance_ms(upstream, view)
    long_prompts_ms = LONG_PROMPT_ENGINE_COST_MS if is_penalized else 0.0
    before_ms = queue_ms + failures_ms + distance_ms + long_prompts_ms
    min_prefill_ms = context.shared_prompt.min_prefill_ms * prefill_factor
    if before_ms + min_prefill_ms >= limit_ms:
        return Obstacle.DEARER
    terms = CostTerms(queue_ms, failures_ms, distance_ms, long_prompts_ms)
    return _engine_option(demand, context, upstream, terms, total, prefill_factor, view)


def is_late(estimate_ms: float, demand: Demand) -> bool:
    """Return whether a response with this estimate is expected to be late."""
    return estimate_ms > demand.route.objective_ms * ON_TIME_SHARE


def _plain_option(
    demand: Demand,
    upstream: Upstream,
    load: UpstreamLoad,
    total: Work,
    view: SchedulingView,
) -> Placement:
    pace = load.pace(view.now_ms)
    # The request's own time counts only as far as it differs from the usual, so that
    # idle upstreams are told apart and the estimate at the usual pace has no such term.
    n_requests = total.n_requests * pace + (pace - 1.0)
    terms = CostTerms(
        n_requests / max(1, upstream.n_slots) * demand.route.objective_ms * 0.5,
        load.failure_rate(view.now_ms) * FAILURE_COST_MS,
        _distance_ms(upstream, view),
    )
    return Placement(upstream, terms.estimate_ms, Work(n_requests=1), terms=terms)


def _engine_option(
    demand: Demand,
    context: PromptContext,
    upstream: Upstream,
    terms: CostTerms,
    total: Work,
    prefill_factor: float,
    view: SchedulingView,
) -> Placement | Obstacle:
    """Return a placement; ``terms`` are those without the prompt's own work."""
    prompt = demand.prompt
    prefill_plan = context.plan(upstream)
    n_memory = prompt.n_total_tokens - prefill_plan.n_cached
    if not fits(demand, total, n_memory):
        return Obstacle.NO_MEMORY
    lag_ms = view.weights.lag_ms(upstream, prompt.model, view.now_ms)
    if lag_ms:
        starts_in_ms = total.prefill_ms + prefill_plan.duration_ms
        usable_ms = view.weights.usable_for_ms(upstream, prompt.model, view.now_ms)
        if starts_in_ms >= usable_ms:
            return Obstacle.LATE_START
    is_preferred = context.preferred_id in ("", upstream.upstream_id)
    lacks_affinity = not is_preferred and prefill_plan.n_cached < MIN_SHARED_TOKENS
    objective_ms = demand.route.objective_ms
    is_outdated = lag_ms > OUTDATED_WEIGHTS_GRACE_MS
    terms = CostTerms(
        terms.queue_ms,
        terms.failures_ms,
        terms.distance_ms,
        terms.long_prompts_ms,
        prefill_plan.fetch_ms + prefill_plan.prefill_ms * prefill_factor,
        NO_AFFINITY_COST_MS if lacks_affinity else 0.0,
        objective_ms * OUTDATED_WEIGHTS_COST_SHARE if is_outdated else 0.0,
    )
    estimate_ms = terms.estimate_ms
    if is_late(estimate_ms, demand):
        terms = terms._replace(late_ms=objective_ms * LATE_COST_SHARE)
        estimate_ms += terms.late_ms
    return Placement(
        upstream,
        estimate_ms,
        Work(1, prefill_plan.prefill_ms, n_memory),
        view.weights.loaded(upstream, prompt.model),
        prefill_plan.n_cached,
        prefill_plan.kv_source,
        weights_lag_ms=lag_ms,
        queued_prefill_ms=total.prefill_ms,
        fetch_ms=prefill_plan.fetch_ms,
        prefill_factor=prefill_factor,
        terms=terms,
    )


def _distance_ms(upstream: Upstream, view: SchedulingView) -> float:
    is_same_domain = upstream.failure_domain == view.failure_domain
    return 0.0 if is_same_domain else CROSS_DOMAIN_COST_MS

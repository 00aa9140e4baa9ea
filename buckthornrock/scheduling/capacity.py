"""Decides which upstreams have capacity for a request.

Capacity is limited by slots, queued prefill and KV memory. An upstream that is blocked,
that loads weights or whose weights the request may not use takes none.
"""

from collections.abc import Iterable

from ..catalog.upstreams import Upstream
from .loads import Work
from .placement import Demand, Obstacle, SchedulingView
from .prefill import SharedPrompt, n_cached_prefix_tokens

#: An engine with more queued prefill than this is given no further request.
MAX_QUEUED_PREFILL_MS = 350.0
#: Requests per slot that an upstream may have.
MAX_REQUESTS_PER_SLOT = 1.0
#: Shares of an engine's KV memory that its requests may fill. The difference is
#: reserved for requests of the most urgent routes.
MEMORY_SHARE = 0.85
URGENT_MEMORY_SHARE = 0.97


def may_serve(demand: Demand, upstream: Upstream, view: SchedulingView) -> bool:
    """Return whether an upstream has weights that the request may use."""
    if demand.prompt is None:
        return True
    return view.weights.is_usable(upstream, demand.prompt.model, view.now_ms)


def has_capacity(upstream: Upstream, view: SchedulingView) -> bool:
    """Return whether an upstream can take one more request."""
    return accepts_work(upstream, view) and has_room(upstream, view)


def may_fit(
    demand: Demand, upstreams: Iterable[Upstream], view: SchedulingView
) -> bool:
    """Return whether a request fits into the memory of any of the upstreams.

    It is much cheaper than the estimates: ``choose`` calls it before it computes any,
    and the dispatcher before it calls ``choose`` for a queued request.
    """
    if demand.prompt is None or demand.service.engine is None:
        return any(True for _ in upstreams)
    shared_prompt = SharedPrompt(
        demand.prompt, demand.cache_scope, demand.service.engine
    )
    caches = view.caches
    for upstream in upstreams:
        total = view.loads.total(upstream.incarnation, view.now_ms)
        n_cached = n_cached_prefix_tokens(shared_prompt, upstream, caches)
        if fits(demand, total, demand.prompt.n_total_tokens - n_cached):
            return True
    return False


def accepts_work(upstream: Upstream, view: SchedulingView) -> bool:
    """Return whether an upstream is neither blocked nor loading weights."""
    load = view.loads.of(upstream.incarnation)
    return view.now_ms >= max(load.blocked_until_ms, load.loading_until_ms)


def has_room(upstream: Upstream, view: SchedulingView) -> bool:
    """Return whether an upstream has a slot and little queued prefill."""
    total = view.loads.total(upstream.incarnation, view.now_ms)
    return find_shortage(upstream, total) is None


def find_shortage(upstream: Upstream, total: Work) -> Obstacle | None:
    """Return what an upstream lacks for one more request, None if nothing."""
    if total.n_requests >= max(1, upstream.n_slots) * MAX_REQUESTS_PER_SLOT:
        return Obstacle.NO_SLOT
    if total.prefill_ms > MAX_QUEUED_PREFILL_MS:
        return Obstacle.QUEUED_PREFILL
    return None


def fits(demand: Demand, total: Work, n_memory: int) -> bool:
    """Return whether the request fits into the memory that is left.

    An idle engine accepts any request, however large.
    """
    if not total.n_memory_tokens:
        return True
    share = URGENT_MEMORY_SHARE if demand.is_urgent else MEMORY_SHARE
    capacity = demand.service.engine.kv_capacity_tokens
    return total.n_memory_tokens + n_memory <= capacity * share

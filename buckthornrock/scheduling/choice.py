"""Chooses the upstream with the lowest estimated time to first response.

The estimate is made for long prompts with shared prefixes. It counts the tokens to
prefill, the prefill work already queued at the engine, and memory. Among otherwise
equal engines, rendezvous hashing of the shared prefix selects the preferred one, so
that instances send equal prompts to the same engine without coordination.
"""

import enum
import functools
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..catalog.configuration import PromptStore, Route, Service
from ..catalog.upstreams import Upstream
from ..runtime import rendezvous
from .loads import FleetLoads, UpstreamLoad, Work
from .prefill import (
    MIN_SHARED_TOKENS,
    CacheSource,
    CacheView,
    PrefillPlan,
    SharedPrompt,
    find_cache_sources,
    has_fast_link,
    n_cached_prefix_tokens,
    prefill_planner,
    prompt_store_incarnation,
)
from .prompt import PromptShape
from .weights import WeightsView

#: Added to each decoding step by every running request.
STEP_MS_PER_REQUEST = 0.1
#: Cost of an upstream in another failure domain.
CROSS_DOMAIN_COST_MS = 2.0
#: Cost of an engine that is not the preferred one for the prompt's shared parts and
#: has too few of them cached. It keeps equal prompts on one engine.
NO_AFFINITY_COST_MS = 25.0
#: Assumed cost of a failed request; multiplied by the upstream's failure rate.
FAILURE_COST_MS = 3_000.0
#: Cost of outdated weights, as a share of the route's latency objective.
OUTDATED_WEIGHTS_COST_SHARE = 0.5
#: An estimate above this share of the latency objective is expected to be late.
ON_TIME_SHARE = 0.8
#: Cost of a response expected to be late, as a share of the latency objective.
LATE_COST_SHARE = 1.0
#: Outdated weights cost nothing for this long after a newer version is wanted.
OUTDATED_WEIGHTS_GRACE_MS = 1_400.0
#: An engine with more queued prefill than this is given no further request.
MAX_QUEUED_PREFILL_MS = 350.0
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
#: Cost for an urgent request of an engine used for long prompts.
LONG_PROMPT_ENGINE_COST_MS = 80.0
#: Longest objective of a route whose long prompts overflow. Others can wait for an
#: engine to finish its queued prefill, and overflow would delay urgent requests.
MAX_OVERFLOW_OBJECTIVE_MS = 4.0 * MAX_QUEUED_PREFILL_MS
#: Share of the other engines that long prompts never use, so that urgent requests
#: always find engines without long prefill.
KEPT_FOR_URGENT_SHARE = 0.4
#: Share of their slots that the running requests may fill on the engines kept for them.
URGENT_SLOT_SHARE = 0.5
#: Requests per slot that an upstream may have.
MAX_REQUESTS_PER_SLOT = 1.0
#: Shares of an engine's KV memory that its requests may fill. The difference is
#: reserved for requests of the most urgent routes.
MEMORY_SHARE = 0.85
URGENT_MEMORY_SHARE = 0.97
#: Distinct route ranks; higher ranks are treated as the last one.
N_ROUTE_RANKS = 3
#: Priority classes that engines support; class 0 is served first.
N_PRIORITY_CLASSES = 10


class Demand(NamedTuple):
    """What the scheduler needs to know of a request.

    ``prompt`` is None for plain services. ``cache_scope`` separates the cached parts
    of isolated client accounts.
    """

    request_id: str
    route: Route
    rank: int
    service: Service
    cache_scope: str
    prompt: PromptShape | None

    @property
    def urgency(self) -> int:
        """Scheduling order, lowest first: by rank, then by the route's rank."""
        return self.rank * N_ROUTE_RANKS + min(N_ROUTE_RANKS - 1, self.route.rank)

    @property
    def priority_class(self) -> int:
        """Priority at the engine, where the route's rank comes before the rank.

        Urgent routes have short prompts, which hardly delay other requests there.
        """
        route_rank = min(N_ROUTE_RANKS - 1, self.route.rank)
        return min(N_PRIORITY_CLASSES - 1, route_rank * N_ROUTE_RANKS + self.rank)

    @property
    def is_urgent(self) -> bool:
        """Whether the request's route has the most urgent rank."""
        return self.route.rank == 0

    @property
    def has_tight_objective(self) -> bool:
        """Whether the route isn't urgent, and leaves no time to wait for an engine."""
        return (
            not self.is_urgent and self.route.objective_ms <= MAX_OVERFLOW_OBJECTIVE_MS
        )


class SchedulingView(NamedTuple):
    """Snapshot of the state that placements are computed from.

    ``cache_only`` are upstreams that take no work, but whose caches may be fetched.
    """

    loads: FleetLoads
    weights: WeightsView
    prompt_stores: tuple[PromptStore, ...]
    failure_domain: str
    now_ms: float
    cache_only: tuple[Upstream, ...] = ()

    @property
    def caches(self) -> CacheView:
        """The part of this view that prefill plans are computed from."""
        return CacheView(self.loads, self.weights, self.prompt_stores, self.now_ms)


class CostTerms(NamedTuple):
    """Terms of an estimate; their sum is the estimate.

    ``queue_ms`` is the work that is already there, ``prefill_ms`` the time to fetch
    and prefill the prompt. The others are costs that make an upstream less preferred.
    """

    queue_ms: float
    failures_ms: float
    distance_ms: float
    long_prompts_ms: float = 0.0
    prefill_ms: float = 0.0
    no_affinity_ms: float = 0.0
    outdated_weights_ms: float = 0.0
    late_ms: float = 0.0

    @property
    def estimate_ms(self) -> float:
        """The sum of all terms."""
        return (
            self.queue_ms
            + self.failures_ms
            + self.distance_ms
            + self.long_prompts_ms
            + self.prefill_ms
            + self.no_affinity_ms
            + self.outdated_weights_ms
            + self.late_ms
        )


class Obstacle(enum.Enum):
    """Why an upstream isn't an option for a request; the values are shown."""

    NO_WEIGHTS = "the model is not loaded"
    OUTDATED_WEIGHTS = "its weights have been outdated for too long"
    BLOCKED = "blocked after a failed or refused request"
    LOADING = "loading weights"
    NO_SLOT = "no free slot"
    QUEUED_PREFILL = "too much queued prefill"
    NO_MEMORY = "not enough free memory"
    LATE_START = "its weights would be too old at the start"
    DEARER = "dearer than another one"


class Placement(NamedTuple):
    """The chosen upstream and the work that the request adds there.

    ``weights_version`` is the version that the upstream is expected to have loaded,
    which has been outdated for ``weights_lag_ms``; both are None without a prompt.
    ``queued_prefill_ms`` is the prefill that was queued there before the request.
    ``kv_source`` is the address of the engine or prompt store from which shared parts
    that are not cached at the chosen engine are fetched. ``kv_target`` is the address
    of the prompt store that should store the shared parts. Both are "" for none.
    ``terms`` are those of the estimate. ``is_overflow`` says that a long prompt found
    no place in time on the engines used for long prompts. ``prefill_factor`` is the
    engine's prefill time as a multiple of the mean, ``fetch_ms`` the time to fetch
    cached parts.
    """

    upstream: Upstream
    estimate_ms: float
    work: Work
    weights_version: int | None = None
    n_cached_tokens: int = 0
    kv_source: str = ""
    kv_target: str = ""
    weights_lag_ms: float | None = None
    queued_prefill_ms: float = 0.0
    terms: CostTerms | None = None
    is_overflow: bool = False
    fetch_ms: float = 0.0
    prefill_factor: float = 1.0


class NoCapacity(NamedTuple):
    """No upstream has capacity for the request now.

    ``n_usable`` is the number of upstreams that can serve it once capacity is free.
    """

    n_usable: int

    code = "no-place"


def _long_prompt_engines(upstreams: list[Upstream]) -> dict[str, Upstream]:
    """Return the engines used for long prompts, by id.

    While an engine prefills a long prompt, its other responses slow down, so the
    remaining engines are reserved for other requests. Rendezvous hashing makes all
    instances choose the same engines.
    """
    n_long = math.ceil(len(upstreams) * LONG_PROMPT_SHARE)
    by_id = {upstream.upstream_id: upstream for upstream in upstreams}
    ranked = _rank_for_long_prompts(tuple(by_id))
    return {upstream_id: by_id[upstream_id] for upstream_id in ranked[:n_long]}


@functools.lru_cache(N_CACHED_RANKINGS)
def _rank_for_long_prompts(upstream_ids: tuple[str, ...]) -> list[str]:
    return rendezvous.rank(LONG_PROMPT_KEY, upstream_ids)


class _PromptContext(NamedTuple):
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


def choose(
    demand: Demand, upstreams: Iterable[Upstream], view: SchedulingView
) -> Placement | NoCapacity:
    """Return the best placement among upstreams with free capacity."""
    usable = [u for u in upstreams if may_serve(demand, u, view)]
    accepting = [u for u in usable if _accepts_work(u, view)]
    if not may_fit(demand, with_capacity(accepting, view), view):
        return NoCapacity(len(usable))
    context = _prompt_context(demand, accepting, view)
    if context is not None and not demand.is_urgent:
        best = _best_for_long(demand, context, accepting, view)
    else:
        best = _best(demand, context, accepting, view)
    return best or NoCapacity(len(usable))


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
        option = _option(demand, context, upstream, view, math.inf)
        found[upstream.upstream_id] = option
    return [(u, found[u.upstream_id]) for u in upstreams]


def _unavailable(
    demand: Demand, upstream: Upstream, view: SchedulingView
) -> Obstacle | None:
    """Return why an upstream takes no such request, None if it does."""
    if not may_serve(demand, upstream, view):
        is_loaded = view.weights.loaded(upstream, demand.prompt.model) is not None
        return Obstacle.OUTDATED_WEIGHTS if is_loaded else Obstacle.NO_WEIGHTS
    if _accepts_work(upstream, view):
        return None
    load = view.loads.of(upstream.incarnation)
    is_blocked = view.now_ms < load.blocked_until_ms
    return Obstacle.BLOCKED if is_blocked else Obstacle.LOADING


def with_capacity(
    upstreams: Iterable[Upstream], view: SchedulingView
) -> list[Upstream]:
    """Return the upstreams of a service that can take one more request."""
    return [u for u in upstreams if _accepts_work(u, view) and _has_free_slot(u, view)]


def may_fit(
    demand: Demand, upstreams: Iterable[Upstream], view: SchedulingView
) -> bool:
    """Return whether a request fits into the memory of any of the upstreams.

    This is much cheaper than ``choose`` and skips it for queued requests while memory
    is the bottleneck.
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
        if _fits(demand, total, demand.prompt.n_total_tokens - n_cached):
            return True
    return False


def _accepts_work(upstream: Upstream, view: SchedulingView) -> bool:
    load = view.loads.of(upstream.incarnation)
    return view.now_ms >= max(load.blocked_until_ms, load.loading_until_ms)


def _has_free_slot(upstream: Upstream, view: SchedulingView) -> bool:
    total = view.loads.total(upstream.incarnation, view.now_ms)
    return _shortage(upstream, total) is None


def _shortage(upstream: Upstream, total: Work) -> Obstacle | None:
    """Return what an upstream lacks for one more request, None if nothing."""
    if total.n_requests >= max(1, upstream.n_slots) * MAX_REQUESTS_PER_SLOT:
        return Obstacle.NO_SLOT
    if total.prefill_ms > MAX_QUEUED_PREFILL_MS:
        return Obstacle.QUEUED_PREFILL
    return None


def _best_for_long(
    demand: Demand,
    context: _PromptContext,
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
    best = _best(demand, context, list(engines.values()), view)
    others = [u for u in upstreams if u.upstream_id not in engines]
    is_in_time = best is not None and not _is_late(best.estimate_ms, demand)
    if demand.has_tight_objective and not is_in_time:
        overflow = _best(demand, context, _overflow_engines(others, view), view)
        if overflow is None or not _is_worth_overflowing(best, overflow, demand):
            return best
        return overflow._replace(is_overflow=True)
    if best is None:
        return None
    if any(_queued_prefill_ms(upstream, view) > LONG_PREFILL_MS for upstream in others):
        return best
    other = _best(demand, context, others, view)
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
    is_late = _is_late(overflow.estimate_ms, demand)
    least_gain_ms = RESERVED_ENGINE_COST_MS if is_late else 0.0
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


def _best(
    demand: Demand,
    context: _PromptContext | None,
    upstreams: list[Upstream],
    view: SchedulingView,
) -> Placement | None:
    best = None
    for upstream in upstreams:
        limit_ms = best.estimate_ms if best is not None else math.inf
        option = _option(demand, context, upstream, view, limit_ms)
        if isinstance(option, Placement) and option.estimate_ms < limit_ms:
            best = option
    if best is None:
        return None
    return best._replace(kv_target=_kv_target(demand, context, best.upstream, view))


def _queued_prefill_ms(upstream: Upstream, view: SchedulingView) -> float:
    return view.loads.total(upstream.incarnation, view.now_ms).prefill_ms


def may_serve(demand: Demand, upstream: Upstream, view: SchedulingView) -> bool:
    """Return whether an upstream has weights that the request may use."""
    if demand.prompt is None:
        return True
    return view.weights.is_usable(upstream, demand.prompt.model, view.now_ms)


def _prompt_context(
    demand: Demand, upstreams: list[Upstream], view: SchedulingView
) -> _PromptContext | None:
    if demand.prompt is None or demand.service.engine is None:
        return None
    shared_prompt = SharedPrompt(
        demand.prompt, demand.cache_scope, demand.service.engine
    )
    long_engines = _long_prompt_engines(upstreams)
    if demand.is_urgent or not shared_prompt.is_worth_fetching or not long_engines:
        plan = prefill_planner(shared_prompt, (), view.caches)
        return _PromptContext(long_engines, shared_prompt, plan)
    key = f"{demand.cache_scope}/{demand.prompt.shared[-1].part_id}"
    preferred_id = rendezvous.owner(key.encode(), list(long_engines))
    service = demand.service.name
    sources = upstreams + [u for u in view.cache_only if u.service == service]
    cache_sources = find_cache_sources(shared_prompt, sources, view.caches)
    plan = prefill_planner(shared_prompt, cache_sources, view.caches)
    return _PromptContext(
        long_engines, shared_prompt, plan, preferred_id, cache_sources
    )


def _option(
    demand: Demand,
    context: _PromptContext | None,
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
    shortage = _shortage(upstream, total)
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
    context: _PromptContext,
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
    if not _fits(demand, total, n_memory):
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
    if _is_late(estimate_ms, demand):
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


def _is_late(estimate_ms: float, demand: Demand) -> bool:
    """Return whether a response with this estimate is expected to be late."""
    return estimate_ms > demand.route.objective_ms * ON_TIME_SHARE


def _fits(demand: Demand, total: Work, n_memory: int) -> bool:
    """Return whether the request fits into the memory that is left.

    An idle engine accepts any request, however large.
    """
    if not total.n_memory_tokens:
        return True
    share = URGENT_MEMORY_SHARE if demand.is_urgent else MEMORY_SHARE
    capacity = demand.service.engine.kv_capacity_tokens
    return total.n_memory_tokens + n_memory <= capacity * share


def _kv_target(
    demand: Demand,
    context: _PromptContext | None,
    upstream: Upstream,
    view: SchedulingView,
) -> str:
    """Return the address of the store that should store the shared parts, or ""."""
    if context is None or not context.shared_prompt.is_worth_fetching:
        return ""
    store = _prompt_store(demand, upstream, view.prompt_stores)
    if store is None:
        return ""
    if view.weights.lag_ms(upstream, demand.prompt.model, view.now_ms):
        # The weights may be replaced during prefill, and the store could not
        # distinguish the new parts from those of the previous weights.
        return ""
    # One copy is enough: fetching from another failure domain takes far less time than
    # prefill, and the capacities of the stores add up.
    holding = {source.address for source in context.cache_sources}
    is_stored = any(other.address in holding for other in view.prompt_stores)
    is_blocked = (
        view.now_ms < view.loads.of(prompt_store_incarnation(store)).blocked_until_ms
    )
    return "" if is_stored or is_blocked else store.address


def _prompt_store(
    demand: Demand, upstream: Upstream, stores: tuple[PromptStore, ...]
) -> PromptStore | None:
    """Return the store for the shared parts of a prompt that an engine computes.

    It is one in the engine's failure domain, or any one if there is none. Among
    several, rendezvous hashing of the leading part chooses, so that all instances agree
    and the parts that continue it are found beside it. Stores with slow links are not
    worth more transfers, and the first one alone is used.
    """
    fast = [s for s in stores if has_fast_link(s, demand.service.engine)]
    if len(fast) < 2:
        return stores[0] if stores else None
    near = [s for s in fast if s.failure_domain == upstream.failure_domain]
    by_address = {store.address: store for store in near or fast}
    prompt = demand.prompt
    key = f"{demand.cache_scope}/{prompt.model}/{prompt.shared[0].part_id}"
    return by_address[rendezvous.owner(key.encode(), list(by_address))]


def _distance_ms(upstream: Upstream, view: SchedulingView) -> float:
    is_same_domain = upstream.failure_domain == view.failure_domain
    return 0.0 if is_same_domain else CROSS_DOMAIN_COST_MS

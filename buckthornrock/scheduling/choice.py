"""Chooses the upstream that is expected to answer a request first.

Answers the load pattern of long prompts that share parts: the estimate counts the
tokens that must be read, the reading that is queued before them, and memory. Equal
upstreams are ranked by rendezvous hashing of the shared part, so that instances which
know nothing of each other send equal prompts to the same engine.
"""

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
    Sharing,
    find_cache_sources,
    n_leading_cached,
    prefill_planner,
    prompt_store_incarnation,
)
from .prompt import PromptShape
from .weights import WeightsView

#: Time of a step that each running request adds.
STEP_MS_PER_REQUEST = 0.1
#: Cost of another failure domain.
CROSS_DOMAIN_MS = 2.0
#: Cost of an upstream that neither has a shared part nor is its home.
AWAY_FROM_HOME_MS = 25.0
#: What a failure of an upstream is taken to cost.
FAILURE_COST_MS = 3_000.0
#: Cost of weights that were replaced a while ago, as a share of the objective.
OLD_WEIGHTS_SHARE = 0.5
#: Share of the objective that an estimate may take for an answer on time.
ON_TIME_SHARE = 0.8
#: Cost of an answer that will be late, as a share of the objective.
LATE_SHARE = 1.0
#: Replaced weights are as good as new ones for this time.
OLD_WEIGHTS_FREE_MS = 1_400.0
#: Reading that may be queued at an engine when a request is handed on.
MAX_QUEUED_READING_MS = 350.0
#: Share of the engines that read long prompts.
LONG_PROMPT_SHARE = 0.5
LONG_PROMPT_KEY = b"long prompts"
#: Sets of engines whose ranking is remembered; they change as engines come and go.
N_REMEMBERED_RANKINGS = 64
#: An engine that reads this long delays urgent requests noticeably.
LONG_READING_MS = 60.0
#: Cost to a long prompt of an engine that is kept for others.
OTHER_ENGINE_MS = 150.0
#: Cost to an urgent request of an engine that reads long prompts.
SLOW_ENGINE_MS = 80.0
#: Requests per slot that an upstream may be given.
MAX_PLACES_PER_SLOT = 1.0
#: Shares of an engine's memory that running requests may fill; the rest is kept for
#: requests of the most urgent routes.
MEMORY_SHARE = 0.85
URGENT_MEMORY_SHARE = 0.97
#: Ranks of routes that are told apart within a client account's rank.
N_ROUTE_RANKS = 3
#: Priority classes that engines know, 0 first.
N_PRIORITY_CLASSES = 10


class Demand(NamedTuple):
    """A request as the choice sees it; ``prompt`` is None for plain services.

    ``cache_scope`` keeps cached parts of isolated client accounts apart.
    """

    request_id: str
    route: Route
    rank: int
    service: Service
    cache_scope: str
    prompt: PromptShape | None

    @property
    def urgency(self) -> int:
        """Order among all requests: the rank, and within it the route's rank."""
        return self.rank * N_ROUTE_RANKS + min(N_ROUTE_RANKS - 1, self.route.rank)

    @property
    def priority_class(self) -> int:
        """Order at the engine: short prompts of urgent routes delay nobody there."""
        route_rank = min(N_ROUTE_RANKS - 1, self.route.rank)
        return min(N_PRIORITY_CLASSES - 1, route_rank * N_ROUTE_RANKS + self.rank)

    @property
    def is_urgent(self) -> bool:
        """Whether the request belongs to a most urgent route."""
        return self.route.rank == 0


class SchedulingView(NamedTuple):
    """Everything that the choice is made from."""

    loads: FleetLoads
    weights: WeightsView
    prompt_stores: tuple[PromptStore, ...]
    failure_domain: str
    now_ms: float

    @property
    def caches(self) -> CacheView:
        """The part that decides how prompts are read."""
        return CacheView(self.loads, self.weights, self.prompt_stores, self.now_ms)


class Placement(NamedTuple):
    """The chosen upstream and what the request will take there.

    ``weights_version`` is what the upstream is expected to have. ``kv_source`` is the
    address of an engine or store that holds the shared parts which are not cached at
    the chosen one, ``kv_target`` that of a store which should keep them, "" for none.
    """

    upstream: Upstream
    estimate_ms: float
    work: Work
    weights_version: int | None = None
    n_cached_tokens: int = 0
    kv_source: str = ""
    kv_target: str = ""


class NoCapacity(NamedTuple):
    """No upstream can begin the request soon.

    ``n_usable`` is the number of upstreams that will be able to later.
    """

    n_usable: int

    code = "no-place"


def _long_prompt_engines(upstreams: list[Upstream]) -> dict[str, Upstream]:
    """Return the engines that read long prompts; the others answer without pauses.

    While an engine reads a long prompt, everything that it answers slows down. All
    instances leave the same engines out.
    """
    n_long = math.ceil(len(upstreams) * LONG_PROMPT_SHARE)
    by_id = {upstream.upstream_id: upstream for upstream in upstreams}
    ranked = _rank_for_long_prompts(tuple(by_id))
    return {upstream_id: by_id[upstream_id] for upstream_id in ranked[:n_long]}


@functools.lru_cache(N_REMEMBERED_RANKINGS)
def _rank_for_long_prompts(upstream_ids: tuple[str, ...]) -> list[str]:
    return rendezvous.rank(LONG_PROMPT_KEY, upstream_ids)


class _Prompted(NamedTuple):
    """A demand's prompt with its home and holders.

    ``long_engines`` are those that read long prompts, by id. ``home`` is where equal
    prompts go if nothing else decides, "" for prompts that go anywhere. ``plan`` tells
    how an engine would get at the prompt.
    """

    long_engines: dict[str, Upstream]
    sharing: Sharing
    plan: Callable[[Upstream], PrefillPlan]
    home: str = ""
    holders: tuple[CacheSource, ...] = ()


def choose(
    demand: Demand, upstreams: Iterable[Upstream], view: SchedulingView
) -> Placement | NoCapacity:
    """Return the best placement among upstreams with a free place."""
    usable = [u for u in upstreams if _may_serve(demand, u, view)]
    open_ = [u for u in usable if _takes_work(u, view)]
    if not may_fit(demand, with_capacity(open_, view), view):
        return NoCapacity(len(usable))
    prompted = _prompted(demand, open_, view)
    if prompted is not None and not demand.is_urgent:
        best = _best_for_long(demand, prompted, open_, view)
    else:
        best = _best(demand, prompted, open_, view)
    return best or NoCapacity(len(usable))


def with_capacity(
    upstreams: Iterable[Upstream], view: SchedulingView
) -> list[Upstream]:
    """Return the upstreams of a service that may take one more request."""
    return [u for u in upstreams if _takes_work(u, view) and _has_place(u, view)]


def may_fit(
    demand: Demand, upstreams: Iterable[Upstream], view: SchedulingView
) -> bool:
    """Return whether a request fits into the memory of any upstream with room.

    Much cheaper than to choose, for requests that wait while memory is what lacks.
    """
    if demand.prompt is None or demand.service.engine is None:
        return any(True for _ in upstreams)
    sharing = Sharing(demand.prompt, demand.cache_scope, demand.service.engine)
    caches = view.caches
    for upstream in upstreams:
        total = view.loads.total(upstream.incarnation, view.now_ms)
        n_cached = n_leading_cached(sharing, upstream, caches)
        if _fits(demand, total, demand.prompt.n_total_tokens - n_cached):
            return True
    return False


def _takes_work(upstream: Upstream, view: SchedulingView) -> bool:
    load = view.loads.of(upstream.incarnation)
    return view.now_ms >= max(load.blocked_until_ms, load.loading_until_ms)


def _has_place(upstream: Upstream, view: SchedulingView) -> bool:
    total = view.loads.total(upstream.incarnation, view.now_ms)
    n_places = max(1, upstream.n_slots) * MAX_PLACES_PER_SLOT
    return total.n_requests < n_places and total.prefill_ms <= MAX_QUEUED_READING_MS


def _best_for_long(
    demand: Demand, prompted: _Prompted, upstreams: list[Upstream], view: SchedulingView
) -> Placement | None:
    """Keep long prompts to some of the engines, strictly while these are full."""
    engines = prompted.long_engines
    best = _best(demand, prompted, list(engines.values()), view)
    if best is None:
        return None
    others = [u for u in upstreams if u.upstream_id not in engines]
    if any(_reading_ms(upstream, view) > LONG_READING_MS for upstream in others):
        return best
    other = _best(demand, prompted, others, view)
    if other is None or other.estimate_ms + OTHER_ENGINE_MS > best.estimate_ms:
        return best
    return other


def _best(
    demand: Demand,
    prompted: _Prompted | None,
    upstreams: list[Upstream],
    view: SchedulingView,
) -> Placement | None:
    best = None
    for upstream in upstreams:
        limit_ms = best.estimate_ms if best is not None else math.inf
        option = _option(demand, prompted, upstream, view, limit_ms)
        if option is not None and option.estimate_ms < limit_ms:
            best = option
    if best is None:
        return None
    return best._replace(kv_target=_kv_target(demand, prompted, best.upstream, view))


def _reading_ms(upstream: Upstream, view: SchedulingView) -> float:
    return view.loads.total(upstream.incarnation, view.now_ms).prefill_ms


def _may_serve(demand: Demand, upstream: Upstream, view: SchedulingView) -> bool:
    if demand.prompt is None:
        return True
    return view.weights.is_usable(upstream, demand.prompt.model, view.now_ms)


def _prompted(
    demand: Demand, upstreams: list[Upstream], view: SchedulingView
) -> _Prompted | None:
    if demand.prompt is None or demand.service.engine is None:
        return None
    sharing = Sharing(demand.prompt, demand.cache_scope, demand.service.engine)
    long_engines = _long_prompt_engines(upstreams)
    if demand.is_urgent or not sharing.is_worth_fetching or not long_engines:
        plan = prefill_planner(sharing, (), view.caches)
        return _Prompted(long_engines, sharing, plan)
    key = f"{demand.cache_scope}/{demand.prompt.shared[-1].part_id}"
    home = rendezvous.owner(key.encode(), list(long_engines))
    holders = find_cache_sources(sharing, upstreams, view.caches)
    plan = prefill_planner(sharing, holders, view.caches)
    return _Prompted(long_engines, sharing, plan, home, holders)


def _option(
    demand: Demand,
    prompted: _Prompted | None,
    upstream: Upstream,
    view: SchedulingView,
    limit_ms: float,
) -> Placement | None:
    """Return a placement; it may be left out if it takes ``limit_ms`` or more."""
    if not _has_place(upstream, view):
        return None
    load = view.loads.of(upstream.incarnation)
    total = view.loads.total(upstream.incarnation, view.now_ms)
    if prompted is None:
        return _plain_option(demand, upstream, load, total, view)
    is_slow = demand.is_urgent and upstream.upstream_id in prompted.long_engines
    queue_ms = (
        total.prefill_ms
        + total.n_requests * STEP_MS_PER_REQUEST
        + load.failure_rate(view.now_ms) * FAILURE_COST_MS
        + _distance_ms(upstream, view)
        + (SLOW_ENGINE_MS if is_slow else 0.0)
    )
    if queue_ms + prompted.sharing.least_reading_ms >= limit_ms:
        return None
    return _engine_option(demand, prompted, upstream, queue_ms, total, view)


def _plain_option(
    demand: Demand,
    upstream: Upstream,
    load: UpstreamLoad,
    total: Work,
    view: SchedulingView,
) -> Placement:
    estimate_ms = (
        total.n_requests / max(1, upstream.n_slots) * demand.route.objective_ms * 0.5
        + load.failure_rate(view.now_ms) * FAILURE_COST_MS
        + _distance_ms(upstream, view)
    )
    return Placement(upstream, estimate_ms, Work(n_requests=1))


def _engine_option(
    demand: Demand,
    prompted: _Prompted,
    upstream: Upstream,
    queue_ms: float,
    total: Work,
    view: SchedulingView,
) -> Placement | None:
    prompt = demand.prompt
    reading = prompted.plan(upstream)
    n_memory = prompt.n_total_tokens - reading.n_cached
    if not _fits(demand, total, n_memory):
        return None
    lag_ms = view.weights.lag_ms(upstream, prompt.model, view.now_ms)
    is_home = prompted.home in ("", upstream.upstream_id)
    is_away = not is_home and reading.n_cached < MIN_SHARED_TOKENS
    estimate_ms = queue_ms + reading.duration_ms
    if is_away:
        estimate_ms += AWAY_FROM_HOME_MS
    objective_ms = demand.route.objective_ms
    if lag_ms > OLD_WEIGHTS_FREE_MS:
        estimate_ms += objective_ms * OLD_WEIGHTS_SHARE
    if estimate_ms > objective_ms * ON_TIME_SHARE:
        estimate_ms += objective_ms * LATE_SHARE
    return Placement(
        upstream,
        estimate_ms,
        Work(1, reading.prefill_ms, n_memory),
        view.weights.loaded(upstream, prompt.model),
        reading.n_cached,
        reading.kv_source,
    )


def _fits(demand: Demand, total: Work, n_memory: int) -> bool:
    """Return whether the request fits beside what runs; an empty engine takes all."""
    if not total.n_memory_tokens:
        return True
    share = URGENT_MEMORY_SHARE if demand.is_urgent else MEMORY_SHARE
    capacity = demand.service.engine.kv_capacity_tokens
    return total.n_memory_tokens + n_memory <= capacity * share


def _kv_target(
    demand: Demand, prompted: _Prompted | None, upstream: Upstream, view: SchedulingView
) -> str:
    """Return the store that should keep the shared parts, "" if one has them."""
    if prompted is None or not prompted.sharing.is_worth_fetching:
        return ""
    if not view.prompt_stores:
        return ""
    if view.weights.lag_ms(upstream, demand.prompt.model, view.now_ms):
        # The weights may change while the prompt is read, and nothing at the store
        # would tell the parts from those of the weights before.
        return ""
    store = view.prompt_stores[0]
    is_kept = any(holder.address == store.address for holder in prompted.holders)
    is_blocked = (
        view.now_ms < view.loads.of(prompt_store_incarnation(store)).blocked_until_ms
    )
    return "" if is_kept or is_blocked else store.address


def _distance_ms(upstream: Upstream, view: SchedulingView) -> float:
    is_near = upstream.failure_domain == view.failure_domain
    return 0.0 if is_near else CROSS_DOMAIN_MS

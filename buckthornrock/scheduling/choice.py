"""Chooses the upstream that is expected to answer a request first.

Answers the load pattern of long prompts that share parts: the estimate counts the
tokens that must be read, the reading that is queued before them, and memory. Equal
upstreams are ranked by rendezvous hashing of the shared part, so that instances which
know nothing of each other send equal prompts to the same engine.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ..catalog.configuration import PromptStore, Route, Service
from ..catalog.upstreams import Upstream
from ..runtime import rendezvous
from .loads import FleetLoads, Incarnation, UpstreamLoad, Work
from .prompt import PromptShape, cache_salt
from .weights import WeightsView

#: Prompt tokens that an engine reads in a millisecond.
PREFILL_TOKENS_PER_MS = 50.0
#: Tokens that an engine reads between two steps of the requests it runs.
PREFILL_CHUNK_TOKENS = 4_096
#: Time of a step that each running request adds.
STEP_MS_PER_REQUEST = 0.1
#: Time that fetching cached parts from another engine takes besides the transfer.
FETCH_SETUP_MS = 4.0
#: Cost of another failure domain.
CROSS_DOMAIN_MS = 2.0
#: Cost of an upstream that is not among the homes of the shared part.
AWAY_FROM_HOME_MS = 25.0
#: Shared parts below this size have no home.
MIN_SHARED_TOKENS = 512
#: What a failure of an upstream is taken to cost.
FAILURE_COST_MS = 3_000.0
#: Cost of weights that were replaced a while ago.
OLD_WEIGHTS_MS = 250.0
#: Replaced weights are as good as new ones for this time.
OLD_WEIGHTS_FREE_MS = 1_400.0
#: Reading that may be queued at an engine when a request is handed on.
MAX_QUEUED_READING_MS = 350.0
#: Requests per slot that a plain service may be given.
MAX_PLACES_PER_SLOT = 1.0
#: Share of an engine's memory that running requests may fill.
MEMORY_SHARE = 0.92


class Demand(NamedTuple):
    """A request as the choice sees it; ``prompt`` is None for plain services.

    ``wall`` keeps cached parts of isolated client accounts apart.
    """

    request_id: str
    route: Route
    rank: int
    service: Service
    wall: str
    prompt: PromptShape | None


class View(NamedTuple):
    """Everything that the choice is made from."""

    loads: FleetLoads
    weights: WeightsView
    prompt_stores: tuple[PromptStore, ...]
    failure_domain: str
    now_ms: float


class Placement(NamedTuple):
    """The chosen upstream and what the request will take there.

    ``weights_version`` is what the upstream is expected to have. ``kv_source`` is the
    address of another engine that holds the shared parts which are not cached at the
    chosen one, "" for none.
    """

    upstream: Upstream
    estimate_ms: float
    work: Work
    weights_version: int | None
    n_cached_tokens: int
    kv_source: str = ""


class NoPlace(NamedTuple):
    """No upstream can begin the request soon.

    ``n_usable`` is the number of upstreams that will be able to later.
    """

    n_usable: int

    code = "no-place"


def choose(
    demand: Demand, upstreams: Iterable[Upstream], view: View
) -> Placement | NoPlace:
    """Return the best placement among upstreams with a free place."""
    usable = [u for u in upstreams if _may_serve(demand, u, view)]
    sharing = _sharing(demand, usable, view)
    options = [_option(demand, u, sharing, view) for u in usable]
    free = [option for option in options if option is not None]
    if not free:
        return NoPlace(len(usable))
    return min(free, key=lambda option: option.estimate_ms)


def _may_serve(demand: Demand, upstream: Upstream, view: View) -> bool:
    if demand.prompt is None:
        return True
    return view.weights.is_usable(upstream, demand.prompt.model, view.now_ms)


class _Holder(NamedTuple):
    """An engine that holds leading shared parts of a prompt."""

    upstream: Upstream
    weights_version: int | None
    n_tokens: int


class _Sharing(NamedTuple):
    """Where a demand's shared parts belong, and where they are."""

    home_ranks: dict[Incarnation, int]
    holders: list[_Holder]


def _sharing(demand: Demand, upstreams: list[Upstream], view: View) -> _Sharing:
    prompt = demand.prompt
    if prompt is None or sum(p.n_tokens for p in prompt.shared) < MIN_SHARED_TOKENS:
        return _Sharing({}, [])
    key = f"{demand.wall}/{prompt.shared[-1].part_id}"
    by_id = {u.upstream_id: u.incarnation for u in upstreams}
    ranked = rendezvous.rank(key.encode(), list(by_id))
    home_ranks = {by_id[id_]: home_rank for home_rank, id_ in enumerate(ranked)}
    holders = [_holder(demand, u, view) for u in upstreams]
    return _Sharing(home_ranks, [h for h in holders if h.n_tokens >= MIN_SHARED_TOKENS])


def _holder(demand: Demand, upstream: Upstream, view: View) -> _Holder:
    version = view.weights.loaded(upstream, demand.prompt.model)
    load = view.loads.of(upstream.incarnation)
    if view.now_ms < load.loading_until_ms:
        return _Holder(upstream, version, 0)
    return _Holder(upstream, version, _n_cached(demand, load, version))


class _Reading(NamedTuple):
    """How an engine gets at a prompt."""

    n_cached: int
    n_to_read: int
    fetch_ms: float
    kv_source: str


def _reading(
    demand: Demand,
    upstream: Upstream,
    version: int | None,
    sharing: _Sharing,
    view: View,
) -> _Reading:
    """Return what is cached, what is fetched from a holder and what must be read."""
    prompt, engine = demand.prompt, demand.service.engine
    n_cached = _n_cached(demand, view.loads.of(upstream.incarnation), version)
    best = _Reading(n_cached, max(1, prompt.n_prompt_tokens - n_cached), 0.0, "")
    best_ms = best.n_to_read / PREFILL_TOKENS_PER_MS
    for holder in sharing.holders:
        n_fetched = holder.n_tokens - n_cached
        is_same = holder.upstream.incarnation == upstream.incarnation
        if is_same or holder.weights_version != version or n_fetched <= 0:
            continue
        is_far = holder.upstream.failure_domain != upstream.failure_domain
        n_bits = n_fetched * engine.kv_bytes_per_token * 8
        fetch_ms = FETCH_SETUP_MS + n_bits / (engine.link_mbps * 1_000.0)
        fetch_ms *= 2.0 if is_far else 1.0
        n_to_read = max(1, prompt.n_prompt_tokens - holder.n_tokens)
        total_ms = fetch_ms + n_to_read / PREFILL_TOKENS_PER_MS
        if total_ms < best_ms:
            address = holder.upstream.address
            best = _Reading(n_cached, n_to_read, fetch_ms, address)
            best_ms = total_ms
    return best


def _option(
    demand: Demand, upstream: Upstream, sharing: _Sharing, view: View
) -> Placement | None:
    load = view.loads.of(upstream.incarnation)
    if view.now_ms < max(load.blocked_until_ms, load.loading_until_ms):
        return None
    total = view.loads.total(upstream.incarnation, view.now_ms)
    if demand.prompt is None:
        return _plain_option(demand, upstream, load, total, view)
    return _engine_option(demand, upstream, load, total, sharing, view)


def _plain_option(
    demand: Demand, upstream: Upstream, load: UpstreamLoad, total: Work, view: View
) -> Placement | None:
    n_slots = max(1, upstream.n_slots)
    if total.n_requests >= n_slots * MAX_PLACES_PER_SLOT:
        return None
    estimate_ms = (
        total.n_requests / n_slots * demand.route.objective_ms * 0.5
        + load.failure_rate(view.now_ms) * FAILURE_COST_MS
        + _distance_ms(upstream, view)
    )
    return Placement(upstream, estimate_ms, Work(n_requests=1), None, 0)


def _engine_option(
    demand: Demand,
    upstream: Upstream,
    load: UpstreamLoad,
    total: Work,
    sharing: _Sharing,
    view: View,
) -> Placement | None:
    prompt = demand.prompt
    version = view.weights.loaded(upstream, prompt.model)
    reading = _reading(demand, upstream, version, sharing, view)
    n_ahead = _tokens_ahead(demand, total)
    queued_ms = n_ahead / PREFILL_TOKENS_PER_MS
    if total.n_requests >= upstream.n_slots or queued_ms > MAX_QUEUED_READING_MS:
        return None
    n_memory = prompt.n_prompt_tokens - reading.n_cached + prompt.n_output_tokens
    capacity = demand.service.engine.kv_capacity_tokens if demand.service.engine else 0
    if total.n_memory_tokens and (
        total.n_memory_tokens + n_memory > capacity * MEMORY_SHARE
    ):
        return None
    lag_ms = view.weights.lag_ms(upstream, prompt.model, view.now_ms)
    estimate_ms = (
        queued_ms
        + reading.fetch_ms
        + reading.n_to_read / PREFILL_TOKENS_PER_MS
        + total.n_requests * STEP_MS_PER_REQUEST
        + load.failure_rate(view.now_ms) * FAILURE_COST_MS
        + _distance_ms(upstream, view)
        + (AWAY_FROM_HOME_MS if sharing.home_ranks.get(upstream.incarnation) else 0.0)
        + (OLD_WEIGHTS_MS if lag_ms > OLD_WEIGHTS_FREE_MS else 0.0)
    )
    n_urgent = reading.n_to_read if demand.rank == 0 else 0
    work = Work(1, reading.n_to_read, n_urgent, n_memory)
    return Placement(
        upstream, estimate_ms, work, version, reading.n_cached, reading.kv_source
    )


def _n_cached(demand: Demand, load: UpstreamLoad, version: int | None) -> int:
    """Return the tokens of leading shared parts that are believed cached."""
    salt = cache_salt(demand.wall, demand.prompt.model, version)
    n_cached = 0
    for part in demand.prompt.shared:
        if (salt, part.part_id) not in load.cached:
            break
        n_cached += part.n_tokens
    return n_cached


def _tokens_ahead(demand: Demand, total: Work) -> int:
    """Return the tokens that are read before the demand's; urgent ones go first."""
    if demand.rank > 0:
        return total.n_prefill_tokens
    n_others = total.n_prefill_tokens - total.n_urgent_prefill_tokens
    return total.n_urgent_prefill_tokens + min(n_others, PREFILL_CHUNK_TOKENS)


def _distance_ms(upstream: Upstream, view: View) -> float:
    is_near = upstream.failure_domain == view.failure_domain
    return 0.0 if is_near else CROSS_DOMAIN_MS

"""Plans prefill: which parts of a prompt are cached, fetched or computed.

Pure: no I/O, and the caller passes the time.
"""

import functools
import math
from collections.abc import Callable
from typing import NamedTuple

from ..catalog.configuration import EngineSpec, PromptStore
from ..catalog.upstreams import Incarnation, Upstream
from ..wire.numeric_ids import part_number
from .loads import FleetLoads
from .prompt import PromptShape, cache_salt
from .weights import WeightsView

#: Prompt tokens that an engine prefills per millisecond, without attention.
PREFILL_TOKENS_PER_MS = 50.0
#: Attention time per million pairs of tokens.
ATTENTION_MS_PER_MILLION_PAIRS = 0.3
#: Shared parts below this total have no preferred engine and are not fetched.
MIN_SHARED_TOKENS = 512
#: Fixed time per fetch, besides the transfer.
FETCH_SETUP_MS = 4.0
#: Factor on the transfer time between failure domains.
CROSS_DOMAIN_TRANSFER_FACTOR = 2.0
#: Assumed transfer rate of a prompt store's link where the configuration has none or a
#: slow one, as a share of an engine's.
STORE_LINK_SHARE = 0.15
#: Least link of a store that counts as fast, as a share of an engine's.
FAST_LINK_SHARE = 0.5


class SharedPrompt(NamedTuple):
    """A prompt, with the scope and engine type that decide which caches it may use."""

    prompt: PromptShape
    cache_scope: str
    engine: EngineSpec

    @property
    def is_worth_fetching(self) -> bool:
        """Whether the shared parts are large enough to fetch or to place by hashing."""
        return sum(part.n_tokens for part in self.prompt.shared) >= MIN_SHARED_TOKENS

    @property
    def min_prefill_ms(self) -> float:
        """Lower bound of the prefill time, with all shared parts cached."""
        n_shared = sum(part.n_tokens for part in self.prompt.shared)
        return (self.prompt.n_prompt_tokens - n_shared) / PREFILL_TOKENS_PER_MS


class CacheSource(NamedTuple):
    """An engine or prompt store from which leading shared parts can be fetched."""

    address: str
    failure_domain: str
    salt: str
    n_tokens: int
    link_mbps: float


class PrefillPlan(NamedTuple):
    """How many tokens are cached, fetched from ``kv_source`` and computed."""

    n_cached: int
    n_fetched: int
    n_prefill_tokens: int
    fetch_ms: float
    kv_source: str

    @property
    def prefill_ms(self) -> float:
        """Time for which prefill occupies the engine."""
        return prefill_ms(self.n_prefill_tokens, self.n_cached + self.n_fetched)

    @property
    def duration_ms(self) -> float:
        """Time to fetch and prefill until the whole prompt is in the engine's cache."""
        return self.fetch_ms + self.prefill_ms


class CacheView(NamedTuple):
    """Snapshot of what is known about caches and weights."""

    loads: FleetLoads
    weights: WeightsView
    prompt_stores: tuple[PromptStore, ...]
    now_ms: float


def prefill_ms(n_prefill_tokens: int, n_before: int) -> float:
    """Return the prefill time of tokens that follow ``n_before`` cached ones."""
    n_million_pairs = n_prefill_tokens * (n_before + n_prefill_tokens / 2.0) / 1e6
    return (
        n_prefill_tokens / PREFILL_TOKENS_PER_MS
        + n_million_pairs * ATTENTION_MS_PER_MILLION_PAIRS
    )


def n_cached_prefix_tokens(
    shared_prompt: SharedPrompt, upstream: Upstream, view: CacheView
) -> int:
    """Return the tokens of leading shared parts cached or in prefill at an engine."""
    version = view.weights.loaded(upstream, shared_prompt.prompt.model)
    salt = cache_salt(shared_prompt.cache_scope, shared_prompt.prompt.model, version)
    parts = view.loads.of(upstream.incarnation).parts
    n_cached = 0
    for part in shared_prompt.prompt.shared:
        if not parts.holds(part_number(salt, part.part_id)):
            break
        n_cached += part.n_tokens
    return n_cached


def find_cache_sources(
    shared_prompt: SharedPrompt, upstreams: list[Upstream], view: CacheView
) -> tuple[CacheSource, ...]:
    """Return engines and prompt stores from which shared parts can be fetched."""
    if not shared_prompt.is_worth_fetching:
        return ()
    model = shared_prompt.prompt.model
    salts: dict[int | None, str] = {}
    cache_sources = []
    for upstream in upstreams:
        version = view.weights.loaded(upstream, model)
        if version not in salts:
            salts[version] = cache_salt(shared_prompt.cache_scope, model, version)
        source = _engine_source(shared_prompt, upstream, salts[version], view)
        if source is not None:
            cache_sources.append(source)
    for store in view.prompt_stores:
        cache_sources += [
            _store_source(shared_prompt, store, salt, view) for salt in salts.values()
        ]
    return tuple(h for h in cache_sources if h.n_tokens >= MIN_SHARED_TOKENS)


def prefill_planner(
    shared_prompt: SharedPrompt, cache_sources: tuple[CacheSource, ...], view: CacheView
) -> Callable[[Upstream], PrefillPlan]:
    """Return a function that computes the fastest prefill plan for an engine.

    Engines in one failure domain with the same weights and the same cached parts have
    the same plan, so plans are cached by these three.
    """

    @functools.cache
    def plan(version: int | None, failure_domain: str, n_cached: int) -> PrefillPlan:
        salt = cache_salt(
            shared_prompt.cache_scope, shared_prompt.prompt.model, version
        )
        usable = [h for h in cache_sources if h.salt == salt and h.n_tokens > n_cached]
        return _fastest(shared_prompt, usable, failure_domain, n_cached)

    def plan_for(upstream: Upstream) -> PrefillPlan:
        version = view.weights.loaded(upstream, shared_prompt.prompt.model)
        n_cached = n_cached_prefix_tokens(shared_prompt, upstream, view)
        return plan(version, upstream.failure_domain, n_cached)

    return plan_for


def _fastest(
    shared_prompt: SharedPrompt,
    cache_sources: list[CacheSource],
    failure_domain: str,
    n_cached: int,
) -> PrefillPlan:
    n_prompt = shared_prompt.prompt.n_prompt_tokens
    best = PrefillPlan(n_cached, 0, max(1, n_prompt - n_cached), 0.0, "")
    for source in cache_sources:
        n_fetched = source.n_tokens - n_cached
        fetch_ms = _fetch_ms(shared_prompt, source, n_fetched, failure_domain)
        n_prefill_tokens = max(1, n_prompt - source.n_tokens)
        option = PrefillPlan(
            n_cached, n_fetched, n_prefill_tokens, fetch_ms, source.address
        )
        if option.duration_ms < best.duration_ms:
            best = option
    return best


def prompt_store_incarnation(store: PromptStore) -> Incarnation:
    """Return the key under which a prompt store's load and parts are tracked."""
    return f"prompt-store:{store.address}", 0


def _engine_source(
    shared_prompt: SharedPrompt, upstream: Upstream, salt: str, view: CacheView
) -> CacheSource | None:
    """Return an engine as a source, None if it has no shared part ready."""
    incarnation = upstream.incarnation
    if view.now_ms < view.loads.of(incarnation).loading_until_ms:
        return None
    n_ready = _n_ready(shared_prompt, salt, incarnation, view)
    if not n_ready:
        return None
    link_mbps = shared_prompt.engine.link_mbps
    return CacheSource(
        upstream.address, upstream.failure_domain, salt, n_ready, link_mbps
    )


def _store_source(
    shared_prompt: SharedPrompt,
    store: PromptStore,
    salt: str,
    view: CacheView,
) -> CacheSource:
    n_ready = _n_ready(shared_prompt, salt, prompt_store_incarnation(store), view)
    link_mbps = _store_link_mbps(store, shared_prompt.engine)
    return CacheSource(store.address, store.failure_domain, salt, n_ready, link_mbps)


def _store_link_mbps(store: PromptStore, engine: EngineSpec) -> float:
    """Return the rate of a transfer from a store, which the engine's link bounds.

    All engines share a store's link. A slow one is busy with other transfers for much
    of the time, so that no more than the assumed rate is expected of it.
    """
    if has_fast_link(store, engine):
        return min(store.link_mbps, engine.link_mbps)
    return min(store.link_mbps or math.inf, engine.link_mbps * STORE_LINK_SHARE)


def has_fast_link(store: PromptStore, engine: EngineSpec) -> bool:
    """Return whether a store's link is fast against the links of the engines."""
    return store.link_mbps >= engine.link_mbps * FAST_LINK_SHARE


def _n_ready(
    shared_prompt: SharedPrompt, salt: str, incarnation: Incarnation, view: CacheView
) -> int:
    parts = view.loads.of(incarnation).parts
    n_ready = 0
    for part in shared_prompt.prompt.shared:
        if not parts.is_ready(part_number(salt, part.part_id), view.now_ms):
            break
        n_ready += part.n_tokens
    return n_ready


def _fetch_ms(
    shared_prompt: SharedPrompt, source: CacheSource, n_tokens: int, failure_domain: str
) -> float:
    n_bits = n_tokens * shared_prompt.engine.kv_bytes_per_token * 8
    transfer_ms = n_bits / (source.link_mbps * 1_000.0)
    factor = (
        1.0 if source.failure_domain == failure_domain else CROSS_DOMAIN_TRANSFER_FACTOR
    )
    return FETCH_SETUP_MS + transfer_ms * factor

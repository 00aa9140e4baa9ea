"""How an engine would get at the parts of a prompt: cached, fetched or read; pure."""

import functools
from collections.abc import Callable
from typing import NamedTuple

from ..catalog.configuration import EngineSpec, PromptStore
from ..catalog.upstreams import Incarnation, Upstream
from ..wire.numbers import part_number
from .loads import FleetLoads
from .prompt import PromptShape, cache_salt
from .weights import WeightsView

#: Prompt tokens that an engine reads in a millisecond.
PREFILL_TOKENS_PER_MS = 50.0
#: Time that attention takes for a million pairs of tokens.
READING_MS_PER_MILLION_PAIRS = 0.3
#: Shared parts below this size have no home and are not fetched.
MIN_SHARED_TOKENS = 512
#: Time that fetching takes besides the transfer.
FETCH_SETUP_MS = 4.0
#: Factor on transfers between failure domains.
FAR_FACTOR = 2.0
#: Transfer rate of a prompt store's link against an engine's.
STORE_LINK_SHARE = 0.15


class Sharing(NamedTuple):
    """A prompt with what decides which cached parts it may use."""

    prompt: PromptShape
    cache_scope: str
    engine: EngineSpec

    @property
    def is_worth_fetching(self) -> bool:
        """Whether the shared parts are large enough to have a home."""
        return sum(part.n_tokens for part in self.prompt.shared) >= MIN_SHARED_TOKENS

    @property
    def least_reading_ms(self) -> float:
        """Time that reading takes at least, with all shared parts cached."""
        n_shared = sum(part.n_tokens for part in self.prompt.shared)
        return (self.prompt.n_prompt_tokens - n_shared) / PREFILL_TOKENS_PER_MS


class CacheSource(NamedTuple):
    """Where leading shared parts of a prompt can be fetched."""

    address: str
    failure_domain: str
    salt: str
    n_tokens: int
    link_mbps: float


class PrefillPlan(NamedTuple):
    """What is cached, what must be read, and where the rest is fetched."""

    n_cached: int
    n_fetched: int
    n_to_read: int
    fetch_ms: float
    kv_source: str

    @property
    def prefill_ms(self) -> float:
        """Time for which the engine reads."""
        return prefill_ms(self.n_to_read, self.n_cached + self.n_fetched)

    @property
    def duration_ms(self) -> float:
        """Time until the prompt is in the engine's memory."""
        return self.fetch_ms + self.prefill_ms


class CacheView(NamedTuple):
    """What is known of caches and weights at a time."""

    loads: FleetLoads
    weights: WeightsView
    prompt_stores: tuple[PromptStore, ...]
    now_ms: float


def prefill_ms(n_to_read: int, n_before: int) -> float:
    """Return how long an engine reads tokens that follow ``n_before`` others."""
    n_million_pairs = n_to_read * (n_before + n_to_read / 2.0) / 1e6
    return (
        n_to_read / PREFILL_TOKENS_PER_MS
        + n_million_pairs * READING_MS_PER_MILLION_PAIRS
    )


def n_leading_cached(sharing: Sharing, upstream: Upstream, view: CacheView) -> int:
    """Return the tokens of leading shared parts that an engine has or is reading."""
    version = view.weights.loaded(upstream, sharing.prompt.model)
    salt = cache_salt(sharing.cache_scope, sharing.prompt.model, version)
    parts = view.loads.of(upstream.incarnation).parts
    n_cached = 0
    for part in sharing.prompt.shared:
        if not parts.holds(part_number(salt, part.part_id)):
            break
        n_cached += part.n_tokens
    return n_cached


def find_cache_sources(
    sharing: Sharing, upstreams: list[Upstream], view: CacheView
) -> tuple[CacheSource, ...]:
    """Return engines and prompt stores from which shared parts can be fetched."""
    if not sharing.is_worth_fetching:
        return ()
    holders = [_engine_holder(sharing, upstream, view) for upstream in upstreams]
    versions = {
        view.weights.loaded(upstream, sharing.prompt.model) for upstream in upstreams
    }
    for store in view.prompt_stores:
        holders += [_store_holder(sharing, store, v, view) for v in versions]
    return tuple(h for h in holders if h.n_tokens >= MIN_SHARED_TOKENS)


def prefill_planner(
    sharing: Sharing, holders: tuple[CacheSource, ...], view: CacheView
) -> Callable[[Upstream], PrefillPlan]:
    """Return a function that tells the fastest way for an engine to get at the prompt.

    Engines of one failure domain that have the same parts get at the rest alike.
    """

    @functools.cache
    def plan(version: int | None, failure_domain: str, n_cached: int) -> PrefillPlan:
        salt = cache_salt(sharing.cache_scope, sharing.prompt.model, version)
        usable = [h for h in holders if h.salt == salt and h.n_tokens > n_cached]
        return _fastest(sharing, usable, failure_domain, n_cached)

    def plan_for(upstream: Upstream) -> PrefillPlan:
        version = view.weights.loaded(upstream, sharing.prompt.model)
        n_cached = n_leading_cached(sharing, upstream, view)
        return plan(version, upstream.failure_domain, n_cached)

    return plan_for


def _fastest(
    sharing: Sharing, holders: list[CacheSource], failure_domain: str, n_cached: int
) -> PrefillPlan:
    n_prompt = sharing.prompt.n_prompt_tokens
    best = PrefillPlan(n_cached, 0, max(1, n_prompt - n_cached), 0.0, "")
    for holder in holders:
        n_fetched = holder.n_tokens - n_cached
        fetch_ms = _fetch_ms(sharing, holder, n_fetched, failure_domain)
        n_to_read = max(1, n_prompt - holder.n_tokens)
        option = PrefillPlan(n_cached, n_fetched, n_to_read, fetch_ms, holder.address)
        if option.duration_ms < best.duration_ms:
            best = option
    return best


def prompt_store_incarnation(store: PromptStore) -> Incarnation:
    """Return the key under which a prompt store's parts are known."""
    return f"prompt-store:{store.address}", 0


def _engine_holder(
    sharing: Sharing, upstream: Upstream, view: CacheView
) -> CacheSource:
    load = view.loads.of(upstream.incarnation)
    version = view.weights.loaded(upstream, sharing.prompt.model)
    salt = cache_salt(sharing.cache_scope, sharing.prompt.model, version)
    n_ready = 0
    if view.now_ms >= load.loading_until_ms:
        n_ready = _n_ready(sharing, salt, upstream.incarnation, view)
    link_mbps = sharing.engine.link_mbps
    return CacheSource(
        upstream.address, upstream.failure_domain, salt, n_ready, link_mbps
    )


def _store_holder(
    sharing: Sharing, store: PromptStore, version: int | None, view: CacheView
) -> CacheSource:
    salt = cache_salt(sharing.cache_scope, sharing.prompt.model, version)
    n_ready = _n_ready(sharing, salt, prompt_store_incarnation(store), view)
    link_mbps = sharing.engine.link_mbps * STORE_LINK_SHARE
    return CacheSource(store.address, store.failure_domain, salt, n_ready, link_mbps)


def _n_ready(
    sharing: Sharing, salt: str, incarnation: Incarnation, view: CacheView
) -> int:
    parts = view.loads.of(incarnation).parts
    n_ready = 0
    for part in sharing.prompt.shared:
        if not parts.is_ready(part_number(salt, part.part_id), view.now_ms):
            break
        n_ready += part.n_tokens
    return n_ready


def _fetch_ms(
    sharing: Sharing, holder: CacheSource, n_tokens: int, failure_domain: str
) -> float:
    n_bits = n_tokens * sharing.engine.kv_bytes_per_token * 8
    transfer_ms = n_bits / (holder.link_mbps * 1_000.0)
    factor = 1.0 if holder.failure_domain == failure_domain else FAR_FACTOR
    return FETCH_SETUP_MS + transfer_ms * factor

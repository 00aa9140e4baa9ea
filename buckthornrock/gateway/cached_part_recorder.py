"""Records the shared parts that caches of engines and prompt stores come to hold.

It is not thread-safe: it is used on the event loop's thread only.
"""

from collections.abc import Callable

from ..catalog.upstreams import Incarnation, UpstreamDirectory
from ..scheduling.cached_parts import PartKey
from ..scheduling.loads import FleetLoads
from ..scheduling.prefill import MIN_SHARED_TOKENS, prompt_store_incarnation
from .configuration_in_force import ConfigurationInForce
from .state_observers import StateObservers

#: Share of an engine's or prompt store's cache in which shared parts are assumed to
#: stay; beyond it they are assumed to be evicted.
CACHE_SHARE = 0.7


class CachedPartRecorder:
    """Adds parts to ``loads`` within each cache's capacity, and tells peers of them."""

    def __init__(
        self,
        loads: FleetLoads,
        directory: UpstreamDirectory,
        configuration: ConfigurationInForce,
        observers: StateObservers,
        now_ms: Callable[[], float],
    ) -> None:
        self._loads = loads
        self._directory = directory
        self._configuration = configuration
        self._observers = observers
        self._now_ms = now_ms

    def on_part_cached(
        self, incarnation: Incarnation, key: PartKey, n_tokens: int, ready_in_ms: float
    ) -> None:
        """Record a shared part that an own request put into a cache."""
        self.on_peer_part_cached(incarnation, key, n_tokens, ready_in_ms)
        if n_tokens >= MIN_SHARED_TOKENS:
            self._observers.on_part_cached(incarnation, key, n_tokens, ready_in_ms)

    def on_peer_part_cached(
        self, incarnation: Incarnation, key: PartKey, n_tokens: int, ready_in_ms: float
    ) -> None:
        """Record a shared part that a peer's request put into a cache."""
        limit = self._cache_limit(incarnation)
        ready_at_ms = self._now_ms() + ready_in_ms
        self._loads.of(incarnation).parts.use(key, n_tokens, ready_at_ms, limit)

    def _cache_limit(self, incarnation: Incarnation) -> int:
        """Return how many tokens of shared parts an engine or store can cache."""
        table = self._configuration.table
        if table is None:
            return 0
        configuration = table.configuration
        for store in configuration.prompt_stores:
            if prompt_store_incarnation(store) == incarnation:
                return int(store.capacity_tokens * CACHE_SHARE)
        upstream = self._directory.get(incarnation[0])
        service = upstream and configuration.services.get(upstream.service)
        if not service or service.engine is None:
            return 0
        return int(service.engine.kv_capacity_tokens * CACHE_SHARE)

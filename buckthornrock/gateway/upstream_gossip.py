"""Tells peers what upstreams load, have loaded and cache, and which of them leave.

Weights loads in progress are state: every digest lists them. The rest are updates,
which relays forward.
"""

from collections.abc import Callable

from ..catalog.upstreams import Incarnation
from ..scheduling.cached_parts import PartKey
from ..wire.digests import (
    CachedPartReport,
    Digest,
    LoadedWeights,
    LoadingEngine,
    Scope,
)
from ..wire.numeric_ids import incarnation_number
from .fleet_state import FleetState
from .gossip_queue import LeavingUpdate, PartUpdate, Update, UpdateQueues
from .weights_loads import Loading


class UpstreamGossip:
    """Fills and applies the fields of digests that tell what upstreams do."""

    def __init__(
        self,
        fleet_state: FleetState,
        now_ms: Callable[[], float],
        on_urgent: Callable[[], None],
    ) -> None:
        self._fleet_state = fleet_state
        self._now_ms = now_ms
        self._updates = UpdateQueues()
        fleet_state.set_observers(
            self._on_part_cached, self._on_loaded, self._on_leaving, on_urgent
        )

    def fill(self, digest: Digest, now_ms: float) -> None:
        """Add updates and weights loads to a digest for all contacts."""
        digest.loading = self._loading(now_ms, is_for_relays=True)
        updates = self._updates.next_for_all()
        digest.loaded, digest.cached_parts = _encode_updates(updates, now_ms)
        digest.leaving = _leaving(updates)

    def fill_for_followers(self, digest: Digest, now_ms: float) -> None:
        """Add the updates and weights loads of other relays to a digest for followers.

        Its lists are replaced, since it shares them with the digest for all contacts.
        """
        digest.loading = self._loading(now_ms, is_for_relays=False)
        updates = self._updates.next_for_followers()
        loaded, parts = _encode_updates(updates, now_ms)
        digest.loaded = digest.loaded + loaded
        digest.cached_parts = digest.cached_parts + parts
        digest.leaving = digest.leaving + _leaving(updates)

    def apply(self, digest: Digest, now_ms: float) -> None:
        """Apply and forward reports on the upstreams that this instance knows."""
        fleet_state = self._fleet_state
        known = fleet_state.incarnations
        is_from_group = digest.scope is Scope.OWN
        for engine in digest.loading:
            if incarnation := known.get(engine.upstream):
                until_ms = now_ms + engine.left_ms
                loading = Loading(engine.model, engine.version, until_ms, is_from_group)
                fleet_state.weights_loads.on_peer_loading(incarnation, loading)
        for loaded in digest.loaded:
            if incarnation := known.get(loaded.upstream):
                fleet_state.weights_loads.on_peer_loaded(
                    incarnation, loaded.model, loaded.version
                )
                self._updates.forward(loaded, digest.scope, now_ms)
        for number in digest.leaving:
            if incarnation := known.get(number):
                fleet_state.notices.on_peer_leaving(incarnation, digest.instance_id)
                self._updates.forward(LeavingUpdate(number), digest.scope, now_ms)
        for part in digest.cached_parts:
            if incarnation := known.get(part.upstream):
                ready_at_ms = now_ms + part.ready_in_ms
                fleet_state.cached_parts.on_peer_part_cached(
                    incarnation, part.part, part.n_tokens, part.ready_in_ms
                )
                update = PartUpdate(
                    part.upstream, part.part, part.n_tokens, ready_at_ms
                )
                self._updates.forward(update, digest.scope, now_ms)

    def _loading(self, now_ms: float, is_for_relays: bool) -> list[LoadingEngine]:
        loading_by_engine = self._fleet_state.weights_loads.loading()
        return [
            LoadingEngine(
                incarnation_number(*incarnation),
                loading.model,
                loading.version,
                round(loading.until_ms - now_ms),
            )
            for incarnation, loading in loading_by_engine.items()
            if loading.is_from_group or not is_for_relays
        ]

    def _on_part_cached(
        self,
        incarnation: Incarnation,
        key: PartKey,
        n_tokens: int,
        ready_in_ms: float,
    ) -> None:
        number, now_ms = incarnation_number(*incarnation), self._now_ms()
        self._updates.add(
            PartUpdate(number, key, n_tokens, now_ms + ready_in_ms), now_ms
        )

    def _on_loaded(self, incarnation: Incarnation, model: str, version: int) -> None:
        loaded = LoadedWeights(incarnation_number(*incarnation), model, version)
        self._updates.add(loaded, self._now_ms())

    def _on_leaving(self, incarnation: Incarnation) -> None:
        update = LeavingUpdate(incarnation_number(*incarnation))
        self._updates.add(update, self._now_ms())


def _leaving(updates: list[Update]) -> list[int]:
    return [item.upstream for item in updates if isinstance(item, LeavingUpdate)]


def _encode_updates(
    updates: list[Update], now_ms: float
) -> tuple[list[LoadedWeights], list[CachedPartReport]]:
    loaded = [item for item in updates if isinstance(item, LoadedWeights)]
    parts = [
        CachedPartReport(
            item.upstream,
            item.part,
            item.n_tokens,
            max(0, round(item.ready_at_ms - now_ms)),
        )
        for item in updates
        if isinstance(item, PartUpdate)
    ]
    return loaded, parts

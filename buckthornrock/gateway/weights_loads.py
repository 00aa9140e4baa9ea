"""Loads of weights in progress at engines, and the versions that engines have loaded.

It is not thread-safe: it is used on the event loop's thread only.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..catalog.upstreams import Incarnation, Upstream, UpstreamDirectory
from ..scheduling.loads import FleetLoads
from ..scheduling.weights import WeightsView
from .state_observers import StateObservers

#: A peer's report extends a known weights load only if it ends this much later.
LOADING_SLACK_MS = 250.0


class Loading(NamedTuple):
    """Weights that an engine is loading.

    ``is_from_group`` tells whether this instance or one of its followers started the
    load.
    """

    model: str
    version: int
    until_ms: float
    is_from_group: bool


class WeightsLoads:
    """Records what this instance and its peers observe of engines' weights.

    An engine that loads weights takes no new work until the estimated end, and its
    cache is empty afterwards; both are recorded in ``loads``.
    """

    def __init__(
        self,
        weights: WeightsView,
        loads: FleetLoads,
        directory: UpstreamDirectory,
        observers: StateObservers,
        now_ms: Callable[[], float],
    ) -> None:
        self._weights = weights
        self._loads = loads
        self._directory = directory
        self._observers = observers
        self._now_ms = now_ms
        self._loading: dict[Incarnation, Loading] = {}

    def on_loading(
        self, upstream: Upstream, model: str, version: int, duration_ms: float
    ) -> None:
        """Record that this instance makes an engine load weights."""
        until_ms = self._now_ms() + duration_ms
        loading = Loading(model, version, until_ms, is_from_group=True)
        self._set_loading(upstream.incarnation, loading)
        self._observers.on_urgent()

    def loading(self) -> dict[Incarnation, Loading]:
        """Return the engines that are known to be loading weights."""
        now_ms = self._now_ms()
        self._loading = {
            incarnation: loading
            for incarnation, loading in self._loading.items()
            if loading.until_ms > now_ms
        }
        return self._loading

    def on_loaded(self, upstream: Upstream, model: str, version: int) -> None:
        """Record the weights version that this instance observed at an engine."""
        self._loading.pop(upstream.incarnation, None)
        self.on_peer_loaded(upstream.incarnation, model, version)
        self._observers.on_loaded(upstream.incarnation, model, version)
        self._observers.on_urgent()

    def on_listed(self, upstreams: Iterable[Upstream]) -> None:
        """Record, and tell peers, newer weights in these entries of known upstreams.

        The directory must still have the entries before these.
        """
        for upstream in upstreams:
            known = self._directory.get(upstream.upstream_id)
            if known is None or known.incarnation != upstream.incarnation:
                continue
            for model, version in upstream.weights_versions.items():
                if version > (self._weights.loaded(known, model) or 0):
                    self.on_peer_loaded(upstream.incarnation, model, version)
                    self._observers.on_loaded(upstream.incarnation, model, version)

    def on_peer_loading(self, incarnation: Incarnation, loading: Loading) -> None:
        """Record a weights load that a peer reports, unless it is done already."""
        upstream = self._directory.get(incarnation[0])
        if upstream is None:
            return
        if (self._weights.loaded(upstream, loading.model) or 0) >= loading.version:
            return
        known = self._loading.get(incarnation)
        if known and loading.until_ms < known.until_ms + LOADING_SLACK_MS:
            return
        self._set_loading(incarnation, loading)

    def on_peer_loaded(
        self, incarnation: Incarnation, model: str, version: int
    ) -> bool:
        """Record the weights version at an engine; return whether it is new."""
        if not self._weights.on_loaded(incarnation, model, version):
            return False
        self._loading.pop(incarnation, None)
        load = self._loads.of(incarnation)
        load.loading_until_ms = 0.0
        load.parts.clear()
        return True

    def _set_loading(self, incarnation: Incarnation, loading: Loading) -> None:
        self._loading[incarnation] = loading
        self._loads.of(incarnation).loading_until_ms = loading.until_ms

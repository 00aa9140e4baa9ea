"""Tracks the wanted and the loaded versions of weights. Pure."""

import bisect
import math
from typing import NamedTuple

from ..catalog.upstreams import Upstream

#: Wanted versions kept per model, with the time since which each is known.
MAX_WANTED_VERSIONS = 32


class WantedWeights(NamedTuple):
    """A wanted version of a model, and the time since which it is known."""

    version: int
    known_at_ms: float


class WeightsView:
    """Versions wanted for each model and loaded at each upstream.

    Parameters
    ----------
    usable_ms : float
        How long requests are placed on an older version after a newer one is wanted.
    start_margin_ms : float
        How much later a request that was placed on it may still start.
    """

    def __init__(self, usable_ms: float, start_margin_ms: float = 0.0) -> None:
        self._usable_ms = usable_ms
        self._start_limit_ms = usable_ms + start_margin_ms
        self._wanted_versions: dict[str, list[WantedWeights]] = {}
        self._seen_versions: dict[tuple[tuple[str, int], str], int] = {}
        # When a version newer than a loaded one was wanted first, by model and version.
        self._outdated_since_ms: dict[tuple[str, int], float] = {}

    def on_wanted(self, model: str, version: int, since_ms: float) -> bool:
        """Record a wanted version; return whether it wasn't known.

        Versions may be learnt in any order: an instance that has just started learns
        the newest one first. For a known version the earlier time is kept, since a
        peer may have learnt of it before this instance started.
        """
        self._outdated_since_ms.clear()
        versions = self._wanted_versions.setdefault(model, [])
        index = bisect.bisect_left(versions, version, key=lambda known: known.version)
        if index < len(versions) and versions[index].version == version:
            since_ms = min(since_ms, versions[index].known_at_ms)
            versions[index] = WantedWeights(version, since_ms)
            return False
        versions.insert(index, WantedWeights(version, since_ms))
        _forget_oldest(versions)
        return True

    def wanted_before(self, model: str, now_ms: float) -> list[WantedWeights]:
        """Return the earlier wanted versions that a lag may still count from.

        Of those that were wanted so long ago that older weights are no longer usable,
        only the newest one matters.
        """
        versions = self._wanted_versions.get(model, [])
        n_expired = sum(now_ms - v.known_at_ms >= self._usable_ms for v in versions)
        return versions[max(0, n_expired - 1) : -1]

    def on_loaded(self, incarnation: tuple[str, int], model: str, version: int) -> bool:
        """Record a version seen at an upstream; return whether it is newer."""
        key = (incarnation, model)
        if version <= self._seen_versions.get(key, 0):
            return False
        self._seen_versions[key] = version
        return True

    def wanted(self, model: str) -> WantedWeights | None:
        """Return the newest wanted version of a model, None if there is none."""
        versions = self._wanted_versions.get(model)
        return versions[-1] if versions else None

    def models(self) -> dict[str, WantedWeights]:
        """Return the newest wanted version of each model."""
        return {
            model: versions[-1] for model, versions in self._wanted_versions.items()
        }

    def loaded(self, upstream: Upstream, model: str) -> int | None:
        """Return the newest version known to be loaded at an upstream, None if none."""
        listed = upstream.weights_versions.get(model)
        seen = self._seen_versions.get((upstream.incarnation, model))
        if listed is None or seen is None:
            return listed if seen is None else seen
        return max(listed, seen)

    def is_usable(self, upstream: Upstream, model: str, now_ms: float) -> bool:
        """Return whether new requests may use the weights loaded at an upstream."""
        loaded = self.loaded(upstream, model)
        if loaded is None:
            return False
        return self._lag_ms(loaded, model, now_ms) < self._usable_ms

    def lag_ms(self, upstream: Upstream, model: str, now_ms: float) -> float:
        """Return for how long the weights loaded at an upstream have been outdated.

        New versions may come faster than engines load them, so the time counts from
        the first version that is newer than the loaded one.
        """
        return self._lag_ms(self.loaded(upstream, model) or 0, model, now_ms)

    def _lag_ms(self, loaded: int, model: str, now_ms: float) -> float:
        versions = self._wanted_versions.get(model)
        if not versions or versions[-1].version <= loaded:
            return 0.0
        since_ms = self._outdated_since_ms.get((model, loaded))
        if since_ms is None:
            since_ms = min(v.known_at_ms for v in versions if v.version > loaded)
            self._outdated_since_ms[model, loaded] = since_ms
        return now_ms - since_ms

    def usable_for_ms(self, upstream: Upstream, model: str, now_ms: float) -> float:
        """Return for how long new requests may still use the weights loaded there."""
        lag_ms = self.lag_ms(upstream, model, now_ms)
        return self._usable_ms - lag_ms if lag_ms else math.inf

    def may_start_for_ms(self, upstream: Upstream, model: str, now_ms: float) -> float:
        """Return for how long a request that is sent there now may wait to start.

        It is finite for the newest weights too, since a newer version may be wanted
        while the request waits.
        """
        return self._start_limit_ms - self.lag_ms(upstream, model, now_ms)


def _forget_oldest(versions: list[WantedWeights]) -> None:
    """Drop the oldest version if there are too many; the next takes its time.

    A lag that counted from the dropped version then doesn't become shorter.
    """
    if len(versions) <= MAX_WANTED_VERSIONS:
        return
    oldest = versions.pop(0)
    earliest_ms = min(oldest.known_at_ms, versions[0].known_at_ms)
    versions[0] = versions[0]._replace(known_at_ms=earliest_ms)

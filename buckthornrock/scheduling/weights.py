"""Which weights are wanted, and which each upstream is believed to have. Pure."""

import math
from collections import deque
from typing import NamedTuple

from ..catalog.upstreams import Upstream

#: Versions of one model whose time of naming is kept.
MAX_NAMED_VERSIONS = 32


class WantedWeights(NamedTuple):
    """The newest version of a model, and since when it is known to be wanted."""

    version: int
    known_at_ms: float


class WeightsView:
    """Versions wanted for each model and loaded at each upstream.

    Parameters
    ----------
    usable_ms : float
        How long after a newer version was named an older one may be used.
    """

    def __init__(self, usable_ms: float) -> None:
        self._usable_ms = usable_ms
        self._named: dict[str, deque[WantedWeights]] = {}
        self._learnt: dict[tuple[tuple[str, int], str], int] = {}

    def on_wanted(self, model: str, version: int, since_ms: float) -> bool:
        """Take over a wanted version; versions only rise. Return whether it did.

        Of two times for one version the earlier counts: a peer may have known it
        before this instance started.
        """
        named = self._named.setdefault(model, deque(maxlen=MAX_NAMED_VERSIONS))
        if not named or named[-1].version < version:
            named.append(WantedWeights(version, since_ms))
            return True
        if named[-1].version == version:
            earliest_ms = min(since_ms, named[-1].known_at_ms)
            named[-1] = WantedWeights(version, earliest_ms)
        return False

    def on_loaded(self, incarnation: tuple[str, int], model: str, version: int) -> bool:
        """Note a version seen at an upstream; return whether it is news."""
        key = (incarnation, model)
        if version <= self._learnt.get(key, 0):
            return False
        self._learnt[key] = version
        return True

    def wanted(self, model: str) -> WantedWeights | None:
        """Return the newest version of a model."""
        named = self._named.get(model)
        return named[-1] if named else None

    def models(self) -> dict[str, WantedWeights]:
        """Return every model with its newest version."""
        return {model: named[-1] for model, named in self._named.items()}

    def loaded(self, upstream: Upstream, model: str) -> int | None:
        """Return the version that an upstream is believed to have."""
        listed = upstream.weights_versions.get(model)
        learnt = self._learnt.get((upstream.incarnation, model))
        if listed is None or learnt is None:
            return listed if learnt is None else learnt
        return max(listed, learnt)

    def is_usable(self, upstream: Upstream, model: str, now_ms: float) -> bool:
        """Return whether requests may begin on the weights that are loaded there."""
        loaded = self.loaded(upstream, model)
        if loaded is None:
            return False
        return self.lag_ms(upstream, model, now_ms) < self._usable_ms

    def lag_ms(self, upstream: Upstream, model: str, now_ms: float) -> float:
        """Return how long a newer version than the loaded one has been wanted.

        Versions may follow each other faster than engines load them; the first that
        is newer than the loaded one counts.
        """
        loaded = self.loaded(upstream, model) or 0
        newer_ms = [
            wanted.known_at_ms
            for wanted in self._named.get(model, ())
            if wanted.version > loaded
        ]
        return now_ms - min(newer_ms) if newer_ms else 0.0

    def usable_for_ms(self, upstream: Upstream, model: str, now_ms: float) -> float:
        """Return for how long requests may still begin on what is loaded there."""
        lag_ms = self.lag_ms(upstream, model, now_ms)
        return self._usable_ms - lag_ms if lag_ms else math.inf

"""Demand for prompt prefixes: how much work per second each prefix level brings."""

import math
from collections import OrderedDict
from typing import NamedTuple

#: Time in which an old demand falls to half, so that a shift of the hot prefix shows
#: within seconds.
HALF_LIFE_MS = 2_000.0
MAX_LEVELS = 4_096
#: Share of an engine's time that one prefix may take before it gets another home.
HOME_UTILISATION = 0.5
#: A home is given up only when the demand is this far below what it needs.
NARROW_MARGIN = 0.3


class _Demand(NamedTuple):
    work_ms: float
    updated_at_ms: float
    n_homes: int


class DemandMeter:
    """Decaying sums of work by prefix level, and the homes that each needs."""

    def __init__(self, max_levels: int = MAX_LEVELS) -> None:
        self._max_levels = max_levels
        self._levels: OrderedDict[int, _Demand] = OrderedDict()

    def note(self, level_hash: int, work_ms: float, now_ms: float) -> None:
        """Count a request whose work below this level takes an engine ``work_ms``."""
        old = self._levels.pop(level_hash, _Demand(0.0, now_ms, 1))
        total_ms = _decayed(old, now_ms) + work_ms
        self._levels[level_hash] = old._replace(work_ms=total_ms, updated_at_ms=now_ms)
        if len(self._levels) > self._max_levels:
            self._levels.popitem(last=False)

    def utilisation(self, level_hash: int, now_ms: float) -> float:
        """Return the engines' time that the level takes, in engines."""
        demand = self._levels.get(level_hash)
        if demand is None:
            return 0.0
        # A steady rate r keeps the decaying sum at r * half-life / ln 2.
        return _decayed(demand, now_ms) * math.log(2.0) / HALF_LIFE_MS

    def n_homes(self, level_hash: int, n_engines: float) -> int:
        """Return how many homes a level has that takes ``n_engines`` engines' time."""
        demand = self._levels.get(level_hash)
        if demand is None:
            return 1
        wanted = n_engines / HOME_UTILISATION
        n_homes = demand.n_homes
        if wanted > n_homes:
            n_homes = int(wanted) + 1
        elif wanted < n_homes - 1 - NARROW_MARGIN:
            n_homes = max(1, int(wanted + NARROW_MARGIN) + 1)
        if n_homes != demand.n_homes:
            self._levels[level_hash] = demand._replace(n_homes=n_homes)
        return n_homes


def _decayed(demand: _Demand, now_ms: float) -> float:
    age_ms = max(0.0, now_ms - demand.updated_at_ms)
    return demand.work_ms * 0.5 ** (age_ms / HALF_LIFE_MS)

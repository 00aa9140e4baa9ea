"""Measures demand by prefix level, as the engine time that its requests take."""

import math
from collections import OrderedDict
from typing import NamedTuple

#: Half-life of past demand, so that a shift to another hot prefix shows within
#: seconds.
HALF_LIFE_MS = 2_000.0
MAX_LEVELS = 4_096
#: Share of an engine's time that one prefix may take before it gets another preferred
#: engine.
MAX_UTILISATION = 0.5
#: A preferred engine is dropped only when the demand falls this far below the level
#: that needs it, in engines. This hysteresis avoids flapping.
NARROWING_MARGIN = 0.3


class _Demand(NamedTuple):
    work_ms: float
    updated_at_ms: float
    n_preferred: int


class DemandMeter:
    """Keeps decaying sums of work by prefix level.

    It also keeps the number of preferred engines that each level needs.
    """

    def __init__(self, max_levels: int = MAX_LEVELS) -> None:
        self._max_levels = max_levels
        self._levels: OrderedDict[int, _Demand] = OrderedDict()

    def note(self, level_hash: int, work_ms: float, now_ms: float) -> None:
        """Count a request whose work beyond this level takes an engine ``work_ms``."""
        old = self._levels.pop(level_hash, _Demand(0.0, now_ms, 1))
        total_ms = _decayed(old, now_ms) + work_ms
        self._levels[level_hash] = old._replace(work_ms=total_ms, updated_at_ms=now_ms)
        if len(self._levels) > self._max_levels:
            self._levels.popitem(last=False)

    def utilisation(self, level_hash: int, now_ms: float) -> float:
        """Return the engine time that the level takes, as a number of engines."""
        demand = self._levels.get(level_hash)
        if demand is None:
            return 0.0
        # A steady rate r keeps the decaying sum at r * half-life / ln 2.
        return _decayed(demand, now_ms) * math.log(2.0) / HALF_LIFE_MS

    def n_preferred(self, level_hash: int, n_engines: float) -> int:
        """Return how many preferred engines a level has.

        ``n_engines`` is the engine time that the level takes in the whole fleet, as a
        number of engines.
        """
        demand = self._levels.get(level_hash)
        if demand is None:
            return 1
        wanted = n_engines / MAX_UTILISATION
        n_preferred = demand.n_preferred
        if wanted > n_preferred:
            n_preferred = int(wanted) + 1
        elif wanted < n_preferred - 1 - NARROWING_MARGIN:
            n_preferred = max(1, int(wanted + NARROWING_MARGIN) + 1)
        if n_preferred != demand.n_preferred:
            self._levels[level_hash] = demand._replace(n_preferred=n_preferred)
        return n_preferred


def _decayed(demand: _Demand, now_ms: float) -> float:
    age_ms = max(0.0, now_ms - demand.updated_at_ms)
    return demand.work_ms * 0.5 ** (age_ms / HALF_LIFE_MS)

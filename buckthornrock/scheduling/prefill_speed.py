"""Estimates how fast each engine prefills, relative to the others.

Engines of one service may differ in speed by a multiple, which the configuration does
not state. It matters for long prompts whose objective leaves time for one prefill on a
usual engine, and none on a slow one. Pure: the caller passes the time.
"""

from collections.abc import Hashable, Mapping
from typing import NamedTuple

#: Half-life of the observed times, since an engine may turn slow.
HALF_LIFE_MS = 6_000.0
#: Times of shorter requests depend more on network and decoding than on prefill.
MIN_EXPECTED_MS = 100.0
#: Expected time that must be observed over all engines before any is judged, and the
#: one that an engine must have had for half of its deviation to count.
MIN_TOTAL_EXPECTED_MS = 3_000.0
PRIOR_EXPECTED_MS = 500.0
#: Deviations within this factor are chance, and change nothing.
CHANCE_FACTOR = 1.25
#: Bound of the factors, so that no engine is judged by a few delayed requests alone.
MAX_FACTOR = 2.5


class PrefillTimes(NamedTuple):
    """Sums of the times to the first event that were expected, and that were seen."""

    expected_ms: float = 0.0
    observed_ms: float = 0.0

    def plus(self, other: "PrefillTimes") -> "PrefillTimes":
        """Return the sum."""
        return PrefillTimes(
            self.expected_ms + other.expected_ms, self.observed_ms + other.observed_ms
        )

    def minus(self, other: "PrefillTimes") -> "PrefillTimes":
        """Return the difference."""
        return PrefillTimes(
            self.expected_ms - other.expected_ms, self.observed_ms - other.observed_ms
        )

    def decayed(self, elapsed_ms: float) -> "PrefillTimes":
        """Return the sums with the weight that they have some time later."""
        weight = 0.5 ** (max(0.0, elapsed_ms) / HALF_LIFE_MS)
        return PrefillTimes(self.expected_ms * weight, self.observed_ms * weight)


class RecentTimes:
    """The times that this instance observed at one engine, the newest counting most."""

    def __init__(self) -> None:
        self._times = PrefillTimes()
        self._at_ms = 0.0

    def add(self, expected_ms: float, observed_ms: float, now_ms: float) -> None:
        """Count a request's first event."""
        if expected_ms < MIN_EXPECTED_MS:
            return
        observed = PrefillTimes(expected_ms, observed_ms)
        self._times = self.at(now_ms).plus(observed)
        self._at_ms = now_ms

    def at(self, now_ms: float) -> PrefillTimes:
        """Return the sums now."""
        return self._times.decayed(now_ms - self._at_ms)


def prefill_factors(times: Mapping[Hashable, PrefillTimes]) -> dict[Hashable, float]:
    """Return each engine's prefill time as a multiple of the mean over all engines.

    Engines without a noticeable deviation are left out.
    """
    total = PrefillTimes()
    for engine_times in times.values():
        total = total.plus(engine_times)
    if total.expected_ms < MIN_TOTAL_EXPECTED_MS or total.observed_ms <= 0.0:
        return {}
    mean = total.observed_ms / total.expected_ms
    factors = {
        key: _bounded(_factor(engine_times, mean))
        for key, engine_times in times.items()
    }
    return {key: factor for key, factor in factors.items() if factor != 1.0}


def _factor(times: PrefillTimes, mean: float) -> float:
    observed_ms = times.observed_ms / mean + PRIOR_EXPECTED_MS
    # Peers may report negative sums, which could cancel the prior.
    return observed_ms / (max(0.0, times.expected_ms) + PRIOR_EXPECTED_MS)


def _bounded(factor: float) -> float:
    if 1.0 / CHANCE_FACTOR < factor < CHANCE_FACTOR:
        return 1.0
    return min(MAX_FACTOR, max(1.0 / MAX_FACTOR, factor))

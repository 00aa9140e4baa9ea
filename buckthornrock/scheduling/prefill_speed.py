"""Estimates how fast each engine prefills, relative to the others.

Engines of one service may differ in speed by a multiple, which the configuration does
not state. It matters for long prompts whose objective leaves time for one prefill on a
usual engine, and none on a slow one. Pure: the caller passes the time.
"""

import math
from collections import defaultdict
from collections.abc import Hashable, Iterable, Mapping
from typing import NamedTuple

from ..catalog.upstreams import Incarnation
from ..wire.numeric_ids import incarnation_number

#: Half-life of the observed times, since an engine may turn slow.
HALF_LIFE_MS = 6_000.0
#: Times of shorter requests depend more on network and decoding than on prefill.
MIN_EXPECTED_MS = 100.0
#: Expected time that must be observed over all engines of a service before any is
#: judged, and the one that an engine must have had for half of its deviation to count.
MIN_TOTAL_EXPECTED_MS = 3_000.0
PRIOR_EXPECTED_MS = 500.0
#: Deviations within this factor are chance, and change nothing.
CHANCE_FACTOR = 1.25
#: A peer's report expires this long after it was received; it comes once a second.
REPORT_LIFETIME_MS = 5_000.0
#: How long computed factors are used.
FACTORS_LIFETIME_MS = 1_000.0
#: Sums below this are not kept.
MIN_KEPT_MS = 1.0
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


class _Report(NamedTuple):
    """Times that a peer reported, by upstream number."""

    at_ms: float
    times: dict[int, PrefillTimes]


class FleetPrefillTimes:
    """Times to the first event at all engines, from this instance and its peers."""

    def __init__(self) -> None:
        self._services: Mapping[int, str] = {}
        self._own: dict[Incarnation, RecentTimes] = defaultdict(RecentTimes)
        self._reports: dict[str, _Report] = {}
        self._factors: dict[int, float] = {}
        self._factors_valid_until_ms = -math.inf

    def set_services(self, services: Mapping[int, str]) -> None:
        """Set the service of each engine, by upstream number."""
        self._services = services

    def add(
        self,
        incarnation: Incarnation,
        expected_ms: float,
        observed_ms: float,
        now_ms: float,
    ) -> None:
        """Count the first event of a request of this instance."""
        self._own[incarnation].add(expected_ms, observed_ms, now_ms)

    def on_report(
        self, peer: str, times: dict[int, PrefillTimes], now_ms: float
    ) -> None:
        """Replace the times that a peer reported, by upstream number."""
        self._reports[peer] = _Report(now_ms, times)

    def combined(self, peers: Iterable[str], now_ms: float) -> dict[int, PrefillTimes]:
        """Return the sums of this instance and ``peers``, by upstream number."""
        own = {
            incarnation_number(*incarnation): recent.at(now_ms)
            for incarnation, recent in self._own.items()
        }
        sums = {n: times for n, times in own.items() if times.expected_ms > MIN_KEPT_MS}
        for report in self._unexpired(peers, now_ms):
            for number, times in report.times.items():
                known = sums.get(number)
                sums[number] = times if known is None else known.plus(times)
        return sums

    def excluding_peer(
        self, total: dict[int, PrefillTimes], peer: str, now_ms: float
    ) -> dict[int, PrefillTimes]:
        """Return ``total``, computed just now, without the times of one peer."""
        sums = dict(total)
        for report in self._unexpired([peer], now_ms):
            for number, times in report.times.items():
                sums[number] = sums[number].minus(times)
        return sums

    def factor(self, incarnation: Incarnation, now_ms: float) -> float:
        """Return an engine's prefill time as a multiple of its service's mean."""
        if now_ms > self._factors_valid_until_ms:
            self._factors = self._compute_factors(now_ms)
            self._factors_valid_until_ms = now_ms + FACTORS_LIFETIME_MS
        if not self._factors:
            return 1.0
        return self._factors.get(incarnation_number(*incarnation), 1.0)

    def retain(self, incarnations: set[Incarnation]) -> None:
        """Forget the times of other engines."""
        for incarnation in self._own.keys() - incarnations:
            del self._own[incarnation]

    def retain_peers(self, peers: set[str]) -> None:
        """Discard the reports of all peers except these."""
        for peer in self._reports.keys() - peers:
            del self._reports[peer]

    def snapshot(self) -> "FleetPrefillTimes":
        """Return a copy with the factors in use, whose use changes nothing here."""
        copied = FleetPrefillTimes()
        copied._services = self._services
        copied._own.update(self._own)
        copied._reports = dict(self._reports)
        copied._factors = self._factors
        copied._factors_valid_until_ms = self._factors_valid_until_ms
        return copied

    def _compute_factors(self, now_ms: float) -> dict[int, float]:
        by_service: dict[str, dict[int, PrefillTimes]] = defaultdict(dict)
        for number, times in self.combined(self._reports, now_ms).items():
            by_service[self._services.get(number, "")][number] = times
        factors: dict[int, float] = {}
        for times in by_service.values():
            factors.update(prefill_factors(times))
        return factors

    def _unexpired(self, peers: Iterable[str], now_ms: float) -> list[_Report]:
        reports = [self._reports[peer] for peer in peers if peer in self._reports]
        return [r for r in reports if now_ms - r.at_ms <= REPORT_LIFETIME_MS]


def prefill_factors(times: Mapping[Hashable, PrefillTimes]) -> dict[Hashable, float]:
    """Return each engine's prefill time as a multiple of the mean over all of them.

    The engines are those of one service, as services differ in their models. Engines
    without a noticeable deviation are left out.
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

"""Tracks the work at each upstream.

Combines this instance's own requests, the work that peers report in their digests,
and the upstream's own load reports. Pure: the caller passes the time.
"""

import copy
import math
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from ..catalog.upstreams import Incarnation
from ..wire.numeric_ids import incarnation_number
from .cached_parts import CachedParts
from .prefill_speed import FleetPrefillTimes

#: A peer's digest expires this long after it was received.
DIGEST_LIFETIME_MS = 1_000.0
#: An upstream's load report expires after this time.
REPORT_LIFETIME_MS = 400.0
USUAL_PACE_PERCENT = 100
#: Bounds of a reported pace, so that one odd figure doesn't decide alone.
MIN_PACE = 0.1
MAX_PACE = 10.0
#: Initial backoff for an upstream to which connecting failed, and how often it may
#: double.
CONNECT_BACKOFF_MS = 500.0
MAX_BACKOFF_DOUBLINGS = 3
#: Half-life of failures and of all outcomes in the failure rate.
FAILURE_HALF_LIFE_MS = 2_000.0


class Work(NamedTuple):
    """Work of one or several requests at an upstream.

    ``prefill_ms`` is the prefill time of the prompts. A request's share is counted
    until its first event arrives.
    """

    n_requests: int = 0
    prefill_ms: float = 0.0
    n_memory_tokens: int = 0

    def plus(self, other: "Work") -> "Work":
        """Return the sum."""
        return Work(
            self.n_requests + other.n_requests,
            self.prefill_ms + other.prefill_ms,
            self.n_memory_tokens + other.n_memory_tokens,
        )

    def minus(self, other: "Work") -> "Work":
        """Return the difference."""
        return Work(
            self.n_requests - other.n_requests,
            self.prefill_ms - other.prefill_ms,
            self.n_memory_tokens - other.n_memory_tokens,
        )


class LoadReport(NamedTuple):
    """Load of an upstream, as it reported it.

    ``pace_percent`` is how long work takes on its machine now; 100 is the usual time.
    """

    n_running: int
    n_waiting: int
    n_slots: int
    at_ms: float
    pace_percent: int = USUAL_PACE_PERCENT


class UpstreamLoad:
    """State of one incarnation of an upstream.

    Attributes
    ----------
    own : Work
        Work that this instance has there.
    report : LoadReport or None
        The last load report of the upstream.
    blocked_until_ms : float
        The upstream is given no new work before this time.
    loading_until_ms : float
        Estimated time until which the engine loads weights and takes no new work.
    parts : CachedParts
        Shared parts expected to be cached there.
    """

    def __init__(self) -> None:
        self.own = Work()
        self.report: LoadReport | None = None
        self.blocked_until_ms = 0.0
        self.loading_until_ms = 0.0
        self.parts = CachedParts()
        self._n_connect_failures = 0
        self._failures = 0.0
        self._outcomes = 0.0
        self._counted_at_ms = 0.0

    def on_connect_failure(self, now_ms: float) -> None:
        """Block the upstream with exponential backoff after a failed connection."""
        factor = 2.0 ** min(self._n_connect_failures, MAX_BACKOFF_DOUBLINGS)
        self._n_connect_failures += 1
        self.blocked_until_ms = now_ms + CONNECT_BACKOFF_MS * factor

    def on_connected(self) -> None:
        """Reset the backoff after a successful connection."""
        self._n_connect_failures = 0

    def on_outcome(self, is_failure: bool, now_ms: float) -> None:
        """Count a success or failure towards the failure rate."""
        self._decay(now_ms)
        self._outcomes += 1.0
        self._failures += 1.0 if is_failure else 0.0

    def failure_rate(self, now_ms: float) -> float:
        """Return the share of recent requests that failed, lowered if there are few."""
        if not self._failures:
            return 0.0
        self._decay(now_ms)
        return self._failures / (self._outcomes + 3.0)

    def fresh_report(self, now_ms: float) -> LoadReport | None:
        """Return the last load report, None if there is none or it has expired."""
        report = self.report
        if report is None or now_ms - report.at_ms > REPORT_LIFETIME_MS:
            return None
        return report

    def pace(self, now_ms: float) -> float:
        """Return how long work takes there now, as a multiple of the usual time.

        It changes many times a second, so it is the usual one without a fresh report.
        """
        report = self.fresh_report(now_ms)
        if report is None:
            return 1.0
        return min(MAX_PACE, max(MIN_PACE, report.pace_percent / USUAL_PACE_PERCENT))

    def _decay(self, now_ms: float) -> None:
        passed_ms = max(0.0, now_ms - self._counted_at_ms)
        factor = 0.5 ** (passed_ms / FAILURE_HALF_LIFE_MS)
        self._failures *= factor
        self._outcomes *= factor
        self._counted_at_ms = now_ms


class PeerWorks(NamedTuple):
    """Work at the upstreams from a peer's digest, by upstream number.

    ``age_ms`` is the age of the oldest data in the digest when it was received.
    """

    at_ms: float
    age_ms: float
    works: dict[int, Work]


class CombinedWork(NamedTuple):
    """Total work of several instances, by upstream number.

    ``age_ms`` is the age of the oldest data in it.
    """

    works: dict[int, Work]
    age_ms: float


class FleetLoads:
    """Loads of all upstreams, from this instance and its peers.

    Attributes
    ----------
    times : FleetPrefillTimes
        Times to the first event at the engines.
    """

    def __init__(self) -> None:
        self.times = FleetPrefillTimes()
        self._loads: dict[Incarnation, UpstreamLoad] = defaultdict(UpstreamLoad)
        self._peers: dict[str, PeerWorks] = {}
        self._peer_totals: dict[int, Work] = {}
        self._peer_totals_valid_until_ms = -math.inf

    def of(self, incarnation: Incarnation) -> UpstreamLoad:
        """Return the state of an upstream; it is created on first use."""
        return self._loads[incarnation]

    def snapshot(self) -> "FleetLoads":
        """Return a copy whose use changes nothing here; the cached parts are shared.

        Reading the loads decays failure rates and creates the states of new upstreams.
        """
        copied = FleetLoads()
        copied._loads.update({key: copy.copy(x) for key, x in self._loads.items()})
        copied._peers = dict(self._peers)
        copied._peer_totals = self._peer_totals
        copied._peer_totals_valid_until_ms = self._peer_totals_valid_until_ms
        copied.times = self.times.snapshot()
        return copied

    def on_digest(
        self, peer: str, works: dict[int, Work], now_ms: float, age_ms: float = 0.0
    ) -> None:
        """Replace the work known from a peer, by upstream number."""
        self._peers[peer] = PeerWorks(now_ms, age_ms, works)
        self._peer_totals_valid_until_ms = -math.inf

    def retain_peers(self, peers: set[str]) -> None:
        """Discard the digests of all peers except these."""
        self.times.retain_peers(peers)
        for peer in self._peers.keys() - peers:
            del self._peers[peer]
            self._peer_totals_valid_until_ms = -math.inf

    def digests_age_ms(self, now_ms: float) -> float:
        """Return the age of the oldest peer data in use, 0 without any."""
        unexpired = self._unexpired(self._peers, now_ms)
        return max((now_ms - p.at_ms + p.age_ms for p in unexpired), default=0.0)

    def digest(self) -> dict[int, Work]:
        """Return this instance's work by upstream number, without idle upstreams."""
        return {
            incarnation_number(*incarnation): load.own
            for incarnation, load in self._loads.items()
            if load.own.n_requests
        }

    def combined_work(self, peers: Iterable[str], now_ms: float) -> CombinedWork:
        """Return the total work of this instance and ``peers``."""
        sums = self.digest()
        age_ms = 0.0
        for peer in self._unexpired(peers, now_ms):
            age_ms = max(age_ms, now_ms - peer.at_ms + peer.age_ms)
            _add_works(sums, peer.works)
        return CombinedWork(sums, age_ms)

    def excluding_peer(
        self, total: CombinedWork, peer: str, now_ms: float
    ) -> CombinedWork:
        """Return ``total``, computed just now, without the work of one of its peers."""
        works = dict(total.works)
        for reported in self._unexpired([peer], now_ms):
            for number, work in reported.works.items():
                works[number] = works[number].minus(work)
        return total._replace(works=works)

    def total(self, incarnation: Incarnation, now_ms: float) -> Work:
        """Return the work of all instances at an upstream."""
        load = self._loads[incarnation]
        reported = self._peer_totals_at(now_ms).get(incarnation_number(*incarnation))
        total = load.own if reported is None else load.own.plus(reported)
        report = load.fresh_report(now_ms)
        if report is None:
            return total
        n_reported = report.n_running + report.n_waiting
        if n_reported <= total.n_requests:
            return total
        return Work(n_reported, total.prefill_ms, total.n_memory_tokens)

    def _peer_totals_at(self, now_ms: float) -> dict[int, Work]:
        """Return the peers' total work, cached until a digest arrives or expires."""
        if now_ms <= self._peer_totals_valid_until_ms:
            return self._peer_totals
        unexpired = self._unexpired(self._peers, now_ms)
        sums: dict[int, Work] = {}
        for peer in unexpired:
            _add_works(sums, peer.works)
        self._peer_totals = sums
        oldest_ms = min((peer.at_ms for peer in unexpired), default=math.inf)
        self._peer_totals_valid_until_ms = oldest_ms + DIGEST_LIFETIME_MS
        return sums

    def _unexpired(self, peers: Iterable[str], now_ms: float) -> list[PeerWorks]:
        reported = [self._peers[peer] for peer in peers if peer in self._peers]
        return [p for p in reported if now_ms - p.at_ms <= DIGEST_LIFETIME_MS]

    def retain(self, incarnations: set[Incarnation]) -> None:
        """Discard other upstreams unless this instance still has work there."""
        self.times.retain(incarnations)
        for incarnation in list(self._loads):
            load = self._loads[incarnation]
            if incarnation not in incarnations and not load.own.n_requests:
                del self._loads[incarnation]


def _add_works(sums: dict[int, Work], works: dict[int, Work]) -> None:
    for number, work in works.items():
        known = sums.get(number)
        sums[number] = work if known is None else known.plus(work)

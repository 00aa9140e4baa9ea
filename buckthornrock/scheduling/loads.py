"""What is known of the work at each upstream: own sends, peers' and its own word.

Pure: the caller gives the time.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from ..catalog.upstreams import Incarnation
from ..wire.numbers import incarnation_number
from .cached_parts import CachedParts

#: A peer's digest is used for this long after it was made.
DIGEST_LIFETIME_MS = 1_000.0
#: An upstream's word on its load is used for this long.
REPORT_LIFETIME_MS = 400.0
#: An upstream that can't be reached gets no new work for this time at first.
UNREACHED_BLOCK_MS = 500.0
N_DOUBLINGS = 3
#: Failures count half after this time.
FAILURE_HALF_LIFE_MS = 2_000.0


class Work(NamedTuple):
    """Work of one request or of several.

    ``prefill_ms`` is the time that reading the prompts takes; it counts until the
    first event arrives.
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
    """An upstream's own word on its load."""

    n_running: int
    n_waiting: int
    n_slots: int
    at_ms: float


class UpstreamLoad:
    """State of one incarnation of an upstream.

    Attributes
    ----------
    own : Work
        Work that this instance has there.
    report : LoadReport or None
        The upstream's last word.
    blocked_until_ms : float
        The upstream gets no new work before.
    loading_until_ms : float
        The engine loads weights and takes no new work until about then.
    parts : CachedParts
        Shared parts that are believed to be cached there.
    """

    def __init__(self) -> None:
        self.own = Work()
        self.report: LoadReport | None = None
        self.blocked_until_ms = 0.0
        self.loading_until_ms = 0.0
        self.parts = CachedParts()
        self._n_unreached = 0
        self._failures = 0.0
        self._answers = 0.0
        self._counted_at_ms = 0.0

    def on_connect_failure(self, now_ms: float) -> None:
        """Give no new work for a time that doubles while it can't be reached."""
        factor = 2.0 ** min(self._n_unreached, N_DOUBLINGS)
        self._n_unreached += 1
        self.blocked_until_ms = now_ms + UNREACHED_BLOCK_MS * factor

    def on_connected(self) -> None:
        """Note that a connection could be made."""
        self._n_unreached = 0

    def on_outcome(self, is_failure: bool, now_ms: float) -> None:
        """Count an answer, or its failure, towards the failure rate."""
        self._decay(now_ms)
        self._answers += 1.0
        self._failures += 1.0 if is_failure else 0.0

    def failure_rate(self, now_ms: float) -> float:
        """Return the share of recent requests that failed; 0 with little evidence."""
        self._decay(now_ms)
        return self._failures / (self._answers + 3.0)

    def _decay(self, now_ms: float) -> None:
        passed_ms = max(0.0, now_ms - self._counted_at_ms)
        factor = 0.5 ** (passed_ms / FAILURE_HALF_LIFE_MS)
        self._failures *= factor
        self._answers *= factor
        self._counted_at_ms = now_ms


class PeerWorks(NamedTuple):
    """What a peer told of work at the upstreams, by their numbers.

    The oldest word behind it was ``age_ms`` old when it came.
    """

    at_ms: float
    age_ms: float
    works: dict[int, Work]


class CombinedWork(NamedTuple):
    """Work of several instances at the upstreams, by their numbers.

    The oldest word behind it is ``age_ms`` old.
    """

    works: dict[int, Work]
    age_ms: float


class FleetLoads:
    """Loads of all upstreams, own and as peers tell them."""

    def __init__(self) -> None:
        self._loads: dict[Incarnation, UpstreamLoad] = defaultdict(UpstreamLoad)
        self._peers: dict[str, PeerWorks] = {}
        self._told: dict[int, Work] = {}
        self._told_until_ms = -math.inf

    def of(self, incarnation: Incarnation) -> UpstreamLoad:
        """Return the state of an upstream, fresh if it is new."""
        return self._loads[incarnation]

    def on_digest(
        self, peer: str, works: dict[int, Work], now_ms: float, age_ms: float = 0.0
    ) -> None:
        """Take over what a peer tells of work at the upstreams, by their numbers."""
        self._peers[peer] = PeerWorks(now_ms, age_ms, works)
        self._told_until_ms = -math.inf

    def retain_peers(self, peers: set[str]) -> None:
        """Forget what other peers than these told."""
        for peer in self._peers.keys() - peers:
            del self._peers[peer]
            self._told_until_ms = -math.inf

    def digests_age_ms(self, now_ms: float) -> float:
        """Return the age of the oldest word of a peer that is used, 0 without any."""
        fresh = self._fresh(self._peers, now_ms)
        return max((now_ms - p.at_ms + p.age_ms for p in fresh), default=0.0)

    def digest(self) -> dict[int, Work]:
        """Return this instance's work at each upstream where it has some, by number."""
        return {
            incarnation_number(*incarnation): load.own
            for incarnation, load in self._loads.items()
            if load.own.n_requests
        }

    def combined_work(self, peers: Iterable[str], now_ms: float) -> CombinedWork:
        """Return this instance's work and what ``peers`` told, added up."""
        sums = self.digest()
        age_ms = 0.0
        for peer in self._fresh(peers, now_ms):
            age_ms = max(age_ms, now_ms - peer.at_ms + peer.age_ms)
            _add_works(sums, peer.works)
        return CombinedWork(sums, age_ms)

    def excluding_peer(
        self, total: CombinedWork, peer: str, now_ms: float
    ) -> CombinedWork:
        """Return a sum of just now less what one of its peers told."""
        works = dict(total.works)
        for told in self._fresh([peer], now_ms):
            for number, work in told.works.items():
                works[number] = works[number].minus(work)
        return total._replace(works=works)

    def total(self, incarnation: Incarnation, now_ms: float) -> Work:
        """Return the work of all instances at an upstream."""
        load = self._loads[incarnation]
        told = self._told_at(now_ms).get(incarnation_number(*incarnation))
        total = load.own if told is None else load.own.plus(told)
        report = load.report
        if report is None or now_ms - report.at_ms > REPORT_LIFETIME_MS:
            return total
        n_reported = report.n_running + report.n_waiting
        return total._replace(n_requests=max(total.n_requests, n_reported))

    def _told_at(self, now_ms: float) -> dict[int, Work]:
        """Return what all peers told, added up once for each digest."""
        if now_ms <= self._told_until_ms:
            return self._told
        fresh = self._fresh(self._peers, now_ms)
        sums: dict[int, Work] = {}
        for peer in fresh:
            _add_works(sums, peer.works)
        self._told = sums
        oldest_ms = min((peer.at_ms for peer in fresh), default=math.inf)
        self._told_until_ms = oldest_ms + DIGEST_LIFETIME_MS
        return sums

    def _fresh(self, peers: Iterable[str], now_ms: float) -> list[PeerWorks]:
        told = [self._peers[peer] for peer in peers if peer in self._peers]
        return [p for p in told if now_ms - p.at_ms <= DIGEST_LIFETIME_MS]

    def retain(self, incarnations: set[Incarnation]) -> None:
        """Forget upstreams that are gone and have no work of this instance."""
        for incarnation in list(self._loads):
            load = self._loads[incarnation]
            if incarnation not in incarnations and not load.own.n_requests:
                del self._loads[incarnation]


def _add_works(sums: dict[int, Work], works: dict[int, Work]) -> None:
    for number, work in works.items():
        known = sums.get(number)
        sums[number] = work if known is None else known.plus(work)

"""Computes the share of the fleet whose counters an instance receives.

Buckets are refilled and stored in proportion to it, so that the parts of a divided
fleet don't admit more than the whole would.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .quota_counters import MAX_INSTANCES, SILENCE_MS, Sender

#: The coverage that admission uses counts senders heard within this many digest
#: periods, so that stored levels aren't spent several times after a partition.
N_RECENT_PERIODS = 5
MIN_RECENT_MS = 300.0
#: Maximum age of the coverage that a decision uses.
COVERAGE_LIFETIME_MS = 100.0
#: The seed addresses count as instances for this long after the start, as long as
#: silent instances do.
SEEDS_LIFETIME_MS = 120_000.0
#: An instance passes on the largest number of instances that it heard for this long
#: after its start. Instances that start together would otherwise take the few that
#: they know at first for the whole fleet.
DISCOVERY_MS = 15_000.0


class Coverage(NamedTuple):
    """Shares of the fleet whose counters this instance receives.

    ``recent_share`` counts senders heard within a few digest periods, ``share`` all
    that aren't silent. ``oldest_report_ms`` is the age of the oldest report in use.
    """

    n_known: int = 1
    n_covered: int = 1
    recent_share: float = 1.0
    share: float = 1.0
    oldest_report_ms: float = 0.0


class CoverageTracker:
    """Tracks the coverage by the last reports of other instances.

    Parameters
    ----------
    n_seeds : int
        Number of instances that the settings name, this one included.
    now_ms : float
        Monotonic time of the start.

    Attributes
    ----------
    period_ms : float
        Digest period.
    recent_ms : float
        For how long a report counts towards ``recent_share``.
    """

    def __init__(self, n_seeds: int, now_ms: float) -> None:
        self.period_ms = 0.0
        self.recent_ms = MIN_RECENT_MS
        self._n_members = 1
        self._n_seeds = max(1, n_seeds)
        self._started_at_ms = now_ms

    def on_period(self, n_members: int, period_ms: float) -> None:
        """Set the number of members that are known and the digest period."""
        self._n_members = n_members
        self.period_ms = period_ms
        self.recent_ms = max(MIN_RECENT_MS, N_RECENT_PERIODS * period_ms)

    def measure(self, senders: Mapping[str, Sender], now_ms: float) -> Coverage:
        """Return the coverage by the senders' last reports."""
        heard = [s for s in senders.values() if now_ms - s.at_ms <= SILENCE_MS]
        n_known = max(self._n_members, *(_n(s.report.n_known) for s in heard), 1)
        if now_ms - self._started_at_ms < SEEDS_LIFETIME_MS:
            n_known = max(n_known, self._n_seeds)
        n_recent = 1 + n_covered_by(senders, senders, self.recent_ms, now_ms)
        n_covered = 1 + sum(_n(s.report.n_covered) for s in heard)
        return Coverage(
            n_known=n_known,
            n_covered=n_covered,
            recent_share=min(1.0, n_recent / n_known),
            share=min(1.0, n_covered / n_known),
            oldest_report_ms=max((now_ms - s.at_ms for s in heard), default=0.0),
        )

    def n_known_for_peers(self, coverage: Coverage, now_ms: float) -> int:
        """Return the number of known instances for a report.

        Numbers that peers reported aren't passed on for long: none would ever decrease.
        """
        if now_ms - self._started_at_ms < DISCOVERY_MS:
            return coverage.n_known
        return self._n_members


def n_covered_by(
    senders: Mapping[str, Sender],
    names: Iterable[str],
    lifetime_ms: float,
    now_ms: float,
) -> int:
    """Return how many instances the named senders' unexpired reports cover."""
    n_covered = 0
    for name in names:
        sender = senders.get(name)
        if sender is not None and now_ms - sender.at_ms <= lifetime_ms:
            n_covered += _n(sender.report.n_covered)
    return n_covered


def _n(value: int) -> int:
    """Return a number of instances that a peer stated, within bounds."""
    return min(MAX_INSTANCES, max(0, value))

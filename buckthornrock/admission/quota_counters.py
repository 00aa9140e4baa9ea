"""Cumulative counters of charges and of running time, which instances exchange.

An instance counts its own charges and those that it hears of. It reports the charges of
itself and its followers to other relays, and those of all others to each follower.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

#: A sender that was silent for longer is no longer covered, and its next report only
#: sets the base for later ones.
SILENCE_MS = 1_000.0
#: A counter that hasn't changed for this long is reset and no longer listed. It exceeds
#: the silence after which receivers set a new base, so that none misses the last value.
COUNTER_LIFETIME_MS = 3_000.0
#: A follower's share of the total is kept for this long after its last report.
CONTRIBUTION_LIFETIME_MS = 10_000.0
#: A larger step of a counter between two reports is an odd value: it sets the base.
MAX_STEP = 2**40
#: A counter restarts at 0 beyond this; digests hold integers up to 2**53.
MAX_COUNT = 2**52
#: Most accounts with counters, so that digests fit in a datagram of 64 KB.
MAX_ACCOUNTS = 3_000
#: Largest number of instances that a report may state.
MAX_INSTANCES = 4_096
#: Largest covered time between two reports of one sender.
MAX_COVERED_STEP_MS = int(2.0 * SILENCE_MS) * MAX_INSTANCES


class CounterReport(NamedTuple):
    """Cumulative counters of one sender.

    ``charges`` maps numbers of accounts to what was charged less what was refunded; an
    account that is missing has 0. ``covered_ms`` is the running time of the instances
    that the counters cover, summed up. ``n_covered`` of them were heard lately, and the
    sender knows ``n_known`` instances.
    """

    charges: Mapping[int, int]
    covered_ms: int
    n_covered: int
    n_known: int


class Stream(NamedTuple):
    """What makes values of one sender comparable: its incarnation and the scope."""

    incarnation: int
    scope: int


class Sender(NamedTuple):
    """The last report of a sender.

    ``heard`` holds what was charged less what was refunded since the base was set.
    """

    stream: Stream
    at_ms: float
    report: CounterReport
    heard: dict[int, int]


class Counters:
    """Cumulative charges by account, without those that haven't changed lately.

    ``covered_ms`` is the running time of the instances that the charges cover.
    """

    def __init__(self) -> None:
        self.values: dict[int, int] = {}
        self.covered_ms = 0.0
        self._changed_at_ms: dict[int, float] = {}

    def add(self, number: int, amount: int, now_ms: float) -> bool:
        """Add to a counter; return False if there are too many."""
        value = self.values.get(number)
        if value is None:
            if len(self.values) >= MAX_ACCOUNTS:
                return False
            value = 0
        value += amount
        self.values[number] = value if -MAX_COUNT <= value <= MAX_COUNT else amount
        self._changed_at_ms[number] = now_ms
        return True

    def reset_unchanged(self, now_ms: float) -> list[int]:
        """Drop the counters that haven't changed for a while; return their accounts."""
        unchanged = [
            number
            for number, at_ms in self._changed_at_ms.items()
            if now_ms - at_ms > COUNTER_LIFETIME_MS
        ]
        for number in unchanged:
            del self._changed_at_ms[number], self.values[number]
        return unchanged


class Contribution:
    """What a follower added to this instance's totals."""

    def __init__(self) -> None:
        self.charges: dict[int, int] = {}
        self.covered_ms = 0.0
        self.at_ms = 0.0


class FleetCounters:
    """Counters of this instance and of those that it hears of.

    Attributes
    ----------
    senders : dict
        The last report of each sender.
    group : Counters
        Counters of this instance and those that follow it.
    total : Counters
        Counters of all instances.
    """

    def __init__(self) -> None:
        self.senders: dict[str, Sender] = {}
        self.group = Counters()
        self.total = Counters()
        self._contributions: dict[str, Contribution] = {}

    def retain_senders(self, names: Iterable[str]) -> None:
        """Drop the reports of all other senders."""
        for sender in self.senders.keys() - set(names):
            del self.senders[sender]

    def reset_unchanged(self, now_ms: float) -> None:
        """Drop counters that haven't changed, and followers not heard, for a while."""
        self.group.reset_unchanged(now_ms)
        for number in self.total.reset_unchanged(now_ms):
            for contribution in self._contributions.values():
                contribution.charges.pop(number, None)
        for sender, contribution in list(self._contributions.items()):
            if now_ms - contribution.at_ms > CONTRIBUTION_LIFETIME_MS:
                del self._contributions[sender]

    def group_report(self, n_covered: int, n_known: int) -> CounterReport:
        """Return the counters of this instance and those that followed it."""
        group = self.group
        return CounterReport(
            dict(group.values), int(group.covered_ms), n_covered, n_known
        )

    def report_for(self, follower: str, n_covered: int, n_known: int) -> CounterReport:
        """Return the counters of all instances but one that follows this one."""
        contribution = self._contributions.get(follower) or Contribution()
        own = contribution.charges
        charges = {
            number: value - own.get(number, 0)
            for number, value in self.total.values.items()
        }
        covered_ms = int(self.total.covered_ms - contribution.covered_ms)
        return CounterReport(charges, covered_ms, n_covered, n_known)

    def contribution_of(self, follower: str, now_ms: float) -> Contribution:
        """Return the contribution of a follower that was just heard."""
        contribution = self._contributions.get(follower)
        if contribution is None:
            contribution = self._contributions[follower] = Contribution()
        contribution.at_ms = now_ms
        return contribution

    def add_own(self, number: int, amount: int, now_ms: float) -> None:
        """Count a charge of this instance, or a refund if the amount is negative."""
        self.group.add(number, amount, now_ms)
        self.total.add(number, amount, now_ms)

    def add_other(
        self,
        number: int,
        step: int,
        heard: dict[int, int],
        contribution: Contribution | None,
        now_ms: float,
    ) -> int:
        """Count a step of another instance's counter; return what counts of it.

        A refund counts against charges that were heard only: one whose charge was
        missed would raise the level above what was paid.
        """
        before = heard.get(number, 0)
        if not before and len(heard) >= MAX_ACCOUNTS and number not in heard:
            return 0
        after = before + step
        if not 0 <= after <= MAX_COUNT:
            after = 0 if after < 0 else MAX_COUNT
        amount = after - before
        if not amount or not self.total.add(number, amount, now_ms):
            return 0
        heard[number] = after
        if contribution is not None:
            self.group.add(number, amount, now_ms)
            own = contribution.charges
            own[number] = own.get(number, 0) + amount
        return amount

    def add_covered(self, step_ms: int, contribution: Contribution | None) -> int:
        """Count the running time that another instance's counters cover; return it."""
        covered_ms = min(MAX_COVERED_STEP_MS, max(0, step_ms))
        self.total.covered_ms += covered_ms
        if contribution is not None:
            self.group.covered_ms += covered_ms
            contribution.covered_ms += covered_ms
        return covered_ms

"""Quotas of client accounts that all instances enforce together. Does no I/O.

Every instance keeps one token bucket per account for the whole fleet. It subtracts its
own charges at once and those of other instances as their counters arrive in digests.

Running time is reported like charges: an instance's counters include the time that it
has run, and a bucket earns the time that the counters cover, divided by the number of
instances. Refill therefore never arrives without the charges of the same period, and
an instance that hears only a part of the fleet earns only that part of the rate. The
design is described in ``docs/design/account-quotas.md``.
"""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from expression import Error, Ok, Result

from ..runtime.decoding import parse_count

#: A sender that was silent for longer is no longer covered, and its next report only
#: sets the base for later ones.
SILENCE_MS = 1_000.0
#: The coverage that admission uses counts senders heard within this many digest
#: periods, so that stored levels aren't spent several times after a partition.
N_RECENT_PERIODS = 5
MIN_RECENT_MS = 300.0
#: Digest periods that a report takes from a follower through two relays. Admission
#: anticipates that much refill, which has happened and is on its way.
N_PERIODS_IN_TRANSIT = 3
#: A counter that hasn't changed for this long is reset and no longer listed. It exceeds
#: the silence after which receivers set a new base, so that none misses the last value.
COUNTER_LIFETIME_MS = 3_000.0
#: A follower's share of the total is kept for this long after its last report.
CONTRIBUTION_LIFETIME_MS = 10_000.0
#: Maximum age of the coverage that a decision uses.
COVERAGE_LIFETIME_MS = 100.0
#: The seed addresses count as instances for this long after the start, as long as
#: silent instances do.
SEEDS_LIFETIME_MS = 120_000.0
#: An instance passes on the largest number of instances that it heard for this long
#: after its start. Instances that start together would otherwise take the few that
#: they know at first for the whole fleet.
DISCOVERY_MS = 15_000.0
#: Largest cost of one request. Prompts are limited to as many tokens.
MAX_COST = 1_000_000_000
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
MAX_RETRY_AFTER_MS = 3_600_000.0
#: Retry-After is sent in hundredths of a second and rounded up to them.
RETRY_AFTER_STEP_MS = 10.0


class AccountLimit(NamedTuple):
    """Rate and bucket size of a client account, in tokens or requests.

    ``n_plain_tokens`` is the cost of a request without token counts if the limit
    counts tokens.
    """

    rate_per_s: float
    burst: float
    counts_tokens: bool = False
    n_plain_tokens: int = 0


class QuotaBound(NamedTuple):
    """The platform's bound on what an account may run in any window.

    It is (rate x window + burst) x (1 + overage) + slack.
    """

    window_ms: float
    overage: float = 0.0
    slack: float = 0.0


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


class AccountView(NamedTuple):
    """State of an account's bucket, for logs and metrics."""

    level: float
    limit: AccountLimit


def request_cost(limit: AccountLimit, token_counts: str) -> int:
    """Return what a request costs; ``token_counts`` is ``PROMPT,OUTPUT`` or odd."""
    if not limit.counts_tokens:
        return 1
    counts = [parse_count(text) for text in token_counts.split(",")]
    if len(counts) != 2 or None in counts:
        return min(MAX_COST, max(0, limit.n_plain_tokens))
    return min(MAX_COST, sum(counts))


def largest_cost(limit: AccountLimit, bound: QuotaBound) -> float:
    """Return the cost beyond which one request alone would break the bound.

    A full bucket may follow a window in which the whole rate was spent.
    """
    earned = limit.rate_per_s * bound.window_ms / 1000.0
    return limit.burst + (earned + limit.burst) * bound.overage + bound.slack


def decide(
    limit: AccountLimit,
    bound: QuotaBound,
    available: float,
    cost: float,
    coverage: Coverage,
) -> Result[None, float]:
    """Admit a request, or return the time in ms until the bucket can pay for it.

    A request larger than the bucket is admitted when the bucket is full. Of the parts
    of a divided fleet, only one with more than half of the instances does so: each
    other part would admit one more such request.
    """
    if cost <= 0 or cost <= available:
        return Ok(None)
    capacity = limit.burst * coverage.recent_share
    may_exceed = coverage.recent_share > 0.5 and cost <= largest_cost(limit, bound)
    if cost > capacity and may_exceed and available >= capacity:
        return Ok(None)
    needed = min(cost, capacity) if may_exceed else cost
    rate_per_ms = limit.rate_per_s * coverage.recent_share / 1000.0
    wait_ms = (needed - available) / rate_per_ms
    n_steps = math.ceil(min(wait_ms, MAX_RETRY_AFTER_MS) / RETRY_AFTER_STEP_MS)
    return Error(max(1, n_steps) * RETRY_AFTER_STEP_MS)


class _Bucket:
    """Level of an account's bucket, and the earned time that it includes.

    ``held`` is the part of the level that belongs to instances that have just fallen
    silent. A debt beyond what the rate yields in one window isn't kept: after it
    nothing is admitted for a whole window, so that no window includes both the excess
    and what follows.
    """

    def __init__(
        self, limit: AccountLimit, bound: QuotaBound, earned_ms: float
    ) -> None:
        self.limit = limit
        self.level = 0.0
        self.held = 0.0
        self.earned_ms = earned_ms
        self._rate_per_ms = limit.rate_per_s / 1_000.0
        self._lowest = -self._rate_per_ms * bound.window_ms
        self._spent = 0.0
        self._spent_before = 0.0
        self._n_periods = 0

    def refill(self, earned_ms: float, share: float) -> None:
        """Add what was earned, up to the share of the bucket that may be stored."""
        gain = self._rate_per_ms * (earned_ms - self.earned_ms)
        self.level = min(self.level + gain, self.limit.burst * share)
        self.earned_ms = earned_ms

    def apply(
        self, amount: int, from_ms: float, earned_ms: float, share: float
    ) -> None:
        """Apply what others were charged between two earned times.

        What is earned in between is added in the same step: a full bucket would lose
        it otherwise.
        """
        rate_per_ms, capacity = self._rate_per_ms, self.limit.burst * share
        level = self.level + rate_per_ms * (from_ms - self.earned_ms)
        if level > capacity:
            level = capacity
        level += rate_per_ms * (earned_ms - from_ms) - amount
        if level > capacity:
            level = capacity
        self.level = level if level > self._lowest else self._lowest
        self.earned_ms = earned_ms

    def spend(self, cost: int, now_ms: float, recent_ms: float) -> None:
        """Charge the bucket for a request of this instance."""
        self._count_spent(cost, now_ms, recent_ms)
        self.level = max(self._lowest, self.level - cost)

    def continue_from(self, known: "_Bucket") -> None:
        """Take over the state that the bucket had under another limit."""
        self.level = max(self._lowest, known.level)
        self.held = known.held
        self._spent, self._spent_before = known._spent, known._spent_before
        self._n_periods = known._n_periods

    def hold(self, ratio: float, now_ms: float, recent_ms: float) -> None:
        """Keep only a part of the level, as other instances may spend the rest.

        They have been able to since their last reports, and so has this one, whose
        charges of that time count against its part.
        """
        self._count_spent(0, now_ms, recent_ms)
        spent = self._spent + self._spent_before
        kept = min(self.level, (self.level + spent) * ratio - spent)
        if self.level > 0.0:
            self.held += self.level - kept
            self.level = kept

    def return_held(self, share: float) -> None:
        """Take back what was held: the silent instances were heard in time."""
        self.level = min(self.level + self.held, self.limit.burst * share)
        self.held = 0.0

    def _count_spent(self, cost: int, now_ms: float, recent_ms: float) -> None:
        """Add to the charges since any report that has just stopped being recent."""
        n_periods = int(now_ms // (recent_ms + COVERAGE_LIFETIME_MS))
        if n_periods != self._n_periods:
            is_next = n_periods == self._n_periods + 1
            self._spent_before = self._spent if is_next else 0.0
            self._spent, self._n_periods = 0.0, n_periods
        self._spent += cost


class _Counters:
    """Cumulative charges by account, without those that haven't changed lately."""

    def __init__(self) -> None:
        self.values: dict[int, int] = {}
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


class _Sender(NamedTuple):
    """The last report of a sender.

    ``heard`` holds what was charged less what was refunded since the base was set.
    """

    stream: Stream
    at_ms: float
    report: CounterReport
    heard: dict[int, int]


class _Contribution:
    """What a follower added to this instance's totals."""

    def __init__(self) -> None:
        self.charges: dict[int, int] = {}
        self.covered_ms = 0.0
        self.at_ms = 0.0


class FleetQuota:
    """Buckets of all accounts with a limit, and the counters of charges.

    Parameters
    ----------
    bound : QuotaBound
        What an account may run in any window.
    n_seeds : int
        Number of instances that the settings name, this one included.
    now_ms : float
        Monotonic time of the start.
    """

    def __init__(self, bound: QuotaBound, n_seeds: int, now_ms: float) -> None:
        self.coverage = Coverage()
        self._bound = bound
        self._n_seeds = max(1, n_seeds)
        self._started_at_ms = now_ms
        self._advanced_at_ms = now_ms
        self._coverage_at_ms = -math.inf
        self._held_at_ms = math.inf
        self._n_members = 1
        self._period_ms = 0.0
        self._buckets: dict[int, _Bucket] = {}
        self._senders: dict[str, _Sender] = {}
        self._contributions: dict[str, _Contribution] = {}
        self._group = _Counters()
        self._total = _Counters()
        self._group_covered_ms = 0.0
        self._total_covered_ms = 0.0
        # Time that buckets have earned. It never gets ahead of the time since the
        # origin, and falls at most ``SILENCE_MS`` behind: what isn't covered is lost.
        self._earned_ms = 0.0
        self._origin_ms = now_ms
        self._update_coverage(now_ms)

    @property
    def has_limits(self) -> bool:
        """Whether any account has a limit."""
        return bool(self._buckets)

    def replace_limits(self, limits: Mapping[int, AccountLimit], now_ms: float) -> None:
        """Put other limits in force; levels are kept, capped by the new bursts.

        A bucket that is new, or that counted something else before, starts empty.
        """
        self._advance(now_ms)
        before = self._buckets
        self._buckets = {}
        for number, limit in limits.items():
            bucket = _Bucket(limit, self._bound, self._earned_ms)
            known = before.get(number)
            if known and known.limit.counts_tokens == limit.counts_tokens:
                known.refill(self._earned_ms, self.coverage.recent_share)
                bucket.continue_from(known)
                bucket.refill(self._earned_ms, self.coverage.recent_share)
            self._buckets[number] = bucket

    def charge(self, number: int, cost: int, now_ms: float) -> Result[None, float]:
        """Charge an account, or return the time in ms until it can be charged."""
        decision = self.check(number, cost, now_ms)
        bucket = self._buckets.get(number)
        if decision.is_ok() and bucket is not None:
            bucket.spend(cost, now_ms, self._recent_ms())
            self._count_own(number, cost, now_ms)
        return decision

    def check(self, number: int, cost: int, now_ms: float) -> Result[None, float]:
        """Return what ``charge`` would, without charging anything."""
        bucket = self._buckets.get(number)
        if bucket is None:
            return Ok(None)
        self._refresh_coverage(now_ms)
        available = self._available(bucket)
        return decide(bucket.limit, self._bound, available, cost, self.coverage)

    def refund(self, number: int, cost: int, now_ms: float) -> None:
        """Take back a charge of this instance."""
        bucket = self._buckets.get(number)
        if bucket is None:
            return
        self._refresh_coverage(now_ms)
        share = self.coverage.recent_share
        bucket.refill(self._earned_ms, share)
        bucket.level = min(bucket.level + cost, bucket.limit.burst * share)
        self._count_own(number, -cost, now_ms)

    def view(self, number: int, now_ms: float) -> AccountView | None:
        """Return the state of an account's bucket, None without a limit."""
        bucket = self._buckets.get(number)
        if bucket is None:
            return None
        self._refresh_coverage(now_ms)
        return AccountView(self._available(bucket), bucket.limit)

    def on_period(
        self, n_members: int, period_ms: float, sources: Iterable[str], now_ms: float
    ) -> None:
        """Prepare the next digests.

        ``sources`` are the instances whose reports together cover the fleet.
        """
        self._n_members = n_members
        self._period_ms = period_ms
        for sender in self._senders.keys() - set(sources):
            del self._senders[sender]
        self._advance(now_ms)
        self._update_coverage(now_ms)
        self._group.reset_unchanged(now_ms)
        for number in self._total.reset_unchanged(now_ms):
            for contribution in self._contributions.values():
                contribution.charges.pop(number, None)
        for sender, contribution in list(self._contributions.items()):
            if now_ms - contribution.at_ms > CONTRIBUTION_LIFETIME_MS:
                del self._contributions[sender]

    def group_report(self, followers: Iterable[str], now_ms: float) -> CounterReport:
        """Return the counters of this instance and those that followed it."""
        return CounterReport(
            dict(self._group.values),
            int(self._group_covered_ms),
            1 + self._n_covered(followers, SILENCE_MS, now_ms),
            self._n_known_for_peers(now_ms),
        )

    def report_for(self, follower: str, now_ms: float) -> CounterReport:
        """Return the counters of all instances but one that follows this one."""
        contribution = self._contributions.get(follower) or _Contribution()
        own = contribution.charges
        charges = {
            number: value - own.get(number, 0)
            for number, value in self._total.values.items()
        }
        others = self._senders.keys() - {follower}
        return CounterReport(
            charges,
            int(self._total_covered_ms - contribution.covered_ms),
            1 + self._n_covered(others, SILENCE_MS, now_ms),
            self._n_known_for_peers(now_ms),
        )

    def on_report(
        self,
        sender: str,
        stream: Stream,
        report: CounterReport,
        is_follower: bool,
        now_ms: float,
    ) -> None:
        """Apply the counters of another instance.

        The first report of a stream, and the first after silence, only set the base.
        """
        self._advance(now_ms)
        known = self._senders.get(sender)
        is_continued = (
            known is not None
            and known.stream == stream
            and now_ms - known.at_ms <= SILENCE_MS
        )
        heard = known.heard if is_continued else {}
        self._senders[sender] = _Sender(stream, now_ms, report, heard)
        if not is_continued:
            return
        contribution = None
        if is_follower:
            contribution = self._contributions.setdefault(sender, _Contribution())
            contribution.at_ms = now_ms
        earned_before_ms = self._earned_ms
        self._earn(report.covered_ms - known.report.covered_ms, contribution, now_ms)
        buckets, share = self._buckets, self.coverage.recent_share
        charges_before = known.report.charges
        for number, value in report.charges.items():
            step = value - charges_before.get(number, 0)
            if not step or not -MAX_STEP <= step <= MAX_STEP:
                continue
            amount = self._count_other(number, step, heard, contribution, now_ms)
            bucket = buckets.get(number)
            if amount and bucket is not None:
                bucket.apply(amount, earned_before_ms, self._earned_ms, share)

    def _n_known_for_peers(self, now_ms: float) -> int:
        """Return the number of known instances for a report.

        Numbers that peers reported aren't passed on for long: none would ever decrease.
        """
        if now_ms - self._started_at_ms < DISCOVERY_MS:
            return self.coverage.n_known
        return self._n_members

    def _count_own(self, number: int, amount: int, now_ms: float) -> None:
        self._group.add(number, amount, now_ms)
        self._total.add(number, amount, now_ms)

    def _count_other(
        self,
        number: int,
        step: int,
        heard: dict[int, int],
        contribution: _Contribution | None,
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
        if not amount or not self._total.add(number, amount, now_ms):
            return 0
        heard[number] = after
        if contribution is not None:
            self._group.add(number, amount, now_ms)
            own = contribution.charges
            own[number] = own.get(number, 0) + amount
        return amount

    def _earn(
        self, step_ms: int, contribution: _Contribution | None, now_ms: float
    ) -> None:
        """Count the running time that another instance's counters cover."""
        covered_ms = min(MAX_COVERED_STEP_MS, max(0, step_ms))
        self._total_covered_ms += covered_ms
        if contribution is not None:
            self._group_covered_ms += covered_ms
            contribution.covered_ms += covered_ms
        self._add_earned(covered_ms, now_ms)

    def _advance(self, now_ms: float) -> None:
        """Count this instance's own running time up to now."""
        passed_ms = now_ms - self._advanced_at_ms
        if passed_ms <= 0.0:
            return
        self._advanced_at_ms = now_ms
        self._group_covered_ms += passed_ms
        self._total_covered_ms += passed_ms
        self._add_earned(passed_ms, now_ms)

    def _add_earned(self, covered_ms: float, now_ms: float) -> None:
        limit_ms = now_ms - self._origin_ms
        earned_ms = self._earned_ms + covered_ms / self.coverage.n_known
        self._earned_ms = min(limit_ms, earned_ms)
        lag_ms = limit_ms - self._earned_ms
        if lag_ms > SILENCE_MS:
            self._origin_ms += lag_ms - SILENCE_MS

    def _available(self, bucket: _Bucket) -> float:
        """Return what the bucket can pay, with the refill that is on its way."""
        coverage = self.coverage
        bucket.refill(self._earned_ms, coverage.recent_share)
        lag_ms = self._advanced_at_ms - self._origin_ms - self._earned_ms
        transit_ms = min(lag_ms, N_PERIODS_IN_TRANSIT * self._period_ms)
        ahead = bucket.limit.rate_per_s * transit_ms / 1000.0 * coverage.recent_share
        return min(bucket.level + ahead, bucket.limit.burst * coverage.recent_share)

    def _refresh_coverage(self, now_ms: float) -> None:
        self._advance(now_ms)
        if now_ms - self._coverage_at_ms > COVERAGE_LIFETIME_MS:
            self._update_coverage(now_ms)

    def _update_coverage(self, now_ms: float) -> None:
        self._coverage_at_ms = now_ms
        heard = [s for s in self._senders.values() if now_ms - s.at_ms <= SILENCE_MS]
        n_known = max(self._n_members, *(_n(s.report.n_known) for s in heard), 1)
        if now_ms - self._started_at_ms < SEEDS_LIFETIME_MS:
            n_known = max(n_known, self._n_seeds)
        n_recent = 1 + self._n_covered(self._senders, self._recent_ms(), now_ms)
        n_covered = 1 + self._n_covered(self._senders, SILENCE_MS, now_ms)
        before = self.coverage
        self.coverage = Coverage(
            n_known=n_known,
            n_covered=n_covered,
            recent_share=min(1.0, n_recent / n_known),
            share=min(1.0, n_covered / n_known),
            oldest_report_ms=max((now_ms - s.at_ms for s in heard), default=0.0),
        )
        self._divide_levels(before, now_ms)

    def _divide_levels(self, before: Coverage, now_ms: float) -> None:
        """Hold the part of all levels that instances out of contact may spend.

        It is taken back if they are heard again within ``SILENCE_MS``, with their
        charges of that time, and dropped otherwise.
        """
        share, share_before = self.coverage.recent_share, before.recent_share
        if share < share_before:
            for bucket in self._buckets.values():
                bucket.refill(self._earned_ms, share_before)
                bucket.hold(share / share_before, now_ms, self._recent_ms())
            self._held_at_ms = min(now_ms, self._held_at_ms)
        is_silent = self.coverage.n_covered < before.n_covered
        if is_silent or now_ms - self._held_at_ms > SILENCE_MS:
            self._held_at_ms = math.inf
            for bucket in self._buckets.values():
                bucket.held = 0.0
        elif share > share_before and share >= self.coverage.share:
            for bucket in self._buckets.values():
                bucket.refill(self._earned_ms, share)
                bucket.return_held(share)
            self._held_at_ms = math.inf

    def _recent_ms(self) -> float:
        """Return for how long a report counts towards ``recent_share``."""
        return max(MIN_RECENT_MS, N_RECENT_PERIODS * self._period_ms)

    def _n_covered(
        self, senders: Iterable[str], lifetime_ms: float, now_ms: float
    ) -> int:
        """Return how many instances the senders' unexpired reports cover."""
        known = [self._senders[name] for name in senders if name in self._senders]
        return sum(
            _n(sender.report.n_covered)
            for sender in known
            if now_ms - sender.at_ms <= lifetime_ms
        )


def _n(value: int) -> int:
    """Return a number of instances that a peer stated, within bounds."""
    return min(MAX_INSTANCES, max(0, value))

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

from expression import Ok, Result

from .quota_buckets import AccountView, FleetBuckets, decide
from .quota_counters import (
    MAX_STEP,
    SILENCE_MS,
    CounterReport,
    FleetCounters,
    Sender,
    Stream,
)
from .quota_coverage import (
    COVERAGE_LIFETIME_MS,
    Coverage,
    CoverageTracker,
    n_covered_by,
)
from .quota_limits import AccountLimit, QuotaBound


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
        self._buckets = FleetBuckets(bound, now_ms)
        self._counters = FleetCounters()
        self._tracker = CoverageTracker(n_seeds, now_ms)
        self._advanced_at_ms = now_ms
        self._coverage_at_ms = -math.inf
        self._update_coverage(now_ms)

    @property
    def has_limits(self) -> bool:
        """Whether any account has a limit."""
        return bool(self._buckets.by_account)

    def replace_limits(self, limits: Mapping[int, AccountLimit], now_ms: float) -> None:
        """Put other limits in force; levels are kept, capped by the new bursts.

        A bucket that is new, or that counted something else before, starts empty.
        """
        self._advance(now_ms)
        self._buckets.replace_limits(limits, self.coverage.recent_share)

    def charge(self, number: int, cost: int, now_ms: float) -> Result[None, float]:
        """Charge an account, or return the time in ms until it can be charged."""
        decision = self.check(number, cost, now_ms)
        bucket = self._buckets.by_account.get(number)
        if decision.is_ok() and bucket is not None:
            bucket.spend(cost, now_ms, self._tracker.recent_ms)
            self._counters.add_own(number, cost, now_ms)
        return decision

    def check(self, number: int, cost: int, now_ms: float) -> Result[None, float]:
        """Return what ``charge`` would, without charging anything."""
        bucket = self._buckets.by_account.get(number)
        if bucket is None:
            return Ok(None)
        self._refresh_coverage(now_ms)
        coverage, buckets = self.coverage, self._buckets
        available = buckets.available(
            bucket, coverage.recent_share, self._tracker.period_ms, self._advanced_at_ms
        )
        return decide(bucket.limit, buckets.bound, available, cost, coverage)

    def refund(self, number: int, cost: int, now_ms: float) -> None:
        """Take back a charge of this instance."""
        bucket = self._buckets.by_account.get(number)
        if bucket is None:
            return
        self._refresh_coverage(now_ms)
        share = self.coverage.recent_share
        bucket.refill(self._buckets.earned_ms, share)
        bucket.level = min(bucket.level + cost, bucket.limit.burst * share)
        self._counters.add_own(number, -cost, now_ms)

    def view(self, number: int, now_ms: float) -> AccountView | None:
        """Return the state of an account's bucket, None without a limit."""
        bucket = self._buckets.by_account.get(number)
        if bucket is None:
            return None
        self._refresh_coverage(now_ms)
        available = self._buckets.available(
            bucket,
            self.coverage.recent_share,
            self._tracker.period_ms,
            self._advanced_at_ms,
        )
        return AccountView(available, bucket.limit)

    def on_period(
        self, n_members: int, period_ms: float, sources: Iterable[str], now_ms: float
    ) -> None:
        """Prepare the next digests.

        ``sources`` are the instances whose reports together cover the fleet.
        """
        self._tracker.on_period(n_members, period_ms)
        self._counters.retain_senders(sources)
        self._advance(now_ms)
        self._update_coverage(now_ms)
        self._counters.reset_unchanged(now_ms)

    def group_report(self, followers: Iterable[str], now_ms: float) -> CounterReport:
        """Return the counters of this instance and those that followed it."""
        senders = self._counters.senders
        return self._counters.group_report(
            1 + n_covered_by(senders, followers, SILENCE_MS, now_ms),
            self._tracker.n_known_for_peers(self.coverage, now_ms),
        )

    def report_for(self, follower: str, now_ms: float) -> CounterReport:
        """Return the counters of all instances but one that follows this one."""
        senders = self._counters.senders
        others = senders.keys() - {follower}
        return self._counters.report_for(
            follower,
            1 + n_covered_by(senders, others, SILENCE_MS, now_ms),
            self._tracker.n_known_for_peers(self.coverage, now_ms),
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
        counters, buckets = self._counters, self._buckets
        known = counters.senders.get(sender)
        is_continued = (
            known is not None
            and known.stream == stream
            and now_ms - known.at_ms <= SILENCE_MS
        )
        heard = known.heard if is_continued else {}
        counters.senders[sender] = Sender(stream, now_ms, report, heard)
        if not is_continued:
            return
        contribution = None
        if is_follower:
            contribution = counters.contribution_of(sender, now_ms)
        step_ms = report.covered_ms - known.report.covered_ms
        covered_ms = counters.add_covered(step_ms, contribution)
        earned_before_ms = buckets.earned_ms
        buckets.add_earned(covered_ms, self.coverage.n_known, now_ms)
        earned_ms, share = buckets.earned_ms, self.coverage.recent_share
        by_account, add_other = buckets.by_account, counters.add_other
        charges_before = known.report.charges
        for number, value in report.charges.items():
            step = value - charges_before.get(number, 0)
            if not step or not -MAX_STEP <= step <= MAX_STEP:
                continue
            amount = add_other(number, step, heard, contribution, now_ms)
            bucket = by_account.get(number)
            if amount and bucket is not None:
                bucket.apply(amount, earned_before_ms, earned_ms, share)

    def _advance(self, now_ms: float) -> None:
        """Count this instance's own running time up to now."""
        passed_ms = now_ms - self._advanced_at_ms
        if passed_ms <= 0.0:
            return
        self._advanced_at_ms = now_ms
        counters = self._counters
        counters.group.covered_ms += passed_ms
        counters.total.covered_ms += passed_ms
        self._buckets.add_earned(passed_ms, self.coverage.n_known, now_ms)

    def _refresh_coverage(self, now_ms: float) -> None:
        self._advance(now_ms)
        if now_ms - self._coverage_at_ms > COVERAGE_LIFETIME_MS:
            self._update_coverage(now_ms)

    def _update_coverage(self, now_ms: float) -> None:
        self._coverage_at_ms = now_ms
        before = self.coverage
        self.coverage = self._tracker.measure(self._counters.senders, now_ms)
        recent_ms = self._tracker.recent_ms
        self._buckets.divide_levels(before, self.coverage, recent_ms, now_ms)

"""Token buckets of the quotas, and the decision whether one pays for a request."""

import math
from collections.abc import Mapping
from typing import NamedTuple

from expression import Error, Ok, Result

from .quota_counters import SILENCE_MS
from .quota_coverage import COVERAGE_LIFETIME_MS, Coverage
from .quota_limits import AccountLimit, QuotaBound, largest_cost

#: Digest periods that a report takes from a follower through two relays. Admission
#: anticipates that much refill, which has happened and is on its way.
N_PERIODS_IN_TRANSIT = 3
MAX_RETRY_AFTER_MS = 3_600_000.0
#: Retry-After is sent in hundredths of a second and rounded up to them.
RETRY_AFTER_STEP_MS = 10.0


class AccountView(NamedTuple):
    """State of an account's bucket, for logs and metrics."""

    level: float
    limit: AccountLimit


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


class Bucket:
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

    def continue_from(self, known: "Bucket") -> None:
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


class FleetBuckets:
    """Buckets of all accounts with a limit, and the time that they have earned.

    Parameters
    ----------
    bound : QuotaBound
        What an account may run in any window.
    now_ms : float
        Monotonic time of the start.

    Attributes
    ----------
    by_account : dict
        The bucket of each account with a limit, by the account's number.
    earned_ms : float
        Time that buckets have earned.
    """

    def __init__(self, bound: QuotaBound, now_ms: float) -> None:
        self.by_account: dict[int, Bucket] = {}
        self.bound = bound
        # It never gets ahead of the time since the origin, and falls at most
        # ``SILENCE_MS`` behind: what isn't covered is lost.
        self.earned_ms = 0.0
        self._origin_ms = now_ms
        self._held_at_ms = math.inf

    def replace_limits(self, limits: Mapping[int, AccountLimit], share: float) -> None:
        """Put other limits in force; levels are kept, capped by the new bursts.

        A bucket that is new, or that counted something else before, starts empty.
        """
        before = self.by_account
        self.by_account = {}
        for number, limit in limits.items():
            bucket = Bucket(limit, self.bound, self.earned_ms)
            known = before.get(number)
            if known and known.limit.counts_tokens == limit.counts_tokens:
                known.refill(self.earned_ms, share)
                bucket.continue_from(known)
                bucket.refill(self.earned_ms, share)
            self.by_account[number] = bucket

    def add_earned(self, covered_ms: float, n_known: int, now_ms: float) -> None:
        """Add the time that one of the known instances has run."""
        limit_ms = now_ms - self._origin_ms
        earned_ms = self.earned_ms + covered_ms / n_known
        self.earned_ms = min(limit_ms, earned_ms)
        lag_ms = limit_ms - self.earned_ms
        if lag_ms > SILENCE_MS:
            self._origin_ms += lag_ms - SILENCE_MS

    def available(
        self, bucket: Bucket, share: float, period_ms: float, advanced_at_ms: float
    ) -> float:
        """Return what the bucket can pay, with the refill that is on its way.

        This instance's running time was added up to ``advanced_at_ms``.
        """
        bucket.refill(self.earned_ms, share)
        lag_ms = advanced_at_ms - self._origin_ms - self.earned_ms
        transit_ms = min(lag_ms, N_PERIODS_IN_TRANSIT * period_ms)
        ahead = bucket.limit.rate_per_s * transit_ms / 1000.0 * share
        return min(bucket.level + ahead, bucket.limit.burst * share)

    def divide_levels(
        self, before: Coverage, coverage: Coverage, recent_ms: float, now_ms: float
    ) -> None:
        """Hold the part of all levels that instances out of contact may spend.

        It is taken back if they are heard again within ``SILENCE_MS``, with their
        charges of that time, and dropped otherwise.
        """
        share, share_before = coverage.recent_share, before.recent_share
        if share < share_before:
            for bucket in self.by_account.values():
                bucket.refill(self.earned_ms, share_before)
                bucket.hold(share / share_before, now_ms, recent_ms)
            self._held_at_ms = min(now_ms, self._held_at_ms)
        is_silent = coverage.n_covered < before.n_covered
        if is_silent or now_ms - self._held_at_ms > SILENCE_MS:
            self._held_at_ms = math.inf
            for bucket in self.by_account.values():
                bucket.held = 0.0
        elif share > share_before and share >= coverage.share:
            for bucket in self.by_account.values():
                bucket.refill(self.earned_ms, share)
                bucket.return_held(share)
            self._held_at_ms = math.inf

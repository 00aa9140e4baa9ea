"""Charges requests to their client accounts, and reports refusals.

The decisions are made in ``admission/fleet_quota.py``. This module knows the accounts
of the configuration in force, the messages of digests, log lines and metrics.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from expression import Error, Ok, Result

from ..admission.fleet_quota import FleetQuota
from ..admission.quota_counters import CounterReport, Stream
from ..admission.quota_limits import AccountLimit, request_cost
from ..catalog.route_table import RouteTable
from ..events import gateway as events
from ..telemetry import Telemetry
from ..telemetry.metrics import (
    QUOTA_COVERED_SHARE,
    QUOTA_LEVEL,
    QUOTA_REFUSALS,
    QUOTA_REPORT_AGE_MS,
)
from ..wire.digests import QuotaCounters, Scope
from ..wire.numeric_ids import account_number
from .fleet_state import FleetState
from .requests import AdmittedRequest, Charge, Refusal

#: An account's refusals are logged at most once in this time, with their number, and
#: those of at most so many accounts.
LOG_PERIOD_MS = 10_000.0
MAX_LINES_PER_PERIOD = 32


class RefusalCount(NamedTuple):
    """Refusals of an account since they were last logged."""

    logged_at_ms: float
    n_refused: int


class AccountQuotas:
    """The quotas of all client accounts at this instance.

    Parameters
    ----------
    quota : FleetQuota
        Buckets and counters.
    fleet_state : FleetState
        Holds the configuration in force.
    now_ms : callable
        Returns monotonic time in milliseconds.
    telemetry : Telemetry
        Receives log lines and metrics.
    """

    def __init__(
        self,
        quota: FleetQuota,
        fleet_state: FleetState,
        now_ms: Callable[[], float],
        telemetry: Telemetry,
    ) -> None:
        self._quota = quota
        self._fleet_state = fleet_state
        self._now_ms = now_ms
        self._telemetry = telemetry
        self._table: RouteTable | None = None
        self._names: dict[int, str] = {}
        self._refusals: dict[str, RefusalCount] = {}
        self._n_lines = 0
        self._lines_since_ms = now_ms()

    def charge(self, admitted: AdmittedRequest) -> Result[AdmittedRequest, Refusal]:
        """Charge a request to its account, or refuse it."""
        account = admitted.account
        if account is None or account.limit is None:
            return Ok(admitted)
        self._follow_configuration()
        number, now_ms = account_number(account.name), self._now_ms()
        cost = request_cost(account.limit, admitted.request.fields.token_counts)
        charged = self._quota.charge(number, cost, now_ms)
        if charged.is_ok():
            charge = Charge(number, cost, account.limit.counts_tokens)
            return Ok(admitted._replace(charge=charge))
        self._report_refusal(admitted, cost, charged.error)
        return Error(_refusal(account.name, charged.error))

    def check(self, admitted: AdmittedRequest) -> Refusal | None:
        """Return the refusal that a request would get now; nothing is charged."""
        account = admitted.account
        if account is None or account.limit is None:
            return None
        self._follow_configuration()
        cost = request_cost(account.limit, admitted.request.fields.token_counts)
        number = account_number(account.name)
        checked = self._quota.check(number, cost, self._now_ms())
        return None if checked.is_ok() else _refusal(account.name, checked.error)

    def refund(self, charge: Charge) -> None:
        """Take back the charge of a request that provably did not run.

        A bucket that has changed its unit since then doesn't include the charge.
        """
        self._follow_configuration()
        number, now_ms = charge.account_number, self._now_ms()
        view = self._quota.view(number, now_ms)
        if view is not None and view.limit.counts_tokens == charge.counts_tokens:
            self._quota.refund(number, charge.cost, now_ms)

    def on_period(
        self, n_members: int, period_ms: float, sources: Iterable[str]
    ) -> None:
        """Prepare the next digests."""
        self._follow_configuration()
        self._quota.on_period(n_members, period_ms, sources, self._now_ms())

    def group_counters(self, followers: Iterable[str]) -> QuotaCounters | None:
        """Return the counters of this instance and its followers, for a digest.

        None if no account has a limit.
        """
        if not self._quota.has_limits:
            return None
        return _encode(self._quota.group_report(followers, self._now_ms()))

    def counters_for(self, follower: str) -> QuotaCounters | None:
        """Return the counters of all instances but a follower, for a digest to it."""
        if not self._quota.has_limits:
            return None
        return _encode(self._quota.report_for(follower, self._now_ms()))

    def on_counters(
        self, sender: str, incarnation: int, scope: Scope, counters: QuotaCounters
    ) -> None:
        """Apply the counters of another instance's digest."""
        self._follow_configuration()
        report = CounterReport(
            counters.charges, counters.covered_ms, counters.n_covered, counters.n_known
        )
        is_follower = scope is Scope.OWN
        self._quota.on_report(
            sender, Stream(incarnation, scope), report, is_follower, self._now_ms()
        )

    def update_gauges(self) -> None:
        """Set the metrics that are read when they are asked for."""
        if not self._quota.has_limits:
            return
        metrics, now_ms = self._telemetry.metrics, self._now_ms()
        for number, name in self._names.items():
            view = self._quota.view(number, now_ms)
            metrics.gauge(QUOTA_LEVEL, round(view.level), label=name)
        coverage = self._quota.coverage
        metrics.gauge(QUOTA_COVERED_SHARE, coverage.recent_share)
        metrics.gauge(QUOTA_REPORT_AGE_MS, round(coverage.oldest_report_ms, 1))

    def _follow_configuration(self) -> None:
        """Use the limits of the configuration in force."""
        table = self._fleet_state.configuration.table
        if table is self._table or table is None:
            return
        self._table = table
        limits: dict[int, AccountLimit] = {}
        names: dict[int, str] = {}
        for account in table.configuration.accounts.values():
            if account.limit is not None:
                number = account_number(account.name)
                limits[number], names[number] = account.limit, account.name
        self._names = names
        self._refusals = {
            name: count
            for name, count in self._refusals.items()
            if account_number(name) in names
        }
        self._quota.replace_limits(limits, self._now_ms())

    def _report_refusal(
        self, admitted: AdmittedRequest, cost: int, retry_after_ms: float
    ) -> None:
        """Count a refusal, and log it unless one of the account was logged lately."""
        account, now_ms = admitted.account, self._now_ms()
        self._telemetry.metrics.incr(QUOTA_REFUSALS, label=account.name)
        count = self._refusals.get(account.name, RefusalCount(-LOG_PERIOD_MS, 0))
        count = count._replace(n_refused=count.n_refused + 1)
        self._refusals[account.name] = count
        if now_ms - count.logged_at_ms < LOG_PERIOD_MS or not self._may_log(now_ms):
            return
        self._refusals[account.name] = RefusalCount(now_ms, 0)
        view = self._quota.view(account_number(account.name), now_ms)
        coverage = self._quota.coverage
        self._telemetry.log(
            events.OVER_QUOTA,
            request_id=admitted.request_id,
            account=account.name,
            n_refused=count.n_refused,
            cost=cost,
            available=round(view.level, 1),
            rate_per_s=view.limit.rate_per_s,
            burst=view.limit.burst,
            retry_after_ms=retry_after_ms,
            covered_share=round(coverage.recent_share, 3),
            n_instances=coverage.n_known,
            oldest_report_ms=round(coverage.oldest_report_ms, 1),
            configuration_version=self._fleet_state.configuration.version,
        )

    def _may_log(self, now_ms: float) -> bool:
        if now_ms - self._lines_since_ms >= LOG_PERIOD_MS:
            self._lines_since_ms, self._n_lines = now_ms, 0
        self._n_lines += 1
        return self._n_lines <= MAX_LINES_PER_PERIOD


def _refusal(account: str, retry_after_ms: float) -> Refusal:
    reason = f"the client account {account} is over its quota"
    return Refusal(429, "over-quota", reason, retry_after_ms)


def _encode(report: CounterReport) -> QuotaCounters:
    return QuotaCounters(*report)

"""The owner's side of fleet-wide limits: it collects demand and grants shares.

Each client account has one owner among the live instances, by rendezvous hashing. The
owner's state is not replicated: a new owner grants nothing until every share that its
predecessor granted has expired, and instances use their fixed part meanwhile.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from ..wire.share_messages import (
    AccountDemand,
    AccountShare,
    DemandReport,
    ShareGrant,
)
from .buckets import Rates
from .live_view import LiveView
from .share_client import VALID_PERIODS, LimitKey

#: ``limit_of(key) -> Rates``: the limit over the whole fleet, by the active profile.
LimitLookup = Callable[[LimitKey], Rates]


class _Grant(NamedTuple):
    """A share that may still be in use."""

    rates: Rates
    until_ms: float


class _Reporter:
    """What the owner knows about one instance's use of one account."""

    def __init__(self) -> None:
        self.demand = Rates(0.0, 0.0)
        self.has_share = False
        self.reported_until_ms = 0.0
        self.grants: list[_Grant] = []

    def expire(self, now_ms: float) -> None:
        self.grants = [grant for grant in self.grants if grant.until_ms > now_ms]

    def outstanding(self, fixed: Rates) -> Rates:
        """Return the highest rates that the instance may be using.

        Unless it has reported that it holds a share, that includes its fixed part.
        """
        used = [grant.rates for grant in self.grants]
        if not self.has_share or not used:
            used.append(fixed)
        return Rates(*(max(column) for column in zip(*used, strict=True)))


class _Account:
    """The instances that report demand for one account under one profile."""

    def __init__(self, ready_at_ms: float) -> None:
        self.ready_at_ms = ready_at_ms
        self.reporters: dict[str, _Reporter] = {}

    def expire(self, now_ms: float) -> None:
        for reporter in self.reporters.values():
            reporter.expire(now_ms)
        self.reporters = {
            id_: reporter
            for id_, reporter in self.reporters.items()
            if reporter.grants or reporter.reported_until_ms > now_ms
        }


class ShareOwner:
    """Grants shares of the accounts that this instance owns."""

    def __init__(self, view: LiveView, period_ms: float, limit_of: LimitLookup) -> None:
        self._view = view
        self._valid_ms = VALID_PERIODS * period_ms
        self._limit_of = limit_of
        self._accounts: dict[LimitKey, _Account] = {}
        self._last_seq: dict[str, int] = {}

    def on_report(
        self, sender_id: str, report: DemandReport, now_ms: float
    ) -> ShareGrant:
        """Record the demand and return the sender's shares.

        A repeated or reordered report gets no share.
        """
        if report.seq <= self._last_seq.get(sender_id, -1):
            return ShareGrant(report.seq, ())
        self._last_seq[sender_id] = report.seq
        for demand in report.demands:
            self._note(sender_id, demand, now_ms)
        # An instance with a different view of the live instances may also report to
        # another owner, and would get shares from both.
        if report.view != self._view.digest:
            return ShareGrant(report.seq, ())
        shares = (self._share(sender_id, demand, now_ms) for demand in report.demands)
        return ShareGrant(report.seq, tuple(share for share in shares if share))

    def expire(self, now_ms: float) -> None:
        """Forget accounts without recent reports or valid grants."""
        for account in self._accounts.values():
            account.expire(now_ms)
        accounts = self._accounts.items()
        self._accounts = {key: a for key, a in accounts if a.reporters}
        live = set(self._view.live_ids)
        seqs = self._last_seq.items()
        self._last_seq = {id_: seq for id_, seq in seqs if id_ in live}

    def _note(self, sender_id: str, demand: AccountDemand, now_ms: float) -> None:
        key = (demand.profile, demand.client_account)
        account = self._accounts.get(key)
        if account is None:
            account = _Account(now_ms + self._valid_ms)
            self._accounts[key] = account
        reporter = account.reporters.setdefault(sender_id, _Reporter())
        reporter.demand = Rates(demand.requests_per_s, demand.tokens_per_s)
        reporter.has_share = demand.has_share
        reporter.reported_until_ms = now_ms + self._valid_ms
        if demand.requests_per_s <= 0.0:
            del account.reporters[sender_id]

    def _share(
        self, sender_id: str, demand: AccountDemand, now_ms: float
    ) -> AccountShare | None:
        key = (demand.profile, demand.client_account)
        account = self._accounts[key]
        account.expire(now_ms)
        if now_ms < account.ready_at_ms or sender_id not in account.reporters:
            return None
        limit = self._limit_of(key)
        n_counted = self._view.n_counted
        fixed = Rates(*(total / n_counted for total in limit))
        # Instances that vanished may still be serving behind a network partition, so
        # their fixed parts are held back.
        free = Rates(
            *(total * (1 - self._view.n_vanished / n_counted) for total in limit)
        )
        rates = _grantable(account, sender_id, free, fixed)
        if rates is None:
            return None
        grant = _Grant(rates, now_ms + self._valid_ms)
        account.reporters[sender_id].grants.append(grant)
        return AccountShare(*key, *rates)


def _grantable(
    account: _Account, sender_id: str, free: Rates, fixed: Rates
) -> Rates | None:
    """Return the rates that ``sender_id`` may get without exceeding the limit.

    None is returned if that is less than its fixed part, which it then continues to
    use until the shares of the others have shrunk.
    """
    reporters = account.reporters
    others = [r.outstanding(fixed) for id_, r in reporters.items() if id_ != sender_id]
    index = list(reporters).index(sender_id)
    sender = reporters[sender_id]
    # A share is renewed even if it shrinks below the fixed part, since its holder
    # would otherwise fall back to the fixed part, which is more.
    is_renewal = sender.has_share and bool(sender.grants)
    granted = []
    for dimension, total in enumerate(free):
        demands = [reporter.demand[dimension] for reporter in reporters.values()]
        due = max_min_shares(total, demands)[index]
        available = total - sum(used[dimension] for used in others)
        if not is_renewal and available < min(due, fixed[dimension]):
            return None
        granted.append(max(0.0, min(due, available)))
    return Rates(*granted)


def max_min_shares(total: float, demands: Sequence[float]) -> list[float]:
    """Divide ``total`` among the demands with max-min fairness.

    What is left once all demands are met is divided evenly, as room for growth.
    """
    shares = [0.0] * len(demands)
    left = total
    for n_done, index in enumerate(_ascending_indices(demands)):
        fair = left / (len(demands) - n_done)
        shares[index] = min(demands[index], fair)
        left -= shares[index]
    return [share + left / len(demands) for share in shares]


def _ascending_indices(values: Sequence[float]) -> Iterable[int]:
    return sorted(range(len(values)), key=lambda index: values[index])

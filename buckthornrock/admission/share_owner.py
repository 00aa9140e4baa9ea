"""The owner's side of fleet-wide limits: it collects demand and hands out shares.

For each client account the rendezvous owner among the live instances holds this
state. It is only a memory of what was granted: a new owner grants nothing until every
share of its predecessor has run out, and instances do with their fixed part meanwhile.
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

#: ``limit_of(key) -> Rates``: the whole fleet's limit by the profile in force.
LimitLookup = Callable[[LimitKey], Rates]


class _Grant(NamedTuple):
    """A share that may still be in use."""

    rates: Rates
    until_ms: float


class _Reporter:
    """What the owner knows of one instance's use of one account."""

    def __init__(self) -> None:
        self.demand = Rates(0.0, 0.0)
        self.has_share = False
        self.heard_until_ms = 0.0
        self.grants: list[_Grant] = []

    def expire(self, now_ms: float) -> None:
        self.grants = [grant for grant in self.grants if grant.until_ms > now_ms]

    def outstanding(self, fixed: Rates) -> Rates:
        """Return the most that the instance may be using.

        Without proof that it holds a share, that includes its fixed part.
        """
        used = [grant.rates for grant in self.grants]
        if not self.has_share or not used:
            used.append(fixed)
        return Rates(*(max(column) for column in zip(*used, strict=True)))


class _Account:
    """The reporters of one account under one profile."""

    def __init__(self, ready_at_ms: float) -> None:
        self.ready_at_ms = ready_at_ms
        self.reporters: dict[str, _Reporter] = {}

    def expire(self, now_ms: float) -> None:
        for reporter in self.reporters.values():
            reporter.expire(now_ms)
        self.reporters = {
            id_: reporter
            for id_, reporter in self.reporters.items()
            if reporter.grants or reporter.heard_until_ms > now_ms
        }


class ShareOwner:
    """Shares of the accounts that this instance owns."""

    def __init__(self, view: LiveView, period_ms: float, limit_of: LimitLookup) -> None:
        self._view = view
        self._valid_ms = VALID_PERIODS * period_ms
        self._limit_of = limit_of
        self._accounts: dict[LimitKey, _Account] = {}
        self._last_seq: dict[str, int] = {}

    def on_report(
        self, sender_id: str, report: DemandReport, now_ms: float
    ) -> ShareGrant:
        """Note the demand and return the sender's shares."""
        if report.seq <= self._last_seq.get(sender_id, -1):
            return ShareGrant(report.seq, ())
        self._last_seq[sender_id] = report.seq
        for demand in report.demands:
            self._note(sender_id, demand, now_ms)
        # An instance with another view may be reporting to another owner as well.
        if report.view != self._view.digest:
            return ShareGrant(report.seq, ())
        shares = (self._share(sender_id, demand, now_ms) for demand in report.demands)
        return ShareGrant(report.seq, tuple(share for share in shares if share))

    def expire(self, now_ms: float) -> None:
        """Forget accounts that nobody reports any more."""
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
        reporter.heard_until_ms = now_ms + self._valid_ms
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
        n_held = self._view.n_held
        fixed = Rates(*(total / n_held for total in limit))
        # Instances that vanished may serve on behind a broken link.
        free = Rates(*(total * (1 - self._view.n_vanished / n_held) for total in limit))
        rates = _grantable(account, sender_id, free, fixed)
        if rates is None:
            return None
        grant = _Grant(rates, now_ms + self._valid_ms)
        account.reporters[sender_id].grants.append(grant)
        return AccountShare(*key, *rates)


def _grantable(
    account: _Account, sender_id: str, free: Rates, fixed: Rates
) -> Rates | None:
    """Return what ``sender_id`` may get without passing the limit, or None.

    None lets it go on with its fixed part, until the others' shares have shrunk.
    """
    reporters = account.reporters
    others = [r.outstanding(fixed) for id_, r in reporters.items() if id_ != sender_id]
    index = list(reporters).index(sender_id)
    sender = reporters[sender_id]
    # A share is renewed even if it shrinks, or its holder would fall back to more.
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
    """Divide ``total`` so that no one gets more at the cost of a smaller demand.

    What is left when all demands are met is divided evenly, as room for growth.
    """
    shares = [0.0] * len(demands)
    left = total
    for n_done, index in enumerate(_rising(demands)):
        fair = left / (len(demands) - n_done)
        shares[index] = min(demands[index], fair)
        left -= shares[index]
    return [share + left / len(demands) for share in shares]


def _rising(values: Sequence[float]) -> Iterable[int]:
    return sorted(range(len(values)), key=lambda index: values[index])

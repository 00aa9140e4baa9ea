"""An instance's side of fleet-wide limits: it reports demand and holds shares.

A share is the part of a client account's limit that one instance may use for a limited
time. An instance without a valid share applies its fixed part, the limit divided by the
number of instances, so that limits hold without any peer and without the key-value
service.
"""

from typing import NamedTuple

from ..runtime import rendezvous
from ..wire.share_messages import AccountDemand, DemandReport, ShareGrant
from .buckets import Rates
from .live_view import LiveView

#: Lifetime of a share, in report periods from the report that asked for it.
VALID_PERIODS = 3
#: Accounts reported in one period; the ones with the most tokens go first.
MAX_REPORTED = 256
#: Weight of the newest period in the smoothed demand.
SMOOTHING = 0.5
#: Smoothed demand below this counts as none.
MIN_REQUESTS_PER_S = 0.05

#: A profile and a client account.
LimitKey = tuple[str, str]


class _HeldShare(NamedTuple):
    """A granted share."""

    rates: Rates
    seq: int
    expires_at_ms: float


class _SentReport(NamedTuple):
    """A report that awaits its grant."""

    owner_id: str
    sent_at_ms: float


class _Demand:
    """Requests and tokens of the current period, and the smoothed rates so far."""

    def __init__(self) -> None:
        self.n_requests = 0
        self.n_tokens = 0.0
        self.requests_per_s = 0.0
        self.tokens_per_s = 0.0

    def close_period(self, elapsed_s: float) -> None:
        requests_per_s = self.n_requests / elapsed_s
        tokens_per_s = self.n_tokens / elapsed_s
        self.requests_per_s += SMOOTHING * (requests_per_s - self.requests_per_s)
        self.tokens_per_s += SMOOTHING * (tokens_per_s - self.tokens_per_s)
        self.n_requests = 0
        self.n_tokens = 0.0


class ShareClient:
    """Demand and shares of one instance.

    Parameters
    ----------
    view : LiveView
        View of the live instances, shared with this instance's :class:`.ShareOwner`.
    period_ms : float
        Time between two reports.
    first_seq : int
        Greater than every sequence number that earlier runs of this instance used.
    """

    def __init__(self, view: LiveView, period_ms: float, first_seq: int) -> None:
        self._view = view
        self._valid_ms = VALID_PERIODS * period_ms
        self._seq = first_seq
        self._demands: dict[LimitKey, _Demand] = {}
        self._shares: dict[LimitKey, _HeldShare] = {}
        self._sent_reports: dict[int, _SentReport] = {}
        self._ended_at_seq: dict[LimitKey, int] = {}
        self._reported_at_ms: float | None = None

    def note_demand(self, key: LimitKey, cost_tokens: float) -> None:
        """Count one request, whether it is admitted or not."""
        demand = self._demands.setdefault(key, _Demand())
        demand.n_requests += 1
        demand.n_tokens += cost_tokens

    def rates(self, key: LimitKey, limit: Rates, now_ms: float) -> Rates:
        """Return the rates at which this instance may admit the account's work."""
        held = self._shares.get(key)
        if held is not None and now_ms < held.expires_at_ms:
            return held.rates
        n_instances = self._view.n_counted
        return Rates(
            limit.requests_per_s / n_instances, limit.tokens_per_s / n_instances
        )

    def make_reports(self, now_ms: float) -> dict[str, DemandReport]:
        """Return this period's reports by the id of the accounts' owner."""
        self._close_period(now_ms)
        self._forget(now_ms)
        by_owner: dict[str, list[AccountDemand]] = {}
        for key in self._busiest_accounts():
            owner_id = rendezvous.owner(key[1].encode(), self._view.live_ids)
            by_owner.setdefault(owner_id, []).append(self._demand_of(key, now_ms))
        self._drop_idle()
        return {
            owner_id: self._report(owner_id, demands, now_ms)
            for owner_id, demands in by_owner.items()
        }

    def on_grant(self, sender_id: str, grant: ShareGrant, now_ms: float) -> None:
        """Apply the shares of a grant that answers one of this instance's reports.

        A share's lifetime starts when the report was sent. A late grant is therefore
        valid for a shorter time, and its holder stops using it before the owner
        takes it as expired, however long the messages travelled.
        """
        sent = self._sent_reports.get(grant.seq)
        if sent is None or sent.owner_id != sender_id:
            return
        expires_at_ms = sent.sent_at_ms + self._valid_ms
        for share in grant.shares:
            key = (share.profile, share.client_account)
            # A report of ended demand made the owner forget its earlier grants.
            if grant.seq <= self._ended_at_seq.get(key, -1):
                continue
            held = self._shares.get(key)
            if held is not None and held.seq >= grant.seq:
                continue
            rates = Rates(share.requests_per_s, share.tokens_per_s)
            self._shares[key] = _HeldShare(rates, grant.seq, expires_at_ms)

    def _close_period(self, now_ms: float) -> None:
        if self._reported_at_ms is not None:
            elapsed_s = max(0.001, (now_ms - self._reported_at_ms) / 1000.0)
            for demand in self._demands.values():
                demand.close_period(elapsed_s)
        self._reported_at_ms = now_ms

    def _forget(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._valid_ms
        sent = self._sent_reports.items()
        self._sent_reports = {seq: s for seq, s in sent if s.sent_at_ms > oldest_ms}
        oldest = min(self._sent_reports, default=self._seq + 1)
        ended = self._ended_at_seq.items()
        self._ended_at_seq = {key: seq for key, seq in ended if seq >= oldest}
        held = self._shares.items()
        self._shares = {key: h for key, h in held if h.expires_at_ms > now_ms}

    def _busiest_accounts(self) -> list[LimitKey]:
        keys = sorted(self._demands, key=lambda key: -self._demands[key].tokens_per_s)
        return keys[:MAX_REPORTED]

    def _demand_of(self, key: LimitKey, now_ms: float) -> AccountDemand:
        demand = self._demands[key]
        if demand.requests_per_s < MIN_REQUESTS_PER_S:
            # The owner may now grant the share to others, so it must not be used.
            self._shares.pop(key, None)
            self._ended_at_seq[key] = self._seq
            return AccountDemand(*key, 0.0, 0.0, False)
        has_share = key in self._shares
        return AccountDemand(
            *key, demand.requests_per_s, demand.tokens_per_s, has_share
        )

    def _drop_idle(self) -> None:
        demands = self._demands.items()
        self._demands = {
            key: demand
            for key, demand in demands
            if demand.n_requests or demand.requests_per_s >= MIN_REQUESTS_PER_S
        }

    def _report(
        self, owner_id: str, demands: list[AccountDemand], now_ms: float
    ) -> DemandReport:
        self._seq += 1
        self._sent_reports[self._seq] = _SentReport(owner_id, now_ms)
        return DemandReport(self._seq, self._view.digest, tuple(demands))

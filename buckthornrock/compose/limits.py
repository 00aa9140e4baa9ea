"""Wires fleet-wide limits: shares are agreed on with the accounts' owners."""

import threading

from ..admission.buckets import Rates
from ..admission.limits import AccountLimiter
from ..admission.live_view import LiveView
from ..admission.request import AdmissionRequest
from ..admission.share_client import LimitKey, ShareClient
from ..admission.share_owner import ShareOwner
from ..membership import MembershipPort
from ..profiles import AccountLimits, Profile, ProfilePort
from ..wire.share_messages import DemandReport, ShareGrant
from .core import Core, run_periodically

#: An instance that vanished counts this long as possibly still serving.
HOLD_MS = 10_000.0


def build_limits(
    core: Core, membership: MembershipPort, profiles: ProfilePort
) -> AccountLimiter:
    """Wire the limiter, the instance's reports and the accounts it owns."""
    period_ms = core.settings.admission.share_period_ms
    now_ms = core.clock.now_ms
    view = LiveView(HOLD_MS)
    # The wall clock puts the numbers of this run above those of earlier ones.
    client = ShareClient(view, period_ms, first_seq=core.clock.wall_ms())
    owner = ShareOwner(view, period_ms, lambda key: _fleet_limit(profiles, key))
    lock = threading.Lock()

    def rates_of(request: AdmissionRequest, at_ms: float) -> Rates:
        limit = Rates(request.policy.requests_per_s, request.policy.tokens_per_s)
        with lock:
            return client.rates(_key(request), limit, at_ms)

    def note_demand(request: AdmissionRequest) -> None:
        with lock:
            client.note_demand(_key(request), request.cost_tokens)

    def on_report(sender_id: str, report: DemandReport) -> None:
        with lock:
            grant = owner.on_report(sender_id, report, now_ms())
        if grant.shares:
            membership.tell(sender_id, grant)

    def on_grant(sender_id: str, grant: ShareGrant) -> None:
        with lock:
            client.on_grant(sender_id, grant, now_ms())

    def see_members() -> None:
        ids = [instance.instance_id for instance in membership.live()]
        with lock:
            view.update(ids, now_ms())

    def report() -> None:
        see_members()
        with lock:
            owner.expire(now_ms())
            reports = client.make_reports(now_ms())
        self_id = membership.self_view().instance_id
        own = reports.pop(self_id, None)
        if own is not None:
            with lock:
                grant = owner.on_report(self_id, own, now_ms())
                client.on_grant(self_id, grant, now_ms())
        for owner_id, message in reports.items():
            membership.tell(owner_id, message)

    see_members()
    membership.subscribe(DemandReport, on_report)
    membership.subscribe(ShareGrant, on_grant)
    run_periodically(core, "admission.shares", report, period_ms)
    return AccountLimiter(rates_of, note_demand)


def _key(request: AdmissionRequest) -> LimitKey:
    return request.query.profile, request.query.client_account


def _fleet_limit(profiles: ProfilePort, key: LimitKey) -> Rates:
    profile_name, client_account = key
    record = profiles.current(profile_name)
    if record.is_error():
        return Rates(0.0, 0.0)
    limits = account_limits(record.ok.profile, client_account)
    return Rates(limits["requests_per_s"], limits["tokens_per_s"])


def account_limits(profile: Profile, client_account: str) -> AccountLimits:
    """Return the limits of one client account."""
    return profile["client_accounts"].get(client_account, profile["default_limits"])

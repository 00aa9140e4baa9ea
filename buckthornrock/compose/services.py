"""Wires calls to plain services and their idempotency keys."""

from ..dispatch import ServiceDispatcher
from ..idempotency.claims import ClaimedCalls, Identity
from ..idempotency.issued_calls import IssuedCalls
from ..idempotency.service import derive_secret, open_idempotency
from ..membership import MembershipPort
from ..profiles import ProfilePort
from .core import Core, run_periodically
from .fleet import FleetParts

RECORD_PERIOD_MS = 250.0
#: Share of the entry port's threads that calls to plain services may hold.
THREAD_SHARE = 0.5


def build_services(
    core: Core, fleet: FleetParts, profiles: ProfilePort, membership: MembershipPort
) -> ServiceDispatcher:
    """Wire the dispatcher of plain-service calls."""
    secret = derive_secret(core.settings.isolation_secret)
    claimed = build_claims(core, membership, secret)
    issued = IssuedCalls(membership, secret, core.settings.idempotency, core.clock)
    dispatcher = ServiceDispatcher(
        fleet.fleet,
        fleet.services,
        profiles,
        open_idempotency(claimed, issued),
        core.telemetry,
        core.clock,
        core.rng,
        max(1, int(core.settings.entry.n_threads * THREAD_SHARE)),
    )
    issued.serve(dispatcher.run_forwarded)
    core.closers.append(issued.close)
    return dispatcher


def build_claims(core: Core, membership: MembershipPort, secret: bytes) -> ClaimedCalls:
    """Wire claims in the key-value service and the recording of outcomes."""
    view = membership.self_view()

    def is_live(instance_id: str, incarnation: str) -> bool:
        live = membership.live()
        return any(
            (v.instance_id, v.incarnation) == (instance_id, incarnation) for v in live
        )

    claimed = ClaimedCalls(
        core.kv,
        Identity(view.instance_id, view.incarnation),
        is_live,
        secret,
        core.settings.idempotency,
        core.telemetry,
        core.clock,
        core.rng,
    )
    recorder = run_periodically(
        core, "idempotency.record", claimed.record_outcomes, RECORD_PERIOD_MS
    )
    claimed.set_wake_callback(recorder.run_now)
    core.closers.append(claimed.flush)
    return claimed

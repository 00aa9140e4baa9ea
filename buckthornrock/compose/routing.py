"""Wires the choice of an engine and the polling that feeds it."""

import threading
from collections.abc import Callable
from typing import TypeVar

from ..conf.settings import UpstreamSettings
from ..membership import MembershipPort
from ..routing import RoutingPort
from ..routing.cost import RoutingContext
from ..routing.policies import open_routing
from ..wire.routing_messages import RoutingDigest
from .core import Core, run_periodically
from .fleet import FleetParts

T = TypeVar("T")


def build_routing(core: Core, membership: MembershipPort) -> RoutingPort:
    """Wire the routing policy; its functions may be called from any thread."""
    settings = core.settings
    context = RoutingContext(
        secret=settings.isolation_secret,
        failure_domain=settings.failure_domain,
        block_bytes=settings.upstreams.block_bytes,
        settings=settings.routing,
        rng=core.rng,
        n_instances=lambda: len(membership.live()),
    )
    port = open_routing(context)
    lock = threading.Lock()
    return RoutingPort(*(_locked(lock, function) for function in port))


def _locked(lock: threading.Lock, function: Callable[..., T]) -> Callable[..., T]:
    def call(*args: object) -> T:
        with lock:
            return function(*args)

    return call


def start_polling(core: Core, fleet: FleetParts, routing: RoutingPort) -> None:
    """Poll each engine in an actor of its own, so that none delays another."""
    for engine in fleet.fleet.engine_settings():
        run_periodically(
            core,
            f"fleet.load.{engine.id}",
            _load_step(fleet, engine),
            core.settings.upstreams.poll_period_ms,
        )
        run_periodically(
            core,
            f"routing.events.{engine.id}",
            _events_step(core, fleet, routing, engine),
            core.settings.routing.event_period_ms,
        )


def _load_step(fleet: FleetParts, engine: UpstreamSettings) -> Callable[[], None]:
    def step() -> None:
        report = fleet.control.load(engine.address)
        if report.is_error():
            fleet.fleet.note_failed_poll(engine.id, report.error)
            return
        fleet.fleet.note_report(engine.id, report.ok)

    return step


def _events_step(
    core: Core, fleet: FleetParts, routing: RoutingPort, engine: UpstreamSettings
) -> Callable[[], None]:
    def step() -> None:
        since = routing.events_since(engine.id)
        batch = fleet.control.events(engine.address, since)
        # A silent engine is the load poll's matter.
        if batch.is_error():
            return
        routing.on_events(
            engine.id, batch.ok.incarnation, batch.ok.events, core.clock.now_ms()
        )

    return step


def start_digests(
    core: Core, fleet: FleetParts, routing: RoutingPort, membership: MembershipPort
) -> None:
    """Exchange digests of sends in flight and of leaving upstreams with peers."""

    def receive(sender_id: str, digest: RoutingDigest) -> None:
        routing.on_peer(sender_id, digest.n_tokens, core.clock.now_ms())
        fleet.fleet.note_leaving_by_peer(digest.leaving)

    def send() -> None:
        n_tokens = dict(routing.in_flight(core.clock.now_ms()))
        digest = RoutingDigest(n_tokens, fleet.fleet.leaving_first_hand())
        self_id = membership.self_view().instance_id
        for view in membership.live():
            if view.instance_id != self_id:
                membership.tell(view.instance_id, digest)

    membership.subscribe(RoutingDigest, receive)
    period_ms = core.settings.routing.digest_period_ms
    run_periodically(core, "routing.digests", send, period_ms)

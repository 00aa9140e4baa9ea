"""Wires the choice of an engine and the polling that feeds it."""

import threading
from collections.abc import Callable
from typing import TypeVar

from ..conf.settings import UpstreamSettings
from ..membership import MembershipPort
from ..routing import PeerDigest, RoutingPort
from ..routing.cost import RoutingContext
from ..routing.policies import open_routing
from ..wire.routing_messages import RoutingDigest
from .core import Core, run_periodically
from .fleet import FleetParts

#: Peers that get one digest; a node's cost must not grow with the fleet.
DIGEST_FAN_OUT = 6
EXPORT_PERIOD_MS = 100
MAX_EXPORTS_PER_STEP = 8

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
        peer_digest = PeerDigest(digest.n_tokens, digest.kept)
        routing.on_peer(sender_id, peer_digest, core.clock.now_ms())
        fleet.fleet.note_leaving_by_peer(digest.leaving)

    def send() -> None:
        own = routing.digest(core.clock.now_ms())
        digest = RoutingDigest(
            dict(own.n_tokens), fleet.fleet.leaving_first_hand(), tuple(own.kept)
        )
        if not digest.n_tokens and not digest.leaving and not digest.kept:
            return
        for instance_id in _some_peers(core, membership):
            membership.tell(instance_id, digest)

    membership.subscribe(RoutingDigest, receive)
    period_ms = core.settings.routing.digest_period_ms
    run_periodically(core, "routing.digests", send, period_ms)


def start_exports(core: Core, fleet: FleetParts, routing: RoutingPort) -> None:
    """Copy prefixes that are used again to the kept-cache store, one at a time."""
    store = core.settings.routing.cache_store
    if not store or not core.settings.routing.terms.imports:
        return

    def step() -> None:
        for _ in range(MAX_EXPORTS_PER_STEP):
            export = routing.next_export(core.clock.now_ms())
            if export is None:
                return
            started_at_ms = core.clock.now_ms()
            moved = fleet.control.export_cache(
                export.address, export.cache_salt, export.hashes, store
            )
            if moved.is_error():
                continue
            now_ms = core.clock.now_ms()
            routing.on_exported(
                export, moved.ok.n_blocks, now_ms - started_at_ms, now_ms
            )

    run_periodically(core, "routing.exports", step, EXPORT_PERIOD_MS)


def _some_peers(core: Core, membership: MembershipPort) -> list[str]:
    """Return the peers that one digest goes to: all, in a small fleet."""
    self_id = membership.self_view().instance_id
    peers = [v.instance_id for v in membership.live() if v.instance_id != self_id]
    return core.rng.sample(peers, min(len(peers), DIGEST_FAN_OUT))

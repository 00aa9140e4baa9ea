"""Wires the choice of an engine and the polling that feeds it."""

import threading
from collections.abc import Callable
from typing import TypeVar

from ..conf.settings import UpstreamSettings
from ..membership import MembershipPort
from ..routing import RoutingPort
from ..routing.cost import RoutingContext
from ..routing.index_replicas import IndexReplicas
from ..routing.policies import open_routing
from .core import Core, run_periodically
from .fleet import FleetParts

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


def start_polling(
    core: Core, fleet: FleetParts, routing: RoutingPort, membership: MembershipPort
) -> None:
    """Poll each engine in an actor of its own, so that none delays another."""
    index_replicas = IndexReplicas(membership.self_view().instance_id)
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
            _events_step(core, fleet, routing, membership, index_replicas, engine),
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
    core: Core,
    fleet: FleetParts,
    routing: RoutingPort,
    membership: MembershipPort,
    index_replicas: IndexReplicas,
    engine: UpstreamSettings,
) -> Callable[[], None]:
    def step() -> None:
        if not index_replicas.has_replica(membership.live(), engine.id):
            return
        since = routing.events_since(engine.id)
        batch = fleet.control.events(engine.address, since)
        # A silent engine is the load poll's matter.
        if batch.is_error():
            return
        routing.on_events(
            engine.id, batch.ok.incarnation, batch.ok.events, core.clock.now_ms()
        )

    return step


def start_exports(core: Core, fleet: FleetParts, routing: RoutingPort) -> None:
    """Copy prefixes that are used again to the cache store, one at a time."""
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

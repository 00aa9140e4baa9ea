"""Wires the engine controller and the placement document."""

from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from ..fleet import Fleet, UpstreamStatus
from ..fleet.controller_state import ControllerParts, LeadershipView, LeasePort
from ..fleet.engine_controller import EngineController
from ..fleet.leadership import KEY_PREFIX as LEADERS_PREFIX
from ..fleet.leadership import LeadershipRules
from ..fleet.placement_document import Placement, wanted_for
from ..fleet.placement_store import PlacementStore
from ..fleet.reconciler import EngineSummary
from ..membership import MembershipPort
from ..operator import OperatorRoute
from ..operator.orders import EngineName, OrderContext, order_routes
from ..upstreams.order_client import OrderClient
from ..upstreams.order_messages import EngineOrderState
from .core import Core, run_periodically
from .fleet import FleetParts

#: Engines that are asked at once when an operator wants to see them.
N_READERS = 8
MAX_REPORT_AGE_MS = 3_000.0


class Orders(NamedTuple):
    """The engine controller and the operator routes that show its work."""

    controller: EngineController
    routes: tuple[OperatorRoute, ...]


def build_orders(core: Core, fleet: FleetParts, membership: MembershipPort) -> Orders:
    """Wire the controller, the placement document and the operators' routes."""
    section = core.settings.orders
    placements = PlacementStore(core.kv)
    client = OrderClient(section.order_timeout_ms)
    rules = LeadershipRules(
        lease_ttl_ms=core.settings.platform.kv.lease_ttl_s * 1000.0,
        order_timeout_ms=section.order_timeout_ms,
        load_time_ms=section.load_time_ms,
    )
    parts = ControllerParts(
        instance_id=core.settings.instance_id,
        kv=core.kv,
        lease=_lease_port(core),
        client=client,
        placements=placements,
        live_ids=lambda: tuple(view.instance_id for view in membership.live()),
        summaries=lambda placement: _summaries(fleet.fleet, placement),
        telemetry=core.telemetry,
        now_ms=core.clock.now_ms,
        sleep_ms=core.clock.sleep_ms,
        rng=core.rng,
    )
    engines = fleet.fleet.engine_settings()
    controller = EngineController(engines, rules, section.n_load_slots, parts)
    run_periodically(
        core, "placement.refresh", placements.refresh, section.refresh_period_ms
    )
    run_periodically(core, "stewards.step", controller.step, section.step_period_ms)
    core.drainers.append(controller.drain)
    core.closers.append(controller.close)
    return Orders(controller, _routes(core, fleet, placements, client, controller))


def _lease_port(core: Core) -> LeasePort:
    lease = core.lease
    return LeasePort(
        lease_id=lambda: lease.lease_id,
        epoch=lambda: lease.epoch,
        holds=lease.holds,
    )


def _summaries(fleet: Fleet, placement: Placement) -> list[EngineSummary]:
    return [
        _summary(status, placement)
        for status in fleet.statuses()
        if status.kind == "engine"
    ]


def _summary(status: UpstreamStatus, placement: Placement) -> EngineSummary:
    wanted = wanted_for(placement, status.upstream_id, status.failure_domain)
    report = status.report
    # An old report says nothing about whether the engine serves now.
    is_live = report is not None and status.report_age_ms < MAX_REPORT_AGE_MS
    is_serving = (
        is_live
        and report.state == "live"
        and wanted is not None
        and wanted["model"] in report.models
    )
    return EngineSummary(
        status.upstream_id,
        status.failure_domain,
        wanted,
        is_serving,
        report.weights_version if report is not None else "",
    )


def _routes(
    core: Core,
    fleet: FleetParts,
    placements: PlacementStore,
    client: OrderClient,
    controller: EngineController,
) -> tuple[OperatorRoute, ...]:
    engines = fleet.fleet.engine_settings()
    names = tuple(EngineName(e.id, e.failure_domain) for e in engines)

    def upstreams(upstream_id: str) -> list[dict]:
        statuses = [
            status
            for status in fleet.fleet.statuses()
            if upstream_id in ("", status.upstream_id)
        ]
        leaders = _leaders(core)
        views = {view.upstream_id: view for view in controller.views()}
        placement = placements.current().placement
        with ThreadPoolExecutor(N_READERS) as pool:
            return list(
                pool.map(
                    lambda s: _row(
                        s, client, placement, leaders, views.get(s.upstream_id)
                    ),
                    statuses,
                )
            )

    return order_routes(OrderContext(placements, names, upstreams))


def _leaders(core: Core) -> dict[str, str]:
    entries = core.kv.get_prefix(LEADERS_PREFIX).default_value([])
    return {e.key.removeprefix(LEADERS_PREFIX): e.value.decode() for e in entries}


def _row(
    status: UpstreamStatus,
    client: OrderClient,
    placement: Placement,
    leaders: dict[str, str],
    view: LeadershipView | None,
) -> dict:
    report = status.report
    row = {
        "id": status.upstream_id,
        "kind": status.kind,
        "failure_domain": status.failure_domain,
        "state": _state(status),
        "health": round(status.health, 3),
        "n_own_requests": status.n_own_requests,
    }
    if status.kind != "engine":
        return row
    read = client.read(status.upstream_id, status.address)
    orders = read.ok if read.is_ok() else EngineOrderState()
    wanted = wanted_for(placement, status.upstream_id, status.failure_domain)
    return {
        **row,
        "weights_version": report.weights_version if report else "",
        "loading": orders.loading,
        "adapters": list(orders.adapters),
        "role": orders.role,
        "wanted": wanted,
        "last_order_id": orders.last_order_id,
        "steward": leaders.get(status.upstream_id, ""),
        "reason": view.reason if view else "",
    }


def _state(status: UpstreamStatus) -> str:
    if status.is_leaving:
        return "leaving"
    if status.kind == "engine" and status.report is None:
        return "unknown"
    return "ejected" if status.health <= 0.0 else "live"

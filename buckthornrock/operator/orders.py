"""Handlers of operators' requests for upstreams, orders and the placement."""

from collections.abc import Callable
from typing import Any, Literal, NamedTuple

import msgspec
from expression import Error, Ok, Result

from ..conf.decoding import Problem
from ..entry.completions import new_request_id
from ..entry.errors import BadRequest
from ..entry.problems import respond_problem
from ..errors import Failure
from ..fleet.placement_document import (
    Placement,
    WantedEngine,
    check_placement,
    wanted_for,
)
from ..fleet.placement_store import PlacementConflict, PlacementRecord, PlacementStore
from ..httpd import Exchange
from ..runtime.decoding import decode_json
from .app import OperatorRoute

#: Maximum attempts to add an order to the placement when other changes come first.
MAX_ATTEMPTS = 4


class EngineName(NamedTuple):
    """An engine that can receive orders, and its failure domain."""

    upstream_id: str
    failure_domain: str


class OrderContext(NamedTuple):
    """What the handlers of orders share.

    Parameters
    ----------
    engines : tuple of EngineName
        All engines of the fleet; orders to others are refused.
    upstreams : callable
        ``upstreams(upstream_id) -> list[dict]``; "" selects all upstreams.
    """

    placements: PlacementStore
    engines: tuple[EngineName, ...]
    upstreams: Callable[[str], list[dict]]


class _ApplyBody(msgspec.Struct):
    expected_version: int
    placement: Placement


class _OrderBody(msgspec.Struct):
    """An operator's order; fields that its kind doesn't use are empty."""

    kind: Literal["load", "adapter", "role"]
    upstream_id: str
    model: str = ""
    weights_version: str = ""
    adapter: str = ""
    role: str = ""


def order_routes(context: OrderContext) -> tuple[OperatorRoute, ...]:
    """Return the routes for orders, the placement and upstreams."""

    def show_placement(exchange: Exchange) -> None:
        context.placements.refresh()
        exchange.respond_json(200, context.placements.current())

    def apply_placement(exchange: Exchange) -> None:
        body = _decode(exchange, _ApplyBody)
        if body.is_error():
            respond_problem(exchange, body.error, new_request_id())
            return
        _respond(exchange, _apply(context, body.ok.placement, body.ok.expected_version))

    def order(exchange: Exchange) -> None:
        body = _decode(exchange, _OrderBody)
        if body.is_error():
            respond_problem(exchange, body.error, new_request_id())
            return
        _respond(exchange, _order(context, body.ok))

    def upstreams(exchange: Exchange) -> None:
        upstream_id = exchange.path.removeprefix("/v1/upstreams").strip("/")
        exchange.respond_json(200, {"upstreams": context.upstreams(upstream_id)})

    return (
        OperatorRoute("GET", "/v1/placement", show_placement),
        OperatorRoute("PUT", "/v1/placement", apply_placement),
        OperatorRoute("POST", "/v1/orders", order),
        OperatorRoute("GET", "/v1/upstreams", upstreams),
        OperatorRoute("GET", "/v1/upstreams/", upstreams),
    )


def _apply(
    context: OrderContext, placement: Placement, expected_version: int
) -> Result[PlacementRecord, Failure]:
    engine_ids = frozenset(engine.upstream_id for engine in context.engines)
    problems: list[Problem] = list(check_placement(placement, engine_ids))
    if problems:
        first = problems[0]
        reason = f"{first.id}: found {first.found}; {first.hint}"
        return Error(BadRequest(first.path, reason))
    return context.placements.apply(placement, expected_version)


def _order(
    context: OrderContext, order: _OrderBody
) -> Result[PlacementRecord, Failure]:
    engine = next(
        (e for e in context.engines if e.upstream_id == order.upstream_id), None
    )
    if engine is None:
        return Error(BadRequest("$.upstream_id", "name an engine of the fleet"))
    for _ in range(MAX_ATTEMPTS):
        context.placements.refresh()
        record = context.placements.current()
        current_wanted = wanted_for(record.placement, *engine)
        wanted = _with_order(current_wanted, order)
        if wanted.is_error():
            return wanted
        upstreams = {**record.placement["upstreams"], order.upstream_id: wanted.ok}
        placement: Placement = {**record.placement, "upstreams": upstreams}
        applied = _apply(context, placement, record.version)
        if applied.is_ok() or not isinstance(applied.error, PlacementConflict):
            return applied
    return applied


def _with_order(
    current_wanted: WantedEngine | None, order: _OrderBody
) -> Result[WantedEngine, BadRequest]:
    if order.kind == "load":
        base = current_wanted or {"adapters": [], "role": ""}
        model = {"model": order.model, "weights_version": order.weights_version}
        return _to_wanted_engine({**base, **model})
    if current_wanted is None:
        reason = "nothing is wanted of this engine yet: order its load first"
        return Error(BadRequest("$.upstream_id", reason))
    if order.kind == "adapter":
        adapters = sorted({*current_wanted["adapters"], order.adapter} - {""})
        return _to_wanted_engine({**current_wanted, "adapters": adapters})
    return _to_wanted_engine({**current_wanted, "role": order.role})


def _to_wanted_engine(wanted: dict[str, Any]) -> Result[WantedEngine, BadRequest]:
    return Ok(msgspec.convert(wanted, WantedEngine))


def _decode(exchange: Exchange, target: type) -> Result[Any, Failure]:
    raw = exchange.read_body(is_decoded=True)
    if raw.is_error():
        return raw
    return decode_json(raw.ok, target).map_error(
        lambda error: BadRequest("$", error.reason)
    )


def _respond(exchange: Exchange, result: Result[PlacementRecord, Failure]) -> None:
    if result.is_error():
        respond_problem(exchange, result.error, new_request_id())
        return
    exchange.respond_json(200, {"version": result.ok.version})

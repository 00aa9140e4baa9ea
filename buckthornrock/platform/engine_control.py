"""Requests reports from engines and sends them orders, over HTTP."""

from collections.abc import Callable

import msgspec
import urllib3
from expression import Error, Ok, Result

from ..catalog.upstream_notices import Notice
from ..catalog.upstreams import Upstream
from ..rollout.plan import Order
from ..rollout.port import (
    EnginePort,
    EngineReport,
    EngineUnanswered,
    FencingToken,
    OrderAnswer,
)
from ..runtime.bounded_http import ResponseLimit, bounded_pool_manager
from ..runtime.decoding import Count, decode_json
from .headers import decode_notice

CALL_TIMEOUT_MS = 600.0
#: Size limit of a report or of the response to an order.
MAX_RESPONSE_BYTES = 1_048_576
#: Running requests continue while the weights are loaded; few of them are still running
#: when the weights are replaced.
LOAD_MODE_IN_PLACE = "in_place"
_MISDIRECTED = 421


class _Model(msgspec.Struct, rename="camel"):
    name: str
    version: Count


class _Report(msgspec.Struct, rename="camel"):
    models: list[_Model]
    busy: bool
    #: Number of orders that the engine has accepted since its start.
    sequence: Count


def open_engine_control(
    on_notice: Callable[[Upstream, Notice], None] = lambda *_: None,
) -> EnginePort:
    """Return the port to engines; its functions block until the engine responds.

    ``on_notice`` is called with what an engine says of itself in any response. Engines
    that leave or want quiet still get reports and orders.
    """
    pool = bounded_pool_manager(
        ResponseLimit(CALL_TIMEOUT_MS, MAX_RESPONSE_BYTES),
        urllib3.Timeout(total=CALL_TIMEOUT_MS / 1000.0),
    )

    def call(
        method: str, upstream: Upstream, path: str, body: dict | None
    ) -> Result[urllib3.BaseHTTPResponse, EngineUnanswered]:
        response = _call(pool, method, upstream, path, body)
        notice = _notice(response.ok) if response.is_ok() else Notice()
        if notice != Notice():
            on_notice(upstream, notice)
        return response

    def report(upstream: Upstream) -> Result[EngineReport, EngineUnanswered]:
        response = call("GET", upstream, "/report", None)
        return response.bind(_decode_report)

    def order(
        order: Order, fencing: FencingToken
    ) -> Result[OrderAnswer, EngineUnanswered]:
        body = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "mode": LOAD_MODE_IN_PLACE,
            "holder": fencing.holder,
            "fence": fencing.fence,
            # The number of orders that the engine must have accepted so far.
            "precondition": fencing.n_orders,
        }
        response = call("POST", order.upstream, "/order", body)
        return response.map(lambda received: OrderAnswer(received.status))

    return EnginePort(report, order)


def _call(
    pool: urllib3.PoolManager,
    method: str,
    upstream: Upstream,
    path: str,
    body: dict | None,
) -> Result[urllib3.BaseHTTPResponse, EngineUnanswered]:
    headers = {"X-Buckthornrock-Expect-Instance": upstream.upstream_id}
    if body is not None:
        headers["Content-Type"] = "application/json"
    try:
        response = pool.request(
            method,
            f"http://{upstream.address}{path}",
            headers=headers,
            body=None if body is None else msgspec.json.encode(body),
        )
    except (urllib3.exceptions.HTTPError, ValueError, OverflowError) as error:
        # The latter two: the address or the id can't be sent or connected to.
        return Error(EngineUnanswered(type(error).__name__))
    if response.status == _MISDIRECTED:
        return Error(EngineUnanswered("another upstream has the address"))
    return Ok(response)


def _notice(response: urllib3.BaseHTTPResponse) -> Notice:
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in response.headers.items()
    ]
    return decode_notice(response.status, headers)


def _decode_report(
    response: urllib3.BaseHTTPResponse,
) -> Result[EngineReport, EngineUnanswered]:
    if response.status != 200:
        return Error(EngineUnanswered(f"status {response.status}"))
    report = decode_json(response.data, _Report)
    if report.is_error():
        return Error(EngineUnanswered(report.error.reason))
    versions = {model.name: model.version for model in report.ok.models}
    return Ok(EngineReport(versions, report.ok.busy, report.ok.sequence))

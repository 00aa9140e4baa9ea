"""Reports of engines and orders to them, over HTTP."""

import msgspec
import urllib3
from expression import Error, Ok, Result

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

CALL_TIMEOUT_MS = 600.0
#: Largest report or answer to an order.
MAX_ANSWER_BYTES = 1_048_576
#: Runs go on while the weights are loaded; few last until these are changed.
MODE_RUNS_GO_ON = "in_place"
_MISDIRECTED = 421


class _Model(msgspec.Struct, rename="camel"):
    name: str
    version: int


class _Report(msgspec.Struct, rename="camel"):
    models: list[_Model]
    busy: bool
    #: Orders accepted since the start.
    sequence: int


def open_engine_control() -> EnginePort:
    """Return the port to engines; its calls block."""
    pool = bounded_pool_manager(
        ResponseLimit(CALL_TIMEOUT_MS, MAX_ANSWER_BYTES),
        urllib3.Timeout(total=CALL_TIMEOUT_MS / 1000.0),
    )

    def report(upstream: Upstream) -> Result[EngineReport, EngineUnanswered]:
        answer = _call(pool, "GET", upstream, "/report", None)
        return answer.bind(_decode_report)

    def order(
        order: Order, fencing: FencingToken
    ) -> Result[OrderAnswer, EngineUnanswered]:
        body = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "mode": MODE_RUNS_GO_ON,
            "holder": fencing.holder,
            "fence": fencing.fence,
            # The number of orders that the engine must have accepted so far.
            "precondition": fencing.n_orders,
        }
        answer = _call(pool, "POST", order.upstream, "/order", body)
        return answer.map(lambda response: OrderAnswer(response.status))

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
    except urllib3.exceptions.HTTPError as error:
        return Error(EngineUnanswered(type(error).__name__))
    if response.status == _MISDIRECTED:
        return Error(EngineUnanswered("another upstream has the address"))
    return Ok(response)


def _decode_report(
    response: urllib3.BaseHTTPResponse,
) -> Result[EngineReport, EngineUnanswered]:
    if response.status != 200:
        return Error(EngineUnanswered(f"status {response.status}"))
    try:
        report = msgspec.json.decode(response.data, type=_Report)
    except msgspec.MsgspecError as error:
        return Error(EngineUnanswered(str(error)))
    versions = {model.name: model.version for model in report.models}
    return Ok(EngineReport(versions, report.busy, report.sequence))

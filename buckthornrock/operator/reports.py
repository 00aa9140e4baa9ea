"""Handlers of operators' requests for the burn report and decision records."""

from collections.abc import Callable

from ..entry.completions import new_request_id
from ..entry.errors import UnknownRequest
from ..entry.problems import respond_problem
from ..httpd import Exchange
from ..telemetry.burn import BurnDocument
from ..telemetry.decisions import DecisionRecord
from .app import OperatorRoute

DECISIONS_PREFIX = "/v1/decisions/"


def report_routes(
    burn: Callable[[], BurnDocument], find: Callable[[str], DecisionRecord | None]
) -> tuple[OperatorRoute, ...]:
    """Return the routes for reports from telemetry.

    Parameters
    ----------
    burn : callable
        ``burn()`` returns the burn document of this instance.
    find : callable
        ``find(request_id)`` returns a decision record, or None if it is not stored.
    """

    def show_burn(exchange: Exchange) -> None:
        exchange.respond_json(200, burn())

    def show_decision(exchange: Exchange) -> None:
        request_id = exchange.path.removeprefix(DECISIONS_PREFIX)
        record = find(request_id)
        if record is None:
            respond_problem(exchange, UnknownRequest(request_id), new_request_id())
            return
        exchange.respond_json(200, record)

    return (
        OperatorRoute("GET", "/v1/burn", show_burn),
        OperatorRoute("GET", DECISIONS_PREFIX, show_decision),
    )

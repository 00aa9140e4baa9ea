"""Drain state of an instance that shuts down gracefully."""

import threading
from collections.abc import Callable

import msgspec

from ..events import entry as events
from ..httpd import Exchange, Handler
from ..telemetry import Telemetry
from .errors import InstanceStopped
from .problems import problem_document


class DrainState:
    """Flag that is set once, when a graceful shutdown begins."""

    def __init__(self) -> None:
        self._event = threading.Event()

    def begin(self) -> None:
        """Mark the instance as not ready."""
        self._event.set()

    def is_ready(self) -> bool:
        """Return whether the load balancer should send more requests."""
        return not self._event.is_set()


def close_when_draining(handler: Handler, draining: DrainState) -> Handler:
    """Return a handler that also closes each connection once draining has begun.

    The caller's next connection then goes through the load balancer to another
    instance.
    """

    def handle(exchange: Exchange) -> None:
        if not draining.is_ready():
            exchange.close_after_response()
        handler(exchange)

    return handle


def respond_when_stopped(telemetry: Telemetry) -> Callable[[Exchange], None]:
    """Return a function that responds to a running request when the instance stops."""

    def respond(exchange: Exchange) -> None:
        document = problem_document(InstanceStopped(), exchange.request_id)
        headers = {
            "Content-Type": "application/problem+json",
            "X-Request-Id": exchange.request_id,
        }
        body = msgspec.json.encode(document)
        if not exchange.take_over(document["status"], body, headers):
            return
        telemetry.log(
            events.REQUEST_REFUSED,
            request_id=exchange.request_id,
            client_account="",
            failure=InstanceStopped.code,
            not_run=document["not_run"],
        )

    return respond

"""Drain state of an instance that shuts down gracefully."""

import threading

from ..httpd import Exchange, Handler


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

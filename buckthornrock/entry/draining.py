"""Whether the instance is about to stop."""

import threading

from ..httpd import Exchange, Handler


class DrainState:
    """Set once, when a graceful shutdown begins."""

    def __init__(self) -> None:
        self._event = threading.Event()

    def begin(self) -> None:
        """Turn the instance not ready."""
        self._event.set()

    def is_ready(self) -> bool:
        """Tell whether the balancer should send more requests."""
        return not self._event.is_set()


def close_when_draining(handler: Handler, draining: DrainState) -> Handler:
    """Return ``handler`` with connections that close once draining has begun.

    A caller then opens its next connection through the balancer, to another instance.
    """

    def handle(exchange: Exchange) -> None:
        if not draining.is_ready():
            exchange.close_after()
        handler(exchange)

    return handle

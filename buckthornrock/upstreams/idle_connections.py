"""Connections that wait for their next repeatable call."""

import threading
from collections.abc import Callable

from urllib3.connection import HTTPConnection

MAX_IDLE_PER_ADDRESS = 8
#: Servers commonly close after 5 s or more, so younger connections are mostly alive.
MAX_IDLE_MS = 4_000


class IdleConnections:
    """Idle connections by address, the newest first.

    Parameters
    ----------
    now_ms : callable
        Monotonic clock.
    """

    def __init__(self, now_ms: Callable[[], float]) -> None:
        self._now_ms = now_ms
        self._lock = threading.Lock()
        self._idle: dict[str, list[tuple[float, HTTPConnection]]] = {}

    def take(self, address: str) -> HTTPConnection | None:
        """Return a connection on which nothing waits to be read, if there is one."""
        while True:
            with self._lock:
                stack = self._idle.get(address)
                if not stack:
                    return None
                idle_since_ms, connection = stack.pop()
            is_fresh = self._now_ms() - idle_since_ms < MAX_IDLE_MS
            # Bytes that arrive while idle belong to no call: the connection goes.
            if is_fresh and connection.is_connected:
                return connection
            connection.close()

    def put(self, address: str, connection: HTTPConnection) -> None:
        """Keep a connection whose last answer was read whole."""
        with self._lock:
            stack = self._idle.setdefault(address, [])
            if len(stack) < MAX_IDLE_PER_ADDRESS:
                stack.append((self._now_ms(), connection))
                return
        connection.close()

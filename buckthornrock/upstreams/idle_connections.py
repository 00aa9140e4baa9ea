"""Idle connections, kept for reuse by repeatable calls."""

import threading
from collections.abc import Callable

from urllib3.connection import HTTPConnection

MAX_IDLE_PER_ADDRESS = 8
#: Servers commonly close idle connections after 5 s or more, so younger ones are
#: mostly still open.
MAX_IDLE_MS = 4_000


class IdleConnections:
    """A pool of idle connections by address; the newest is reused first.

    Parameters
    ----------
    now_ms : callable
        Monotonic clock.
    """

    def __init__(self, now_ms: Callable[[], float]) -> None:
        self._now_ms = now_ms
        self._lock = threading.Lock()
        self._idle: dict[str, list[tuple[float, HTTPConnection]]] = {}

    def acquire(self, address: str) -> HTTPConnection | None:
        """Return an idle connection without unread bytes, or None."""
        while True:
            with self._lock:
                stack = self._idle.get(address)
                if not stack:
                    return None
                idle_since_ms, connection = stack.pop()
            is_fresh = self._now_ms() - idle_since_ms < MAX_IDLE_MS
            # Bytes that arrive on an idle connection belong to no call, so
            # ``is_connected`` is false for it and it is closed.
            if is_fresh and connection.is_connected:
                return connection
            connection.close()

    def release(self, address: str, connection: HTTPConnection) -> None:
        """Return a connection whose last response was read completely to the pool."""
        with self._lock:
            stack = self._idle.setdefault(address, [])
            if len(stack) < MAX_IDLE_PER_ADDRESS:
                stack.append((self._now_ms(), connection))
                return
        connection.close()

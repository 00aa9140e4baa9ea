"""HTTP calls whose answers end, whatever a server sends.

The library's time-outs run anew with each received part, so that an answer that comes
in small parts or without end would hold its thread for ever.
"""

import socket
import time
from typing import NamedTuple

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.response import HTTPResponse

#: Bytes in which the head of an answer must end.
MAX_HEAD_BYTES = 262_144


class ResponseLimit(NamedTuple):
    """Most time and bytes that an answer may take, from the end of its request."""

    duration_ms: float
    n_bytes: int


class AnswerTooLargeError(OSError):
    """An answer has more bytes than any that is expected."""


class _LimitedSocket(socket.socket):
    """A socket that stops receiving at a time or after a number of bytes."""

    _give_up_at_s: float | None = None
    _n_left = 0

    def limit_response(self, limit: ResponseLimit | None) -> None:
        """Begin to count, or stop with None."""
        self._give_up_at_s = None
        if limit is not None:
            self._give_up_at_s = time.monotonic() + limit.duration_ms / 1000.0
            self._n_left = limit.n_bytes

    def recv_into(self, buffer: memoryview, nbytes: int = 0, flags: int = 0) -> int:
        """Receive into a buffer.

        Raises
        ------
        TimeoutError
            If the answer's time is over.
        AnswerTooLargeError
            If its bytes are used up.
        """
        if self._give_up_at_s is None:
            return super().recv_into(buffer, nbytes, flags)
        left_s = self._give_up_at_s - time.monotonic()
        if left_s <= 0.0:
            raise TimeoutError("the answer takes too long")
        if self._n_left <= 0:
            raise AnswerTooLargeError("the answer is too large")
        silence_s = self.gettimeout()
        self.settimeout(left_s if silence_s is None else min(silence_s, left_s))
        try:
            n_received = super().recv_into(buffer, nbytes, flags)
        finally:
            self.settimeout(silence_s)
        self._n_left -= n_received
        return n_received


class LimitedConnection(HTTPConnection):
    """A connection that can limit what it receives."""

    def _new_conn(self) -> socket.socket:
        opened = super()._new_conn()
        limited = _LimitedSocket(fileno=opened.detach())
        limited.settimeout(self.timeout)
        return limited

    def limit_response(self, limit: ResponseLimit | None) -> None:
        """Limit what is received from now on, or no more with None."""
        if self.sock is not None:
            self.sock.limit_response(limit)


class BoundedHeadConnection(LimitedConnection):
    """A connection on which the head of an answer comes within its time-out."""

    def getresponse(self) -> HTTPResponse:
        """Return the answer once its head has come; the body has no limit yet."""
        if self.timeout is not None:
            self.limit_response(ResponseLimit(self.timeout * 1000.0, MAX_HEAD_BYTES))
        try:
            return super().getresponse()
        finally:
            self.limit_response(None)


def bounded_connection(limit: ResponseLimit) -> type[HTTPConnection]:
    """Return a class of connections whose whole answers keep to ``limit``."""

    class BoundedConnection(LimitedConnection):
        """A connection whose answers end."""

        def getresponse(self) -> HTTPResponse:
            """Return the answer once its head has come."""
            self.limit_response(limit)
            return super().getresponse()

    return BoundedConnection


def bounded_pool(
    host: str, port: int, limit: ResponseLimit, n_connections: int
) -> urllib3.HTTPConnectionPool:
    """Return connections to one server; nothing is sent twice."""
    pool = urllib3.HTTPConnectionPool(host, port, maxsize=n_connections, retries=False)
    pool.ConnectionCls = bounded_connection(limit)
    return pool


def bounded_pool_manager(
    limit: ResponseLimit, timeout: urllib3.Timeout, n_connections: int = 1
) -> urllib3.PoolManager:
    """Return connections to any number of servers; nothing is sent twice."""

    class BoundedPool(urllib3.HTTPConnectionPool):
        """Connections whose answers end."""

        ConnectionCls = bounded_connection(limit)

    manager = urllib3.PoolManager(maxsize=n_connections, retries=False, timeout=timeout)
    manager.pool_classes_by_scheme = {"http": BoundedPool}
    return manager

"""HTTP calls with limits on the time and size of a response.

The library's read timeout starts anew with each received part. Without these limits, a
response that arrives in small parts or never ends would block its thread forever.
"""

import socket
import time
from typing import NamedTuple

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.response import HTTPResponse

from .clock import system_clock

_now_ms = system_clock().now_ms

#: Size limit of the head (status line and headers) of a response.
MAX_HEAD_BYTES = 262_144


class ResponseLimit(NamedTuple):
    """Time limit, from the end of the request, and size limit of a response."""

    duration_ms: float
    n_bytes: int


class AnswerTooLargeError(OSError):
    """A response is larger than its limit."""


class _LimitedSocket(socket.socket):
    """A socket that stops receiving at a deadline or after a number of bytes."""

    _deadline_s: float | None = None
    _n_bytes_left = 0

    def limit_response(self, limit: ResponseLimit | None) -> None:
        """Start to apply a limit; None removes it."""
        self._deadline_s = None
        if limit is not None:
            self._deadline_s = time.monotonic() + limit.duration_ms / 1000.0
            self._n_bytes_left = limit.n_bytes

    def recv_into(self, buffer: memoryview, nbytes: int = 0, flags: int = 0) -> int:
        """Receive into a buffer.

        Raises
        ------
        TimeoutError
            If the time limit of the response has passed.
        AnswerTooLargeError
            If the response exceeds its size limit.
        """
        if self._deadline_s is None:
            return super().recv_into(buffer, nbytes, flags)
        left_s = self._deadline_s - time.monotonic()
        if left_s <= 0.0:
            raise TimeoutError("the response takes too long")
        if self._n_bytes_left <= 0:
            raise AnswerTooLargeError("the response is too large")
        read_timeout_s = self.gettimeout()
        self.settimeout(
            left_s if read_timeout_s is None else min(read_timeout_s, left_s)
        )
        try:
            n_received = super().recv_into(buffer, nbytes, flags)
        finally:
            self.settimeout(read_timeout_s)
        self._n_bytes_left -= n_received
        return n_received


class LimitedConnection(HTTPConnection):
    """A connection that can limit the responses that it receives."""

    def _new_conn(self) -> socket.socket:
        opened = super()._new_conn()
        limited = _LimitedSocket(fileno=opened.detach())
        limited.settimeout(self.timeout)
        return limited

    def limit_response(self, limit: ResponseLimit | None) -> None:
        """Limit what is received from now on; None removes the limit."""
        if self.sock is not None:
            self.sock.limit_response(limit)


class BoundedHeadConnection(LimitedConnection):
    """A connection that limits the head of a response to its timeout."""

    def getresponse(self) -> HTTPResponse:
        """Return the response once its head was received; the body has no limit."""
        if self.timeout is not None:
            self.limit_response(ResponseLimit(self.timeout * 1000.0, MAX_HEAD_BYTES))
        try:
            return super().getresponse()
        finally:
            self.limit_response(None)


def bounded_connection(limit: ResponseLimit) -> type[HTTPConnection]:
    """Return a connection class that applies ``limit`` to each whole response."""

    class BoundedConnection(LimitedConnection):
        """A connection whose responses are limited."""

        def request(self, *args: object, **kwargs: object) -> None:
            """Send a request, unless the connection took too long to open.

            If this process was paused meanwhile, the caller may no longer be entitled
            to send it.

            Raises
            ------
            ConnectTimeoutError
                If opening the connection took longer than the limit of the response;
                nothing was sent.
            """
            if self.sock is None:
                started_at_ms = _now_ms()
                self.connect()
                if _now_ms() - started_at_ms > limit.duration_ms:
                    self.close()
                    raise urllib3.exceptions.ConnectTimeoutError(self, "paused")
            super().request(*args, **kwargs)

        def getresponse(self) -> HTTPResponse:
            """Return the response once its head was received."""
            self.limit_response(limit)
            return super().getresponse()

    return BoundedConnection


def bounded_pool(
    host: str, port: int, limit: ResponseLimit, n_connections: int
) -> urllib3.HTTPConnectionPool:
    """Return a connection pool for one server, without retries."""
    pool = urllib3.HTTPConnectionPool(host, port, maxsize=n_connections, retries=False)
    pool.ConnectionCls = bounded_connection(limit)
    return pool


def bounded_pool_manager(
    limit: ResponseLimit, timeout: urllib3.Timeout, n_connections: int = 1
) -> urllib3.PoolManager:
    """Return connection pools for any number of servers, without retries."""

    class BoundedPool(urllib3.HTTPConnectionPool):
        """A pool of connections whose responses are limited."""

        ConnectionCls = bounded_connection(limit)

    manager = urllib3.PoolManager(maxsize=n_connections, retries=False, timeout=timeout)
    manager.pool_classes_by_scheme = {"http": BoundedPool}
    return manager

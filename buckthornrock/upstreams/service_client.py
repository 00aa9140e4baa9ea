"""Calls to plain services; failures say whether the call may have run.

A call that may not be repeated always gets a new connection. The server may have closed
its end of a reused one, and then it is unknown whether the request was read. Only a
failed connect proves that nothing was sent.

Connections are kept only to servers that echo the request's id. Without it, a second
copy of a response that arrives late would be taken for the response to the next call.
"""

import http.client
import socket
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import NamedTuple

import urllib3
from expression import Error, Ok, Result
from urllib3.connection import HTTPConnection
from urllib3.response import HTTPResponse
from urllib3.util import SKIP_HEADER

from ..conf.settings import UpstreamsSettings
from .errors import AttemptFailed
from .idle_connections import IdleConnections
from .strict_connection import StrictConnection

READ_BYTES = 65_536
#: Headers that urllib3 adds unless told not to.
_ADDED_HEADERS = ("accept-encoding", "user-agent")
_TRANSPORT_ERRORS = (OSError, http.client.HTTPException, urllib3.exceptions.HTTPError)
#: Failure reason if the request id in a response is that of another request.
RESPONSE_ID_MISMATCH = "CrossedAnswer"

#: Failure reason if a connection closed right after a head without framing.
NO_BODY = "ClosedAfterHead"

HeaderItems = tuple[tuple[str, str], ...]


class ServiceCall(NamedTuple):
    """A call as it is sent to one server of a plain service.

    Parameters
    ----------
    path : str
        Path and query as in the caller's request line.
    deadline_at_ms : float
        Monotonic time after which reading stops.
    is_repeatable : bool
        Whether a reused connection may carry the call.
    """

    upstream_id: str
    address: str
    request_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline_at_ms: float
    is_repeatable: bool


class ServiceResponse(NamedTuple):
    """A response of a server.

    Parameters
    ----------
    body : bytes
        The whole body, or its first part if ``rest`` is not None.
    rest : ResponseRest or None
        The remaining body; must be read to its end or closed.
    """

    status: int
    headers: HeaderItems
    body: bytes
    rest: "ResponseRest | None" = None


class AnswerTruncatedError(ConnectionError):
    """The body of a response ended early or exceeds its size limit."""


class ResponseRest:
    """The part of a large response body that has not been read yet."""

    def __init__(
        self, read: Callable[[], bytes], close: Callable[[bool], None]
    ) -> None:
        self._read = read
        self._on_close = [close]

    def on_close(self, function: Callable[[bool], None]) -> None:
        """Call ``function(is_complete)`` once the response is fully read or closed."""
        self._on_close.append(function)

    def __iter__(self) -> Iterator[bytes]:
        """Yield the remaining parts of the body.

        Raises
        ------
        AnswerTruncatedError
            If the body ends early, is too long or passes the deadline.
        """
        try:
            while part := self._read():
                yield part
        except _TRANSPORT_ERRORS as error:
            raise AnswerTruncatedError(type(error).__name__) from error
        self._finish(is_complete=True)

    def close(self) -> None:
        """Discard what was not read, and close the connection."""
        self._finish(is_complete=False)

    def _finish(self, is_complete: bool) -> None:
        functions, self._on_close = self._on_close, []
        for function in functions:
            function(is_complete)


class ServiceClient:
    """Client for plain services.

    Parameters
    ----------
    settings : UpstreamsSettings
        Timeouts and limits.
    now_ms : callable
        Monotonic clock.
    """

    def __init__(
        self, settings: UpstreamsSettings, now_ms: Callable[[], float]
    ) -> None:
        self._settings = settings
        self._now_ms = now_ms
        self._idle = IdleConnections(now_ms)

    def call(self, call: ServiceCall) -> Result[ServiceResponse, AttemptFailed]:
        """Send a call once, without retries."""
        connection = self._idle.acquire(call.address) if call.is_repeatable else None
        if connection is not None:
            return self._exchange(call, connection)
        opened = self._open(call)
        if opened.is_error():
            return opened
        return self._exchange(call, opened.ok)

    def _open(self, call: ServiceCall) -> Result[HTTPConnection, AttemptFailed]:
        remaining_ms = call.deadline_at_ms - self._now_ms()
        if remaining_ms <= 0:
            return Error(AttemptFailed(call.upstream_id, "DeadlinePassed", "true"))
        timeout_ms = min(self._settings.connect_timeout_ms, remaining_ms)
        host, _, port = call.address.rpartition(":")
        connection = StrictConnection(
            host.strip("[]"), int(port), timeout=timeout_ms / 1000.0
        )
        try:
            connection.connect()
        except _TRANSPORT_ERRORS as error:
            connection.close()
            reason = type(error).__name__
            return Error(AttemptFailed(call.upstream_id, reason, "true"))
        return Ok(connection)

    def _exchange(
        self, call: ServiceCall, connection: HTTPConnection
    ) -> Result[ServiceResponse, AttemptFailed]:
        sock = connection.sock
        try:
            connection.timeout = self._timeout_s(call)
            self._send(call, connection)
            connection.timeout = self._timeout_s(call)
            response = connection.getresponse()
            return self._read_response(call, connection, sock, response)
        except _TRANSPORT_ERRORS as error:
            # The connection is never reused, so a late response can't be read as the
            # response to another call.
            connection.close()
            reason = type(error).__name__
            return Error(AttemptFailed(call.upstream_id, reason, "unknown"))

    def _send(self, call: ServiceCall, connection: HTTPConnection) -> None:
        headers: dict[str, str] = dict(call.headers)
        headers["X-Request-Id"] = call.request_id
        for name in _ADDED_HEADERS:
            headers.setdefault(name, SKIP_HEADER)
        # A server may respond before it has read the whole body and then close the
        # connection; its response is still read.
        with suppress(BrokenPipeError, ConnectionResetError):
            connection.request(
                call.method,
                call.path,
                body=call.body or None,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )

    def _read_response(
        self,
        call: ServiceCall,
        connection: HTTPConnection,
        sock: socket.socket,
        response: HTTPResponse,
    ) -> Result[ServiceResponse, AttemptFailed]:
        echoed_id = response.headers.get("x-request-id")
        if echoed_id not in (None, call.request_id):
            connection.close()
            return Error(
                AttemptFailed(call.upstream_id, RESPONSE_ID_MISMATCH, "unknown")
            )
        read = self._make_reader(call, sock, response)

        def close(is_complete: bool) -> None:
            is_reusable = call.is_repeatable and echoed_id is not None
            if is_complete and is_reusable and connection.sock is not None:
                self._idle.release(call.address, connection)
                return
            response.close()
            connection.close()

        rest = ResponseRest(read, close)
        first = self._first_part(read)
        if not first and _is_unframed(response):
            # A server that stopped right after the head looks the same.
            connection.close()
            return Error(AttemptFailed(call.upstream_id, NO_BODY, "unknown"))
        headers = tuple(response.headers.iteritems())
        if len(first) >= self._settings.answer_buffer_bytes:
            return Ok(ServiceResponse(response.status, headers, first, rest))
        close(is_complete=True)
        return Ok(ServiceResponse(response.status, headers, first))

    def _first_part(self, read: Callable[[], bytes]) -> bytes:
        parts: list[bytes] = []
        n_bytes = 0
        while n_bytes < self._settings.answer_buffer_bytes and (part := read()):
            parts.append(part)
            n_bytes += len(part)
        return b"".join(parts)

    def _make_reader(
        self, call: ServiceCall, sock: socket.socket, response: HTTPResponse
    ) -> Callable[[], bytes]:
        n_remaining = self._settings.max_answer_bytes

        def read() -> bytes:
            nonlocal n_remaining
            sock.settimeout(self._timeout_s(call))
            part = response.read1(READ_BYTES, decode_content=False) or b""
            n_remaining -= len(part)
            if n_remaining < 0:
                raise AnswerTruncatedError("the response is too large")
            return part

        return read

    def _timeout_s(self, call: ServiceCall) -> float:
        remaining_ms = call.deadline_at_ms - self._now_ms()
        if remaining_ms <= 0:
            raise TimeoutError
        return min(self._settings.read_timeout_ms, remaining_ms) / 1000.0


def _is_unframed(response: HTTPResponse) -> bool:
    """Return whether only the end of the connection delimits the body."""
    return response.length_remaining is None and not response.chunked

"""The HTTP/1.1 server protocol of client connections, with limits on requests."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11
import msgspec

from ..catalog.configuration import ClientLimits
from .ports import HeaderCodec, Headers
from .requests import ClientRequest, Refusal
from .sockets import configure_socket

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
#: Bytes that may be buffered for a client that reads too slowly; with more, its
#: connection is aborted.
MAX_UNSENT_BYTES = 8_388_608


class ClientConnectionContext(NamedTuple):
    """Objects that all connections of a listener share.

    Parameters
    ----------
    serve : callable
        Coroutine function ``serve(request, connection)`` that responds to a request.
    limits : callable
        Returns the limits in force.
    is_draining : callable
        Returns whether connections are closed after their current response.
    codec : HeaderCodec
        Decodes request headers.
    now_ms : callable
        Returns monotonic time in milliseconds.
    connections : set
        Receives every open connection.
    """

    serve: Callable[[ClientRequest, "ClientConnection"], Awaitable[None]]
    limits: Callable[[], ClientLimits]
    is_draining: Callable[[], bool]
    codec: HeaderCodec
    now_ms: Callable[[], float]
    connections: set["ClientConnection"]


class ClientConnection(asyncio.Protocol):
    """One client connection, which serves one request at a time.

    It runs on the event loop, so a slow client occupies no thread.
    """

    def __init__(self, context: ClientConnectionContext) -> None:
        self._context = context
        self._h11 = h11.Connection(h11.SERVER, context.limits().max_header_bytes)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._head: h11.Request | None = None
        self._head_at_ms = 0.0
        self._body: list[bytes] = []
        self._n_body_bytes = 0
        self._has_partial_head = False
        self._is_rejected = False
        self._request_id = b""

    @property
    def is_busy(self) -> bool:
        """Whether a request is being served."""
        return self._task is not None

    @property
    def has_sent_head(self) -> bool:
        """Whether the head of the current response was sent."""
        return self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection and start the idle timeout."""
        self._transport = transport
        configure_socket(transport.get_extra_info("socket"))
        self._context.connections.add(self)
        self._start_timer(self._context.limits().idle_timeout_ms)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request of a client that disconnected."""
        self._context.connections.discard(self)
        self._cancel_timer()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Close the connection; a half-closed client is treated as disconnected."""
        return False

    def data_received(self, data: bytes) -> None:
        """Process received bytes."""
        if self._is_rejected:
            return
        self._h11.receive_data(data)
        if self._task is None:
            self._advance()

    def close_idle(self) -> None:
        """Close the connection unless a request is being received or served."""
        if not self.is_busy and self._head is None and not self._has_partial_head:
            self._transport.close()

    def refuse_incomplete(self) -> None:
        """Refuse a request that was not received completely."""
        if not self.is_busy and not self._is_rejected:
            self._reject(503, "the instance is stopping")

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        head = [*headers, (b"content-length", str(len(body)).encode())]
        message = self._encode_head(status, head)
        if self._head is None or self._head.method != b"HEAD":
            message += self._h11.send(h11.Data(data=body)) or b""
        message += self._h11.send(h11.EndOfMessage()) or b""
        self._transport.write(message)

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as a response of content type application/problem+json."""
        headers = [(b"content-type", b"application/problem+json")]
        if self._request_id:
            headers.append((self._context.codec.request_id_header, self._request_id))
        if refusal.retry_after_ms is not None:
            seconds = f"{refusal.retry_after_ms / 1000.0:.2f}"
            headers.append((b"retry-after", seconds.encode()))
        problem = {
            "status": refusal.status,
            "code": refusal.code,
            "detail": refusal.reason,
        }
        self.send_response(refusal.status, headers, msgspec.json.encode(problem))

    def start_stream(self, status: int, headers: Headers, chunk: bytes) -> None:
        """Send the head of a streamed response and its first bytes."""
        message = self._encode_head(status, headers)
        self._transport.write(message + (self._h11.send(h11.Data(data=chunk)) or b""))

    def send_chunk(self, chunk: bytes) -> None:
        """Send the next bytes of a streamed response."""
        self._transport.write(self._h11.send(h11.Data(data=chunk)))
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()

    def end_stream(self) -> None:
        """End a streamed response as complete."""
        self._transport.write(self._h11.send(h11.EndOfMessage()) or b"")

    def abort(self) -> None:
        """Reset the connection, so that the client sees an incomplete response."""
        self._transport.abort()

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        if self._context.is_draining():
            headers = [*headers, (b"connection", b"close")]
        reason = REASONS.get(status, b"")
        return self._h11.send(
            h11.Response(status_code=status, headers=headers, reason=reason)
        )

    def _advance(self) -> None:
        """Parse received bytes until a request is complete or more bytes are needed."""
        self._cancel_timer()
        try:
            while self._task is None and not self._is_rejected:
                event = self._h11.next_event()
                if event is h11.NEED_DATA:
                    self._wait_for_more()
                    return
                if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    self._transport.close()
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def _handle_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._head = event
            self._head_at_ms = self._context.now_ms()
            self._body, self._n_body_bytes = [], 0
            if _head_size(event) > self._context.limits().max_header_bytes:
                self._reject(431, "the request head is too large")
                return
            if self._h11.they_are_waiting_for_100_continue:
                self._transport.write(
                    self._h11.send(h11.InformationalResponse(status_code=100))
                )
            return
        if isinstance(event, h11.Data):
            self._body.append(bytes(event.data))
            self._n_body_bytes += len(event.data)
            if self._n_body_bytes > self._context.limits().max_body_bytes:
                self._reject(413, "the request body is too large")
            return
        if isinstance(event, h11.EndOfMessage):
            self._start_serving()

    def _start_serving(self) -> None:
        headers = list(self._head.headers)
        fields = self._context.codec.decode_request(headers)
        self._request_id = fields.request_id.encode("latin-1")
        request = ClientRequest(
            method=self._head.method,
            target=self._head.target,
            headers=headers,
            body=b"".join(self._body),
            fields=fields,
            received_at_ms=self._head_at_ms,
        )
        self._body = []
        self._task = asyncio.create_task(self._serve(request))

    async def _serve(self, request: ClientRequest) -> None:
        try:
            await self._context.serve(request, self)
        finally:
            self._task = None
            self._head = None
        self._continue()

    def _continue(self) -> None:
        """Start the next request cycle of the connection, or close it."""
        if self._transport.is_closing():
            return
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            self._request_id = b""
            self._advance()
            return
        self._transport.close()

    def _wait_for_more(self) -> None:
        limits = self._context.limits()
        buffered, _ = self._h11.trailing_data
        self._has_partial_head = bool(buffered) and self._head is None
        if self._has_partial_head:
            self._start_timer(limits.header_timeout_ms)
            return
        self._start_timer(limits.idle_timeout_ms)

    def _start_timer(self, limit_ms: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(limit_ms / 1000.0, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._head is None and not self._has_partial_head:
            self._transport.close()
            return
        self._reject(408, "the request did not arrive in time")

    def _reject(self, status: int, reason: str) -> None:
        """Respond to an invalid request with an error and close the connection."""
        self._is_rejected = True
        if self._h11.our_state is h11.SEND_RESPONSE or self._h11.our_state is h11.IDLE:
            status = status if status in REASONS else 400
            head = [
                (b"content-length", b"0"),
                (b"connection", b"close"),
            ]
            self._transport.write(
                self._h11.send(
                    h11.Response(
                        status_code=status, headers=head, reason=REASONS[status]
                    )
                )
            )
        self._transport.close()


def _head_size(request: h11.Request) -> int:
    """Return the approximate size of a request head in bytes."""
    size = len(request.method) + len(request.target)
    return size + sum(len(name) + len(value) + 4 for name, value in request.headers)

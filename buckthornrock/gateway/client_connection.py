"""The HTTP/1.1 server protocol of client connections, with limits on requests.

What a connection holds is accounted for, and it may have to give way to others. Reading
from the client pauses while its request is served and enough of the next one has
arrived; the next request begins once the response before it is nearly sent.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11
import msgspec

from ..catalog.configuration import ClientLimits
from ..runtime.decoding import parse_count
from .client_limits import (
    ARRIVAL_TIME,
    BODY_BYTES,
    HEAD_BYTES,
    UNREAD_RESPONSE,
    ClientLimitsEnforcer,
)
from .memory_budget import (
    CONNECTION_BYTES,
    FIELD_BYTES,
    MIN_UNSENT_BYTES,
    REQUEST_BYTES,
    Holding,
)
from .paced_writer import PacedWriter
from .parse_queue import MAX_EVENTS_PER_TURN, ParseQueue
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
#: The limit that each status of a rejected request reports.
LIMITS_OF_STATUS = {408: ARRIVAL_TIME, 413: BODY_BYTES, 431: HEAD_BYTES}
#: Bytes read at once from any client.
RECEIVE_BYTES = 65_536
#: Bytes after a request that are read while it is served.
READ_AHEAD_BYTES = 16_384
#: Bytes beyond the limit of a head that are parsed with it: the limit counts names and
#: values but not all white space, so that a head may be a little longer.
HEAD_MARGIN_BYTES = 4_096
#: Whether a request needs its body is decided at its head if the body is longer.
EARLY_DECISION_BYTES = 16_384
#: A client that was refused may go on sending for this long. Closing at once would
#: reset the connection, and the client might not get the refusal.
LINGER_MS = 500.0
TOO_MUCH_HELD = "the instance is short of memory"


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
    limits_enforcer : ClientLimitsEnforcer
        Accounts for what connections hold.
    parse_queue : ParseQueue
        Runs the turns of connections that have much to parse.
    receive_buffer : memoryview
        Where data is received; it is used up before the next read.
    refuse_at_head : callable or None
        Returns the refusal that a request without its body gets already, or None. No
        function if no request needs its body.
    """

    serve: Callable[[ClientRequest, "ClientConnection"], Awaitable[None]]
    limits: Callable[[], ClientLimits]
    is_draining: Callable[[], bool]
    codec: HeaderCodec
    now_ms: Callable[[], float]
    connections: set["ClientConnection"]
    limits_enforcer: ClientLimitsEnforcer
    parse_queue: ParseQueue
    receive_buffer: memoryview
    refuse_at_head: Callable[[ClientRequest], Refusal | None] | None


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection, which serves one request at a time.

    It runs on the event loop, so a slow client occupies no thread.
    """

    def __init__(self, context: ClientConnectionContext) -> None:
        self._context = context
        self._h11 = h11.Connection(h11.SERVER, context.limits().max_header_bytes)
        self._transport: asyncio.Transport | None = None
        self._writer: PacedWriter | None = None
        self._holding: Holding | None = None
        self._task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable: asyncio.Future[None] | None = None
        self._head: h11.Request | None = None
        self._request: ClientRequest | None = None
        self._n_head_bytes = 0
        self._body = bytearray()
        self._n_body_bytes = 0
        self._keeps_body = True
        #: Received bytes that the parser doesn't have yet, and those that it keeps.
        self._unparsed = bytearray()
        self._n_partial_bytes = 0
        self._n_response_bytes = 0
        self._has_partial_head = False
        self._head_began_at_ms: float | None = None
        self._is_rejected = False
        self._is_flushing = False
        self._is_in_queue = False
        self._request_id = b""

    @property
    def is_busy(self) -> bool:
        """Whether a request is being served or its response being sent."""
        return self._task is not None or self._is_flushing

    @property
    def has_sent_head(self) -> bool:
        """Whether the head of the current response was sent."""
        return self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def is_congested(self) -> bool:
        """Whether the client has to take some of its response before more is sent."""
        n_unsent = self._writer.n_unsent_bytes
        if n_unsent <= MIN_UNSENT_BYTES:
            return False
        return n_unsent > self._context.limits_enforcer.budget.unsent_limit()

    @property
    def _is_receiving(self) -> bool:
        """Whether a part of a request has arrived."""
        return self._head is not None or self._has_partial_head

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection and start the idle timeout."""
        self._transport = transport
        self._writer = PacedWriter(transport)
        self._context.connections.add(self)
        peer = transport.get_extra_info("peername")
        address = peer[0] if peer else ""
        self._holding = self._context.limits_enforcer.open(self, address)
        configure_socket(transport.get_extra_info("socket"))
        self._start_timer(self._context.limits().idle_timeout_ms, self._on_timeout)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request of a client that disconnected."""
        self._context.connections.discard(self)
        self._context.limits_enforcer.budget.close(self._holding)
        self._cancel_timer()
        self._writer.discard()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Close the connection; a half-closed client is treated as disconnected.

        It gets what is left of a complete response.
        """
        if self._is_flushing:
            self._writer.close()
        return self._is_flushing

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes, which all connections share."""
        return self._context.receive_buffer

    def buffer_updated(self, n_bytes: int) -> None:
        """Process received bytes."""
        if self._is_rejected:
            return
        self._holding.progressed_at_ms = self._context.now_ms()
        self._unparsed += self._context.receive_buffer[:n_bytes]
        if not self.is_busy and not self._is_in_queue:
            self._advance()
            return
        self._account()
        self._update_reading()

    def pause_writing(self) -> None:
        """Write nothing more for now: the client takes its response slowly."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Go on writing, and let the sender of a stream go on."""
        self._holding.progressed_at_ms = self._context.now_ms()
        self._writer.resume()
        self._account()
        if self._writable is not None and not self.is_congested:
            if not self._writable.done():
                self._writable.set_result(None)
            self._writable = None
        if self._is_flushing and self._writer.takes_more:
            self._is_flushing = False
            self._continue()

    async def wait_writable(self) -> None:
        """Wait until the client took enough of what was sent."""
        while self.is_congested and not self._transport.is_closing():
            self._writable = asyncio.get_running_loop().create_future()
            await self._writable

    def hold_response(self, n_bytes: int) -> None:
        """Account for bytes of the response that are not sent yet."""
        if n_bytes != self._n_response_bytes or not self._holding.is_serving:
            self._n_response_bytes = n_bytes
            self._account()

    def give_way(self) -> None:
        """Release what the connection holds; refuse its request if it isn't served."""
        if self._is_rejected or self.is_busy or not self._is_receiving:
            self.close_now()
            return
        self._reject(503, TOO_MUCH_HELD)

    def close_now(self) -> None:
        """Close the connection and drop what it holds."""
        self._is_rejected = True
        self._release()
        self._writer.discard()
        self._transport.abort()

    def close_idle(self) -> None:
        """Close the connection unless a request is being received or served."""
        is_receiving = self._is_receiving or self._is_in_queue
        if not self.is_busy and (self._is_rejected or not is_receiving):
            self._writer.close()

    def refuse_incomplete(self) -> None:
        """Refuse a request that was not received completely."""
        if not self.is_busy and not self._is_rejected:
            self._reject(503, "the instance is stopping")

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        head = [*headers, (b"content-length", str(len(body)).encode())]
        message = self._encode_head(status, head)
        is_sent = self._head is None or self._head.method != b"HEAD"
        if is_sent:
            self._h11.send_with_data_passthrough(h11.Data(data=body))
        self._h11.send(h11.EndOfMessage())
        if is_sent and len(body) <= RECEIVE_BYTES:
            message += body
            is_sent = False
        self._writer.write(message)
        if is_sent:
            self._writer.write(body)
        self._n_response_bytes = 0
        self._account()

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
        self._writer.write(message + (self._h11.send(h11.Data(data=chunk)) or b""))
        self._account()

    def send_chunk(self, chunk: bytes) -> None:
        """Send the next bytes of a streamed response."""
        self._writer.write(self._h11.send(h11.Data(data=chunk)))
        # Nothing changes if no byte is unsent, and none was at the last time.
        if self._writer.n_unsent_bytes or not self._holding.is_serving:
            self._account()

    def end_stream(self) -> None:
        """End a streamed response as complete."""
        self._writer.write(self._h11.send(h11.EndOfMessage()) or b"")

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
        """Parse received bytes until a request is complete or more bytes are needed.

        After a number of events, other connections have their turn first.
        """
        self._cancel_timer()
        try:
            for _ in range(MAX_EVENTS_PER_TURN):
                event = self._h11.next_event()
                if event is h11.NEED_DATA:
                    if self._feed_parser():
                        continue
                    self._wait_for_more()
                    break
                if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    self._close_when_sent()
                    return
                self._handle_event(event)
                if self._task is not None or self._is_rejected:
                    break
            else:
                self._is_in_queue = True
                self._context.parse_queue.add(self._take_turn)
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))
        self._account()
        self._update_reading()

    def _take_turn(self) -> None:
        """Go on parsing after other connections had their turn."""
        self._is_in_queue = False
        if not self._is_rejected and not self._transport.is_closing():
            self._advance()

    def _feed_parser(self) -> bool:
        """Pass on received bytes to the parser; return whether there were any."""
        if not self._unparsed:
            return False
        n_bytes = RECEIVE_BYTES
        if self._head is None:
            n_bytes = self._context.limits().max_header_bytes + HEAD_MARGIN_BYTES
        if len(self._unparsed) <= n_bytes:
            self._h11.receive_data(self._unparsed)
            self._unparsed = bytearray()
            return True
        self._h11.receive_data(self._unparsed[:n_bytes])
        del self._unparsed[:n_bytes]
        return True

    def _update_reading(self) -> None:
        """Read from the client unless enough of its bytes wait to be parsed."""
        is_waiting = self.is_busy or self._is_in_queue
        if is_waiting and len(self._unparsed) >= READ_AHEAD_BYTES:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _account(self) -> None:
        """Record what the connection holds; it may have to give way at once."""
        if self._is_rejected:
            return
        is_serving = self._task is not None and not self._writer.n_unsent_bytes
        self._holding.is_serving = is_serving
        n_bytes = (
            CONNECTION_BYTES
            + self._n_head_bytes
            + len(self._body)
            + len(self._unparsed)
            + self._n_partial_bytes
            + self._n_response_bytes
            + self._writer.n_held_bytes
            + self._transport.get_write_buffer_size()
        )
        self._context.limits_enforcer.hold(self._holding, n_bytes)

    def _release(self) -> None:
        """Drop the received bytes of a connection that is refused or closed."""
        self._unparsed = bytearray()
        self._body = bytearray()
        self._request = None
        self._head = None
        self._n_head_bytes = self._n_partial_bytes = self._n_response_bytes = 0

    def _handle_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._on_head(event)
            return
        if isinstance(event, h11.Data):
            self._n_body_bytes += len(event.data)
            if self._n_body_bytes > self._context.limits().max_body_bytes:
                self._reject(413, "the request body is too large")
                return
            if self._keeps_body:
                self._body += event.data
            return
        if isinstance(event, h11.EndOfMessage):
            self._start_serving()

    def _on_head(self, head: h11.Request) -> None:
        limits = self._context.limits()
        self._head = head
        self._has_partial_head = False
        self._head_began_at_ms = None
        self._n_partial_bytes = 0
        self._body, self._n_body_bytes = bytearray(), 0
        self._n_response_bytes = 0
        n_head_bytes = _head_size(head)
        self._n_head_bytes = n_head_bytes + FIELD_BYTES * len(head.headers)
        if n_head_bytes > limits.max_header_bytes:
            self._reject(431, "the request head is too large")
            return
        headers = list(head.headers)
        fields = self._context.codec.decode_request(headers)
        self._request = ClientRequest(
            method=head.method,
            target=head.target,
            headers=headers,
            body=b"",
            fields=fields,
            received_at_ms=self._context.now_ms(),
        )
        n_announced = _announced_body_bytes(headers)
        if n_announced is not None and n_announced > limits.max_body_bytes:
            self._reject(413, "the request body is too large")
            return
        self._keeps_body = True
        if n_announced is None or n_announced > EARLY_DECISION_BYTES:
            self._decide_at_head()
        if self._h11.they_are_waiting_for_100_continue:
            self._writer.write(
                self._h11.send(h11.InformationalResponse(status_code=100))
            )

    def _decide_at_head(self) -> None:
        """Decide whether the body is kept; a request that is refused needs none.

        The refusal is sent once the body, which is discarded, has arrived.
        """
        if self._context.refuse_at_head is None:
            self._keeps_body = False
            return
        refusal = self._context.refuse_at_head(self._request)
        if refusal is not None:
            self._keeps_body = False
            self._request = self._request._replace(refusal=refusal)

    def _start_serving(self) -> None:
        self._request_id = self._request.fields.request_id.encode("latin-1")
        request = self._request._replace(body=self._body)
        self._request = None
        self._n_head_bytes += REQUEST_BYTES
        # The parser may have received a part of the next request with this body.
        self._n_partial_bytes = len(self._h11.trailing_data[0])
        self._task = asyncio.create_task(self._serve(request))

    async def _serve(self, request: ClientRequest) -> None:
        try:
            served = self._context.serve(request, self)
            # Only the exchange holds the request, and releases it with its end.
            del request
            await served
        except asyncio.CancelledError:
            # The client left, and nobody awaits the task. It would keep the error,
            # whose frames refer to the task by their timeouts, and so the response that
            # was being read would stay until the garbage collector finds the cycle.
            return
        finally:
            self._task = None
            self._head = None
            self._body = bytearray()
            self._n_head_bytes = self._n_response_bytes = 0
        if self._writer.takes_more:
            self._continue()
            return
        self._is_flushing = True
        self._account()
        self._start_flush_timer()

    def _close_when_sent(self) -> None:
        """Close the connection once the client has taken what is left to send."""
        self._writer.close()
        self._account()
        if self._writer.n_unsent_bytes:
            self._start_flush_timer()

    def _start_flush_timer(self) -> None:
        """Abort the connection if the client takes nothing of its response."""
        n_unsent = self._writer.n_unsent_bytes
        self._start_timer(
            self._context.limits().idle_timeout_ms, self._check_flush, n_unsent
        )

    def _check_flush(self, n_unsent_before: int) -> None:
        if self._writer.n_unsent_bytes >= n_unsent_before:
            enforcer = self._context.limits_enforcer
            enforcer.count(UNREAD_RESPONSE, self._holding.address)
            self.abort()
            return
        self._start_flush_timer()

    def _continue(self) -> None:
        """Start the next request cycle of the connection, or close it."""
        if self._transport.is_closing():
            self._close_when_sent()
            return
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            self._request_id = b""
            self._advance()
            return
        self._close_when_sent()

    def _wait_for_more(self) -> None:
        limits = self._context.limits()
        buffered, _ = self._h11.trailing_data
        self._n_partial_bytes = len(buffered)
        self._has_partial_head = bool(buffered) and self._head is None
        if self._has_partial_head:
            now_ms = self._context.now_ms()
            if self._head_began_at_ms is None:
                self._head_began_at_ms = now_ms
            ends_at_ms = self._head_began_at_ms + limits.header_timeout_ms
            self._start_timer(max(0.0, ends_at_ms - now_ms), self._on_timeout)
            return
        self._head_began_at_ms = None
        self._start_timer(limits.idle_timeout_ms, self._on_timeout)

    def _start_timer(self, limit_ms: float, handle: Callable, *args: object) -> None:
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(limit_ms / 1000.0, handle, *args)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if not self._is_receiving:
            self._close_when_sent()
            return
        self._reject(408, "the request did not arrive in time")

    def _reject(self, status: int, reason: str) -> None:
        """Respond to an invalid request with an error and close the connection."""
        self._is_rejected = True
        self._release()
        self._context.limits_enforcer.hold(self._holding, CONNECTION_BYTES)
        # A refused connection is the first to be closed if there are too many.
        self._holding.progressed_at_ms = 0.0
        if status in LIMITS_OF_STATUS:
            enforcer = self._context.limits_enforcer
            enforcer.count(LIMITS_OF_STATUS[status], self._holding.address)
        if self._h11.our_state is h11.SEND_RESPONSE or self._h11.our_state is h11.IDLE:
            status = status if status in REASONS else 400
            head = [
                (b"content-length", b"0"),
                (b"connection", b"close"),
            ]
            self._writer.write(
                self._h11.send(
                    h11.Response(
                        status_code=status, headers=head, reason=REASONS[status]
                    )
                )
            )
        self._linger()

    def _linger(self) -> None:
        """Discard what the client still sends, and close the connection soon."""
        if self._transport.is_closing():
            return
        # The parser's buffer is released as well.
        self._h11 = h11.Connection(h11.SERVER)
        self._transport.write_eof()
        self._transport.resume_reading()
        self._start_timer(LINGER_MS, self._transport.abort)


def _head_size(request: h11.Request) -> int:
    """Return the approximate size of a request head in bytes."""
    size = len(request.method) + len(request.target)
    return size + sum(len(name) + len(value) + 4 for name, value in request.headers)


def _announced_body_bytes(headers: Headers) -> int | None:
    """Return the length that a request states for its body; None if it states none."""
    n_bytes = 0
    for name, value in headers:
        if name == b"transfer-encoding":
            return None
        if name == b"content-length":
            n_bytes = parse_count(value.decode("latin-1"))
    return n_bytes

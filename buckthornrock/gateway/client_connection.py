"""One client connection: serves its requests in turn, with timeouts and accounting.

What a connection holds is accounted for, and it may have to give way to others. Reading
from the client pauses while its request is served and enough of the next one has
arrived; the next request begins once the response before it is nearly sent.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11

from ..catalog.configuration import ClientLimits
from .client_limits import (
    ARRIVAL_TIME,
    BODY_BYTES,
    HEAD_BYTES,
    UNREAD_RESPONSE,
    ClientLimitsEnforcer,
)
from .memory_budget import CONNECTION_BYTES, MIN_UNSENT_BYTES, Holding
from .paced_writer import PacedWriter
from .parse_queue import ParseQueue
from .ports import HeaderCodec, Headers
from .request_receiver import (
    RECEIVE_BYTES,
    ParseState,
    Rejection,
    RequestReceiver,
)
from .requests import ClientRequest, Refusal
from .response_encoding import (
    encode_head,
    encode_rejection,
    refusal_body,
    refusal_headers,
)
from .sockets import configure_socket

#: The limit that each status of a rejected request reports.
LIMITS_OF_STATUS = {408: ARRIVAL_TIME, 413: BODY_BYTES, 431: HEAD_BYTES}
#: Bytes after a request that are read while it is served.
READ_AHEAD_BYTES = 16_384
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
        self._receiver: RequestReceiver | None = None
        self._holding: Holding | None = None
        self._task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable: asyncio.Future[None] | None = None
        self._n_response_bytes = 0
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

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection and start the idle timeout."""
        self._transport = transport
        self._writer = PacedWriter(transport)
        self._receiver = RequestReceiver(
            self._h11,
            self._context.limits,
            self._context.codec,
            self._context.now_ms,
            self._context.refuse_at_head,
            self._writer.write,
        )
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
        self._receiver.unparsed += self._context.receive_buffer[:n_bytes]
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
        if self._is_rejected or self.is_busy or not self._receiver.is_receiving:
            self.close_now()
            return
        self._reject(Rejection(503, TOO_MUCH_HELD))

    def close_now(self) -> None:
        """Close the connection and drop what it holds."""
        self._is_rejected = True
        self._release()
        self._writer.discard()
        self._transport.abort()

    def close_idle(self) -> None:
        """Close the connection unless a request is being received or served."""
        is_receiving = self._receiver.is_receiving or self._is_in_queue
        if not self.is_busy and (self._is_rejected or not is_receiving):
            self._writer.close()

    def refuse_incomplete(self) -> None:
        """Refuse a request that was not received completely."""
        if not self.is_busy and not self._is_rejected:
            self._reject(Rejection(503, "the instance is stopping"))

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        head = [*headers, (b"content-length", str(len(body)).encode())]
        message = encode_head(self._h11, status, head, self._context.is_draining())
        request_head = self._receiver.head
        is_sent = request_head is None or request_head.method != b"HEAD"
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
        id_header = self._context.codec.request_id_header
        headers = refusal_headers(refusal, id_header, self._request_id)
        self.send_response(refusal.status, headers, refusal_body(refusal))

    def start_stream(self, status: int, headers: Headers, chunk: bytes) -> None:
        """Send the head of a streamed response and its first bytes."""
        message = encode_head(self._h11, status, headers, self._context.is_draining())
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

    def _advance(self) -> None:
        """Parse received bytes until a request is complete or more bytes are needed."""
        self._cancel_timer()
        result = self._receiver.parse()
        if result is ParseState.COMPLETE:
            self._start_serving()
        elif result is ParseState.INCOMPLETE:
            self._start_timer(self._receiver.wait_limit_ms(), self._on_timeout)
        elif result is ParseState.UNPARSED:
            self._is_in_queue = True
            self._context.parse_queue.add(self._take_turn)
        elif result is ParseState.CLOSED:
            self._close_when_sent()
            return
        else:
            self._reject(result)
        self._account()
        self._update_reading()

    def _take_turn(self) -> None:
        """Go on parsing after other connections had their turn."""
        self._is_in_queue = False
        if not self._is_rejected and not self._transport.is_closing():
            self._advance()

    def _update_reading(self) -> None:
        """Read from the client unless enough of its bytes wait to be parsed."""
        has_enough = len(self._receiver.unparsed) >= READ_AHEAD_BYTES
        if has_enough and (self.is_busy or self._is_in_queue):
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
            + self._receiver.n_held_bytes
            + self._n_response_bytes
            + self._writer.n_held_bytes
            + self._transport.get_write_buffer_size()
        )
        self._context.limits_enforcer.hold(self._holding, n_bytes)

    def _release(self) -> None:
        """Drop the received bytes of a connection that is refused or closed."""
        self._receiver.release()
        self._n_response_bytes = 0

    def _start_serving(self) -> None:
        request = self._receiver.take_request()
        self._request_id = request.fields.request_id.encode("latin-1")
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
            self._receiver.end_request()
            self._n_response_bytes = 0
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

    def _start_timer(self, limit_ms: float, handle: Callable, *args: object) -> None:
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(limit_ms / 1000.0, handle, *args)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if not self._receiver.is_receiving:
            self._close_when_sent()
            return
        self._reject(Rejection(408, "the request did not arrive in time"))

    def _reject(self, rejection: Rejection) -> None:
        """Respond to an invalid request with an error and close the connection."""
        self._is_rejected = True
        self._release()
        self._context.limits_enforcer.hold(self._holding, CONNECTION_BYTES)
        # A refused connection is the first to be closed if there are too many.
        self._holding.progressed_at_ms = 0.0
        limit = LIMITS_OF_STATUS.get(rejection.status)
        if limit is not None:
            self._context.limits_enforcer.count(limit, self._holding.address)
        if self._h11.our_state is h11.SEND_RESPONSE or self._h11.our_state is h11.IDLE:
            self._writer.write(encode_rejection(self._h11, rejection.status))
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

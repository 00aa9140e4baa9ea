"""An HTTP/1.1 connection to an upstream that matches responses to its requests.

It carries one request at a time. A response to another request is skipped. Reading from
the upstream pauses while its response isn't read here, and a request's body is written
as fast as the upstream takes it.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import h11

from ..runtime.decoding import parse_count
from .errors import ConnectionBrokenError
from .paced_writer import PacedWriter
from .ports import HeaderCodec, Headers, ResponseFields

#: Maximum size of the head of a response.
MAX_HEAD_BYTES = 65_536
#: Maximum body of a buffered response, and maximum bytes up to the head of the expected
#: response: late responses to other requests and interim (1xx) responses.
MAX_RESPONSE_BYTES = 4_194_304
MAX_BYTES_BEFORE_RESPONSE = 262_144
#: Maximum number of interim responses; many small ones would block the event loop.
MAX_INTERIM_RESPONSES = 16
#: Bytes read at once from any upstream.
RECEIVE_BYTES = 65_536
#: Reading pauses while this much isn't read by the caller.
MAX_UNREAD_BYTES = 65_536
#: What a connection holds at most for a caller that doesn't read.
MAX_HELD_BACK_BYTES = MAX_UNREAD_BYTES + RECEIVE_BYTES
#: Upstreams cut off a response that stays unread for some seconds. One that breaks
#: after a pause of this length says nothing of the upstream.
LONG_PAUSE_MS = 500.0
#: A client that was refused comes back within seconds, a few requests later.
N_REMEMBERED_IDS = 16


class ResponseHead(NamedTuple):
    """Status, headers and decoded header fields of a response."""

    status: int
    headers: Headers
    fields: ResponseFields

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection tells where the body ends."""
        names = {name for name, _ in self.headers}
        return names.isdisjoint((b"content-length", b"transfer-encoding"))


class UpstreamConnection(asyncio.BufferedProtocol):
    """Speaks HTTP/1.1 with an upstream.

    Parameters
    ----------
    codec : HeaderCodec
        Decodes response headers.
    receive_buffer : memoryview
        Where data is received; connections may share it.
    on_lost : callable
        Called with the connection once it is closed.

    Attributes
    ----------
    is_open : bool
        Whether the connection can carry a request.
    idle_since_ms : float
        When its last response ended.
    idle_limit_ms : float or None
        How long the upstream keeps it open idle; None if it did not say.
    request_ids : deque of int
        Hashes of the ids of the last requests that it carried; ids may be long.
    longest_pause_ms : float
        Longest time for which the response to the current request wasn't read here.
    """

    def __init__(
        self,
        codec: HeaderCodec,
        receive_buffer: memoryview,
        on_lost: Callable[["UpstreamConnection"], None],
    ) -> None:
        self.is_open = False
        self.idle_since_ms = 0.0
        self.idle_limit_ms: float | None = None
        self.request_ids: deque[int] = deque(maxlen=N_REMEMBERED_IDS)
        self.longest_pause_ms = 0.0
        self._codec = codec
        self._receive_buffer = receive_buffer
        self._on_lost = on_lost
        self._writer: PacedWriter | None = None
        self._unread: deque[bytes] = deque()
        self._n_unread_bytes = 0
        self._has_ended = False
        self._paused_at_s: float | None = None
        self._transport: asyncio.Transport | None = None
        self._h11 = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._request: h11.Request | None = None
        self._body = b""
        self._readable: asyncio.Future[None] | None = None
        self._failure_reason = ""
        self._n_received = 0
        self._may_be_empty = True

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Mark the connection as open."""
        self._transport = transport
        self._writer = PacedWriter(transport)
        self.is_open = True

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes, which connections share."""
        return self._receive_buffer

    def buffer_updated(self, n_bytes: int) -> None:
        """Keep received bytes; an idle connection that receives any is closed."""
        if self._request is None:
            self.close()
            return
        self._n_received += n_bytes
        self._unread.append(bytes(self._receive_buffer[:n_bytes]))
        self._n_unread_bytes += n_bytes
        if self._n_unread_bytes >= MAX_UNREAD_BYTES and self._paused_at_s is None:
            self._paused_at_s = asyncio.get_running_loop().time()
            self._transport.pause_reading()
        self._wake_reader()

    def pause_writing(self) -> None:
        """Write no more of a request for now: the upstream takes it slowly."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Go on writing a request."""
        self._writer.resume()

    def eof_received(self) -> bool:
        """Handle the end of the upstream's output, which may end a response body."""
        self.is_open = False
        self._has_ended = True
        self._wake_reader()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Mark the connection as closed; after an error no response can complete."""
        self.is_open = False
        if error is not None:
            self._failure_reason = type(error).__name__
        if self._writer is not None:
            self._writer.discard()
        self._on_lost(self)
        self._wake_reader()

    def close(self) -> None:
        """Abort the connection, so that the upstream cancels its work."""
        self.is_open = False
        self._failure_reason = self._failure_reason or "closed by the gateway"
        self._unread.clear()
        if self._transport is not None:
            self._writer.discard()
            self._transport.abort()

    @property
    def was_held_back(self) -> bool:
        """Whether the upstream may have cut off its response as not read here."""
        return max(self.longest_pause_ms, self._pause_ms()) >= LONG_PAUSE_MS

    def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes | bytearray
    ) -> None:
        """Send a request with its complete body, which must not be changed later."""
        self._n_received = 0
        self.longest_pause_ms = 0.0
        self._request = h11.Request(method=method, target=target, headers=headers)
        self._body = body
        message = self._h11.send(self._request)
        if body:
            self._h11.send_with_data_passthrough(h11.Data(data=body))
        self._h11.send(h11.EndOfMessage())
        if len(body) <= RECEIVE_BYTES:
            self._writer.write(message + body)
            return
        self._writer.write(message)
        self._writer.write(body)

    async def read_head(self, request_id: str) -> ResponseHead:
        """Return the head of the response to ``request_id``; skip other responses.

        Raises
        ------
        ConnectionBrokenError
            If no response to the request can arrive any more.
        """
        self.request_ids.append(hash(request_id))
        n_interim = 0
        while True:
            event = await self._next_event()
            if self._n_received > MAX_BYTES_BEFORE_RESPONSE:
                raise ConnectionBrokenError("too many bytes before the response")
            if isinstance(event, h11.InformationalResponse):
                n_interim += 1
                if n_interim > MAX_INTERIM_RESPONSES:
                    raise ConnectionBrokenError("too many interim responses")
                continue
            if not isinstance(event, h11.Response):
                raise ConnectionBrokenError("no response")
            headers = list(event.headers)
            fields = self._codec.decode_response(event.status_code, headers)
            if fields.request_id == request_id:
                self._parse_keep_alive(headers)
                self._may_be_empty = self._may_lack_body(event)
                return ResponseHead(event.status_code, headers, fields)
            await self._skip_response()

    async def read_body(
        self, on_bytes: Callable[[int], None] = lambda _: None
    ) -> bytearray:
        """Return the rest of the response's body.

        ``on_bytes`` is told how many bytes of it are held.

        Raises
        ------
        ConnectionBrokenError
            If the body is truncated or larger than ``MAX_RESPONSE_BYTES``.
        """
        body = bytearray()
        while chunk := await self.read_chunk():
            if len(body) + len(chunk) > MAX_RESPONSE_BYTES:
                raise ConnectionBrokenError("response too large")
            body += chunk
            on_bytes(len(body))
        return body

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the response's body, b"" at its end."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                if event.data:
                    self._may_be_empty = True
                    return bytes(event.data)
                continue
            if isinstance(event, h11.EndOfMessage):
                if not self._may_be_empty:
                    raise ConnectionBrokenError("closed right after the head")
                return b""
            raise ConnectionBrokenError("response truncated")

    def finish(self, now_ms: float) -> bool:
        """End the exchange; return whether the connection can carry another.

        A connection that cannot is closed.
        """
        trailing, _ = self._h11.trailing_data
        is_done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        is_done = is_done and self._writer.takes_more and not self._unread
        if not self.is_open or trailing or not is_done:
            self.close()
            return False
        self._h11.start_next_cycle()
        self._request = None
        self._body = b""
        self.idle_since_ms = now_ms
        return True

    async def _next_event(self) -> h11.Event:
        while True:
            if self._failure_reason:
                raise ConnectionBrokenError(self._failure_reason)
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionBrokenError(str(error)) from error
            if event is h11.PAUSED:
                raise ConnectionBrokenError("unexpected bytes after the response")
            if event is not h11.NEED_DATA:
                return event
            if self._feed_parser():
                continue
            self._readable = asyncio.get_running_loop().create_future()
            await self._readable

    def _feed_parser(self) -> bool:
        """Pass on received bytes, or their end, to the parser; return if there are any.

        Reading goes on once little is left unread.
        """
        if not self._unread:
            if self._has_ended:
                self._has_ended = False
                self._h11.receive_data(b"")
                return True
            return False
        data = self._unread.popleft()
        self._n_unread_bytes -= len(data)
        self._h11.receive_data(data)
        if self._paused_at_s is not None and self._n_unread_bytes < MAX_UNREAD_BYTES:
            self.longest_pause_ms = max(self.longest_pause_ms, self._pause_ms())
            self._paused_at_s = None
            self._transport.resume_reading()
        return True

    def _pause_ms(self) -> float:
        """Return for how long reading has been paused."""
        if self._paused_at_s is None:
            return 0.0
        now_s = asyncio.get_running_loop().time()
        return (now_s - self._paused_at_s) * 1000.0

    async def _skip_response(self) -> None:
        """Discard a response to another request and prepare to parse the next one."""
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            if self._n_received > MAX_BYTES_BEFORE_RESPONSE:
                raise ConnectionBrokenError("too many bytes before the response")
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionBrokenError("response to another request")
        if self._h11.their_state is not h11.DONE:
            raise ConnectionBrokenError("closed after a response to another request")
        trailing, _ = self._h11.trailing_data
        self._h11 = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        # The new parser must know the request that was sent already.
        self._h11.send(self._request)
        if self._body:
            self._h11.send_with_data_passthrough(h11.Data(data=self._body))
        self._h11.send(h11.EndOfMessage())
        if trailing:
            self._h11.receive_data(trailing)

    def _may_lack_body(self, response: h11.Response) -> bool:
        """Return whether the response is complete without any bytes of a body.

        One that only the end of its connection delimits is not: an upstream that
        stopped right after the head looks the same.
        """
        if self._request.method == b"HEAD" or response.status_code in (204, 304):
            return True
        names = {name for name, _ in response.headers}
        return bool(names & {b"content-length", b"transfer-encoding"})

    def _parse_keep_alive(self, headers: Headers) -> None:
        for name, value in headers:
            if name == b"keep-alive" and b"timeout=" in value:
                text = value.split(b"timeout=")[1].split(b",")[0]
                seconds = parse_count(text.decode("latin-1"))
                if seconds is not None:
                    self.idle_limit_ms = seconds * 1000.0

    def _wake_reader(self) -> None:
        if self._readable is not None and not self._readable.done():
            self._readable.set_result(None)

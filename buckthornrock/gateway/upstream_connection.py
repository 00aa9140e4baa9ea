"""One connection to an upstream: a request at a time, each answer checked."""

import asyncio
from typing import NamedTuple

import h11

from .errors import ConnectionBrokenError
from .ports import HeaderCodec, Headers, ResponseFields

#: Largest head of an answer.
MAX_HEAD_BYTES = 65_536
#: Largest answer that is read whole, and most bytes before its head: late answers to
#: other requests, and heads that announce another.
MAX_ANSWER_BYTES = 4_194_304
MAX_BYTES_BEFORE_ANSWER = 262_144
#: Heads that announce another; many small ones would hold the event loop.
MAX_ANNOUNCEMENTS = 16


class AnswerHead(NamedTuple):
    """Status and headers of an answer."""

    status: int
    headers: Headers
    fields: ResponseFields


class UpstreamConnection(asyncio.Protocol):
    """Speaks HTTP/1.1 with an upstream.

    Attributes
    ----------
    is_open : bool
        Whether the connection can carry a request.
    idle_since_ms : float
        When its last answer ended.
    idle_limit_ms : float or None
        How long the upstream keeps it open idle; None if it did not say.
    """

    def __init__(self, codec: HeaderCodec) -> None:
        self.is_open = False
        self.idle_since_ms = 0.0
        self.idle_limit_ms: float | None = None
        self._codec = codec
        self._transport: asyncio.Transport | None = None
        self._h11 = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._request: h11.Request | None = None
        self._body = b""
        self._readable: asyncio.Future[None] | None = None
        self._broken = ""
        self._n_received = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Note that the connection stands."""
        self._transport = transport
        self.is_open = True

    def data_received(self, data: bytes) -> None:
        """Take in bytes; an idle connection must not receive any."""
        if self._request is None:
            self.close()
            return
        self._n_received += len(data)
        self._h11.receive_data(data)
        self._wake()

    def eof_received(self) -> bool:
        """Take in the end of the upstream's bytes."""
        self.is_open = False
        if self._request is not None and not self._broken:
            self._h11.receive_data(b"")
        self._wake()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is gone; a reset one completes no answer."""
        self.is_open = False
        if error is not None:
            self._broken = type(error).__name__
        self._wake()

    def close(self) -> None:
        """Break the connection off, so that the upstream stops its work."""
        self.is_open = False
        self._broken = self._broken or "closed here"
        if self._transport is not None:
            self._transport.abort()

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a whole request."""
        self._n_received = 0
        self._request = h11.Request(method=method, target=target, headers=headers)
        self._body = body
        message = self._h11.send(self._request)
        if body:
            message += self._h11.send(h11.Data(data=body))
        message += self._h11.send(h11.EndOfMessage())
        self._transport.write(message)

    async def read_head(self, request_id: str) -> AnswerHead:
        """Return the head of the answer to ``request_id``; skip other answers.

        Raises
        ------
        ConnectionBrokenError
            If no answer to the request can come any more.
        """
        n_announcements = 0
        while True:
            event = await self._next_event()
            if self._n_received > MAX_BYTES_BEFORE_ANSWER:
                raise ConnectionBrokenError("too much before the answer")
            if isinstance(event, h11.InformationalResponse):
                n_announcements += 1
                if n_announcements > MAX_ANNOUNCEMENTS:
                    raise ConnectionBrokenError("no answer behind its announcements")
                continue
            if not isinstance(event, h11.Response):
                raise ConnectionBrokenError("no answer")
            headers = list(event.headers)
            fields = self._codec.decode_response(event.status_code, headers)
            if fields.request_id == request_id:
                self._note_idle_limit(headers)
                return AnswerHead(event.status_code, headers, fields)
            await self._skip_answer()

    async def read_body(self) -> bytes:
        """Return the rest of the answer's body.

        Raises
        ------
        ConnectionBrokenError
            If the answer is cut, or larger than any that is read whole.
        """
        parts: list[bytes] = []
        n_bytes = 0
        while part := await self.read_chunk():
            n_bytes += len(part)
            if n_bytes > MAX_ANSWER_BYTES:
                raise ConnectionBrokenError("the answer is too large")
            parts.append(part)
        return b"".join(parts)

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the answer's body, b"" at its end."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                if event.data:
                    return bytes(event.data)
                continue
            if isinstance(event, h11.EndOfMessage):
                return b""
            raise ConnectionBrokenError("answer cut")

    def finish(self, now_ms: float) -> bool:
        """End the exchange; return whether the connection can carry another."""
        trailing, _ = self._h11.trailing_data
        is_done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        if not self.is_open or trailing or not is_done:
            self.close()
            return False
        self._h11.start_next_cycle()
        self._request = None
        self.idle_since_ms = now_ms
        return True

    async def _next_event(self) -> h11.Event:
        while True:
            if self._broken:
                raise ConnectionBrokenError(self._broken)
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionBrokenError(str(error)) from error
            if event is h11.PAUSED:
                raise ConnectionBrokenError("bytes after the answer")
            if event is not h11.NEED_DATA:
                return event
            self._readable = asyncio.get_running_loop().create_future()
            await self._readable

    async def _skip_answer(self) -> None:
        """Drop an answer to another request and expect the right one after it."""
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            if self._n_received > MAX_BYTES_BEFORE_ANSWER:
                raise ConnectionBrokenError("too much before the answer")
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionBrokenError("answer to another request")
        if self._h11.their_state is not h11.DONE:
            raise ConnectionBrokenError("closed after an answer to another request")
        trailing, _ = self._h11.trailing_data
        self._h11 = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        # The new parser is told of the request that was sent already.
        self._h11.send(self._request)
        if self._body:
            self._h11.send(h11.Data(data=self._body))
        self._h11.send(h11.EndOfMessage())
        if trailing:
            self._h11.receive_data(trailing)

    def _note_idle_limit(self, headers: Headers) -> None:
        for name, value in headers:
            if name == b"keep-alive" and b"timeout=" in value:
                seconds = value.split(b"timeout=")[1].split(b",")[0].strip()
                if seconds.isdigit():
                    self.idle_limit_ms = int(seconds) * 1000.0

    def _wake(self) -> None:
        if self._readable is not None and not self._readable.done():
            self._readable.set_result(None)

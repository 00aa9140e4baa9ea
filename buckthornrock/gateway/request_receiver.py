"""Parses the requests that arrive on a client connection, within the limits on them.

Does no I/O, except that it asks a client for the body of its request (status 100).
"""

import enum
from collections.abc import Callable
from typing import NamedTuple

import h11

from ..catalog.configuration import ClientLimits
from ..runtime.decoding import parse_count
from .memory_budget import FIELD_BYTES, REQUEST_BYTES
from .parse_queue import MAX_EVENTS_PER_TURN
from .ports import HeaderCodec, Headers
from .requests import ClientRequest, Refusal

#: Bytes read at once from any client.
RECEIVE_BYTES = 65_536
#: Bytes beyond the limit of a head that are parsed with it: the limit counts names and
#: values but not all white space, so that a head may be a little longer.
HEAD_MARGIN_BYTES = 4_096
#: Whether a request needs its body is decided at its head if the body is longer.
EARLY_DECISION_BYTES = 16_384


class ParseState(enum.Enum):
    """What the received bytes amount to after a turn of parsing."""

    COMPLETE = "a request is complete"
    INCOMPLETE = "more bytes are needed"
    UNPARSED = "the turn ended before all bytes were parsed"
    CLOSED = "no further request follows"


class Rejection(NamedTuple):
    """The error status and the reason of a request that is invalid or too large."""

    status: int
    reason: str


class RequestReceiver:
    """Assembles one request at a time from the bytes of a connection.

    Parameters
    ----------
    connection : h11.Connection
        Parses the bytes.
    limits : callable
        Returns the limits in force.
    codec : HeaderCodec
        Decodes request headers.
    now_ms : callable
        Returns monotonic time in milliseconds.
    refuse_at_head : callable or None
        See ``ClientConnectionContext``.
    write : callable
        Sends bytes to the client.

    Attributes
    ----------
    unparsed : bytearray
        Received bytes that the parser doesn't have yet.
    head : h11.Request or None
        The head of the request that is received or served.
    """

    def __init__(
        self,
        connection: h11.Connection,
        limits: Callable[[], ClientLimits],
        codec: HeaderCodec,
        now_ms: Callable[[], float],
        refuse_at_head: Callable[[ClientRequest], Refusal | None] | None,
        write: Callable[[bytes], None],
    ) -> None:
        self._h11 = connection
        self._limits = limits
        self._codec = codec
        self._now_ms = now_ms
        self._refuse_at_head = refuse_at_head
        self._write = write
        self.unparsed = bytearray()
        self.head: h11.Request | None = None
        self._request: ClientRequest | None = None
        self._n_head_bytes = 0
        self._body = bytearray()
        self._n_body_bytes = 0
        self._keeps_body = True
        #: Bytes that the parser keeps.
        self._n_partial_bytes = 0
        self._has_partial_head = False
        self._head_began_at_ms: float | None = None

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a request has arrived."""
        return self.head is not None or self._has_partial_head

    @property
    def n_held_bytes(self) -> int:
        """Bytes that are held for the request and for what follows it."""
        return (
            self._n_head_bytes
            + len(self._body)
            + len(self.unparsed)
            + self._n_partial_bytes
        )

    def parse(self) -> ParseState | Rejection:
        """Parse until a request is complete or more bytes are needed.

        A turn ends after a number of events, so that other connections have theirs.
        """
        try:
            for _ in range(MAX_EVENTS_PER_TURN):
                event = self._h11.next_event()
                if event is h11.NEED_DATA:
                    if self._feed_parser():
                        continue
                    return ParseState.INCOMPLETE
                if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return ParseState.CLOSED
                result = self._handle_event(event)
                if result is not None:
                    return result
        except h11.RemoteProtocolError as error:
            return Rejection(error.error_status_hint, str(error))
        return ParseState.UNPARSED

    def take_request(self) -> ClientRequest:
        """Return the complete request; its head and body stay accounted for."""
        request = self._request._replace(body=self._body)
        self._request = None
        self._n_head_bytes += REQUEST_BYTES
        # The parser may have received a part of the next request with this body.
        self._n_partial_bytes = len(self._h11.trailing_data[0])
        return request

    def wait_limit_ms(self) -> float:
        """Return how long the client may take to send more of a request."""
        limits = self._limits()
        buffered, _ = self._h11.trailing_data
        self._n_partial_bytes = len(buffered)
        self._has_partial_head = bool(buffered) and self.head is None
        if not self._has_partial_head:
            self._head_began_at_ms = None
            return limits.idle_timeout_ms
        now_ms = self._now_ms()
        if self._head_began_at_ms is None:
            self._head_began_at_ms = now_ms
        ends_at_ms = self._head_began_at_ms + limits.header_timeout_ms
        return max(0.0, ends_at_ms - now_ms)

    def end_request(self) -> None:
        """Drop the request that was served."""
        self.head = None
        self._body = bytearray()
        self._n_head_bytes = 0

    def release(self) -> None:
        """Drop what was received, as the connection is refused or closed.

        Nothing is parsed afterwards.
        """
        self.end_request()
        self.unparsed = bytearray()
        self._request = None
        self._n_partial_bytes = 0
        # The parser has a buffer too.
        self._h11 = None

    def _feed_parser(self) -> bool:
        """Pass on received bytes to the parser; return whether there were any."""
        if not self.unparsed:
            return False
        n_bytes = RECEIVE_BYTES
        if self.head is None:
            n_bytes = self._limits().max_header_bytes + HEAD_MARGIN_BYTES
        if len(self.unparsed) <= n_bytes:
            self._h11.receive_data(self.unparsed)
            self.unparsed = bytearray()
            return True
        self._h11.receive_data(self.unparsed[:n_bytes])
        del self.unparsed[:n_bytes]
        return True

    def _handle_event(self, event: h11.Event) -> ParseState | Rejection | None:
        """Process an event; return None if parsing goes on."""
        if isinstance(event, h11.Request):
            return self._on_head(event)
        if isinstance(event, h11.Data):
            self._n_body_bytes += len(event.data)
            if self._n_body_bytes > self._limits().max_body_bytes:
                return Rejection(413, "the request body is too large")
            if self._keeps_body:
                self._body += event.data
            return None
        return ParseState.COMPLETE if isinstance(event, h11.EndOfMessage) else None

    def _on_head(self, head: h11.Request) -> Rejection | None:
        limits = self._limits()
        self.head = head
        self._has_partial_head = False
        self._head_began_at_ms = None
        self._n_partial_bytes = 0
        self._body, self._n_body_bytes = bytearray(), 0
        n_head_bytes = _head_size(head)
        self._n_head_bytes = n_head_bytes + FIELD_BYTES * len(head.headers)
        if n_head_bytes > limits.max_header_bytes:
            return Rejection(431, "the request head is too large")
        headers = list(head.headers)
        fields = self._codec.decode_request(headers)
        self._request = ClientRequest(
            method=head.method,
            target=head.target,
            headers=headers,
            body=b"",
            fields=fields,
            received_at_ms=self._now_ms(),
        )
        n_announced = _announced_body_bytes(headers)
        if n_announced is not None and n_announced > limits.max_body_bytes:
            return Rejection(413, "the request body is too large")
        self._keeps_body = True
        if n_announced is None or n_announced > EARLY_DECISION_BYTES:
            self._decide_at_head()
        if self._h11.they_are_waiting_for_100_continue:
            self._write(self._h11.send(h11.InformationalResponse(status_code=100)))
        return None

    def _decide_at_head(self) -> None:
        """Decide whether the body is kept; a request that is refused needs none.

        The refusal is sent once the body, which is discarded, has arrived.
        """
        if self._refuse_at_head is None:
            self._keeps_body = False
            return
        refusal = self._refuse_at_head(self._request)
        if refusal is not None:
            self._keeps_body = False
            self._request = self._request._replace(refusal=refusal)


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

"""Connections and requests of cheroot, without its blocking reads."""

import io
import logging
import re
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from enum import Enum, auto
from typing import NamedTuple

from cheroot.server import (
    HeaderReader,
    HTTPConnection,
    HTTPRequest,
    HTTPServer,
)
from expression import Result

from .bodies import (
    MALFORMED,
    MAX_PARTS_PER_TURN,
    TOO_LARGE,
    BodyCollector,
    BodyProblem,
    body_collector,
)
from .budget import Holder, Limit, Phase, head_cost_bytes

HEAD_END = re.compile(rb"\n\r?\n")
_CONTINUE = re.compile(rb"(?im)^expect:[ \t]*100-continue[ \t]*\r$")
READ_BYTES = 65_536
#: Reads of a body by the thread that has parsed its head. They save most bodies the way
#: to the receiving thread and back.
N_READS_AHEAD = 4
#: What is smaller is sent without making room for it, so that a refusal can always be
#: written.
SMALL_BYTES = 4_096


class NextStep(Enum):
    """What happens to a connection after a worker thread has handled it.

    ``LINGER`` closes it, but reads for a while what the client still sends.
    """

    HEAD = auto()
    BODY = auto()
    LINGER = auto()
    CLOSE = auto()


class RequestHead(NamedTuple):
    """What is known of a request before its body."""

    method: str
    path: str
    authorization: str


class ServingLimits(NamedTuple):
    """What a worker thread needs to know of the server's limits.

    Parameters
    ----------
    max_body_bytes : int
        Larger request bodies are refused; 0 means no limit.
    read_timeout_ms : int
        A client that takes nothing of a response for so long is cut off.
    send_timeout_ms : int
        Time within which a client must take what is sent at once.
    needs_body : callable
        ``needs_body(head)`` tells whether the handler reads the request's body.
    hold : callable
        ``hold(holder, n_bytes, phase)`` sets what a connection holds.
    forget : callable
        ``forget(holder)`` ends the accounting of a connection.
    make_room : callable
        ``make_room(holder)`` returns whether ``holder`` is within the limits.
    on_limit : callable
        Called for a limit that closes a connection.
    """

    max_body_bytes: int
    read_timeout_ms: int
    send_timeout_ms: int
    needs_body: Callable[[RequestHead], bool]
    hold: Callable[[Holder, int, Phase], None]
    forget: Callable[[Holder], None]
    make_room: Callable[[Holder], bool]
    on_limit: Callable[[Limit], None]


class _HeadFields(HeaderReader):
    """Reads header fields, but leaves ``Expect`` to :class:`Connection`."""

    def _allow_header(self, key_name: bytes) -> bool:
        # cheroot would answer it before it is known whether the body is wanted.
        return key_name != b"Expect"


class Request(HTTPRequest):
    """A request whose body was received before it is handled."""

    header_reader = _HeadFields()

    def respond(self) -> None:
        """Call the handler and end its response."""
        # The rest of the body is not read from here, as cheroot would do it.
        self.rfile = io.BytesIO()
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")


class _ResponseWriter:
    """Writes to a connection's socket, with a limit on time and held bytes."""

    def __init__(self, connection: "Connection") -> None:
        self._connection = connection

    def write(self, data: bytes) -> int:
        """Send ``data``.

        Raises
        ------
        ConnectionError
            If the client has left, or does not take the data in time.
        """
        limits = self._connection.limits
        sock = self._connection.socket
        deadline_at_s = time.monotonic() + limits.send_timeout_ms / 1000.0
        left = memoryview(data)
        self._connection.hold(len(data), Phase.SENDING)
        if len(data) > SMALL_BYTES:
            limits.make_room(self._connection.holder)
        try:
            while left:
                left = left[sock.send(left) :]
                self._connection.holder.progressed_at_ms = time.monotonic() * 1000.0
                if left and time.monotonic() > deadline_at_s:
                    raise TimeoutError
        except TimeoutError as error:
            limits.on_limit(Limit.SEND_TIMEOUT)
            raise ConnectionAbortedError("the client did not read in time") from error
        finally:
            self._connection.hold(0, Phase.SERVED)
        return len(data)

    def flush(self) -> None:
        """Do nothing, as no data is kept."""


class Connection(HTTPConnection):
    """A client's connection.

    Attributes
    ----------
    received : bytearray
        Data that was received and not used yet.
    parsed : Request or None
        A request whose body is not complete.
    body : BodyCollector or None
        The body of the request in progress.
    holder : Holder or None
        Entry of the connection in the server's budget.
    head_cost_bytes : int
        Memory of the parsed head.
    next_step : NextStep
        What to do with the connection after :meth:`communicate`.
    """

    RequestHandlerClass = Request

    def __init__(
        self, server: HTTPServer, sock: socket.socket, makefile: object = None
    ) -> None:
        # cheroot's reader and writer would read ahead, and hold 16 KB.
        super().__init__(server, sock, lambda *_: None)
        self.limits: ServingLimits = server.serving_limits
        self.received = bytearray()
        self.rfile = io.BytesIO()
        self.wfile = _ResponseWriter(self)
        self.parsed: Request | None = None
        self.body: BodyCollector | None = None
        self.body_deadline_at_s = 0.0
        self.holder: Holder | None = None
        self.head_cost_bytes = 0
        self.next_step = NextStep.CLOSE
        self._n_body_bytes = 0
        self._expects_continue = False

    def communicate(self) -> bool:
        """Handle a request as far as it was received; return whether to go on."""
        self.socket.settimeout(self.limits.read_timeout_ms / 1000.0)
        try:
            self.next_step = self._handle()
        except OSError:
            return False
        return self.next_step is not NextStep.CLOSE

    def hold(self, n_bytes: int, phase: Phase) -> None:
        """Set what is held besides the request itself."""
        held = len(self.received) + self.head_cost_bytes + self._n_body_bytes
        self.limits.hold(self.holder, held + n_bytes, phase)

    def read_body(self) -> Result[bytes, BodyProblem]:
        """Return the body of the request in progress."""
        return self.body.result()

    def hold_decoded(self, n_bytes: int) -> bool:
        """Account for a decoded body; return False if there is no room for it."""
        self._n_body_bytes += n_bytes
        self.hold(0, Phase.SERVED)
        if self.limits.make_room(self.holder):
            return True
        # The refusal must not be chosen to make room for this body.
        self._n_body_bytes = 0
        self.hold(0, Phase.SERVED)
        self.limits.on_limit(Limit.HELD_BYTES)
        return False

    def drop_request(self) -> None:
        """Free what was received."""
        self.received = bytearray()
        self.parsed = None
        if self.body is not None:
            self.body.free()
            self.body = None

    def close(self) -> None:
        """Close the socket, and forget what the connection held.

        Two threads may close a connection, as one that is refused is closed to make
        room for another. An exception here would end cheroot's worker thread.
        """
        if self.holder is not None:
            self.limits.forget(self.holder)
        self.drop_request()
        with suppress(OSError):
            super().close()
        self.socket.close()

    def _handle(self) -> NextStep:
        request, self.parsed = self.parsed, None
        if request is None:
            request = self._parse()
            if request is None:
                return NextStep.LINGER
            needs_body = self.limits.needs_body(_head_of(request))
            if needs_body and not self.body.is_complete:
                self._receive_available()
            if needs_body and not self.body.is_complete:
                return self._await_body(request)
        try:
            return self._respond(request)
        finally:
            self.body = None
            self.head_cost_bytes = 0
            self._n_body_bytes = 0

    def _parse(self) -> Request | None:
        """Parse the head; return None if the request was refused."""
        head = self._take_head()
        self.head_cost_bytes = head_cost_bytes(head)
        self.hold(0, Phase.SERVED)
        request = Request(self.server, self)
        if not self.limits.make_room(self.holder):
            self.head_cost_bytes = 0
            self.limits.on_limit(Limit.HELD_BYTES)
            request.simple_response("503 Service Unavailable")
            return None
        self.rfile = io.BytesIO(head)
        request.parse_request()
        self.rfile = io.BytesIO()
        if not request.ready:
            return None
        self._expects_continue = _CONTINUE.search(head) is not None
        self.body = body_collector(
            request.inheaders, request.chunked_read, self.limits.max_body_bytes
        )
        self.body.take(self.received, MAX_PARTS_PER_TURN)
        return request

    def _take_head(self) -> bytes:
        """Return the head, or all that was received if it has no end."""
        end = HEAD_END.search(self.received)
        if end is None and len(self.received) > self.server.max_request_header_size:
            self.limits.on_limit(Limit.HEAD_BYTES)
        n_bytes = end.end() if end else len(self.received)
        head = bytes(self.received[:n_bytes])
        del self.received[:n_bytes]
        return head

    def _receive_available(self) -> None:
        """Take what has arrived of the body, so that most need no second thread.

        A body with more small chunks than one turn takes is left to the receiving
        thread.
        """
        self.socket.setblocking(False)
        with suppress(BlockingIOError):
            for _ in range(N_READS_AHEAD):
                if self.body.is_complete or not self.body.needs_data:
                    break
                part = self.socket.recv(READ_BYTES)
                if not part:
                    self.body.fail(MALFORMED)
                self.received += part
                self.body.take(self.received, MAX_PARTS_PER_TURN)
        self.socket.settimeout(self.limits.read_timeout_ms / 1000.0)
        self._n_body_bytes = len(self.body)
        self.hold(0, Phase.SERVED)

    def _await_body(self, request: Request) -> NextStep:
        self.parsed = request
        if self._expects_continue:
            self.socket.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        return NextStep.BODY

    def _respond(self, request: Request) -> NextStep:
        is_read = self.body.is_complete and self.body.problem is None
        if not is_read:
            # What comes next belongs to a body that nobody reads.
            request.close_connection = True
        if self.body.problem is TOO_LARGE:
            self.limits.on_limit(Limit.BODY_BYTES)
        self._n_body_bytes = len(self.body)
        self.hold(0, Phase.SERVED)
        try:
            request.respond()
        except Exception as error:  # noqa: BLE001 - the handler may raise anything
            self._report(request, error)
            return NextStep.LINGER
        if not request.close_connection:
            return NextStep.HEAD
        return NextStep.CLOSE if is_read else NextStep.LINGER

    def _report(self, request: Request, error: Exception) -> None:
        """Respond with 500 if the handler failed before it responded."""
        if not isinstance(error, ConnectionError):
            self.server.error_log(repr(error), logging.ERROR, traceback=True)
        if not request.sent_headers:
            with suppress(OSError):
                request.simple_response("500 Internal Server Error")


def _head_of(request: Request) -> RequestHead:
    return RequestHead(
        request.method.decode("ascii"),
        request.path.decode("latin-1"),
        request.inheaders.get(b"Authorization", b"").decode("latin-1"),
    )

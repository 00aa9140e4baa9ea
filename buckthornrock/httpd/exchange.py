"""The exchange of one request and its response."""

import io
import select
import socket
import threading
from contextlib import suppress
from typing import NamedTuple

import msgspec
from cheroot.server import HTTPRequest
from expression import Error, Result

from .bodies import BodyProblem
from .budget import decoded_cost_bytes

_REASONS = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    410: "Gone",
    411: "Length Required",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Overloaded(NamedTuple):
    """The clients' requests hold more memory than the settings allow."""

    retry_after_ms: int = 1_000

    code = "overloaded"


class Exchange:
    """Reads one request and writes its one response.

    Attributes
    ----------
    method, path, query : str
        From the request line; the path is percent-decoded.
    target : str
        Path and query exactly as in the request line.
    headers : dict of str to str
        Names are in lower case.
    is_started : bool
        Whether a response head was sent.
    request_id : str
        Set by the handler, for a response that another thread sends in its place.
    """

    def __init__(self, request: HTTPRequest) -> None:
        self._request = request
        self.method = request.method.decode("ascii")
        self.path = request.path.decode("latin-1")
        self.query = request.qs.decode("latin-1")
        self.target = request.uri.decode("latin-1")
        self.headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in request.inheaders.items()
        }
        self.is_started = False
        self.request_id = ""
        self._lock = threading.Lock()
        self._is_responding = False
        self._is_taken_over = False

    @property
    def socket(self) -> socket.socket:
        """The caller's socket, for polling and for writing a streamed body."""
        return self._request.conn.socket

    def read_body(
        self, is_decoded: bool = False
    ) -> Result[bytes, BodyProblem | Overloaded]:
        """Return the whole request body.

        Parameters
        ----------
        is_decoded : bool
            Whether the caller decodes the body as JSON, which takes a multiple of its
            size.
        """
        connection = self._request.conn
        body = connection.read_body()
        if body.is_error() or not is_decoded:
            return body
        if connection.hold_decoded(decoded_cost_bytes(body.ok)):
            return body
        return Error(Overloaded())

    def respond(
        self, status: int, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        """Send a complete response."""
        self._set_head(status, headers or {})
        self._request.outheaders.append((b"Content-Length", b"%d" % len(body)))
        self._send_head()
        self._request.conn.wfile.write(body)

    def respond_json(
        self, status: int, value: object, headers: dict[str, str] | None = None
    ) -> None:
        """Send ``value`` as a JSON response."""
        head = {"Content-Type": "application/json", **(headers or {})}
        self.respond(status, msgspec.json.encode(value), head)

    def start_stream(self, status: int, headers: dict[str, str]) -> None:
        """Send a response head; the body follows through :meth:`send_part`."""
        self._set_head(status, headers)
        self._send_head()
        self._request.conn.wfile.flush()

    def stream_head(self, status: int, headers: dict[str, str]) -> bytes:
        """Return the head of a streamed response instead of sending it.

        The caller of this method sends the head, and then the parts as
        :meth:`frame_part` encodes them. This is for a sender that must not block.
        """
        connection = self._request.conn
        writer = connection.wfile
        connection.wfile = io.BytesIO()
        try:
            self._set_head(status, headers)
            self._send_head()
            return connection.wfile.getvalue()
        finally:
            connection.wfile = writer

    def frame_part(self, part: bytes) -> bytes:
        """Return a part of a streamed body, as a chunk if the body is chunked."""
        if self._request.chunked_write:
            return b"%x\r\n%b\r\n" % (len(part), part)
        return part

    def send_part(self, part: bytes) -> None:
        """Send a part of a streamed body.

        Raises
        ------
        ConnectionError
            If the caller has closed the connection, or doesn't read in time.
        """
        self._request.conn.wfile.write(self.frame_part(part))

    def take_over(self, status: int, body: bytes, headers: dict[str, str]) -> bool:
        """Respond in place of the handler's thread, and end the connection.

        Return False if the handler has begun to respond. If it begins later, its first
        attempt raises ``ConnectionError``. This never blocks.
        """
        with self._lock:
            if self._is_responding:
                return False
            self._is_taken_over = True
            # Nothing else may be sent on this connection.
            self._request.sent_headers = True
        fields = {
            **headers,
            "Content-Length": str(len(body)),
            "Connection": "close",
        }
        lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        with suppress(OSError):
            if _is_writable(self.socket):
                self.socket.send(head + body)
            self.socket.shutdown(socket.SHUT_WR)
        return True

    def abort(self) -> None:
        """Close the connection without the last chunk, so that truncation shows."""
        self._request.chunked_write = False
        self.close_after_response()

    def close_after_response(self) -> None:
        """Close the connection after this response."""
        self._request.close_connection = True

    def _set_head(self, status: int, headers: dict[str, str]) -> None:
        with self._lock:
            if self._is_taken_over:
                raise ConnectionAbortedError("another thread has responded")
            self._is_responding = True
        reason = _REASONS.get(status, "Status")
        self._request.status = f"{status} {reason}".encode()
        pairs = headers.items() if isinstance(headers, dict) else headers
        self._request.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in pairs
        ]

    def _send_head(self) -> None:
        self.is_started = True
        self._request.sent_headers = True
        self._request.send_headers()


def _is_writable(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLOUT)
    return bool(poll.poll(0))

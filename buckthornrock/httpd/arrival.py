"""A request that is not complete yet, and what its connection sends and receives."""

import threading
import time

from .connection import HEAD_END, Connection

#: Bytes at the end of the received data in which a head's end may have begun; they
#: are searched again with the next part.
_END_OVERLAP_BYTES = 2
_REFUSAL = (
    b"HTTP/1.1 %s\r\nContent-Length: 0\r\nRetry-After: 1\r\nConnection: close\r\n\r\n"
)
TIMEOUT_RESPONSE = _REFUSAL.replace(b"Retry-After: 1\r\n", b"") % b"408 Request Timeout"
OVERLOADED_RESPONSE = _REFUSAL % b"503 Service Unavailable"


class Arrival:
    """A request that is not complete yet, or a refused connection."""

    def __init__(self, connection: Connection, timeout_s: float) -> None:
        self.connection = connection
        self.deadline_at_s = time.monotonic() + timeout_s
        self.is_lingering = False
        # Whether it waits for its turn to parse; nothing is read meanwhile.
        self.is_in_queue = False
        # Held while data is received or dropped; taken after the receiver's lock.
        self.lock = threading.Lock()
        self._n_searched = 0

    @property
    def has_begun(self) -> bool:
        """Whether a part of the request was received."""
        connection = self.connection
        return bool(connection.received) or connection.parsed is not None

    @property
    def has_unparsed_body(self) -> bool:
        """Whether received data of the body wasn't parsed yet."""
        body = self.connection.body
        return body is not None and not (body.is_complete or body.needs_data)

    def has_whole_head(self) -> bool:
        """Return whether the head's end has been received."""
        begin = max(0, self._n_searched - _END_OVERLAP_BYTES)
        received = self.connection.received
        self._n_searched = len(received)
        return HEAD_END.search(received, begin) is not None


def receive(connection: Connection, max_bytes: int) -> bytes | None:
    """Return received data, b"" after the end, or None if there is none now."""
    try:
        return connection.socket.recv(max_bytes)
    except BlockingIOError:
        return None
    except OSError:
        # The worker thread gets the same error and closes the connection.
        return b""


def send_refusal(connection: Connection, response: bytes) -> bool:
    """Send a refusal unless the client has left unread responses in its way."""
    try:
        return connection.socket.send(response) == len(response)
    except OSError:
        return False

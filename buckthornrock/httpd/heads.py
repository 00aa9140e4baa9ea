"""Receives request heads, so that a slow one occupies no worker thread."""

import re
import select
import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress

from cheroot.makefile import StreamReader
from cheroot.server import HTTPConnection

READ_BYTES = 65_536
CHECK_PERIOD_S = 0.25
STOP_TIMEOUT_S = 1.0
_HEAD_END = re.compile(rb"\n\r?\n")
#: Bytes at the end of the received data in which a head's end may have begun; they
#: are searched again with the next part.
_END_OVERLAP_BYTES = 2
_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class _PendingHead:
    """A request head that is not complete yet."""

    def __init__(self, connection: HTTPConnection, deadline_at_s: float) -> None:
        self.connection = connection
        self.deadline_at_s = deadline_at_s
        self.received = _read_buffered(connection)
        self._n_searched = 0

    def is_complete(self) -> bool:
        """Return whether the head's end has been received."""
        begin = max(0, self._n_searched - _END_OVERLAP_BYTES)
        self._n_searched = len(self.received)
        return _HEAD_END.search(self.received, begin) is not None


class _ReceivedReader(StreamReader):
    """Reads the data received so far, then from the socket."""

    def __init__(self, connection: HTTPConnection, received: bytes) -> None:
        super().__init__(connection.socket, "rb")
        # The buffer in which cheroot's readers keep data that they read ahead.
        self._read_buf = received


class HeadReceiver:
    """Waits in one thread for the request heads of all connections.

    Parameters
    ----------
    serve : callable
        Passes a connection to a worker thread. It is called once the head is complete,
        too long or ended early, so that reading it doesn't block.
    max_head_bytes : int
        A head that exceeds this size is passed on without waiting for its end.
    timeout_s : float
        Time within which a head must be complete.
    """

    def __init__(
        self,
        serve: Callable[[HTTPConnection], None],
        max_head_bytes: int,
        timeout_s: float,
    ) -> None:
        self._serve = serve
        self._max_head_bytes = max_head_bytes
        self._timeout_s = timeout_s
        self._poll = select.epoll()
        self._lock = threading.Lock()
        self._pending_heads: dict[int, _PendingHead] = {}
        self._is_stopped = False
        self._thread = threading.Thread(target=self._run, name="heads", daemon=True)
        self._thread.start()

    def add(self, connection: HTTPConnection) -> None:
        """Serve a connection as soon as its next request head is received."""
        pending = _PendingHead(connection, time.monotonic() + self._timeout_s)
        if pending.is_complete() or (
            _is_readable(connection) and self._receive(pending)
        ):
            self._hand_over(pending)
            return
        with self._lock:
            if self._is_stopped:
                connection.close()
                return
            self._pending_heads[connection.socket.fileno()] = pending
            self._poll.register(connection.socket, select.EPOLLIN)

    def n_begun(self) -> int:
        """Return the number of heads that are partly received."""
        with self._lock:
            return sum(
                bool(pending.received) for pending in self._pending_heads.values()
            )

    def close_idle(self) -> None:
        """Close the connections that have sent nothing of their next head."""
        for pending in self._take(lambda pending: not pending.received):
            pending.connection.close()

    def stop(self) -> None:
        """Stop the thread and close every connection whose head is pending."""
        self._is_stopped = True
        self._thread.join(STOP_TIMEOUT_S)
        for pending in self._take(lambda pending: True):
            pending.connection.close()

    def _run(self) -> None:
        checked_at_s = time.monotonic()
        while not self._is_stopped:
            for descriptor, _ in self._poll.poll(CHECK_PERIOD_S):
                self._on_readable(descriptor)
            now_s = time.monotonic()
            if now_s - checked_at_s > CHECK_PERIOD_S:
                checked_at_s = now_s
                self._close_expired(now_s)

    def _on_readable(self, descriptor: int) -> None:
        pending = self._pending_heads.get(descriptor)
        if pending is None or not self._receive(pending):
            return
        if self._take(lambda other: other is pending):
            self._hand_over(pending)

    def _receive(self, pending: _PendingHead) -> bool:
        """Read available data; return whether the connection can be handed over."""
        try:
            part = pending.connection.socket.recv(READ_BYTES)
        except OSError:
            # The worker thread gets the same error and closes the connection.
            return True
        pending.received += part
        is_too_long = len(pending.received) > self._max_head_bytes
        return not part or is_too_long or pending.is_complete()

    def _hand_over(self, pending: _PendingHead) -> None:
        connection = pending.connection
        connection.rfile = _ReceivedReader(connection, pending.received)
        self._serve(connection)

    def _close_expired(self, now_s: float) -> None:
        for pending in self._take(lambda pending: now_s >= pending.deadline_at_s):
            if pending.received:
                with suppress(OSError):
                    pending.connection.socket.send(
                        _TIMEOUT_RESPONSE, socket.MSG_DONTWAIT
                    )
            pending.connection.close()

    def _take(self, is_chosen: Callable[[_PendingHead], bool]) -> list[_PendingHead]:
        """Remove pending heads and return them; each is returned to one caller only."""
        with self._lock:
            chosen = {d: a for d, a in self._pending_heads.items() if is_chosen(a)}
            for descriptor in chosen:
                del self._pending_heads[descriptor]
                self._poll.unregister(descriptor)
        return list(chosen.values())


def _read_buffered(connection: HTTPConnection) -> bytes:
    """Return data read beyond the previous request, without blocking."""
    buffered = b""
    while connection.rfile.has_data():
        buffered += connection.rfile.read1(READ_BYTES)
    return buffered


def _is_readable(connection: HTTPConnection) -> bool:
    poll = select.poll()
    poll.register(connection.socket, select.POLLIN)
    return bool(poll.poll(0))

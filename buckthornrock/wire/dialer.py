"""A bounded pool of connected request sockets, one for each peer address."""

import contextlib
import threading
from collections import OrderedDict

import pynng

MAX_SOCKETS = 64
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1_000


class Dialer:
    """Dials a peer on first use; beyond the limit closes the least recently used."""

    def __init__(self, max_frame_bytes: int, max_sockets: int = MAX_SOCKETS) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._max_sockets = max_sockets
        self._lock = threading.Lock()
        self._sockets: OrderedDict[str, pynng.Req0] = OrderedDict()
        self._closed = False

    def open_context(self, address: str, timeout_ms: float) -> pynng.Context:
        """Return a context for one request to ``address``.

        Raises
        ------
        pynng.NNGException
            If the address can't be dialed or the dialer is closed.
        """
        with self._lock:
            if self._closed:
                raise pynng.Closed("the dialer is closed", 0)
            socket = self._sockets.get(address) or self._dial(address)
            self._sockets[address] = socket
            self._sockets.move_to_end(address)
            evicted = self._evict()
            # A new context inherits the socket's current timeouts.
            socket.send_timeout = max(1, int(timeout_ms))
            socket.recv_timeout = max(1, int(timeout_ms))
            context = socket.new_context()
        for socket in evicted:
            socket.close()
        return context

    def forget(self, address: str) -> None:
        """Close the socket of ``address``, which also stops reconnecting."""
        with self._lock:
            socket = self._sockets.pop(address, None)
        if socket:
            socket.close()

    def close(self) -> None:
        """Close all sockets."""
        with self._lock:
            self._closed = True
            sockets = list(self._sockets.values())
            self._sockets.clear()
        for socket in sockets:
            socket.close()

    def _dial(self, address: str) -> pynng.Req0:
        socket = pynng.Req0(
            recv_max_size=self._max_frame_bytes,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        socket.dial(f"tcp://{address}", block=False)
        return socket

    def _evict(self) -> list[pynng.Req0]:
        evicted = []
        while len(self._sockets) > self._max_sockets:
            evicted.append(self._sockets.popitem(last=False)[1])
        return evicted


def close_context(context: pynng.Context) -> None:
    """Close a context; its socket may already be closed."""
    with contextlib.suppress(pynng.NNGException):
        context.close()

"""Writes to a transport no more than it takes, so that large data isn't copied."""

import asyncio
from collections import deque

#: Bytes written at once. The transport copies what the socket doesn't take.
PIECE_BYTES = 65_536


class PacedWriter:
    """Keeps what waits to be sent by reference, and writes it piece by piece.

    The protocol of the transport passes on ``pause_writing`` and ``resume_writing``.

    Attributes
    ----------
    n_queued_bytes : int
        Bytes that the transport doesn't have yet.
    n_held_bytes : int
        Memory of what is queued: data stays in memory until its last piece is written.
    """

    def __init__(self, transport: asyncio.WriteTransport) -> None:
        self._transport = transport
        self._queue: deque[memoryview] = deque()
        self._is_paused = False
        self._is_closing = False
        self.n_queued_bytes = 0
        self.n_held_bytes = 0

    @property
    def takes_more(self) -> bool:
        """Whether what is written next reaches the transport at once."""
        return not self._queue and not self._is_paused

    @property
    def n_unsent_bytes(self) -> int:
        """Bytes that the socket doesn't have yet."""
        return self.n_queued_bytes + self._transport.get_write_buffer_size()

    def write(self, data: bytes | bytearray) -> None:
        """Send data after all data before it; it must not be changed any more."""
        if self.takes_more and len(data) <= PIECE_BYTES:
            self._transport.write(data)
            return
        if data:
            self._queue.append(memoryview(data))
            self.n_queued_bytes += len(data)
            self.n_held_bytes += len(data)
            self._write_pieces()

    def pause(self) -> None:
        """Write nothing for now."""
        self._is_paused = True

    def resume(self) -> None:
        """Go on writing."""
        self._is_paused = False
        self._write_pieces()

    def close(self) -> None:
        """Close the transport once everything is written."""
        self._is_closing = True
        if not self._queue:
            self._transport.close()

    def discard(self) -> None:
        """Drop what waits to be sent."""
        self._queue.clear()
        self.n_queued_bytes = self.n_held_bytes = 0

    def _write_pieces(self) -> None:
        while self._queue and not self._is_paused:
            data = self._queue.popleft()
            if len(data) > PIECE_BYTES:
                self._queue.appendleft(data[PIECE_BYTES:])
                data = data[:PIECE_BYTES]
            else:
                self.n_held_bytes -= len(data.obj)
            self.n_queued_bytes -= len(data)
            self._transport.write(data)
        if self._is_closing and not self._queue:
            self._transport.close()

"""Splits a stream of server-sent events into complete events with their ids."""

from typing import NamedTuple

from .errors import ConnectionBrokenError

#: Longest event; a stream with more bytes and no end of an event is invalid.
MAX_EVENT_BYTES = 262_144
_END = b"\n\n"


class StreamEvent(NamedTuple):
    """One event as received; ``event_id`` is None without a numeric id."""

    event_id: int | None
    raw: bytes


class EventSplitter:
    """Buffers received bytes and returns complete events."""

    def __init__(self) -> None:
        self._rest = bytearray()

    @property
    def rest(self) -> bytes:
        """Bytes of the last, incomplete event."""
        return bytes(self._rest)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events that they complete.

        Raises
        ------
        ConnectionBrokenError
            If an event is longer than ``MAX_EVENT_BYTES``.
        """
        n_searched = max(0, len(self._rest) - len(_END) + 1)
        self._rest += data
        if self._rest.find(_END, n_searched) < 0:
            if len(self._rest) > MAX_EVENT_BYTES:
                raise ConnectionBrokenError("an event exceeds the size limit")
            return []
        *events, rest = bytes(self._rest).split(_END)
        self._rest = bytearray(rest)
        return [StreamEvent(_event_id(event), event + _END) for event in events]


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None

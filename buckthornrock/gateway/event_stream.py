"""Splits a stream of server-sent events into complete events with their ids."""

import re
from typing import NamedTuple

from ..runtime.decoding import parse_count
from .errors import ConnectionBrokenError

#: Longest event; a stream with more bytes and no end of an event is invalid.
MAX_EVENT_BYTES = 262_144
_END = re.compile(rb"\n\r?\n")
_LONGEST_END_BYTES = 3


class StreamEvent(NamedTuple):
    """One event as received; ``event_id`` is None without a numeric id.

    ``is_comment`` tells that it holds nothing but comments, which servers send to keep
    a connection alive.
    """

    event_id: int | None
    raw: bytes
    is_comment: bool = False


class EventSplitter:
    """Buffers received bytes and returns complete events."""

    def __init__(self) -> None:
        self._rest = bytearray()

    @property
    def rest(self) -> bytes:
        """Bytes of the last, incomplete event."""
        return bytes(self._rest)

    @property
    def n_rest_bytes(self) -> int:
        """Size of the last, incomplete event."""
        return len(self._rest)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events that they complete.

        Raises
        ------
        ConnectionBrokenError
            If an event is longer than ``MAX_EVENT_BYTES``.
        """
        search_from = max(0, len(self._rest) - _LONGEST_END_BYTES + 1)
        self._rest += data
        events: list[StreamEvent] = []
        begin = 0
        while end := _END.search(self._rest, search_from):
            events.append(_event(bytes(self._rest[begin : end.end()])))
            begin = search_from = end.end()
        del self._rest[:begin]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ConnectionBrokenError("an event exceeds the size limit")
        return events


def _event(raw: bytes) -> StreamEvent:
    lines = [line for line in raw.splitlines() if line]
    is_comment = all(line.startswith(b":") for line in lines)
    return StreamEvent(_event_id(lines), raw, is_comment)


def _event_id(lines: list[bytes]) -> int | None:
    for line in lines:
        if line.startswith(b"id:"):
            return parse_count(line[3:].decode("latin-1"))
    return None

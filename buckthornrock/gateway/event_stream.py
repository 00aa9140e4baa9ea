"""Splits an upstream's event stream into whole events with their ids."""

from typing import NamedTuple

_END = b"\n\n"


class StreamEvent(NamedTuple):
    """One event as it was sent; ``event_id`` is None for events without one."""

    event_id: int | None
    raw: bytes


class EventSplitter:
    """Collects bytes and hands out whole events."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take in bytes; return the events that are whole now."""
        *events, self._rest = (self._rest + data).split(_END)
        return [StreamEvent(_event_id(event), event + _END) for event in events]


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None

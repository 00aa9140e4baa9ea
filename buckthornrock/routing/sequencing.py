"""Restores the order of one engine's cache events and detects lost ones."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

#: Events that may be buffered until an earlier one arrives; with more, the earlier one
#: counts as lost.
MAX_BUFFERED_EVENTS = 1_024


class SequencedEvent(Protocol):
    """What this module reads of an event."""

    seq: int


class Gap(NamedTuple):
    """Marks the place of lost events in the sequence."""

    n_lost: int


class EventSequencer:
    """Orders the events of one engine incarnation by sequence number.

    Attributes
    ----------
    next_seq : int or None
        The next expected sequence number; None before the first event.
    """

    def __init__(self, gap_wait_ms: float) -> None:
        self._gap_wait_ms = gap_wait_ms
        self._buffered: dict[int, SequencedEvent] = {}
        self._gap_since_ms = 0.0
        self.next_seq: int | None = None

    def take(
        self, events: Iterable[SequencedEvent], now_ms: float
    ) -> list[SequencedEvent | Gap]:
        """Buffer ``events`` and return those that are next in order, with gaps."""
        for event in events:
            if self.next_seq is None or event.seq >= self.next_seq:
                self._buffered[event.seq] = event
        if not self._buffered:
            return []
        if self.next_seq is None:
            self.next_seq = min(self._buffered)
        ready = self._pop_consecutive()
        if not self._buffered:
            self._gap_since_ms = 0.0
            return ready
        if ready or not self._gap_since_ms:
            self._gap_since_ms = now_ms
        if self._is_lost(now_ms):
            first_buffered = min(self._buffered)
            ready.append(Gap(first_buffered - self.next_seq))
            self.next_seq = first_buffered
            self._gap_since_ms = 0.0
            ready += self._pop_consecutive()
        return ready

    def _pop_consecutive(self) -> list[SequencedEvent | Gap]:
        ready: list[SequencedEvent | Gap] = []
        while self.next_seq in self._buffered:
            ready.append(self._buffered.pop(self.next_seq))
            self.next_seq += 1
        return ready

    def _is_lost(self, now_ms: float) -> bool:
        waited_ms = now_ms - self._gap_since_ms
        return (
            waited_ms >= self._gap_wait_ms or len(self._buffered) > MAX_BUFFERED_EVENTS
        )

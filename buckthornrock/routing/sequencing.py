"""Puts one engine's cache events back into order and finds the lost ones."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

#: Events that may wait for an earlier one; beyond that the earlier one is lost.
MAX_HELD_EVENTS = 1_024


class SequencedEvent(Protocol):
    """What this module reads of an event."""

    seq: int


class Gap(NamedTuple):
    """Stands for events that never came."""

    n_lost: int


class EventSequencer:
    """Orders the events of one engine incarnation by sequence number.

    Attributes
    ----------
    next_seq : int or None
        The number expected next; None before the first event.
    """

    def __init__(self, gap_wait_ms: float) -> None:
        self._gap_wait_ms = gap_wait_ms
        self._held: dict[int, SequencedEvent] = {}
        self._gap_since_ms = 0.0
        self.next_seq: int | None = None

    def take(
        self, events: Iterable[SequencedEvent], now_ms: float
    ) -> list[SequencedEvent | Gap]:
        """Return the events that are due, in order, with the gaps between them."""
        for event in events:
            if self.next_seq is None or event.seq >= self.next_seq:
                self._held[event.seq] = event
        if not self._held:
            return []
        if self.next_seq is None:
            self.next_seq = min(self._held)
        due = self._due()
        if not self._held:
            self._gap_since_ms = 0.0
            return due
        if due or not self._gap_since_ms:
            self._gap_since_ms = now_ms
        if self._is_lost(now_ms):
            first_held = min(self._held)
            due.append(Gap(first_held - self.next_seq))
            self.next_seq = first_held
            self._gap_since_ms = 0.0
            due += self._due()
        return due

    def _due(self) -> list[SequencedEvent | Gap]:
        due: list[SequencedEvent | Gap] = []
        while self.next_seq in self._held:
            due.append(self._held.pop(self.next_seq))
            self.next_seq += 1
        return due

    def _is_lost(self, now_ms: float) -> bool:
        waited_ms = now_ms - self._gap_since_ms
        return waited_ms >= self._gap_wait_ms or len(self._held) > MAX_HELD_EVENTS

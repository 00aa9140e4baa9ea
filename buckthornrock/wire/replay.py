"""Detects replayed frames."""

from collections import OrderedDict

#: Length of the window in sequence numbers.
WINDOW_FRAMES = 4_096
#: Limit on the sender incarnations whose windows are kept.
MAX_SENDERS = 1_024


class ReplayFilter:
    """One sliding window of sequence numbers for each sender incarnation.

    A frame older than the window counts as a replay. Frames may therefore be reordered
    only within the window. The least recently active sender is forgotten first.
    """

    def __init__(
        self, window_frames: int = WINDOW_FRAMES, max_senders: int = MAX_SENDERS
    ) -> None:
        self._window_frames = window_frames
        self._max_senders = max_senders
        self._mask = (1 << window_frames) - 1
        # Incarnation -> (highest sequence, bit i set if highest - i was seen).
        self._windows: OrderedDict[str, tuple[int, int]] = OrderedDict()

    def accept(self, incarnation: str, sequence: int) -> bool:
        """Return whether the frame is new, and record it."""
        highest, seen = self._windows.get(incarnation, (-1, 0))
        age = highest - sequence
        if age >= self._window_frames:
            return False
        if age >= 0 and seen >> age & 1:
            return False
        if age >= 0:
            window = (highest, seen | 1 << age)
        else:
            window = (sequence, self._shift(seen, -age))
        self._windows[incarnation] = window
        self._windows.move_to_end(incarnation)
        if len(self._windows) > self._max_senders:
            self._windows.popitem(last=False)
        return True

    def _shift(self, seen: int, n_frames: int) -> int:
        if n_frames >= self._window_frames:
            return 1
        return (seen << n_frames | 1) & self._mask

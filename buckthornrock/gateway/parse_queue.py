"""Lets connections with much unparsed data take turns.

A body in one-byte chunks costs about 10 us for each, hundreds of ms for what one read
returns. Each turn is short, and only some turns run in one iteration of the event loop,
so that other connections are served between them.
"""

from collections import deque
from collections.abc import Callable

#: Events that a connection may parse in one turn.
MAX_EVENTS_PER_TURN = 64
#: Turns in one iteration of the event loop, about 3 ms.
MAX_TURNS_PER_ITERATION = 4


class ParseQueue:
    """Runs the turns of all connections of a process in order.

    Parameters
    ----------
    call_soon : callable
        Calls a function in the next iteration of the event loop.
    """

    def __init__(self, call_soon: Callable[[Callable[[], None]], object]) -> None:
        self._call_soon = call_soon
        self._turns: deque[Callable[[], None]] = deque()

    def add(self, turn: Callable[[], None]) -> None:
        """Run ``turn`` after those that wait already."""
        if not self._turns:
            self._call_soon(self._run)
        self._turns.append(turn)

    def _run(self) -> None:
        # As calls of their own, so that one that fails doesn't prevent the others.
        for _ in range(min(MAX_TURNS_PER_ITERATION, len(self._turns))):
            self._call_soon(self._turns.popleft())
        if self._turns:
            self._call_soon(self._run)

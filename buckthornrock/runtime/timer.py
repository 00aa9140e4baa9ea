"""One thread that calls short functions at their due times."""

import heapq
import itertools
import threading
import time
from collections.abc import Callable


class Timer:
    """Calls functions once, after a delay, from a single daemon thread.

    The functions must not block; they pass the work to an actor or a queue.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = itertools.count()
        self._condition = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="timer", daemon=True)
        self._thread.start()

    def call_later(self, delay_ms: float, function: Callable[[], None]) -> None:
        """Call ``function`` after ``delay_ms`` milliseconds."""
        due_s = time.monotonic() + delay_ms / 1000.0
        with self._condition:
            heapq.heappush(self._heap, (due_s, next(self._counter), function))
            self._condition.notify()

    def stop(self) -> None:
        """Stop the thread; functions that are not due yet are never called."""
        with self._condition:
            self._stopped = True
            self._condition.notify()

    def _run(self) -> None:
        while True:
            function = self._next_due()
            if function is None:
                return
            function()

    def _next_due(self) -> Callable[[], None] | None:
        with self._condition:
            while not self._stopped:
                wait_s = self._wait_s()
                if wait_s is not None and wait_s <= 0:
                    return heapq.heappop(self._heap)[2]
                self._condition.wait(wait_s)
        return None

    def _wait_s(self) -> float | None:
        if not self._heap:
            return None
        return self._heap[0][0] - time.monotonic()

"""Writes log lines on a thread of its own, so that no request waits for a reader.

Lines wait in a bounded queue. While it is more than half full, lines of level info
are left out; while it is full, all are. How many were left out is written as soon as
there is room.
"""

import json
import queue
import threading
from typing import IO

from ..events import lifecycle as events

MAX_WAITING_LINES = 4_000
#: Lines of this level are left out first.
_INFO_MARK = '"level":"info"'


class LogWriter:
    """File-like object for a log; ``write`` never blocks.

    Parameters
    ----------
    stream : file-like
        Destination of the lines.
    max_waiting : int
        Lines that may wait for the destination.
    """

    def __init__(self, stream: IO[str], max_waiting: int = MAX_WAITING_LINES) -> None:
        self._stream = stream
        self._lines: queue.Queue[str] = queue.Queue(max_waiting)
        self._half = max_waiting // 2
        self._lock = threading.Lock()
        self._n_left_out = 0
        thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        thread.start()

    @property
    def n_left_out(self) -> int:
        """Lines that were left out and not yet accounted for in the log."""
        return self._n_left_out

    def write(self, line: str) -> None:
        """Queue a line, or count it as left out.

        Raises
        ------
        TypeError
            If ``line`` is not text; eliot finds out by this what a file takes.
        """
        if not isinstance(line, str):
            raise TypeError("the log takes text")
        is_crowded = self._lines.qsize() > self._half
        if is_crowded and _INFO_MARK in line:
            self._leave_out()
            return
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._leave_out()

    def flush(self) -> None:
        """Do nothing: the thread writes as fast as the destination takes lines."""

    def close(self, timeout_s: float) -> None:
        """Wait until queued lines are written, for a limited time."""
        done = threading.Event()
        waiter = threading.Thread(
            target=lambda: (self._lines.join(), done.set()), daemon=True
        )
        waiter.start()
        done.wait(timeout_s)

    def _run(self) -> None:
        while True:
            line = self._lines.get()
            try:
                self._stream.write(line)
                self._write_summary()
                if self._lines.empty():
                    self._stream.flush()
            except (OSError, ValueError):
                # The destination is gone; the process serves on without a log.
                self._leave_out()
            finally:
                self._lines.task_done()

    def _write_summary(self) -> None:
        with self._lock:
            n_left_out, self._n_left_out = self._n_left_out, 0
        if not n_left_out:
            return
        event = events.LINES_LEFT_OUT
        summary = {
            "event": event.number,
            "message_type": event.name,
            "level": event.level,
            "n_lines": n_left_out,
        }
        self._stream.write(json.dumps(summary, separators=(",", ":")) + "\n")

    def _leave_out(self) -> None:
        with self._lock:
            self._n_left_out += 1

"""Writes log lines in a background thread, so that no request waits for log output.

Lines wait in a queue that is bounded by their number and their size. While it is more
than half full, lines of level info are dropped; while it is full, all are. The number
of dropped lines is logged as soon as a line can be written again.
"""

import json
import queue
import threading
from typing import IO

from ..events import lifecycle as events

MAX_QUEUED_LINES = 4_000
#: Clients choose request ids, so that a line may have 16,384 characters and more.
MAX_QUEUED_CHARS = 4_000_000
#: Marks lines of level info, which are dropped first.
_INFO_MARK = '"level":"info"'


class LogWriter:
    """File-like object for a log; ``write`` never blocks.

    Parameters
    ----------
    stream : file-like
        Destination of the lines.
    max_queued : int
        Capacity of the queue, in lines.
    """

    def __init__(self, stream: IO[str], max_queued: int = MAX_QUEUED_LINES) -> None:
        self._stream = stream
        self._lines: queue.Queue[str] = queue.Queue(max_queued)
        self._half = max_queued // 2
        self._lock = threading.Lock()
        self._n_queued_chars = 0
        self._n_dropped = 0
        thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        thread.start()

    @property
    def n_dropped(self) -> int:
        """Number of dropped lines that the log does not report yet."""
        return self._n_dropped

    def write(self, line: str) -> None:
        """Queue a line, or count it as dropped.

        Raises
        ------
        TypeError
            If ``line`` is not text; eliot detects the type of a file by this error.
        """
        if not isinstance(line, str):
            raise TypeError("a log line must be str")
        n_chars = self._n_queued_chars + len(line)
        is_over_half = (
            self._lines.qsize() > self._half or n_chars > MAX_QUEUED_CHARS // 2
        )
        is_info = _INFO_MARK in line
        if n_chars > MAX_QUEUED_CHARS or (is_over_half and is_info):
            self._count_dropped()
            return
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._count_dropped()
            return
        self._count_queued(len(line))

    def flush(self) -> None:
        """Do nothing: the thread writes as fast as the destination accepts lines."""

    def close(self, timeout_s: float) -> None:
        """Wait until all queued lines are written, at most ``timeout_s``."""
        done = threading.Event()
        waiter = threading.Thread(
            target=lambda: (self._lines.join(), done.set()), daemon=True
        )
        waiter.start()
        done.wait(timeout_s)

    def _run(self) -> None:
        while True:
            line = self._lines.get()
            self._count_queued(-len(line))
            try:
                self._write_line(line)
            finally:
                self._lines.task_done()

    def _write_line(self, line: str) -> None:
        """Write a line, or count it; without a destination the process keeps running.

        What was dropped is reported by the next line that can be written.
        """
        try:
            self._stream.write(line)
            if self._lines.empty():
                self._stream.flush()
        except (OSError, ValueError):
            self._count_dropped()
            return
        n_reported = self._n_dropped
        if not n_reported:
            return
        try:
            self._write_summary(n_reported)
            self._stream.flush()
        except (OSError, ValueError):
            return
        self._count_dropped(-n_reported)

    def _write_summary(self, n_dropped: int) -> None:
        event = events.LINES_LEFT_OUT
        summary = {
            "event": event.number,
            "message_type": event.name,
            "level": event.level,
            "n_lines": n_dropped,
        }
        self._stream.write(json.dumps(summary, separators=(",", ":")) + "\n")

    def _count_queued(self, n_chars: int) -> None:
        with self._lock:
            self._n_queued_chars += n_chars

    def _count_dropped(self, n_lines: int = 1) -> None:
        with self._lock:
            self._n_dropped += n_lines

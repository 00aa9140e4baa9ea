"""Logs values that can't be decoded, each once in a while and not too many."""

from collections.abc import Callable

from ..events import gateway as events
from ..telemetry import Telemetry

#: A value that is read again and again is logged once in this time.
PERIOD_MS = 60_000.0
MAX_LINES_PER_PERIOD = 32
#: Longest quoted name or reason; both may hold what another program wrote.
MAX_QUOTED_CHARS = 200


class UndecodableLog:
    """Bounds the log lines about values that other programs wrote."""

    def __init__(self, telemetry: Telemetry, now_ms: Callable[[], float]) -> None:
        self._telemetry = telemetry
        self._now_ms = now_ms
        self._began_at_ms = now_ms()
        self._logged: set[tuple[str, str]] = set()

    def log(self, what: str, reason: str) -> None:
        """Log that the value named ``what`` can't be decoded, unless just done."""
        now_ms = self._now_ms()
        if now_ms - self._began_at_ms >= PERIOD_MS:
            self._began_at_ms = now_ms
            self._logged.clear()
        line = (what[:MAX_QUOTED_CHARS], reason[:MAX_QUOTED_CHARS])
        if line in self._logged or len(self._logged) >= MAX_LINES_PER_PERIOD:
            return
        self._logged.add(line)
        self._telemetry.log(events.UNDECODABLE, what=line[0], reason=line[1])

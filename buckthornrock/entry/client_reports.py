"""Metrics and bounded log lines about limits on clients."""

import threading
from collections.abc import Callable

from ..events import entry as events
from ..httpd import Limit
from ..telemetry import Telemetry
from ..telemetry.metrics import CLIENT_LIMITS

#: Least time between two log lines about one limit of one port.
LOG_PERIOD_MS = 10_000.0
#: Log lines of refusals that any client can cause.
MAX_REFUSALS_PER_S = 20
MAX_REASON_CHARS = 500


class LineBudget:
    """Decides which lines of one kind are written.

    Parameters
    ----------
    n_lines, period_ms : int, float
        At most ``n_lines`` are written in each period.
    now_ms : callable
        Monotonic clock.
    """

    def __init__(
        self, n_lines: int, period_ms: float, now_ms: Callable[[], float]
    ) -> None:
        self._max_lines = n_lines
        self._period_ms = period_ms
        self._now_ms = now_ms
        self._lock = threading.Lock()
        self._period_began_ms = now_ms() - period_ms
        self._n_written = 0
        self._n_left_out = 0

    def take(self) -> int | None:
        """Return how many lines were left out before this one, or None to skip it."""
        with self._lock:
            now_ms = self._now_ms()
            if now_ms - self._period_began_ms >= self._period_ms:
                self._period_began_ms = now_ms
                self._n_written = 0
            if self._n_written >= self._max_lines:
                self._n_left_out += 1
                return None
            self._n_written += 1
            n_left_out, self._n_left_out = self._n_left_out, 0
            return n_left_out


def limit_reporter(
    telemetry: Telemetry, now_ms: Callable[[], float], port_name: str
) -> Callable[[Limit], None]:
    """Return a function that counts a limit and logs it once in a while."""
    budgets = {limit: LineBudget(1, LOG_PERIOD_MS, now_ms) for limit in Limit}

    def on_limit(limit: Limit) -> None:
        telemetry.metrics.incr(CLIENT_LIMITS, label=f"{port_name}.{limit.value}")
        n_left_out = budgets[limit].take()
        if n_left_out is None:
            return
        telemetry.log(
            events.CLIENT_LIMIT_REACHED,
            port=port_name,
            limit=limit.value,
            n_clients=n_left_out + 1,
        )

    return on_limit


def error_reporter(
    telemetry: Telemetry, now_ms: Callable[[], float], port_name: str
) -> Callable[..., None]:
    """Return a function that logs errors of the HTTP server once in a while."""
    budget = LineBudget(1, LOG_PERIOD_MS, now_ms)

    def log_error(message: str = "", level: int = 0, traceback: bool = False) -> None:
        n_left_out = budget.take()
        if n_left_out is None:
            return
        telemetry.log(
            events.SERVER_ERROR,
            port=port_name,
            reason=message[:MAX_REASON_CHARS],
            n_left_out=n_left_out,
        )

    return log_error

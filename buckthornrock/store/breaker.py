"""Circuit breaker for calls to a service that does not answer."""

import random

N_FAILURES_TO_OPEN = 5
MIN_OPEN_MS = 200.0
#: Short, because callers wait for the service to come back.
MAX_OPEN_MS = 500.0
#: A trial call whose caller never reported its outcome is abandoned after this time.
TRIAL_TIMEOUT_MS = 10_000.0


class Breaker:
    """Opens after consecutive failures, then allows one trial call at a time.

    It does no I/O: the caller passes in the time and the random source.
    """

    def __init__(self) -> None:
        self._n_failures = 0
        self._open_ms = MIN_OPEN_MS
        self._open_until_ms = 0.0
        self._trial_started_at_ms: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether all calls but trial calls are refused."""
        return self._n_failures >= N_FAILURES_TO_OPEN

    def allows(self, now_ms: float) -> bool:
        """Return whether a call may start now."""
        if not self.is_open:
            return True
        if now_ms < self._open_until_ms:
            return False
        started_at_ms = self._trial_started_at_ms
        return started_at_ms is None or now_ms - started_at_ms >= TRIAL_TIMEOUT_MS

    def on_start(self, now_ms: float) -> None:
        """Record the start of an allowed call, whose outcome must be reported."""
        if self.is_open:
            self._trial_started_at_ms = now_ms

    def on_success(self) -> None:
        """Close the breaker."""
        self._n_failures = 0
        self._open_ms = MIN_OPEN_MS
        self._trial_started_at_ms = None

    def on_failure(self, now_ms: float, rng: random.Random) -> None:
        """Record a failure; open the breaker, or keep it open longer than before."""
        self._n_failures += 1
        self._trial_started_at_ms = None
        if not self.is_open:
            return
        self._open_until_ms = now_ms + self._open_ms * (0.5 + rng.random())
        self._open_ms = min(MAX_OPEN_MS, self._open_ms * 2.0)


def backoff_ms(attempt: int, rng: random.Random) -> float:
    """Return the wait before retry number ``attempt`` (0 first), with full jitter."""
    return rng.random() * min(1_000.0, 50.0 * 2.0**attempt)

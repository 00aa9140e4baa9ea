"""Limits and delays the retries of repeatable calls to plain services."""

import random
import threading

RETRY_RATIO = 0.1
MAX_SAVED_RETRIES = 10.0
BASE_DELAY_MS = 20.0
MAX_DELAY_MS = 1_000.0


class RetryBudget:
    """Limits retries to a share of the calls, so that they don't worsen an overload."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._n_saved = MAX_SAVED_RETRIES

    def note_request(self) -> None:
        """Add the share of a retry that one call allows."""
        with self._lock:
            self._n_saved = min(MAX_SAVED_RETRIES, self._n_saved + RETRY_RATIO)

    def try_take(self) -> bool:
        """Take one retry from the budget; return False if there is none."""
        with self._lock:
            if self._n_saved < 1.0:
                return False
            self._n_saved -= 1.0
            return True


def retry_delay_ms(n_failed: int, rng: random.Random) -> float:
    """Return the delay before the next attempt: exponential, with full jitter."""
    ceiling_ms = min(MAX_DELAY_MS, BASE_DELAY_MS * 2.0 ** (n_failed - 1))
    return rng.uniform(0.0, ceiling_ms)

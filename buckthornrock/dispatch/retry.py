"""Limits and delays the retries of completions: retry budget and jittered backoff."""

import random

#: Retries added to the budget by each request.
RETRY_SHARE = 0.2
#: Retries added to the budget per second whatever the traffic, so that an instance
#: with little traffic can retry too.
MIN_RETRIES_PER_S = 2.0
MAX_SAVED_RETRIES = 50.0
BACKOFF_BASE_MS = 10.0
BACKOFF_MAX_MS = 500.0


class RetryBudget:
    """Limits retries to a share of the requests, so that they don't multiply load.

    Parameters
    ----------
    started_at_ms : float
        Time from which elapsed time adds retries.
    """

    def __init__(self, started_at_ms: float) -> None:
        self._n_saved = MIN_RETRIES_PER_S
        self._refilled_at_ms = started_at_ms

    def note_request(self) -> None:
        """Add the share of a retry that one request allows."""
        self._n_saved = min(MAX_SAVED_RETRIES, self._n_saved + RETRY_SHARE)

    def try_take(self, now_ms: float) -> bool:
        """Take one retry from the budget; return False if there is none."""
        elapsed_s = max(0.0, now_ms - self._refilled_at_ms) / 1000.0
        earned = elapsed_s * MIN_RETRIES_PER_S
        self._n_saved = min(MAX_SAVED_RETRIES, self._n_saved + earned)
        self._refilled_at_ms = now_ms
        if self._n_saved < 1.0:
            return False
        self._n_saved -= 1.0
        return True


def backoff_ms(n_failures: int, remaining_ms: float, rng: random.Random) -> float:
    """Return a random delay before the next attempt, never past the deadline.

    The first retry goes to another engine and needs only a short delay. Later delays
    are spread out, so that many failed requests do not retry at the same time.
    """
    ceiling_ms = min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2.0 ** max(0, n_failures - 1))
    return min(rng.uniform(0.0, ceiling_ms), max(0.0, remaining_ms))

"""Decides what becomes of a job's run."""

from typing import Literal

from ..errors import Failure

#: Runs that failed at an upstream before the job fails for good.
MAX_ATTEMPTS = 4
#: Lost holders after which each start of a segment's jobs is noted first.
MAX_LOSSES = 3
#: Noted starts that came to no end before a job counts as harmful.
MAX_NOTED_ATTEMPTS = 3
RETRY_DELAY_MS = 1_000
MAX_RETRY_DELAY_MS = 60_000

#: Nothing was run: the job waits and tries again, as often as it takes.
_NOT_STARTED = frozenset(
    {
        "limit-reached",
        "queue-full",
        "too-late",
        "no-engine",
        "unavailable",
        "unknown-profile",
        # The change that brought the class may not have arrived here yet.
        "unknown-work-class",
        "no-trusted-profile",
        "kv-unavailable",
        "caller-gone",
    }
)
#: A run failed on the way: it is tried again, but not for ever.
_MAY_PASS = frozenset(
    {
        "attempt-failed",
        "stream-broken",
        "upstream-refused",
        "answer-incomplete",
        "deadline-exceeded",
        "run-broken",
    }
)

Verdict = Literal["wait", "retry", "fail"]


def judge(failure: Failure, n_attempts: int) -> Verdict:
    """Return what to do after a run that failed; ``n_attempts`` includes it."""
    if failure.code in _NOT_STARTED:
        return "wait"
    if failure.code in _MAY_PASS and n_attempts < MAX_ATTEMPTS:
        return "retry"
    return "fail"


def retry_delay_ms(failure: Failure, n_attempts: int) -> int:
    """Return how long the job waits before its next run."""
    asked_ms = getattr(failure, "retry_after_ms", 0)
    backoff_ms = RETRY_DELAY_MS * 2 ** min(n_attempts, 6)
    return min(MAX_RETRY_DELAY_MS, max(asked_ms, backoff_ms))

"""Decides whether and when a job whose run failed is tried again."""

from typing import Literal

from ..errors import Failure

#: Failed runs after which the job fails, unless nothing was run.
MAX_ATTEMPTS = 4
#: Lost holders of a segment from which on each start of its jobs is recorded first.
MAX_LOST_HOLDERS = 3
#: Recorded starts without an outcome after which the job fails, as it probably crashes
#: the instance that runs it.
MAX_RECORDED_ATTEMPTS = 3
RETRY_DELAY_MS = 1_000
MAX_RETRY_DELAY_MS = 60_000

#: Codes of failures before anything was run: the job waits and is tried again without
#: limit.
_NOT_STARTED = frozenset(
    {
        "limit-reached",
        "queue-full",
        "too-late",
        "no-engine",
        "unavailable",
        "unknown-profile",
        # The profile version that defines the class may not be known here yet.
        "unknown-work-class",
        "no-trusted-profile",
        "kv-unavailable",
        "caller-gone",
    }
)
#: Codes of failures of a run that has started: it is retried up to ``MAX_ATTEMPTS``.
_RETRYABLE = frozenset(
    {
        "attempt-failed",
        "stream-broken",
        "upstream-refused",
        "answer-incomplete",
        "deadline-exceeded",
        "run-broken",
    }
)

RetryDecision = Literal["wait", "retry", "fail"]


def decide_retry(failure: Failure, n_attempts: int) -> RetryDecision:
    """Return what to do after a failed run; ``n_attempts`` includes that run."""
    if failure.code in _NOT_STARTED:
        return "wait"
    if failure.code in _RETRYABLE and n_attempts < MAX_ATTEMPTS:
        return "retry"
    return "fail"


def retry_delay_ms(failure: Failure, n_attempts: int) -> int:
    """Return the delay before the next run: exponential backoff with a limit.

    A longer delay that the failure asks for takes precedence.
    """
    requested_ms = getattr(failure, "retry_after_ms", 0)
    backoff_ms = RETRY_DELAY_MS * 2 ** min(n_attempts, 6)
    return min(MAX_RETRY_DELAY_MS, max(requested_ms, backoff_ms))

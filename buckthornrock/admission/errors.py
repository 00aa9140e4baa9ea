"""Refusals by admission, all made before anything is sent upstream."""

from typing import NamedTuple


class LimitReached(NamedTuple):
    """The client account exceeds a rate limit of its profile."""

    client_account: str
    limit: str
    retry_after_ms: int

    code = "limit-reached"


class QueueFull(NamedTuple):
    """The queued work already exceeds its bound."""

    rank: int
    retry_after_ms: int

    code = "queue-full"


class TooLate(NamedTuple):
    """The request can't meet its deadline behind the work queued before it."""

    estimated_wait_ms: int
    retry_after_ms: int

    code = "too-late"


AdmissionFailure = LimitReached | QueueFull | TooLate

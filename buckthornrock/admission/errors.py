"""Refusals by admission; each is made before anything was sent."""

from typing import NamedTuple


class LimitReached(NamedTuple):
    """The client account asked for more than its profile allows."""

    client_account: str
    limit: str
    retry_after_ms: int

    code = "limit-reached"


class QueueFull(NamedTuple):
    """The work that waits already exceeds the bound."""

    rank: int
    retry_after_ms: int

    code = "queue-full"


class TooLate(NamedTuple):
    """The request can't make its deadline behind the work before it."""

    estimated_wait_ms: int
    retry_after_ms: int

    code = "too-late"


AdmissionFailure = LimitReached | QueueFull | TooLate

"""How an attempt at an upstream fails."""

from typing import NamedTuple


class NotReached(NamedTuple):
    """No connection could be made, or nothing was sent: the request did not run."""

    reason: str

    code = "not-reached"


class NotExecuted(NamedTuple):
    """The upstream stated that it did not and will not run the request."""

    status: int

    code = "not-executed"


class Interrupted(NamedTuple):
    """The upstream may have run the request, but returned no usable response."""

    reason: str

    code = "interrupted"


class Withdrawn(NamedTuple):
    """The request may no longer be sent as it was placed; nothing was sent."""

    reason: str

    code = "withdrawn"


AttemptFailure = NotReached | NotExecuted | Interrupted | Withdrawn


class ConnectionBrokenError(Exception):
    """The connection to an upstream closed or carried an invalid response."""

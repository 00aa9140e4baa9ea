"""Failures of attempts at upstreams."""

from typing import NamedTuple


class NotReached(NamedTuple):
    """No connection could be made; the upstream received nothing."""

    reason: str

    code = "not-reached"


class NotExecuted(NamedTuple):
    """The upstream stated that it did not and will not run the request."""

    status: int

    code = "not-executed"


class Interrupted(NamedTuple):
    """The upstream may have run the request, but gave no whole answer."""

    reason: str

    code = "interrupted"


AttemptFailure = NotReached | NotExecuted | Interrupted


class ConnectionBrokenError(Exception):
    """The connection to an upstream ended or carried bytes that are no answer."""

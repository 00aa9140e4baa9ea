"""Failures of dispatch as a caller sees them."""

from typing import NamedTuple

from ..errors import NotRun


class AnswerIncomplete(NamedTuple):
    """The answer broke off and could not be continued."""

    n_tokens_sent: int
    reason: str

    code = "answer-incomplete"


class CallOutcomeUnknown(NamedTuple):
    """A call may or may not have run; it is not sent again."""

    upstream_id: str
    reason: str
    not_run: NotRun = "unknown"

    code = "outcome-unknown"


class NoServer(NamedTuple):
    """No server of the service may get new work."""

    service: str

    code = "no-server"


class BadEventId(NamedTuple):
    """The ``Last-Event-ID`` was not given out to this client account and member."""

    code = "bad-event-id"


class EventIdMismatch(NamedTuple):
    """The ``Last-Event-ID`` belongs to another request body."""

    code = "event-id-mismatch"

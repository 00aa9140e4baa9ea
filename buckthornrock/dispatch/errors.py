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
    """No server of the service may get new work, or none could be connected to."""

    service: str
    not_run: NotRun = "true"

    code = "no-server"


class TooManyCalls(NamedTuple):
    """Calls to plain services hold as many threads as they may."""

    service: str
    not_run: NotRun
    retry_after_ms: int = 1_000

    code = "too-many-calls"


class ProfileNotInForce(NamedTuple):
    """The instance has heard of no accepted profile yet.

    Calls that may not be repeated wait for one: only it says how they are treated.
    """

    profile: str
    not_run: NotRun
    retry_after_ms: int = 1_000

    code = "profile-not-in-force"


class BadEventId(NamedTuple):
    """The ``Last-Event-ID`` was not given out to this client account and member."""

    code = "bad-event-id"


class EventIdMismatch(NamedTuple):
    """The ``Last-Event-ID`` belongs to another request body."""

    code = "event-id-mismatch"

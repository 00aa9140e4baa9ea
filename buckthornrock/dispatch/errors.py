"""Failures of dispatch that are reported to the caller."""

from typing import NamedTuple

from ..errors import NotRun


class ResponseIncomplete(NamedTuple):
    """The response ended early and could not be continued."""

    n_tokens_sent: int
    reason: str

    code = "answer-incomplete"


class CallOutcomeUnknown(NamedTuple):
    """The call may or may not have run, so it is not sent again."""

    upstream_id: str
    reason: str
    not_run: NotRun = "unknown"

    code = "outcome-unknown"


class NoServer(NamedTuple):
    """No server of the service accepts new work, or none could be reached."""

    service: str
    not_run: NotRun = "true"

    code = "no-server"


class TooManyCalls(NamedTuple):
    """The limit of concurrent calls to plain services is reached."""

    service: str
    not_run: NotRun
    retry_after_ms: int = 1_000

    code = "too-many-calls"


class ProfileNotInForce(NamedTuple):
    """The instance has not received an accepted profile yet.

    Calls that may not be repeated are refused until then, because only the accepted
    profile says how they are treated.
    """

    profile: str
    not_run: NotRun
    retry_after_ms: int = 1_000

    code = "profile-not-in-force"


class BadEventId(NamedTuple):
    """The ``Last-Event-ID`` was not issued to this client account and member."""

    code = "bad-event-id"


class EventIdMismatch(NamedTuple):
    """The ``Last-Event-ID`` belongs to another request body."""

    code = "event-id-mismatch"

"""Converts issued calls and their outcomes to messages between instances and back."""

from expression import Error, Result

from ..errors import Failure
from ..upstreams.service_client import ServiceResponse
from ..wire.idempotency_messages import IssuedCall, IssuedOutcome
from .errors import (
    ForwardedNotRun,
    KeyedOutcomeUnknown,
    KeyExpired,
    KeyNotGenuine,
    KeyReused,
    TooManyKeys,
)
from .keyed_call import replay
from .port import KeyedRequest
from .records import StoredAnswer

RETRY_AFTER_MS = 1_000

#: Failures that mean the same wherever they are made.
_FAILURES: dict[str, Failure] = {
    KeyReused.code: KeyReused(),
    KeyExpired.code: KeyExpired(),
    KeyNotGenuine.code: KeyNotGenuine(),
    TooManyKeys.code: TooManyKeys(RETRY_AFTER_MS),
}


def to_message(request: KeyedRequest, remaining_ms: float) -> IssuedCall:
    """Return the message that forwards ``request``."""
    fields = request._asdict()
    del fields["deadline_at_ms"]
    return IssuedCall(**fields, remaining_ms=int(remaining_ms))


def to_request(message: IssuedCall, now_ms: float) -> KeyedRequest:
    """Return the request that ``message`` forwards."""
    names = (name for name in KeyedRequest._fields if name != "deadline_at_ms")
    fields = {name: getattr(message, name) for name in names}
    return KeyedRequest(**fields, deadline_at_ms=now_ms + message.remaining_ms)


def answered(answer: StoredAnswer) -> IssuedOutcome:
    """Return the message about a call that ran."""
    return IssuedOutcome(
        state="answered",
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        n_body_bytes=answer.n_body_bytes,
    )


def failed(failure: Failure) -> IssuedOutcome:
    """Return the message about a call that failed."""
    if getattr(failure, "not_run", "") == "true" and failure.code not in _FAILURES:
        return IssuedOutcome("failed", ForwardedNotRun.code, failure.code)
    return IssuedOutcome("failed", failure.code, getattr(failure, "reason", ""))


def from_message(message: IssuedOutcome) -> Result[ServiceResponse, Failure]:
    """Return the outcome that ``message`` tells."""
    if message.state == "answered":
        answer = StoredAnswer(
            message.status, message.headers, message.body, message.n_body_bytes
        )
        return replay(answer)
    if message.code == ForwardedNotRun.code:
        return Error(ForwardedNotRun(message.reason, RETRY_AFTER_MS))
    unknown = KeyedOutcomeUnknown(message.reason or message.code)
    return Error(_FAILURES.get(message.code, unknown))

"""Converts calls with issued keys, and their outcomes, to and from messages."""

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
from .records import StoredResponse

RETRY_AFTER_MS = 1_000

#: Failures that have the same meaning at every instance, so that they are passed on as
#: they are.
_FAILURES: dict[str, Failure] = {
    KeyReused.code: KeyReused(),
    KeyExpired.code: KeyExpired(),
    KeyNotGenuine.code: KeyNotGenuine(),
    TooManyKeys.code: TooManyKeys(RETRY_AFTER_MS),
}


def to_call_message(request: KeyedRequest, remaining_ms: float) -> IssuedCall:
    """Return the message that forwards ``request``."""
    fields = request._asdict()
    del fields["deadline_at_ms"]
    return IssuedCall(**fields, remaining_ms=int(remaining_ms))


def to_request(message: IssuedCall, now_ms: float) -> KeyedRequest:
    """Return the request that ``message`` forwards."""
    names = (name for name in KeyedRequest._fields if name != "deadline_at_ms")
    fields = {name: getattr(message, name) for name in names}
    return KeyedRequest(**fields, deadline_at_ms=now_ms + message.remaining_ms)


def outcome_of_response(response: StoredResponse) -> IssuedOutcome:
    """Return the message for a call that ran."""
    return IssuedOutcome(
        state="answered",
        status=response.status,
        headers=response.headers,
        body=response.body,
        n_body_bytes=response.n_body_bytes,
    )


def outcome_of_failure(failure: Failure) -> IssuedOutcome:
    """Return the message for a call that failed."""
    if getattr(failure, "not_run", "") == "true" and failure.code not in _FAILURES:
        return IssuedOutcome("failed", ForwardedNotRun.code, failure.code)
    return IssuedOutcome("failed", failure.code, getattr(failure, "reason", ""))


def to_result(message: IssuedOutcome) -> Result[ServiceResponse, Failure]:
    """Return the result that ``message`` carries."""
    if message.state == "answered":
        response = StoredResponse(
            message.status, message.headers, message.body, message.n_body_bytes
        )
        return replay(response)
    if message.code == ForwardedNotRun.code:
        return Error(ForwardedNotRun(message.reason, RETRY_AFTER_MS))
    unknown = KeyedOutcomeUnknown(message.reason or message.code)
    return Error(_FAILURES.get(message.code, unknown))

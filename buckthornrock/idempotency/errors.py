"""Failures of calls with an idempotency key.

``not_run`` speaks of the call that the key names, not only of this request: a caller
whose first request was lost asks again with the same key, and ``"true"`` would tell it
that the call never ran.
"""

from typing import NamedTuple

from ..errors import NotRun


class KeyReused(NamedTuple):
    """The key was first used for a call with another route or body."""

    code = "key-reused"


class CallInProgress(NamedTuple):
    """An earlier request with this key had no outcome by the deadline."""

    retry_after_ms: int

    code = "call-in-progress"


class KeyedOutcomeUnknown(NamedTuple):
    """The call may or may not have run; it is never sent again under this key."""

    reason: str

    code = "outcome-unknown"


class AnswerNotKept(NamedTuple):
    """The call ran; its answer was too large to be kept."""

    status_of_answer: int
    n_body_bytes: int

    code = "answer-not-kept"


class KeyStoreUnavailable(NamedTuple):
    """The key could not be claimed, so this request was not sent.

    An earlier request with the same key may have been.
    """

    reason: str
    retry_after_ms: int

    code = "key-store-unavailable"


class KeyNotGenuine(NamedTuple):
    """The key looks like an issued one, but was not issued to this caller."""

    code = "key-not-genuine"


class KeyExpired(NamedTuple):
    """The issued key is too old; nothing is remembered of it."""

    code = "key-expired"


class TooManyKeys(NamedTuple):
    """The issuer holds as many outcomes as it may, so it takes no new key."""

    retry_after_ms: int
    not_run: NotRun = "true"

    code = "too-many-keys"


class ForwardedNotRun(NamedTuple):
    """The key's issuer could send the call to no server."""

    reason: str
    retry_after_ms: int
    not_run: NotRun = "true"

    code = "not-run-at-issuer"

"""Failures of calls with an idempotency key.

``not_run`` refers to the call that the key identifies, not only to this request. A
caller whose first request was lost repeats it with the same key, and would read
``"true"`` as a statement that the call has never run.
"""

from typing import NamedTuple

from ..errors import NotRun


class KeyReused(NamedTuple):
    """The key was first used for a call with another route or body."""

    code = "key-reused"


class CallInProgress(NamedTuple):
    """An earlier request with this key had no outcome when the deadline passed."""

    retry_after_ms: int

    code = "call-in-progress"


class KeyedOutcomeUnknown(NamedTuple):
    """The call may or may not have run; it is never sent again with this key."""

    reason: str

    code = "outcome-unknown"


class AnswerNotKept(NamedTuple):
    """The call ran, but its response was too large to be stored."""

    status_of_answer: int
    n_body_bytes: int

    code = "answer-not-kept"


class KeyStoreUnavailable(NamedTuple):
    """The key could not be claimed, so this request was not sent.

    An earlier request with the same key may have been sent.
    """

    reason: str
    retry_after_ms: int

    code = "key-store-unavailable"


class KeyNotGenuine(NamedTuple):
    """The key has the form of an issued key, but was not issued to this caller."""

    code = "key-not-genuine"


class KeyExpired(NamedTuple):
    """The issued key is too old; its issuer no longer stores its outcome."""

    code = "key-expired"


class TooManyKeys(NamedTuple):
    """The issuer stores its maximum number of outcomes, so it accepts no new key."""

    retry_after_ms: int
    not_run: NotRun = "true"

    code = "too-many-keys"


class ForwardedNotRun(NamedTuple):
    """The key's issuer found no server that it could send the call to."""

    reason: str
    retry_after_ms: int
    not_run: NotRun = "true"

    code = "not-run-at-issuer"

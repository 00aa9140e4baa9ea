"""Failure types that several packages share.

Every failure is a ``NamedTuple`` with a stable ``code``. A failure that only one
package produces lives in that package's own ``errors`` module. Functions return
failures in the error half of an ``expression.Result``; they raise only for
programming errors.
"""

from typing import Literal, NamedTuple, Protocol

#: What is known about whether the request had an effect: ``"true"`` means that
#: provably no upstream received any part of it.
NotRun = Literal["true", "false", "unknown"]


class Failure(Protocol):
    """The shape that every failure type shares."""

    @property
    def code(self) -> str:
        """Stable identifier of the kind of failure."""


class DeadlineExceeded(NamedTuple):
    """The deadline passed, or cannot be met any more."""

    deadline_ms: int
    not_run: NotRun

    code = "deadline-exceeded"


class Unavailable(NamedTuple):
    """Nothing that could serve the request is available now."""

    what: str
    retry_after_ms: int

    code = "unavailable"


class CallerGone(NamedTuple):
    """The caller closed its connection before the answer was complete."""

    n_tokens_sent: int

    code = "caller-gone"

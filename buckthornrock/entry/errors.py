"""Failures of reading a caller's request; nothing has been run."""

from typing import NamedTuple


class Unauthenticated(NamedTuple):
    """The request carries no key, or one that names no client account."""

    code = "unauthenticated"


class BadRequest(NamedTuple):
    """The request is malformed; ``path`` says where."""

    path: str
    reason: str

    code = "bad-request"


class UnknownWorkClass(NamedTuple):
    """The profile has no such work class."""

    profile: str
    work_class: str

    code = "unknown-work-class"


class NotDeferrable(NamedTuple):
    """The work class is urgent, or the profile in force accepts nothing deferred."""

    work_class: str

    code = "not-deferrable"


class NoSuchPath(NamedTuple):
    """Nothing is served at this path."""

    path: str

    code = "no-such-path"


class MethodNotAllowed(NamedTuple):
    """The path does not take this method."""

    method: str
    allowed: tuple[str, ...]

    code = "method-not-allowed"


class InternalError(NamedTuple):
    """The instance failed in a way that it should not."""

    code = "internal-error"


class UnknownRequest(NamedTuple):
    """No decision record of the request is kept here."""

    request_id: str

    code = "unknown-request"

"""Failures found while a request is read, before anything is run."""

from typing import NamedTuple


class Unauthenticated(NamedTuple):
    """The request carries no key, or one that names no client account."""

    code = "unauthenticated"


class BadRequest(NamedTuple):
    """The request is malformed; ``path`` names the field or header."""

    path: str
    reason: str

    code = "bad-request"


class UnknownWorkClass(NamedTuple):
    """The profile has no such work class."""

    profile: str
    work_class: str

    code = "unknown-work-class"


class NotDeferrable(NamedTuple):
    """The work class is urgent, or the profile in force accepts no deferred jobs."""

    work_class: str

    code = "not-deferrable"


class NoSuchPath(NamedTuple):
    """The path has no handler."""

    path: str

    code = "no-such-path"


class MethodNotAllowed(NamedTuple):
    """The path does not support this method."""

    method: str
    allowed: tuple[str, ...]

    code = "method-not-allowed"


class InternalError(NamedTuple):
    """The handler raised an unexpected exception."""

    code = "internal-error"


class UnknownRequest(NamedTuple):
    """No decision record of the request is kept by this instance."""

    request_id: str

    code = "unknown-request"


class InstanceStopped(NamedTuple):
    """The instance stopped while the request was running."""

    code = "instance-stopped"

"""The port through which the program reads and changes profiles."""

from collections.abc import Callable
from typing import Literal, NamedTuple

from expression import Error, Ok, Result

from .document import Profile
from .errors import (
    ApplyFailure,
    HistoryUnreadable,
    RollbackFailure,
    UnknownProfile,
    UnknownVersion,
)

#: Source of a record. A "start" record is the conservative built-in profile; under it
#: no deferred work and no call that may not be repeated is accepted.
Trust = Literal["kv", "peer", "start"]


class ProfileRecord(NamedTuple):
    """One accepted version of a named profile.

    ``author`` and ``accepted_wall_ms`` say who changed it, and when. ``raw`` is the
    JSON as it was accepted. Instances pass this on unchanged, so that an older instance
    does not drop a field that it does not know.
    """

    name: str
    version: int
    profile: Profile
    trust: Trust
    author: str = ""
    accepted_wall_ms: int = 0
    raw: bytes = b""


class InstanceStatus(NamedTuple):
    """The version of a profile that one live instance has in force.

    ``version`` is None if the instance did not reply.
    """

    instance_id: str
    version: int | None
    trust: Trust | None


def _no_history(name: str) -> Result[list[ProfileRecord], HistoryUnreadable]:
    return Ok([])


def _no_rollback(
    name: str, version: int, expected_version: int, author: str
) -> Result[ProfileRecord, RollbackFailure]:
    return Error(UnknownVersion(name, version))


class ProfilePort(NamedTuple):
    """Functions that read and change profiles.

    Parameters
    ----------
    current : callable
        ``current(name) -> Result[ProfileRecord, UnknownProfile]``.
    apply : callable
        ``apply(name, profile, expected_version, author="") -> Result[ProfileRecord,
        ApplyFailure]``; expected version 0 creates. The profile is checked first.
    names : callable
        ``names() -> tuple[str, ...]``.
    history : callable
        ``history(name) -> Result[list[ProfileRecord], HistoryUnreadable]``, newest
        first.
    rollback : callable
        ``rollback(name, version, expected_version, author) -> Result[ProfileRecord,
        RollbackFailure]``; accepts the content of ``version`` as a new version.
    status : callable
        ``status(name) -> tuple[InstanceStatus, ...]`` over all live instances.
    """

    current: Callable[[str], Result[ProfileRecord, UnknownProfile]]
    apply: Callable[..., Result[ProfileRecord, ApplyFailure]]
    names: Callable[[], tuple[str, ...]]
    history: Callable[[str], Result[list[ProfileRecord], HistoryUnreadable]] = (
        _no_history
    )
    rollback: Callable[[str, int, int, str], Result[ProfileRecord, RollbackFailure]] = (
        _no_rollback
    )
    status: Callable[[str], tuple[InstanceStatus, ...]] = lambda name: ()

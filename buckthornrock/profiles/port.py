"""The port through which the program reads and changes profiles."""

from collections.abc import Callable
from typing import Literal, NamedTuple

from expression import Result

from .document import Profile
from .errors import ApplyFailure, UnknownProfile

#: Where a record came from; a "start" record is the settings' cautious one, on which
#: nothing deferred or unrepeatable is accepted.
Trust = Literal["kv", "peer", "start"]


class ProfileRecord(NamedTuple):
    """One accepted version of a named profile."""

    name: str
    version: int
    profile: Profile
    trust: Trust


class ProfilePort(NamedTuple):
    """Functions of profiles.

    Parameters
    ----------
    current : callable
        ``current(name) -> Result[ProfileRecord, UnknownProfile]``.
    apply : callable
        ``apply(name, profile, expected_version) -> Result[ProfileRecord,
        ApplyFailure]``; expected version 0 creates.
    names : callable
        ``names() -> tuple[str, ...]``.
    """

    current: Callable[[str], Result[ProfileRecord, UnknownProfile]]
    apply: Callable[[str, Profile, int], Result[ProfileRecord, ApplyFailure]]
    names: Callable[[], tuple[str, ...]]

"""Failures of reading and changing profiles."""

from typing import NamedTuple

from ..conf.decoding import Problem


class UnknownProfile(NamedTuple):
    """No profile has this name."""

    name: str

    code = "unknown-profile"


class InvalidProfile(NamedTuple):
    """The profile has problems and was not accepted."""

    problems: tuple[Problem, ...]

    code = "invalid-profile"


class ProfileConflict(NamedTuple):
    """Another operator's change was accepted first; this one was refused.

    ``author`` and ``accepted_wall_ms`` say who made the version found, and when.
    ``differences`` lists the JSON paths where it differs from the refused profile.
    """

    name: str
    expected_version: int
    found_version: int
    author: str = ""
    accepted_wall_ms: int = 0
    differences: tuple[str, ...] = ()

    code = "profile-conflict"


class ProfileUndecided(NamedTuple):
    """The key-value service did not confirm the change.

    If ``not_run`` is "unknown", the change may have been accepted.
    """

    name: str
    reason: str
    not_run: str

    code = "profile-undecided"


class UnreadableProfile(NamedTuple):
    """A stored or received version can't be decoded, perhaps as its format is newer.

    It is neither put in force at this instance nor overwritten.
    """

    name: str
    reason: str

    code = "profile-unreadable"


class UnknownVersion(NamedTuple):
    """The history of the profile does not contain this version."""

    name: str
    version: int

    code = "unknown-profile-version"


class HistoryUnreadable(NamedTuple):
    """The history can't be read because the key-value service does not respond."""

    name: str
    reason: str

    code = "profile-history-unreadable"


ApplyFailure = InvalidProfile | ProfileConflict | ProfileUndecided | UnreadableProfile
RollbackFailure = ApplyFailure | UnknownVersion | HistoryUnreadable

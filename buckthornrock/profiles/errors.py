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
    """Another operator's change came first; nothing was accepted.

    ``author`` and ``accepted_wall_ms`` say who made the version found, and when;
    ``differences`` are the JSON paths where it differs from what was refused.
    """

    name: str
    expected_version: int
    found_version: int
    author: str = ""
    accepted_wall_ms: int = 0
    differences: tuple[str, ...] = ()

    code = "profile-conflict"


class ProfileUndecided(NamedTuple):
    """The key-value service gave no answer; the change may have been accepted."""

    name: str
    reason: str
    not_run: str

    code = "profile-undecided"


class UnknownVersion(NamedTuple):
    """The history of the profile does not hold this version."""

    name: str
    version: int

    code = "unknown-profile-version"


class HistoryUnreadable(NamedTuple):
    """The history can't be read while the key-value service does not answer."""

    name: str
    reason: str

    code = "profile-history-unreadable"


ApplyFailure = InvalidProfile | ProfileConflict | ProfileUndecided
RollbackFailure = ApplyFailure | UnknownVersion | HistoryUnreadable

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
    """Another operator's change came first; nothing was accepted."""

    name: str
    expected_version: int
    found_version: int

    code = "profile-conflict"


class ProfileUndecided(NamedTuple):
    """The key-value service gave no answer; the change may have been accepted."""

    name: str
    reason: str
    not_run: str

    code = "profile-undecided"


ApplyFailure = InvalidProfile | ProfileConflict | ProfileUndecided

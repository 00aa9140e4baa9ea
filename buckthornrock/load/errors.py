"""Failures of the load tool."""

from typing import NamedTuple


class BadSpec(NamedTuple):
    """The file that describes a run can't be used."""

    path: str
    reason: str

    code = "bad-load-spec"


class NotComparable(NamedTuple):
    """Two results can't be compared."""

    reason: str

    code = "not-comparable"

"""Failures of decoding what the platform says."""

from typing import NamedTuple


class Undecodable(NamedTuple):
    """A value is not what the platform's protocol says."""

    what: str
    reason: str

    code = "undecodable"

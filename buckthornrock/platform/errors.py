"""Failures of decoding values that come from the platform."""

from typing import NamedTuple


class Undecodable(NamedTuple):
    """A value doesn't conform to the platform's protocol."""

    what: str
    reason: str

    code = "undecodable"

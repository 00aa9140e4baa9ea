"""Failures of calls to peers."""

from typing import NamedTuple


class PeerUnreachable(NamedTuple):
    """The peer did not answer in time; it may or may not have acted."""

    instance_id: str

    code = "peer-unreachable"

"""Failures of frames and of calls to peers."""

from typing import NamedTuple


class BadFrame(NamedTuple):
    """A frame that is dropped; ``reason`` is the label it is counted by."""

    reason: str

    code = "bad-frame"


class PeerNotReached(NamedTuple):
    """The message was never sent, so the peer has provably not handled it."""

    instance_id: str

    code = "peer-not-reached"


class PeerUnreachable(NamedTuple):
    """The peer did not answer in time; it may or may not have acted."""

    instance_id: str

    code = "peer-unreachable"


class PeerUnsupported(NamedTuple):
    """The peer doesn't know this type of message and did not handle it."""

    instance_id: str

    code = "peer-unsupported"


class PeerFailed(NamedTuple):
    """The peer's handler raised; it may have acted in part."""

    instance_id: str

    code = "peer-failed"


PeerFailure = PeerNotReached | PeerUnreachable | PeerUnsupported | PeerFailed


class DigestUnreadable(NamedTuple):
    """A datagram holds no digest."""

    reason: str

    code = "digest-unreadable"

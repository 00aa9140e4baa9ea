"""Failures of frames and of calls to peers."""

from typing import NamedTuple


class BadFrame(NamedTuple):
    """A frame that is dropped; ``reason`` is the metric label it is counted under."""

    reason: str

    code = "bad-frame"


class PeerNotReached(NamedTuple):
    """The message was never sent or was refused: the peer did not handle it."""

    instance_id: str

    code = "peer-not-reached"


class PeerUnreachable(NamedTuple):
    """The peer sent no valid reply in time; it may have handled the message or not."""

    instance_id: str

    code = "peer-unreachable"


class PeerUnsupported(NamedTuple):
    """The peer doesn't support this type of message and did not handle it."""

    instance_id: str

    code = "peer-unsupported"


class PeerFailed(NamedTuple):
    """The peer's handler raised an exception; it may have run in part."""

    instance_id: str

    code = "peer-failed"


PeerFailure = PeerNotReached | PeerUnreachable | PeerUnsupported | PeerFailed


class DigestUnreadable(NamedTuple):
    """A datagram could not be decoded as a digest."""

    reason: str

    code = "digest-unreadable"

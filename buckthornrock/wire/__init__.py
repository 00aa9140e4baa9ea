"""The protocol between instances: messages, frames and transport."""

from .codec import PROTOCOL_VERSION, Identity
from .errors import (
    PeerFailed,
    PeerFailure,
    PeerNotReached,
    PeerUnreachable,
    PeerUnsupported,
)
from .message import Message
from .transport import Handler, PeerAddress, Transport, open_transport

__all__ = [
    "PROTOCOL_VERSION",
    "Handler",
    "Identity",
    "Message",
    "PeerAddress",
    "PeerFailed",
    "PeerFailure",
    "PeerNotReached",
    "PeerUnreachable",
    "PeerUnsupported",
    "Transport",
    "open_transport",
]

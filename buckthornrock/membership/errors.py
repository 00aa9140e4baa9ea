"""Failures of calls to peers, as :mod:`..wire` declares them."""

from ..wire.errors import (
    PeerFailed,
    PeerFailure,
    PeerNotReached,
    PeerUnreachable,
    PeerUnsupported,
)

__all__ = [
    "PeerFailed",
    "PeerFailure",
    "PeerNotReached",
    "PeerUnreachable",
    "PeerUnsupported",
]

"""Messages about the shares of fleet-wide limits.

Both are batched: one message an owner and period, whatever the number of client
accounts.
"""

import msgspec

from .message import Message


class AccountDemand(msgspec.Struct, array_like=True, frozen=True):
    """What one instance was asked for by a client account under a profile.

    ``has_share`` tells whether the sender holds a share that has not run out.
    """

    profile: str
    client_account: str
    requests_per_s: float
    tokens_per_s: float
    has_share: bool


class AccountShare(msgspec.Struct, array_like=True, frozen=True):
    """What the receiver may admit of a client account under a profile."""

    profile: str
    client_account: str
    requests_per_s: float
    tokens_per_s: float


class DemandReport(Message, tag="shares.demand"):
    """Demand of the accounts that the receiver owns.

    ``seq`` rises with every report of the sender, ``view`` is a digest of the
    instances that the sender counts as live.
    """

    seq: int
    view: bytes
    demands: tuple[AccountDemand, ...]


class ShareGrant(Message, tag="shares.grant"):
    """The answer to the report with number ``seq``."""

    seq: int
    shares: tuple[AccountShare, ...]

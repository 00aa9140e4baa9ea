"""Messages about the shares of fleet-wide limits.

Both are batched: an owner gets one message per period, whatever the number of client
accounts.
"""

import msgspec

from .message import Message


class AccountDemand(msgspec.Struct, array_like=True, frozen=True):
    """Demand of a client account under a profile at one instance.

    ``has_share`` says whether the sender holds a share that has not expired.
    """

    profile: str
    client_account: str
    requests_per_s: float
    tokens_per_s: float
    has_share: bool


class AccountShare(msgspec.Struct, array_like=True, frozen=True):
    """Rates that the receiver may admit for a client account under a profile."""

    profile: str
    client_account: str
    requests_per_s: float
    tokens_per_s: float


class DemandReport(Message, tag="shares.demand"):
    """Demand of the client accounts that the receiver owns.

    ``seq`` rises with every report of the sender, ``view`` is a digest of the
    instances that the sender counts as live.
    """

    seq: int
    view: bytes
    demands: tuple[AccountDemand, ...]


class ShareGrant(Message, tag="shares.grant"):
    """The reply to the report with the number ``seq``."""

    seq: int
    shares: tuple[AccountShare, ...]

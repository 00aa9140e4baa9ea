"""Messages about profiles; the contents of profiles are sent compressed."""

from .message import Message


class WireProfile(Message, tag="profiles.record"):
    """One accepted version; ``body`` is the zlib-compressed JSON of the profile."""

    name: str
    version: int
    author: str
    accepted_wall_ms: int
    body: bytes


class WireOrder(Message, tag="profiles.order"):
    """The position of one accepted version in the order of its profile's versions."""

    name: str
    version: int
    accepted_wall_ms: int
    digest: str


class ProfilePush(Message, tag="profiles.push"):
    """Accepted versions that the receiver may not have yet."""

    records: tuple[WireProfile, ...] = ()


class ProfileSummary(Message, tag="profiles.summary"):
    """A digest of all accepted versions; the reply is an Ack if both are equal."""

    digest: bytes


class ProfileOrders(Message, tag="profiles.orders"):
    """The accepted versions of the sender, without their content."""

    orders: tuple[WireOrder, ...] = ()


class ProfileFetch(Message, tag="profiles.fetch"):
    """Requests the accepted versions of some profiles; the reply is a ProfilePush."""

    names: tuple[str, ...]


class ProfileStatusQuery(Message, tag="profiles.status_query"):
    """Requests the version of a profile that is in force at the receiver."""

    name: str


class ProfileStatusReply(Message, tag="profiles.status_reply"):
    """The version in force and its source; 0 and "" if unknown."""

    version: int = 0
    trust: str = ""

"""Messages of profiles; records travel compressed."""

from .message import Message


class WireProfile(Message, tag="profiles.record"):
    """One accepted version; ``body`` is the zlib-compressed JSON of the profile."""

    name: str
    version: int
    author: str
    accepted_wall_ms: int
    body: bytes


class WireOrder(Message, tag="profiles.order"):
    """The place of one accepted version among the versions of its profile."""

    name: str
    version: int
    accepted_wall_ms: int
    digest: str


class ProfilePush(Message, tag="profiles.push"):
    """Accepted versions that the receiver may not know yet."""

    records: tuple[WireProfile, ...] = ()


class ProfileSummary(Message, tag="profiles.summary"):
    """A digest over all accepted versions; an equal one is answered with an Ack."""

    digest: bytes


class ProfileOrders(Message, tag="profiles.orders"):
    """The accepted versions of the sender, without their content."""

    orders: tuple[WireOrder, ...] = ()


class ProfileFetch(Message, tag="profiles.fetch"):
    """Asks for the accepted versions of some profiles; answered with a push."""

    names: tuple[str, ...]


class ProfileStatusQuery(Message, tag="profiles.status_query"):
    """Asks which version of a profile is in force."""

    name: str


class ProfileStatusReply(Message, tag="profiles.status_reply"):
    """The version in force, and where it came from; 0 and "" if unknown."""

    version: int = 0
    trust: str = ""

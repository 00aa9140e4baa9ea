"""Messages of the membership protocol."""

from .message import Message


class MemberRecord(Message, tag="membership.record"):
    """The membership record of one instance.

    A record replaces another of the same instance if its ``version`` is higher, or
    equal with a more severe ``state``. Only the instance itself raises its version.
    """

    instance_id: str
    address: str
    failure_domain: str
    region: str
    incarnation: str
    version: int
    state: str = "live"


class Probe(Message, tag="membership.probe"):
    """A heartbeat that also carries gossip and digests of the sender's records.

    ``digests`` is the concatenation of one digest for each bucket of instance ids.
    ``news`` holds the records that are gossiped.
    """

    digests: bytes
    news: tuple[MemberRecord, ...] = ()


class ProbeReply(Message, tag="membership.probe_reply"):
    """The reply to a heartbeat.

    ``records`` holds all records of the buckets whose digests differ, ``differing``
    the numbers of these buckets.
    """

    records: tuple[MemberRecord, ...] = ()
    differing: tuple[int, ...] = ()


class News(Message, tag="membership.news"):
    """Gossip: records that the receiver may not have yet."""

    records: tuple[MemberRecord, ...]

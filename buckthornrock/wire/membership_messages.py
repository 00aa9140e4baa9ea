"""Messages of membership."""

from .message import Message


class MemberRecord(Message, tag="membership.record"):
    """What is known about one instance.

    A record replaces another of the same instance if its ``version`` is higher, or
    equal with a graver ``state``. Only the instance itself raises its version.
    """

    instance_id: str
    address: str
    failure_domain: str
    region: str
    incarnation: str
    version: int
    state: str = "live"


class Probe(Message, tag="membership.probe"):
    """A heartbeat that also carries news and digests of the sender's records.

    ``digests`` holds one digest a bucket of instance ids, joined.
    """

    digests: bytes
    news: tuple[MemberRecord, ...] = ()


class ProbeReply(Message, tag="membership.probe_reply"):
    """The answer to a heartbeat.

    ``records`` are all records of the buckets whose digests differ, ``differing``
    the numbers of these buckets.
    """

    records: tuple[MemberRecord, ...] = ()
    differing: tuple[int, ...] = ()


class News(Message, tag="membership.news"):
    """Records that the receiver may not know yet."""

    records: tuple[MemberRecord, ...]

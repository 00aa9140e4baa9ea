"""Digests: datagrams that gateway instances exchange several times a second.

Each digest is self-contained, so that a lost, late or repeated one does no harm.
"""

import enum

import msgspec
from expression import Error, Result

from ..runtime.addresses import is_connectable
from ..runtime.decoding import ExactInt, decode_msgpack
from .errors import DigestUnreadable


class Scope(enum.IntEnum):
    """The instances whose work a digest covers, which depends on its sender's role."""

    #: The sender only; the receiver is its relay.
    OWN = 0
    #: The sender and the instances that it relays for; the receiver is a relay too.
    GROUP = 1
    #: All instances but the receiver; the sender is the receiver's relay.
    OTHERS = 2
    #: None: the sender requests a list of other instances.
    PEER_REQUEST = 3
    #: None: a list of instances, for one that requested it or that took the sender for
    #: a relay although it is none.
    PEER_LIST = 4


class StoreCalls(enum.IntEnum):
    """Whether the sender watches the store itself."""

    NONE = 0
    ANSWERED = 1
    FAILING = 2


class UpstreamWork(msgspec.Struct, array_like=True):
    """Work at one incarnation of an upstream, whose numeric id is ``upstream``."""

    upstream: int
    n_requests: ExactInt
    prefill_ms: ExactInt
    n_memory_tokens: ExactInt


class UpstreamTimes(msgspec.Struct, array_like=True):
    """Times to the first event that recent requests at an upstream took.

    ``expected_ms`` and ``observed_ms`` are sums over the requests.
    """

    upstream: int
    expected_ms: ExactInt
    observed_ms: ExactInt


class LoadingEngine(msgspec.Struct, array_like=True):
    """An engine that will finish loading a version of a model in about ``left_ms``."""

    upstream: int
    model: str
    version: int
    left_ms: ExactInt


class LoadedWeights(msgspec.Struct, array_like=True):
    """A version of a model's weights that an engine was seen to have loaded."""

    upstream: int
    model: str
    version: int


class CachedPartReport(msgspec.Struct, array_like=True):
    """A shared prompt part that is cached at an engine or in a prompt store.

    ``part`` is the numeric id of the part and its cache salt. The cached part can be
    used in ``ready_in_ms``.
    """

    upstream: int
    part: int
    n_tokens: ExactInt
    ready_in_ms: ExactInt


class UpstreamEntry(msgspec.Struct, array_like=True):
    """An upstream as its entry in the store describes it.

    ``started_ms`` is the Unix time of its start. ``weights_versions`` maps each model
    to the version that is loaded.
    """

    upstream_id: str
    service: str
    address: str
    failure_domain: str
    is_draining: bool
    started_ms: int
    n_slots: int
    weights_versions: dict[str, int]


class EntryChange(msgspec.Struct, array_like=True):
    """A change of an upstream's entry at a store revision; None if it was removed."""

    revision: int
    upstream_id: str
    entry: UpstreamEntry | None


class Peer(msgspec.Struct, array_like=True):
    """An instance that the sender knows, and the age of its last sign of life."""

    instance_id: str
    address: str
    failure_domain: str
    incarnation: int
    age_ms: ExactInt


class CrashSuspicion(msgspec.Struct, array_like=True):
    """A shared part that was in flight when an upstream crashed.

    ``part`` is the numeric id of the part and its model, ``depth`` its position in the
    prompt. ``is_repeat`` tells that the request was in flight at a crash before.
    ``sound_age_ms`` is the age of the last whole response with the part that the
    reporter knows of, -1 for none.
    """

    upstream: int
    part: int
    depth: int
    age_ms: int
    is_repeat: bool
    sound_age_ms: int = -1


class SoundPart(msgspec.Struct, array_like=True):
    """A suspected part whose attempt ended whole ``age_ms`` ago."""

    part: int
    age_ms: int


class PartQuarantine(msgspec.Struct, array_like=True):
    """Whether requests with a part are refused; the highest ``version`` is newest."""

    part: int
    version: int
    is_active: bool
    n_probes: int
    age_ms: int


class QuotaCounters(msgspec.Struct, array_like=True):
    """Cumulative charges of client accounts at the instances that the scope names.

    ``charges`` is keyed by the numeric id of the account's name; refunds are
    subtracted. ``covered_ms`` is the time that these instances have been running,
    summed up. ``n_covered`` of them were heard lately, and the sender knows
    ``n_known`` instances.
    """

    charges: dict[int, ExactInt]
    covered_ms: ExactInt
    n_covered: ExactInt
    n_known: ExactInt


class Digest(msgspec.Struct, array_like=True):
    """The state of one instance that other instances base their decisions on.

    ``works`` covers the instances that ``scope`` names; the oldest digest that it was
    computed from was received ``age_ms`` ago. ``prefill_times`` covers the same
    instances and is listed in a digest a second. ``relay`` is the relay of the sender,
    "" if it has none.

    ``incarnation`` rises with each start of the instance and ``number`` with each
    digest, so that an outdated digest is detected. ``revision`` is the store revision
    up to which upstreams are known; ``weights`` holds the wanted version of each model
    and for how many milliseconds it has been wanted, ``older_weights`` the same of
    earlier versions. Upstreams and parts are named by numeric ids (``numeric_ids.py``).

    ``changes`` are all changes of upstreams' entries after ``base_revision``, up to
    ``revision``; -1 if the digest lists none. The store confirmed ``store_age_ms`` ago
    that there are no others; -1 if it never did. ``leaving`` names upstreams that said
    that they leave. ``removed_isolated_accounts`` names accounts that were isolated
    when they were removed. ``quota`` is None where no account has a limit.
    """

    instance_id: str
    address: str
    failure_domain: str
    incarnation: int
    number: int
    scope: Scope
    relay: str
    age_ms: ExactInt
    configuration_version: int
    revision: int
    weights: dict[str, tuple[int, ExactInt]]
    works: list[UpstreamWork]
    loading: list[LoadingEngine]
    loaded: list[LoadedWeights]
    cached_parts: list[CachedPartReport]
    peers: list[Peer]
    is_stopping: bool = False
    base_revision: int = -1
    changes: list[EntryChange] = []
    store_age_ms: ExactInt = -1
    store_calls: StoreCalls = StoreCalls.NONE
    older_weights: dict[str, list[tuple[int, ExactInt]]] = {}
    leaving: list[int] = []
    suspicions: list[CrashSuspicion] = []
    sound_parts: list[SoundPart] = []
    quarantines: list[PartQuarantine] = []
    removed_isolated_accounts: list[str] = []
    prefill_times: list[UpstreamTimes] = []
    quota: QuotaCounters | None = None


def encode_digest(digest: Digest) -> bytes:
    """Return a digest encoded as a datagram.

    One without quota counters has no field for them, as in older builds.
    """
    if digest.quota is None:
        return msgspec.msgpack.encode(msgspec.structs.astuple(digest)[:-1])
    return msgspec.msgpack.encode(digest)


def decode_digest(data: bytes) -> Result[Digest, DigestUnreadable]:
    """Return the digest that a datagram holds.

    Peers at addresses that can't be used are left out.
    """
    decoded = decode_msgpack(data, Digest)
    if decoded.is_error():
        return Error(DigestUnreadable(decoded.error.reason))
    digest = decoded.ok
    if not is_connectable(digest.address):
        return Error(DigestUnreadable("the sender's address is not a usable IP:PORT"))
    digest.peers = [peer for peer in digest.peers if is_connectable(peer.address)]
    return decoded

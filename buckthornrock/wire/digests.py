"""What gateway instances tell each other several times a second, as datagrams.

A digest is complete in itself: a lost, late or repeated one does no harm.
"""

import enum

import msgspec
from expression import Error, Ok, Result

from .errors import DigestUnreadable


class Scope(enum.IntEnum):
    """Whose work a digest covers, which tells what its sender is to the receiver."""

    #: The sender's; it follows the receiver.
    OWN = 0
    #: The sender's and its followers'; both are relays.
    GROUP = 1
    #: That of all instances but the receiver, which follows the sender.
    OTHERS = 2
    #: Nobody's: the sender asks for the names of other instances.
    PEER_REQUEST = 3
    #: Nobody's: names for an instance that asked, or that took the sender for a relay.
    PEER_LIST = 4


class UpstreamWork(msgspec.Struct, array_like=True):
    """Work at one incarnation of an upstream, which ``upstream`` is the number of."""

    upstream: int
    n_requests: int
    prefill_ms: int
    n_memory_tokens: int


class LoadingEngine(msgspec.Struct, array_like=True):
    """An engine that loads a version of a model for about ``left_ms`` more."""

    upstream: int
    model: str
    version: int
    left_ms: int


class LoadedWeights(msgspec.Struct, array_like=True):
    """A version of a model's weights that was seen at an engine."""

    upstream: int
    model: str
    version: int


class CachedPartReport(msgspec.Struct, array_like=True):
    """A shared part that was read at an engine, or kept at a store.

    ``part`` is its number under its salt. It can be fetched in ``ready_in_ms``.
    """

    upstream: int
    part: int
    n_tokens: int
    ready_in_ms: int


class Peer(msgspec.Struct, array_like=True):
    """An instance that the sender has heard of, and how long ago."""

    instance_id: str
    address: str
    failure_domain: str
    incarnation: int
    age_ms: int


class Digest(msgspec.Struct, array_like=True):
    """One instance's state, as far as others decide by it.

    ``works`` covers the instances that ``scope`` names; the oldest digest behind it was
    heard ``age_ms`` ago. ``relay`` is the instance that the sender follows, "" if none.

    ``incarnation`` rises with each start of the instance and ``number`` with each
    digest, so that an older one is recognised. ``revision`` is that of the store up to
    which upstreams are known; ``weights`` holds each model's wanted version and for
    how many milliseconds it has been wanted. Upstreams and parts are named by numbers
    (``numeric_ids.py``).
    """

    instance_id: str
    address: str
    failure_domain: str
    incarnation: int
    number: int
    scope: Scope
    relay: str
    age_ms: int
    configuration_version: int
    revision: int
    weights: dict[str, tuple[int, int]]
    works: list[UpstreamWork]
    loading: list[LoadingEngine]
    loaded: list[LoadedWeights]
    cached_parts: list[CachedPartReport]
    peers: list[Peer]
    is_stopping: bool = False


def encode_digest(digest: Digest) -> bytes:
    """Return the datagram of a digest."""
    return msgspec.msgpack.encode(digest)


def decode_digest(data: bytes) -> Result[Digest, DigestUnreadable]:
    """Return the digest of a datagram."""
    try:
        return Ok(msgspec.msgpack.decode(data, type=Digest))
    except msgspec.MsgspecError as error:
        return Error(DigestUnreadable(str(error)))

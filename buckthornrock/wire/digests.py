"""What gateway instances tell each other several times a second, as datagrams.

A digest is complete in itself: a lost, late or repeated one does no harm.
"""

import msgspec
from expression import Error, Ok, Result

from .errors import DigestUnreadable


class UpstreamWork(msgspec.Struct, array_like=True):
    """Work that the sender has at one incarnation of an upstream."""

    upstream_id: str
    started_ms: int
    n_requests: int
    reading_ms: float
    n_memory_tokens: int


class LoadingEngine(msgspec.Struct, array_like=True):
    """An engine that loads weights for about ``left_ms`` more."""

    upstream_id: str
    started_ms: int
    left_ms: float


class LoadedWeights(msgspec.Struct, array_like=True):
    """A version of a model's weights that was seen at an engine."""

    upstream_id: str
    started_ms: int
    model: str
    version: int


class PartReading(msgspec.Struct, array_like=True):
    """A shared part that the sender has read at an engine, or kept at a store.

    It can be fetched from there in ``ready_in_ms``.
    """

    upstream_id: str
    started_ms: int
    salt: str
    part_id: str
    n_tokens: int
    ready_in_ms: float


class Peer(msgspec.Struct, array_like=True):
    """An instance that the sender has heard of, and how long ago."""

    instance_id: str
    address: str
    age_ms: float


class Digest(msgspec.Struct, array_like=True):
    """One instance's state, as far as others decide by it.

    ``incarnation`` rises with each start of the instance and ``number`` with each
    digest, so that an older one is recognised. ``revision`` is that of the store up to
    which upstreams are known; ``weights`` holds each model's wanted version and for
    how long it has been wanted.
    """

    instance_id: str
    address: str
    incarnation: int
    number: int
    configuration_version: int
    revision: int
    weights: dict[str, tuple[int, float]]
    works: list[UpstreamWork]
    loading: list[LoadingEngine]
    loaded: list[LoadedWeights]
    readings: list[PartReading]
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

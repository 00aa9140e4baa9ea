"""Records of idempotency keys in the key-value service."""

import hashlib
from typing import Literal

import msgspec

from ..upstreams.service_client import ServiceResponse
from .port import KeyedRequest

KEY_PREFIX = "idempotency/"
DIGEST_BYTES = 16

#: The record of a released claim stays in place, so that a delayed duplicate of the
#: claim's write fails its comparison and has no effect.
State = Literal["claimed", "answered", "unknown", "released"]


class StoredResponse(msgspec.Struct, frozen=True):
    """A recorded response; ``body`` is None if it was too large to be stored."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    n_body_bytes: int


class ClaimRecord(msgspec.Struct, frozen=True):
    """A claim and, once it is settled, its outcome.

    ``claim_id`` is unique to one claim, so that its owner recognises it.
    """

    fingerprint: bytes
    claim_id: str
    instance_id: str
    incarnation: str
    state: State
    answer: StoredResponse | None = None


_decoder = msgspec.msgpack.Decoder(ClaimRecord)


def encode(record: ClaimRecord) -> bytes:
    """Return the stored encoding of ``record``."""
    return msgspec.msgpack.encode(record)


def decode(value: bytes) -> ClaimRecord:
    """Return the record stored as ``value``."""
    return _decoder.decode(value)


def make_stored_response(
    response: ServiceResponse, max_body_bytes: int
) -> StoredResponse:
    """Return the part of ``response`` that is recorded."""
    is_stored = response.rest is None and len(response.body) <= max_body_bytes
    return StoredResponse(
        status=response.status,
        headers=response.headers,
        body=response.body if is_stored else None,
        n_body_bytes=len(response.body),
    )


def storage_key(request: KeyedRequest, secret: bytes) -> str:
    """Return the storage key of a client account, member and idempotency key."""
    parts = (request.client_account, request.member, request.key)
    return KEY_PREFIX + _digest(parts, secret).hex()


def fingerprint(request: KeyedRequest) -> bytes:
    """Return a digest of the route and body of the call; headers are left out."""
    route = (request.service, request.method, request.path)
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(msgspec.msgpack.encode((*route, request.body)))
    return digest.digest()


def _digest(parts: tuple[str, ...], secret: bytes) -> bytes:
    raw = msgspec.msgpack.encode(parts)
    return hashlib.blake2b(raw, digest_size=DIGEST_BYTES, key=secret).digest()

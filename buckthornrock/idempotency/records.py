"""What the key-value service remembers of a key."""

import hashlib
from typing import Literal

import msgspec

from ..upstreams.service_client import ServiceResponse
from .port import KeyedRequest

KEY_PREFIX = "idempotency/"
DIGEST_BYTES = 16

#: A released claim stays as a mark, so that a late copy of its write has no effect.
State = Literal["claimed", "answered", "unknown", "released"]


class StoredAnswer(msgspec.Struct, frozen=True):
    """A recorded answer; ``body`` None means that it was too large to be kept."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    n_body_bytes: int


class ClaimRecord(msgspec.Struct, frozen=True):
    """A claim and, once it is settled, its outcome.

    ``claim_id`` is unique to one claim, so that a claimer recognises its own.
    """

    fingerprint: bytes
    claim_id: str
    instance_id: str
    incarnation: str
    state: State
    answer: StoredAnswer | None = None


_decoder = msgspec.msgpack.Decoder(ClaimRecord)


def encode(record: ClaimRecord) -> bytes:
    """Return ``record`` as it is stored."""
    return msgspec.msgpack.encode(record)


def decode(value: bytes) -> ClaimRecord:
    """Return the record stored as ``value``."""
    return _decoder.decode(value)


def store_answer(answer: ServiceResponse, max_body_bytes: int) -> StoredAnswer:
    """Return what is kept of ``answer``."""
    is_kept = answer.rest is None and len(answer.body) <= max_body_bytes
    return StoredAnswer(
        status=answer.status,
        headers=answer.headers,
        body=answer.body if is_kept else None,
        n_body_bytes=len(answer.body),
    )


def storage_key(request: KeyedRequest, secret: bytes) -> str:
    """Return where the key is kept: one place a client account, member and key."""
    parts = (request.client_account, request.member, request.key)
    return KEY_PREFIX + _digest(parts, secret).hex()


def fingerprint(request: KeyedRequest) -> bytes:
    """Return a digest of what the call does; headers don't count."""
    route = (request.service, request.method, request.path)
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(msgspec.msgpack.encode((*route, request.body)))
    return digest.digest()


def _digest(parts: tuple[str, ...], secret: bytes) -> bytes:
    raw = msgspec.msgpack.encode(parts)
    return hashlib.blake2b(raw, digest_size=DIGEST_BYTES, key=secret).digest()

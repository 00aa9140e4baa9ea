"""Event ids with which a caller resumes a stream through any instance.

An id has two parts. The first names the engine stream; it is encrypted once per
stream and bound to the client account and member. The second says how much of the
response has been delivered up to the event, followed by a MAC over the whole id.
"""

import base64
import binascii
import hashlib
import hmac
import os
from collections.abc import Callable
from typing import NamedTuple

import msgspec
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM
from expression import Error, Ok, Result

from .caller import Caller
from .errors import BadEventId

NONCE_BYTES = 12
MAC_BYTES = 12
MAX_EVENT_ID_CHARS = 2_048
#: Prime modulus of the checksum of the delivered text.
CHECKSUM_PRIME = 2**61 - 1


class StreamOrigin(msgspec.Struct, array_like=True, frozen=True):
    """The engine stream of a response, and the digest of its request body."""

    request_id: str
    upstream_id: str
    stream_id: str
    weights_version: str
    body_digest: bytes


class Delivered(NamedTuple):
    """How much of a response a caller has.

    ``checksum`` covers the first ``n_tokens`` tokens, which are ``n_bytes`` of UTF-8.
    It can be extended without the preceding text. ``is_finished`` is 1 if these are
    all tokens of the response.
    """

    n_tokens: int = 0
    n_bytes: int = 0
    checksum: int = 0
    is_finished: int = 0

    def extended(
        self, raw: bytes, n_tokens: int, is_finished: bool = False
    ) -> "Delivered":
        """Return a copy extended by one more piece of the response."""
        shift = pow(256, len(raw), CHECKSUM_PRIME)
        checksum = (self.checksum * shift + int.from_bytes(raw, "big")) % CHECKSUM_PRIME
        return Delivered(
            self.n_tokens + n_tokens,
            self.n_bytes + len(raw),
            checksum,
            int(is_finished),
        )


class ResumePoint(NamedTuple):
    """The point from which a caller requests the rest of a response."""

    origin: StreamOrigin
    delivered: Delivered


def body_digest(body: dict) -> bytes:
    """Return a digest that is the same for equal request bodies."""
    raw = msgspec.json.encode(body, order="deterministic")
    return hashlib.blake2b(raw, digest_size=16).digest()


class EventIds:
    """Encrypts and decrypts event ids with keys derived from the isolation secret."""

    def __init__(self, isolation_secret: str) -> None:
        self._aead = AESGCM(_derive_key(isolation_secret, b"event-id.origin"))
        self._mac_key = _derive_key(isolation_secret, b"event-id.mac")

    def seal(
        self, caller: Caller, origin: StreamOrigin
    ) -> Callable[[Delivered], bytes]:
        """Return a function that builds the ids of the events of one stream."""
        nonce = os.urandom(NONCE_BYTES)
        plain = msgspec.msgpack.encode(origin)
        sealed = nonce + self._aead.encrypt(nonce, plain, _binding(caller))
        prefix = base64.urlsafe_b64encode(sealed).rstrip(b"=")

        def event_id(delivered: Delivered) -> bytes:
            unsigned = b"%b.%d.%d.%d.%d" % (prefix, *delivered)
            return unsigned + b"." + self._mac(unsigned).encode()

        return event_id

    def open(self, caller: Caller, event_id: str) -> Result[ResumePoint, BadEventId]:
        """Return the resume point of an id, if it was issued to this caller."""
        if len(event_id) > MAX_EVENT_ID_CHARS or not event_id.isascii():
            return Error(BadEventId())
        unsigned, _, mac = event_id.rpartition(".")
        if not hmac.compare_digest(mac, self._mac(unsigned.encode())):
            return Error(BadEventId())
        prefix, *numbers = unsigned.split(".")
        origin = self._open_origin(caller, prefix)
        if origin is None:
            return Error(BadEventId())
        return Ok(ResumePoint(origin, Delivered(*map(int, numbers))))

    def _open_origin(self, caller: Caller, prefix: str) -> StreamOrigin | None:
        try:
            sealed = base64.urlsafe_b64decode(prefix + "=" * (-len(prefix) % 4))
            nonce, encrypted = sealed[:NONCE_BYTES], sealed[NONCE_BYTES:]
            plain = self._aead.decrypt(nonce, encrypted, _binding(caller))
        except (binascii.Error, ValueError, InvalidTag):
            return None
        return msgspec.msgpack.decode(plain, type=StreamOrigin)

    def _mac(self, unsigned: bytes) -> str:
        mac = hashlib.blake2b(unsigned, digest_size=MAC_BYTES, key=self._mac_key)
        return mac.hexdigest()


def _binding(caller: Caller) -> bytes:
    return msgspec.msgpack.encode((caller.client_account, caller.member))


def _derive_key(secret: str, purpose: bytes) -> bytes:
    return hmac.new(secret.encode(), purpose, hashlib.sha256).digest()

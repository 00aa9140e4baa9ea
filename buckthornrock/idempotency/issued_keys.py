"""Keys that an instance issues, and the in-memory table of the calls made with them.

An issued key names its issuer and the issuer's incarnation. Only that incarnation runs
calls with the key, and it keeps their state in memory, so that these calls don't need
the key-value service. After the incarnation has ended, no instance runs such calls, and
their outcome stays unknown permanently.
"""

import base64
import hashlib
import hmac
import itertools
from typing import Literal, NamedTuple

import msgspec
from expression import Error, Ok, Result

from ..errors import Failure
from .errors import KeyExpired, KeyNotGenuine, KeyReused, TooManyKeys

PREFIX = "ik1."
NONCE_BYTES = 12
MAC_BYTES = 16
RETRY_AFTER_MS = 1_000
#: Requests with one key that may end without running, for instance because no server
#: was found, before further requests with the key are refused.
MAX_NOT_RUN_REQUESTS = 32


class IssuedKeyClaims(msgspec.Struct, array_like=True, frozen=True):
    """Content of an issued key; times are those of the issuer's monotonic clock."""

    instance_id: str
    incarnation: str
    nonce: bytes
    issued_at_ms: int


class KeySeal:
    """Authenticates issued keys with a MAC bound to a client account and member.

    Parameters
    ----------
    secret : bytes
        Shared by all instances.
    """

    def __init__(self, secret: bytes) -> None:
        self._key = hashlib.blake2b(secret, person=b"issued-keys").digest()
        self._decoder = msgspec.msgpack.Decoder(IssuedKeyClaims)

    def seal(self, claims: IssuedKeyClaims, client_account: str, member: str) -> str:
        """Return the issued key as text: a MAC and the encoded claims."""
        raw = msgspec.msgpack.encode(claims)
        return PREFIX + _base64url(self._mac(raw, client_account, member) + raw)

    def open(
        self, key: str, client_account: str, member: str
    ) -> Result[IssuedKeyClaims, KeyNotGenuine]:
        """Return the claims of ``key`` if it was issued to this caller."""
        text = key.removeprefix(PREFIX)
        padded = text + "=" * (-len(text) % 4)
        try:
            sealed = base64.b64decode(padded, altchars=b"-_", validate=True)
        except ValueError:
            return Error(KeyNotGenuine())
        mac, raw = sealed[:MAC_BYTES], sealed[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(raw, client_account, member)):
            return Error(KeyNotGenuine())
        return Ok(self._decoder.decode(raw))

    def _mac(self, raw: bytes, client_account: str, member: str) -> bytes:
        scoped = msgspec.msgpack.encode((client_account, member, raw))
        return hashlib.blake2b(scoped, digest_size=MAC_BYTES, key=self._key).digest()


def is_issued(key: str) -> bool:
    """Return whether ``key`` has the form of an issued key."""
    return key.startswith(PREFIX)


class Run(NamedTuple):
    """The call has not run, and the requester must run it now."""


class Pending(NamedTuple):
    """The call is running."""


class Settled(NamedTuple):
    """The call ended; ``outcome`` is the stored response or the failure."""

    outcome: object


class _Entry:
    """State of one key.

    ``not_run_failures`` maps the ids of requests that were told that the call did not
    run to their failures. A late duplicate of such a request gets the same failure and
    must not run the call.
    """

    def __init__(
        self, fingerprint: bytes, request_id: str, expires_at_ms: float
    ) -> None:
        self.fingerprint = fingerprint
        self.request_id = request_id
        self.not_run_failures: dict[str, Failure] = {}
        self.expires_at_ms = expires_at_ms
        self.state: Literal["running", "settled", "released"] = "running"
        self.outcome: object = None


class IssuedKeyTable:
    """State of the keys that this incarnation issued; the caller must hold a lock.

    A key takes memory from its first use until it expires. Since expired keys are
    refused, removing one never allows a second run.

    Parameters
    ----------
    ttl_ms : int
        Age at which a key expires.
    n_max : int
        Maximum number of keys in memory.
    """

    def __init__(self, ttl_ms: int, n_max: int) -> None:
        self._ttl_ms = ttl_ms
        self._n_max = n_max
        self._entries: dict[bytes, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def begin(
        self,
        claims: IssuedKeyClaims,
        fingerprint: bytes,
        request_id: str,
        now_ms: float,
    ) -> Result[Run | Pending | Settled, KeyReused | KeyExpired | TooManyKeys]:
        """Begin a request with this key, and return what it must do.

        After ``Run`` the caller must make the call and then call ``settle`` or
        ``release``. Repeating the same request never runs the call again.
        """
        entry = self._entries.get(claims.nonce)
        if entry is not None:
            return self._begin_again(entry, fingerprint, request_id)
        expires_at_ms = claims.issued_at_ms + self._ttl_ms
        if now_ms >= expires_at_ms:
            return Error(KeyExpired())
        self._expire(now_ms)
        if len(self._entries) >= self._n_max:
            return Error(TooManyKeys(RETRY_AFTER_MS))
        self._entries[claims.nonce] = _Entry(fingerprint, request_id, expires_at_ms)
        return Ok(Run())

    def _begin_again(
        self, entry: _Entry, fingerprint: bytes, request_id: str
    ) -> Result[Run | Pending | Settled, KeyReused | TooManyKeys]:
        if entry.fingerprint != fingerprint:
            return Error(KeyReused())
        if request_id in entry.not_run_failures:
            return Ok(Settled(entry.not_run_failures[request_id]))
        if entry.state == "running":
            return Ok(Pending())
        if entry.state == "settled":
            return Ok(Settled(entry.outcome))
        if len(entry.not_run_failures) >= MAX_NOT_RUN_REQUESTS:
            return Error(TooManyKeys(RETRY_AFTER_MS))
        entry.state = "running"
        entry.request_id = request_id
        return Ok(Run())

    def settle(self, nonce: bytes, outcome: object) -> None:
        """Store the outcome of a call that ended."""
        entry = self._entries[nonce]
        entry.state = "settled"
        entry.outcome = outcome

    def release(self, nonce: bytes, failure: Failure) -> None:
        """Store that the call provably did not run; another request may run it."""
        entry = self._entries[nonce]
        entry.state = "released"
        entry.not_run_failures[entry.request_id] = failure

    def _expire(self, now_ms: float) -> None:
        # Entries are in insertion order, which is roughly the order of expiry.
        expired = itertools.takewhile(
            lambda item: item[1].expires_at_ms <= now_ms, self._entries.items()
        )
        ended = [nonce for nonce, entry in expired if entry.state != "running"]
        for nonce in ended:
            del self._entries[nonce]


def _base64url(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode("ascii")

"""Keys that an instance issues, and its memory of the calls made with them.

An issued key names its issuer and the issuer's run. Only that run executes calls with
the key, from memory, so they need nothing from the key-value service. Once the run is
gone nobody executes them: the outcome is then unknown for good.
"""

import base64
import hashlib
import hmac
from typing import Literal, NamedTuple

import msgspec
from expression import Error, Ok, Result

from ..errors import Failure
from .errors import KeyExpired, KeyNotGenuine, KeyReused, TooManyKeys

PREFIX = "ik1."
NONCE_BYTES = 12
MAC_BYTES = 16
RETRY_AFTER_MS = 1_000
#: Requests that may find no server with one key before the key is refused.
MAX_REFUSALS = 32


class IssuedKeyClaims(msgspec.Struct, array_like=True, frozen=True):
    """What an issued key says; times are the issuer's monotonic clock."""

    instance_id: str
    incarnation: str
    nonce: bytes
    issued_at_ms: int


class KeySeal:
    """Seals issued keys to a client account and member.

    Parameters
    ----------
    secret : bytes
        Shared by all instances.
    """

    def __init__(self, secret: bytes) -> None:
        self._key = hashlib.blake2b(secret, person=b"issued-keys").digest()
        self._decoder = msgspec.msgpack.Decoder(IssuedKeyClaims)

    def seal(self, claims: IssuedKeyClaims, client_account: str, member: str) -> str:
        """Return the key as its caller gets it."""
        raw = msgspec.msgpack.encode(claims)
        return PREFIX + _text(self._mac(raw, client_account, member) + raw)

    def open(
        self, key: str, client_account: str, member: str
    ) -> Result[IssuedKeyClaims, KeyNotGenuine]:
        """Return what a genuine key of this caller says."""
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
    """Tell whether ``key`` claims to be an issued one."""
    return key.startswith(PREFIX)


class Run(NamedTuple):
    """The call has not run and is now the asker's to run."""


class Pending(NamedTuple):
    """The call is running."""


class Settled(NamedTuple):
    """The call ended; ``outcome`` is whatever was kept of it."""

    outcome: object


class _Entry:
    """Memory of one key.

    ``refusals`` are the requests that were told that the call did not run: a
    duplicate of one that arrives late must not run it after all.
    """

    def __init__(
        self, fingerprint: bytes, request_id: str, expires_at_ms: float
    ) -> None:
        self.fingerprint = fingerprint
        self.request_id = request_id
        self.refusals: dict[str, Failure] = {}
        self.expires_at_ms = expires_at_ms
        self.state: Literal["running", "settled", "released"] = "running"
        self.outcome: object = None


class IssuedTable:
    """What this run remembers of the keys that it issued; the caller locks.

    A key takes memory from its first use to its expiry. Since an expired key is
    refused, forgetting it never makes a second run possible.

    Parameters
    ----------
    ttl_ms : int
        Age at which a key expires.
    n_max : int
        Keys in memory at once.
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
        """Say what a request with this key gets; ``Run`` obliges it to finish.

        Asking again for the same request never runs it again.
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
        if request_id in entry.refusals:
            return Ok(Settled(entry.refusals[request_id]))
        if entry.state == "running":
            return Ok(Pending())
        if entry.state == "settled":
            return Ok(Settled(entry.outcome))
        if len(entry.refusals) >= MAX_REFUSALS:
            return Error(TooManyKeys(RETRY_AFTER_MS))
        entry.state = "running"
        entry.request_id = request_id
        return Ok(Run())

    def settle(self, nonce: bytes, outcome: object) -> None:
        """Note how the call ended."""
        entry = self._entries[nonce]
        entry.state = "settled"
        entry.outcome = outcome

    def release(self, nonce: bytes, failure: Failure) -> None:
        """Note that the call provably did not run; another request may run it."""
        entry = self._entries[nonce]
        entry.state = "released"
        entry.refusals[entry.request_id] = failure

    def _expire(self, now_ms: float) -> None:
        # Keys enter in about the order in which they expire.
        while self._entries:
            nonce, entry = next(iter(self._entries.items()))
            if entry.state == "running" or entry.expires_at_ms > now_ms:
                return
            del self._entries[nonce]


def _text(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode("ascii")

"""Authenticates callers by the SHA-256 of their API key."""

import hashlib
import hmac

from expression import Error, Ok, Result

from ..conf.settings import CallerKeySettings
from ..dispatch import Caller
from .errors import Unauthenticated

BEARER = "Bearer "


class CallerKeys:
    """Maps hashes of API keys to callers; the keys themselves are not held."""

    def __init__(self, keys: tuple[CallerKeySettings, ...]) -> None:
        self._callers = {
            key.sha256: Caller(key.client_account, key.member) for key in keys
        }

    def authenticate(self, authorization: str) -> Result[Caller, Unauthenticated]:
        """Return the caller whose key an ``Authorization`` header carries."""
        if not authorization.startswith(BEARER):
            return Error(Unauthenticated())
        digest = key_digest(authorization.removeprefix(BEARER).strip())
        # A lookup by digest needs no constant-time comparison: its timing reveals
        # nothing about the other keys.
        caller = self._callers.get(digest)
        return Ok(caller) if caller else Error(Unauthenticated())


def key_digest(key: str) -> str:
    """Return the hexadecimal SHA-256 that settings hold in place of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def is_known_key(key: str, digests: tuple[str, ...]) -> bool:
    """Return whether the digest of ``key`` is in ``digests``, in constant time."""
    found = key_digest(key)
    matches = [hmac.compare_digest(found, digest) for digest in digests]
    return any(matches)

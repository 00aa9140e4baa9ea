"""Finds the client account of a caller's key."""

import hashlib
import hmac

from expression import Error, Ok, Result

from ..conf.settings import CallerKeySettings
from ..dispatch import Caller
from .errors import Unauthenticated

BEARER = "Bearer "


class CallerKeys:
    """Callers by the hash of their key; holds no key."""

    def __init__(self, keys: tuple[CallerKeySettings, ...]) -> None:
        self._callers = {
            key.sha256: Caller(key.client_account, key.member) for key in keys
        }

    def authenticate(self, authorization: str) -> Result[Caller, Unauthenticated]:
        """Return the caller that an ``Authorization`` header names."""
        if not authorization.startswith(BEARER):
            return Error(Unauthenticated())
        digest = key_digest(authorization.removeprefix(BEARER).strip())
        # The table is searched by digest, which tells nothing about other keys.
        caller = self._callers.get(digest)
        return Ok(caller) if caller else Error(Unauthenticated())


def key_digest(key: str) -> str:
    """Return the hexadecimal SHA-256 under which a key is kept in settings."""
    return hashlib.sha256(key.encode()).hexdigest()


def is_known_key(key: str, digests: tuple[str, ...]) -> bool:
    """Tell whether ``key`` has one of ``digests``, in constant time."""
    found = key_digest(key)
    matches = [hmac.compare_digest(found, digest) for digest in digests]
    return any(matches)

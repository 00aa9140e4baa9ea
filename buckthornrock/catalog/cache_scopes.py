"""Scopes that separate the cached parts of client accounts.

Accounts that are not isolated share one scope, which differs for each set of isolated
accounts: what an account cached while it shared the scope is out of reach for the
others once it is isolated. An account that is removed while it is isolated stays in the
set; only a configuration that lists it as not isolated takes it out.
"""

import hashlib
from collections.abc import Iterable

from .configuration import ClientAccount, Configuration

DIGEST_BYTES = 8
#: Bounds of the removed accounts that are remembered. Digests, which are datagrams of
#: at most 64 KB, list them all.
MAX_REMOVED_ACCOUNTS = 100
MAX_NAME_CHARS = 200


def merge_isolated(
    known: frozenset[str], reported: Iterable[str], configuration: Configuration
) -> frozenset[str]:
    """Return the accounts that are isolated, or were when they were removed.

    ``known`` is the result for the configuration before, ``reported`` are names that a
    peer sent.
    """
    shared = {account.name for account in configuration.accounts.values()}
    shared -= configuration.isolated_accounts
    reported = {name for name in reported if len(name) <= MAX_NAME_CHARS}
    removed = (known | reported) - configuration.isolated_accounts - shared
    kept = sorted(removed)[:MAX_REMOVED_ACCOUNTS]
    return configuration.isolated_accounts.union(kept)


def shared_scope(isolated_accounts: frozenset[str]) -> str:
    """Return the scope of the accounts that are not isolated.

    The scope is an input of the cache salt, so its text for a set of isolated accounts
    must not change.
    """
    if not isolated_accounts:
        return "shared"
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for name in sorted(isolated_accounts):
        encoded = name.encode()
        digest.update(len(encoded).to_bytes(4, "big") + encoded)
    return f"shared-{digest.hexdigest()}"


def own_scope(account: ClientAccount) -> str:
    """Return the scope of an isolated account, whose text must not change either.

    A slash ends the scope within a cache salt, so slashes in the name are escaped.
    """
    name = account.name.replace("%", "%25").replace("/", "%2F")
    return f"account={name}"

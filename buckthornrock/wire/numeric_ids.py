"""Numeric ids that stand for long names in digests.

The ids are hashes. Two names with the same id make an estimate worse for a while;
nothing that must be correct depends on them.
"""

import hashlib
from functools import lru_cache

_INCARNATION_BYTES = 4
_PART_BYTES = 8
#: Two of 140 accounts have the same id with a probability of 2 in a million.
_ACCOUNT_BYTES = 4
#: Size of each cache of computed ids.
_MAX_CACHED = 16_384


@lru_cache(_MAX_CACHED)
def incarnation_number(upstream_id: str, started_ms: int) -> int:
    """Return the numeric id of one incarnation (one start) of an upstream."""
    return _number(f"{upstream_id}/{started_ms}", _INCARNATION_BYTES)


@lru_cache(_MAX_CACHED)
def part_number(salt: str, part_id: str) -> int:
    """Return the numeric id of a prompt part that is cached under a salt."""
    return _number(f"{salt}/{part_id}", _PART_BYTES)


@lru_cache(_MAX_CACHED)
def account_number(name: str) -> int:
    """Return the numeric id of a client account."""
    return _number(name, _ACCOUNT_BYTES)


def _number(name: str, n_bytes: int) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=n_bytes).digest()
    return int.from_bytes(digest, "big")

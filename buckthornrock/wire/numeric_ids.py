"""Numbers that stand for long names in digests.

Two names with one number make an estimate worse for a while; nothing that must be right
rests on them.
"""

import hashlib
from functools import lru_cache

_INCARNATION_BYTES = 4
_PART_BYTES = 8
#: Names whose numbers are remembered.
_MAX_REMEMBERED = 16_384


@lru_cache(_MAX_REMEMBERED)
def incarnation_number(upstream_id: str, started_ms: int) -> int:
    """Return the number of one start of an upstream."""
    return _number(f"{upstream_id}/{started_ms}", _INCARNATION_BYTES)


@lru_cache(_MAX_REMEMBERED)
def part_number(salt: str, part_id: str) -> int:
    """Return the number of a prompt's part as it is cached under a salt."""
    return _number(f"{salt}/{part_id}", _PART_BYTES)


def _number(name: str, n_bytes: int) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=n_bytes).digest()
    return int.from_bytes(digest, "big")

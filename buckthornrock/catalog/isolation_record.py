"""The record in the store of accounts that are isolated, or were when removed. Pure.

Instances tell each other of removed accounts that were isolated. If all of them
restart at once, only the record is left.
"""

from collections.abc import Iterable

import msgspec
from expression import Result

from ..runtime.decoding import Malformed, decode_json
from .cache_scopes import MAX_NAME_CHARS

RECORD_KEY = "accounts/isolated"
#: Keeps the record below 1 MiB, the largest value of the platform's store, even if
#: every character of the names is escaped.
MAX_RECORDED_ACCOUNTS = 800


def merge_record(recorded: frozenset[str], names: Iterable[str]) -> frozenset[str]:
    """Return what to record; it equals ``recorded`` if nothing is missing.

    Where there is no room for all, ``names`` come before those recorded earlier.
    """
    kept = sorted(name for name in set(names) if len(name) <= MAX_NAME_CHARS)
    kept += sorted(recorded.difference(kept))
    return frozenset(kept[:MAX_RECORDED_ACCOUNTS])


def encode_record(names: Iterable[str]) -> bytes:
    """Return the record of these accounts."""
    return msgspec.json.encode(sorted(names))


def decode_record(value: bytes) -> Result[frozenset[str], Malformed]:
    """Return the recorded accounts."""
    return decode_json(value, list[str]).map(
        lambda names: merge_record(frozenset(), names)
    )

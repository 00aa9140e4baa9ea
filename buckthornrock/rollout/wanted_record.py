"""The record in the store of since when versions of weights have been wanted. Pure.

Instances tell it each other. If all of them restart at once, only the record is left.
It holds times of day, since no other clock outlives a process; where these jump, an age
is wrong by the jump until the next version.
"""

from collections.abc import Iterable

import msgspec
from expression import Error, Ok, Result

from .errors import RecordUnreadable

#: Followed by the name of the model.
RECORD_PREFIX = "rollout/wanted/"


class WantedSince(msgspec.Struct, array_like=True, frozen=True):
    """A wanted version, and since when in Unix milliseconds."""

    version: int
    since_unix_ms: int


def encode_record(ages_ms: Iterable[tuple[int, int]], wall_ms: int) -> bytes:
    """Return the record of versions and of how long each has been wanted."""
    return msgspec.json.encode(
        [WantedSince(version, wall_ms - age_ms) for version, age_ms in ages_ms]
    )


def decode_record(
    value: bytes, wall_ms: int
) -> Result[list[tuple[int, int]], RecordUnreadable]:
    """Return the recorded versions and for how many milliseconds each was wanted."""
    try:
        wanted = msgspec.json.decode(value, type=list[WantedSince])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Error(RecordUnreadable(str(error)))
    return Ok([(w.version, max(0, wall_ms - w.since_unix_ms)) for w in wanted])

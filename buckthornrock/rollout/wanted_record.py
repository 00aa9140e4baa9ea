"""The record in the store of since when versions of weights have been wanted. Pure.

Instances tell it each other. If all of them restart at once, only the record is left.
It holds times of day, since no other clock outlives a process. The instance that wrote
it writes it again when its clock has stepped; until then, and where the clocks of two
instances differ, an age is wrong by the difference.
"""

from collections.abc import Iterable, Mapping

import msgspec
from expression import Result

from ..runtime.decoding import Count, ExactInt, Malformed, decode_json

#: Followed by the name of the model.
RECORD_PREFIX = "rollout/wanted/"


class WantedSince(msgspec.Struct, array_like=True, frozen=True):
    """A wanted version, and since when in Unix milliseconds."""

    version: Count
    since_unix_ms: ExactInt


def encode_record(ages_ms: Iterable[tuple[int, int]], wall_ms: int) -> bytes:
    """Return the record of versions and of how long each has been wanted."""
    return msgspec.json.encode(
        [WantedSince(version, wall_ms - age_ms) for version, age_ms in ages_ms]
    )


def merge_ages(
    known_ms: Iterable[tuple[int, int]], recorded_ms: Iterable[tuple[int, int]]
) -> list[tuple[int, int]]:
    """Return the known versions, each with the longer of its ages.

    A process that has just started may know too short an age.
    """
    recorded: Mapping[int, int] = dict(recorded_ms)
    return [
        (version, max(age_ms, recorded.get(version, 0))) for version, age_ms in known_ms
    ]


def decode_record(
    value: bytes, wall_ms: int
) -> Result[list[tuple[int, int]], Malformed]:
    """Return the recorded versions and for how many milliseconds each was wanted."""
    return decode_json(value, list[WantedSince]).map(
        lambda wanted: [(w.version, max(0, wall_ms - w.since_unix_ms)) for w in wanted]
    )

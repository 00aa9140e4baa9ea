"""Decodes bytes and figures that another program wrote.

Such bytes may hold anything. A decoder here returns a failure for all that it can't
decode and never raises, so that one odd value ends neither a task nor an actor.
"""

import re
from typing import Annotated, Any, NamedTuple

import msgspec
from expression import Error, Ok, Result

#: Longest reason of a failure; it may quote the value.
MAX_REASON_CHARS = 200
MAX_INT64 = 2**63 - 1
#: A whole number that is not negative and fits into a digest, which holds 64 bits.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]
#: A whole number that a float holds exactly.
ExactInt = Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]

#: What decoders of the library raise: ValueError covers its own errors and invalid
#: UTF-8, RecursionError is raised for deeply nested lists.
UNDECODABLE = (ValueError, RecursionError, OverflowError, MemoryError)


#: A whole number that fits into 64 bits.
_COUNT = re.compile(r"[0-9]{1,18}")


class Malformed(NamedTuple):
    """Bytes that don't hold a value of the expected form."""

    reason: str

    code = "malformed"


def decode_json(data: bytes, shape: Any = Any) -> Result[Any, Malformed]:
    """Return the value of type ``shape`` that ``data`` holds as JSON."""
    try:
        return Ok(msgspec.json.decode(data, type=shape))
    except UNDECODABLE as error:
        return Error(malformed(error))


def decode_msgpack(data: bytes, shape: Any = Any) -> Result[Any, Malformed]:
    """Return the value of type ``shape`` that ``data`` holds as MessagePack."""
    try:
        return Ok(msgspec.msgpack.decode(data, type=shape))
    except UNDECODABLE as error:
        return Error(malformed(error))


def parse_count(text: str) -> int | None:
    """Return the whole number that ``text`` holds, None if it holds anything else."""
    text = text.strip()
    return int(text) if _COUNT.fullmatch(text) else None


def malformed(error: Exception) -> Malformed:
    """Return the failure that an exception stands for."""
    return Malformed(str(error)[:MAX_REASON_CHARS] or type(error).__name__)

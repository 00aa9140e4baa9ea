"""Converts profile records to and from their messages."""

import zlib

import msgspec
from expression import Error, Ok, Result

from ..runtime.decoding import UNDECODABLE
from ..wire.profile_messages import ProfileOrders, WireOrder, WireProfile
from .document import Profile
from .errors import UnreadableProfile
from .port import ProfileRecord
from .table import VersionOrder

#: Maximum size of a body after decompression.
MAX_BODY_BYTES = 2_000_000


def to_wire(record: ProfileRecord) -> WireProfile:
    """Return the message for a record."""
    return WireProfile(
        name=record.name,
        version=record.version,
        author=record.author,
        accepted_wall_ms=record.accepted_wall_ms,
        body=zlib.compress(record.raw),
    )


def from_wire(message: WireProfile) -> Result[ProfileRecord, UnreadableProfile]:
    """Return the record that a message carries."""
    try:
        body = zlib.decompressobj().decompress(message.body, MAX_BODY_BYTES)
        profile = msgspec.json.decode(body, type=Profile)
    except (zlib.error, *UNDECODABLE) as error:
        return Error(UnreadableProfile(message.name, str(error)))
    return Ok(
        ProfileRecord(
            name=message.name,
            version=message.version,
            profile=profile,
            trust="peer",
            author=message.author,
            accepted_wall_ms=message.accepted_wall_ms,
            raw=body,
        )
    )


def orders_to_wire(orders: dict[str, VersionOrder]) -> ProfileOrders:
    """Return the message for the version orders of a table."""
    return ProfileOrders(
        tuple(WireOrder(name, *order) for name, order in sorted(orders.items()))
    )


def orders_from_wire(message: ProfileOrders) -> dict[str, VersionOrder]:
    """Return the version orders that a message carries."""
    return {
        order.name: VersionOrder(order.version, order.accepted_wall_ms, order.digest)
        for order in message.orders
    }

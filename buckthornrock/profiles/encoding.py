"""Converts profile records to and from their messages."""

import zlib

import msgspec

from ..wire.profile_messages import ProfileOrders, WireOrder, WireProfile
from .document import Profile
from .port import ProfileRecord
from .table import VersionOrder

#: A compressed body may not grow beyond this.
MAX_BODY_BYTES = 2_000_000


def to_wire(record: ProfileRecord) -> WireProfile:
    """Return the message of a record."""
    return WireProfile(
        name=record.name,
        version=record.version,
        author=record.author,
        accepted_wall_ms=record.accepted_wall_ms,
        body=zlib.compress(record.raw),
    )


def from_wire(message: WireProfile) -> ProfileRecord:
    """Return the record of a message.

    Raises
    ------
    zlib.error, msgspec.MsgspecError
        If the body is damaged or too large.
    """
    body = zlib.decompressobj().decompress(message.body, MAX_BODY_BYTES)
    return ProfileRecord(
        name=message.name,
        version=message.version,
        profile=msgspec.json.decode(body, type=Profile),
        trust="peer",
        author=message.author,
        accepted_wall_ms=message.accepted_wall_ms,
        raw=body,
    )


def orders_to_wire(orders: dict[str, VersionOrder]) -> ProfileOrders:
    """Return the message of a table's orders."""
    return ProfileOrders(
        tuple(WireOrder(name, *order) for name, order in sorted(orders.items()))
    )


def orders_from_wire(message: ProfileOrders) -> dict[str, VersionOrder]:
    """Return the orders of a message."""
    return {
        order.name: VersionOrder(order.version, order.accepted_wall_ms, order.digest)
        for order in message.orders
    }

"""Load slots: keys that limit how many engines of the fleet load weights at once.

A slot is a key bound to its holder's lease, so it is freed when the holder crashes. The
transaction that acquires one compares all slots with what was read, so that of two
instances that read the same state only one succeeds.
"""

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from ..store import Compare, KvEntry, Put, Transaction
from .reconciler import LoadInProgress

KEY_PREFIX = "load-slots/"


class SlotRecord(msgspec.Struct, frozen=True):
    """Which instance holds a slot, and for which engine.

    ``is_roll`` is True if the engine served before, so that loading takes it out.
    """

    instance_id: str
    upstream_id: str
    failure_domain: str
    is_roll: bool


_decoder = msgspec.msgpack.Decoder(SlotRecord)


def slot_key(index: int) -> str:
    """Return the key of slot ``index``."""
    return f"{KEY_PREFIX}{index}"


def decode_loads(entries: Sequence[KvEntry]) -> list[LoadInProgress]:
    """Return the load of each slot that is held."""
    records = [_decoder.decode(entry.value) for entry in entries]
    return [
        LoadInProgress(record.upstream_id, record.failure_domain, record.is_roll)
        for record in records
    ]


class HeldSlot(NamedTuple):
    """A held slot as the key-value service stores it."""

    key: str
    mod_revision: int
    is_roll: bool


def find_held_slot(
    entries: Sequence[KvEntry], upstream_id: str, lease_id: int
) -> HeldSlot | None:
    """Return the slot that is held for the engine under the lease, or None."""
    for entry in entries:
        record = _decoder.decode(entry.value)
        if (record.upstream_id, entry.lease_id) == (upstream_id, lease_id):
            return HeldSlot(entry.key, entry.mod_revision, record.is_roll)
    return None


def acquire_transaction(
    record: SlotRecord, entries: Sequence[KvEntry], n_slots: int, lease_id: int
) -> Transaction | None:
    """Return a transaction that acquires a free slot, or None if none is free.

    Slots beyond ``n_slots``, held since the setting was higher, count as held too.
    """
    found = {entry.key: entry.mod_revision for entry in entries}
    keys = [slot_key(index) for index in range(n_slots)]
    free = [key for key in keys if key not in found]
    if not free or len(found) >= n_slots:
        return None
    compares = tuple(Compare(key, found.get(key, 0)) for key in {*keys, *found})
    value = msgspec.msgpack.encode(record)
    return Transaction(compares, (Put(free[0], value, lease_id),))

"""Load slots of the whole fleet: keys that bound how many engines load at once.

A slot is a key under its holder's lease, so a crash frees it. Taking one compares all
slots with what was read: of two takers that read the same, one fails.
"""

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from ..store import Compare, KvEntry, Put, Transaction
from .reconciler import LoadInProgress

KEY_PREFIX = "load-slots/"


class SlotRecord(msgspec.Struct, frozen=True):
    """Who loads what in a slot."""

    instance_id: str
    upstream_id: str
    failure_domain: str
    is_roll: bool


_decoder = msgspec.msgpack.Decoder(SlotRecord)


def slot_key(index: int) -> str:
    """Return the key of slot ``index``."""
    return f"{KEY_PREFIX}{index}"


def loads_in_progress(entries: Sequence[KvEntry]) -> list[LoadInProgress]:
    """Return the loads that hold a slot."""
    records = [_decoder.decode(entry.value) for entry in entries]
    return [
        LoadInProgress(record.upstream_id, record.failure_domain, record.is_roll)
        for record in records
    ]


class HeldSlot(NamedTuple):
    """A slot as the service holds it."""

    key: str
    mod_revision: int
    is_roll: bool


def held_by(
    entries: Sequence[KvEntry], upstream_id: str, lease_id: int
) -> HeldSlot | None:
    """Return the slot that is held for an engine under a lease."""
    for entry in entries:
        record = _decoder.decode(entry.value)
        if (record.upstream_id, entry.lease_id) == (upstream_id, lease_id):
            return HeldSlot(entry.key, entry.mod_revision, record.is_roll)
    return None


def taking(
    record: SlotRecord, entries: Sequence[KvEntry], n_slots: int, lease_id: int
) -> Transaction | None:
    """Return the transaction that takes a free slot, or None if all are taken.

    Slots beyond ``n_slots``, left from a higher setting, count as taken ones.
    """
    found = {entry.key: entry.mod_revision for entry in entries}
    keys = [slot_key(index) for index in range(n_slots)]
    free = [key for key in keys if key not in found]
    if not free or len(found) >= n_slots:
        return None
    compares = tuple(Compare(key, found.get(key, 0)) for key in {*keys, *found})
    value = msgspec.msgpack.encode(record)
    return Transaction(compares, (Put(free[0], value, lease_id),))

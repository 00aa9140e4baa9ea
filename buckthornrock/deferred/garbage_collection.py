"""Deletes what is needed no more: results, blobs and records of idempotency keys.

What may be deleted was noted under the minute from which on it may be. One instance
goes through these minutes in order and keeps its place in the service.
"""

import msgspec

from ..store import CommitDone, Compare, Delete, KvPort, Put, Transaction
from .records import (
    PREFIX,
    TRASH_STEP_MS,
    DeletionRecord,
    Pin,
    pin_key,
    trash_prefix,
)

CURSOR_KEY = f"{PREFIX}trash-cursor"
#: Where a collection without a cursor starts; nothing is older.
FIRST_LOOK_BACK_MS = 3_600_000
#: Steps of the cursor in one run.
MAX_STEPS = 30
MAX_DELETES = 60


class GarbageCollector:
    """Goes through the notes of what may be deleted."""

    def __init__(self, kv: KvPort) -> None:
        self._kv = kv

    def step(self, wall_ms: int) -> None:
        """Delete what has come due, up to a bounded amount of work."""
        entry = self._kv.get(CURSOR_KEY)
        if entry.is_error():
            return
        revision = entry.ok.mod_revision if entry.ok else 0
        at_ms = int(entry.ok.value) if entry.ok else wall_ms - FIRST_LOOK_BACK_MS
        start_ms = at_ms
        for _ in range(MAX_STEPS):
            if at_ms + TRASH_STEP_MS > wall_ms or not self._empty(at_ms, wall_ms):
                break
            at_ms += TRASH_STEP_MS
        if at_ms == start_ms and entry.ok:
            return
        put = Put(CURSOR_KEY, str(at_ms).encode())
        compare = Compare(CURSOR_KEY, revision)
        self._kv.commit(Transaction((compare,), (put,)))

    def _empty(self, at_ms: int, wall_ms: int) -> bool:
        """Delete everything under one prefix; return whether that was done."""
        entries = self._kv.get_prefix(trash_prefix(at_ms))
        if entries.is_error():
            return False
        for entry in entries.ok:
            trash = msgspec.msgpack.decode(entry.value, type=DeletionRecord)
            if not self._delete(entry.key, trash, wall_ms):
                return False
        return True

    def _delete(self, key: str, trash: DeletionRecord, wall_ms: int) -> bool:
        keys = [*trash.keys, key]
        compares: tuple[Compare, ...] = ()
        if trash.blob_id:
            pin = self._kv.get(pin_key(trash.blob_id))
            if pin.is_error():
                return False
            expires_ms = _expires_ms(pin.ok.value) if pin.ok else 0
            if expires_ms > wall_ms:
                # Pinned anew meanwhile, which left a later note.
                keys = [key]
            else:
                keys.append(pin_key(trash.blob_id))
            revision = pin.ok.mod_revision if pin.ok else 0
            compares = (Compare(pin_key(trash.blob_id), revision),)
        for start in range(0, len(keys), MAX_DELETES):
            deletes = tuple(Delete(k) for k in keys[start : start + MAX_DELETES])
            outcome = self._kv.commit(Transaction(compares, deletes))
            if not isinstance(outcome, CommitDone):
                return False
        return True


def _expires_ms(raw: bytes) -> int:
    return msgspec.msgpack.decode(raw, type=Pin).expires_wall_ms

"""Deletes expired results, blobs and records of idempotency keys.

Deletion records are stored under the minute from which on their keys may be deleted.
One instance processes these minutes in order and stores its position, the cursor, in
the key-value service.
"""

import msgspec

from ..store import CommitDone, Compare, Delete, KvPort, Put, Transaction
from .records import (
    DELETION_STEP_MS,
    PREFIX,
    DeletionRecord,
    Pin,
    deletion_prefix,
    pin_key,
)

CURSOR_KEY = f"{PREFIX}trash-cursor"
#: Without a cursor, collection starts this long ago; no record is older.
INITIAL_LOOK_BACK_MS = 3_600_000
#: Minutes that one step processes at most.
MAX_STEPS = 30
MAX_DELETES = 60


class GarbageCollector:
    """Processes deletion records that have come due."""

    def __init__(self, kv: KvPort) -> None:
        self._kv = kv

    def step(self, wall_ms: int) -> None:
        """Process due deletion records, a limited number of minutes per step."""
        entry = self._kv.get(CURSOR_KEY)
        if entry.is_error():
            return
        revision = entry.ok.mod_revision if entry.ok else 0
        at_ms = int(entry.ok.value) if entry.ok else wall_ms - INITIAL_LOOK_BACK_MS
        start_ms = at_ms
        for _ in range(MAX_STEPS):
            if at_ms + DELETION_STEP_MS > wall_ms or not self._delete_due(
                at_ms, wall_ms
            ):
                break
            at_ms += DELETION_STEP_MS
        if at_ms == start_ms and entry.ok:
            return
        put = Put(CURSOR_KEY, str(at_ms).encode())
        compare = Compare(CURSOR_KEY, revision)
        self._kv.commit(Transaction((compare,), (put,)))

    def _delete_due(self, at_ms: int, wall_ms: int) -> bool:
        """Process the records of one minute; return whether all were processed."""
        entries = self._kv.get_prefix(deletion_prefix(at_ms))
        if entries.is_error():
            return False
        for entry in entries.ok:
            record = msgspec.msgpack.decode(entry.value, type=DeletionRecord)
            if not self._delete(entry.key, record, wall_ms):
                return False
        return True

    def _delete(self, key: str, record: DeletionRecord, wall_ms: int) -> bool:
        keys = [*record.keys, key]
        compares: tuple[Compare, ...] = ()
        if record.blob_id:
            pin = self._kv.get(pin_key(record.blob_id))
            if pin.is_error():
                return False
            expires_ms = _expires_ms(pin.ok.value) if pin.ok else 0
            if expires_ms > wall_ms:
                # The pin was extended meanwhile, which wrote a later deletion record.
                keys = [key]
            else:
                keys.append(pin_key(record.blob_id))
            revision = pin.ok.mod_revision if pin.ok else 0
            compares = (Compare(pin_key(record.blob_id), revision),)
        for start in range(0, len(keys), MAX_DELETES):
            deletes = tuple(Delete(k) for k in keys[start : start + MAX_DELETES])
            outcome = self._kv.commit(Transaction(compares, deletes))
            if not isinstance(outcome, CommitDone):
                return False
        return True


def _expires_ms(raw: bytes) -> int:
    return msgspec.msgpack.decode(raw, type=Pin).expires_wall_ms

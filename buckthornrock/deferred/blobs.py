"""Blobs in the key-value service: shared prefixes and large prompts.

A blob is its parts and a pin that says until when it is needed. A job is accepted in
a transaction that compares the pin's revision, and a blob is deleted in one that
compares it too, so that neither can overlook the other.
"""

import threading
from collections import OrderedDict

import msgspec
from expression import Error, Ok, Result

from ..store import (
    CommitConflict,
    CommitDone,
    Compare,
    KvEntry,
    KvPort,
    Put,
    Transaction,
)
from ..store.errors import KvUnavailable
from .errors import NotAccepted
from .packing import Blob, split_value
from .records import (
    HOUR_MS,
    DeletionRecord,
    Pin,
    part_key,
    pin_key,
    trash_prefix,
)

#: Pins are extended by at least this much, so that most jobs only compare them.
PIN_STEP_MS = 6 * HOUR_MS
MAX_CACHED_BYTES = 8_000_000
MAX_CACHED_PINS = 4_096


class BlobStore:
    """Blobs, with a cache of the ones that were read last."""

    def __init__(self, kv: KvPort) -> None:
        self._kv = kv
        self._lock = threading.Lock()
        self._pins: OrderedDict[str, tuple[Pin, int]] = OrderedDict()
        self._contents: OrderedDict[str, bytes] = OrderedDict()
        self._n_cached_bytes = 0

    def ensure(
        self, blob: Blob, needed_until_wall_ms: int
    ) -> Result[Compare, NotAccepted]:
        """Make ``blob`` durable for as long as it is needed.

        Returns
        -------
        Result
            The comparison that an accepting transaction makes.
        """
        known = self._pins.get(blob.blob_id)
        if known is None or known[0].expires_wall_ms < needed_until_wall_ms:
            entry = self._kv.get(pin_key(blob.blob_id))
            if entry.is_error():
                return Error(NotAccepted(entry.error.reason, "true"))
            written = self._write(blob, entry.ok, needed_until_wall_ms)
            if written.is_error():
                return written
            known = written.ok
            self._remember_pin(blob.blob_id, *known)
        return Ok(Compare(pin_key(blob.blob_id), known[1]))

    def forget_pin(self, blob_id: str) -> None:
        """Read the pin again next time; it is not as it was."""
        self._pins.pop(blob_id, None)

    def load(self, blob_id: str) -> Result[bytes | None, KvUnavailable]:
        """Return the content, or None if the blob is gone."""
        cached = self._cached(blob_id)
        if cached is not None:
            return Ok(cached)
        pin = self._kv.get(pin_key(blob_id))
        if pin.is_error() or pin.ok is None:
            return pin
        parts = []
        for index in range(_pin_of(pin.ok).n_parts):
            part = self._kv.get(part_key(blob_id, index))
            if part.is_error() or part.ok is None:
                return part
            parts.append(part.ok.value)
        content = b"".join(parts)
        self._remember(blob_id, content)
        return Ok(content)

    def _write(
        self, blob: Blob, entry: KvEntry | None, needed_until_wall_ms: int
    ) -> Result[tuple[Pin, int], NotAccepted]:
        parts = split_value(blob.content)
        found = _pin_of(entry) if entry else None
        if found and found.expires_wall_ms >= needed_until_wall_ms:
            return Ok((found, entry.mod_revision))
        pin = Pin(needed_until_wall_ms + PIN_STEP_MS, len(parts))
        compares = [Compare(pin_key(blob.blob_id), entry.mod_revision if entry else 0)]
        if entry is None:
            # Noted with the first part, so that parts without a pin go as well.
            written = self._write_parts(blob.blob_id, parts, _trash(blob.blob_id, pin))
            if written.is_error():
                return written
            # A part may be another writer's; its revision proves that it is there.
            compares += written.ok
        writes = (
            Put(pin_key(blob.blob_id), msgspec.msgpack.encode(pin)),
            _trash(blob.blob_id, pin),
        )
        outcome = self._kv.commit(Transaction(tuple(compares), writes))
        if isinstance(outcome, CommitDone):
            return Ok((pin, outcome.revision))
        # Nothing of the job itself was written yet, whatever became of the pin.
        return Error(NotAccepted(outcome.code, "true"))

    def _write_parts(
        self, blob_id: str, parts: tuple[bytes, ...], trash: Put
    ) -> Result[list[Compare], NotAccepted]:
        compares = []
        for index, part in enumerate(parts):
            key = part_key(blob_id, index)
            writes = (Put(key, part),) if index else (Put(key, part), trash)
            outcome = self._kv.commit(Transaction((Compare(key, 0),), writes))
            if isinstance(outcome, CommitDone):
                compares.append(Compare(key, outcome.revision))
                continue
            if not isinstance(outcome, CommitConflict):
                return Error(NotAccepted(outcome.code, "true"))
            entry = next((e for e in outcome.entries if e.key == key), None)
            if entry is None:
                return Error(NotAccepted(outcome.code, "true"))
            compares.append(Compare(key, entry.mod_revision))
        return Ok(compares)

    def _remember_pin(self, blob_id: str, pin: Pin, revision: int) -> None:
        with self._lock:
            self._pins[blob_id] = (pin, revision)
            if len(self._pins) > MAX_CACHED_PINS:
                self._pins.popitem(last=False)

    def _cached(self, blob_id: str) -> bytes | None:
        with self._lock:
            content = self._contents.get(blob_id)
            if content is not None:
                self._contents.move_to_end(blob_id)
            return content

    def _remember(self, blob_id: str, content: bytes) -> None:
        with self._lock:
            if blob_id in self._contents:
                return
            self._contents[blob_id] = content
            self._n_cached_bytes += len(content)
            while self._n_cached_bytes > MAX_CACHED_BYTES and len(self._contents) > 1:
                _, dropped = self._contents.popitem(last=False)
                self._n_cached_bytes -= len(dropped)


def _pin_of(entry: KvEntry) -> Pin:
    return msgspec.msgpack.decode(entry.value, type=Pin)


def _trash(blob_id: str, pin: Pin) -> Put:
    keys = tuple(part_key(blob_id, index) for index in range(pin.n_parts))
    # An hour beyond the pin, so that clocks need not agree.
    name = trash_prefix(pin.expires_wall_ms + HOUR_MS) + blob_id
    return Put(name, msgspec.msgpack.encode(DeletionRecord(keys, blob_id)))

"""Blobs in the key-value service: shared prefixes and large prompts.

A blob consists of its parts and a pin, which holds the time until which the blob is
needed. The transaction that accepts a job and the one that deletes a blob both compare
the pin's revision, so no job is accepted whose blob is being deleted.
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
    deletion_prefix,
    part_key,
    pin_key,
)

#: Pins are extended by this much more than needed, so that most jobs find a pin that
#: lasts long enough and don't write it.
PIN_STEP_MS = 6 * HOUR_MS
MAX_CACHED_BYTES = 8_000_000
MAX_CACHED_PINS = 4_096


class BlobStore:
    """Reads and writes blobs, with an LRU cache of contents and a cache of pins."""

    def __init__(self, kv: KvPort) -> None:
        self._kv = kv
        self._lock = threading.Lock()
        self._pins: OrderedDict[str, tuple[Pin, int]] = OrderedDict()
        self._contents: OrderedDict[str, bytes] = OrderedDict()
        self._n_cached_bytes = 0

    def ensure(
        self, blob: Blob, needed_until_wall_ms: int
    ) -> Result[Compare, NotAccepted]:
        """Store ``blob`` and pin it at least until ``needed_until_wall_ms``.

        Returns
        -------
        Result
            The comparison of the pin that the transaction accepting the job must make.
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
            self._cache_pin(blob.blob_id, *known)
        return Ok(Compare(pin_key(blob.blob_id), known[1]))

    def forget_pin(self, blob_id: str) -> None:
        """Drop the cached pin, so that it is read again next time."""
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
        for index in range(_decode_pin(pin.ok).n_parts):
            part = self._kv.get(part_key(blob_id, index))
            if part.is_error() or part.ok is None:
                return part
            parts.append(part.ok.value)
        content = b"".join(parts)
        self._cache_content(blob_id, content)
        return Ok(content)

    def _write(
        self, blob: Blob, entry: KvEntry | None, needed_until_wall_ms: int
    ) -> Result[tuple[Pin, int], NotAccepted]:
        parts = split_value(blob.content)
        found = _decode_pin(entry) if entry else None
        if found and found.expires_wall_ms >= needed_until_wall_ms:
            return Ok((found, entry.mod_revision))
        pin = Pin(needed_until_wall_ms + PIN_STEP_MS, len(parts))
        compares = [Compare(pin_key(blob.blob_id), entry.mod_revision if entry else 0)]
        if entry is None:
            # The deletion record is written with the first part, so that parts that
            # never get a pin are deleted as well.
            written = self._write_parts(
                blob.blob_id, parts, _deletion_put(blob.blob_id, pin)
            )
            if written.is_error():
                return written
            # Another writer may have stored a part; comparing its revision proves that
            # it still exists.
            compares += written.ok
        writes = (
            Put(pin_key(blob.blob_id), msgspec.msgpack.encode(pin)),
            _deletion_put(blob.blob_id, pin),
        )
        outcome = self._kv.commit(Transaction(tuple(compares), writes))
        if isinstance(outcome, CommitDone):
            return Ok((pin, outcome.revision))
        # The job itself was not written yet, even if the pin's result is unknown.
        return Error(NotAccepted(outcome.code, "true"))

    def _write_parts(
        self, blob_id: str, parts: tuple[bytes, ...], deletion: Put
    ) -> Result[list[Compare], NotAccepted]:
        compares = []
        for index, part in enumerate(parts):
            key = part_key(blob_id, index)
            writes = (Put(key, part),) if index else (Put(key, part), deletion)
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

    def _cache_pin(self, blob_id: str, pin: Pin, revision: int) -> None:
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

    def _cache_content(self, blob_id: str, content: bytes) -> None:
        with self._lock:
            if blob_id in self._contents:
                return
            self._contents[blob_id] = content
            self._n_cached_bytes += len(content)
            while self._n_cached_bytes > MAX_CACHED_BYTES and len(self._contents) > 1:
                _, dropped = self._contents.popitem(last=False)
                self._n_cached_bytes -= len(dropped)


def _decode_pin(entry: KvEntry) -> Pin:
    return msgspec.msgpack.decode(entry.value, type=Pin)


def _deletion_put(blob_id: str, pin: Pin) -> Put:
    keys = tuple(part_key(blob_id, index) for index in range(pin.n_parts))
    # One hour after the pin expires, to allow for clock skew.
    name = deletion_prefix(pin.expires_wall_ms + HOUR_MS) + blob_id
    return Put(name, msgspec.msgpack.encode(DeletionRecord(keys, blob_id)))

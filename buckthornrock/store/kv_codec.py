"""Encodes requests to the etcd v3 JSON gateway and decodes its responses."""

import base64
from typing import NamedTuple

from .kv_port import (
    WRITE_ID_BYTES,
    Compare,
    Delete,
    KvEntry,
    Put,
    Transaction,
    WatchBatch,
)


class Page(NamedTuple):
    """One page of a range; ``next_key`` is None on the last page."""

    entries: list[KvEntry]
    next_key: bytes | None


class KvCodec:
    """Adds and strips the configured key prefix and the write ids of values."""

    def __init__(self, key_prefix: str) -> None:
        self._prefix = key_prefix

    def raw_key(self, key: str) -> bytes:
        """Return the key as the service stores it."""
        return (self._prefix + key).encode()

    def raw_range(self, prefix: str) -> tuple[bytes, bytes]:
        """Return the first key under a prefix and the first key after it."""
        start = self.raw_key(prefix)
        return start, start[:-1] + bytes([start[-1] + 1])

    def encode_range(self, start: bytes, end: bytes, limit: int) -> dict:
        """Return the body of a range request."""
        return {"key": _b64(start), "range_end": _b64(end), "limit": str(limit)}

    def encode_get(self, key: str) -> dict:
        """Return the body of a range request for one key."""
        return {"key": _b64(self.raw_key(key))}

    def encode_transaction(self, transaction: Transaction, write_id: bytes) -> dict:
        """Return the body of a transaction request."""
        return {
            "compare": [self._encode_compare(c) for c in transaction.compares],
            "success": [self._encode_write(w, write_id) for w in transaction.writes],
            "failure": [
                {"request_range": self.encode_get(c.key)} for c in transaction.compares
            ],
        }

    def encode_watch(self, prefix: str, start_revision: int) -> dict:
        """Return the body of a watch request."""
        start, end = self.raw_range(prefix)
        request = {
            "key": _b64(start),
            "range_end": _b64(end),
            "progress_notify": True,
        }
        if start_revision:
            request["start_revision"] = str(start_revision)
        return {"create_request": request}

    def decode_page(self, body: dict) -> Page:
        """Return one page of a range response."""
        entries = self.decode_entries(body)
        is_last = not body.get("more") or not entries
        return Page(entries, None if is_last else self.raw_key(entries[-1].key) + b"\0")

    def decode_entries(self, body: dict) -> list[KvEntry]:
        """Return the entries of a range response."""
        return [self._entry(kv) for kv in body.get("kvs", ())]

    def decode_conflict(self, body: dict) -> tuple[KvEntry, ...]:
        """Return the entries of the compared keys from a failed transaction."""
        ranges = (item.get("response_range", {}) for item in body.get("responses", ()))
        return tuple(entry for body in ranges for entry in self.decode_entries(body))

    def decode_watch(self, body: dict) -> WatchBatch | None:
        """Return the changes of one watch response; None if the watch was cancelled."""
        result = body.get("result")
        if result is None or result.get("canceled"):
            return None
        events = result.get("events", ())
        puts = [e for e in events if e.get("type", "PUT") == "PUT"]
        deletes = [e for e in events if e.get("type") == "DELETE"]
        return WatchBatch(
            revision=int(result["header"]["revision"]),
            entries=tuple(self._entry(event["kv"]) for event in puts),
            deleted=tuple(self._key(event["kv"]) for event in deletes),
        )

    def _encode_compare(self, compare: Compare) -> dict:
        return {
            "key": _b64(self.raw_key(compare.key)),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(compare.mod_revision),
        }

    def _encode_write(self, write: Put | Delete, write_id: bytes) -> dict:
        key = _b64(self.raw_key(write.key))
        if isinstance(write, Delete):
            return {"request_delete_range": {"key": key}}
        return {
            "request_put": {
                "key": key,
                "value": _b64(write_id + write.value),
                "lease": str(write.lease_id),
            }
        }

    def _entry(self, kv: dict) -> KvEntry:
        raw = base64.b64decode(kv.get("value", ""))
        return KvEntry(
            key=self._key(kv),
            value=raw[WRITE_ID_BYTES:],
            mod_revision=int(kv["mod_revision"]),
            lease_id=int(kv.get("lease", 0)),
            write_id=raw[:WRITE_ID_BYTES],
        )

    def _key(self, kv: dict) -> str:
        return base64.b64decode(kv["key"]).decode().removeprefix(self._prefix)


def _b64(raw: bytes) -> str:
    return base64.b64encode(raw).decode("ascii")

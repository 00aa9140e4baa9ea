"""HTTP client of the platform's key-value store; implements ``StorePort``."""

import base64
import os
import time
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import quote

import msgspec
import urllib3
from expression import Error, Ok, Result

from ..runtime.bounded_http import ResponseLimit, bounded_pool
from ..runtime.decoding import Count, decode_json
from ..store.errors import HistoryGone, KvUnavailable, LeaseGone
from ..store.kv_port import (
    WRITE_ID_BYTES,
    CommitConflict,
    CommitDone,
    CommitNotDone,
    CommitOutcome,
    CommitUnknown,
    KvEntry,
    LeaseGrant,
    Put,
    Snapshot,
    StorePort,
    Transaction,
    WatchBatch,
)
from ..telemetry import Telemetry
from ..telemetry.metrics import KV_CALLS, KV_FAILURES

CALL_TIMEOUT_MS = 1_000.0
#: Added to the waiting time of a watch call to get its read timeout.
WATCH_MARGIN_MS = 500.0
N_POOLED_CONNECTIONS = 4
#: Time and size limits of a whole response, including the waiting time of a watch call.
RESPONSE_LIMIT_MS = 7_000.0
MAX_RESPONSE_BYTES = 16_777_216
#: Time limit for finding out the outcome of a write whose response was lost.
RESOLVE_LIMIT_MS = 3_000.0
RESOLVE_PAUSE_MS = 200.0

_OK, _NOT_FOUND, _GONE, _CONDITION_FAILED = 200, 404, 410, 412
#: Statuses with which the store refuses a call without executing it.
_REFUSED = (403, 429, 503)


class _Item(msgspec.Struct, rename="camel"):
    key: str
    rev: Count
    value: str = ""
    lease: int = 0
    removed: bool = False


class _Items(msgspec.Struct, rename="camel"):
    as_of: Count = 0
    items: list[_Item] = []
    more_pages: bool = False
    events: list[_Item] = []


class _Done(msgspec.Struct, rename="camel"):
    rev: Count


class _Lease(msgspec.Struct, rename="camel"):
    ttl_ms: float
    lease: int = 0


class _Response(NamedTuple):
    status: int
    body: bytes


class _CallFailed(NamedTuple):
    reason: str
    was_sent: bool


def open_store(
    address: str,
    telemetry: Telemetry,
    now_ms: Callable[[], float],
    response_limit_ms: float = RESPONSE_LIMIT_MS,
) -> StorePort:
    """Return the port to the store at ``address`` (IP:PORT)."""
    client = StoreClient(address, telemetry, now_ms, response_limit_ms)
    return StorePort(
        get=client.get,
        snapshot=client.snapshot,
        poll=client.poll,
        commit=client.commit,
        grant_lease=client.grant_lease,
        keep_alive=client.keep_alive,
        revoke_lease=client.revoke_lease,
    )


class StoreClient:
    """Client with one connection pool; its methods block the calling thread."""

    def __init__(
        self,
        address: str,
        telemetry: Telemetry,
        now_ms: Callable[[], float],
        response_limit_ms: float,
    ) -> None:
        host, _, port = address.rpartition(":")
        limit = ResponseLimit(response_limit_ms, MAX_RESPONSE_BYTES)
        self._pool = bounded_pool(host, int(port), limit, N_POOLED_CONNECTIONS)
        self._telemetry = telemetry
        self._now_ms = now_ms

    def get(self, key: str) -> Result[KvEntry | None, KvUnavailable]:
        """Return the entry of one key, or None if it does not exist."""
        response = self._call("GET", f"/kv-key?key={quote(key, safe='')}")
        if response.is_error():
            return Error(KvUnavailable(response.error.reason))
        if response.ok.status == _NOT_FOUND:
            return Ok(None)
        return _decode(response.ok, _Item).map(_entry)

    def snapshot(
        self, prefix: str, may_be_stale: bool = False
    ) -> Result[Snapshot, KvUnavailable]:
        """Return all entries with a prefix, and the revision to watch from."""
        entries: list[KvEntry] = []
        after, revision = "", 0
        while True:
            path = f"/kv-range?pathPrefix={quote(prefix, safe='')}"
            path += f"&after={quote(after, safe='')}" if after else ""
            path += "&serializable=1" if may_be_stale else ""
            response = self._call("GET", path)
            if response.is_error():
                return Error(KvUnavailable(response.error.reason))
            page = _decode(response.ok, _Items)
            if page.is_error():
                return page
            # Later pages may be of another revision. A watch from the earliest one
            # misses no change.
            revision = min(revision or page.ok.as_of, page.ok.as_of)
            entries += [_entry(item) for item in page.ok.items]
            if not page.ok.more_pages or not page.ok.items:
                return Ok(Snapshot(revision, tuple(entries)))
            after = page.ok.items[-1].key

    def poll(
        self, prefix: str, after_revision: int, wait_ms: float
    ) -> Result[WatchBatch, KvUnavailable | HistoryGone]:
        """Return the changes after a revision; wait up to ``wait_ms`` for the first."""
        path = (
            f"/kv-watch?pathPrefix={quote(prefix, safe='')}"
            f"&after={after_revision}&waitMs={int(wait_ms)}"
        )
        response = self._call("GET", path, timeout_ms=wait_ms + WATCH_MARGIN_MS)
        if response.is_error():
            return Error(KvUnavailable(response.error.reason))
        if response.ok.status == _GONE:
            return Error(HistoryGone(after_revision))
        return _decode(response.ok, _Items).map(_watch_batch)

    def commit(self, transaction: Transaction) -> CommitOutcome:
        """Write once; if the response is lost, read back whether the write was done."""
        write_id = os.urandom(WRITE_ID_BYTES)
        response = self._call(
            "POST", "/kv-txn", _encode_transaction(transaction, write_id)
        )
        if response.is_error() and not response.error.was_sent:
            return CommitNotDone(response.error.reason)
        if response.is_error():
            return self._resolve(transaction, write_id, response.error.reason)
        return _outcome(response.ok, write_id)

    def grant_lease(self, ttl_s: float) -> Result[LeaseGrant, KvUnavailable]:
        """Request a new lease."""
        response = self._call("POST", "/kv-lease", {"ttlMs": int(ttl_s * 1000)})
        return _decode_call(response, _Lease).map(
            lambda lease: LeaseGrant(lease.lease, lease.ttl_ms / 1000.0)
        )

    def keep_alive(self, lease_id: int) -> Result[float, KvUnavailable | LeaseGone]:
        """Renew a lease; return its time to live in seconds."""
        response = self._call("POST", f"/kv-keep/{lease_id}")
        if response.is_ok() and response.ok.status == _NOT_FOUND:
            return Error(LeaseGone(lease_id))
        return _decode_call(response, _Lease).map(lambda lease: lease.ttl_ms / 1000.0)

    def revoke_lease(self, lease_id: int) -> Result[None, KvUnavailable]:
        """Revoke a lease."""
        response = self._call("DELETE", f"/kv-lease-end/{lease_id}")
        if response.is_error():
            return Error(KvUnavailable(response.error.reason))
        return Ok(None)

    def _resolve(
        self, transaction: Transaction, write_id: bytes, reason: str
    ) -> CommitOutcome:
        """Read back whether a write whose response was lost was done.

        If its value is not found, the outcome is unknown: the write may still be
        executed later.
        """
        keys = [write.key for write in transaction.writes if isinstance(write, Put)]
        deadline_at_ms = self._now_ms() + RESOLVE_LIMIT_MS
        while keys and self._now_ms() < deadline_at_ms:
            found = self.get(keys[0])
            entry = found.ok if found.is_ok() else None
            if entry is not None and entry.write_id == write_id:
                return CommitDone(entry.mod_revision)
            time.sleep(RESOLVE_PAUSE_MS / 1000.0)
        return CommitUnknown(reason, write_id)

    def _call(
        self,
        method: str,
        path: str,
        body: dict | None = None,
        timeout_ms: float = CALL_TIMEOUT_MS,
    ) -> Result[_Response, _CallFailed]:
        self._telemetry.metrics.incr(KV_CALLS, label=path.split("?")[0].split("/")[1])
        headers = {"Content-Type": "application/json"} if body is not None else {}
        try:
            response = self._pool.request(
                method,
                path,
                body=msgspec.json.encode(body) if body is not None else None,
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=CALL_TIMEOUT_MS / 1000.0, read=timeout_ms / 1000.0
                ),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return self._failed(type(error).__name__, was_sent=False)
        except urllib3.exceptions.HTTPError as error:
            return self._failed(type(error).__name__, was_sent=True)
        if response.status in _REFUSED:
            return self._failed(f"status {response.status}", was_sent=False)
        return Ok(_Response(response.status, response.data))

    def _failed(self, reason: str, was_sent: bool) -> Result[_Response, _CallFailed]:
        self._telemetry.metrics.incr(KV_FAILURES, label=reason.replace(" ", "_"))
        return Error(_CallFailed(reason, was_sent))


def _decode_call(response: Result[_Response, _CallFailed], shape: type) -> Result:
    if response.is_error():
        return Error(KvUnavailable(response.error.reason))
    return _decode(response.ok, shape)


def _decode(response: _Response, shape: type) -> Result:
    if response.status != _OK:
        return Error(KvUnavailable(f"status {response.status}"))
    decoded = decode_json(response.body, shape)
    return decoded.map_error(
        lambda error: KvUnavailable(f"malformed response: {error.reason}")
    )


def _encode_transaction(transaction: Transaction, write_id: bytes) -> dict:
    puts = [write for write in transaction.writes if isinstance(write, Put)]
    return {
        "precondition": [
            {"key": compare.key, "rev": compare.mod_revision}
            for compare in transaction.compares
        ],
        "writes": [
            {
                "key": put.key,
                "value": base64.b64encode(write_id + put.value).decode(),
                "lease": put.lease_id,
            }
            for put in puts
        ],
        "remove": [
            write.key for write in transaction.writes if not isinstance(write, Put)
        ],
    }


def _outcome(response: _Response, write_id: bytes) -> CommitOutcome:
    if response.status == _CONDITION_FAILED:
        found = decode_json(response.body, _Items)
        if found.is_error():
            return CommitNotDone(f"malformed response: {found.error.reason}")
        return CommitConflict(tuple(_entry(item) for item in found.ok.items))
    if response.status == _NOT_FOUND:
        return CommitNotDone("lease gone")
    done = _decode(response, _Done)
    if done.is_error():
        return CommitUnknown(done.error.reason, write_id)
    return CommitDone(done.ok.rev)


def _decode_value(item: _Item) -> bytes:
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError:
        # The value is not base64. It is passed on as it is, so that the decoder of the
        # value rejects and logs it.
        return item.value.encode()


def _entry(item: _Item) -> KvEntry:
    """Return the entry of an item; its ``value`` still begins with the write id."""
    value = _decode_value(item)
    return KvEntry(item.key, value, item.rev, item.lease, value[:WRITE_ID_BYTES])


def _watch_batch(items: _Items) -> WatchBatch:
    newest = {item.key: item for item in items.events}.values()
    return WatchBatch(
        revision=items.as_of,
        entries=tuple(_entry(item) for item in newest if not item.removed),
        deleted=tuple(item.key for item in newest if item.removed),
    )

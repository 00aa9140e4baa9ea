"""The platform's key-value store over HTTP; implements the product's port."""

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
from ..store.errors import HistoryGone, KvUnavailable, LeaseGone
from ..store.kv_port import (
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
#: Added to a watch's own waiting time before it is taken for broken.
WATCH_MARGIN_MS = 500.0
N_POOLED_CONNECTIONS = 4
#: Longest and largest answer, a watch's waiting time included.
RESPONSE_LIMIT_MS = 7_000.0
MAX_ANSWER_BYTES = 16_777_216
#: Time within which the outcome of a write without an answer is looked up.
SETTLE_LIMIT_MS = 3_000.0
SETTLE_PAUSE_MS = 200.0
#: Precedes the payload of each value that the product writes.
WRITE_ID_BYTES = 16

_OK, _NOT_FOUND, _GONE, _CONDITION_FAILED = 200, 404, 410, 412
#: Statuses by which the store says that it did nothing.
_REFUSED = (403, 429, 503)


class _Item(msgspec.Struct, rename="camel"):
    key: str
    rev: int
    value: str = ""
    lease: int = 0
    removed: bool = False


class _Items(msgspec.Struct, rename="camel"):
    as_of: int = 0
    items: list[_Item] = []
    more_pages: bool = False
    events: list[_Item] = []


class _Done(msgspec.Struct, rename="camel"):
    rev: int


class _Lease(msgspec.Struct, rename="camel"):
    ttl_ms: float
    lease: int = 0


class _Answer(NamedTuple):
    status: int
    body: bytes


class _Unanswered(NamedTuple):
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
    """One pool of connections; each method blocks its thread for one call."""

    def __init__(
        self,
        address: str,
        telemetry: Telemetry,
        now_ms: Callable[[], float],
        response_limit_ms: float,
    ) -> None:
        host, _, port = address.rpartition(":")
        limit = ResponseLimit(response_limit_ms, MAX_ANSWER_BYTES)
        self._pool = bounded_pool(host, int(port), limit, N_POOLED_CONNECTIONS)
        self._telemetry = telemetry
        self._now_ms = now_ms

    def get(self, key: str) -> Result[KvEntry | None, KvUnavailable]:
        """Return one key, or None if it does not exist."""
        answer = self._call("GET", f"/kv-key?key={quote(key, safe='')}")
        if answer.is_error():
            return Error(KvUnavailable(answer.error.reason))
        if answer.ok.status == _NOT_FOUND:
            return Ok(None)
        return _decoded(answer.ok, _Item).map(_entry)

    def snapshot(self, prefix: str) -> Result[Snapshot, KvUnavailable]:
        """Return all keys with a prefix, and the revision from which to watch."""
        entries: list[KvEntry] = []
        after, revision = "", 0
        while True:
            path = f"/kv-range?pathPrefix={quote(prefix, safe='')}"
            path += f"&after={quote(after, safe='')}" if after else ""
            answer = self._call("GET", path)
            if answer.is_error():
                return Error(KvUnavailable(answer.error.reason))
            page = _decoded(answer.ok, _Items)
            if page.is_error():
                return page
            # Pages differ in age; watching from the first misses nothing.
            revision = revision or page.ok.as_of
            entries += [_entry(item) for item in page.ok.items]
            if not page.ok.more_pages or not page.ok.items:
                return Ok(Snapshot(revision, tuple(entries)))
            after = page.ok.items[-1].key

    def poll(
        self, prefix: str, after_revision: int, wait_ms: float
    ) -> Result[WatchBatch, KvUnavailable | HistoryGone]:
        """Return what changed after a revision; waits until something did."""
        path = (
            f"/kv-watch?pathPrefix={quote(prefix, safe='')}"
            f"&after={after_revision}&waitMs={int(wait_ms)}"
        )
        answer = self._call("GET", path, timeout_ms=wait_ms + WATCH_MARGIN_MS)
        if answer.is_error():
            return Error(KvUnavailable(answer.error.reason))
        if answer.ok.status == _GONE:
            return Error(HistoryGone(after_revision))
        return _decoded(answer.ok, _Items).map(_change)

    def commit(self, transaction: Transaction) -> CommitOutcome:
        """Write once; a lost answer is settled by reading back."""
        write_id = os.urandom(WRITE_ID_BYTES)
        answer = self._call("POST", "/kv-txn", _transaction(transaction, write_id))
        if answer.is_error() and not answer.error.was_sent:
            return CommitNotDone(answer.error.reason)
        if answer.is_error():
            return self._settle(transaction, write_id, answer.error.reason)
        return _outcome(answer.ok, write_id)

    def grant_lease(self, ttl_s: float) -> Result[LeaseGrant, KvUnavailable]:
        """Ask for a lease."""
        answer = self._call("POST", "/kv-lease", {"ttlMs": int(ttl_s * 1000)})
        return _body_of(answer, _Lease).map(
            lambda lease: LeaseGrant(lease.lease, lease.ttl_ms / 1000.0)
        )

    def keep_alive(self, lease_id: int) -> Result[float, KvUnavailable | LeaseGone]:
        """Renew a lease; return its time to live in seconds."""
        answer = self._call("POST", f"/kv-keep/{lease_id}")
        if answer.is_ok() and answer.ok.status == _NOT_FOUND:
            return Error(LeaseGone(lease_id))
        return _body_of(answer, _Lease).map(lambda lease: lease.ttl_ms / 1000.0)

    def revoke_lease(self, lease_id: int) -> Result[None, KvUnavailable]:
        """Give a lease back."""
        answer = self._call("DELETE", f"/kv-lease-end/{lease_id}")
        if answer.is_error():
            return Error(KvUnavailable(answer.error.reason))
        return Ok(None)

    def _settle(
        self, transaction: Transaction, write_id: bytes, reason: str
    ) -> CommitOutcome:
        """Look for the values of a write whose answer was lost.

        Seeing nothing proves nothing: the write may still be carried out later.
        """
        keys = [write.key for write in transaction.writes if isinstance(write, Put)]
        give_up_at_ms = self._now_ms() + SETTLE_LIMIT_MS
        while keys and self._now_ms() < give_up_at_ms:
            found = self.get(keys[0])
            entry = found.ok if found.is_ok() else None
            if entry is not None and entry.write_id == write_id:
                return CommitDone(entry.mod_revision)
            time.sleep(SETTLE_PAUSE_MS / 1000.0)
        return CommitUnknown(reason, write_id)

    def _call(
        self,
        method: str,
        path: str,
        body: dict | None = None,
        timeout_ms: float = CALL_TIMEOUT_MS,
    ) -> Result[_Answer, _Unanswered]:
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
        return Ok(_Answer(response.status, response.data))

    def _failed(self, reason: str, was_sent: bool) -> Result[_Answer, _Unanswered]:
        self._telemetry.metrics.incr(KV_FAILURES, label=reason.replace(" ", "_"))
        return Error(_Unanswered(reason, was_sent))


def _body_of(answer: Result[_Answer, _Unanswered], shape: type) -> Result:
    if answer.is_error():
        return Error(KvUnavailable(answer.error.reason))
    return _decoded(answer.ok, shape)


def _decoded(answer: _Answer, shape: type) -> Result:
    if answer.status != _OK:
        return Error(KvUnavailable(f"status {answer.status}"))
    try:
        return Ok(msgspec.json.decode(answer.body, type=shape))
    except msgspec.MsgspecError as error:
        return Error(KvUnavailable(f"malformed answer: {error}"))


def _transaction(transaction: Transaction, write_id: bytes) -> dict:
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


def _outcome(answer: _Answer, write_id: bytes) -> CommitOutcome:
    if answer.status == _CONDITION_FAILED:
        items = msgspec.json.decode(answer.body, type=_Items).items
        return CommitConflict(tuple(_entry(item) for item in items))
    if answer.status == _NOT_FOUND:
        return CommitNotDone("lease gone")
    done = _decoded(answer, _Done)
    if done.is_error():
        return CommitUnknown(done.error.reason, write_id)
    return CommitDone(done.ok.rev)


def _raw(item: _Item) -> bytes:
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError:
        # Not base64: decoders of the value refuse it and say so in the log.
        return item.value.encode()


def _entry(item: _Item) -> KvEntry:
    """Return the item; ``value`` is whole, ``write_id`` its first bytes."""
    value = _raw(item)
    return KvEntry(item.key, value, item.rev, item.lease, value[:WRITE_ID_BYTES])


def _change(items: _Items) -> WatchBatch:
    newest = {item.key: item for item in items.events}.values()
    return WatchBatch(
        revision=items.as_of,
        entries=tuple(_entry(item) for item in newest if not item.removed),
        deleted=tuple(item.key for item in newest if item.removed),
    )


def payload(entry: KvEntry) -> bytes:
    """Return what the product wrote, without the write id."""
    return entry.value[WRITE_ID_BYTES:]

"""Client of the key-value service (etcd v3 JSON gateway): retries and outcomes."""

import os
import random
from collections.abc import Callable, Iterator

from expression import Error, Ok, Result

from ..conf.settings import KvSettings
from ..runtime import Clock, system_clock
from ..telemetry import Telemetry
from .breaker import backoff_ms
from .budget import LEASE_KIND, CallKind, kind_of
from .errors import KvUnavailable, LeaseGone
from .kv_codec import WRITE_ID_BYTES, KvCodec
from .kv_http import CallFailed, KvHttp
from .kv_port import (
    CommitConflict,
    CommitDone,
    CommitNotDone,
    CommitOutcome,
    CommitUnknown,
    KvEntry,
    KvPort,
    LeaseGrant,
    Put,
    Transaction,
    WatchBatch,
)

READ_LIMIT_MS = 2_500.0
COMMIT_LIMIT_MS = 4_000.0
READ_BACK_LIMIT_MS = 500.0
#: Time limit of calls that the breaker or the budget refuses. It is longer than the
#: breaker waits between two trial calls.
LOCAL_REJECTION_LIMIT_MS = 1_000.0
PAGE_ENTRIES = 200


def open_kv(
    settings: KvSettings,
    telemetry: Telemetry,
    clock: Clock | None = None,
    rng: random.Random | None = None,
    n_instances: Callable[[], int] = lambda: 1,
) -> KvPort:
    """Return the port to the key-value service at ``settings.url``.

    Parameters
    ----------
    settings : KvSettings
        URL, timeouts, key prefix and the fleet's budget.
    telemetry : Telemetry
        Receives the count of calls by kind.
    clock : Clock, optional
        Defaults to the system clock.
    rng : random.Random, optional
        Source of the jitter of retries.
    n_instances : callable
        Number of instances that share the fleet's budget.
    """
    clock = clock or system_clock()
    rng = rng or random.Random()
    http = KvHttp(settings, telemetry, clock, rng, n_instances)
    client = KvClient(http, KvCodec(settings.key_prefix), clock, rng)
    return KvPort(
        get=client.get,
        get_prefix=client.get_prefix,
        commit=client.commit,
        grant_lease=client.grant_lease,
        keep_alive=client.keep_alive,
        revoke_lease=client.revoke_lease,
        watch=client.watch,
        is_answering=http.is_answering,
    )


class KvClient:
    """Retries calls over one HTTP client; keeps no other state.

    The methods are those of :class:`KvPort`.
    """

    def __init__(
        self, http: KvHttp, codec: KvCodec, clock: Clock, rng: random.Random
    ) -> None:
        self._http = http
        self._codec = codec
        self._clock = clock
        self._rng = rng

    def get(self, key: str) -> Result[KvEntry | None, KvUnavailable]:
        """Return the entry of one key, or None if it does not exist."""
        answer = self._read(kind_of(key), self._codec.encode_get(key))
        return answer.map(
            lambda body: next(iter(self._codec.decode_entries(body)), None)
        )

    def get_prefix(self, prefix: str) -> Result[list[KvEntry], KvUnavailable]:
        """Return all entries under a prefix, read in pages."""
        entries: list[KvEntry] = []
        key, end = self._codec.raw_range(prefix)
        while key is not None:
            body = self._codec.encode_range(key, end, PAGE_ENTRIES)
            answer = self._read(kind_of(prefix), body)
            if answer.is_error():
                return answer
            page = self._codec.decode_page(answer.ok)
            entries += page.entries
            key = page.next_key
        return Ok(entries)

    def commit(
        self, transaction: Transaction, limit_ms: float = COMMIT_LIMIT_MS
    ) -> CommitOutcome:
        """Commit a transaction; retry for up to ``limit_ms`` if the answer was lost.

        Retries carry the same write id, so an effect of an earlier copy is recognised.
        """
        write_id = os.urandom(WRITE_ID_BYTES)
        body = self._codec.encode_transaction(transaction, write_id)
        kind = kind_of(transaction.writes[0].key)
        started_at_ms = self._clock.now_ms()
        deadline_at_ms = started_at_ms + limit_ms
        was_sent = False
        attempt = 0
        while True:
            answer = self._http.call(kind, "write", "/v3/kv/txn", body, deadline_at_ms)
            if answer.is_ok():
                return self._outcome(answer.ok, write_id, was_sent)
            if answer.error.is_refused and not was_sent:
                return CommitNotDone(answer.error.reason)
            if answer.error.is_refused:
                # An earlier copy may have taken effect before the lease was gone.
                return CommitUnknown(answer.error.reason, write_id)
            was_sent = was_sent or answer.error.was_sent
            revision = self._own_revision(transaction, write_id) if was_sent else 0
            if revision:
                return CommitDone(revision)
            if answer.error.is_rejected_locally and not was_sent:
                # Nothing was sent, so the call can fail soon, but not before the
                # breaker allows its next trial call.
                limit_ms = min(limit_ms, LOCAL_REJECTION_LIMIT_MS)
            if not self._wait_to_retry(attempt, started_at_ms + limit_ms):
                break
            attempt += 1
        if was_sent:
            return CommitUnknown(answer.error.reason, write_id)
        return CommitNotDone(answer.error.reason)

    def grant_lease(self, ttl_s: int) -> Result[LeaseGrant, KvUnavailable]:
        """Request a lease."""
        answer = self._lease_call("/v3/lease/grant", {"TTL": str(ttl_s)})
        return answer.map(lambda body: LeaseGrant(int(body["ID"]), int(body["TTL"])))

    def keep_alive(self, lease_id: int) -> Result[int, KvUnavailable | LeaseGone]:
        """Renew a lease; return its new time to live in seconds."""
        answer = self._lease_call("/v3/lease/keepalive", {"ID": str(lease_id)})
        if answer.is_error():
            return answer
        ttl_s = int(answer.ok.get("result", {}).get("TTL", 0))
        return Ok(ttl_s) if ttl_s > 0 else Error(LeaseGone(lease_id))

    def revoke_lease(self, lease_id: int) -> Result[None, KvUnavailable]:
        """Revoke a lease."""
        answer = self._lease_call("/v3/lease/revoke", {"ID": str(lease_id)})
        return answer.map(lambda _: None)

    def watch(self, prefix: str, start_revision: int) -> Iterator[WatchBatch]:
        """Yield changes until the watch ends."""
        body = self._codec.encode_watch(prefix, start_revision)
        for answer in self._http.stream(kind_of(prefix), "/v3/watch", body):
            batch = self._codec.decode_watch(answer)
            if batch is None:
                return
            yield batch

    def _read(self, kind: CallKind, body: dict) -> Result[dict, KvUnavailable]:
        started_at_ms = self._clock.now_ms()
        limit_ms = READ_LIMIT_MS
        attempt = 0
        while True:
            answer = self._http.call(
                kind, "read", "/v3/kv/range", body, started_at_ms + limit_ms
            )
            if answer.is_error() and answer.error.is_rejected_locally:
                limit_ms = LOCAL_REJECTION_LIMIT_MS
            deadline_at_ms = started_at_ms + limit_ms
            if answer.is_ok() or not self._wait_to_retry(attempt, deadline_at_ms):
                return answer.map_error(_unavailable)
            attempt += 1

    def _lease_call(self, path: str, body: dict) -> Result[dict, KvUnavailable]:
        # Only one attempt, because the lease holder decides when to retry.
        deadline_at_ms = self._clock.now_ms() + READ_LIMIT_MS
        answer = self._http.call(LEASE_KIND, "write", path, body, deadline_at_ms)
        return answer.map_error(_unavailable)

    def _wait_to_retry(self, attempt: int, deadline_at_ms: float) -> bool:
        wait_ms = backoff_ms(attempt, self._rng)
        if self._clock.now_ms() + wait_ms >= deadline_at_ms:
            return False
        self._clock.sleep_ms(wait_ms)
        return True

    def _own_revision(self, transaction: Transaction, write_id: bytes) -> int:
        """Return the revision at which the transaction took effect, 0 if unknown.

        Not finding the written value proves nothing: the request may still be in
        flight.
        """
        keys = [write.key for write in transaction.writes if isinstance(write, Put)]
        if not keys:
            return 0
        deadline_at_ms = self._clock.now_ms() + READ_BACK_LIMIT_MS
        body = self._codec.encode_get(keys[0])
        answer = self._http.call(
            kind_of(keys[0]), "read", "/v3/kv/range", body, deadline_at_ms
        )
        entries = self._codec.decode_entries(answer.default_value({}))
        own = [entry for entry in entries if entry.write_id == write_id]
        return own[0].mod_revision if own else 0

    def _outcome(self, body: dict, write_id: bytes, was_sent: bool) -> CommitOutcome:
        if body.get("succeeded"):
            return CommitDone(int(body["header"]["revision"]))
        entries = self._codec.decode_conflict(body)
        if not was_sent:
            return CommitConflict(entries)
        # This copy may have failed because an earlier one took effect.
        own = [entry for entry in entries if entry.write_id == write_id]
        if own:
            return CommitDone(own[0].mod_revision)
        return CommitUnknown("another write came between", write_id, entries)


def _unavailable(failure: CallFailed) -> KvUnavailable:
    return KvUnavailable(failure.reason)

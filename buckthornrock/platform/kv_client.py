"""The key-value service over its etcd v3 JSON gateway."""

import base64
import os

import msgspec
import urllib3
from expression import Error, Ok, Result

from ..conf.settings import KvSettings
from ..telemetry import Telemetry
from ..telemetry.metrics import KV_CALLS, KV_FAILURES
from .errors import KvUnavailable, LeaseGone
from .kv_port import (
    CommitConflict,
    CommitDone,
    CommitNotDone,
    CommitOutcome,
    CommitUnknown,
    Compare,
    Delete,
    KvEntry,
    KvPort,
    LeaseGrant,
    Put,
    Transaction,
)

WRITE_ID_BYTES = 16
N_POOLED_CONNECTIONS = 8


def open_kv(settings: KvSettings, telemetry: Telemetry) -> KvPort:
    """Return the port to the key-value service at ``settings.url``."""
    client = _KvClient(settings, telemetry)
    return KvPort(
        get=client.get,
        get_prefix=client.get_prefix,
        commit=client.commit,
        grant_lease=client.grant_lease,
        keep_alive=client.keep_alive,
        revoke_lease=client.revoke_lease,
    )


class _KvClient:
    """Connection pool and codec; holds no other state."""

    def __init__(self, settings: KvSettings, telemetry: Telemetry) -> None:
        self._url = settings.url.rstrip("/")
        self._prefix = settings.key_prefix
        self._telemetry = telemetry
        self._pool = urllib3.PoolManager(
            maxsize=N_POOLED_CONNECTIONS,
            retries=False,
            timeout=urllib3.Timeout(total=settings.timeout_ms / 1000.0),
        )

    def get(self, key: str) -> Result[KvEntry | None, KvUnavailable]:
        answer = self._call("range", "/v3/kv/range", {"key": self._encode(key)})
        return answer.map(lambda body: next(iter(self._entries(body)), None))

    def get_prefix(self, prefix: str) -> Result[list[KvEntry], KvUnavailable]:
        start = (self._prefix + prefix).encode()
        end = start[:-1] + bytes([start[-1] + 1])
        body = {"key": _b64(start), "range_end": _b64(end)}
        return self._call("range", "/v3/kv/range", body).map(self._entries)

    def commit(self, transaction: Transaction) -> CommitOutcome:
        write_id = os.urandom(WRITE_ID_BYTES)
        body = self._encode_transaction(transaction, write_id)
        answer = self._call("txn", "/v3/kv/txn", body)
        if answer.is_ok():
            return self._outcome(answer.ok)
        if answer.error.reason.startswith("NewConnectionError"):
            return CommitNotDone(answer.error.reason)
        return self._read_back(transaction, write_id, answer.error.reason)

    def grant_lease(self, ttl_s: int) -> Result[LeaseGrant, KvUnavailable]:
        answer = self._call("lease", "/v3/lease/grant", {"TTL": str(ttl_s)})
        return answer.map(lambda body: LeaseGrant(int(body["ID"]), int(body["TTL"])))

    def keep_alive(self, lease_id: int) -> Result[int, KvUnavailable | LeaseGone]:
        body = {"ID": str(lease_id)}
        answer = self._call("lease", "/v3/lease/keepalive", body)
        if answer.is_error():
            return answer
        ttl_s = int(answer.ok.get("result", {}).get("TTL", 0))
        return Ok(ttl_s) if ttl_s > 0 else Error(LeaseGone(lease_id))

    def revoke_lease(self, lease_id: int) -> Result[None, KvUnavailable]:
        body = {"ID": str(lease_id)}
        return self._call("lease", "/v3/lease/revoke", body).map(lambda _: None)

    def _call(self, kind: str, path: str, body: dict) -> Result[dict, KvUnavailable]:
        metrics = self._telemetry.metrics
        metrics.incr(KV_CALLS, label=kind)
        try:
            response = self._pool.request(
                "POST", self._url + path, body=msgspec.json.encode(body)
            )
        except urllib3.exceptions.HTTPError as error:
            metrics.incr(KV_FAILURES, label=kind)
            return Error(KvUnavailable(type(error).__name__))
        if response.status != 200:
            metrics.incr(KV_FAILURES, label=kind)
            return Error(KvUnavailable(f"status {response.status}"))
        try:
            return Ok(msgspec.json.decode(response.data))
        except msgspec.DecodeError:
            return Error(KvUnavailable("malformed answer"))

    def _read_back(
        self, transaction: Transaction, write_id: bytes, reason: str
    ) -> CommitOutcome:
        for write in transaction.writes:
            if isinstance(write, Delete):
                continue
            entry = self.get(write.key)
            if entry.is_ok() and entry.ok and entry.ok.write_id == write_id:
                return CommitDone(entry.ok.mod_revision)
        return CommitUnknown(reason)

    def _outcome(self, body: dict) -> CommitOutcome:
        if body.get("succeeded"):
            return CommitDone(int(body["header"]["revision"]))
        ranges = (
            response.get("response_range", {}) for response in body.get("responses", ())
        )
        return CommitConflict(
            tuple(entry for body in ranges for entry in self._entries(body))
        )

    def _encode_transaction(self, transaction: Transaction, write_id: bytes) -> dict:
        return {
            "compare": [self._encode_compare(c) for c in transaction.compares],
            "success": [self._encode_write(w, write_id) for w in transaction.writes],
            "failure": [
                {"request_range": {"key": self._encode(c.key)}}
                for c in transaction.compares
            ],
        }

    def _encode_compare(self, compare: Compare) -> dict:
        return {
            "key": self._encode(compare.key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(compare.mod_revision),
        }

    def _encode_write(self, write: Put | Delete, write_id: bytes) -> dict:
        if isinstance(write, Delete):
            return {"request_delete_range": {"key": self._encode(write.key)}}
        return {
            "request_put": {
                "key": self._encode(write.key),
                "value": _b64(write_id + write.value),
                "lease": str(write.lease_id),
            }
        }

    def _entries(self, body: dict) -> list[KvEntry]:
        return [self._entry(kv) for kv in body.get("kvs", ())]

    def _entry(self, kv: dict) -> KvEntry:
        raw = base64.b64decode(kv.get("value", ""))
        key = base64.b64decode(kv["key"]).decode()
        return KvEntry(
            key=key.removeprefix(self._prefix),
            value=raw[WRITE_ID_BYTES:],
            mod_revision=int(kv["mod_revision"]),
            lease_id=int(kv.get("lease", 0)),
            write_id=raw[:WRITE_ID_BYTES],
        )

    def _encode(self, key: str) -> str:
        return _b64((self._prefix + key).encode())


def _b64(raw: bytes) -> str:
    return base64.b64encode(raw).decode("ascii")

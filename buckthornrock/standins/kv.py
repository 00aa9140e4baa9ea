"""A key-value service with the etcd v3 JSON gateway's subset that we use."""

import base64
import threading
import time
from typing import NamedTuple

import msgspec

from ..httpd import Exchange, HttpServer, start_server


class _Value(NamedTuple):
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int


class KvStandin:
    """Keys with revisions, transactions and leases, in memory.

    Attributes
    ----------
    fault : str
        "" for none, "down" refuses every call, "lose_answers" applies a write and
        then answers with status 503.
    """

    def __init__(self) -> None:
        self.fault = ""
        self.n_calls = 0
        self._lock = threading.RLock()
        self._values: dict[bytes, _Value] = {}
        self._leases: dict[int, tuple[int, float]] = {}
        self._revision = 1
        self._next_lease_id = 1000

    def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        self.n_calls += 1
        body = msgspec.json.decode(exchange.read_body().default_value(b"{}") or b"{}")
        if self.fault == "down":
            exchange.respond_json(503, {"error": "down"})
            return
        operation = _OPERATIONS.get(exchange.path)
        if operation is None:
            exchange.respond_json(404, {"error": "not found"})
            return
        with self._lock:
            self._expire_leases()
            answer = operation(self, body)
        if self.fault == "lose_answers" and exchange.path in _WRITING_PATHS:
            exchange.respond_json(503, {"error": "answer lost"})
            return
        answer["header"] = {"revision": str(self._revision)}
        exchange.respond_json(200, answer)

    def _range(self, body: dict) -> dict:
        start = base64.b64decode(body["key"])
        end = base64.b64decode(body.get("range_end", ""))
        keys = sorted(k for k in self._values if _in_range(k, start, end))
        return {"kvs": [self._encode(k) for k in keys], "count": str(len(keys))}

    def _put(self, body: dict) -> dict:
        self._revision += 1
        self._apply_put(body)
        return {}

    def _txn(self, body: dict) -> dict:
        succeeded = all(self._compare(c) for c in body.get("compare", ()))
        operations = body.get("success" if succeeded else "failure", ())
        is_write = any("request_range" not in operation for operation in operations)
        if is_write:
            self._revision += 1
        responses = [self._apply(operation) for operation in operations]
        return {"succeeded": succeeded, "responses": responses}

    def _lease_grant(self, body: dict) -> dict:
        self._next_lease_id += 1
        ttl_s = int(body["TTL"])
        self._leases[self._next_lease_id] = (ttl_s, time.monotonic() + ttl_s)
        return {"ID": str(self._next_lease_id), "TTL": str(ttl_s)}

    def _lease_keepalive(self, body: dict) -> dict:
        lease_id = int(body["ID"])
        if lease_id not in self._leases:
            return {"result": {"ID": str(lease_id), "TTL": "0"}}
        ttl_s = self._leases[lease_id][0]
        self._leases[lease_id] = (ttl_s, time.monotonic() + ttl_s)
        return {"result": {"ID": str(lease_id), "TTL": str(ttl_s)}}

    def _lease_revoke(self, body: dict) -> dict:
        self._drop_lease(int(body["ID"]))
        return {}

    def _apply(self, operation: dict) -> dict:
        if "request_put" in operation:
            self._apply_put(operation["request_put"])
            return {"response_put": {}}
        if "request_delete_range" in operation:
            key = base64.b64decode(operation["request_delete_range"]["key"])
            deleted = self._values.pop(key, None)
            return {"response_delete_range": {"deleted": str(int(bool(deleted)))}}
        return {"response_range": self._range(operation["request_range"])}

    def _apply_put(self, put: dict) -> None:
        key = base64.b64decode(put["key"])
        old = self._values.get(key)
        self._values[key] = _Value(
            value=base64.b64decode(put.get("value", "")),
            create_revision=old.create_revision if old else self._revision,
            mod_revision=self._revision,
            version=old.version + 1 if old else 1,
            lease_id=int(put.get("lease", 0)),
        )

    def _compare(self, compare: dict) -> bool:
        value = self._values.get(base64.b64decode(compare["key"]))
        field = {"MOD": "mod_revision", "CREATE": "create_revision"}[compare["target"]]
        found = getattr(value, field) if value else 0
        return found == int(compare.get(field, 0))

    def _expire_leases(self) -> None:
        now_s = time.monotonic()
        expired = [i for i, (_, due_s) in self._leases.items() if due_s <= now_s]
        for lease_id in expired:
            self._drop_lease(lease_id)

    def _drop_lease(self, lease_id: int) -> None:
        self._leases.pop(lease_id, None)
        keys = [k for k, v in self._values.items() if v.lease_id == lease_id]
        for key in keys:
            del self._values[key]
        if keys:
            self._revision += 1

    def _encode(self, key: bytes) -> dict:
        value = self._values[key]
        return {
            "key": base64.b64encode(key).decode(),
            "value": base64.b64encode(value.value).decode(),
            "create_revision": str(value.create_revision),
            "mod_revision": str(value.mod_revision),
            "version": str(value.version),
            "lease": str(value.lease_id),
        }


def _in_range(key: bytes, start: bytes, end: bytes) -> bool:
    if not end:
        return key == start
    return start <= key < end


_OPERATIONS = {
    "/v3/kv/range": KvStandin._range,
    "/v3/kv/put": KvStandin._put,
    "/v3/kv/txn": KvStandin._txn,
    "/v3/lease/grant": KvStandin._lease_grant,
    "/v3/lease/keepalive": KvStandin._lease_keepalive,
    "/v3/lease/revoke": KvStandin._lease_revoke,
}
_WRITING_PATHS = {"/v3/kv/put", "/v3/kv/txn"}


def start_kv(standin: KvStandin, port: int = 0) -> HttpServer:
    """Serve ``standin`` on loopback."""
    return start_server("127.0.0.1", port, standin.handle, n_threads=16)

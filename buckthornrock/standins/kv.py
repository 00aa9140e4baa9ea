"""A key-value service with the etcd v3 JSON gateway's subset that we use."""

import base64
import copy
import random
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from ..httpd import Exchange, start_server
from .kv_faults import (
    HANG_S,
    NAMED_FAULTS,
    WATCH_PATH,
    WRITE_PATHS,
    CallCounts,
    KvFaults,
    draw_fate,
)
from .kv_watches import Change, Watches

CONTROL_PATH = "/control"
#: How etcd answers to a put with a lease that it does not have.
LEASE_NOT_FOUND = "etcdserver: requested lease not found"
NOT_FOUND_CODE = 5
N_THREADS = 48


class _Value(NamedTuple):
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int


class _Image(NamedTuple):
    """Everything that a snapshot holds."""

    values: dict[bytes, _Value]
    leases: dict[int, tuple[int, float]]
    revision: int


class KvStandin:
    """Keys with revisions, transactions, leases and watches, in memory.

    Parameters
    ----------
    seed : int
        Seed of the draws of faults.

    Attributes
    ----------
    faults : KvFaults
        What goes wrong now.
    counts : CallCounts
        Calls by kind; a waiting watch counts as one.
    """

    def __init__(self, seed: int = 0) -> None:
        self.faults = KvFaults()
        self.counts = CallCounts()
        self._fault = ""
        self._rng = random.Random(seed)
        self._lock = threading.RLock()
        self._values: dict[bytes, _Value] = {}
        self._leases: dict[int, tuple[int, float]] = {}
        self._revision = 1
        self._next_lease_id = 1000
        self._changes: list[Change] = []
        self._watches = Watches(self.counts)
        self._snapshot = _Image({}, {}, 1)

    @property
    def n_calls(self) -> int:
        """Number of calls of all kinds so far."""
        return sum(self.counts.by_kind.values())

    @property
    def fault(self) -> str:
        """Name of the fault in force, one of ``NAMED_FAULTS``; "" for none."""
        return self._fault

    @fault.setter
    def fault(self, name: str) -> None:
        self._fault = name
        self.set_faults(NAMED_FAULTS[name])

    def set_faults(self, faults: KvFaults) -> None:
        """Change what goes wrong; when nothing is answered, watches end too."""
        self.faults = faults
        if faults.refused_share == 1.0 or faults.hang_share == 1.0:
            self._watches.cancel_all()

    def close_watches(self) -> None:
        """End every watch."""
        self._watches.cancel_all()

    def take_snapshot(self) -> None:
        """Keep the present keys and leases for :meth:`restore`."""
        with self._lock:
            self._snapshot = copy.deepcopy(
                _Image(self._values, self._leases, self._revision)
            )

    def restore(self) -> None:
        """Go back to the snapshot, as after an outage that lost the newest writes."""
        with self._lock:
            image = copy.deepcopy(self._snapshot)
            self._values, self._leases, self._revision = image
            self._watches.cancel_all(forget=True)

    def expire_leases(self) -> None:
        """Drop every lease now, before its time."""
        with self._lock:
            for lease_id in list(self._leases):
                self._drop_lease(lease_id)
            self._publish()

    def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        raw = exchange.read_body().default_value(b"{}") or b"{}"
        body = msgspec.json.decode(raw)
        if exchange.path == CONTROL_PATH:
            self._control(exchange, body)
            return
        with self._lock:
            self.counts.add(exchange.path)
            is_write = exchange.path in WRITE_PATHS
            fate = draw_fate(self.faults, is_write, self._rng)
        if self.faults.latency_ms:
            time.sleep(self.faults.latency_ms / 1000.0)
        if fate == "refuse":
            exchange.respond_json(503, {"error": "down"})
        elif fate == "hang":
            _hang(exchange)
        elif fate == "apply_late":
            self._apply_late(exchange, body)
        elif exchange.path == WATCH_PATH:
            self._watches.serve(exchange, body, self._revision)
        else:
            self._answer(exchange, body, is_lost=fate == "lose_answer")

    def _answer(self, exchange: Exchange, body: dict, is_lost: bool) -> None:
        if exchange.path not in _OPERATIONS:
            exchange.respond_json(404, {"error": "not found"})
            return
        answer = self._perform(exchange.path, body)
        status = 404 if "error" in answer else 200
        if is_lost:
            exchange.respond_json(503, {"error": "answer lost"})
            return
        exchange.respond_json(status, answer)

    def _perform(self, path: str, body: dict) -> dict:
        with self._lock:
            self._expire_leases()
            if self._names_unknown_lease(path, body):
                return {"error": LEASE_NOT_FOUND, "code": NOT_FOUND_CODE}
            answer = _OPERATIONS[path](self, body)
            answer["header"] = {"revision": str(self._revision)}
            self._publish()
        return answer

    def _names_unknown_lease(self, path: str, body: dict) -> bool:
        """Tell whether a put that would take effect names a lease that is gone."""
        puts = [body] if path == "/v3/kv/put" else []
        if path == "/v3/kv/txn" and all(map(self._compare, body.get("compare", ()))):
            puts = [o.get("request_put", {}) for o in body.get("success", ())]
        leases = {int(put.get("lease", 0)) for put in puts} - {0}
        return not leases <= self._leases.keys()

    def _apply_late(self, exchange: Exchange, body: dict) -> None:
        path = exchange.path
        delay_s = self.faults.late_ms / 1000.0
        timer = threading.Timer(delay_s, lambda: self._perform(path, body))
        timer.daemon = True
        timer.start()
        exchange.respond_json(503, {"error": "timed out"})

    def _control(self, exchange: Exchange, body: dict) -> None:
        if "fault" in body:
            self.fault = body["fault"]
        if "faults" in body:
            self.set_faults(KvFaults(**body["faults"]))
        for name in ("take_snapshot", "restore", "expire_leases"):
            if body.get(name):
                getattr(self, name)()
        exchange.respond_json(200, {**self.counts.report(), "fault": self._fault})

    def _range(self, body: dict) -> dict:
        start = base64.b64decode(body["key"])
        end = base64.b64decode(body.get("range_end", ""))
        limit = int(body.get("limit", 0))
        keys = sorted(k for k in self._values if _in_range(k, start, end))
        shown = keys[:limit] if limit else keys
        return {
            "kvs": [self._encode(k) for k in shown],
            "count": str(len(keys)),
            "more": len(shown) < len(keys),
        }

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
            deleted = self._delete(key)
            return {"response_delete_range": {"deleted": str(int(deleted))}}
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
        event = {"type": "PUT", "kv": self._encode(key)}
        self._changes.append(Change(key, self._revision, event))

    def _delete(self, key: bytes) -> bool:
        if self._values.pop(key, None) is None:
            return False
        kv = {"key": _b64(key), "mod_revision": str(self._revision)}
        event = {"type": "DELETE", "kv": kv}
        self._changes.append(Change(key, self._revision, event))
        return True

    def _publish(self) -> None:
        changes, self._changes = self._changes, []
        if changes:
            self._watches.publish(changes)

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
        if keys:
            self._revision += 1
        for key in keys:
            self._delete(key)

    def _encode(self, key: bytes) -> dict:
        value = self._values[key]
        return {
            "key": _b64(key),
            "value": _b64(value.value),
            "create_revision": str(value.create_revision),
            "mod_revision": str(value.mod_revision),
            "version": str(value.version),
            "lease": str(value.lease_id),
        }


def _in_range(key: bytes, start: bytes, end: bytes) -> bool:
    if not end:
        return key == start
    return start <= key < end


def _hang(exchange: Exchange) -> None:
    time.sleep(HANG_S)
    exchange.respond_json(503, {"error": "hung"})


def _b64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


_OPERATIONS = {
    "/v3/kv/range": KvStandin._range,
    "/v3/kv/put": KvStandin._put,
    "/v3/kv/txn": KvStandin._txn,
    "/v3/lease/grant": KvStandin._lease_grant,
    "/v3/lease/keepalive": KvStandin._lease_keepalive,
    "/v3/lease/revoke": KvStandin._lease_revoke,
}


class KvServer(NamedTuple):
    """The running stand-in's port, and the function that stops it."""

    port: int
    stop: Callable[[], None]


def start_kv(standin: KvStandin, port: int = 0) -> KvServer:
    """Serve ``standin`` on loopback."""
    server = start_server("127.0.0.1", port, standin.handle, n_threads=N_THREADS)

    def stop() -> None:
        standin.close_watches()
        server.stop()

    return KvServer(server.port, stop)

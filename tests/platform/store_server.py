"""A key-value store with the platform's published protocol, for tests."""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 3


class StoreServer:
    """A store with keys, leases and history; each call consumes one of ``faults``.

    A fault is a status to respond with, or "lose": the call is executed, but the
    connection is closed without a response.
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 10
        self.compacted = 0
        self.leases = {}
        self.faults = []
        self.calls = []
        self.changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def serve(self):
                store.serve(self)

            do_GET = do_POST = do_DELETE = serve  # noqa: N815

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()

    def serve(self, handler):
        parts = urlsplit(handler.path)
        query = {
            name: values[0] for name, values in parse_qs(parts.query, True).items()
        }
        length = int(handler.headers.get("Content-Length") or 0)
        body = json.loads(handler.rfile.read(length) or b"{}")
        self.calls.append((handler.command, parts.path))
        fault = self.faults.pop(0) if self.faults else None
        if isinstance(fault, int):
            self.respond(handler, fault, {})
            return
        status, result = self.handle(parts.path, query, body)
        if fault == "lose":
            handler.connection.close()
            handler.close_connection = True
            return
        self.respond(handler, status, result)

    def respond(self, handler, status, body):
        data = json.dumps(body).encode()
        handler.send_response(status)
        handler.send_header("Content-Length", str(len(data)))
        handler.end_headers()
        handler.wfile.write(data)

    def handle(self, path, query, body):
        with self.changed:
            if path == "/kv-key":
                item = self.items.get(query["key"])
                return (200, {**item, "asOf": self.revision}) if item else (404, {})
            if path == "/kv-range":
                return 200, self.page(query)
            if path == "/kv-watch":
                return self.watch(query)
            if path == "/kv-txn":
                return self.txn(body)
            if path == "/kv-lease":
                self.revision += 1
                self.leases[self.revision] = time.monotonic()
                return 200, {"lease": self.revision, "ttlMs": body["ttlMs"]}
            name, _, lease = path[1:].partition("/")
            if int(lease) not in self.leases:
                return 404, {}
            if name == "kv-lease-end":
                self.end_lease(int(lease))
            return 200, {"ttlMs": 3_000}

    def page(self, query):
        keys = [
            key
            for key in sorted(self.items)
            if key.startswith(query["pathPrefix"]) and key > query.get("after", "")
        ]
        return {
            "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "morePages": len(keys) > PAGE_ITEMS,
            "asOf": self.revision,
        }

    def watch(self, query):
        after = int(query["after"])
        deadline_s = time.monotonic() + int(query["waitMs"]) / 1000.0
        while True:
            if after < self.compacted:
                return 410, {}
            events = [
                event
                for event in self.history
                if event["rev"] > after and event["key"].startswith(query["pathPrefix"])
            ]
            left_s = deadline_s - time.monotonic()
            if events or left_s <= 0.0:
                return 200, {"events": events, "asOf": self.revision}
            self.changed.wait(left_s)

    def txn(self, body):
        current = [self.items.get(row["key"]) for row in body["precondition"]]
        for row, item in zip(body["precondition"], current, strict=True):
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": [item for item in current if item]}
        if any(w["lease"] and w["lease"] not in self.leases for w in body["writes"]):
            return 404, {}
        self.revision += 1
        for write in body["writes"]:
            self.put(write["key"], base64.b64decode(write["value"]), write["lease"])
        for key in body["remove"]:
            self.remove(key)
        self.changed.notify_all()
        return 200, {"rev": self.revision}

    def put(self, key, value, lease=0):
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "created": self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)

    def remove(self, key):
        if self.items.pop(key, None):
            self.history.append({"key": key, "rev": self.revision, "removed": True})

    def end_lease(self, lease):
        del self.leases[lease]
        self.revision += 1
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def write(self, key, value):
        """Write a key as an operator or an upstream does."""
        with self.changed:
            self.revision += 1
            self.put(key, value)
            self.changed.notify_all()

    def delete(self, key):
        """Remove a key as an operator or an upstream does."""
        with self.changed:
            self.revision += 1
            self.remove(key)
            self.changed.notify_all()

    def compact(self):
        """Drop the history, as compaction does."""
        with self.changed:
            self.compacted = self.revision
            self.history.clear()
            self.changed.notify_all()

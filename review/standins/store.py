"""A stand-in of the platform's metadata store, as PROTOCOL.md describes it.

It keeps items, leases and a history of changes in memory and answers over HTTP/1.1.
"""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class Store:
    """The store; ``address`` is IP:PORT."""

    def __init__(self, ip):
        self.items = {}
        self.history = []
        self.revision = 10
        self.leases = {}
        self.changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            """Passes each call to the store."""

            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                """Log nothing."""

            def serve(self):
                """Answer one call."""
                store.answer(self)

            do_GET = do_POST = do_DELETE = serve

        class HttpServer(ThreadingHTTPServer):
            """Accepts many connections at once."""

            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, request, client_address):
                """Say nothing of connections that ended."""

        self.server = HttpServer((ip, 0), Handler)
        self.address = f"{ip}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._expire_leases, daemon=True).start()

    def answer(self, handler):
        """Answer one call."""
        parts = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(parts.query, True).items()}
        length = int(handler.headers.get("Content-Length") or 0)
        body = json.loads(handler.rfile.read(length) or b"{}")
        status, result = self._handle(handler.command, parts.path, query, body)
        data = json.dumps(result).encode()
        handler.send_response(status)
        handler.send_header("Content-Type", "application/json")
        handler.send_header("Content-Length", str(len(data)))
        handler.end_headers()
        handler.wfile.write(data)

    def write(self, key, value):
        """Write a key as the operator or a server does; return the revision."""
        with self.changed:
            self.revision += 1
            self._put(key, json.dumps(value).encode(), 0)
            self.changed.notify_all()
            return self.revision

    def beat(self, key, entry):
        """Write a server's entry; it changes only when more than ``sequence`` does."""
        with self.changed:
            known = (
                json.loads(base64.b64decode(self.items[key]["value"])) if key in self.items else {}
            )
        if known | {"sequence": 0} != entry | {"sequence": 0}:
            self.write(key, entry)

    def delete(self, key):
        """Remove a key."""
        with self.changed:
            self.revision += 1
            self._remove(key)
            self.changed.notify_all()

    def value(self, key):
        """Return the decoded text of a key, "" if there is none."""
        with self.changed:
            item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else b""

    def _handle(self, method, path, query, body):
        with self.changed:
            if path == "/kv-key":
                item = self.items.get(query["key"])
                return (200, {**item, "asOf": self.revision}) if item else (404, {})
            if path == "/kv-range":
                found = [
                    self.items[key]
                    for key in sorted(self.items)
                    if key.startswith(query["pathPrefix"]) and key > query.get("after", "")
                ]
                return 200, {
                    "items": found[:500],
                    "morePages": len(found) > 500,
                    "asOf": self.revision,
                }
            if path == "/kv-watch":
                return self._watch(query)
            if path == "/kv-txn":
                return self._txn(body)
            if path == "/kv-lease":
                self.revision += 1
                ttl_s = body["ttlMs"] / 1000.0
                self.leases[self.revision] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"lease": self.revision, "ttlMs": body["ttlMs"]}
            name, _, number = path[1:].partition("/")
            if not number.isdigit() or int(number) not in self.leases:
                return 404, {}
            if name == "kv-lease-end":
                self._end_lease(int(number))
                return 200, {}
            ttl_s = self.leases[int(number)][1]
            self.leases[int(number)] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"ttlMs": int(ttl_s * 1000)}

    def _watch(self, query):
        after = int(query["after"])
        until_s = time.monotonic() + int(query["waitMs"]) / 1000.0
        while True:
            events = [
                event
                for event in self.history
                if event["rev"] > after and event["key"].startswith(query["pathPrefix"])
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0.0:
                return 200, {"events": events, "asOf": self.revision}
            self.changed.wait(left_s)

    def _txn(self, body):
        current = [self.items.get(row["key"]) for row in body["precondition"]]
        for row, item in zip(body["precondition"], current, strict=True):
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": [item for item in current if item]}
        if any(write["lease"] and write["lease"] not in self.leases for write in body["writes"]):
            return 404, {}
        self.revision += 1
        for write in body["writes"]:
            self._put(write["key"], base64.b64decode(write["value"]), write["lease"])
        for key in body["remove"]:
            self._remove(key)
        self.changed.notify_all()
        return 200, {"rev": self.revision}

    def _put(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key):
        if self.items.pop(key, None):
            self.history.append({"key": key, "rev": self.revision, "removed": True})

    def _end_lease(self, lease):
        del self.leases[lease]
        self.revision += 1
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self._remove(key)
        self.changed.notify_all()

    def _expire_leases(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                for lease, (ends_s, _) in list(self.leases.items()):
                    if time.monotonic() >= ends_s:
                        self._end_lease(lease)

"""Stand-ins of the platform's servers: a plain service and a model server."""

import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HEARTBEAT_S = 1.2


class Server:
    """A server that registers itself in the store and answers every request.

    ``on_request(handler, headers, body)`` answers one request to a route.
    """

    def __init__(
        self, ip, store, record, service, server_id, zone="qld-a", slots=32, model="", cold_ms=0
    ):
        self.store, self.record, self.service, self.server_id = store, record, service, server_id
        self.zone, self.slots, self.model, self.version = zone, slots, model, 1
        self.born = int(time.time() * 1000)
        self.cold_ms = cold_ms
        self.beat_at_s = 0.0
        self.sequence = 0
        self.is_leaving = self.says_leaving = False
        self.lock = threading.Lock()
        self.connections = set()
        server = self

        class Handler(BaseHTTPRequestHandler):
            """Passes each request to the server."""

            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def setup(self):
                """Note the connection."""
                super().setup()
                server.connections.add(self.connection)

            def finish(self):
                """Forget the connection."""
                server.connections.discard(self.connection)
                super().finish()

            def log_message(self, *args):
                """Log nothing."""

            def serve(self):
                """Answer one request."""
                body = _read_body(self)
                expected = self.headers.get("X-Buckthornrock-Expect-Instance")
                if expected not in (None, server.server_id):
                    server.reply(self, 421, b"", {"X-Buckthornrock-Instance-Id": server.server_id})
                elif self.path == "/report":
                    server.reply(self, 200, json.dumps(server.report()).encode())
                else:
                    server.on_request(self, body)

            do_GET = do_POST = do_PUT = do_DELETE = serve

        class HttpServer(ThreadingHTTPServer):
            """Accepts many connections at once."""

            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, request, client_address):
                """Say nothing of connections that clients reset."""

        self.http = HttpServer((ip, 0), Handler)
        self.address = f"{ip}:{self.http.server_address[1]}"
        threading.Thread(target=self.http.serve_forever, daemon=True).start()
        threading.Thread(target=self._register, daemon=True).start()

    def report(self):
        """Return the state that ``GET /report`` tells."""
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return {
            "stage": "unified",
            "models": models if self.model else [],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "running": 0,
            "kvUsed": 0,
            "kvTotal": 172330,
            "handles": 0,
        }

    def on_request(self, handler, body):
        """Run a request and answer it."""
        self.record(
            f"server {self.server_id} runs {handler.headers.get('X-Buckthornrock-Request-Id')}"
            f" with a body of {len(body)} bytes"
        )
        self.reply(handler, 200, b"done", self.stamp(handler))

    def stamp(self, handler):
        """Return the headers that every answer of a run bears."""
        return {
            "X-Buckthornrock-Request-Id": handler.headers.get("X-Buckthornrock-Request-Id", ""),
            "X-Buckthornrock-Server-Stamp": f"{self.server_id}.stamp",
        }

    def reply(self, handler, status, body, headers=()):
        """Send a whole answer."""
        try:
            handler.send_response(status)
            for name, value in dict(headers).items():
                handler.send_header(name, value)
            if self.says_leaving:
                handler.send_header("Server-Leaving", "1")
            handler.send_header("Content-Length", str(len(body)))
            handler.end_headers()
            handler.wfile.write(body)
        except OSError:
            handler.close_connection = True

    def leave(self):
        """Remove the entry without a report of draining, and go on serving."""
        self.is_leaving = self.says_leaving = True
        return self.store.delete(f"servers/{self.server_id}")

    def exit(self):
        """End the server, as the end of its process does: its connections close."""
        self.is_leaving = True
        threading.Thread(target=self.http.shutdown, daemon=True).start()
        self.http.socket.close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def _register(self):
        while not self.is_leaving:
            self.sequence += 1
            entry = {
                "service": self.service,
                "addr": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "coldLeftMs": max(0, self.cold_ms - int(time.time() * 1000) + self.born),
                "sequence": self.sequence,
                "born": self.born,
            }
            if self.model:
                models = [{"name": self.model, "version": self.version, "adapters": []}]
                entry |= {"stage": "unified", "models": models}
            self.store.beat(f"servers/{self.server_id}", entry)
            self.beat_at_s = time.monotonic()
            time.sleep(HEARTBEAT_S)


class ModelServer(Server):
    """A model server that caches the parts of prompts under the cache salt.

    ``cache`` maps (salt, leading parts) to the tenant and the request that made them.
    ``uses`` lists (request, tenant, part, maker's request, maker's tenant).
    """

    def __init__(self, *args, **kwargs):
        self.cache = {}
        self.uses = []
        super().__init__(*args, **kwargs)

    def on_request(self, handler, body):
        """Read the prompt, of which cached leading parts are used, and stream a few events."""
        headers = handler.headers
        request_id = headers.get("X-Buckthornrock-Request-Id", "")
        tenant = headers.get("X-Buckthornrock-Tenant", "")
        expected = headers.get("X-Buckthornrock-Expect-Version")
        if expected is not None and expected != str(self.version):
            self.reply(handler, 421, b"", self.stamp(handler))
            return
        salt = headers.get("X-Buckthornrock-Cache-Salt", "")
        parts = [
            p.partition(":")[0] for p in headers.get("X-Buckthornrock-Prefix-Hash", "").split(",")
        ]
        model = headers.get("X-Buckthornrock-Model", "")
        is_cached = True
        for n, part in enumerate(parts):
            key = (model, salt, tuple(parts[: n + 1]))
            with self.lock:
                made = self.cache.get(key)
                if made is None or not is_cached:
                    is_cached = False
                    self.cache[key] = (tenant, request_id)
                else:
                    self.uses.append((request_id, tenant, part, made[1], made[0]))
                    self.record(
                        f"server {self.server_id} runs {request_id} of tenant {tenant} on part"
                        f" {part} that {made[1]} of tenant {made[0]} made, salt {salt!r}"
                    )
        self.record(f"server {self.server_id} runs {request_id} of tenant {tenant}, salt {salt!r}")
        events = b"".join(b"id: %d\ndata: token\n\n" % (n + 1) for n in range(3))
        names = self.stamp(handler) | {
            "Content-Type": "text/event-stream",
            "X-Buckthornrock-Weight-Versions": str(self.version),
        }
        self.reply(handler, 200, events, names)


def _read_body(handler):
    if handler.headers.get("Transfer-Encoding", "").lower() == "chunked":
        body = b""
        while size := int(handler.rfile.readline().split(b";")[0], 16):
            body += handler.rfile.read(size)
            handler.rfile.readline()
        handler.rfile.readline()
        return body
    return handler.rfile.read(int(handler.headers.get("Content-Length") or 0))

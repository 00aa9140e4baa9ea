"""Runs one instance as a process, with a store and an upstream in the test process."""

import json
import os
import socket
import subprocess
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import NamedTuple

from benchmarks.settings_files import free_ports
from tests.platform.store_server import StoreServer

ROOT = Path(__file__).parents[2]
HOST = "shop.example"
START_LIMIT_S = 20.0
#: Ends a test whose instance hangs; no assertion depends on it.
ANSWER_LIMIT_S = 60.0

SETTINGS = """
nodeName = "edge-1"
ip = "127.0.0.1"
zone = "a"
portRange = [{peer_port}, {peer_port}]
seeds = []

[listen]
front = "127.0.0.1:{front_port}"
readyAddr = "127.0.0.1:{ready_port}"

[limits]
memoryMb = {memory_mb}
maxFds = {max_fds}

[bounds]
drainMs = 2000
graceS = 8
configMs = 2000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 54
leaseMs = 3000
versionMs = 20000

[platform]
addr = "{store_address}"
ttlMinMs = 1000
"""

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": name,
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "routeKind": kind,
            "timeoutMs": 60_000,
            "sloMs": 5_000,
            "service": "till",
            "attempts": 1,
            "public": True,
        }
        for name, kind in (("read", "idempotent"), ("long", "streaming"))
    ],
    "services": [{"name": "till", "maxConns": 10_000}],
    "limits": {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    },
    "tenants": [],
}


class Upstream:
    """A plain service: the path's last part is the size of its response in bytes.

    Below ``/long/`` the response is an event stream of that size. ``n_run`` counts the
    requests that it received whole.
    """

    def __init__(self) -> None:
        self.n_run = 0
        upstream = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def serve(self):
                self.rfile.read(int(self.headers.get("Content-Length") or 0))
                upstream.n_run += 1
                upstream.respond(self)

            do_GET = do_POST = serve  # noqa: N815

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, request, client_address):
                """Ignore connections that the instance resets."""

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def respond(self, handler):
        size = int(handler.path.rpartition("/")[2])
        is_stream = handler.path.startswith("/long/")
        handler.send_response(200)
        request_id = handler.headers.get("X-Buckthornrock-Request-Id", "")
        handler.send_header("X-Buckthornrock-Request-Id", request_id)
        handler.send_header("X-Buckthornrock-Server-Stamp", "s1")
        if is_stream:
            handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Content-Length", str(size))
        handler.end_headers()
        event = b"data: " + b"x" * 1_016 + b"\n\n"
        data = (event * (size // len(event) + 1))[:size]
        handler.wfile.write(data)

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class Instance(NamedTuple):
    """A running instance; ``log_path`` holds its log lines."""

    process: subprocess.Popen
    store: StoreServer
    upstream: Upstream
    front_address: tuple[str, int]
    ready_address: tuple[str, int]
    metrics_address: tuple[str, int]
    log_path: Path

    def is_running(self) -> bool:
        return self.process.poll() is None

    def peak_memory_bytes(self) -> int:
        """Return the largest resident size that the process had."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(li for li in status.splitlines() if li.startswith("VmHWM:"))
        return int(line.split()[1]) * 1_024

    def n_descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def logged(self) -> list[dict]:
        lines = self.log_path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def stop(self) -> None:
        self.process.kill()
        self.process.wait()
        self.store.close()
        self.upstream.close()


def start_instance(folder: Path, memory_mb: int, max_fds: int) -> Instance:
    """Start an instance and wait until it is ready."""
    store, upstream = StoreServer(), Upstream()
    entry = {
        "service": "till",
        "addr": upstream.address,
        "zone": "a",
        "slots": 10_000,
        "state": "ready",
        "born": int(time.time() * 1000),
    }
    store.write("op/config", json.dumps(CONFIGURATION).encode())
    store.write("servers/i-1", json.dumps(entry).encode())
    front_port, ready_port, peer_port, metrics_port = free_ports(4)
    settings = folder / "node.toml"
    settings.write_text(
        SETTINGS.format(
            front_port=front_port,
            ready_port=ready_port,
            peer_port=peer_port,
            memory_mb=memory_mb,
            max_fds=max_fds,
            store_address=store.address,
        )
    )
    command = ["-m", "buckthornrock", "serve", "--metrics-port", str(metrics_port)]
    log_path = folder / "log"
    with open(log_path, "wb") as log:
        process = subprocess.Popen(
            [sys.executable, *command],
            cwd=ROOT,
            env={**os.environ, "BUCKTHORNROCK_NODE_FILE": str(settings)},
            stdout=log,
            stderr=log,
        )
    instance = Instance(
        process,
        store,
        upstream,
        ("127.0.0.1", front_port),
        ("127.0.0.1", ready_port),
        ("127.0.0.1", metrics_port),
        log_path,
    )
    until_s = time.monotonic() + START_LIMIT_S
    while time.monotonic() < until_s and instance.is_running():
        if _is_ready(instance):
            return instance
        time.sleep(0.05)
    output = log_path.read_text()
    instance.stop()
    raise AssertionError(f"the instance did not become ready: {output}")


def _is_ready(instance: Instance) -> bool:
    try:
        return ask(instance.ready_address, get("/readyz"))[0] == 200
    except OSError:
        return False


def get(path: str, request_id: str = "r1") -> bytes:
    """Return a request without a body."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Buckthornrock-Request-Id: {request_id}\r\n\r\n"
    ).encode()


def ask(address: tuple[str, int], message: bytes) -> tuple[int, bytes]:
    """Send a request and return the status and the body of its response."""
    with socket.create_connection(address, ANSWER_LIMIT_S) as sock:
        sock.settimeout(ANSWER_LIMIT_S)
        sock.sendall(message)
        with sock.makefile("rb") as file:
            return read_response(file)


def read_response(file) -> tuple[int, bytes]:
    """Read one response whose body has a length."""
    line = file.readline()
    if not line:
        raise ConnectionError("closed without a response")
    n_body_bytes = 0
    while (field := file.readline()) not in (b"\r\n", b""):
        name, _, value = field.partition(b":")
        if name.lower() == b"content-length":
            n_body_bytes = int(value)
    return int(line.split()[1]), file.read(n_body_bytes)

"""One instance in a process of its own, and crowds of clients that load its ports.

The crowd's addresses differ from the address of the ordinary client, as they do where
the two come from different hosts.
"""

import json
import re
import selectors
import socket
import subprocess
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path

import msgspec
import urllib3

from benchmarks.settings_files import free_ports
from buckthornrock.commands.demo_world import demo_profile
from buckthornrock.standins.kv import KvStandin, start_kv
from tests.dispatch.service_harness import CALLERS, OPERATOR_KEY, SECRET, digest
from tests.upstreams.raw_server import RawServer, make_response

CALLER_KEY = "key-a"
CROWD_ADDRESSES = ("127.0.0.2", "127.0.0.3")
WAIT_S = 60.0
POLL_S = 0.02
READ_BYTES = 65_536
#: A response that fills the buffers of its connection when it is not read.
ANSWER = b"a" * 200_000

ENTRY_LIMITS = {
    "n_threads": 160,
    "max_body_bytes": 2_000_000,
    "max_held_bytes": 160_000_000,
    "max_connections": 180,
    "read_timeout_ms": 3_000,
    "body_timeout_ms": 6_000,
    "send_timeout_ms": 6_000,
}
OPERATOR_LIMITS = {
    "n_threads": 4,
    "max_body_bytes": 100_000,
    "max_held_bytes": 16_000_000,
    "max_connections": 40,
    "read_timeout_ms": 3_000,
    "body_timeout_ms": 6_000,
    "send_timeout_ms": 6_000,
}
#: Bytes beyond the settings' limits for interpreter, thread stacks and the unused parts
#: of what the allocator holds.
MARGIN_BYTES = 64_000_000
#: Descriptors beyond the limits: connections to upstreams, log, selectors, and those
#: that were accepted and not yet closed at the moment of counting.
N_MARGIN_DESCRIPTORS = 48


class HostileWorld:
    """A running instance with the stand-ins that it needs."""

    def __init__(self, directory: Path) -> None:
        self._kv_server = start_kv(KvStandin())
        self._service = RawServer(_serve_answers)
        self.entry_port, self.operator_port = free_ports(2)
        self.http = urllib3.PoolManager(retries=False)
        settings_path = directory / "settings.json"
        settings_path.write_bytes(msgspec.json.encode(self._document()))
        self.log_path = directory / "log"
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "buckthornrock", "serve", str(settings_path)],
                stderr=log,
                stdout=subprocess.DEVNULL,
            )
        try:
            self._wait_until_served()
        except BaseException:
            self.stop()
            raise
        self._rest_bytes = self.memory_bytes()
        self._n_rest_descriptors = self.n_descriptors()

    @property
    def max_memory_bytes(self) -> int:
        """What the settings allow the process to hold."""
        limits = (ENTRY_LIMITS, OPERATOR_LIMITS)
        held = sum(limit["max_held_bytes"] for limit in limits)
        return self._rest_bytes + held + MARGIN_BYTES

    @property
    def max_descriptors(self) -> int:
        """What the settings allow the process to open."""
        limits = (ENTRY_LIMITS, OPERATOR_LIMITS)
        n_connections = sum(limit["max_connections"] for limit in limits)
        return self._n_rest_descriptors + n_connections + N_MARGIN_DESCRIPTORS

    def memory_bytes(self) -> int:
        """Return the process's resident memory."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+) kB", status)[1]) * 1024

    def n_descriptors(self) -> int:
        """Return the number of the process's open descriptors."""
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    def check_bounds(self) -> None:
        """Check that the process lives and is within its bounds."""
        assert self.process.poll() is None, self.log_path.read_text()[-2_000:]
        memory_bytes, max_bytes = self.memory_bytes(), self.max_memory_bytes
        assert memory_bytes <= max_bytes, f"memory: {memory_bytes:,} > {max_bytes:,}"
        n_descriptors, n_max = self.n_descriptors(), self.max_descriptors
        assert n_descriptors <= n_max, f"descriptors: {n_descriptors} > {n_max}"

    def check_ordinary(self) -> None:
        """Check that one ordinary request is answered at each port.

        A refusal that says that nothing was run is an answer as well; the client then
        sends the request again, as it may.
        """
        give_up_at_s = time.monotonic() + WAIT_S
        while (statuses := self._ask()) != (200, 200, 200):
            assert time.monotonic() < give_up_at_s, statuses
            self.check_bounds()
            time.sleep(10 * POLL_S)

    def _ask(self) -> tuple[int, int, int]:
        caller = {"Authorization": f"Bearer {CALLER_KEY}"}
        operator = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        entry, operators = self.entry_port, self.operator_port
        return (
            self._status("GET", entry, "/services/orders/1", caller),
            self._status("GET", operators, "/healthz", {}),
            self._status("GET", operators, "/readyz", operator),
        )

    def _status(self, method, port, path, headers, body=None) -> int:
        url = f"http://127.0.0.1:{port}{path}"
        try:
            response = self.http.request(
                method, url, headers=headers, body=body, timeout=WAIT_S / 2
            )
        except urllib3.exceptions.HTTPError:
            return 0
        return response.status

    def _wait_until_served(self) -> None:
        body = json.dumps({"expected_version": 0, "profile": demo_profile()})
        head = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        give_up_at_s = time.monotonic() + WAIT_S
        path = "/v1/profiles/default"
        while self._status("PUT", self.operator_port, path, head, body) not in (
            200,
            409,
        ):
            assert self.process.poll() is None, self.log_path.read_text()
            assert time.monotonic() < give_up_at_s, self.log_path.read_text()
            time.sleep(0.1)
        while self._ask() != (200, 200, 200):
            assert time.monotonic() < give_up_at_s, self.log_path.read_text()
            time.sleep(0.1)

    def stop(self) -> None:
        """End the process and the stand-ins."""
        self.process.kill()
        self.process.wait()
        self._service.stop()
        self._kv_server.stop()

    def _document(self) -> dict:
        return {
            "instance_id": "hostile",
            "failure_domain": "fd-0",
            "isolation_secret": SECRET,
            "entry": {"port": self.entry_port, **ENTRY_LIMITS},
            "operator": {
                "port": self.operator_port,
                "keys_sha256": [digest(OPERATOR_KEY)],
                **OPERATOR_LIMITS,
            },
            "platform": {"kv": {"url": f"http://127.0.0.1:{self._kv_server.port}"}},
            "upstreams": {
                "servers": [
                    {
                        "id": "orders-0",
                        "kind": "service",
                        "address": self._service.address,
                        "failure_domain": "fd-0",
                        "service": "orders",
                    }
                ]
            },
            "caller_keys": [
                {"sha256": digest(key), "client_account": account, "member": member}
                for key, (account, member) in CALLERS.items()
            ],
        }


def _serve_answers(server: RawServer, connection: socket.socket) -> None:
    while server.read_request(connection):
        # The list of received requests would only grow.
        server.requests.clear()
        connection.sendall(make_response(ANSWER))


class Client:
    """One client of a crowd.

    Parameters
    ----------
    payload : bytes
        What the client sends; it then leaves the connection open.
    piece_bytes : int
        Size of what it sends at once.
    pause_s : float
        Pause between two pieces.
    reads : bool
        Whether it reads responses.
    """

    def __init__(
        self, payload: bytes, piece_bytes: int, pause_s: float = 0.0, reads: bool = True
    ) -> None:
        self.payload = memoryview(payload)
        self.piece_bytes = piece_bytes
        self.pause_s = pause_s
        self.reads = reads
        self.n_sent = 0
        self.next_at_s = 0.0
        self.socket: socket.socket | None = None

    def connect(self, port: int, address: str) -> None:
        """Open the connection, without waiting for it."""
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not self.reads:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.socket.bind((address, 0))
        self.socket.connect_ex(("127.0.0.1", port))

    def is_due(self, now_s: float) -> bool:
        """Return whether the client has something to send now."""
        return self.n_sent < len(self.payload) and now_s >= self.next_at_s

    def step(self, events: int, now_s: float) -> None:
        """Read and send what the connection takes."""
        if events & selectors.EVENT_READ and not self.socket.recv(READ_BYTES):
            raise ConnectionResetError
        if events & selectors.EVENT_WRITE and self.is_due(now_s):
            piece = self.payload[self.n_sent : self.n_sent + self.piece_bytes]
            self.n_sent += self.socket.send(piece)
            self.next_at_s = now_s + self.pause_s

    def close(self) -> None:
        """Close the connection."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None


class Crowd:
    """Runs many clients in one thread until it is stopped."""

    def __init__(self, port: int, clients: list[Client]) -> None:
        self._port = port
        self._clients = clients
        self._is_stopped = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def __enter__(self) -> "Crowd":
        return self

    def __exit__(self, *_: object) -> None:
        self._is_stopped = True
        self._thread.join()

    @property
    def has_sent(self) -> bool:
        """Whether every client has sent its payload or lost its connection."""
        return all(
            c.socket is None or c.n_sent == len(c.payload) for c in self._clients
        )

    def _run(self) -> None:
        for index, client in enumerate(self._clients):
            client.connect(self._port, CROWD_ADDRESSES[index % len(CROWD_ADDRESSES)])
        while not self._is_stopped:
            self._step(time.monotonic())
        for client in self._clients:
            client.close()

    def _step(self, now_s: float) -> None:
        with selectors.DefaultSelector() as selector:
            for client in self._clients:
                events = selectors.EVENT_READ if client.reads else 0
                events |= selectors.EVENT_WRITE if client.is_due(now_s) else 0
                if client.socket is not None and events:
                    selector.register(client.socket, events, client)
            if not selector.get_map():
                time.sleep(POLL_S)
                return
            for key, events in selector.select(POLL_S):
                with suppress(BlockingIOError):
                    self._step_client(key.data, events, now_s)

    def _step_client(self, client: Client, events: int, now_s: float) -> None:
        try:
            client.step(events, now_s)
        except BlockingIOError:
            raise
        except OSError:
            client.close()


def endure(world: HostileWorld, port: int, clients: list[Client], load_s: float):
    """Load ``port`` and check the bounds all the time, then an ordinary request.

    The crowd keeps its connections until the ordinary request was answered.
    """
    with Crowd(port, clients) as crowd:
        give_up_at_s = time.monotonic() + load_s
        while time.monotonic() < give_up_at_s and not crowd.has_sent:
            world.check_bounds()
            time.sleep(POLL_S)
        # What the kernel has taken from the crowd reaches the process later.
        settled_at_s = time.monotonic() + 1.0
        while time.monotonic() < settled_at_s:
            world.check_bounds()
            time.sleep(POLL_S)
        world.check_ordinary()
        world.check_bounds()

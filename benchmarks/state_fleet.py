"""Processes of the state parts around one key-value stand-in."""

import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from buckthornrock.standins.kv import KvStandin, start_kv

from .processes import TICKS_PER_S
from .settings_files import SECRET, free_ports

JOIN_LIMIT_S = 60.0
IN_FORCE = 1301
POLL_S = 0.02


class StateNode:
    """One process, its log and its commands."""

    def __init__(self, document: dict, directory: Path) -> None:
        self._name = document["instance_id"]
        self._settings = directory / f"{self._name}.json"
        self._settings.write_bytes(msgspec.json.encode(document))
        self._directory = directory
        self._n_runs = 0
        self.start()

    def start(self) -> None:
        """Start a run with a log of its own."""
        self._n_runs += 1
        self.log = self._directory / f"{self._name}.{self._n_runs}.log"
        self.log.touch()
        self.started_at_s = time.time()
        arguments = [str(self._settings), str(self.log)]
        self._process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.state_node", *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )

    def send(self, command: str) -> None:
        """Send a command; :meth:`answer` returns what it answers."""
        self._process.stdin.write(command.encode() + b"\n")
        self._process.stdin.flush()

    def answer(self) -> dict:
        """Return the answer to the oldest unanswered command."""
        return msgspec.json.decode(self._process.stdout.readline())

    def command(self, command: str) -> dict:
        """Send a command and return the answer."""
        self.send(command)
        return self.answer()

    def kill(self) -> None:
        """End the process at once."""
        self._process.kill()
        self._process.wait()

    def in_force(self) -> list[tuple[float, int]]:
        """Return the times and versions that came into force in this run."""
        rows = []
        for line in self.log.read_bytes().splitlines():
            row = msgspec.json.decode(line)
            if row.get("event") == IN_FORCE:
                rows.append((row["timestamp"], row["version"]))
        return rows

    def cpu_s(self) -> float:
        """Return the processor time so far."""
        text = Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def memory_mb(self) -> float:
        """Return the resident memory."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
        return int(line.split()[1]) / 1024.0


class StateFleet:
    """The nodes and the stand-in, which runs in this process."""

    def __init__(self, n_nodes: int, seed: int) -> None:
        self.kv = KvStandin(seed)
        self._server = start_kv(self.kv)
        self._directory = Path(tempfile.mkdtemp(prefix="buckthornrock-state-"))
        ports = free_ports(n_nodes)
        self.nodes = [
            StateNode(self._document(index, ports), self._directory)
            for index in range(n_nodes)
        ]

    def reports(self) -> list[dict]:
        """Return every node's report."""
        for node in self.nodes:
            node.send("report")
        return [node.answer() for node in self.nodes]

    def wait_joined(self) -> None:
        """Wait until every node counts every node as live."""
        give_up_at_s = time.time() + JOIN_LIMIT_S
        while any(r["n_live"] != len(self.nodes) for r in self.reports()):
            if time.time() > give_up_at_s:
                raise TimeoutError("the nodes did not join")
            time.sleep(0.2)

    def wait_in_force(self, version: int, limit_s: float) -> bool:
        """Wait until every node has ``version`` or a later one."""
        give_up_at_s = time.time() + limit_s
        while time.time() < give_up_at_s:
            if all(r["version"] >= version for r in self.reports()):
                return True
            time.sleep(POLL_S)
        return False

    def stop(self) -> None:
        """End every process that was started here."""
        for node in self.nodes:
            node.kill()
        self._server.stop()

    def _document(self, index: int, ports: list[int]) -> dict:
        seeds = [(index + step) % len(ports) for step in (1, 2, 3)]
        peers = [
            {"id": f"i{other}", "address": f"127.0.0.1:{ports[other]}"}
            for other in seeds
            if other != index
        ]
        return {
            "instance_id": f"i{index}",
            "failure_domain": f"fd-{index % 3}",
            "isolation_secret": SECRET,
            "entry": {"port": 0},
            "operator": {"port": 0, "keys_sha256": []},
            "platform": {"kv": {"url": f"http://127.0.0.1:{self._server.port}"}},
            "upstreams": {"servers": []},
            "caller_keys": [],
            "wire": {
                "port": ports[index],
                "shared_secret": SECRET,
                "peers": peers,
            },
        }

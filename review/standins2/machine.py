"""One machine: settings, the process of deploy/system.toml, and its limit of memory."""

import asyncio
import atexit
import os
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
#: Time until an ended process is started again.
RESTART_AFTER_S = 1.0
SAMPLE_PERIOD_S = 0.02
READY_LIMIT_S = 30.0
#: Generous: settings give memoryMb, and a MB may be meant as 10^6 bytes.
BYTES_PER_MB = 2**20


def network() -> str:
    """Return three bytes of loopback addresses that differ between runs at once."""
    pid = os.getpid()
    return f"127.{2 + pid % 250}.{pid // 250 % 250}"


def free_port(ip: str) -> int:
    """Return a port that is free on this address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def free_ports(ips: list[str], metrics_port: int) -> int | None:
    """Return the first of 21 ports that are free on all addresses; None if the fixed one isn't."""
    if not all(_is_free(ip, metrics_port) for ip in ips):
        return None
    for first in range(17_340, 30_000, 100):
        if all(_is_free(ip, port) for ip in ips for port in range(first, first + 21)):
            return first
    return None


def _is_free(ip: str, port: int) -> bool:
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(type=kind) as probe:
                probe.bind((ip, port))
    except OSError:
        return False
    return True


class Machine:
    """Runs the process, kills it as the platform does, and starts it again.

    ``ends`` lists (time, RssAnon in MB) of each end because of memory, ``own_ends`` the exit
    statuses of processes that ended otherwise.
    """

    def __init__(self, name, ip, folder, store_address, bounds, memory_mb, note, zone="a"):
        self.name, self.ip, self.note = name, ip, note
        self.memory_mb = memory_mb
        self.front = f"{ip}:{free_port(ip)}"
        self.ready = f"{ip}:{free_port(ip)}"
        self.peer_port = 0
        self.peak_mb = 0.0
        self.ends: list[tuple[float, float]] = []
        self.own_ends: list[int] = []
        self.process: subprocess.Popen | None = None
        self._folder, self._store, self._bounds, self._zone = folder, store_address, bounds, zone
        self._is_stopping = False
        atexit.register(self.stop)

    def write_settings(self, seeds: list[str]) -> None:
        lines = [
            f'nodeName = "{self.name}"',
            'role = "gateway"',
            'machineClass = "edge"',
            'serves = ["edge","ctrl"]',
            f'ip = "{self.ip}"',
            f'zone = "{self._zone}"',
            'region = "r"',
            f"portRange = [{self.peer_port},{self.peer_port + 15}]",
            "seeds = [" + ",".join(f'"{ip}:{self.peer_port + 20}"' for ip in seeds) + "]",
            "bootstrap = true",
            'discovery = "platform"',
            'entry = "vip"',
            "heartbeatMs = 1200",
            "[zones]",
            f'{self._zone} = "r"',
            "[listen]",
            f'front = "{self.front}"',
            f'readyAddr = "{self.ready}"',
            f'controlAddr = "{self.ip}:{self.peer_port + 20}"',
            "[limits]",
            f"memoryMb = {self.memory_mb}",
            "maxFds = 4100",
            "linkMbps = 1000.0",
            "[bounds]",
            *(f"{key} = {value}" for key, value in self._bounds.items()),
            "[platform]",
            f'addr = "{self._store}"',
            'form = "kv"',
            "writesPerS = 400",
            "readsPerS = 2000",
            "historyS = 20",
            "valueBytes = 1048576",
            "ttlMinMs = 1000",
        ]
        (self._folder / f"{self.name}.toml").write_text("\n".join(lines) + "\n")

    def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["gateway"]["run"].split(),
                cwd=ROOT,
                env=kept
                | {
                    "BUCKTHORNROCK_NODE_FILE": str(self._folder / f"{self.name}.toml"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdout=log,
                stderr=log,
            )
        self.note(f"machine {self.name} starts, memoryMb {self.memory_mb}")

    async def supervise(self) -> None:
        """Kill the process above its limit, and start it again after each end."""
        while not self._is_stopping:
            await asyncio.sleep(SAMPLE_PERIOD_S)
            status = self.process.poll()
            if status is None:
                held_mb = self.anon_mb()
                self.peak_mb = max(self.peak_mb, held_mb)
                if held_mb <= self.memory_mb:
                    continue
                self.process.send_signal(signal.SIGKILL)
                self.process.wait()
                self.ends.append((time.monotonic(), held_mb))
                self.note(f"machine {self.name} held {held_mb:.0f} MB of {self.memory_mb}: killed")
            elif not self._is_stopping:
                self.own_ends.append(status)
                self.note(f"machine {self.name} ended by itself with {status}")
            await asyncio.sleep(RESTART_AFTER_S)
            if not self._is_stopping:
                self.start()

    def anon_mb(self) -> float:
        """Return the memory of the process itself, without what it maps of files."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        lines = [line for line in status.splitlines() if line.startswith("RssAnon")]
        return int(lines[0].split()[1]) * 1024 / BYTES_PER_MB if lines else 0.0

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        host, _, port = self.ready.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                head = await reader.read(64)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return head.startswith(b"HTTP/1.1 200")

    async def wait_ready(self) -> bool:
        until_s = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < until_s:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def stop(self) -> None:
        self._is_stopping = True
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

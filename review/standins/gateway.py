"""Starts the program of deploy/system.toml as separate processes, as DEPLOY.md says."""

import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "downgradeMs": 250,
    "outerMs": 5000,
    "strictRevoke": "false",
    "revokeMs": 5000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 54,
    "recoverS": 12,
    "transitMs": 120,
    "reuseWindowS": 10,
    "requireFence": "true",
    "leaseMs": 3000,
    "thawMs": 300,
    "versionMs": 20000,
    "versionAllMs": 28000,
}


def loopback_ips(n):
    """Return unused-looking loopback addresses, new for each run."""
    net = f"127.{random.randint(2, 250)}.{random.randint(0, 250)}"
    return [f"{net}.{host}" for host in random.sample(range(2, 250), n)]


def free_port(ip):
    """Return a free TCP port of an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Machine:
    """An ``edge`` machine: its settings file and the process that runs on it.

    ``ends`` lists how each process ended that the script did not stop.
    """

    def __init__(self, folder, name, ip, ports, zone, store, seeds, memory_mb=300):
        self.name, self.ip, self.zone, self.memory_mb = name, ip, zone, memory_mb
        self.front, self.ready_address = f"{ip}:{ports[0]}", f"{ip}:{ports[1]}"
        self.settings = Path(folder) / f"{name}-{ip}.toml"
        self.log = Path(folder) / f"{name}-{ip}.log"
        lines = [
            f'nodeName = "{name}"',
            'role = "gateway"',
            'machineClass = "edge"',
            'serves = ["edge","ctrl"]',
            f'ip = "{ip}"',
            f'zone = "{zone}"',
            'region = "qld"',
            f"portRange = [{ports[3]},{ports[3] + 15}]",
            "seeds = [" + ",".join(f'"{s}:{ports[2]}"' for s in seeds) + "]",
            "bootstrap = true",
            "faultCounted = false",
            'discovery = "platform"',
            'entry = "vip"',
            "heartbeatMs = 1200",
            'contracts = ["base","drain","config","cost","retry","recover","kvcache",'
            '"stream","engine","tenants","platform"]',
            "[zones]",
            'qld-a = "qld"',
            'qld-b = "qld"',
            'qld-c = "qld"',
            "[listen]",
            f'front = "{self.front}"',
            f'readyAddr = "{self.ready_address}"',
            f'controlAddr = "{ip}:{ports[2]}"',
            "[limits]",
            "cpuShare = 0.537",
            "cores = 2",
            f"memoryMb = {memory_mb}",
            "maxFds = 4100",
            "linkMbps = 1000.0",
            "diskMb = 0",
            "[faultTolerance]",
            "machines = 1",
            "zones = 0",
            "regions = 0",
            "[bounds]",
            *(f"{key} = {value}" for key, value in BOUNDS.items()),
            "[platform]",
            f'addr = "{store}"',
            'form = "kv"',
            "writesPerS = 400",
            "readsPerS = 2000",
            "historyS = 20",
            "valueBytes = 1048576",
            "ttlMinMs = 1000",
        ]
        self.settings.write_text("\n".join(lines) + "\n")
        self.process = None
        self.started_s = 0.0

    def start(self):
        """Start the process with the line ``run`` of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        command[0] = sys.executable if command[0] == "python3" else command[0]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["BUCKTHORNROCK_NODE_FILE"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.started_s = time.monotonic()

    def is_running(self):
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def is_ready(self):
        """Ask ``GET /readyz`` as the platform does."""
        host, _, port = self.ready_address.rpartition(":")
        try:
            with socket.create_connection((host, int(port)), 0.5) as sock:
                sock.settimeout(0.5)
                sock.sendall(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, limit_s=20.0):
        """Wait until the process is ready; return whether it is."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False

    def resident_mb(self):
        """Return the resident memory of the process in MB."""
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024.0
        except (OSError, AttributeError):
            return 0.0
        return 0.0

    def send(self, number):
        """Send a signal to the process."""
        if self.is_running():
            os.kill(self.process.pid, number)

    def stop(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = Path(path).open("w")  # noqa: SIM115
        self._lock = threading.Lock()
        self._start_s = time.monotonic()

    def __call__(self, text):
        """Write one line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start_s:8.3f} {text}\n")
            self._file.flush()

"""Starts, signals and samples the program of deploy/system.toml."""

import asyncio
import contextlib
import os
import signal
import socket
import struct
import subprocess
import sys
import time
import tomllib
from collections import Counter
from pathlib import Path

import h11

from . import http_connection
from .deployment import HOST, Addresses
from .record import Ended, Record, Sampled, Started

#: The code that is soaked if no other is named.
ROOT = Path(__file__).resolve().parents[2]
READY_LIMIT_S = 20.0
EXIT_LIMIT_S = 12.0
SAMPLE_PERIOD_S = 1.0
#: Folder of the module that each process imports at its start.
STARTUP_HOOK = Path(__file__).resolve().parent / "startup_hook"
#: Offset of the wall clock, and up to four addresses to which datagrams are lost. The
#: same as in ``startup_hook/sitecustomize.py``, which can't import this module.
CONTROL = struct.Struct("=d4s4s4s4s")
NO_ADDRESS = bytes(4)


class Instance:
    """One machine: its settings file and the process that runs on it."""

    def __init__(
        self, name: str, own: Addresses, folder: Path, record: Record, product: Path
    ) -> None:
        self._product = product
        self.name = name
        self.addresses = own
        self.settings_path = folder / f"{name}.toml"
        self.log_path = folder / f"{name}.log"
        self._clock_offset_s = 0.0
        self._lost_to: Counter[bytes] = Counter()
        self._control_path = folder / f"{name}.control"
        self._control_path.write_bytes(bytes(CONTROL.size))
        self.record = record
        self._process: subprocess.Popen | None = None
        self._is_end_expected = False
        #: None until the first sample; how long a start takes is judged by no check.
        self._starved_ns: int | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((self._product / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        command[0] = sys.executable
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(
                command,
                cwd=self._product,
                env=self.environment(),
                stdout=log,
                stderr=log,
            )
        self._is_end_expected = False
        self._starved_ns = None
        self.record.note(Started(time.monotonic(), self.name))

    def environment(self) -> dict[str, str]:
        """Return the environment variables of the process."""
        python_path = [str(STARTUP_HOOK), os.environ.get("PYTHONPATH", "")]
        return os.environ | {
            "BUCKTHORNROCK_NODE_FILE": str(self.settings_path),
            "PYTHONPATH": os.pathsep.join(filter(None, python_path)),
            "SOAK_CONTROL_FILE": str(self._control_path),
        }

    def step_clock(self, by_s: float) -> None:
        """Make the wall clock of this machine jump; its processes keep the offset."""
        self._clock_offset_s += by_s
        self._write_control()

    def lose_datagrams_to(self, ip: str, is_lost: bool = True) -> None:
        """Lose this instance's datagrams to an address until called with False."""
        self._lost_to[socket.inet_aton(ip)] += 1 if is_lost else -1
        self._write_control()

    def _write_control(self) -> None:
        lost_to = [address for address, n in self._lost_to.items() if n > 0]
        padding = [NO_ADDRESS] * (4 - len(lost_to))
        # The file is mapped by processes, which must not see it truncated.
        with open(self._control_path, "r+b", buffering=0) as file:
            file.write(CONTROL.pack(self._clock_offset_s, *lost_to, *padding))

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def send(self, number: int) -> None:
        """Send a signal to the process."""
        if not self.is_running():
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._is_end_expected = True
        self._process.send_signal(number)

    async def wait_ended(self) -> None:
        """Wait until the process is gone; kill it if that takes too long.

        Another fault may have started the next process by then.
        """
        process = self._process
        until_s = time.monotonic() + EXIT_LIMIT_S
        while process.poll() is None and time.monotonic() < until_s:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            # A process that hangs at its end is found by the check of endings.
            self.record.note(Ended(time.monotonic(), self.name, -signal.SIGKILL))
            process.kill()
            process.wait()

    async def is_ready(self) -> bool:
        """Ask as the platform does whether the instance is ready."""
        try:
            async with asyncio.timeout(0.5):
                connection = await http_connection.connect(self.addresses.ready, 0.5)
                headers = [("Host", HOST), ("Connection", "close")]
                request = h11.Request(method="GET", target="/readyz", headers=headers)
                await connection.send(request, h11.EndOfMessage())
                response = await connection.next_event()
                connection.abort()
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            return False
        return getattr(response, "status_code", 0) == 200

    async def wait_ready(self) -> bool:
        """Wait until the instance is ready; return whether it is in time."""
        until_s = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < until_s:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def watch(self) -> None:
        """Sample the process and note when it ends unexpectedly, until cancelled."""
        noted = None
        while True:
            await asyncio.sleep(SAMPLE_PERIOD_S)
            if self.is_running():
                with contextlib.suppress(OSError, ValueError, StopIteration):
                    self.record.note(self._sample())
            elif not self._is_end_expected and noted is not self._process:
                noted = self._process
                code = self._process.returncode
                self.record.note(Ended(time.monotonic(), self.name, code))

    def _sample(self) -> Sampled:
        folder = Path(f"/proc/{self._process.pid}")
        status = (folder / "status").read_text().splitlines()
        memory = next(line for line in status if line.startswith("VmRSS"))
        n_fds = len(os.listdir(folder / "fd"))
        starved_ns = int((folder / "schedstat").read_text().split()[1])
        before_ns = starved_ns if self._starved_ns is None else self._starved_ns
        self._starved_ns = starved_ns
        memory_mb = int(memory.split()[1]) / 1024.0
        return Sampled(
            time.monotonic(),
            self.name,
            memory_mb,
            n_fds,
            (starved_ns - before_ns) / 1e6,
        )

    def stop(self) -> None:
        """End the process."""
        if self.is_running():
            self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

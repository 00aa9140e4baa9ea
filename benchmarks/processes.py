"""Starts, watches and ends the benchmark's processes."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec

STOP_TIMEOUT_S = 8.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Processes:
    """Processes that this benchmark started, by name, in a directory of its own."""

    def __init__(self) -> None:
        self.directory = Path(tempfile.mkdtemp(prefix="buckthornrock-bench-"))
        self._processes: dict[str, subprocess.Popen] = {}
        self._cpu_s: dict[str, float] = {}
        self._machine: tuple[float, float] = (0.0, 0.0)
        self._watched_at_s = 0.0

    def write(self, name: str, document: object) -> str:
        """Write a JSON file and return its path."""
        path = self.directory / name
        path.write_bytes(msgspec.json.encode(document))
        return str(path)

    def start(self, name: str, *arguments: str) -> subprocess.Popen:
        """Start ``python -m ARGUMENTS``."""
        errors = (self.directory / f"{name}.err").open("wb")
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            stderr=errors,
        )
        self._processes[name] = process
        return process

    def begin_watch(self) -> None:
        """Begin to measure processor time."""
        self._watched_at_s = time.monotonic()
        self._cpu_s = {name: _cpu_s(p.pid) for name, p in self._processes.items()}
        self._machine = _machine_s()

    def end_watch(self) -> dict[str, float]:
        """Return each process's share of one core, and the machine's share."""
        passed_s = time.monotonic() - self._watched_at_s
        shares = {
            name: round((_cpu_s(p.pid) - self._cpu_s.get(name, 0.0)) / passed_s, 3)
            for name, p in self._processes.items()
        }
        busy_s, total_s = (
            b - a for a, b in zip(self._machine, _machine_s(), strict=True)
        )
        return {**shares, "machine": round(busy_s / max(total_s, 1e-9), 3)}

    def memory_mb(self, name: str) -> float:
        """Return the resident memory of a process."""
        status = Path(f"/proc/{self._processes[name].pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
        return int(line.split()[1]) / 1024.0

    def stop(self) -> None:
        """End every process that was started here."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        give_up_at_s = time.monotonic() + STOP_TIMEOUT_S
        for process in self._processes.values():
            try:
                process.wait(max(0.1, give_up_at_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
        self._processes.clear()


def _cpu_s(pid: int) -> float:
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _machine_s() -> tuple[float, float]:
    line = Path("/proc/stat").read_text().splitlines()[0]
    values = [int(v) for v in line.split()[1:9]]
    idle = values[3] + values[4]
    return (sum(values) - idle) / TICKS_PER_S, sum(values) / TICKS_PER_S

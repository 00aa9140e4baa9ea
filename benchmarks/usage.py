"""Reads what a process has used."""

import os
from pathlib import Path
from typing import NamedTuple

_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Usage(NamedTuple):
    """What a process has used so far."""

    cpu_s: float
    resident_bytes: int
    n_threads: int


def read_usage(pid: int) -> Usage:
    """Return the processor time, memory and threads of a process."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_ticks = int(stat[11]) + int(stat[12])
    return Usage(
        cpu_s=cpu_ticks / _CLOCK_TICKS_PER_S,
        resident_bytes=int(stat[21]) * _PAGE_BYTES,
        n_threads=int(stat[17]),
    )

"""The clock port: decisions read the time from it, never from ``time``."""

import time
from collections.abc import Callable
from typing import NamedTuple


class Clock(NamedTuple):
    """A monotonic clock, a wall clock and a sleep function.

    Parameters
    ----------
    now_ms : callable
        Monotonic milliseconds, as float; advances also while the process is paused or
        the machine suspended.
    wall_ms : callable
        Milliseconds since the epoch, as int; may jump.
    sleep_ms : callable
        Blocks the calling thread.
    """

    now_ms: Callable[[], float]
    wall_ms: Callable[[], int]
    sleep_ms: Callable[[float], None]


def _now_ms() -> float:
    # CLOCK_BOOTTIME advances while the machine is suspended, so that a lease that
    # expired meanwhile doesn't look valid afterwards.
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


def system_clock() -> Clock:
    """Return the clock of this machine."""
    return Clock(
        now_ms=_now_ms,
        wall_ms=lambda: int(time.time() * 1000),
        sleep_ms=lambda duration_ms: time.sleep(duration_ms / 1000.0),
    )

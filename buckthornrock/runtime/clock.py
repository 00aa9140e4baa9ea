"""The clock port: decisions take the time from here, never from ``time``."""

import time
from collections.abc import Callable
from typing import NamedTuple


class Clock(NamedTuple):
    """Two clocks and a way to wait.

    Parameters
    ----------
    now_ms : callable
        Monotonic milliseconds, as float; counts while the process is paused.
    wall_ms : callable
        Milliseconds since the epoch, as int; may jump.
    sleep_ms : callable
        Blocks the calling thread.
    """

    now_ms: Callable[[], float]
    wall_ms: Callable[[], int]
    sleep_ms: Callable[[float], None]


def _now_ms() -> float:
    # CLOCK_BOOTTIME goes on while the machine is suspended, so a lease cannot
    # look fresh after a suspension.
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


def system_clock() -> Clock:
    """Return the clock of this machine."""
    return Clock(
        now_ms=_now_ms,
        wall_ms=lambda: int(time.time() * 1000),
        sleep_ms=lambda duration_ms: time.sleep(duration_ms / 1000.0),
    )

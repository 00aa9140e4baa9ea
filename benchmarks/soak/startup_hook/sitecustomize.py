"""Shifts the wall clock of a process by an offset that the soak writes to a file.

Python imports this module at the start of each process that has its folder on
``PYTHONPATH``. Monotonic clocks are unaffected. ``datetime`` reads the operating
system's clock and isn't shifted; the product uses it in reports of commands only.
"""

import functools
import mmap
import os
import struct
import time

OFFSET_FILE_VARIABLE = "SOAK_CLOCK_OFFSET_FILE"
OFFSET = struct.Struct("=d")


def _open_offset(path: str):
    """Return a function that reads the offset in seconds."""
    with open(path, "rb") as file:
        shared = mmap.mmap(file.fileno(), OFFSET.size, access=mmap.ACCESS_READ)
    return lambda: OFFSET.unpack_from(shared)[0]


def _wall_s(real, offset_s):
    return real() + offset_s()


def _wall_ns(real, offset_s):
    return real() + int(offset_s() * 1e9)


def _clock_s(real, offset_s, clock):
    now_s = real(clock)
    return now_s + offset_s() if clock == time.CLOCK_REALTIME else now_s


def _clock_ns(real, offset_s, clock):
    now_ns = real(clock)
    return now_ns + int(offset_s() * 1e9) if clock == time.CLOCK_REALTIME else now_ns


def install(offset_s) -> None:
    """Replace the functions of ``time`` that read the wall clock."""
    # Unlike a function, a partial object that is an attribute of a class isn't bound.
    for name, shifted in (
        ("time", _wall_s),
        ("time_ns", _wall_ns),
        ("clock_gettime", _clock_s),
        ("clock_gettime_ns", _clock_ns),
    ):
        real = getattr(time, name)
        setattr(time, name, functools.partial(shifted, real, offset_s))


if _path := os.environ.get(OFFSET_FILE_VARIABLE):
    install(_open_offset(_path))

"""Shifts the wall clock of a process and drops datagrams, as a file says.

Python imports this module at the start of each process that has its folder on
``PYTHONPATH``. The soak writes the file, which has the wall clock's offset in seconds
and the IPv4 addresses to which datagrams are lost; 0.0.0.0 stands for none.

Monotonic clocks are unaffected. ``datetime`` reads the operating system's clock and
isn't shifted; the product uses it in reports of commands only.
"""

import functools
import mmap
import os
import socket
import struct
import time

CONTROL_FILE_VARIABLE = "SOAK_CONTROL_FILE"
CONTROL = struct.Struct("=d4s4s4s4s")


def _open_control(path: str):
    """Return a function that reads the file's fields."""
    with open(path, "rb") as file:
        shared = mmap.mmap(file.fileno(), CONTROL.size, access=mmap.ACCESS_READ)
    return lambda: CONTROL.unpack_from(shared)


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


def _send_unless_lost(real, read_control, sock, data, *arguments):
    is_datagram = sock.type == socket.SOCK_DGRAM and sock.family == socket.AF_INET
    if is_datagram and socket.inet_aton(arguments[-1][0]) in read_control()[1:]:
        return len(data)
    return real(sock, data, *arguments)


def shift_clock(offset_s) -> None:
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


def lose_datagrams(read_control) -> None:
    """Replace the method of sockets that sends datagrams."""
    real = socket.socket.sendto

    def sendto(sock, data, *arguments):
        return _send_unless_lost(real, read_control, sock, data, *arguments)

    socket.socket.sendto = sendto


if _path := os.environ.get(CONTROL_FILE_VARIABLE):
    _read_control = _open_control(_path)
    shift_clock(lambda: _read_control()[0])
    lose_datagrams(_read_control)

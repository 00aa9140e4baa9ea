"""A soaked process sees clock steps and loses datagrams as its instance says.

Guards against faults that no process sees, and against steps of the clocks that
deadlines and leases use.
"""

import socket
import subprocess
import sys
import time
from contextlib import contextmanager

import pytest

from benchmarks.soak import deployment
from benchmarks.soak.instances import Instance
from benchmarks.soak.record import Record

#: Prints the clocks before and after each line of its input.
SCRIPT = """
import sys, time
CLOCKS = (
    ("time", time.time),
    ("time_ns", lambda: time.time_ns() / 1e9),
    ("realtime", lambda: time.clock_gettime(time.CLOCK_REALTIME)),
    ("realtime_ns", lambda: time.clock_gettime_ns(time.CLOCK_REALTIME) / 1e9),
    ("monotonic", time.monotonic),
    ("boottime", lambda: time.clock_gettime(time.CLOCK_BOOTTIME)),
)
for _ in sys.stdin:
    print(*(read() for _, read in CLOCKS), flush=True)
"""
CLOCKS = ("time", "time_ns", "realtime", "realtime_ns", "monotonic", "boottime")
WALL_CLOCKS = CLOCKS[:4]


@pytest.fixture
def instance(tmp_path):
    own = deployment.addresses("127.0.0.1")
    return Instance("edge-0", own, tmp_path, Record(), tmp_path)


@contextmanager
def asked(instance, script):
    """Run a script; the function writes a line to it and returns its answer."""
    process = subprocess.Popen(
        [sys.executable, "-c", script],
        env=instance.environment(),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )

    def ask(line):
        process.stdin.write(line + "\n")
        process.stdin.flush()
        return process.stdout.readline()

    yield ask
    process.stdin.close()
    process.wait()


@pytest.fixture
def read_clocks(instance):
    def read():
        return dict(zip(CLOCKS, map(float, ask("").split()), strict=True))

    with asked(instance, SCRIPT) as ask:
        yield read


@pytest.mark.parametrize("steps_s", [[20.0], [-7.5], [20.0, -20.0], [-3.0, -4.0]])
def test_only_the_wall_clock_jumps(instance, read_clocks, steps_s):
    before, before_s = read_clocks(), time.monotonic()
    for step_s in steps_s:
        instance.step_clock(step_s)
    after, elapsed_s = read_clocks(), time.monotonic() - before_s
    for name in CLOCKS:
        expected_s = sum(steps_s) if name in WALL_CLOCKS else 0.0
        jumped_s = after[name] - before[name] - expected_s
        assert 0.0 <= jumped_s <= elapsed_s + 0.5, name


def test_the_next_process_of_a_machine_has_the_same_clock(instance, read_clocks):
    instance.step_clock(100.0)
    assert read_clocks()["time"] - time.time() == pytest.approx(100.0, abs=2.0)


#: Sends one datagram to an address for each line of its input.
SENDER = """
import asyncio, sys

async def send():
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0)
    )
    for line in sys.stdin:
        ip, port, text = line.split()
        transport.sendto(text.encode(), (ip, int(port)))
        print(flush=True)

asyncio.run(send())
"""


@pytest.fixture
def send(instance):
    def send(receiver, text):
        ip, port = receiver.getsockname()
        ask(f"{ip} {port} {text}")

    with asked(instance, SENDER) as ask:
        yield send


@pytest.fixture
def receivers():
    sockets = []
    for ip in ("127.0.0.2", "127.0.0.3"):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((ip, 0))
        sock.settimeout(5.0)
        sockets.append(sock)
    yield sockets
    for sock in sockets:
        sock.close()


def test_datagrams_to_one_address_are_lost_for_a_while(instance, send, receivers):
    lossy, other = receivers
    # Two faults at once: datagrams are lost until both are over.
    for _ in range(2):
        instance.lose_datagrams_to("127.0.0.2")
    send(lossy, "lost")
    send(other, "kept")
    assert other.recv(100) == b"kept"
    instance.lose_datagrams_to("127.0.0.2", is_lost=False)
    send(lossy, "still-lost")
    instance.lose_datagrams_to("127.0.0.2", is_lost=False)
    send(lossy, "arrives")
    assert lossy.recv(100) == b"arrives"

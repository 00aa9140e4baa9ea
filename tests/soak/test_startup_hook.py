"""The wall clock of a soaked process follows the offset; monotonic clocks don't.

Guards against clock steps that no process sees, and against steps of the clocks that
deadlines and leases use.
"""

import subprocess
import sys
import time

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


@pytest.fixture
def read_clocks(instance):
    process = subprocess.Popen(
        [sys.executable, "-c", SCRIPT],
        env=instance.environment(),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )

    def read():
        process.stdin.write("\n")
        process.stdin.flush()
        line = process.stdout.readline()
        return dict(zip(CLOCKS, map(float, line.split()), strict=True))

    yield read
    process.stdin.close()
    process.wait()


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

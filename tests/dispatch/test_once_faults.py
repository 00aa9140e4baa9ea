"""Runs a few random fault schedules over sockets and checks that no call runs twice.

The benchmark that they come from runs hundreds.
"""

import pytest

from benchmarks import once_faults
from benchmarks.once_faults import N_INSTANCES, World, run_schedule

N_SCHEDULES = 2


def test_few_schedules_run_nothing_twice():
    world = World(seed=0)
    try:
        for number in range(N_SCHEDULES):
            run_schedule(world, number)
    finally:
        world.stop()
    assert world.problems == []
    assert sum(world.server.runs.values()) >= 1


def test_world_that_fails_to_start_leaves_no_process(monkeypatch):
    processes = []
    start = once_faults.Processes.start

    def keep(self, *arguments):
        processes.append(start(self, *arguments))
        return processes[-1]

    monkeypatch.setattr(once_faults.Processes, "start", keep)
    monkeypatch.setattr(World, "_is_ready", lambda *_: False)
    monkeypatch.setattr(once_faults, "READY_TIMEOUT_S", 0.0)
    try:
        with pytest.raises(TimeoutError):
            World(seed=0)
        assert len(processes) == N_INSTANCES
        assert all(process.poll() is not None for process in processes)
    finally:
        for process in processes:
            process.kill()
            process.wait()

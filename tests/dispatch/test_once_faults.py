"""Runs a few random fault schedules over sockets and checks that no call runs twice.

The benchmark that they come from runs hundreds.
"""

from benchmarks.once_faults import World, run_schedule

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

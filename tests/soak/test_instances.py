"""Waiting for the end of a process whose successor another fault has started."""

import asyncio
import signal
import time

import pytest

from benchmarks.soak import deployment
from benchmarks.soak.instances import Instance
from benchmarks.soak.record import Ended, Record


@pytest.fixture
def instance(tmp_path):
    (tmp_path / "deploy").mkdir()
    script = tmp_path / "sleeper.py"
    script.write_text("import time\ntime.sleep(60)\n")
    text = f'[roles.gateway]\nrun = "python3 {script}"\n'
    (tmp_path / "deploy" / "system.toml").write_text(text)
    own = deployment.addresses("127.0.0.1")
    started = Instance("edge-0", own, tmp_path, Record(), tmp_path)
    started.start()
    yield started
    started.stop()


def test_a_wait_ends_although_the_next_process_runs(instance):
    """Guards against two restarts at once, of which one killed the other's process."""

    async def restart_twice():
        instance.send(signal.SIGKILL)
        waiting = asyncio.create_task(instance.wait_ended())
        await asyncio.sleep(0)
        # The first look found the old process running; this one is already gone.
        while instance.is_running():
            time.sleep(0.01)
        instance.start()
        await asyncio.wait_for(waiting, 5.0)

    asyncio.run(restart_twice())
    assert instance.is_running()
    assert instance.record.all_of(Ended) == []

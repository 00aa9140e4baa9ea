"""Prompts at once with a part that crashes engines, before and after a restart of all machines.

Counts the requests with that part that reach engines later than stableMs after the fifth crash.
"""

import asyncio
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from review.standins2 import client
from review.standins2.deployment import SMALL, Deployment, Record

CRASHING, FIRST = "0badbad0", "1111aaaa"
N_FIRST, N_SECOND, STABLE_S = 30, 6, 3.0


async def send_batch(deployment: Deployment, name: str, size: int, answers: Counter) -> None:
    """Send prompts with the part, 0.01 s apart, to both machines in turn."""
    rng = random.Random(name)

    async def send(n: int) -> None:
        parts = f"{FIRST}:1300,{CRASHING}:12000,{rng.getrandbits(32):08x}:420"
        machine = deployment.machines[n % len(deployment.machines)]
        reader, writer = await client.open_to(machine.front)
        request = client.prompt_request(f"{name}-{n}", parts, "13720,40")
        answers[await client.exchange(reader, writer, request)] += 1
        writer.close()

    tasks = []
    for n in range(size):
        tasks.append(asyncio.create_task(send(n)))
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)


async def send_sound(deployment: Deployment) -> None:
    """Send four sound prompts a second, so that all engines are in use."""
    rng, n = random.Random(1), 0
    while True:
        machine, n = deployment.machines[n % len(deployment.machines)], n + 1
        parts = f"{FIRST}:1300,2222bbbb:12000,{rng.getrandbits(32):08x}:420"
        asyncio.ensure_future(send_one(machine, f"sound-{n}", parts))  # noqa: RUF006
        await asyncio.sleep(0.25)


async def send_one(machine, request_id: str, parts: str) -> None:
    try:
        reader, writer = await client.open_to(machine.front)
        await client.exchange(reader, writer, client.prompt_request(request_id, parts, "13720,40"))
        writer.close()
    except (OSError, asyncio.CancelledError):
        pass  # The machine is being restarted.


async def main() -> int:
    record = Record(Path(__file__).parent / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), record, SMALL, CRASHING)
        answers: Counter = Counter()
        try:
            if not await deployment.start():
                return 2
            sound = asyncio.create_task(send_sound(deployment))
            await asyncio.sleep(8.0)
            await send_batch(deployment, "first", N_FIRST, answers)
            await asyncio.sleep(8.0)
            for machine in deployment.machines:
                machine.process.send_signal(signal.SIGKILL)
                machine.process.wait()
            await asyncio.sleep(1.0)
            for machine in deployment.machines:
                machine.start()
            ready = [await machine.wait_ready() for machine in deployment.machines]
            await asyncio.sleep(STABLE_S + 2.0)
            second_s = time.monotonic()
            await send_batch(deployment, "second", N_SECOND, answers)
            sound.cancel()
        finally:
            deployment.stop()
        ran = set().union(*(engine.ran for engine in deployment.engines))
        later = [i for i in ran if i.startswith("second")]
        crashes_s = sorted(deployment.crashes_s)
        print(f"ready {ready}; {len(crashes_s)} crashes, {len(later)} later requests; {answers}")
        is_later = len(crashes_s) >= 5 and second_s > crashes_s[4] + STABLE_S
        return 1 if is_later and len(later) > 3 else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))

"""Clients whose prompts have one part with a long id, no two alike.

TROUBLE=0: the same clients with prompts of two parts, no two alike either.
"""

import asyncio
import os
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from review.standins2 import client
from review.standins2.deployment import GROWN, Deployment, Record

N_CLIENTS = 8
#: Requests of all clients at one machine; the sheet has 112 a second for 6 machines.
PER_S = 500.0
N_ID_DIGITS = 15_800
ENDS_WANTED = 3
LIMIT_S = 105.0
ANSWER_LIMIT_S = 14.0
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
#: Not 1, which Python exits with after an error of its own.
EXIT_HELD, EXIT_BROKEN, EXIT_VOID = 0, 10, 2


def parts(rng: random.Random) -> str:
    """Return the prompt's parts; either prompt has 100 tokens."""
    n_digits = N_ID_DIGITS if HAS_TROUBLE else 8
    return f"{rng.getrandbits(4 * n_digits):0{n_digits}x}:60,{rng.getrandbits(32):08x}:40"


async def play_client(machine, name: str, note, answers: Counter, ends_s: float) -> None:
    """Send one request after the other on a connection that is kept."""
    rng, n = random.Random(name), 0
    while time.monotonic() < ends_s and len(machine.ends) < ENDS_WANTED:
        try:
            reader, writer = await client.open_to(machine.front)
        except OSError:
            await asyncio.sleep(0.2)
            continue
        answer = "200"
        while answer in ("200", "503") and time.monotonic() < ends_s:
            began_s = time.monotonic()
            request_id = f"{name}-{n:08x}"
            n += 1
            request = client.prompt_request(request_id, parts(rng), "100,1")
            note(f"client sends {request_id} to {machine.name}, {len(request)} bytes")
            try:
                async with asyncio.timeout(ANSWER_LIMIT_S):
                    answer = await client.exchange(reader, writer, request)
            except TimeoutError:
                answer = "none"
            note(f"client got {answer} for {request_id}")
            answers[answer] += 1
            left_s = began_s + N_CLIENTS / PER_S - time.monotonic()
            await asyncio.sleep(max(0.0, left_s))
        writer.close()


async def main() -> int:
    ends_s = time.monotonic() + LIMIT_S - ANSWER_LIMIT_S
    record = Record(Path(__file__).parent / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), record, GROWN)
        answers: Counter = Counter()
        try:
            if not await deployment.start():
                print("the machines didn't get ready")
                return EXIT_VOID
            watches = [asyncio.create_task(m.supervise()) for m in deployment.machines]
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + LIMIT_S):
                await asyncio.gather(
                    *(
                        play_client(m, f"{m.name}-{c}", record.note, answers, ends_s)
                        for m in deployment.machines
                        for c in range(N_CLIENTS)
                    )
                )
        finally:
            for machine in deployment.machines:
                line = (
                    f"{machine.name}: {len(machine.ends)} ends over {machine.memory_mb} MB"
                    f" {[round(mb) for _, mb in machine.ends]}, peak {machine.peak_mb:.0f} MB,"
                    f" other ends {machine.own_ends}"
                )
                print(line)
                record.note(line)
            print("answers", dict(answers))
            record.note(f"answers {dict(answers)}")
            deployment.stop()
        del watches
        return EXIT_BROKEN if deployment.breaks_fault() else EXIT_HELD


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))

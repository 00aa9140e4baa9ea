"""Prompts with a part that crashes engines, before a shared part that is sound.

TROUBLE=0: the sound callers alone.
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
from review.standins2.deployment import SMALL, Deployment, Record

CRASHING = "0badbad0"
#: A sound first part, and the second part of before and from ``NEW_AT_S`` on.
FIRST, BEFORE, NEW = "1111aaaa", "2222bbbb", "3333cccc"
TOKENS = "13720,40"
#: Prompts with the crashing part and the new one, and from when on sound callers use the
#: new part. Seconds from the start.
CRASHING_AT_S = (12.0, 13.2, *(16.0 + 2.0 * n for n in range(14)))
NEW_AT_S = 14.5
ENDS_AT_S = 44.0
SOUND_PER_S = 4.0
ANSWER_LIMIT_S = 12.0
STABLE_S = 3.0
LEAST_COUNTED = 20
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
#: Not 1, which Python exits with after an error of its own.
EXIT_HELD, EXIT_BROKEN, EXIT_VOID = 0, 10, 2


async def send(machine, request_id: str, parts: str, note, answers: Counter) -> None:
    """Send one request on a connection of its own; it isn't tried again."""
    note(f"client sends {request_id} to {machine.name}: {parts}")
    try:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            reader, writer = await client.open_to(machine.front)
            answer = await client.exchange(
                reader, writer, client.prompt_request(request_id, parts, TOKENS)
            )
            writer.close()
    except (OSError, TimeoutError) as error:
        answer = type(error).__name__
    note(f"client got {answer} for {request_id}")
    answers[answer] += 1


async def play(deployment: Deployment, note, answers: Counter) -> tuple[float, dict[str, float]]:
    """Play the run; return its start, and when each sound request was sent."""
    rng, began_s = random.Random(10), time.monotonic()
    sent_s: dict[str, float] = {}
    tasks = []
    events = [(n / SOUND_PER_S, "sound") for n in range(int(ENDS_AT_S * SOUND_PER_S))]
    events += [(at_s, "crashing") for at_s in CRASHING_AT_S if HAS_TROUBLE]
    for n, (at_s, kind) in enumerate(sorted(events)):
        await asyncio.sleep(max(0.0, began_s + at_s - time.monotonic()))
        machine = deployment.machines[n % len(deployment.machines)]
        request_id, own = f"{kind}-{n:06x}", f"{rng.getrandbits(32):08x}:420"
        if kind == "sound":
            sent_s[request_id] = time.monotonic()
            parts = f"{FIRST}:1300,{NEW if at_s >= NEW_AT_S else BEFORE}:12000,{own}"
        else:
            parts = f"{CRASHING}:1300,{NEW}:12000,{own}"
        tasks.append(asyncio.create_task(send(machine, request_id, parts, note, answers)))
    await asyncio.gather(*tasks)
    return began_s, sent_s


def share_begun(ids: list[str], ran: set[str]) -> float:
    return sum(i in ran for i in ids) / len(ids)


async def main() -> int:
    record = Record(Path(__file__).parent / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), record, SMALL, CRASHING)
        answers: Counter = Counter()
        try:
            if not await deployment.start():
                print("the machines didn't get ready")
                return EXIT_VOID
            began_s, sent_s = await play(deployment, record.note, answers)
        finally:
            for log in Path(folder).glob("*.log"):
                for line in log.read_text().splitlines():
                    if "quarantin" in line:
                        record.note(f"log of {log.stem}: {line}")
            deployment.stop()
        ran = set().union(*(engine.ran for engine in deployment.engines))
        crashes_s = sorted(deployment.crashes_s)[:5]
        from_s = (crashes_s[-1] if crashes_s else began_s + NEW_AT_S) + 2 * STABLE_S
        until_s = began_s + CRASHING_AT_S[-1]
        first_s = crashes_s[0] if crashes_s else began_s + CRASHING_AT_S[0]
        calm = [i for i, at_s in sent_s.items() if at_s < first_s - 1.0]
        judged = [i for i, at_s in sent_s.items() if from_s <= at_s <= until_s]
        if min(len(calm), len(judged)) < LEAST_COUNTED:
            print("too few requests", len(calm), len(judged))
            return EXIT_VOID
        begun_in_calm, begun = share_begun(calm, ran), share_begun(judged, ran)
        text = (
            f"{len(deployment.crashes_s)} crashes; sound requests that began: {begun_in_calm:.2f}"
            f" of {len(calm)} in calm, {begun:.2f} of {len(judged)} later; {dict(answers)}"
        )
        print(text)
        return EXIT_BROKEN if begun < 0.5 * begun_in_calm else EXIT_HELD


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))

"""Kills engines at random during streams and says what each caller got.

Run ``python -m benchmarks.stream_kills --seed 1``. Exits 1 if any answer was wrong.
"""

import collections
import random
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import click

from benchmarks.stream_world import StreamWorld, ask, random_prompt, verdict
from buckthornrock.standins.engine_faults import Fault, Script

KINDS = ("crash", "crash", "cut", "stall", "crossed", "other_weights")

#: Refusals after which a caller gives up.
MAX_REFUSALS = 50


def plant_faults(world, rng, stop, pause_s):
    """Plant one fault after another until ``stop`` is set; return their counts."""
    counts = collections.Counter()
    while not stop.wait(rng.uniform(0.5, 1.5) * pause_s):
        kind = rng.choice(KINDS)
        for_ms = rng.uniform(200.0, 600.0)
        fault = Fault(kind, for_ms=for_ms, share=0.3, value="w0")
        rng.choice(world.engines).control(Script([fault], rng.randrange(1_000)))
        counts[kind] += 1
    return counts


def run_streams(world, rng, n_streams, n_callers, n_tokens):
    """Run streams from several callers and count the verdicts."""
    jobs = [(random_prompt(rng), rng.choice(world.ports)) for _ in range(n_streams)]

    def run(job):
        prompt, port = job
        for _ in range(MAX_REFUSALS):
            answer = ask(port, prompt, n_tokens)
            if answer.error_code != "queue-full":
                break
            # Refused before it ran; the caller comes back as it was told.
            time.sleep(0.1)
        return verdict(answer, prompt, n_tokens)

    with ThreadPoolExecutor(n_callers) as pool:
        return collections.Counter(pool.map(run, jobs))


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--n-streams", default=1_000, show_default=True)
@click.option("--n-callers", default=48, show_default=True)
@click.option("--n-tokens", default=60, show_default=True)
@click.option("--n-engines", default=6, show_default=True)
@click.option("--pause-s", default=0.3, show_default=True)
def main(seed, n_streams, n_callers, n_tokens, n_engines, pause_s):
    """Print how many streams ended in which way."""
    rng = random.Random(seed)
    world = StreamWorld(n_engines)
    stop = threading.Event()
    started_s = time.monotonic()
    with ThreadPoolExecutor(1) as pool:
        faults = pool.submit(plant_faults, world, rng, stop, pause_s)
        counts = run_streams(world, random.Random(seed), n_streams, n_callers, n_tokens)
        stop.set()
    duration_s = time.monotonic() - started_s
    click.echo(f"seed {seed}, {n_streams} streams in {duration_s:.1f} s")
    click.echo(f"faults {dict(faults.result())}")
    for name, n_answers in sorted(counts.items()):
        click.echo(f"{n_answers:6} {name}")
    world.stop()
    sys.exit(any(name.startswith("WRONG") for name in counts))


if __name__ == "__main__":
    main()

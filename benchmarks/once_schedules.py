"""Random fault schedules of the decisions about idempotency keys.

Run with ``python -m benchmarks.once_schedules --n 10000 --seed 0``. Prints one JSON
object and exits with 1 if any schedule broke a rule.
"""

import random
import sys
import time
from collections import Counter

import click
import msgspec

from tests.idempotency.key_model import ClaimModel, IssuedModel

MODELS = {
    "claims_2": lambda: ClaimModel(2),
    "claims_3": lambda: ClaimModel(3),
    "issued": IssuedModel,
}


@click.command()
@click.option("--n", "n_schedules", default=10_000, help="Schedules a model.")
@click.option("--steps", "n_steps", default=80, help="Steps a schedule.")
@click.option("--seed", default=0, help="Seed of the first schedule.")
def main(n_schedules: int, n_steps: int, seed: int) -> None:
    """Run schedules and count broken rules and how calls ended."""
    report = {
        name: run_schedules(make, n_schedules, n_steps, seed)
        for name, make in MODELS.items()
    }
    click.echo(msgspec.json.format(msgspec.json.encode(report)))
    sys.exit(any(part["n_broken"] for part in report.values()))


def run_schedules(make, n_schedules: int, n_steps: int, seed: int) -> dict:
    """Run one model's schedules."""
    ends: Counter[str] = Counter()
    broken = []
    n_runs = 0
    started_at_s = time.monotonic()
    for number in range(seed, seed + n_schedules):
        rng = random.Random(number)
        model = make()
        for _ in range(n_steps):
            model.step_at_random(rng)
        n_runs += model.n_runs
        ends.update(_ends(model))
        if model.problems:
            broken.append([number, *model.problems])
    return {
        "n_schedules": n_schedules,
        "n_steps": n_steps,
        "first_seed": seed,
        "n_broken": len(broken),
        "broken": broken[:10],
        "n_runs_at_end": n_runs,
        "ends": dict(ends),
        "duration_s": round(time.monotonic() - started_at_s, 1),
    }


def _ends(model) -> Counter:
    results = getattr(model, "results", ())
    return Counter("ok" if r.is_ok() else r.error.code for r in results)


if __name__ == "__main__":
    main()

"""Random fault schedules of the decisions about idempotency keys and orders.

Run with ``python -m benchmarks.once_schedules --n 10000 --seed 0``; the models of
engine controllers run a tenth as many. Prints one JSON object and exits with 1 if any
schedule broke a rule, or left an engine other than wanted after it was left alone.
"""

import random
import sys
import time
from collections import Counter

import click
import msgspec

from tests.fleet.controller_model import ControllerModel
from tests.idempotency.key_model import ClaimModel, IssuedModel

SETTLE_MS = 240_000.0
CONTROLLER_SHARE = 0.1
KEY_MODELS = {
    "claims_2": lambda: ClaimModel(2),
    "claims_3": lambda: ClaimModel(3),
    "issued": IssuedModel,
}
CONTROLLER_MODELS = {
    "stewards_fencing": lambda: ControllerModel(checks_fencing=True),
    "stewards_ignoring": lambda: ControllerModel(checks_fencing=False),
}


@click.command()
@click.option("--n", "n_schedules", default=10_000, help="Schedules a model.")
@click.option("--steps", "n_steps", default=80, help="Steps a schedule.")
@click.option("--seed", default=0, help="Seed of the first schedule.")
def main(n_schedules: int, n_steps: int, seed: int) -> None:
    """Run schedules and count broken rules and how calls ended."""
    report = {
        name: run_schedules(make, n_schedules, n_steps, seed)
        for name, make in KEY_MODELS.items()
    }
    n_controller = int(CONTROLLER_SHARE * n_schedules)
    for name, make in CONTROLLER_MODELS.items():
        report[name] = run_schedules(make, n_controller, n_steps, seed)
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
        if isinstance(model, ControllerModel) and number % 2:
            # Half of the schedules begin with engines that serve.
            model.settle(SETTLE_MS)
        for _ in range(n_steps):
            model.step_at_random(rng)
        if isinstance(model, ControllerModel):
            model.settle(SETTLE_MS)
            ends.update(["as wanted" if model.is_settled() else "not as wanted"])
            if not model.is_settled():
                model.problems.append("not as wanted")
        else:
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

"""Floods with the mechanisms of admission on and off, over real processes.

``python -m benchmarks.admission_floods --seeds 1`` runs a fleet of instances under
each flood with each variant of admission and prints a table. A variant differs from
``queues`` in one mechanism.
"""

import click

from . import figures
from .experiments import (
    DEFERRABLE,
    FLOOD_AT_MS,
    FLOOD_FACTOR,
    FLOOD_FOR_MS,
    POLICIES,
    URGENT,
)
from .trial import Trial, TrialResult, run_trial

#: Variant -> (settings section ``admission``, floor of deferrable work).
VARIANTS: dict[str, tuple[dict, float]] = {
    "unlimited": ({"policy": "unlimited"}, 0.1),
    "fixed window": ({"controller": "fixed"}, 0.1),
    "gradient": ({"controller": "gradient"}, 0.1),
    "no floor": ({}, 0.0),
    "queues": ({}, 0.1),
}
FLOODS = ("none", "deferrable", "urgent")
COLUMNS = (
    "flood",
    "variant",
    "seed",
    "urgent p50 / p99 ms",
    "urgent on time",
    "urgent on time a second",
    "deferrable whole a second",
    "small / large on time",
    "refused",
    "objections",
)


@click.command()
@click.option("--deployment", default="paddock-lane")
@click.option("--seeds", default="1", help="Comma-separated seeds.")
@click.option("--floods", default=",".join(FLOODS), help="Comma-separated floods.")
@click.option("--variants", default=",".join(VARIANTS), help="Comma-separated.")
def main(deployment: str, seeds: str, floods: str, variants: str) -> None:
    """Run the floods and print a table."""
    click.echo("| " + " | ".join(COLUMNS) + " |")
    click.echo("|" + "---|" * len(COLUMNS))
    for seed in map(int, seeds.split(",")):
        for flood in floods.split(","):
            for variant in variants.split(","):
                trial = make_trial(deployment, flood, variant, seed)
                cells = _cells(flood, variant, run_trial(trial))
                click.echo("| " + " | ".join(cells) + " |")


def make_trial(deployment: str, flood: str, variant: str, seed: int) -> Trial:
    """Return the trial of one variant under one flood."""
    section, floor = VARIANTS[variant]
    extra = POLICIES["cost"] | ({"admission": section} if section else {})
    classes = {"deferrable": DEFERRABLE, "urgent": URGENT}
    floods = ()
    if flood in classes:
        floods = (
            {
                "work_class": classes[flood][deployment],
                "at_ms": FLOOD_AT_MS,
                "for_ms": FLOOD_FOR_MS,
                "factor": FLOOD_FACTOR,
            },
        )
    return Trial(deployment, variant, extra, seed, floods=floods, floor=floor)


def _cells(flood: str, variant: str, result: TrialResult) -> list[str]:
    ranks = figures.by_rank(result)
    urgent, deferrable = ranks[min(ranks)], ranks[max(ranks)]
    sizes = figures.by_size(result, min(ranks))
    duration_s = result.load.duration_ms / 1000.0
    n_on_time = sum(group.n_on_time for group in urgent)
    n_whole = sum(group.n_by_kind.get("whole", 0) for group in deferrable)
    return [
        flood,
        variant,
        str(result.seed),
        f"{figures.ttft_ms(urgent, 50.0):.0f} / {figures.ttft_ms(urgent, 99.0):.0f}",
        f"{figures.on_time(urgent):.3f}",
        f"{n_on_time / duration_s:.1f}",
        f"{n_whole / duration_s:.1f}",
        f"{figures.on_time(sizes['small']):.3f} / "
        f"{figures.on_time(sizes['large']):.3f}",
        str(figures.n_by_kind(result, "refused")),
        "; ".join(result.objections) or "none",
    ]


if __name__ == "__main__":
    main()

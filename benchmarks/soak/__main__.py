"""Command line: ``python -m benchmarks.soak --seed N``."""

import sys
import time
from pathlib import Path

import click

from . import checks, run, schedule
from .cases import CASES
from .instances import ROOT
from .schedule import Fault
from .shorten import shorten

MAX_IDS = 12


def report(played: run.Played, verdict: checks.Verdict, took_s: float) -> None:
    """Print what a run showed."""
    for violation in verdict.violations:
        ids = " ".join(violation.request_ids[:MAX_IDS])
        n_more = len(violation.request_ids) - MAX_IDS
        more = f" and {n_more} more" if n_more > 0 else ""
        click.echo(f"  {violation.check}: {violation.reason}: {ids}{more}")
    statuses = run.count_statuses(played.record)
    click.echo(f"  responses by status: {statuses}; logs in {played.folder}")
    reason = f" ({verdict.void_reason})" if verdict.void_reason else ""
    click.echo(f"{verdict.outcome}{reason} in {took_s:.1f} s")


def play_and_judge(options: run.Options) -> checks.Verdict:
    """Play a schedule, print its verdict and return it."""
    start_s = time.monotonic()
    played = run.play(options)
    verdict = checks.judge(played.record, played.void_reason)
    report(played, verdict, time.monotonic() - start_s)
    return verdict


def shortened(options: run.Options, verdict: checks.Verdict) -> list[Fault]:
    """Return the faults that are needed for one of the same checks to fail."""
    failed = {violation.check for violation in verdict.violations}

    def fails(faults: list[Fault]) -> bool:
        click.echo(f"with {' '.join(fault.name for fault in faults) or 'no fault'}:")
        found = play_and_judge(options._replace(faults=faults))
        still = {violation.check for violation in found.violations}
        return found.outcome == "failed" and bool(failed & still)

    return shorten(options.faults, fails)


@click.command()
@click.option("--seed", type=int, help="Identifies the run.")
@click.option("--case", type=click.Choice(sorted(CASES)), help="A kept schedule.")
@click.option("--duration-s", default=25.0, help="Shortest length of the run.")
@click.option("--without", multiple=True, metavar="FAULT", help="A name or a kind.")
@click.option("--quota", is_flag=True, help="Configure an account with a quota.")
@click.option("--unfenced", is_flag=True, help="Engines ignore fencing numbers.")
@click.option("--shorten", "is_short", is_flag=True, help="Shorten it if it fails.")
@click.option("--product", default=ROOT, type=Path, help="Code of another version.")
def main(
    seed: int | None,
    case: str | None,
    duration_s: float,
    without: tuple[str, ...],
    quota: bool,
    unfenced: bool,
    is_short: bool,
    product: Path,
) -> None:
    """Play the faults of a seed or case.

    Ends with 0 if it passed, 1 if it failed and 2 if it is void.
    """
    if (seed is None) == (case is None):
        raise click.UsageError("give either --seed or --case")
    if case is None:
        name, faults = str(seed), schedule.draw_schedule(seed, duration_s)
    else:
        name, faults = CASES[case].seed, CASES[case].faults
    faults = schedule.without(faults, frozenset(without))
    click.echo(f"case {case}" if case else f"seed {seed}")
    click.echo(schedule.describe(faults))
    options = run.Options(
        name, faults, duration_s, quota, product.resolve(), not unfenced
    )
    verdict = play_and_judge(options)
    if is_short and verdict.outcome == "failed":
        click.echo("shortened:\n" + schedule.describe(shortened(options, verdict)))
    sys.exit({"passed": 0, "failed": 1, "void": 2}[verdict.outcome])


if __name__ == "__main__":
    main()

"""Command line: ``python -m benchmarks.soak --seed N``."""

import sys
import time

import click

from . import checks, run, schedule
from .schedule import Fault

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


def chosen_faults(
    seed: int, duration_s: float, left_out: tuple[str, ...]
) -> list[Fault]:
    """Return the faults of a seed without those that were left out."""
    drawn = schedule.draw_schedule(seed, duration_s)
    return schedule.without(drawn, frozenset(left_out))


@click.command()
@click.option("--seed", type=int, required=True, help="Identifies the run.")
@click.option("--duration-s", default=25.0, help="Shortest length of the run.")
@click.option("--without", multiple=True, metavar="FAULT", help="A name or a kind.")
@click.option("--quota", is_flag=True, help="Configure an account with a quota.")
def main(seed: int, duration_s: float, without: tuple[str, ...], quota: bool) -> None:
    """Play the faults of a seed; end with 0 if it passed, 1 if it failed, 2 if void."""
    faults = chosen_faults(seed, duration_s, without)
    click.echo(f"seed {seed}")
    click.echo(schedule.describe(faults))
    options = run.Options(str(seed), faults, duration_s, quota)
    verdict = play_and_judge(options)
    sys.exit({"passed": 0, "failed": 1, "void": 2}[verdict.outcome])


if __name__ == "__main__":
    main()

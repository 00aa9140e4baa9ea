"""What a request costs an instance: processor share at several rates.

``python -m benchmarks.request_cost`` prints a table; the difference between two rates
over the difference in requests is the cost of a request, tokens included.
"""

from statistics import mean

import click

from .experiments import POLICIES
from .trial import Trial, run_trial

RATE_FACTORS = (0.25, 0.5, 1.0)
DURATION_MS = 10_000.0


@click.command()
def main() -> None:
    """Measure each rate at the Wieszak size."""
    click.echo("| requests/s an instance | core an instance | machine | not whole |")
    click.echo("|---|---|---|---|")
    for factor in RATE_FACTORS:
        trial = Trial(
            "wieszak",
            f"rate x{factor}",
            POLICIES["cost"],
            duration_ms=DURATION_MS,
            rate_factor=factor,
        )
        result = run_trial(trial)
        shares = [s for n, s in result.shares.items() if n.startswith("instance")]
        n_sent = sum(g.n_sent for g in result.load.groups)
        n_whole = sum(g.n_by_kind.get("whole", 0) for g in result.load.groups)
        rate_per_s = n_sent / (DURATION_MS / 1000.0) / len(shares)
        click.echo(
            f"| {rate_per_s:.2f} | {mean(shares):.4f} | {result.shares['machine']:.0%} "
            f"| {n_sent - n_whole} of {n_sent} |"
        )


if __name__ == "__main__":
    main()

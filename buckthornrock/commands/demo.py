"""``buckthornrock demo``: one instance and its stand-ins, in one process."""

import sys

import click

from .demo_steps import STEPS, burn_lines
from .demo_world import start_world


@click.command()
def demo() -> None:
    """Run every promise once on loopback; exit 0 only if each held."""
    world = start_world()
    n_failed = 0
    try:
        for title, step in STEPS:
            problem = step(world)
            n_failed += bool(problem)
            click.echo(f"{'FAILED' if problem else 'held  '}  {title}")
            if problem:
                click.echo(f"        {problem}")
        for line in burn_lines(world):
            click.echo(line)
    finally:
        world.stop()
    click.echo(f"{len(STEPS) - n_failed} of {len(STEPS)} held")
    sys.exit(1 if n_failed else 0)

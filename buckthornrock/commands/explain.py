"""``buckthornrock explain``: why a request went where it went."""

import sys
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import click
import msgspec

from ..telemetry.burn_text import record_lines
from ..telemetry.decisions import DecisionRecord
from ..telemetry.request_timeline import (
    LogLine,
    build_timeline,
    parse_line,
    timeline_lines,
)
from .instances_http import operator_options, read_all


@click.command()
@click.argument("request_id")
@click.option(
    "--log",
    "log_paths",
    multiple=True,
    type=click.Path(exists=True, dir_okay=False),
    help="A log file; may be given several times, for several instances.",
)
@partial(operator_options, is_required=False)
def explain(
    request_id: str, log_paths: tuple[str, ...], addresses: tuple[str, ...], key: str
) -> None:
    """Show the decisions for REQUEST_ID, from log files or from running instances.

    Exits with 1 if no log file names it, or no instance that answered keeps its record.
    """
    if log_paths:
        _explain_from_logs(request_id, log_paths)
        return
    if not addresses or not key:
        raise click.UsageError("give --log, or --operator and --key")
    responses = read_all(addresses, key, f"/v1/decisions/{request_id}")
    for address in responses.unreachable:
        click.echo(f"not reached: {address}", err=True)
    if not responses.bodies:
        click.echo(
            f"no instance keeps a record of {request_id}; records are kept in memory, "
            "up to a bound, and end with their instance",
            err=True,
        )
        sys.exit(1)
    for address, body in responses.bodies.items():
        click.echo(f"served by the instance at {address}")
        for line in record_lines(msgspec.json.decode(body, type=DecisionRecord)):
            click.echo(line)


def _explain_from_logs(request_id: str, log_paths: tuple[str, ...]) -> None:
    story = build_timeline(request_id, _read_lines(log_paths))
    if not story.own:
        click.echo(f"no line names {request_id}", err=True)
        sys.exit(1)
    for line in timeline_lines(story):
        click.echo(line)


def _read_lines(log_paths: tuple[str, ...]) -> Iterator[LogLine]:
    for path in log_paths:
        with open(path, errors="replace") as file:
            for text in file:
                line = parse_line(text, Path(path).stem)
                if line is not None:
                    yield line

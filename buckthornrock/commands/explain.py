"""``buckthornrock explain``: why a request went where it went."""

import sys

import click
import msgspec

from ..telemetry.burn_text import record_lines
from ..telemetry.decisions import DecisionRecord
from .instances_http import operator_options, read_all


@click.command()
@click.argument("request_id")
@operator_options
def explain(request_id: str, addresses: tuple[str, ...], key: str) -> None:
    """Show the decisions for REQUEST_ID (the caller's X-Request-Id).

    Exits with 1 if no instance that answered keeps its record.
    """
    answers = read_all(addresses, key, f"/v1/decisions/{request_id}")
    for address in answers.unreachable:
        click.echo(f"not reached: {address}", err=True)
    if not answers.bodies:
        click.echo(
            f"no instance keeps a record of {request_id}; records are kept in memory, "
            "up to a bound, and end with their instance",
            err=True,
        )
        sys.exit(1)
    for address, body in answers.bodies.items():
        click.echo(f"served by the instance at {address}")
        for line in record_lines(msgspec.json.decode(body, type=DecisionRecord)):
            click.echo(line)

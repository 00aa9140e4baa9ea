"""``buckthornrock report``: service-level reports over all instances."""

import sys
from datetime import UTC, datetime
from pathlib import Path

import click
import msgspec

from ..telemetry.burn import BurnDocument
from ..telemetry.burn_html import render_html
from ..telemetry.burn_report import merge_documents
from ..telemetry.burn_text import report_lines
from .instances_http import operator_options, read_all


@click.group()
def report() -> None:
    """Show how the fleet does."""


@report.command()
@operator_options
@click.option("--html", "html_path", help="Write a page to this file as well.")
def burn(addresses: tuple[str, ...], key: str, html_path: str | None) -> None:
    """Show error budgets and how fast they burn.

    Exits with 1 if no instance answered, and with 3 if some did not.
    """
    responses = read_all(addresses, key, "/v1/burn")
    if not responses.bodies:
        click.echo(
            "no instance answered: " + ", ".join(responses.unreachable), err=True
        )
        sys.exit(1)
    documents = [
        msgspec.json.decode(body, type=BurnDocument)
        for body in responses.bodies.values()
    ]
    merged = merge_documents(documents, responses.unreachable)
    for line in report_lines(merged):
        click.echo(line)
    if html_path:
        made_at = datetime.now(UTC).strftime("%Y-%m-%d %H:%M UTC")
        Path(html_path).write_text(render_html(merged, made_at))
    sys.exit(3 if responses.unreachable else 0)

"""``buckthornrock upstreams``: what each upstream has, and who orders it."""

import sys

import click
import msgspec

from .instances_http import operator_options, read_all

EXIT_UNKNOWN = 1
EXIT_UNREACHABLE = 2
COLUMNS = (
    "id",
    "kind",
    "failure_domain",
    "state",
    "health",
    "weights_version",
    "loading",
    "steward",
    "last_order_id",
    "reason",
)


@click.command()
@click.argument("upstream_id", default="")
@operator_options
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def upstreams(
    upstream_id: str, addresses: tuple[str, ...], key: str, as_json: bool
) -> None:
    """Show the upstreams, or only UPSTREAM_ID.

    The reason why an engine waits is known to its leader, the instance in the column
    "steward", so name all instances to see every reason. Exits with 1 if there is no
    such upstream and with 2 if no instance answered.
    """
    responses = read_all(addresses, key, f"/v1/upstreams/{upstream_id}")
    if not responses.bodies:
        click.echo("no instance answered", err=True)
        sys.exit(EXIT_UNREACHABLE)
    rows = join_rows(list(responses.bodies.values()))
    if as_json:
        click.echo(msgspec.json.encode(rows))
    else:
        for line in table(rows):
            click.echo(line)
    sys.exit(0 if rows else EXIT_UNKNOWN)


def join_rows(bodies: list[bytes]) -> list[dict]:
    """Return one row an upstream: the first instance's, with its leader's reason."""
    rows: dict[str, dict] = {}
    for body in bodies:
        for row in msgspec.json.decode(body)["upstreams"]:
            known = rows.setdefault(row["id"], row)
            if row.get("reason"):
                known["reason"] = row["reason"]
    return [rows[upstream_id] for upstream_id in sorted(rows)]


def table(rows: list[dict]) -> list[str]:
    """Return the lines of a table."""
    cells = [COLUMNS, *([str(row.get(c, "")) or "-" for c in COLUMNS] for row in rows)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(COLUMNS))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    ]

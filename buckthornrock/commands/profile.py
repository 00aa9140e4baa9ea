"""``buckthornrock profile``: read and change profiles.

Exit codes: 0 done, 1 refused by the system (the reason is printed), 2 usage.
"""

import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec

from .client import OperatorClient, Refused
from .instances_http import operator_options
from .profile_text import print_rows, problem_lines, status_lines, version_line

POLL_PERIOD_S = 0.1
WAIT_LIMIT_S = 30.0


def _options(command: Callable) -> Callable:
    command = click.option("--json", "as_json", is_flag=True, help="Print JSON.")(
        command
    )
    return operator_options(command)


def _change_options(command: Callable) -> Callable:
    command = click.option(
        "--expected-version",
        type=click.IntRange(0),
        required=True,
        help="The version that this change is made from; 0 creates.",
    )(command)
    command = click.option("--author", default="", help="Who makes the change.")(
        command
    )
    command = click.option(
        "--wait", is_flag=True, help="Return when every live instance has it in force."
    )(command)
    command = click.option(
        "--wait-limit",
        "wait_limit_s",
        type=click.FloatRange(min=0.0),
        default=WAIT_LIMIT_S,
        help="Longest wait in seconds.",
    )(command)
    return _options(command)


@click.group()
def profile() -> None:
    """Read and change profiles."""


@profile.command("list")
@_options
def list_all(addresses: tuple[str, ...], key: str, as_json: bool) -> None:
    """List all profiles."""
    answer = OperatorClient(addresses, key).request("GET", "/v1/profiles")
    document = _unwrap(answer, as_json)
    print_rows(document, map(version_line, document["profiles"]), as_json)


@profile.command()
@click.argument("name")
@_options
def show(name: str, addresses: tuple[str, ...], key: str, as_json: bool) -> None:
    """Show the version of NAME in force; its profile is valid input for apply."""
    answer = OperatorClient(addresses, key).request("GET", f"/v1/profiles/{name}")
    document = _unwrap(answer, as_json)
    text = msgspec.json.format(msgspec.json.encode(document["profile"])).decode()
    print_rows(document, [text], as_json)


@profile.command()
@click.argument("name")
@_options
def history(name: str, addresses: tuple[str, ...], key: str, as_json: bool) -> None:
    """List the kept versions of NAME, newest first."""
    path = f"/v1/profile-history/{name}"
    document = _unwrap(OperatorClient(addresses, key).request("GET", path), as_json)
    print_rows(document, map(version_line, document["versions"]), as_json)


@profile.command()
@click.argument("name")
@_options
def status(name: str, addresses: tuple[str, ...], key: str, as_json: bool) -> None:
    """Show which version of NAME each live instance has in force."""
    path = f"/v1/profile-status/{name}"
    document = _unwrap(OperatorClient(addresses, key).request("GET", path), as_json)
    print_rows(document, status_lines(document["instances"]), as_json)


@profile.command()
@click.argument("name")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@_change_options
def apply(
    name: str,
    path: str,
    addresses: tuple[str, ...],
    key: str,
    as_json: bool,
    expected_version: int,
    author: str,
    wait: bool,
    wait_limit_s: float,
) -> None:
    """Accept the JSON file PATH as the next version of NAME."""
    try:
        content = msgspec.json.decode(Path(path).read_bytes())
    except msgspec.DecodeError as error:
        raise click.BadParameter(f"{path}: {error}") from error
    body = {
        "expected_version": expected_version,
        "profile": content,
        "author": author,
    }
    client = OperatorClient(addresses, key)
    accepted = _unwrap(client.request("PUT", f"/v1/profiles/{name}", body), as_json)
    _finish(client, accepted, wait, wait_limit_s, as_json)


@profile.command()
@click.argument("name")
@click.argument("version", type=click.IntRange(1))
@_change_options
def rollback(
    name: str,
    version: int,
    addresses: tuple[str, ...],
    key: str,
    as_json: bool,
    expected_version: int,
    author: str,
    wait: bool,
    wait_limit_s: float,
) -> None:
    """Accept the content of VERSION as the next version of NAME."""
    body = {"expected_version": expected_version, "version": version, "author": author}
    client = OperatorClient(addresses, key)
    answer = client.request("POST", f"/v1/profile-rollback/{name}", body)
    _finish(client, _unwrap(answer, as_json), wait, wait_limit_s, as_json)


def _unwrap(answer: Any, as_json: bool) -> dict[str, Any]:
    """Return the document, or print the problem and exit."""
    if answer.is_ok():
        return answer.ok
    _refuse(answer.error, as_json)
    return {}


def _refuse(refused: Refused, as_json: bool) -> None:
    print_rows(refused.document, problem_lines(refused.document), as_json, err=True)
    sys.exit(1)


def _finish(
    client: OperatorClient,
    accepted: dict[str, Any],
    wait: bool,
    wait_limit_s: float,
    as_json: bool,
) -> None:
    document = dict(accepted)
    lagging: list[dict] = []
    if wait:
        rows = _wait_in_force(client, accepted, wait_limit_s)
        lagging = [row for row in rows if not _has(row, accepted["version"])]
        document["instances"] = rows
        document["not_in_force"] = [row["instance_id"] for row in lagging]
    lines = [version_line(accepted)]
    if wait and not lagging:
        lines.append(f"in force on all {len(document['instances'])} live instances")
    if lagging:
        lines.append("accepted, but not yet in force on:")
        lines += status_lines(lagging)
    print_rows(document, lines, as_json)
    sys.exit(1 if lagging else 0)


def _wait_in_force(
    client: OperatorClient, accepted: dict[str, Any], wait_limit_s: float
) -> list[dict]:
    """Return the rows of all live instances, once all have it or time is up."""
    give_up_at_s = time.monotonic() + wait_limit_s
    path = f"/v1/profile-status/{accepted['name']}"
    while True:
        answer = client.request("GET", path)
        # An instance that no one could ask counts as not in force.
        unknown = {"instance_id": "unknown", "version": None, "trust": None}
        rows = answer.ok["instances"] if answer.is_ok() else [unknown]
        if all(_has(row, accepted["version"]) for row in rows):
            return rows
        if time.monotonic() >= give_up_at_s:
            return rows
        time.sleep(POLL_PERIOD_S)


def _has(row: dict, version: int) -> bool:
    return row["version"] is not None and row["version"] >= version

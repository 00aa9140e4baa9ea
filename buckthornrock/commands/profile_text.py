"""The text that the profile commands print."""

from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from typing import Any

import click
import msgspec


def print_rows(
    document: dict[str, Any], lines: Iterable[str], as_json: bool, err: bool = False
) -> None:
    """Print ``document`` as JSON, or ``lines`` as text."""
    if as_json:
        click.echo(msgspec.json.encode(document))
        return
    for line in lines:
        click.echo(line, err=err)


def version_line(row: dict[str, Any]) -> str:
    """Return one line about one version."""
    when = _time(row["accepted_wall_ms"])
    by = f" by {row['author']}" if row["author"] else ""
    return f"{row['name']} version {row['version']}, accepted {when}{by}"


def status_lines(rows: Iterable[dict[str, Any]]) -> Iterator[str]:
    """Yield one line for each instance."""
    for row in rows:
        if row["version"] is None:
            yield f"{row['instance_id']}: no answer"
            continue
        source = row["trust"] or "unknown"
        yield f"{row['instance_id']}: version {row['version']} (from {source})"


def problem_lines(document: dict[str, Any]) -> Iterator[str]:
    """Yield the lines that say why the system refused."""
    yield f"refused: {document['title']} ({document['code']})"
    details = document.get("details", {})
    for problem in details.get("problems", ()):
        yield _problem_line(problem)
    if document["code"] == "profile-conflict":
        yield from _conflict_lines(details)
        return
    if "reason" in details:
        yield f"reason: {details['reason']}"
    if document.get("not_run") == "unknown":
        yield "the change may have been accepted; send it again or ask for the status"


def _problem_line(problem: Any) -> str:
    if isinstance(problem, dict):
        problem = [problem[key] for key in ("id", "path", "found", "hint")]
    id_, path, found, hint = problem
    return f"{id_} {path}: found {found}; {hint}"


def _conflict_lines(details: dict[str, Any]) -> Iterator[str]:
    found, expected = details["found_version"], details["expected_version"]
    yield f"expected version {expected}, found version {found}"
    if details["author"]:
        when = _time(details["accepted_wall_ms"])
        yield f"accepted {when} by {details['author']}"
    for path in details["differences"]:
        yield f"differs: {path}"


def _time(wall_ms: int) -> str:
    when = datetime.fromtimestamp(wall_ms / 1000.0, UTC)
    return when.strftime("%Y-%m-%d %H:%M:%S UTC")

"""``buckthornrock check``: report every problem of a settings file."""

import sys

import click
import msgspec

from ..conf import Problem, load_settings


@click.command()
@click.argument("settings_path")
@click.option("--json", "as_json", is_flag=True, help="Print problems as JSON.")
def check(settings_path: str, as_json: bool) -> None:
    """Check the settings file SETTINGS_PATH.

    Exits with 0 if it has no problems and with 1 otherwise.
    """
    result = load_settings(settings_path)
    problems = result.error if result.is_error() else []
    print_problems(problems, as_json)
    sys.exit(1 if problems else 0)


def print_problems(problems: list[Problem], as_json: bool) -> None:
    """Print problems, one a line."""
    if as_json:
        rows = [problem._asdict() for problem in problems]
        click.echo(msgspec.json.encode(rows))
        return
    for problem in problems:
        click.echo(
            f"{problem.id} {problem.path}: found {problem.found}; {problem.hint}"
        )
    click.echo(f"{len(problems)} problems")

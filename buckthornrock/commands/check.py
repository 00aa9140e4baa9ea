"""``buckthornrock check``: report every problem of a settings file."""

import sys

import click
import msgspec

from ..compose.gateway import find_platform_problems
from ..conf import Problem, load_settings

#: Settings files of the platform end so.
PLATFORM_SUFFIX = ".toml"


@click.command()
@click.argument("settings_path")
@click.option("--json", "as_json", is_flag=True, help="Print problems as JSON.")
def check(settings_path: str, as_json: bool) -> None:
    """Check the settings file SETTINGS_PATH, or the platform's if it is TOML.

    Exits with 0 if it has no problems and with 1 otherwise.
    """
    problems = _find_problems(settings_path)
    print_problems(problems, as_json)
    sys.exit(1 if problems else 0)


def _find_problems(path: str) -> list[Problem]:
    if path.endswith(PLATFORM_SUFFIX):
        return find_platform_problems(path)
    result = load_settings(path)
    return result.error if result.is_error() else []


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

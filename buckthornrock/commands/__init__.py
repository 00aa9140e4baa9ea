"""The command line; one module a command."""

import click

from .. import __version__
from .check import check
from .demo import demo
from .explain import explain
from .load import load
from .order import order
from .profile import profile
from .report import report
from .serve import serve
from .upstreams import upstreams


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, message="%(version)s")
def main() -> None:
    """Route language-model traffic with long shared prompts."""


main.add_command(serve)
main.add_command(check)
main.add_command(demo)
main.add_command(load)
main.add_command(report)
main.add_command(profile)
main.add_command(explain)
main.add_command(order)
main.add_command(upstreams)

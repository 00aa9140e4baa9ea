"""The command line; one module a command."""

import importlib

import click

from .. import __version__

#: The commands; each is in the module of its name.
MODULES = (
    "serve",
    "check",
    "demo",
    "load",
    "report",
    "reference",
    "profile",
    "explain",
    "order",
    "upstreams",
    "where",
)


class _LazyGroup(click.Group):
    """Imports a command's module when the command is asked for.

    ``serve`` must start quickly and stay small, so it must not import the demo, the
    load tool and the stand-ins.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(MODULES)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in MODULES:
            return None
        module = importlib.import_module(f".{cmd_name}", __name__)
        return getattr(module, cmd_name)


@click.group(cls=_LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, message="%(version)s")
def main() -> None:
    """Route language-model traffic with long shared prompts."""

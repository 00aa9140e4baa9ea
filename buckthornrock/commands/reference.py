"""``buckthornrock reference``: print the reference pages that come from the code."""

import click

from .reference_pages import PAGES


@click.command()
@click.argument("page", type=click.Choice(sorted(PAGES)))
def reference(page: str) -> None:
    """Print the reference page PAGE, as it stands in docs/."""
    click.echo(PAGES[page].render(), nl=False)

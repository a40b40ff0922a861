"""`corkgauge version`."""

import click

from corkgauge import VERSION


@click.command("version")
def command() -> None:
    """Print the version.

    \b
    corkgauge version
    """
    print(VERSION)

"""Defines `corkgauge version`, which prints the version."""

import click

from corkgauge import VERSION


@click.command("version")
def command() -> None:
    """Print the version of the program.

    \b
    corkgauge version
    """
    print(VERSION)

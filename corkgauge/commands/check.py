"""`corkgauge check`."""

import os

import click

from corkgauge.commands import InputError
from corkgauge.config import platform as configuration


@click.command("check")
@click.option(
    "--operator", "operator_file", default="", metavar="FILE", help="Check this operator file too."
)
def command(operator_file: str) -> None:
    """Check the configuration that the environment names, and serve nothing.

    \b
    EDGE_CONFIG=config.json corkgauge check --operator deploy/operator.xml
    Ends with 2 and one line that names the key, or file, line and element, at fault.
    """
    try:
        platform_config = configuration.read(os.environ)
        from corkgauge.daemon import process as daemon

        raise SystemExit(daemon.check(platform_config, operator_file))
    except configuration.ConfigurationError as problem:
        raise InputError(str(problem)) from None

"""Defines `corkgauge check`, which checks the configuration."""

import os

import click

from corkgauge.commands import InputError
from corkgauge.config import platform as configuration


@click.command("check")
@click.option(
    "--operator", "operator_file", default="", metavar="FILE", help="Also check this operator file."
)
def command(operator_file: str) -> None:
    """Check the configuration that the environment names, without running the gateway.

    \b
    EDGE_CONFIG=config.json corkgauge check --operator deploy/operator.xml
    Exit code: 2 if the configuration is invalid; one line names the faulty key, or the file, line
    and element.
    """
    try:
        platform_config = configuration.read(os.environ)
        from corkgauge.daemon import process as daemon

        raise SystemExit(daemon.check(platform_config, operator_file))
    except configuration.ConfigurationError as problem:
        raise InputError(str(problem)) from None

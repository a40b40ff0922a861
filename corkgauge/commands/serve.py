"""Defines `corkgauge serve`, which runs the gateway."""

import os
import signal

import click

from corkgauge.commands import InputError
from corkgauge.config import platform as configuration


@click.command("serve")
@click.option(
    "--operator",
    "operator_file",
    default="",
    metavar="FILE",
    help="The XML operator file, which complements the platform's configuration.",
)
@click.option(
    "--log",
    "log_form",
    type=click.Choice(["plain", "json"]),
    default="plain",
    show_default=True,
    help="Log plain lines, or one JSON object per line.",
)
def command(operator_file: str, log_form: str) -> None:
    """Run the gateway with the configuration from the environment (EDGE_CONFIG, EDGE_LISTEN).

    \b
    EDGE_CONFIG=config.json corkgauge serve --operator deploy/operator.xml
    Exit code: 0 after SIGTERM; 2 if the gateway cannot start.
    """
    # SIGHUP announces a change of the configuration. Without this line, it would terminate the
    # program while its modules load. Ignoring SIGHUP until then loses no change, because the
    # configuration is read afterwards.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from corkgauge.daemon import process as daemon

    wakeup = daemon.catch_signals()
    try:
        raise SystemExit(
            daemon.serve(configuration.read(os.environ), wakeup, operator_file, log_form)
        )
    except configuration.ConfigurationError as problem:
        raise InputError(str(problem)) from None

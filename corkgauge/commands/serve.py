"""`corkgauge serve`."""

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
    help="What runs beside the platform's configuration (XML).",
)
@click.option(
    "--log",
    "log_form",
    type=click.Choice(["plain", "json"]),
    default="plain",
    show_default=True,
    help="A line, or a JSON object a line.",
)
def command(operator_file: str, log_form: str) -> None:
    """Serve as the environment says (EDGE_CONFIG, EDGE_LISTEN).

    \b
    EDGE_CONFIG=config.json corkgauge serve --operator deploy/operator.xml
    Ends with 0 after SIGTERM, with 2 where it cannot start.
    """
    # Danger: a change of the configuration that is told while the program loads would end it. It is
    # read after that.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from corkgauge.daemon import process as daemon

    woken = daemon.catch_signals()
    try:
        raise SystemExit(
            daemon.serve(configuration.read(os.environ), woken, operator_file, log_form)
        )
    except configuration.ConfigurationError as problem:
        raise InputError(str(problem)) from None

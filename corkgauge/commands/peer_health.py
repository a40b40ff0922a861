"""Defines `corkgauge peer-health show`, which shows the peer health reports of gateways."""

import json

import click

from corkgauge.commands import EXIT_FOUND
from corkgauge.commands.shared_options import (
    ANSWERS_HELP,
    ask_gateway,
    json_option,
    several_gateways,
)


@click.group("peer-health")
def command() -> None:
    """Inspect peer health reports, in which gateways share the state of engines and retries.

    \b
    corkgauge peer-health show /run/corkgauge/n1.sock
    """


@command.command()
@several_gateways
@json_option(ANSWERS_HELP)
def show(where: tuple[str, ...], as_json: bool) -> None:
    """Show the received reports with their senders, ages and effects.

    WHERE is the Unix socket or ADDRESS:PORT of a gateway's HTTP listener.

    \b
    corkgauge peer-health show /run/corkgauge/n1.sock /run/corkgauge/n2.sock
    Exit code: 1 if one of the gateways suspects an engine because of reports, or throttles retries.
    """
    statuses = [ask_gateway(status, "/shared") for status in where]
    if as_json:
        print(json.dumps(statuses))
    else:
        from rich.console import Console

        from corkgauge.commands.tables import plain_table

        for status in statuses:
            table = plain_table(
                f"{status['name']}: {status['findings']} reports stored, "
                f"{status['octets']} bytes sent, retry budget fraction {status['strict']}",
                "engine",
                ("suspected by", "hint", "latest reports and their ages"),
            )
            for name, engine in status["engines"].items():
                reports = "; ".join(
                    f"{report['from']} {report['fault']} {report['age']:.1f} s"
                    for report in engine["heard"][:6]
                )
                table.add_row(
                    name,
                    engine["why"],
                    f"{engine['slowness']:.1f}" if engine["slowness"] else "",
                    reports,
                )
            Console().print(table)
            print(", ".join(f"{counter} {count}" for counter, count in status["counters"].items()))
    has_effect = any(
        status["strict"] < 1 or any(engine["doubted"] for engine in status["engines"].values())
        for status in statuses
    )
    raise SystemExit(EXIT_FOUND if has_effect else 0)

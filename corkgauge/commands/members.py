"""Defines `corkgauge members`, which shows the members of the fleet."""

import json
from typing import Any

import click

from corkgauge.commands import EXIT_FOUND
from corkgauge.commands.shared_options import (
    ANSWERS_HELP,
    ask_gateway,
    json_option,
    several_gateways,
)


@click.command("members")
@several_gateways
@json_option(ANSWERS_HELP)
def command(where: tuple[str, ...], as_json: bool) -> None:
    """Show the members of the fleet and their states, as one or several gateways see them.

    WHERE is the Unix socket or ADDRESS:PORT of a gateway's HTTP listener.

    \b
    corkgauge members /run/corkgauge/n1.sock /run/corkgauge/n2.sock
    Exit code: 1 if one of the gateways sees a member that is not alive.
    """
    statuses = [ask_gateway(status, "/fellows") for status in where]
    if as_json:
        print(json.dumps(statuses))
    else:
        from rich.console import Console

        from corkgauge.commands.tables import plain_table

        names = sorted(
            {name for status in statuses for name in status["fellows"]}
            | {status["name"] for status in statuses}
        )
        table = plain_table(
            "members, as seen by", "fellow", [status["name"] for status in statuses]
        )
        for name in names:
            table.add_row(name, *(describe_member(status, name) for status in statuses))
        Console().print(table)
        for status in statuses:
            accepted = status["counters"].get("letters taken", 0)
            rejected = {
                counter.removeprefix("letters "): count
                for counter, count in status["counters"].items()
                if counter.startswith("letters ") and counter != "letters taken"
            }
            print(
                f"{status['name']}: health {status['health']} (0 is healthy), "
                f"datagrams accepted {accepted}, rejected {rejected or 0}"
            )
    states = {member["state"] for status in statuses for member in status["fellows"].values()}
    raise SystemExit(EXIT_FOUND if states - {"alive"} else 0)


def describe_member(status: dict[str, Any], name: str) -> str:
    """Return the state of a member, and for how long, according to one gateway's status.

    >>> describe_member({"name": "n1", "fellows": {"n2": {"state": "gone", "for": 12.3}}}, "n2")
    'gone 12 s'
    >>> (describe_member({"name": "n1", "fellows": {}}, "n1"),
    ...  describe_member({"name": "n1", "fellows": {}}, "n3"))
    ('itself', '-')
    """
    if status["name"] == name:
        return "itself"
    member = status["fellows"].get(name)
    if member is None:
        return "-"
    return member["state"] if member["for"] is None else f"{member['state']} {member['for']:.0f} s"

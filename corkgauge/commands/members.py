"""`corkgauge members`."""

import json
from typing import Any

import click

from corkgauge.commands import EXIT_FOUND
from corkgauge.commands.shared_options import ANSWERS, ask_gateway, json_option, several_gateways


@click.command("members")
@several_gateways
@json_option(ANSWERS)
def command(where: tuple[str, ...], as_json: bool) -> None:
    """Members of the fleet, and their states as one or several gateways see them.

    WHERE is the Unix socket or ADDRESS:PORT of a gateway's HTTP listener.

    \b
    corkgauge members /run/corkgauge/n1.sock /run/corkgauge/n2.sock
    Ends with 1 if one of them sees a member that is not alive.
    """
    said = [ask_gateway(each, "/fellows") for each in where]
    if as_json:
        print(json.dumps(said))
    else:
        from rich.console import Console

        from corkgauge.commands.tables import plain_table

        names = sorted(
            {name for each in said for name in each["fellows"]} | {each["name"] for each in said}
        )
        table = plain_table("who is seen, by", "fellow", [each["name"] for each in said])
        for name in names:
            table.add_row(name, *(seen(each, name) for each in said))
        Console().print(table)
        for each in said:
            taken = each["counters"].get("letters taken", 0)
            refused = {
                why.removeprefix("letters "): count
                for why, count in each["counters"].items()
                if why.startswith("letters ") and why != "letters taken"
            }
            print(
                f"{each['name']}: health {each['health']} (0 is well), letters taken {taken}, "
                f"not taken {refused or 0}"
            )
    states = {member["state"] for each in said for member in each["fellows"].values()}
    raise SystemExit(EXIT_FOUND if states - {"alive"} else 0)


def seen(by: dict[str, Any], name: str) -> str:
    """Return how one gateway sees another.

    >>> seen({"name": "n1", "fellows": {"n2": {"state": "gone", "for": 12.3}}}, "n2")
    'gone 12 s'
    >>> seen({"name": "n1", "fellows": {}}, "n1"), seen({"name": "n1", "fellows": {}}, "n3")
    ('itself', '-')
    """
    if by["name"] == name:
        return "itself"
    member = by["fellows"].get(name)
    if member is None:
        return "-"
    return member["state"] if member["for"] is None else f"{member['state']} {member['for']:.0f} s"

"""`corkgauge shared show`."""

import json

import click

from corkgauge.commands import FOUND
from corkgauge.commands.fellows import door


@click.group("shared")
def command() -> None:
    """What one gateway learned and the others heard: findings on engines, storms, turns passed on."""


@command.command()
@click.argument("where", nargs=-1, required=True)
@click.option(
    "--json", "as_json", is_flag=True, help="As the gateways tell it, a list, for programs."
)
def show(where: tuple[str, ...], as_json: bool) -> None:
    """What is heard, from whom, how old, and what it changed.

    WHERE is the Unix socket or ADDRESS:PORT of a gateway's figures.

    \b
    corkgauge shared show /run/corkgauge/n1.sock /run/corkgauge/n2.sock
    Ends with 1 if one of them doubts an engine by what it heard, or is stricter than its own rule.
    """
    said = [door(each, "/shared") for each in where]
    if as_json:
        print(json.dumps(said))
    else:
        from rich.console import Console

        from corkgauge.commands.tables import plain_table

        for each in said:
            table = plain_table(
                f"{each['name']}: {each['findings']} findings held, {each['octets']} octets told, "
                f"strictness {each['strict']}",
                "engine",
                ("doubted by", "hint", "heard, and how old"),
            )
            for tag, engine in each["engines"].items():
                heard = "; ".join(
                    f"{one['from']} {one['fault']} {one['age']:.1f} s"
                    for one in engine["heard"][:6]
                )
                table.add_row(
                    tag,
                    engine["why"],
                    f"{engine['slowness']:.1f}" if engine["slowness"] else "",
                    heard,
                )
            Console().print(table)
            print(", ".join(f"{name} {count}" for name, count in each["counters"].items()))
    found = any(
        each["strict"] < 1 or any(engine["doubted"] for engine in each["engines"].values())
        for each in said
    )
    raise SystemExit(FOUND if found else 0)

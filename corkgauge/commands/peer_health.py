"""`corkgauge peer-health show`."""

import json

import click

from corkgauge.commands import EXIT_FOUND
from corkgauge.commands.shared_options import ANSWERS, ask_gateway, json_option, several_gateways


@click.group("peer-health")
def command() -> None:
    """Peer health reports: what gateways tell each other about engines and retries.

    \b
    corkgauge peer-health show /run/corkgauge/n1.sock
    """


@command.command()
@several_gateways
@json_option(ANSWERS)
def show(where: tuple[str, ...], as_json: bool) -> None:
    """Reports received, from whom, how old, and what they changed.

    WHERE is the Unix socket or ADDRESS:PORT of a gateway's HTTP listener.

    \b
    corkgauge peer-health show /run/corkgauge/n1.sock /run/corkgauge/n2.sock
    Ends with 1 if one of them suspects an engine by reports, or throttles retries.
    """
    said = [ask_gateway(each, "/shared") for each in where]
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
    raise SystemExit(EXIT_FOUND if found else 0)

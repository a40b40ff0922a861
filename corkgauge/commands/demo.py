"""`corkgauge demo`."""

import json

import click

from corkgauge.commands import FOUND
from corkgauge.commands.shared_options import json_option, seed_option

SCRIPT = """
at 2 for 3: e1 error 0.6
at 6 for 2: e2 silent
"""


@click.command("demo")
@click.option(
    "--seconds",
    type=click.FloatRange(1, 600),
    default=10.0,
    show_default=True,
    help="How long to play.",
)
@click.option(
    "--rate",
    type=click.FloatRange(1, 2000),
    default=120.0,
    show_default=True,
    help="Requests a second.",
)
@seed_option
@json_option()
def command(seconds: float, rate: float, seed: int, as_json: bool) -> None:
    """Play a short day on this machine, with an engine that fails and one that falls silent.

    Starts the real program between emulators of engines, endpoint discovery and clients, all on
    loopback, and shows what is accepted, answered and where; then whether the accounts balance and
    the rules were kept.

    \b
    corkgauge demo --seconds 20
    Ends with 1 if a rule was broken or the accounts do not balance.
    """
    from rich.console import Console, Group
    from rich.live import Live
    from rich.progress import BarColumn, Progress, TextColumn
    from rich.text import Text

    from corkgauge.commands import tables
    from corkgauge.testkit.faults.script import read
    from corkgauge.testkit.fleet.day import GatewayScenario

    progress = Progress(
        TextColumn("{task.description}"), BarColumn(), TextColumn("{task.percentage:.0f}%")
    )
    bar = progress.add_task("playing", total=seconds)
    console = Console(quiet=as_json)
    with Live(progress, console=console, refresh_per_second=4, transient=True) as live:

        def seen(cut: dict) -> None:
            now = (play.event_loop.now - begun) / 10_000
            progress.update(bar, completed=min(now, seconds), description=_now(play, now))
            live.update(Group(progress, tables.request_classes(cut), tables.engines(cut)))

        play = GatewayScenario(
            seed, read(SCRIPT, ["e1", "e2", "e3", "e4"]), rate=rate, scrapes=4, seen=seen
        )
        begun = play.event_loop.now
        try:
            play.run(seconds)
            log = play.program.log()
        finally:
            play.close()
    broken, last = play.find_rule_violations(), play.snapshots[-1] if play.snapshots else None
    if as_json:
        print(
            json.dumps(
                {
                    "clients": play.tally(),
                    "broken": broken,
                    "wrong": play.snapshot_errors,
                    "figures": last,
                }
            )
        )
    elif last is None:
        console.print("\n".join(log[-5:]))
    else:
        console.print(
            tables.whole(last, Text(f"what the clients saw: {_clients(play)}"), _rules(broken))
        )
    raise SystemExit(FOUND if broken or play.snapshot_errors or last is None else 0)


def _now(play: object, now: float) -> str:
    struck = [
        f"{engine.name} {engine.trouble}" for engine in play.engines.values() if engine.trouble
    ]
    return f"{now:5.1f} s  {', '.join(struck) or 'all engines well':24}"


def _clients(play: object) -> str:
    return ", ".join(f"{count} {name}" for name, count in play.tally().items())


def _rules(broken: list[str]) -> object:
    from rich.text import Text

    from corkgauge.testkit.checkers.rules import worth_saying

    if broken:
        return Text("\n".join(worth_saying(broken)), style="bold red")
    return Text("all seven rules kept", style="green")

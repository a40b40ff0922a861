"""Defines `corkgauge demo`, which runs the gateway between emulators for a short time."""

import json

import click

from corkgauge.commands import EXIT_FOUND
from corkgauge.commands.shared_options import json_option, seed_option

FAULT_SCRIPT = """
at 2 for 3: e1 error 0.6
at 6 for 2: e2 silent
"""


@click.command("demo")
@click.option(
    "--seconds",
    type=click.FloatRange(1, 600),
    default=10.0,
    show_default=True,
    help="Duration of the demo.",
)
@click.option(
    "--rate",
    type=click.FloatRange(1, 2000),
    default=120.0,
    show_default=True,
    help="Requests per second.",
)
@seed_option
@json_option()
def command(seconds: float, rate: float, seed: int, as_json: bool) -> None:
    """Run the gateway on this machine, with an engine that returns errors and one that stalls.

    Starts the real program between emulators of engines, endpoint discovery and clients, all on
    loopback, and shows the requests and the attempts on each engine. At the end, checks that the
    accounts balance and that no rule was broken.

    \b
    corkgauge demo --seconds 20
    Exit code: 1 if a rule was broken or the accounts do not balance.
    """
    from rich.console import Console, Group
    from rich.live import Live
    from rich.progress import BarColumn, Progress, TextColumn
    from rich.text import Text

    from corkgauge.commands import tables
    from corkgauge.testkit.faults.script import parse_script
    from corkgauge.testkit.fleet.day import GatewayScenario

    progress = Progress(
        TextColumn("{task.description}"), BarColumn(), TextColumn("{task.percentage:.0f}%")
    )
    bar = progress.add_task("playing", total=seconds)
    console = Console(quiet=as_json)
    with Live(progress, console=console, refresh_per_second=4, transient=True) as live:

        def on_scrape(snapshot: dict) -> None:
            now_seconds = (day.event_loop.now - start_ticks) / 10_000
            progress.update(
                bar,
                completed=min(now_seconds, seconds),
                description=_describe_faults(day, now_seconds),
            )
            live.update(
                Group(progress, tables.request_class_table(snapshot), tables.engine_table(snapshot))
            )

        day = GatewayScenario(
            seed,
            parse_script(FAULT_SCRIPT, ["e1", "e2", "e3", "e4"]),
            rate=rate,
            scrapes=4,
            seen=on_scrape,
        )
        start_ticks = day.event_loop.now
        try:
            day.run(seconds)
            log = day.program.log()
        finally:
            day.close()
    broken_rules, last_snapshot = (
        day.find_rule_violations(),
        day.snapshots[-1] if day.snapshots else None,
    )
    if as_json:
        print(
            json.dumps(
                {
                    "clients": day.tally(),
                    "broken": broken_rules,
                    "wrong": day.snapshot_errors,
                    "figures": last_snapshot,
                }
            )
        )
    elif last_snapshot is None:
        console.print("\n".join(log[-5:]))
    else:
        console.print(
            tables.snapshot_tables(
                last_snapshot,
                Text(f"results at the clients: {_describe_results(day)}"),
                _describe_rules(broken_rules),
            )
        )
    raise SystemExit(
        EXIT_FOUND if broken_rules or day.snapshot_errors or last_snapshot is None else 0
    )


def _describe_faults(day: object, now_seconds: float) -> str:
    faults = [f"{engine.name} {engine.fault}" for engine in day.engines.values() if engine.fault]
    return f"{now_seconds:5.1f} s  {', '.join(faults) or 'no engine faults':24}"


def _describe_results(day: object) -> str:
    return ", ".join(f"{count} {name}" for name, count in day.tally().items())


def _describe_rules(broken_rules: list[str]) -> object:
    from rich.text import Text

    from corkgauge.testkit.checkers.rules import summarize_violations

    if broken_rules:
        return Text("\n".join(summarize_violations(broken_rules)), style="bold red")
    return Text("no rule was broken (7 rules checked)", style="green")

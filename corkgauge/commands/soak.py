"""Defines `corkgauge soak`, which tests the gateway under faults for a long time."""

import json
import resource
from pathlib import Path

import click

from corkgauge.commands import EXIT_FOUND, InputError
from corkgauge.commands.shared_options import json_option, seed_option

ROUND_SECONDS = 30  # a fault script repeats at this interval
FAULT_SCRIPT = """
at 2 for 2: e1 silent
at 3 for 3: e2 slow 6
at 5 for 1: e3 error 0.5
at 7 for 2: e4 restart
at 9 for 2: e1 garble 0.1
at 10 for 1: e2 twice 0.5
at 11: program reload
at 12 for 1: e1 midway 0.3
at 13 for 2: list drain e3
at 16: program kill
at 18 for 1: e2 lost 0.3
at 19 for 2: e4 full 0.7
at 21: e1 reset
at 22 for 1: e2 refuse
at 24: program restart
at 26 for 2: all slow 2
"""
MAX_MEMORY_GROWTH_BYTES = 4 * 2**20  # allowed from the first third of an epoch to its last


def repeat_fault_script(text: str, seconds: float, engines: list[str]) -> list:
    """Return the faults of a script, repeated every `ROUND_SECONDS` for `seconds` seconds."""
    from corkgauge.eventloop.loop import SECOND
    from corkgauge.testkit.faults.script import FaultEvent, parse_script

    scenes = parse_script(text, engines)
    return [
        FaultEvent(
            scene.at_ticks + round_number * ROUND_SECONDS * SECOND,
            scene.span_ticks,
            scene.target,
            scene.fault,
            scene.level,
            scene.engine,
        )
        for round_number in range(int(seconds // ROUND_SECONDS) + 1)
        for scene in scenes
        if scene.at_ticks + round_number * ROUND_SECONDS * SECOND < seconds * SECOND
    ]


@click.command("soak")
@click.option("--seconds", type=click.FloatRange(1, 86_400), default=120.0, show_default=True)
@click.option(
    "--rate",
    type=click.FloatRange(1, 2000),
    default=150.0,
    show_default=True,
    help="Requests per second.",
)
@click.option(
    "--scrapes",
    type=click.FloatRange(0, 50),
    default=10.0,
    show_default=True,
    help="Snapshots read per second; each must balance.",
)
@seed_option
@click.option(
    "--script",
    type=click.Path(exists=True, dir_okay=False),
    help="Fault script to run instead of the built-in one; it repeats every 30 seconds.",
)
@json_option()
def command(
    seconds: float, rate: float, scrapes: float, seed: int, script: str | None, as_json: bool
) -> None:
    """Inject faults on loopback for a long time, and check every snapshot and every rule.

    Engines stall, slow down, restart and corrupt answers. The program is killed, restarted, and
    signalled to reload its files. The lines of a fault script have the form
    `at SECOND [for SECONDS]: WHO TROUBLE [FIGURE]`.

    \b
    corkgauge soak --seconds 600 --rate 300
    Exit code: 1 if a snapshot does not balance, a rule is broken, the program logs an exception, or
    its memory grows by more than 4 MiB.
    """
    from corkgauge.testkit.checkers import rules
    from corkgauge.testkit.faults.script import ScriptError
    from corkgauge.testkit.fleet.day import GatewayScenario

    engines = [f"e{n}" for n in range(1, 5)]
    try:
        scenes = repeat_fault_script(
            Path(script).read_text() if script else FAULT_SCRIPT, seconds, engines
        )
    except ScriptError as problem:
        raise InputError(f"{script}: {problem}") from None

    def on_scrape(snapshot: dict) -> None:
        if not as_json and day.scrape_count % 100 == 0:
            taken = sum(row["taken"] for row in snapshot["offerings"].values())
            click.echo(
                f"{(day.event_loop.now - start_ticks) / 10_000:7.1f} s  "
                f"epoch {snapshot['epoch']['id']}  "
                f"taken {taken:8}  snapshots {day.scrape_count}, errors {len(day.snapshot_errors)}",
                err=True,
            )

    day = GatewayScenario(seed, scenes, rate=rate, scrapes=scrapes, seen=on_scrape)
    start_ticks = day.event_loop.now
    try:
        day.run(seconds)
        log, closed_epochs = day.program.log(), _count_closed_epochs(day)
    finally:
        day.close()
    broken_rules, grown_bytes = day.find_rule_violations(), measure_memory_growth(day.memory)
    result = {
        "clients": day.tally(),
        "scrapes": day.scrape_count,
        "missed": day.scraper.missed if scrapes else 0,
        "wrong": day.snapshot_errors[:20],
        "broken": rules.summarize_violations(broken_rules),
        "epochs_closed": closed_epochs,
        "memory_growth": grown_bytes,
        "memory": day.memory[-1] if day.memory else 0,
        "exceptions": sum("exceptions stopped" in line for line in log),
        "processor_seconds": resource.getrusage(resource.RUSAGE_CHILDREN).ru_utime,
    }
    if as_json:
        print(json.dumps(result))
    else:
        for name, value in result.items():
            click.echo(f"{name:18} {value}")
    raise SystemExit(
        EXIT_FOUND
        if day.snapshot_errors
        or broken_rules
        or grown_bytes > MAX_MEMORY_GROWTH_BYTES
        or result["exceptions"]
        else 0
    )


def _count_closed_epochs(day: object) -> int:
    """Return how many epochs the program closed at a later start, according to its log."""
    return sum("figures: epoch" in line and "closed" in line for line in day.program.log())


def measure_memory_growth(memory: list[int]) -> int:
    """Return the growth in bytes from the first to the last third of the last epoch.

    Compares the medians of both thirds; returns 0 if a third has fewer than 10 samples. A drop by
    more than a tenth between two samples marks a restart of the program.
    """
    starts = [index for index in range(1, len(memory)) if memory[index] < 0.9 * memory[index - 1]]
    samples = memory[starts[-1] if starts else 0 :]
    third = len(samples) // 3
    if third < 10:
        return 0
    return sorted(samples[-third:])[third // 2] - sorted(samples[:third])[third // 2]

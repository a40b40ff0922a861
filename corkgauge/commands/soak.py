"""`corkgauge soak`."""

import json
import resource
from pathlib import Path

import click

from corkgauge.commands import FOUND, InputError
from corkgauge.commands.shared_options import json_option, seed_option

# What befalls the engines, again and again: a round of it lasts so many seconds.
ROUND = 30
SCRIPT = """
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
GROWTH = (
    4 * 2**20
)  # bytes that a flat program may gain from the first third of an epoch to its last


def scenes_of(text: str, seconds: float, engines: list[str]) -> list:
    """A script's scenes, again each round."""
    from corkgauge.eventloop.loop import SECOND
    from corkgauge.testkit.faults.script import Scene, read

    once = read(text, engines)
    return [
        Scene(
            scene.at + n * ROUND * SECOND,
            scene.span,
            scene.who,
            scene.trouble,
            scene.figure,
            scene.whom,
        )
        for n in range(int(seconds // ROUND) + 1)
        for scene in once
        if scene.at + n * ROUND * SECOND < seconds * SECOND
    ]


@click.command("soak")
@click.option("--seconds", type=click.FloatRange(1, 86_400), default=120.0, show_default=True)
@click.option(
    "--rate",
    type=click.FloatRange(1, 2000),
    default=150.0,
    show_default=True,
    help="Submissions a second.",
)
@click.option(
    "--scrapes",
    type=click.FloatRange(0, 50),
    default=10.0,
    show_default=True,
    help="Scrapes a second; each must balance.",
)
@seed_option
@click.option(
    "--script",
    type=click.Path(exists=True, dir_okay=False),
    help="Troubles to play in place of the usual round.",
)
@json_option()
def command(
    seconds: float, rate: float, scrapes: float, seed: int, script: str | None, as_json: bool
) -> None:
    """Play a long day of faults on loopback, and check every scrape and every rule.

    The engines fall silent, slow down, restart, corrupt answers; the program is killed, restarted
    and told to read its files again. A script's lines are
    `at SECOND [for SECONDS]: WHO TROUBLE [FIGURE]`.

    \b
    corkgauge soak --seconds 600 --rate 300
    Ends with 1 if a scrape does not balance, a rule breaks, or memory grows.
    """
    from corkgauge.testkit.checkers import rules
    from corkgauge.testkit.faults.script import Unplayable
    from corkgauge.testkit.fleet.day import GatewayScenario

    engines = [f"e{n}" for n in range(1, 5)]
    try:
        scenes = scenes_of(Path(script).read_text() if script else SCRIPT, seconds, engines)
    except Unplayable as problem:
        raise InputError(f"{script}: {problem}") from None

    def seen(cut: dict) -> None:
        if not as_json and play.scrape_count % 100 == 0:
            taken = sum(row["taken"] for row in cut["offerings"].values())
            click.echo(
                f"{(play.event_loop.now - begun) / 10_000:7.1f} s  epoch {cut['epoch']['id']}  "
                f"taken {taken:8}  scrapes {play.scrape_count}, wrong {len(play.snapshot_errors)}",
                err=True,
            )

    play = GatewayScenario(seed, scenes, rate=rate, scrapes=scrapes, seen=seen)
    begun = play.event_loop.now
    try:
        play.run(seconds)
        log, epochs = play.program.log(), _epochs(play)
    finally:
        play.close()
    broken, grown = play.find_rule_violations(), growth(play.memory)
    said = {
        "clients": play.tally(),
        "scrapes": play.scrape_count,
        "missed": play.scraper.missed if scrapes else 0,
        "wrong": play.snapshot_errors[:20],
        "broken": rules.worth_saying(broken),
        "epochs_closed": epochs,
        "memory_growth": grown,
        "memory": play.memory[-1] if play.memory else 0,
        "exceptions": sum("exceptions stopped" in line for line in log),
        "processor_seconds": resource.getrusage(resource.RUSAGE_CHILDREN).ru_utime,
    }
    if as_json:
        print(json.dumps(said))
    else:
        for name, value in said.items():
            click.echo(f"{name:18} {value}")
    raise SystemExit(
        FOUND if play.snapshot_errors or broken or grown > GROWTH or said["exceptions"] else 0
    )


def _epochs(play: object) -> int:
    """Epochs that a later start closed, as the program logged them."""
    return sum("figures: epoch" in line and "closed" in line for line in play.program.log())


def growth(memory: list[int]) -> int:
    """Bytes by which the last epoch's last third lies above its first one, by their medians.

    A start anew shows as a fall by a tenth.
    """
    begins = [n for n in range(1, len(memory)) if memory[n] < 0.9 * memory[n - 1]]
    last = memory[begins[-1] if begins else 0 :]
    third = len(last) // 3
    if third < 10:
        return 0
    return sorted(last[-third:])[third // 2] - sorted(last[:third])[third // 2]

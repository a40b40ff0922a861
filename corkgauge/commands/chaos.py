"""Defines `corkgauge chaos run | draw`, which tests leases under injected faults."""

import json
from pathlib import Path

import click

from corkgauge.commands import EXIT_FOUND, InputError
from corkgauge.commands.shared_options import json_option, seed_option


@click.group("chaos")
def command() -> None:
    """Inject faults into several gateways on this machine, while a checker verifies the leases.

    \b
    corkgauge chaos run --gateways 5 --seconds 60 --gap 0.5
    """


@command.command()
@seed_option
@click.option("--gateways", type=click.IntRange(2, 12), default=3, show_default=True)
@click.option("--seconds", type=click.FloatRange(3, 36_000), default=30.0, show_default=True)
@click.option(
    "--gap",
    type=click.FloatRange(0.1, 600),
    default=1.0,
    show_default=True,
    help="Mean seconds between two faults.",
)
@click.option(
    "--longest",
    type=click.FloatRange(0.2, 600),
    default=3.0,
    show_default=True,
    help="Longest duration of a fault, in seconds.",
)
def draw(seed: int, gateways: int, seconds: float, gap: float, longest: float) -> None:
    """Print a random fault script for `chaos run`.

    \b
    corkgauge chaos draw --seconds 60 --gap 0.5 > day.txt
    """
    from corkgauge.testkit.fleet.processes import draw_random_faults

    for fault in draw_random_faults(
        seed, [f"n{n}" for n in range(1, gateways + 1)], seconds, gap, longest
    ):
        print(fault.line())


@command.command()
@click.argument("script", required=False, type=click.Path(exists=True, dir_okay=False))
@click.option("--gateways", type=click.IntRange(2, 12), default=3, show_default=True)
@click.option("--seconds", type=click.FloatRange(3, 36_000), default=30.0, show_default=True)
@click.option(
    "--lease",
    type=click.FloatRange(0.4, 600),
    default=1.0,
    show_default=True,
    help="Lease duration in seconds.",
)
@click.option(
    "--gap",
    type=click.FloatRange(0.1, 600),
    default=1.0,
    show_default=True,
    help="Mean seconds between two faults, if no script is given.",
)
@click.option("--clients", type=click.IntRange(0, 50), default=0, show_default=True)
@click.option("--disk/--no-disk", default=False, help="Voters keep their records on disk.")
@seed_option
@click.option(
    "--without",
    type=click.Choice(["none", "check", "silence", "margin", "busy", "fence"]),
    default="none",
    help="Disable a safeguard; the checker should then report errors.",
)
@click.option(
    "--rates",
    default="",
    metavar="R,R,...",
    help="Clock rates of the gateways, such as 1.02,0.98.",
)
@click.option(
    "--drift",
    type=click.FloatRange(0, 0.2),
    default=0.01,
    show_default=True,
    help="Relative clock drift that the gateways assume.",
)
@json_option()
def run(
    script: str | None,
    gateways: int,
    seconds: float,
    lease: float,
    gap: float,
    clients: int,
    disk: bool,
    seed: int,
    without: str,
    rates: str,
    drift: float,
    as_json: bool,
) -> None:
    """Run a fault script, or random faults, and check that no lease ever had two holders at once.

    Starts each gateway as a separate process, connects the gateways through relays, and checks
    their leases from outside. All traffic stays on loopback.

    \b
    corkgauge chaos run --gateways 5 --seconds 60 --gap 0.5
    Exit code: 1 if the checker found an error, or a rule was broken for a client.
    """
    from corkgauge.testkit.fleet.processes import (
        FaultScriptError,
        Fleet,
        draw_random_faults,
        parse_fault_script,
    )

    names = [f"n{n}" for n in range(1, gateways + 1)]
    try:
        faults = (
            parse_fault_script(Path(script).read_text(), names, ["e1", "e2"])
            if script
            else draw_random_faults(seed, names, seconds, gap, 3 * lease)
        )
        clock_rates = tuple(float(rate) for rate in rates.split(",")) if rates else ()
    except (FaultScriptError, ValueError) as problem:
        raise InputError(f"{script or '--rates'}: {problem}") from None
    fleet = Fleet(
        seed,
        gateways,
        lease=lease,
        faults=faults,
        clients=clients,
        disk=disk,
        drift=drift,
        off="none" if without == "fence" else without,
        rates=clock_rates,
        guarded=without != "fence",
    )
    try:
        fleet.run(seconds)
        result = summarize_run(fleet)
    finally:
        fleet.close()
    if as_json:
        print(json.dumps(result))
    else:
        for name, value in result.items():
            if name != "wrong":
                click.echo(f"{name:18} {value}")
        for line in result["wrong"][:10]:
            click.echo(f"lease checker: {line}")
    raise SystemExit(EXIT_FOUND if result["wrong"] or result["rules"] else 0)


def summarize_run(fleet: object) -> dict:
    """Return the results of a run; `without_holder` is the median and maximum time in seconds."""
    changes = fleet.find_holder_changes()
    vacant_seconds = sorted(span / 10_000 for _, span, *_ in changes)
    return {
        "faults": fleet.applied_fault_count,
        "acts": len(fleet.lease_checker.acts),
        "acts_refused": sum(not act.admitted for act in fleet.lease_checker.acts),
        "hand_overs": len(changes),
        "without_holder": [vacant_seconds[len(vacant_seconds) // 2], vacant_seconds[-1]]
        if vacant_seconds
        else [],
        "exceptions": sum("exceptions stopped" in line for line in fleet.logs()),
        "rules": fleet.find_rule_violations(2_500)[:10] if fleet.clients else [],
        "wrong": fleet.find_lease_violations(),
    }

"""`corkgauge maintenance ask | show | cancel | done | hold | overrule | known`."""

import json
import os
import re
import time
from typing import Any

import click

from corkgauge.commands import EXIT_FOUND, InputError
from corkgauge.commands.shared_options import ask_gateway, json_option, one_gateway

SPANS = {"": 1.0, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86_400.0}
PAUSE = 0.1  # seconds between two looks whether a command was answered
PATIENCE = 35.0  # seconds that an answer may take: a gateway gives a command up after 30


def span_of(text: str) -> int:
    """Tenths of a millisecond.

    >>> span_of("90"), span_of("10m"), span_of("2h")
    (900000, 6000000, 72000000)
    >>> span_of("soon")
    Traceback (most recent call last):
    click.exceptions.BadParameter: expected a span as 90, 10m or 2h, found 'soon'
    """
    found = re.fullmatch(r"(\d+(?:\.\d+)?)([smhd]?)", text)
    if found is None:
        raise click.BadParameter(f"expected a span as 90, 10m or 2h, found {text!r}")
    return int(float(found[1]) * SPANS[found[2]] * 10_000)


def send_command(where: str, said: dict[str, Any]) -> str:
    """Send an operator's command until the plan's proposer has answered it; its answer."""
    key = f"{os.uname().nodename}-{os.getpid()}-{time.time_ns():x}"
    until = time.monotonic() + PATIENCE
    while time.monotonic() < until:
        told = ask_gateway(where, "/works", {**said, "key": key})
        if told["wrong"]:
            print(f"corkgauge: {told['wrong']}")
            raise SystemExit(EXIT_FOUND)
        if told["answer"] is not None:
            return told["answer"]
        time.sleep(PAUSE)
    raise InputError(f"{where}: no answer; {told['holder'] or 'nobody'} is known to plan")


def owner_option(method: Any) -> Any:
    return click.option(
        "--owner", required=True, help="Who requests it; it is logged, and kept with the plan."
    )(method)


@click.group("maintenance")
def command() -> None:
    """Maintenance: engines and gateways taken out, never more at once than the limits allow.

    \b
    corkgauge maintenance show /run/corkgauge/figures.sock
    """


@command.command()
@one_gateway
@click.argument("kind", type=click.Choice(["engine", "machine", "hall", "gateway"]))
@click.argument("names", nargs=-1, required=True)
@owner_option
@click.option("--reason", default="", help="What for.")
@click.option(
    "--within", default="0", help="By when it should be over, as 2h; what is due goes first."
)
@click.option(
    "--lasting", default="10m", show_default=True, help="How long the work on one of them takes."
)
@click.option("--id", "id_", default="", help="Of the request; the same id twice is one request.")
def ask(
    where: str,
    kind: str,
    names: tuple[str, ...],
    owner: str,
    reason: str,
    within: str,
    lasting: str,
    id_: str,
) -> None:
    """Request that engines, machines, zones (hall) or gateways be taken out.

    WHERE is the Unix socket or ADDRESS:PORT of any gateway's HTTP listener. What the limits never
    allow is refused at once, with 1 and the reason. `maintenance show` tells when each is out:
    before that, leave it alone.

    \b
    corkgauge maintenance ask n1.sock engine e7 e9 --owner ada --reason disk --within 2h
    corkgauge maintenance ask n1.sock hall hall-a --owner ada --lasting 30m
    """
    id_ = id_ or f"{owner[:16]}-{time.time_ns() // 1_000_000:x}"
    answer = send_command(
        where,
        {
            "do": "ask",
            "id": id_,
            "kind": kind,
            "names": [*names],
            "owner": owner,
            "reason": reason,
            "within": span_of(within),
            "lasting": span_of(lasting),
        },
    )
    print(f"{id_}: {answer}")


@command.command()
@one_gateway
@click.argument("id_", metavar="ID")
@owner_option
def cancel(where: str, id_: str, owner: str) -> None:
    """Cancel a request. What is out already stays out until `done`: somebody may be at work there.

    \b
    corkgauge maintenance cancel /run/corkgauge/figures.sock ada-19f2 --owner ada
    """
    print(send_command(where, {"do": "cancel", "id": id_, "owner": owner}))


@command.command()
@one_gateway
@click.argument("names", nargs=-1, required=True)
@owner_option
def done(where: str, names: tuple[str, ...], owner: str) -> None:
    """Work on these units, or on all of a request that are out, is over: take them back.

    \b
    corkgauge maintenance done /run/corkgauge/figures.sock e7 --owner ada
    """
    print(send_command(where, {"do": "done", "names": [*names], "owner": owner}))


@command.command()
@one_gateway
@owner_option
@click.option("--off", is_flag=True, help="Go on.")
def hold(where: str, owner: str, off: bool) -> None:
    """Grant nothing new, until `hold --off`. What is under way goes on.

    \b
    corkgauge maintenance hold /run/corkgauge/figures.sock --owner ada
    """
    print(send_command(where, {"do": "hold", "on": not off, "owner": owner}))


@command.command()
@one_gateway
@click.argument("unit")
@click.argument("gateway")
@owner_option
def overrule(where: str, unit: str, gateway: str, owner: str) -> None:
    """Begin although a gateway has not confirmed. Only where you know that it sends nothing there.

    \b
    corkgauge maintenance overrule /run/corkgauge/figures.sock e7 n4 --owner ada
    """
    print(send_command(where, {"do": "overrule", "unit": unit, "gateway": gateway, "owner": owner}))


@command.command()
@one_gateway
@click.argument("out", nargs=-1)
@owner_option
def known(where: str, out: tuple[str, ...], owner: str) -> None:
    """State what is out, before the first use or after all was forgotten; no names: nothing is.

    \b
    corkgauge maintenance known /run/corkgauge/figures.sock --owner ada
    corkgauge maintenance known /run/corkgauge/figures.sock e7 e9 --owner ada
    """
    print(send_command(where, {"do": "known", "out": [*out], "owner": owner}))


@command.command()
@one_gateway
@json_option("The gateway's answer as it is, for programs, and for `audit`.")
@click.option(
    "--watch",
    type=click.FloatRange(0.2, 3600),
    help="Again each so many seconds, until nothing is open.",
)
def show(where: str, as_json: bool, watch: float | None) -> None:
    """Requests, the state of each unit, and what it waits for.

    \b
    corkgauge maintenance show /run/corkgauge/figures.sock --watch 2
    Ends with 1 if a unit is late, nobody plans, or what is out is not known.
    """
    while True:
        said = latest(where)
        if as_json:
            print(json.dumps(said))
        else:
            from rich.console import Console

            Console().print(*tables(said))
        if not watch or not said["units"]:
            break
        time.sleep(watch)
    late = any(unit["state"] == "late" for unit in said["units"])
    raise SystemExit(
        EXIT_FOUND if late or not said["holder"] or said["forgotten"] or not said["known"] else 0
    )


def latest(where: str, patience: float = 3.0) -> dict[str, Any]:
    """The plan as it is agreed; a gateway that does not plan has to fetch it first."""
    until = time.monotonic() + patience
    while True:
        said = ask_gateway(where, "/works")
        if said["fresh"] or time.monotonic() >= until:
            return said
        time.sleep(PAUSE)


def tables(said: dict[str, Any]) -> list[Any]:
    """For people."""
    from corkgauge.commands.tables import plain_table

    who = f"{said['holder']} plans" if said["holder"] else "nobody plans"
    notes = [who, f"works time {said['time']:.0f} s"]
    notes += [f"HELD by {said['held']}"] if said["held"] else []
    notes += (
        ["what is out is NOT KNOWN: corkgauge works known"]
        if said["forgotten"] or not said["known"]
        else []
    )
    notes += [] if said["fresh"] else ["a copy, perhaps not the last"]
    asks = plain_table("; ".join(notes), "ask", ("what", "owner", "reason", "units", "cancelled"))
    for each in said["asks"]:
        asks.add_row(
            each["id"],
            f"{each['kind']} {' '.join(each['names'][:4])}",
            each["owner"],
            each["reason"],
            str(each["count"]),
            each["cancelled"],
        )
    units = plain_table("", "unit", ("of", "state", "for s", "waits for"))
    for each in said["units"]:
        state = each["state"].upper() if each["state"] == "late" else each["state"]
        units.add_row(
            each["unit"], each["ask"], state, f"{each['for']:.0f}", each["against"] or each["why"]
        )
    return [asks, units] if said["units"] else [asks]

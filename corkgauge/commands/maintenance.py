"""Defines `corkgauge maintenance ask | show | cancel | done | hold | overrule | known`."""

import json
import os
import re
import time
from typing import Any

import click

from corkgauge.commands import EXIT_FOUND, InputError
from corkgauge.commands.shared_options import ask_gateway, json_option, one_gateway

UNIT_SECONDS = {"": 1.0, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86_400.0}
POLL_INTERVAL_SECONDS = 0.1
COMMAND_TIMEOUT_SECONDS = 35.0  # a gateway drops an unanswered command after 30 s


def parse_duration(text: str) -> int:
    """Return a duration in ticks.

    >>> parse_duration("90"), parse_duration("10m"), parse_duration("2h")
    (900000, 6000000, 72000000)
    >>> parse_duration("soon")
    Traceback (most recent call last):
    click.exceptions.BadParameter: expected a duration such as 90, 10m or 2h, found 'soon'
    """
    match = re.fullmatch(r"(\d+(?:\.\d+)?)([smhd]?)", text)
    if match is None:
        raise click.BadParameter(f"expected a duration such as 90, 10m or 2h, found {text!r}")
    return int(float(match[1]) * UNIT_SECONDS[match[2]] * 10_000)


def send_command(where: str, request: dict[str, Any]) -> str:
    """Send an operator's command to a gateway, poll for the leader's answer, and return the answer.

    Prints the reason and exits with 1 if the leader rejects the command. Raises `InputError` if
    there is no answer in time.
    """
    key = f"{os.uname().nodename}-{os.getpid()}-{time.time_ns():x}"
    deadline = time.monotonic() + COMMAND_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        reply = ask_gateway(where, "/works", {**request, "key": key})
        if reply["wrong"]:
            print(f"corkgauge: {reply['wrong']}")
            raise SystemExit(EXIT_FOUND)
        if reply["answer"] is not None:
            return reply["answer"]
        time.sleep(POLL_INTERVAL_SECONDS)
    raise InputError(
        f"{where}: no answer in time from the maintenance leader (known leader: "
        f"{reply['holder'] or 'nobody'}); check `corkgauge maintenance show` before a retry"
    )


def owner_option(method: Any) -> Any:
    """Add the required option `--owner` to a command."""
    return click.option(
        "--owner", required=True, help="Name of the operator; it is logged and stored in the plan."
    )(method)


@click.group("maintenance")
def command() -> None:
    """Take engines and gateways out of service, never more at once than the limits allow.

    \b
    corkgauge maintenance show /run/corkgauge/figures.sock
    """


@command.command()
@one_gateway
@click.argument("kind", type=click.Choice(["engine", "machine", "hall", "gateway"]))
@click.argument("names", nargs=-1, required=True)
@owner_option
@click.option("--reason", default="", help="Purpose of the work.")
@click.option(
    "--within",
    default="0",
    help="Time until all work is due, such as 2h; 0 for none. Due work takes precedence.",
)
@click.option(
    "--lasting", default="10m", show_default=True, help="Duration of the work on each unit."
)
@click.option("--id", "id_", default="", help="Id of the request; a repetition has no effect.")
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
    """Request to take engines, machines, zones (hall) or gateways out of service.

    WHERE is the Unix socket or ADDRESS:PORT of any gateway's HTTP listener. A request that the
    limits never allow is rejected at once with its reason and exit code 1. `maintenance show`
    displays the state of each unit; do not start work on a unit before its state is `out`.

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
            "within": parse_duration(within),
            "lasting": parse_duration(lasting),
        },
    )
    print(f"{id_}: {answer}")


@command.command()
@one_gateway
@click.argument("id_", metavar="ID")
@owner_option
def cancel(where: str, id_: str, owner: str) -> None:
    """Cancel a request.

    Units that are already out stay out until `done`, because somebody may be working on them.

    \b
    corkgauge maintenance cancel /run/corkgauge/figures.sock ada-19f2 --owner ada
    """
    print(send_command(where, {"do": "cancel", "id": id_, "owner": owner}))


@command.command()
@one_gateway
@click.argument("names", nargs=-1, required=True)
@owner_option
def done(where: str, names: tuple[str, ...], owner: str) -> None:
    """Finish the work on units and return them to service.

    NAMES are units, or ids of requests for all their units that are out.

    \b
    corkgauge maintenance done /run/corkgauge/figures.sock e7 --owner ada
    """
    print(send_command(where, {"do": "done", "names": [*names], "owner": owner}))


@command.command()
@one_gateway
@owner_option
@click.option("--off", is_flag=True, help="Resume granting.")
def hold(where: str, owner: str, off: bool) -> None:
    """Stop granting requests until `hold --off`. Units that are already granted continue.

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
    """Begin the work on a unit without the confirmation of one gateway.

    Use this only if you are certain that GATEWAY sends nothing to UNIT.

    \b
    corkgauge maintenance overrule /run/corkgauge/figures.sock e7 n4 --owner ada
    """
    print(send_command(where, {"do": "overrule", "unit": unit, "gateway": gateway, "owner": owner}))


@command.command()
@one_gateway
@click.argument("out", nargs=-1)
@owner_option
def known(where: str, out: tuple[str, ...], owner: str) -> None:
    """State which units are out, before the first use or after the plan was lost.

    Without names, no unit is out.

    \b
    corkgauge maintenance known /run/corkgauge/figures.sock --owner ada
    corkgauge maintenance known /run/corkgauge/figures.sock e7 e9 --owner ada
    """
    print(send_command(where, {"do": "known", "out": [*out], "owner": owner}))


@command.command()
@one_gateway
@json_option("Print the unchanged answer of the gateway as JSON, for programs and `audit`.")
@click.option(
    "--watch",
    type=click.FloatRange(0.2, 3600),
    help="Repeat at this interval in seconds until no unit is listed.",
)
def show(where: str, as_json: bool, watch: float | None) -> None:
    """Show the requests, the state of each unit, and what the unit waits for.

    \b
    corkgauge maintenance show /run/corkgauge/figures.sock --watch 2
    Exit code: 1 if a unit is late, no leader is known, or it is not known which units are out.
    """
    while True:
        status = fetch_status(where)
        if as_json:
            print(json.dumps(status))
        else:
            from rich.console import Console

            Console().print(*status_tables(status))
        if not watch or not status["units"]:
            break
        time.sleep(watch)
    is_late = any(unit["state"] == "late" for unit in status["units"])
    raise SystemExit(
        EXIT_FOUND
        if is_late or not status["holder"] or status["forgotten"] or not status["known"]
        else 0
    )


def fetch_status(where: str, timeout_seconds: float = 3.0) -> dict[str, Any]:
    """Return the maintenance status, if possible with the latest plan that a majority accepted.

    A gateway that is not the leader first has to fetch the plan. After the timeout, returns the
    status with the gateway's older copy of the plan.
    """
    deadline = time.monotonic() + timeout_seconds
    while True:
        status = ask_gateway(where, "/works")
        if status["fresh"] or time.monotonic() >= deadline:
            return status
        time.sleep(POLL_INTERVAL_SECONDS)


def status_tables(status: dict[str, Any]) -> list[Any]:
    """Return the tables of requests and units for the terminal."""
    from corkgauge.commands.tables import plain_table

    leader = f"leader {status['holder']}" if status["holder"] else "no known leader"
    notes = [leader, f"maintenance time {status['time']:.0f} s"]
    notes += [f"grants HELD by {status['held']}"] if status["held"] else []
    notes += (
        ["NOT KNOWN which units are out: run corkgauge maintenance known"]
        if status["forgotten"] or not status["known"]
        else []
    )
    notes += [] if status["fresh"] else ["this copy of the plan may be outdated"]
    requests = plain_table(
        "; ".join(notes), "ask", ("what", "owner", "reason", "units", "cancelled")
    )
    for request in status["asks"]:
        requests.add_row(
            request["id"],
            f"{request['kind']} {' '.join(request['names'][:4])}",
            request["owner"],
            request["reason"],
            str(request["count"]),
            request["cancelled"],
        )
    units = plain_table("", "unit", ("of", "state", "for s", "waits for"))
    for unit in status["units"]:
        state = unit["state"].upper() if unit["state"] == "late" else unit["state"]
        units.add_row(
            unit["unit"], unit["ask"], state, f"{unit['for']:.0f}", unit["against"] or unit["why"]
        )
    return [requests, units] if status["units"] else [requests]

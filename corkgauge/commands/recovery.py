"""`corkgauge recovery`: show, check, prune."""

import json
import os
import time
from typing import Any

import click

from corkgauge.commands import EXIT_FOUND, InputError
from corkgauge.commands.shared_options import json_option


@click.group("recovery")
def command() -> None:
    """What a gateway keeps over a restart: snapshots, and the log of attempts that may have run.

    \b
    corkgauge recovery show /var/lib/corkgauge
    """


def gateways_of(folder: str) -> list[str]:
    """The gateways that have files there."""
    try:
        names = sorted(os.listdir(folder))
    except OSError as problem:
        raise InputError(f"{folder}: {problem.strerror}") from None
    return sorted(
        {
            name.split(".recall")[0].split(".effects.")[0]
            for name in names
            if ".recall" in name or ".effects." in name
        }
    )


def snapshots(folder: str, gateway: str) -> list[tuple[str, Any, str]]:
    """Path, body and what is wrong with it, the newest first."""
    from corkgauge.recovery import snapshot

    found = []
    for end in ("", *(f".{n}" for n in range(1, 20))):
        path = os.path.join(folder, f"{gateway}.recall{end}")
        if os.path.exists(path):
            with open(path, "rb") as file:
                data = file.read(snapshot.MAX_SNAPSHOT_BYTES + 1)
            try:
                found.append((path, snapshot.decode(data), ""))
            except snapshot.UnusableSnapshotError as problem:
                found.append((path, None, str(problem)))
    return found


def logged(folder: str, gateway: str) -> tuple[Any, list[str]]:
    """The state that a log makes, and what is wrong with it."""
    from corkgauge.recovery.attempt_log import AttemptLog
    from corkgauge.recovery.attempt_records import read_records
    from corkgauge.recovery.log_writer import list_segments

    state, wrong = AttemptLog(), []
    for _, path in list_segments(folder, gateway, os.listdir(folder)):
        with open(path, "rb") as file:
            data = file.read(64 * 2**20)
        for body, at, why in read_records(data):
            if body is not None:
                state.replay_record(body)
            elif why:
                wrong.append(f"{path}: {why} at {at}")
    return state, wrong


@command.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@json_option("As JSON, for programs.")
def show(folder: str, as_json: bool) -> None:
    """What is kept: learned state of engines and queues, and attempts that may have run.

    \b
    corkgauge recovery show /var/lib/corkgauge
    """
    said = []
    for gateway in gateways_of(folder):
        state, _ = logged(folder, gateway)
        good = next(
            ((path, body) for path, body, why in snapshots(folder, gateway) if not why), None
        )
        said.append(
            {
                "gateway": gateway,
                "snapshot": good and good[0],
                "body": good and good[1],
                "effects": len(state),
                "unsettled": len(state.find_in_doubt_attempts()),
            }
        )
    if as_json:
        print(json.dumps(said))
        return
    from rich.console import Console

    from corkgauge.commands.tables import plain_table

    for each in said:
        body = each["body"]
        print(
            f"{each['gateway']}: {each['effects']} effects, {each['unsettled']} unsettled; "
            + (
                f"saved {time.time() - body['at'] / 10_000:.0f} s ago"
                if body
                else "no snapshot that is of use"
            )
        )
        if body:
            table = plain_table(
                f"price {body['price']:.6f}", "engine", ("slowness", "bound", "rests", "faults")
            )
            for name, engine in sorted(body["engines"].items()):
                slow = sorted(engine["slowness"])
                table.add_row(
                    name,
                    f"{slow[len(slow) // 2]:.2f}" if slow else "",
                    f"{engine['bound']:.2f}",
                    f"{max(engine['rests_until'] - body['at'], 0) / 10_000:.1f}",
                    str(sum(map(bool, engine["faults"]))),
                )
            Console().print(table)


@command.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def check(folder: str) -> None:
    """Check that no file is corrupted. A truncated end of the newest segment is what a kill leaves.

    \b
    corkgauge recovery check /var/lib/corkgauge
    Ends with 1 if one is corrupted.
    """
    wrong = []
    for gateway in gateways_of(folder):
        bad = [f"{path}: {why}" for path, _, why in snapshots(folder, gateway) if why]
        bad += [line for line in logged(folder, gateway)[1] if "torn end" not in line]
        print(f"{gateway}: {'; '.join(bad) or 'whole'}")
        wrong += bad
    raise SystemExit(EXIT_FOUND if wrong else 0)


@command.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--gateway", required=True, help="Whose files; it must not run.")
def prune(folder: str, gateway: str) -> None:
    """Remove all files of a gateway that does not run.

    \b
    corkgauge recovery prune /var/lib/corkgauge --gateway n1
    """
    import fcntl

    lock = os.path.join(folder, f"{gateway}.lock")
    if gateway not in gateways_of(folder):
        raise InputError(f"{folder}: nothing of {gateway!r}")
    descriptor = os.open(lock, os.O_RDWR | os.O_CREAT, 0o640)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        raise InputError(f"{folder}: {gateway} runs") from None
    gone = 0
    for name in os.listdir(folder):
        if name.startswith((f"{gateway}.recall", f"{gateway}.effects.")):
            os.unlink(os.path.join(folder, name))
            gone += 1
    os.close(descriptor)
    print(f"{gateway}: {gone} files removed")

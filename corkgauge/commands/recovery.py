"""Defines `corkgauge recovery show | check | prune`, which handle recovery files."""

import json
import os
import time
from typing import Any

import click

from corkgauge.commands import EXIT_FOUND, InputError
from corkgauge.commands.shared_options import json_option


@click.group("recovery")
def command() -> None:
    """Inspect a gateway's recovery files: snapshots, and the log of attempts that may have run.

    \b
    corkgauge recovery show /var/lib/corkgauge
    """


def list_gateways(folder: str) -> list[str]:
    """Return the names of the gateways with recovery files in a folder."""
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


def read_snapshots(folder: str, gateway: str) -> list[tuple[str, Any, str]]:
    """Return the path, body and damage of each snapshot, the newest first.

    The body of a damaged snapshot is None; the damage of a usable one is an empty string.
    """
    from corkgauge.recovery import snapshot

    snapshots = []
    for suffix in ("", *(f".{n}" for n in range(1, 20))):
        path = os.path.join(folder, f"{gateway}.recall{suffix}")
        if os.path.exists(path):
            with open(path, "rb") as file:
                data = file.read(snapshot.MAX_SNAPSHOT_BYTES + 1)
            try:
                snapshots.append((path, snapshot.decode(data), ""))
            except snapshot.UnusableSnapshotError as problem:
                snapshots.append((path, None, str(problem)))
    return snapshots


def replay_log(folder: str, gateway: str) -> tuple[Any, list[str]]:
    """Replay a gateway's attempt log; return the resulting state and the damage in its segments."""
    from corkgauge.recovery.attempt_log import AttemptLog
    from corkgauge.recovery.attempt_records import read_records
    from corkgauge.recovery.log_writer import list_segments

    state, damages = AttemptLog(), []
    for _, path in list_segments(folder, gateway, os.listdir(folder)):
        with open(path, "rb") as file:
            data = file.read(64 * 2**20)
        for body, position, damage in read_records(data):
            if body is not None:
                state.replay_record(body)
            elif damage:
                damages.append(f"{path}: {damage} at byte {position}")
    return state, damages


@command.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@json_option("Print the summary as JSON, for programs.")
def show(folder: str, as_json: bool) -> None:
    """Show the saved learned state of engines and queues, and the attempts that may have run.

    \b
    corkgauge recovery show /var/lib/corkgauge
    """
    summaries = []
    for gateway in list_gateways(folder):
        state, _ = replay_log(folder, gateway)
        newest_usable = next(
            ((path, body) for path, body, damage in read_snapshots(folder, gateway) if not damage),
            None,
        )
        summaries.append(
            {
                "gateway": gateway,
                "snapshot": newest_usable and newest_usable[0],
                "body": newest_usable and newest_usable[1],
                "effects": len(state),
                "unsettled": len(state.find_in_doubt_attempts()),
            }
        )
    if as_json:
        print(json.dumps(summaries))
        return
    from rich.console import Console

    from corkgauge.commands.tables import plain_table

    for summary in summaries:
        body = summary["body"]
        print(
            f"{summary['gateway']}: {summary['effects']} attempts in the log, "
            f"{summary['unsettled']} without a known outcome; "
            + (
                f"snapshot saved {time.time() - body['at'] / 10_000:.0f} s ago"
                if body
                else "no usable snapshot"
            )
        )
        if body:
            table = plain_table(
                f"admission price {body['price']:.6f}",
                "engine",
                ("slowness", "bound", "rests", "faults"),
            )
            for name, engine in sorted(body["engines"].items()):
                slowness = sorted(engine["slowness"])
                table.add_row(
                    name,
                    f"{slowness[len(slowness) // 2]:.2f}" if slowness else "",
                    f"{engine['bound']:.2f}",
                    f"{max(engine['rests_until'] - body['at'], 0) / 10_000:.1f}",
                    str(sum(map(bool, engine["faults"]))),
                )
            Console().print(table)


@command.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def check(folder: str) -> None:
    """Check that no recovery file is corrupted.

    A truncated end of the newest log segment is no error: killing the program can cause it.

    \b
    corkgauge recovery check /var/lib/corkgauge
    Exit code: 1 if a file is corrupted.
    """
    all_damages = []
    for gateway in list_gateways(folder):
        damages = [
            f"{path}: {damage}" for path, _, damage in read_snapshots(folder, gateway) if damage
        ]
        damages += [line for line in replay_log(folder, gateway)[1] if "torn end" not in line]
        print(f"{gateway}: {'; '.join(damages) or 'whole'}")
        all_damages += damages
    raise SystemExit(EXIT_FOUND if all_damages else 0)


@command.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--gateway", required=True, help="Name of the gateway; it must not be running.")
def prune(folder: str, gateway: str) -> None:
    """Remove all recovery files of a gateway that is not running.

    \b
    corkgauge recovery prune /var/lib/corkgauge --gateway n1
    """
    import fcntl

    lock_path = os.path.join(folder, f"{gateway}.lock")
    if gateway not in list_gateways(folder):
        raise InputError(f"{folder}: expected recovery files of gateway {gateway!r}, found none")
    descriptor = os.open(lock_path, os.O_RDWR | os.O_CREAT, 0o640)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        raise InputError(f"{folder}: gateway {gateway} is running; stop it first") from None
    removed_count = 0
    for name in os.listdir(folder):
        if name.startswith((f"{gateway}.recall", f"{gateway}.effects.")):
            os.unlink(os.path.join(folder, name))
            removed_count += 1
    os.close(descriptor)
    print(f"{gateway}: {removed_count} files removed")

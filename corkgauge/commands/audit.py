"""Defines `corkgauge audit`, which checks recorded snapshots and maintenance histories."""

import json

import click

from corkgauge.accounting.snapshot import Snapshot
from corkgauge.accounting.snapshot_checks import find_decreases, find_imbalances
from corkgauge.commands import EXIT_FOUND, InputError
from corkgauge.commands.shared_options import json_option

MAX_LINES_SHOWN = 20


def check_records(lines: list[str], file_name: str) -> tuple[int, int, list[str]]:
    """Check the records of a file, one per line.

    Returns the number of records, the number of epochs, and the errors with their file and line.
    """
    last_snapshots: dict[str, Snapshot] = {}
    errors, epochs, count = [], set[str](), 0
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            record = json.loads(line)
            if "history" in record:  # written by `maintenance show --json`
                errors += [
                    f"{file_name}:{number}: {record['name']}: {error}"
                    for error in check_maintenance_history(record)
                ]
                count += 1
                continue
            snapshot_errors = find_imbalances(record)
            gateway, epoch = record["gateway"], record["epoch"]["id"]
            if gateway in last_snapshots:
                snapshot_errors += find_decreases(last_snapshots[gateway], record)
        except (ValueError, KeyError, TypeError, AttributeError) as problem:
            raise InputError(
                f"{file_name}:{number}: expected a snapshot or maintenance status as JSON, "
                f"found an invalid line ({type(problem).__name__} {problem})"
            ) from None
        last_snapshots[gateway] = record
        epochs.add(epoch)
        count += 1
        errors += [f"{file_name}:{number}: {gateway}: {error}" for error in snapshot_errors]
    return count, len(epochs), errors


def check_maintenance_history(status: dict) -> list[str]:
    """Return the errors of a maintenance history: repeated or skipped states of a unit."""
    from corkgauge.maintenance.plan_history import find_history_errors

    return find_history_errors(status["history"])


@click.command("audit")
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
@json_option()
def command(files: tuple[str, ...], as_json: bool) -> None:
    """Check recorded snapshots: each balances, and no counter decreases within an epoch.

    Each line of FILES is a snapshot as JSON, as written by `corkgauge accounts --record`, or the
    output of `corkgauge maintenance show --json`. In a maintenance history, every unit must have
    passed through each state exactly once.

    \b
    corkgauge accounts /run/corkgauge/n1.sock --watch 1 --record day.jsonl
    corkgauge audit day.jsonl
    Exit code: 1 if a snapshot does not balance, a counter decreased, or a history has an error.
    """
    records, epochs, errors = 0, 0, []
    for name in files:
        with open(name, encoding="utf-8", errors="replace") as file:
            file_records, file_epochs, file_errors = check_records(file.readlines(), name)
        records, epochs, errors = records + file_records, epochs + file_epochs, errors + file_errors
    if as_json:
        print(json.dumps({"cuts": records, "epochs": epochs, "wrong": errors}))
    else:
        for line in errors[:MAX_LINES_SHOWN]:
            print(line)
        if len(errors) > MAX_LINES_SHOWN:
            print(f"... and {len(errors) - MAX_LINES_SHOWN} more")
        print(f"{records} records of {epochs} epochs, {len(errors)} errors")
    raise SystemExit(EXIT_FOUND if errors else 0)

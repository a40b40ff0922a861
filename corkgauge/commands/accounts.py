"""Defines `corkgauge accounts`, which shows and checks the counters of gateways."""

import json
import time
from pathlib import Path

import click

from corkgauge.accounting.snapshot import Snapshot
from corkgauge.accounting.snapshot_checks import find_imbalances
from corkgauge.accounting.snapshot_merge import merge_snapshots
from corkgauge.commands import EXIT_FOUND, InputError
from corkgauge.commands.shared_options import json_option, several_gateways


def load_snapshot(where: str, clear: bool = False) -> Snapshot:
    """Return the snapshot of a gateway, of a checkpoint file, or of a JSON file.

    `clear` first clears the discrepancies of a gateway. Raises `InputError` if there is no usable
    snapshot.
    """
    try:
        path = Path(where)
        if path.is_file():
            if where.endswith(".figures"):
                from corkgauge.accounting.checkpoint_file import read_checkpoint_file

                return read_checkpoint_file(where)["cut"]
            return json.loads(path.read_text())
        from corkgauge.accounting.client import request_json

        if clear:
            request_json(where, "/clear", "POST")
        return request_json(where)
    except (OSError, ValueError, KeyError) as problem:
        raise InputError(f"{where}: {getattr(problem, 'strerror', None) or problem}") from None


@click.command("accounts")
@several_gateways
@click.option(
    "--watch", type=float, default=0.0, metavar="SECONDS", help="Repeat at this interval."
)
@json_option("Print the snapshot as JSON, for programs.")
@click.option(
    "--record",
    type=click.Path(dir_okay=False),
    help="Append each snapshot as a line to this file, for `audit`.",
)
@click.option(
    "--clear",
    is_flag=True,
    help="Clear the discrepancies found so far, once an operator has read them.",
)
def command(
    where: tuple[str, ...], watch: float, as_json: bool, record: str | None, clear: bool
) -> None:
    """Show the summed counters of one or several gateways, and check that they balance.

    WHERE is the Unix socket or ADDRESS:PORT of a gateway's HTTP listener, a .figures checkpoint
    file, or a snapshot saved as JSON.

    \b
    corkgauge accounts /run/corkgauge/n1.sock /run/corkgauge/n2.sock --watch 1
    Exit code: 1 if the counters of a gateway do not balance.
    """
    from rich.console import Console

    console = Console()
    while True:
        snapshots = [load_snapshot(address, clear) for address in where]
        total = snapshots[0] if len(snapshots) == 1 else merge_snapshots(snapshots)
        if record:
            with open(record, "a", encoding="utf-8") as file:
                for snapshot in snapshots:
                    print(json.dumps(snapshot), file=file)
        if as_json:
            print(json.dumps(total))
        else:
            from corkgauge.commands import tables

            if watch:
                console.clear()
            console.print(tables.snapshot_tables(total))
        if not watch:
            raise SystemExit(EXIT_FOUND if any(map(find_imbalances, snapshots)) else 0)
        try:
            time.sleep(watch)
        except KeyboardInterrupt:
            raise SystemExit(0) from None

"""`corkgauge accounts`."""

import json
import time
from pathlib import Path

import click

from corkgauge.accounting.snapshot import Snapshot
from corkgauge.accounting.snapshot_checks import find_imbalances
from corkgauge.accounting.snapshot_merge import merge_snapshots
from corkgauge.commands import EXIT_FOUND, InputError
from corkgauge.commands.shared_options import json_option, several_gateways


def snapshot_at(where: str, clear: bool = False) -> Snapshot:
    """From an HTTP listener, a checkpoint file, or a snapshot saved as JSON."""
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
    "--watch", type=float, default=0.0, metavar="SECONDS", help="Again and again, so far apart."
)
@json_option("The snapshot as JSON, for programs.")
@click.option(
    "--record",
    type=click.Path(dir_okay=False),
    help="Add each snapshot as a line to this file, for `audit`.",
)
@click.option(
    "--clear",
    is_flag=True,
    help="Clear the discrepancies that were found so far: an operator has seen them.",
)
def command(
    where: tuple[str, ...], watch: float, as_json: bool, record: str | None, clear: bool
) -> None:
    """Counters of one or several gateways, summed, and whether they balance.

    WHERE is the Unix socket or ADDRESS:PORT of a gateway, a .figures checkpoint file, or a
    snapshot saved as JSON.

    \b
    corkgauge accounts /run/corkgauge/n1.sock /run/corkgauge/n2.sock --watch 1
    Ends with 1 if they do not balance.
    """
    from rich.console import Console

    console = Console()
    while True:
        cuts = [snapshot_at(each, clear) for each in where]
        cut = cuts[0] if len(cuts) == 1 else merge_snapshots(cuts)
        if record:
            with open(record, "a", encoding="utf-8") as file:
                for each in cuts:
                    print(json.dumps(each), file=file)
        if as_json:
            print(json.dumps(cut))
        else:
            from corkgauge.commands import tables

            if watch:
                console.clear()
            console.print(tables.whole(cut))
        if not watch:
            raise SystemExit(EXIT_FOUND if any(map(find_imbalances, cuts)) else 0)
        try:
            time.sleep(watch)
        except KeyboardInterrupt:
            raise SystemExit(0) from None

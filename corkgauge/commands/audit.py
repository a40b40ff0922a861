"""`corkgauge audit`."""

import json

import click

from corkgauge.accounting.snapshot import Snapshot
from corkgauge.accounting.snapshot_checks import find_decreases, find_imbalances
from corkgauge.commands import EXIT_FOUND, InputError
from corkgauge.commands.shared_options import json_option

MOST_SAID = 20


def wrong_with(lines: list[str], name: str) -> tuple[int, int, list[str]]:
    """How many cuts, of how many epochs, and what is wrong with them, each with its line."""
    last: dict[str, Snapshot] = {}
    found, epochs, count = [], set[str](), 0
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            cut = json.loads(line)
            if "history" in cut:  # of `works show --json`
                found += [f"{name}:{number}: {cut['name']}: {each}" for each in works_wrong(cut)]
                count += 1
                continue
            said = find_imbalances(cut)
            gateway, epoch = cut["gateway"], cut["epoch"]["id"]
            if gateway in last:
                said += find_decreases(last[gateway], cut)
        except (ValueError, KeyError, TypeError, AttributeError) as problem:
            raise InputError(
                f"{name}:{number}: not a cut ({type(problem).__name__} {problem})"
            ) from None
        last[gateway] = cut
        epochs.add(epoch)
        count += 1
        found += [f"{name}:{number}: {gateway}: {each}" for each in said]
    return count, len(epochs), found


def works_wrong(said: dict) -> list[str]:
    """What is wrong with a history of works: a step twice, or one left out."""
    from corkgauge.maintenance.plan_history import find_history_errors

    return find_history_errors(said["history"])


@click.command("audit")
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
@json_option()
def command(files: tuple[str, ...], as_json: bool) -> None:
    """Check recorded snapshots: each balances, and no counter shrinks within its epoch.

    FILES hold a snapshot as JSON on each line, as `corkgauge accounts --record` writes them; or
    what `corkgauge maintenance show --json` wrote: then each unit must have gone each step once.

    \b
    corkgauge accounts /run/corkgauge/n1.sock --watch 1 --record day.jsonl
    corkgauge audit day.jsonl
    Ends with 1 if one does not balance or a counter shrank.
    """
    cuts, epochs, found = 0, 0, []
    for name in files:
        with open(name, encoding="utf-8", errors="replace") as file:
            more, several, said = wrong_with(file.readlines(), name)
        cuts, epochs, found = cuts + more, epochs + several, found + said
    if as_json:
        print(json.dumps({"cuts": cuts, "epochs": epochs, "wrong": found}))
    else:
        for line in found[:MOST_SAID]:
            print(line)
        if len(found) > MOST_SAID:
            print(f"... and {len(found) - MOST_SAID} more")
        print(f"{cuts} cuts of {epochs} epochs, {len(found)} wrong")
    raise SystemExit(EXIT_FOUND if found else 0)

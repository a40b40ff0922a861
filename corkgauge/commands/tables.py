"""Cuts as tables for people."""

from collections.abc import Iterable
from typing import Any

from rich.console import Group
from rich.table import Table
from rich.text import Text

from corkgauge.accounting.counter_names import (
    ATTEMPT_KIND_NAMES,
    OUTCOME_NAMES,
    REASON_NAMES,
    TERM_NAMES,
)
from corkgauge.accounting.snapshot import Snapshot
from corkgauge.accounting.snapshot_checks import find_imbalances


def plain_table(title: str, first: str, names: Iterable[str]) -> Table:
    """A table that fits a terminal of 80 columns: no lines, no room at its edges."""
    table = Table(title=title, box=None, pad_edge=False, title_justify="left")
    table.add_column(first)
    for name in names:
        table.add_column(name, justify="right")
    return table


def request_classes(cut: Snapshot) -> Table:
    table = plain_table(
        f"{cut['gateway']}: taken = served + refused + failed + open",
        "offering",
        (*TERM_NAMES, "open", *ATTEMPT_KIND_NAMES, "out", "p50 s", "p99 s"),
    )
    latency = {each["whose"]: each for each in cut.get("waits", ()) if each["what"] == "latency"}
    for name, row in cut["offerings"].items():
        if row["taken"]:
            table.add_row(
                name,
                *(str(row[key]) for key in (*TERM_NAMES, "open", *ATTEMPT_KIND_NAMES, "out")),
                *_times(latency.get(name)),
            )
    return table


def engines(cut: Snapshot, most: int = 40) -> Table:
    outcomes = [
        name
        for name in OUTCOME_NAMES
        if any(row["outcomes"].get(name) for row in cut["engines"].values())
    ]
    table = plain_table(
        "handed off = outcomes + out", "engine", (*ATTEMPT_KIND_NAMES, *outcomes, "out", "pages")
    )
    rows = sorted(
        cut["engines"].items(), key=lambda each: -sum(each[1][sort] for sort in ATTEMPT_KIND_NAMES)
    )
    for name, row in rows[:most]:
        if any(row[sort] for sort in ATTEMPT_KIND_NAMES):
            table.add_row(
                name,
                *(str(row[sort]) for sort in ATTEMPT_KIND_NAMES),
                *(str(row["outcomes"].get(outcome) or "") for outcome in outcomes),
                str(row["out"]),
                str(row["pages"]),
            )
    return table


def reasons(cut: Snapshot) -> Table:
    named = [
        name
        for name in REASON_NAMES
        if any(row["reasons"].get(name) for row in cut["offerings"].values())
    ]
    table = plain_table("why they ended", "offering", named)
    for name, row in cut["offerings"].items():
        if row["taken"]:
            table.add_row(name, *(str(row["reasons"].get(each, 0) or "") for each in named))
    return table


def balance(cut: Snapshot) -> Text:
    wrong = find_imbalances(cut)
    if wrong:
        return Text("out of balance\n" + "\n".join(wrong), style="bold red")
    return Text("in balance", style="green")


def whole(cut: Snapshot, *more: Any) -> Group:
    return Group(request_classes(cut), reasons(cut), engines(cut), balance(cut), *more)


def _times(said: Any) -> tuple[str, str]:
    if not said:
        return "", ""
    from corkgauge.accounting.latency_sketches import quantile

    return f"{quantile(said, 0.5):.3f}", f"{quantile(said, 0.99):.3f}"

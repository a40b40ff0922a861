"""Formats accounting snapshots as tables for the terminal."""

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


def plain_table(title: str, first_column: str, other_columns: Iterable[str]) -> Table:
    """Return a table without borders and outer padding, so that it fits 80 terminal columns."""
    table = Table(title=title, box=None, pad_edge=False, title_justify="left")
    table.add_column(first_column)
    for column in other_columns:
        table.add_column(column, justify="right")
    return table


def request_class_table(snapshot: Snapshot) -> Table:
    """Return the request counters, attempts and latencies of each request class with requests."""
    table = plain_table(
        f"{snapshot['gateway']}: taken = served + refused + failed + open",
        "offering",
        (*TERM_NAMES, "open", *ATTEMPT_KIND_NAMES, "out", "p50 s", "p99 s"),
    )
    latencies = {
        sketch["whose"]: sketch
        for sketch in snapshot.get("waits", ())
        if sketch["what"] == "latency"
    }
    for name, row in snapshot["offerings"].items():
        if row["taken"]:
            table.add_row(
                name,
                *(str(row[key]) for key in (*TERM_NAMES, "open", *ATTEMPT_KIND_NAMES, "out")),
                *_latency_cells(latencies.get(name)),
            )
    return table


def engine_table(snapshot: Snapshot, max_rows: int = 40) -> Table:
    """Return the attempts of each engine by kind and outcome; engines with most attempts first."""
    outcomes = [
        name
        for name in OUTCOME_NAMES
        if any(row["outcomes"].get(name) for row in snapshot["engines"].values())
    ]
    table = plain_table(
        "handed off = outcomes + out", "engine", (*ATTEMPT_KIND_NAMES, *outcomes, "out", "pages")
    )
    rows = sorted(
        snapshot["engines"].items(),
        key=lambda item: -sum(item[1][kind] for kind in ATTEMPT_KIND_NAMES),
    )
    for name, row in rows[:max_rows]:
        if any(row[kind] for kind in ATTEMPT_KIND_NAMES):
            table.add_row(
                name,
                *(str(row[kind]) for kind in ATTEMPT_KIND_NAMES),
                *(str(row["outcomes"].get(outcome) or "") for outcome in outcomes),
                str(row["out"]),
                str(row["pages"]),
            )
    return table


def end_reason_table(snapshot: Snapshot) -> Table:
    """Return the number of requests by request class and end reason."""
    reasons = [
        name
        for name in REASON_NAMES
        if any(row["reasons"].get(name) for row in snapshot["offerings"].values())
    ]
    table = plain_table("requests by end reason", "offering", reasons)
    for name, row in snapshot["offerings"].items():
        if row["taken"]:
            table.add_row(name, *(str(row["reasons"].get(reason, 0) or "") for reason in reasons))
    return table


def balance_text(snapshot: Snapshot) -> Text:
    """Return the imbalances of the counters, or `in balance`."""
    imbalances = find_imbalances(snapshot)
    if imbalances:
        return Text("out of balance\n" + "\n".join(imbalances), style="bold red")
    return Text("in balance", style="green")


def snapshot_tables(snapshot: Snapshot, *more: Any) -> Group:
    """Return all tables of a snapshot, followed by the further items."""
    return Group(
        request_class_table(snapshot),
        end_reason_table(snapshot),
        engine_table(snapshot),
        balance_text(snapshot),
        *more,
    )


def _latency_cells(sketch: Any) -> tuple[str, str]:
    if not sketch:
        return "", ""
    from corkgauge.accounting.latency_sketches import quantile

    return f"{quantile(sketch, 0.5):.3f}", f"{quantile(sketch, 0.99):.3f}"

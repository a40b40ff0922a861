"""Cuts as tables for people."""

from typing import Any

from rich.console import Group
from rich.table import Table
from rich.text import Text

from corkgauge.figures.cut import Cut, differences
from corkgauge.figures.terms import SORTS, TERMS


def offerings(cut: Cut) -> Table:
    table = Table(title=f"{cut['gateway']}: taken = served + refused + failed + open")
    for name in ("offering", *TERMS, "open", *SORTS, "out", "p50 s", "p99 s"):
        table.add_column(name, justify="left" if name == "offering" else "right")
    latency = {each["whose"]: each for each in cut.get("waits", ()) if each["what"] == "latency"}
    for name, row in cut["offerings"].items():
        if row["taken"]:
            table.add_row(name, *(str(row[key]) for key in (*TERMS, "open", *SORTS, "out")),
                          *_times(latency.get(name)))
    return table


def engines(cut: Cut, most: int = 40) -> Table:
    table = Table(title="handed off = outcomes + out")
    outcomes = [*next(iter(cut["engines"].values()), {"outcomes": {}})["outcomes"]]
    for name in ("engine", *SORTS, *outcomes, "out", "pages"):
        table.add_column(name, justify="left" if name == "engine" else "right")
    rows = sorted(cut["engines"].items(), key=lambda each: -sum(each[1][sort] for sort in SORTS))
    for name, row in rows[:most]:
        if any(row[sort] for sort in SORTS):
            table.add_row(name, *(str(row[sort]) for sort in SORTS),
                          *(str(count or "") for count in row["outcomes"].values()), str(row["out"]),
                          str(row["pages"]))
    return table


def reasons(cut: Cut) -> Table:
    table = Table(title="why they ended")
    table.add_column("offering")
    named = [name for name in next(iter(cut["offerings"].values()))["reasons"]
             if any(row["reasons"].get(name) for row in cut["offerings"].values())]
    for name in named:
        table.add_column(name, justify="right")
    for name, row in cut["offerings"].items():
        if row["taken"]:
            table.add_row(name, *(str(row["reasons"].get(each, 0) or "") for each in named))
    return table


def balance(cut: Cut) -> Text:
    wrong = differences(cut)
    if wrong:
        return Text("out of balance\n" + "\n".join(wrong), style="bold red")
    return Text("in balance", style="green")


def whole(cut: Cut, *more: Any) -> Group:
    return Group(offerings(cut), reasons(cut), engines(cut), balance(cut), *more)


def _times(said: Any) -> tuple[str, str]:
    if not said:
        return "", ""
    from corkgauge.figures.waits import quantile
    return f"{quantile(said, 0.5):.3f}", f"{quantile(said, 0.99):.3f}"

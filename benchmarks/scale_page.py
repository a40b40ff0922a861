"""docs/CAPACITY.md, made from the kept rows.

Owns the page's form: the text is docs/capacity/page.md.in, in which a figure or a table is named by
its key, so that nobody types one. Must never invent: a key without a run is shown as "not run".

In the text: {{size.NAME}} a figure of the users' size as they gave it; {{KEY}} a figure with unit
and kind, {{KEY@400}} at a size, {{KEY:bare}} the number alone, {{KEY:slope}}, {{KEY:exponent}},
{{KEY:error}} of what was foretold; {{worked.NAME}} and {{worked.NAME:factor}} what is worked out
(benchmarks/capacity_rows.py). On a line of its own: {{table roles MOMENT}}, {{table over}}, {{table
grown}}, {{table next}}, {{table slopes PREFIX...}}, {{table options PREFIX OPTION...}}, {{table
gossip LOSS...}}, {{table missing}}.
"""

import json
import re
import sys
from itertools import zip_longest
from math import floor, isclose, log10
from pathlib import Path
from statistics import linear_regression, median
from typing import Any

import click

from benchmarks.capacity import BEFORE, SIZE, Book, Figure, NotRun, Worked
from benchmarks.capacity_rows import CHOICE, MISSING, WORKED
from benchmarks.scale_settings import FANOUTS
from benchmarks.scaling import HOME, KINDS, read

NOT_RUN = "not run"
ASIDE = "open", "ways"  # readings of open words, and ways not taken: in tables of their own alone
TAG = re.compile(r"\{\{([^{}]+)\}\}")
STEPS = [1.05**step for step in range(95)]  # of a fleet that grows, to a hundred times
TIGHT = 0.5  # of a budget: what is above stands beside what is over


class Unknown(ValueError):
    """One line: what the text names that cannot be."""


def short(value: float) -> str:
    """Three digits at most, without an exponent.

    >>> short(2526.3), short(0.004217), short(18.36), short(99.96), short(0), short(870), short(-0.5)
    ('2,530', '0.00422', '18.4', '100', '0', '870', '-0.5')
    """
    if not value:
        return "0"
    places = 2 - floor(log10(abs(value)))
    text = f"{round(value, places):,.{max(places, 0)}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def with_unit(value: float, unit: str) -> str:
    return short(value) + (unit if unit.startswith("%") else f" {unit}")


def said(figure: Figure) -> str:
    return f"{with_unit(figure.value, figure.unit)} ({figure.kind})"


class Page:
    """The page of these rows and this text."""

    def __init__(self, rows: dict[str, dict[str, Any]]) -> None:
        self.book = Book(rows)
        self.worked: dict[str, Figure | None] = {}
        for name, each in WORKED.items():
            try:
                self.worked[name] = self.book.work(each)
            except (NotRun, ZeroDivisionError):
                self.worked[name] = None

    def made(self, text: str) -> str:
        """The whole page."""
        head = "<!-- Made by `python benchmarks/scale.py page` from docs/capacity/: edit page.md.in there. -->\n\n"
        # The table of what is missing comes last, when all else has been asked for.
        parts = [
            self.filled(part)
            for part in re.split(r"(\{\{table missing\}\})", text)
            if part != "{{table missing}}"
        ]
        if len(parts) > 1:
            parts.insert(1, self.missing())
        return head + "".join(parts)

    def filled(self, text: str) -> str:
        return TAG.sub(lambda tag: self.named(tag[1].strip()), text)

    def named(self, tag: str) -> str:
        """What stands in place of a tag."""
        if tag.startswith("table "):
            name, *rest = tag.split()[1:]
            if name not in ("roles", "over", "slopes", "options", "grown", "gossip", "next"):
                raise Unknown(f"{{{{{tag}}}}}: no such table")
            return getattr(self, name)(*rest)
        name, _, form = tag.partition(":")
        if name.startswith("size."):
            if name[5:] not in SIZE:
                raise Unknown(f"{{{{{tag}}}}}: no such figure of the users' size")
            return f"{SIZE[name[5:]]:,}"
        if name.startswith("worked."):
            return self.named_worked(name[7:], form, tag)
        key, _, at = name.partition("@")
        try:
            if form in ("exponent", "error"):
                row = self.book.row(key)
                if form == "exponent":
                    return f"{row['fit']['exponent']:.2f}" if "fit" in row else NOT_RUN
                return f"{row['checked']['error']:+.0%}" if "checked" in row else NOT_RUN
            figure = (
                self.book.slope(key)
                if form == "slope"
                else self.book.figure(key, float(at) if at else None)
            )
        except NotRun:
            return NOT_RUN
        if form not in ("", "bare", "slope"):
            raise Unknown(f"{{{{{tag}}}}}: no such form")
        return short(figure.value) if form == "bare" else said(figure)

    def named_worked(self, name: str, form: str, tag: str) -> str:
        if name not in WORKED:
            raise Unknown(f"{{{{{tag}}}}}: no such row in capacity_rows.py")
        figure, budget = self.worked[name], WORKED[name].budget
        if form == "factor" and budget is None:
            raise Unknown(f"{{{{{tag}}}}}: no budget")
        if figure is None:
            return NOT_RUN
        if form == "factor":
            return short(figure.value / budget)
        if form not in ("", "bare"):
            raise Unknown(f"{{{{{tag}}}}}: no such form")
        return short(figure.value) if form == "bare" else said(figure)

    # Tables.

    def roles(self, moment: str) -> str:
        """What each role costs at a moment: rest, day, worst, open."""
        rows = []
        for name, each in WORKED.items():
            if each.moment == moment:
                figure = self.worked[name]
                rows.append(
                    [
                        each.role,
                        each.what,
                        said(figure) if figure else NOT_RUN,
                        self.runs(figure),
                        with_unit(each.budget, each.unit) if each.budget is not None else "-",
                        self.factor(name),
                        self.carries(each, figure),
                    ]
                )
        if not rows:
            raise Unknown(f"{{{{table roles {moment}}}}}: no such rows")
        return table(
            [
                "role",
                "what",
                "at the users' size",
                "worked out from",
                "budget",
                "over budget by",
                "carried by",
            ],
            rows,
        )

    def runs(self, figure: Figure | None) -> str:
        """The keys of the runs, each with its slope where it has one."""
        if figure is None or not figure.keys:
            return "-"
        return ", ".join(
            f"`{key}`"
            + (
                f" ({short(self.book.rows[key]['fit']['slope'])} a unit of {self.book.rows[key]['by']})"
                if "fit" in self.book.rows[key]
                else ""
            )
            for key in figure.keys
        )

    @staticmethod
    def carries(of: Worked, figure: Figure | None) -> str:
        """The mechanism; a figure of a run before the working set does not have that yet."""
        if figure and any(key.endswith(BEFORE) for key in figure.keys):
            return of.mechanism.replace(CHOICE, f"{CHOICE} (not in this run)")
        return of.mechanism

    def factor(self, name: str) -> str:
        figure, budget = self.worked[name], WORKED[name].budget
        return (
            "-" if budget is None else NOT_RUN if figure is None else short(figure.value / budget)
        )

    def over(self) -> str:
        """Every row with a budget, the farthest over it first; what has not run is named below."""
        rows, unknown = [], []
        for name, each in WORKED.items():
            if each.budget is not None and each.moment not in ASIDE:
                if (figure := self.worked[name]) is None:
                    unknown.append(f"{each.role}: {each.what}")
                    continue
                factor = figure.value / each.budget
                verdict = "**over**" if factor > 1 else "close" if factor > TIGHT else "within"
                rows.append(
                    (
                        -factor,
                        [
                            verdict,
                            short(factor),
                            each.role,
                            each.what,
                            said(figure),
                            with_unit(each.budget, each.unit),
                            self.carries(each, figure),
                        ],
                    )
                )
        made = table(
            ["", "factor", "role", "what", "figure", "budget", "carried by"],
            [row for _, row in sorted(rows, key=lambda each: each[0])],
        )
        return made + (
            f"\n\nWith a budget, and {NOT_RUN}: {'; '.join(unknown)}." if unknown else ""
        )

    def grown(self) -> str:
        """For every row within its budget: how many times as many workload managers and databases pass it."""
        found, flat = [], []
        for name, each in WORKED.items():
            figure = self.worked[name]
            if (
                each.budget is None
                or each.moment in ASIDE
                or figure is None
                or figure.value > each.budget
            ):
                continue
            try:
                times = next(
                    (m for m in STEPS if self.book.work(each, m).value > each.budget), None
                )
            except NotRun:
                times = None  # one size alone was run
            (found if times else flat).append((times, name))
        rows = [
            [
                short(times),
                f"{short(times * SIZE['gateways'])} and {short(times * SIZE['engines'])}",
                WORKED[name].role,
                WORKED[name].what,
                WORKED[name].mechanism,
            ]
            for times, name in sorted(found)
        ]
        rest = (
            f"Not before {STEPS[-1]:.0f} times, or without a slope: {len(flat)} rows."
            if flat
            else ""
        )
        heads = [
            "times",
            "workload managers and databases",
            "role",
            "what passes its budget",
            "carried by",
        ]
        return (table(heads, rows) if rows else NOT_RUN) + f"\n\n{rest}".rstrip()

    def gossip(self, *losses: str) -> str:
        """A change spread by gossip, by what is sent and fan-out, at the largest number of members that was played."""
        rows = []
        for sort in "delta", "whole":
            for fanout in FANOUTS:
                ends = [f"f{fanout}.loss{loss}" for loss in losses]
                named = [
                    self.named(f"settings.gossip.{sort}.{what}.{end}:bare")
                    for end in ends
                    for what in ("time", "peak", "mean")
                ]
                rows.append([sort, str(fanout), *named])
        return table(
            [
                "sent",
                "fan-out",
                *(
                    f"{loss}% lost: {what}"
                    for loss in losses
                    for what in (
                        "s until all have it",
                        "octets a second, busiest",
                        "octets each, mean",
                    )
                ),
            ],
            rows,
        )

    def next(self) -> str:
        """What is missing and over its budget, ranked, with its greatest factor and what it would take."""
        ranked = []
        for each in MISSING:
            found = {
                name: figure.value / WORKED[name].budget
                for name in each.rows
                if (figure := self.worked[name])
            }
            if found and max(found.values()) > 1:
                name = max(found, key=found.get)
                ranked.append((not each.serving, not each.absent, -found[name], each, name))
        lines = [
            f"{n}. **{each.title}**: {short(-factor)} times over ({WORKED[name].role}: {WORKED[name].what}, "
            f"{said(self.worked[name])} against {with_unit(WORKED[name].budget, WORKED[name].unit)})"
            f"{', wholly absent' if each.absent else ''}. Would take: {self.filled(each.takes)}"
            for n, (_, _, factor, each, name) in enumerate(
                sorted(ranked, key=lambda row: row[:3]), 1
            )
        ]
        return "\n".join(lines) or "None that a run shows."

    def slopes(self, *prefixes: str) -> str:
        """Every kept row of these parts."""
        rows = []
        for key in sorted(key for key in self.book.rows if key.startswith(prefixes)):
            row = self.book.rows[key]
            points, fit, checked = row["points"], row.get("fit"), row.get("checked")
            rows.append(
                [
                    f"`{key}`",
                    row["what"],
                    row["unit"],
                    row["by"],
                    "; ".join(
                        f"{short(p['at'])}: {short(p['median'])}"
                        + (
                            f" ({short(p['least'])} to {short(p['most'])})"
                            if p["least"] != p["most"]
                            else ""
                        )
                        for p in points
                    ),
                    f"{short(fit['slope'])}, power {fit['exponent']:.2f}" if fit else "-",
                    f"{short(row['foretold']['value'])} at {short(row['foretold']['at'])}"
                    if "foretold" in row
                    else "-",
                    f"{short(checked['value'])} ({checked['kind']}), {checked['error']:+.0%}"
                    if checked
                    else "-",
                    row["kind"],
                ]
            )
        if not rows:
            self.book.missing.update(prefixes)
            return f"{NOT_RUN}: nothing of `{', '.join(prefixes)}` was kept."
        return table(
            [
                "key",
                "what",
                "unit",
                "by",
                "size: median (least to most)",
                "slope of one more",
                "foretold",
                "found there, error of the foretelling",
                "kind",
            ],
            rows,
        )

    def options(self, prefix: str, *names: str) -> str:
        """Options side by side, of rows PREFIX.OPTION.FIGURE of one size; `names` are the options, in this order."""
        figures = list(
            dict.fromkeys(
                key.rpartition(".")[2]
                for key in self.book.rows
                if key.rpartition(".")[0] in {f"{prefix}.{each}" for each in names}
            )
        )
        if not figures:
            self.book.missing.add(prefix + ".")
            return f"{NOT_RUN}: nothing of `{prefix}.` was kept."
        rows = []
        for figure in figures:
            found = [self.book.rows.get(f"{prefix}.{each}.{figure}") for each in names]
            first = next(row for row in found if row)
            rows.append(
                [
                    first["what"].partition(": ")[2] or first["what"],
                    first["unit"] or "-",
                    *(short(row["points"][-1]["median"]) if row else NOT_RUN for row in found),
                    first["kind"],
                ]
            )
        return table(["what", "unit", *names, "kind"], rows)

    def missing(self) -> str:
        if not self.book.missing:
            return "Every figure that this page names has its run."
        return (
            "Named on this page, and no run has given it yet: "
            + ", ".join(f"`{key}`" for key in sorted(self.book.missing))
            + "."
        )


def table(heads: list[str], rows: list[list[str]]) -> str:
    return "\n".join("| " + " | ".join(row) + " |" for row in [heads, ["---"] * len(heads), *rows])


def wrong(row: dict[str, Any]) -> str:
    """What in a kept row does not follow from its own values, in one line; empty: nothing. The fit is worked out anew
    by the standard library, which CI has, where the run itself used numpy.
    """
    key = row.get("key")
    if row["kind"] not in KINDS:
        return f"{key}: kind {row['kind']!r}"
    for p in row["points"]:
        for name, found in (
            ("median", median(p["values"])),
            ("least", min(p["values"])),
            ("most", max(p["values"])),
        ):
            if not same(p[name], found):
                return f"{key}: {name} at {p['at']} is {p[name]!r}, its values give {found!r}"
    if "fit" in row:
        slope, base = linear_regression(
            [p["at"] for p in row["points"]], [p["median"] for p in row["points"]]
        )
        scale = max(abs(p["median"]) for p in row["points"])
        for name, found, room in (
            ("slope", slope, scale / max(p["at"] for p in row["points"])),
            ("base", base, scale),
        ):
            if not same(row["fit"][name], found, room):
                return f"{key}: {name} is {row['fit'][name]!r}, its points give {found!r}"
    foretold, checked = row.get("foretold"), row.get("checked")
    if (
        foretold
        and "fit" in row
        and not same(
            foretold["value"], found := row["fit"]["base"] + row["fit"]["slope"] * foretold["at"]
        )
    ):
        return f"{key}: foretold {foretold['value']!r}, its fit gives {found!r}"
    if (
        foretold
        and checked
        and checked["value"]
        and not same(
            checked["error"], found := (foretold["value"] - checked["value"]) / checked["value"]
        )
    ):
        return f"{key}: error {checked['error']!r}, its values give {found!r}"
    return ""


def same(one: float, other: float, scale: float = 0.0) -> bool:
    return isclose(one, other, rel_tol=1e-6, abs_tol=1e-6 * scale + 1e-12)


def difference(page: str, made: str) -> str:
    """The first line in which the page is not what the rows give; empty: none."""
    for number, (has, gives) in enumerate(zip_longest(page.splitlines(), made.splitlines()), 1):
        if has != gives:
            return f"line {number}: the page has {has!r}, the rows give {gives!r}"
    return ""


def checked(home: Path, page: Path) -> str:
    """The first difference between the kept rows, the text and the page, or within a row; empty: none."""
    rows = read(home)
    for row in rows.values():
        if problem := wrong(row):
            return f"{row['part']}.json: {problem}"
    made = Page(rows).made((home / "page.md.in").read_text())
    found = difference(page.read_text() if page.exists() else "", made)
    return found and f"{page.name}: {found}"


@click.command("page", epilog="Example: python benchmarks/scale.py page --check")
@click.option(
    "--check",
    is_flag=True,
    help="Write nothing; end with 1 where page and rows differ, and name where.",
)
@click.option(
    "--json",
    "as_json",
    is_flag=True,
    help="What is worked out, as JSON, in place of writing the page.",
)
@click.option(
    "--home",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    default=HOME,
    show_default=False,
    help="Where the rows and the page's text are (docs/capacity).",
)
@click.option(
    "--page",
    "page",
    type=click.Path(dir_okay=False, path_type=Path),
    default=HOME.parent / "CAPACITY.md",
    show_default=False,
    help="The page (docs/CAPACITY.md).",
)
def command(check: bool, as_json: bool, home: Path, page: Path) -> None:
    """Make docs/CAPACITY.md anew from docs/capacity/*.json and the text beside them.

    Ends with 0 done, 1 a difference (--check), 2 a text that names what cannot be.
    """
    try:
        if check:
            if problem := checked(home, page):
                print(f"scale: {problem}", file=sys.stderr)
                sys.exit(1)
            return
        made = Page(read(home))
        text = made.made((home / "page.md.in").read_text())
    except Unknown as problem:
        print(f"scale: page.md.in: {problem}", file=sys.stderr)
        sys.exit(2)
    if as_json:
        print(
            json.dumps(
                {
                    name: figure
                    and {
                        "value": figure.value,
                        "unit": figure.unit,
                        "kind": figure.kind,
                        "keys": figure.keys,
                        "budget": WORKED[name].budget,
                    }
                    for name, figure in made.worked.items()
                },
                indent=1,
            )
        )
        return
    page.write_text(text)
    print(
        f"{page}: {len(made.book.rows)} rows, {len(made.book.missing)} keys without a run",
        file=sys.stderr,
    )

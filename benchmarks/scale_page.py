"""Renders docs/CAPACITY.md from the stored rows and the text of docs/capacity/page.md.in.

The text names figures and tables by key, so that no figure is typed by hand. A key without a run
is shown as "not run".

Tags in the text: {{size.NAME}} is a figure of the users' size as the users stated it. {{KEY}} is a
figure with unit and kind; {{KEY@400}} is the figure at a size; {{KEY:bare}} is the number alone;
{{KEY:slope}}, {{KEY:exponent}} and {{KEY:error}} are the slope, the exponent and the error of the
extrapolation. {{worked.NAME}} and {{worked.NAME:factor}} are a derived figure and its factor over
budget (benchmarks/capacity_rows.py). Tags on a separate line: {{table roles MOMENT}}, {{table
over}}, {{table grown}}, {{table next}}, {{table slopes PREFIX...}}, {{table options PREFIX
OPTION...}}, {{table gossip LOSS...}}, {{table missing}}.
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

from benchmarks.capacity import (
    BEFORE_SUFFIX,
    STATED_SIZE,
    DerivedRow,
    Figure,
    NotRunError,
    RowIndex,
)
from benchmarks.capacity_rows import DERIVED_ROWS, MISSING_MECHANISMS, WORKING_SET_MECHANISM
from benchmarks.scale_settings import FANOUTS
from benchmarks.scaling import CAPACITY_DIRECTORY, ROW_KINDS, load_rows

NOT_RUN = "not run"
# Readings of ambiguous requirements, and alternatives: only shown in separate tables.
SEPARATE_MOMENTS = "open", "ways"
TAG_PATTERN = re.compile(r"\{\{([^{}]+)\}\}")
GROWTH_FACTORS = [1.05**step for step in range(95)]  # multiples of the users' size, up to a hundred
CLOSE_FRACTION = 0.5  # of the budget; a cost between this and the budget is shown as "close"


class UnknownTagError(ValueError):
    """A tag of the text names something that does not exist; the message is one line."""


def format_number(value: float) -> str:
    """Formats a number with three significant digits at most, without an exponent.

    >>> format_number(2526.3), format_number(0.004217), format_number(18.36), format_number(
    ...     99.96
    ... ), format_number(0), format_number(870), format_number(-0.5)
    ('2,530', '0.00422', '18.4', '100', '0', '870', '-0.5')
    """
    if not value:
        return "0"
    places = 2 - floor(log10(abs(value)))
    text = f"{round(value, places):,.{max(places, 0)}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def format_with_unit(value: float, unit: str) -> str:
    return format_number(value) + (unit if unit.startswith("%") else f" {unit}")


def format_figure(figure: Figure) -> str:
    return f"{format_with_unit(figure.value, figure.unit)} ({figure.kind})"


class CapacityPage:
    """Renders the capacity page from rows."""

    def __init__(self, rows: dict[str, dict[str, Any]]) -> None:
        self.row_index = RowIndex(rows)
        self.derived: dict[str, Figure | None] = {}
        for name, each in DERIVED_ROWS.items():
            try:
                self.derived[name] = self.row_index.evaluate(each)
            except (NotRunError, ZeroDivisionError):
                self.derived[name] = None

    def render(self, text: str) -> str:
        """Renders the whole page from its text."""
        head = (
            "<!-- Made by `python benchmarks/scale.py page` from docs/capacity/: "
            "edit page.md.in there. -->\n\n"
        )
        # The table of missing runs is rendered last: it lists all keys that the page looked up.
        parts = [
            self.fill_tags(part)
            for part in re.split(r"(\{\{table missing\}\})", text)
            if part != "{{table missing}}"
        ]
        if len(parts) > 1:
            parts.insert(1, self.missing_runs_text())
        return head + "".join(parts)

    def fill_tags(self, text: str) -> str:
        return TAG_PATTERN.sub(lambda tag: self.expand_tag(tag[1].strip()), text)

    def expand_tag(self, tag: str) -> str:
        """Returns the text that replaces a tag."""
        if tag.startswith("table "):
            name, *rest = tag.split()[1:]
            if name not in ("roles", "over", "slopes", "options", "grown", "gossip", "next"):
                raise UnknownTagError(f"{{{{{tag}}}}}: no such table")
            return getattr(self, name)(*rest)
        name, _, form = tag.partition(":")
        if name.startswith("size."):
            if name[5:] not in STATED_SIZE:
                raise UnknownTagError(f"{{{{{tag}}}}}: no such figure of the users' size")
            return f"{STATED_SIZE[name[5:]]:,}"
        if name.startswith("worked."):
            return self.expand_derived_tag(name[7:], form, tag)
        key, _, at = name.partition("@")
        try:
            if form in ("exponent", "error"):
                row = self.row_index.row(key)
                if form == "exponent":
                    return f"{row['fit']['exponent']:.2f}" if "fit" in row else NOT_RUN
                return f"{row['checked']['error']:+.0%}" if "checked" in row else NOT_RUN
            figure = (
                self.row_index.slope_figure(key)
                if form == "slope"
                else self.row_index.figure(key, float(at) if at else None)
            )
        except NotRunError:
            return NOT_RUN
        if form not in ("", "bare", "slope"):
            raise UnknownTagError(f"{{{{{tag}}}}}: no such form")
        return format_number(figure.value) if form == "bare" else format_figure(figure)

    def expand_derived_tag(self, name: str, form: str, tag: str) -> str:
        if name not in DERIVED_ROWS:
            raise UnknownTagError(f"{{{{{tag}}}}}: no such row in capacity_rows.py")
        figure, budget = self.derived[name], DERIVED_ROWS[name].budget
        if form == "factor" and budget is None:
            raise UnknownTagError(f"{{{{{tag}}}}}: no budget")
        if figure is None:
            return NOT_RUN
        if form == "factor":
            return format_number(figure.value / budget)
        if form not in ("", "bare"):
            raise UnknownTagError(f"{{{{{tag}}}}}: no such form")
        return format_number(figure.value) if form == "bare" else format_figure(figure)

    # Tables.

    def roles(self, moment: str) -> str:
        """Renders the costs of each role at a moment (see `DerivedRow.moment`)."""
        rows = []
        for name, each in DERIVED_ROWS.items():
            if each.moment == moment:
                figure = self.derived[name]
                rows.append(
                    [
                        each.role,
                        each.what,
                        format_figure(figure) if figure else NOT_RUN,
                        self.describe_runs(figure),
                        format_with_unit(each.budget, each.unit)
                        if each.budget is not None
                        else "-",
                        self.format_budget_factor(name),
                        self.describe_mechanism(each, figure),
                    ]
                )
        if not rows:
            raise UnknownTagError(f"{{{{table roles {moment}}}}}: no such rows")
        return format_table(
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

    def describe_runs(self, figure: Figure | None) -> str:
        """Lists the keys of the runs behind a figure, with the slope of each row that has one."""
        if figure is None or not figure.keys:
            return "-"
        return ", ".join(
            f"`{key}`"
            + (
                f" ({format_number(self.row_index.rows[key]['fit']['slope'])} a unit of "
                f"{self.row_index.rows[key]['by']})"
                if "fit" in self.row_index.rows[key]
                else ""
            )
            for key in figure.keys
        )

    @staticmethod
    def describe_mechanism(row: DerivedRow, figure: Figure | None) -> str:
        """Names the mechanism, and says so where the run predates working sets of engines."""
        if figure and any(key.endswith(BEFORE_SUFFIX) for key in figure.keys):
            return row.mechanism.replace(
                WORKING_SET_MECHANISM, f"{WORKING_SET_MECHANISM} (not in this run)"
            )
        return row.mechanism

    def format_budget_factor(self, name: str) -> str:
        figure, budget = self.derived[name], DERIVED_ROWS[name].budget
        return (
            "-"
            if budget is None
            else NOT_RUN
            if figure is None
            else format_number(figure.value / budget)
        )

    def over(self) -> str:
        """Renders rows with a budget, highest factor first; rows without a run are listed below."""
        rows, unknown = [], []
        for name, each in DERIVED_ROWS.items():
            if each.budget is not None and each.moment not in SEPARATE_MOMENTS:
                if (figure := self.derived[name]) is None:
                    unknown.append(f"{each.role}: {each.what}")
                    continue
                factor = figure.value / each.budget
                verdict = (
                    "**over**" if factor > 1 else "close" if factor > CLOSE_FRACTION else "within"
                )
                rows.append(
                    (
                        -factor,
                        [
                            verdict,
                            format_number(factor),
                            each.role,
                            each.what,
                            format_figure(figure),
                            format_with_unit(each.budget, each.unit),
                            self.describe_mechanism(each, figure),
                        ],
                    )
                )
        rendered = format_table(
            ["", "factor", "role", "what", "figure", "budget", "carried by"],
            [row for _, row in sorted(rows, key=lambda each: each[0])],
        )
        return rendered + (
            f"\n\nWith a budget, and {NOT_RUN}: {'; '.join(unknown)}." if unknown else ""
        )

    def grown(self) -> str:
        """Renders how many times the fleet can grow before a row exceeds its budget."""
        found, flat = [], []
        for name, each in DERIVED_ROWS.items():
            figure = self.derived[name]
            if (
                each.budget is None
                or each.moment in SEPARATE_MOMENTS
                or figure is None
                or figure.value > each.budget
            ):
                continue
            try:
                times = next(
                    (
                        m
                        for m in GROWTH_FACTORS
                        if self.row_index.evaluate(each, m).value > each.budget
                    ),
                    None,
                )
            except NotRunError:
                times = None  # a run of a single size
            (found if times else flat).append((times, name))
        rows = [
            [
                format_number(times),
                f"{format_number(times * STATED_SIZE['gateways'])} and "
                f"{format_number(times * STATED_SIZE['engines'])}",
                DERIVED_ROWS[name].role,
                DERIVED_ROWS[name].what,
                DERIVED_ROWS[name].mechanism,
            ]
            for times, name in sorted(found)
        ]
        rest = (
            f"Not before {GROWTH_FACTORS[-1]:.0f} times, or without a slope: {len(flat)} rows."
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
        return (format_table(heads, rows) if rows else NOT_RUN) + f"\n\n{rest}".rstrip()

    def gossip(self, *losses: str) -> str:
        """Renders the simulated spread of a configuration change by gossip at the largest fleet."""
        rows = []
        for sort in "delta", "whole":
            for fanout in FANOUTS:
                ends = [f"f{fanout}.loss{loss}" for loss in losses]
                named = [
                    self.expand_tag(f"settings.gossip.{sort}.{what}.{end}:bare")
                    for end in ends
                    for what in ("time", "peak", "mean")
                ]
                rows.append([sort, str(fanout), *named])
        return format_table(
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
        """Renders the ranked list of missing mechanisms whose rows are over budget."""
        ranked = []
        for each in MISSING_MECHANISMS:
            found = {
                name: figure.value / DERIVED_ROWS[name].budget
                for name in each.rows
                if (figure := self.derived[name])
            }
            if found and max(found.values()) > 1:
                name = max(found, key=found.get)
                ranked.append((not each.serving, not each.absent, -found[name], each, name))
        lines = [
            f"{n}. **{each.title}**: {format_number(-factor)} times over "
            f"({DERIVED_ROWS[name].role}: {DERIVED_ROWS[name].what}, "
            f"{format_figure(self.derived[name])} against "
            f"{format_with_unit(DERIVED_ROWS[name].budget, DERIVED_ROWS[name].unit)})"
            f"{', wholly absent' if each.absent else ''}. Would take: {self.fill_tags(each.takes)}"
            for n, (_, _, factor, each, name) in enumerate(
                sorted(ranked, key=lambda row: row[:3]), 1
            )
        ]
        return "\n".join(lines) or "None that a run shows."

    def slopes(self, *prefixes: str) -> str:
        """Renders all stored rows whose key starts with one of the prefixes."""
        rows = []
        for key in sorted(key for key in self.row_index.rows if key.startswith(prefixes)):
            row = self.row_index.rows[key]
            points, fit, checked = row["points"], row.get("fit"), row.get("checked")
            rows.append(
                [
                    f"`{key}`",
                    row["what"],
                    row["unit"],
                    row["by"],
                    "; ".join(
                        f"{format_number(point['at'])}: {format_number(point['median'])}"
                        + (
                            f" ({format_number(point['least'])} to {format_number(point['most'])})"
                            if point["least"] != point["most"]
                            else ""
                        )
                        for point in points
                    ),
                    f"{format_number(fit['slope'])}, power {fit['exponent']:.2f}" if fit else "-",
                    f"{format_number(row['foretold']['value'])} at "
                    f"{format_number(row['foretold']['at'])}"
                    if "foretold" in row
                    else "-",
                    f"{format_number(checked['value'])} ({checked['kind']}), "
                    f"{checked['error']:+.0%}"
                    if checked
                    else "-",
                    row["kind"],
                ]
            )
        if not rows:
            self.row_index.missing_keys.update(prefixes)
            return f"{NOT_RUN}: nothing of `{', '.join(prefixes)}` was kept."
        return format_table(
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
        """Renders a comparison of options from the rows PREFIX.OPTION.FIGURE.

        Args:
            prefix: Prefix of the keys.
            names: Options, in the order of the columns.
        """
        figures = list(
            dict.fromkeys(
                key.rpartition(".")[2]
                for key in self.row_index.rows
                if key.rpartition(".")[0] in {f"{prefix}.{each}" for each in names}
            )
        )
        if not figures:
            self.row_index.missing_keys.add(prefix + ".")
            return f"{NOT_RUN}: nothing of `{prefix}.` was kept."
        rows = []
        for figure in figures:
            found = [self.row_index.rows.get(f"{prefix}.{each}.{figure}") for each in names]
            first = next(row for row in found if row)
            rows.append(
                [
                    first["what"].partition(": ")[2] or first["what"],
                    first["unit"] or "-",
                    *(
                        format_number(row["points"][-1]["median"]) if row else NOT_RUN
                        for row in found
                    ),
                    first["kind"],
                ]
            )
        return format_table(["what", "unit", *names, "kind"], rows)

    def missing_runs_text(self) -> str:
        if not self.row_index.missing_keys:
            return "Every figure that this page names has its run."
        return (
            "Named on this page, and no run has given it yet: "
            + ", ".join(f"`{key}`" for key in sorted(self.row_index.missing_keys))
            + "."
        )


def format_table(heads: list[str], rows: list[list[str]]) -> str:
    return "\n".join("| " + " | ".join(row) + " |" for row in [heads, ["---"] * len(heads), *rows])


def find_row_error(row: dict[str, Any]) -> str:
    """Checks that the derived figures of a stored row follow from its values.

    The fit is recalculated with the standard library, because CI has no numpy, which the run used.

    Returns:
        One line that describes the first error; empty where there is none.
    """
    key = row.get("key")
    if row["kind"] not in ROW_KINDS:
        return f"{key}: kind {row['kind']!r}"
    for point in row["points"]:
        for name, found in (
            ("median", median(point["values"])),
            ("least", min(point["values"])),
            ("most", max(point["values"])),
        ):
            if not is_close(point[name], found):
                return (
                    f"{key}: {name} at {point['at']} is {point[name]!r}, its values give {found!r}"
                )
    if "fit" in row:
        slope, base = linear_regression(
            [point["at"] for point in row["points"]], [point["median"] for point in row["points"]]
        )
        scale = max(abs(point["median"]) for point in row["points"])
        for name, found, room in (
            ("slope", slope, scale / max(point["at"] for point in row["points"])),
            ("base", base, scale),
        ):
            if not is_close(row["fit"][name], found, room):
                return f"{key}: {name} is {row['fit'][name]!r}, its points give {found!r}"
    foretold, checked = row.get("foretold"), row.get("checked")
    if (
        foretold
        and "fit" in row
        and not is_close(
            foretold["value"], found := row["fit"]["base"] + row["fit"]["slope"] * foretold["at"]
        )
    ):
        return f"{key}: foretold {foretold['value']!r}, its fit gives {found!r}"
    if (
        foretold
        and checked
        and checked["value"]
        and not is_close(
            checked["error"],
            found := (foretold["value"] - checked["value"]) / checked["value"],
        )
    ):
        return f"{key}: error {checked['error']!r}, its values give {found!r}"
    return ""


def is_close(one: float, other: float, scale: float = 0.0) -> bool:
    return isclose(one, other, rel_tol=1e-6, abs_tol=1e-6 * scale + 1e-12)


def find_first_difference(page: str, rendered: str) -> str:
    """Describes the first line in which the page differs from the rendered text; empty: none."""
    for number, (page_line, rendered_line) in enumerate(
        zip_longest(page.splitlines(), rendered.splitlines()), 1
    ):
        if page_line != rendered_line:
            return f"line {number}: the page has {page_line!r}, the rows give {rendered_line!r}"
    return ""


def find_page_difference(home: Path, page: Path) -> str:
    """Checks that the rows are consistent and that the page is rendered from rows and text.

    Returns:
        One line that describes the first error or difference; empty where there is none.
    """
    rows = load_rows(home)
    for row in rows.values():
        if problem := find_row_error(row):
            return f"{row['part']}.json: {problem}"
    rendered = CapacityPage(rows).render((home / "page.md.in").read_text())
    found = find_first_difference(page.read_text() if page.exists() else "", rendered)
    return found and f"{page.name}: {found}"


@click.command("page", epilog="Example: python benchmarks/scale.py page --check")
@click.option(
    "--check",
    is_flag=True,
    help="Write nothing; exit with 1 and name the line where page and rows differ.",
)
@click.option(
    "--json",
    "as_json",
    is_flag=True,
    help="Print the derived figures as JSON instead of writing the page.",
)
@click.option(
    "--home",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    default=CAPACITY_DIRECTORY,
    show_default=False,
    help="Directory of the rows and of the page's text (docs/capacity).",
)
@click.option(
    "--page",
    "page",
    type=click.Path(dir_okay=False, path_type=Path),
    default=CAPACITY_DIRECTORY.parent / "CAPACITY.md",
    show_default=False,
    help="Path of the page (docs/CAPACITY.md).",
)
def command(check: bool, as_json: bool, home: Path, page: Path) -> None:
    """Render docs/CAPACITY.md from docs/capacity/*.json and docs/capacity/page.md.in.

    Exit codes: 0 success, 1 difference (--check), 2 unknown tag in the text.
    """
    try:
        if check:
            if problem := find_page_difference(home, page):
                print(f"scale: {problem}", file=sys.stderr)
                sys.exit(1)
            return
        capacity_page = CapacityPage(load_rows(home))
        text = capacity_page.render((home / "page.md.in").read_text())
    except UnknownTagError as problem:
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
                        "budget": DERIVED_ROWS[name].budget,
                    }
                    for name, figure in capacity_page.derived.items()
                },
                indent=1,
            )
        )
        return
    page.write_text(text)
    print(
        f"{page}: {len(capacity_page.row_index.rows)} rows, "
        f"{len(capacity_page.row_index.missing_keys)} keys without a run",
        file=sys.stderr,
    )

"""Derives the figures of docs/CAPACITY.md from the stored rows of the benchmark runs.

This module defines the users' size, the lookup of stored rows and the evaluation of formulas; the
formulas and budgets are in capacity_rows.py. A measured figure is never written here: a formula
looks the figure up by its key. A figure that depends on a key without a run is shown as "not run".
"""

from collections.abc import Callable
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

# The users' size as the users stated it: an input of this project, not a measurement.
STATED_SIZE: dict[str, float] = {
    "gateways": 870,
    "engines": 1_800,
    "statements": 2_530,
    "fleet_statements": 2_200_000,
    "connections": 6_670,
    "fleet_connections": 5_800_000,
    "regions": 2,
    "zones": 5,
    "machines": 3,
    "primary_changes": 4,
    "primary_s": 9,
    "changes": 910,
    "change_s": 5,
    "core_percent": 3.3,
    "memory_mb": 128,
    "octets": 7_000,
    "fleet_octets": 6_100_000,
    "restarts": 540,
    "machine_failures": 4,
    "per_database": 1_220,
    "day": 86_400,
}
PEAK_FACTORS = {"mean": 1, "three": 3, "five": 5}  # readings of "several times the mean" traffic
BEFORE_SUFFIX = ".before"  # of keys measured before working sets of engines existed
# Of keys of fleets whose operator file disables peer health reports.
WITHOUT_SHARED_SUFFIX = ".without-shared"


# Fields of the users' size that grow with the fleet.
SCALED_FIELDS = (
    "gateways",
    "engines",
    "fleet_statements",
    "fleet_connections",
    "restarts",
    "machine_failures",
)


class FleetSize(SimpleNamespace):
    """The users' size, with the number of workload managers and databases multiplied.

    The load of each workload manager stays the same.
    """

    def __init__(self, times: float = 1.0) -> None:
        super().__init__(
            **{
                name: value * (times if name in SCALED_FIELDS else 1)
                for name, value in STATED_SIZE.items()
            }
        )


class NotRunError(LookupError):
    """No run has produced the row of this key yet."""


@dataclass(frozen=True)
class Figure:
    """A value with its unit, kind (see benchmarks/scaling.py) and the keys of its source rows."""

    value: float
    unit: str
    kind: str
    keys: tuple[str, ...] = ()


class RowIndex:
    """The stored rows by key; `missing_keys` collects the looked-up keys that have no row."""

    def __init__(self, rows: dict[str, dict[str, Any]]) -> None:
        self.rows, self.missing_keys = rows, set[str]()

    def row(self, key: str) -> dict[str, Any]:
        if key not in self.rows:
            self.missing_keys.add(key)
            raise NotRunError(key)
        return self.rows[key]

    def figure(self, key: str, at: float | None = None) -> Figure:
        """Returns the cost at a size, by default the largest size of the row.

        A cost that was measured or checked at the size takes precedence over an extrapolated one.
        """
        row = self.row(key)
        found = {point["at"]: (point["median"], row["kind"]) for point in row["points"]}
        if "checked" in row:
            found[row["checked"]["at"]] = row["checked"]["value"], row["checked"]["kind"]
        if at is None:
            at = max([*found, row["foretold"]["at"]] if "foretold" in row else found)
        if at in found:
            value, kind = found[at]
        elif "fit" in row:
            value, kind = row["fit"]["base"] + row["fit"]["slope"] * at, "foretold"
        else:
            raise NotRunError(f"{key} at {at:g}")
        return Figure(value, row["unit"], kind, (key,))

    def slope_figure(self, key: str) -> Figure:
        """Returns the cost of one more unit of the row's size."""
        row = self.row(key)
        if "fit" not in row:
            raise NotRunError(f"{key}: a slope")
        return Figure(row["fit"]["slope"], f"{row['unit']} for one more", row["kind"], (key,))

    def evaluate(self, row: "DerivedRow", times: float = 1.0) -> Figure:
        """Evaluates a derived row for a fleet `times` as large as the users' size.

        The figure has the kind of its source where it equals a single source figure, "foretold"
        where it is calculated from several sources, and "paper" where it has no source.
        """
        figures: list[Figure] = []

        def lookup(key: str, at: float | None = None, slope: bool = False) -> float:
            # A row that was checked at full size takes precedence over a row that is only
            # extrapolated. Where there is no run with working sets, or with peer health reports,
            # the run without them is used, and the figure names the key of that run.
            stored_keys = (
                [each for each in (key, key + WITHOUT_SHARED_SUFFIX) if each in self.rows]
                or [each for each in (key + BEFORE_SUFFIX,) if each in self.rows]
                or [key]
            )
            key = next(
                (each for each in stored_keys if "checked" in self.rows.get(each, ())),
                stored_keys[0],
            )
            figures.append(self.slope_figure(key) if slope else self.figure(key, at))
            return figures[-1].value

        value = float(row.formula(lookup, FleetSize(times)))
        kind = "paper" if not figures else "foretold"
        if len(figures) == 1 and figures[0].value == value:
            kind = figures[0].kind
        return Figure(
            value,
            row.unit,
            kind,
            tuple(dict.fromkeys(key for each in figures for key in each.keys)),
        )


Lookup = Callable[..., float]


@dataclass(frozen=True)
class DerivedRow:
    """One row of the page that a formula calculates.

    Attributes:
        role: Role that bears the cost.
        what: Description of the cost.
        unit: Unit of the cost and of the budget.
        formula: Takes `lookup(key, at)` and the size of the fleet and returns the cost.
        budget: Largest acceptable cost; None: the users stated none.
        moment: rest, day or worst; open: a reading of an ambiguous requirement; ways: an
            alternative that was considered.
        mechanism: Part of the program that determines the cost, and its file.
    """

    role: str
    what: str
    unit: str
    formula: Callable[[Lookup, FleetSize], float]
    budget: float | None = None
    moment: str = "day"
    mechanism: str = "none"


@dataclass(frozen=True)
class MissingMechanism:
    """A mechanism that the program lacks; the page lists it where one of its rows is over budget.

    Attributes:
        title: Title in the list.
        rows: Names of the derived rows that show the need.
        takes: What the mechanism would need, as page text with tags.
        serving: Whether requests cannot be served without the mechanism.
        absent: Whether no part of the mechanism exists yet.
    """

    title: str
    rows: tuple[str, ...]
    takes: str
    serving: bool = False
    absent: bool = False

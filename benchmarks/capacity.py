"""Figures worked out from the kept rows: what each role costs at the users' size, and the factor over its budget.

Owns the users' size, the budgets and every formula of docs/CAPACITY.md. Must never hold a figure
that a run gives: a formula asks for it by its key, and where no run has given that key yet, what
hangs on it is "not run".
"""

from collections.abc import Callable
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

# The users' size, in their words: what is handed to this project, not measured by it.
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
PEAK_FACTORS = {"mean": 1, "three": 3, "five": 5}  # "several times the mean", worked out for these
BEFORE_SUFFIX = ".before"  # of a key: as it was before the working set
WITHOUT_SHARED_SUFFIX = (
    ".without-shared"  # of a key: a fleet whose operator file switches findings off
)


SCALED_FIELDS = (
    "gateways",
    "engines",
    "fleet_statements",
    "fleet_connections",
    "restarts",
    "machine_failures",
)


class FleetSize(SimpleNamespace):
    """The users' size with `times` as many workload managers and databases; what each has to do stays."""

    def __init__(self, times: float = 1.0) -> None:
        super().__init__(
            **{
                name: value * (times if name in SCALED_FIELDS else 1)
                for name, value in STATED_SIZE.items()
            }
        )


class NotRunError(LookupError):
    """The key that no run has given yet."""


@dataclass(frozen=True)
class Figure:
    """A value with its unit, its kind (how it was come by) and the keys of the runs that it rests on."""

    value: float
    unit: str
    kind: str
    keys: tuple[str, ...] = ()


class RowIndex:
    """The kept rows, read by key and size. `missing` gathers the keys that were asked for and not there."""

    def __init__(self, rows: dict[str, dict[str, Any]]) -> None:
        self.rows, self.missing_keys = rows, set[str]()

    def row(self, key: str) -> dict[str, Any]:
        if key not in self.rows:
            self.missing_keys.add(key)
            raise NotRunError(key)
        return self.rows[key]

    def figure(self, key: str, at: float | None = None) -> Figure:
        """The cost at a size; without one, at the largest that the row tells of. What was measured or checked there
        goes before what the slope foretells.
        """
        row = self.row(key)
        found = {p["at"]: (p["median"], row["kind"]) for p in row["points"]}
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
        """The cost of one more of what the row goes by."""
        row = self.row(key)
        if "fit" not in row:
            raise NotRunError(f"{key}: a slope")
        return Figure(row["fit"]["slope"], f"{row['unit']} for one more", row["kind"], (key,))

    def evaluate(self, row: "DerivedRow", times: float = 1.0) -> Figure:
        """What a row comes to in a fleet `times` as large. Its kind: of the one figure that it is, unchanged;
        "foretold" where arithmetic joins what runs gave; "paper" where there was no run.
        """
        read: list[Figure] = []

        def lookup(key: str, at: float | None = None, slope: bool = False) -> float:
            # One that was checked at full size goes before one that is foretold alone; and where
            # the run after the mechanism, or with findings, is missing, the other stands in, under
            # its own name.
            there = (
                [each for each in (key, key + WITHOUT_SHARED_SUFFIX) if each in self.rows]
                or [each for each in (key + BEFORE_SUFFIX,) if each in self.rows]
                or [key]
            )
            key = next((each for each in there if "checked" in self.rows.get(each, ())), there[0])
            read.append(self.slope_figure(key) if slope else self.figure(key, at))
            return read[-1].value

        value = float(row.formula(lookup, FleetSize(times)))
        kind = "paper" if not read else "foretold"
        if len(read) == 1 and read[0].value == value:
            kind = read[0].kind
        return Figure(
            value, row.unit, kind, tuple(dict.fromkeys(key for each in read for key in each.keys))
        )


Lookup = Callable[..., float]


@dataclass(frozen=True)
class DerivedRow:
    """One row of the page: `formula` is given `ask(key, at)` and the size of the fleet. `budget` is in the
    row's unit, None: none was stated. `moment`: rest, day, worst; open: a reading of an open word;
    ways: a way that was weighed. `mechanism`: what carries the row, and its file.
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
    """A mechanism that is not there: the worked-out rows that show it, what it would take (text of the page, with
    tags), whether nothing is served without it, whether there is nothing of it yet. Told where a
    row is over budget.
    """

    title: str
    rows: tuple[str, ...]
    takes: str
    serving: bool = False
    absent: bool = False

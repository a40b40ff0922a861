"""Slopes: a cost measured at several sizes, fitted, foretold for full size, checked there; kept as JSON.

Owns the form of what `benchmarks/scale.py` measures (docs/capacity/PART.json), the fit, and the
bounds of a trial on one machine. Must never hold a figure that no run gave.

A row: {"key", "what", "unit", "by", "kind", "points": [{"at", "values", "median", "least",
"most"}], "fit": {"base", "slope", "exponent", "r2"}, "foretold": {"at", "value"}, "checked": {"at",
"value", "kind", "error"}, "command"}. `kind` is measured, hollow, simulated, foretold or paper;
"foretold" and "checked" may be missing.
"""

import json
import os
import platform
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from statistics import median
from typing import Any

CAPACITY_DIRECTORY = Path(__file__).resolve().parent.parent / "docs" / "capacity"
ROW_KINDS = "measured", "hollow", "simulated", "foretold", "paper"
MAX_PROCESS_COUNT = 300


class TrialTooLargeError(ValueError):
    """One line: which bound of a trial would be passed. The command ends with 2."""


def check_trial_size(processes: int, memory_mb: float) -> None:
    """Refuse a trial beforehand that would pass 300 processes or half of the machine's memory (MB)."""
    half = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**20 / 2
    if processes > MAX_PROCESS_COUNT:
        raise TrialTooLargeError(f"{processes} processes, {MAX_PROCESS_COUNT} at most")
    if memory_mb > half:
        raise TrialTooLargeError(f"{memory_mb:.0f} MB, {half:.0f} at most: half of this machine's")


def fit_slope(points: Sequence[tuple[float, float]]) -> dict[str, float]:
    """Least squares of cost in size: base + slope x size; and the exponent of a power law through the same points
    (0: flat, 1: linear), by numpy.
    """
    import numpy

    sizes, costs = (numpy.array(column, float) for column in zip(*points))
    slope, base = numpy.polyfit(sizes, costs, 1)
    spread = ((costs - costs.mean()) ** 2).sum()
    rest = ((costs - base - slope * sizes) ** 2).sum()
    exponent = numpy.polyfit(numpy.log(sizes), numpy.log(numpy.maximum(costs, 1e-12)), 1)[0]
    return {
        "base": float(base),
        "slope": float(slope),
        "exponent": float(exponent),
        "r2": float(1 - rest / spread) if spread > 0 else 1.0,
    }


def measure_slope(
    key: str,
    what: str,
    unit: str,
    by: str,
    sizes: Sequence[int],
    measure: Callable[[int], float],
    *,
    repeats: int = 3,
    kind: str = "measured",
    full: int | None = None,
    check: Callable[[int], float] | None = None,
    checked_as: str = "hollow",
    command: str = "",
) -> dict[str, Any]:
    """One row. `measure(size)` gives a cost in `unit`; `full` is the size it is foretold for, from the points alone,
    before `check(full)` measures it there (kind `checked_as`); the error is (foretold - checked) /
    checked.
    """
    assert kind in ROW_KINDS and checked_as in ROW_KINDS and len(sizes) >= 4
    points = []
    for size in sizes:
        values = [float(measure(size)) for _ in range(repeats)]
        points.append(
            {
                "at": size,
                "values": values,
                "median": median(values),
                "least": min(values),
                "most": max(values),
            }
        )
        print(
            f"{key}: {by} {size}: {median(values):.4g} {unit} ({min(values):.4g} to {max(values):.4g})",
            file=sys.stderr,
            flush=True,
        )
    row: dict[str, Any] = {
        "key": key,
        "what": what,
        "unit": unit,
        "by": by,
        "kind": kind,
        "points": points,
        "command": command,
        "fit": fit_slope([(p["at"], p["median"]) for p in points]),
    }
    if full is not None:
        row["foretold"] = {"at": full, "value": row["fit"]["base"] + row["fit"]["slope"] * full}
        if check is not None:
            found = float(check(full))
            error = (row["foretold"]["value"] - found) / found if found else 0.0
            row["checked"] = {"at": full, "value": found, "kind": checked_as, "error": error}
            print(
                f"{key}: foretold for {full}: {row['foretold']['value']:.4g} {unit}, {checked_as}: {found:.4g}, "
                f"error {error:+.0%}",
                file=sys.stderr,
                flush=True,
            )
    return row


def build_single_size_row(
    key: str,
    what: str,
    unit: str,
    by: str,
    at: float,
    values: Sequence[float],
    kind: str,
    command: str = "",
) -> dict[str, Any]:
    """A row of one size, without a slope."""
    assert kind in ROW_KINDS
    return {
        "key": key,
        "what": what,
        "unit": unit,
        "by": by,
        "kind": kind,
        "command": command,
        "points": [
            {
                "at": at,
                "values": [float(each) for each in values],
                "median": median(values),
                "least": min(values),
                "most": max(values),
            }
        ],
    }


def save_rows(part: str, rows: list[dict[str, Any]], home: Path = CAPACITY_DIRECTORY) -> Path:
    """Write the rows to PART.json beside the page; rows of other keys that it held stay, so that a part can be measured
    in several runs. Written whole or not at all.
    """
    file = home / f"{part}.json"
    held = (
        {row["key"]: row for row in json.loads(file.read_text())["rows"]} if file.exists() else {}
    )
    held.update((row["key"], row) for row in rows)
    said = {
        "part": part,
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "rows": [held[key] for key in sorted(held)],
    }
    home.mkdir(parents=True, exist_ok=True)
    whole = file.with_suffix(".new")
    whole.write_text(json.dumps(said, indent=1) + "\n")
    whole.replace(file)
    return file


def load_rows(home: Path = CAPACITY_DIRECTORY) -> dict[str, dict[str, Any]]:
    """All rows that were kept, by key; each with its part under "part"."""
    found = {}
    for file in sorted(home.glob("*.json")):
        said = json.loads(file.read_text())
        for row in said["rows"]:
            found[row["key"]] = {**row, "part": said["part"]}
    return found

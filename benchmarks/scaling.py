"""Measures a cost at several sizes, fits a line, extrapolates to full size and stores rows as JSON.

This module defines the format of the rows that `benchmarks/scale.py` writes to
docs/capacity/PART.json, the fit, and the limits of a trial on one machine. A row only holds
figures that a run produced.

A row: {"key", "what", "unit", "by", "kind", "points": [{"at", "values", "median", "least",
"most"}], "fit": {"base", "slope", "exponent", "r2"}, "foretold": {"at", "value"}, "checked": {"at",
"value", "kind", "error"}, "command"}. `kind` is measured, hollow (real processes without client
traffic), simulated, foretold (extrapolated) or paper (calculated without a run). "foretold" and
"checked" are optional.
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
    """A trial would exceed a limit, which the one-line message names. The command exits with 2."""


def check_trial_size(processes: int, memory_mb: float) -> None:
    """Rejects a trial that needs more than 300 processes or half of the machine's memory (MB)."""
    half_memory_mb = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**20 / 2
    if processes > MAX_PROCESS_COUNT:
        raise TrialTooLargeError(f"{processes} processes, {MAX_PROCESS_COUNT} at most")
    if memory_mb > half_memory_mb:
        raise TrialTooLargeError(
            f"{memory_mb:.0f} MB, {half_memory_mb:.0f} at most: half of this machine's"
        )


def fit_slope(points: Sequence[tuple[float, float]]) -> dict[str, float]:
    """Fits cost = base + slope * size by least squares, and a power law through the same points.

    Args:
        points: Pairs of size and cost.

    Returns:
        Base, slope and R² of the line, and the exponent of the power law (0: constant, 1: linear).
    """
    import numpy

    sizes, costs = (numpy.array(column, float) for column in zip(*points))
    slope, base = numpy.polyfit(sizes, costs, 1)
    total_squares = ((costs - costs.mean()) ** 2).sum()
    residual_squares = ((costs - base - slope * sizes) ** 2).sum()
    exponent = numpy.polyfit(numpy.log(sizes), numpy.log(numpy.maximum(costs, 1e-12)), 1)[0]
    return {
        "base": float(base),
        "slope": float(slope),
        "exponent": float(exponent),
        "r2": float(1 - residual_squares / total_squares) if total_squares > 0 else 1.0,
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
    """Measures a cost at several sizes and builds a row with the fitted slope.

    The cost at full size is extrapolated from the points alone, before `check` measures the cost
    there. The error is (extrapolated - checked) / checked.

    Args:
        key: Key of the row.
        what: Description of the cost.
        unit: Unit of the cost.
        by: Unit of the size.
        sizes: Sizes to measure, four at least.
        measure: Returns the cost at a size, in `unit`.
        repeats: Number of measurements at each size.
        kind: Kind of the measured points.
        full: Size to extrapolate to; None: no extrapolation.
        check: Returns the cost at `full`, to compare with the extrapolated cost; None: no check.
        checked_as: Kind of the checked cost.
        command: Command that reproduces the row.
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
            f"{key}: {by} {size}: {median(values):.4g} {unit} "
            f"({min(values):.4g} to {max(values):.4g})",
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
        "fit": fit_slope([(point["at"], point["median"]) for point in points]),
    }
    if full is not None:
        row["foretold"] = {"at": full, "value": row["fit"]["base"] + row["fit"]["slope"] * full}
        if check is not None:
            found = float(check(full))
            error = (row["foretold"]["value"] - found) / found if found else 0.0
            row["checked"] = {"at": full, "value": found, "kind": checked_as, "error": error}
            print(
                f"{key}: extrapolated to {full}: {row['foretold']['value']:.4g} {unit}, "
                f"{checked_as}: {found:.4g}, error {error:+.0%}",
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
    """Builds a row of one size, without a slope."""
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


def save_rows(part: str, rows: list[dict[str, Any]], directory: Path = CAPACITY_DIRECTORY) -> Path:
    """Writes the rows to PART.json and keeps the stored rows with other keys.

    A part can therefore be measured in several runs. The file is replaced atomically, so that an
    interrupted write leaves the previous rows.

    Returns:
        Path of the written file.
    """
    file = directory / f"{part}.json"
    rows_by_key = (
        {row["key"]: row for row in json.loads(file.read_text())["rows"]} if file.exists() else {}
    )
    rows_by_key.update((row["key"], row) for row in rows)
    document = {
        "part": part,
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "rows": [rows_by_key[key] for key in sorted(rows_by_key)],
    }
    directory.mkdir(parents=True, exist_ok=True)
    temporary_file = file.with_suffix(".new")
    temporary_file.write_text(json.dumps(document, indent=1) + "\n")
    temporary_file.replace(file)
    return file


def load_rows(directory: Path = CAPACITY_DIRECTORY) -> dict[str, dict[str, Any]]:
    """Reads all stored rows by key; each row has the name of its part under "part"."""
    found = {}
    for file in sorted(directory.glob("*.json")):
        document = json.loads(file.read_text())
        for row in document["rows"]:
            found[row["key"]] = {**row, "part": document["part"]}
    return found

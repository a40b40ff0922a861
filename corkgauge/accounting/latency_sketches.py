"""How long things take, as sketches that add up over gateways.

Owns a sketch of latency and of wait for each offering and of service for each engine: DDSketch (Masson, Rim,
Lee, VLDB 2019), by the library of its authors. Free of I/O. Must never keep a sample itself, nor a sketch for
anything that a client names. Times in are tenths of a millisecond, times out are seconds.
"""

from collections.abc import Iterable, Mapping
from typing import Any

from ddsketch import DDSketch

LATENCY, WAIT, SERVICE = "latency", "wait", "service"
BOUNDS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)
SCALE = 1e-4  # seconds in a tenth of a millisecond


class LatencySketches:
    """One method for each thing that is timed."""

    def __init__(self, error: float) -> None:
        self.error = error
        self.sketches: dict[tuple[str, str], DDSketch] = {}

    def answered(self, request_class: str, span: int) -> None:
        self._add(LATENCY, request_class, span)

    def handed_off(self, request_class: str, span: int) -> None:
        """From when it was taken to its first hand-off."""
        self._add(WAIT, request_class, span)

    def honoured(self, engine: str, span: int) -> None:
        self._add(SERVICE, engine, span)

    def engine_gone(self, engine: str, into: str) -> None:
        """Danger: engines under new ids all day would grow without end; what they were adds up in one."""
        if gone := self.sketches.pop((SERVICE, engine), None):
            self._sketch(SERVICE, into).merge(gone)

    def _sketch(self, what: str, whose: str) -> DDSketch:
        found = self.sketches.get((what, whose))
        if found is None:
            found = self.sketches[what, whose] = DDSketch(self.error)
        return found

    def _add(self, what: str, whose: str, span: int) -> None:
        self._sketch(what, whose).add(max(span, 1))

    def told(self) -> list[dict[str, Any]]:
        """All sketches, ready for JSON: bins by key, as `added` reads them."""
        return [told(what, whose, sketch) for (what, whose), sketch in self.sketches.items()]


def told(what: str, whose: str, sketch: DDSketch) -> dict[str, Any]:
    store = sketch._store
    return {
        "what": what,
        "whose": whose,
        "error": sketch._relative_accuracy,
        "count": int(sketch.count),
        "sum": sketch.sum * SCALE,
        "bins": {
            str(n + store.offset): int(weight) for n, weight in enumerate(store.bins) if weight
        },
    }


def read(said: Mapping[str, Any]) -> DDSketch:
    """A sketch as it was told. Its sum is what its bins say; `sum` beside it is exact."""
    sketch = DDSketch(said["error"])
    for key, weight in said["bins"].items():
        sketch.add(sketch._mapping.value(int(key)), weight)
    return sketch


def added(several: Iterable[Mapping[str, Any]]) -> dict[str, Any]:
    """Several sketches of one thing, as one.

    >>> one, other = LatencySketches(0.02), LatencySketches(0.02)
    >>> for span in range(1, 1000): (one if span % 2 else other).answered("a", span)
    >>> both = added(one.told() + other.told())
    >>> both["count"], abs(quantile(both, 0.5) - 0.05) < 0.002
    (999, True)
    """
    first, *rest = several
    sketch = read(first)
    for each in rest:
        sketch.merge(read(each))
    said = told(first["what"], first["whose"], sketch)
    return {**said, "sum": first["sum"] + sum(each["sum"] for each in rest)}


def quantile(said: Mapping[str, Any], part: float) -> float:
    """Seconds."""
    return (read(said).get_quantile_value(part) or 0.0) * SCALE


def buckets(said: Mapping[str, Any]) -> list[tuple[str, float]]:
    """Cumulative counts by upper bound in seconds, the last one +Inf; a bin counts where its middle lies."""
    sketch = DDSketch(said["error"])
    middles = sorted(
        (sketch._mapping.value(int(key)) * SCALE, weight) for key, weight in said["bins"].items()
    )
    found, at, count = [], 0, 0
    for bound in BOUNDS:
        while at < len(middles) and middles[at][0] <= bound:
            count += middles[at][1]
            at += 1
        found.append((str(bound), float(count)))
    return [*found, ("+Inf", float(said["count"]))]

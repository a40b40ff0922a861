"""Records latencies in sketches that can be merged across gateways.

Owns a sketch of latency and of waiting time for each request class, and of service time for each
engine: DDSketch (Masson, Rim, Lee, VLDB 2019), in the implementation of its authors. Free of I/O.
No samples are stored, and there is no sketch for any name that a client chooses. Times are recorded
in tenths of a millisecond and reported in seconds.
"""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from ddsketch import DDSketch

LATENCY = "latency"  # of requests, from acceptance to their answer, by request class
WAIT = "wait"  # of requests, from acceptance to their first attempt, by request class
SERVICE = "service"  # of attempts that succeeded, by engine
# Upper bounds of the buckets of exported histograms.
HISTOGRAM_BOUNDS_SECONDS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
)
SECONDS_PER_TICK = 1e-4

SketchFields = Mapping[str, Any]
"""A sketch as a dict that JSON can encode, with bins by key.

The keys are `{"what", "whose", "error", "count", "sum", "bins"}`.
"""


class Subject(NamedTuple):
    """The subject of a sketch: a measured time, and a request class or engine."""

    measure: str  # LATENCY, WAIT or SERVICE
    owner: str  # name of the request class or engine


class LatencySketches:
    """Records times; each measured time has its own method.

    `relative_error` is the relative error of quantiles. Spans are tenths of a millisecond.
    """

    def __init__(self, relative_error: float) -> None:
        self.relative_error = relative_error
        self.sketches: dict[Subject, DDSketch] = {}

    def record_answered(self, request_class: str, span_ticks: int) -> None:
        """Record the time from a request's acceptance to its answer."""
        self._add(Subject(LATENCY, request_class), span_ticks)

    def record_first_attempt(self, request_class: str, span_ticks: int) -> None:
        """Record the time from a request's acceptance to its first attempt."""
        self._add(Subject(WAIT, request_class), span_ticks)

    def record_succeeded(self, engine: str, span_ticks: int) -> None:
        """Record the service time of an attempt that succeeded."""
        self._add(Subject(SERVICE, engine), span_ticks)

    def merge_engine(self, engine: str, into: str) -> None:
        """Merge the sketch of a removed engine into the sketch of `into`.

        Without this, engines that are replaced under new ids all day would grow the table without
        limit.
        """
        removed = self.sketches.pop(Subject(SERVICE, engine), None)
        if removed is not None:
            self._get_sketch(Subject(SERVICE, into)).merge(removed)

    def fields(self) -> list[dict[str, Any]]:
        """Return all sketches as dicts, which JSON can encode and the functions below accept."""
        return [_encode(subject, sketch) for subject, sketch in self.sketches.items()]

    def _get_sketch(self, subject: Subject) -> DDSketch:
        sketch = self.sketches.get(subject)
        if sketch is None:
            sketch = self.sketches[subject] = DDSketch(self.relative_error)
        return sketch

    def _add(self, subject: Subject, span_ticks: int) -> None:
        # A span of 0 is recorded as 1 tick, because the bins of a sketch do not contain zeros.
        self._get_sketch(subject).add(max(span_ticks, 1))


def merge_sketches(sketches: Iterable[SketchFields]) -> dict[str, Any]:
    """Merge sketches of one subject.

    >>> one, other = LatencySketches(0.02), LatencySketches(0.02)
    >>> for span in range(1, 1000): (one if span % 2 else other).record_answered("a", span)
    >>> both = merge_sketches(one.fields() + other.fields())
    >>> both["count"], abs(quantile(both, 0.5) - 0.05) < 0.002
    (999, True)
    """
    first, *others = sketches
    sketch = _decode(first)
    for other in others:
        sketch.merge(_decode(other))
    merged = _encode(Subject(first["what"], first["whose"]), sketch)
    # A decoded sketch has only an approximate sum, derived from its bins.
    merged["sum"] = first["sum"] + sum(other["sum"] for other in others)
    return merged


def quantile(fields: SketchFields, fraction: float) -> float:
    """Return the quantile for a fraction from 0 to 1, in seconds; 0 for an empty sketch."""
    return (_decode(fields).get_quantile_value(fraction) or 0.0) * SECONDS_PER_TICK


def cumulative_buckets(fields: SketchFields) -> list[tuple[str, float]]:
    """Return cumulative counts by upper bound in seconds, the last one `+Inf`.

    A bin of the sketch counts in the bucket that contains the representative value of the bin.
    """
    mapping = DDSketch(fields["error"])._mapping
    bins = sorted(
        (mapping.value(int(key)) * SECONDS_PER_TICK, weight)
        for key, weight in fields["bins"].items()
    )
    found = list[tuple[str, float]]()
    next_bin = 0
    count = 0
    for bound in HISTOGRAM_BOUNDS_SECONDS:
        while next_bin < len(bins) and bins[next_bin][0] <= bound:
            count += bins[next_bin][1]
            next_bin += 1
        found.append((str(bound), float(count)))
    return [*found, ("+Inf", float(fields["count"]))]


def _encode(subject: Subject, sketch: DDSketch) -> dict[str, Any]:
    store = sketch._store
    bins = enumerate(store.bins, store.offset)
    return {
        "what": subject.measure,
        "whose": subject.owner,
        "error": sketch._relative_accuracy,
        "count": int(sketch.count),
        "sum": sketch.sum * SECONDS_PER_TICK,
        "bins": {str(key): int(weight) for key, weight in bins if weight},
    }


def _decode(fields: SketchFields) -> DDSketch:
    sketch = DDSketch(fields["error"])
    for key, weight in fields["bins"].items():
        sketch.add(sketch._mapping.value(int(key)), weight)
    return sketch

"""Renders a snapshot as Prometheus text in chunks, using prometheus-client.

Owns the names and labels of the metrics; their meaning must never change. Rendering the text of a
fleet takes long, so the text is rendered in chunks of a few samples, and the event loop handles
other events between two chunks. The snapshot does not change meanwhile.
"""

from collections.abc import Iterable, Iterator, Mapping
from itertools import chain, islice
from typing import Any, NamedTuple

from prometheus_client import generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from corkgauge.accounting.counter_names import ATTEMPT_KIND_NAMES, END_REASONS, TERM_NAMES
from corkgauge.accounting.latency_sketches import SERVICE, cumulative_buckets
from corkgauge.accounting.snapshot import Snapshot

CHUNK_SAMPLE_COUNT = 32
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
TICKS_PER_SECOND = 10_000
CONNECTION_METRICS = (
    ("up", "Connections that came up."),
    ("ended", "Connections that ended."),
    ("received", "Bytes read."),
    ("sent", "Bytes written."),
)
FLOW_STATES = "measured", "told", "held", "dropped", "unsure", "repeated"

Rows = Mapping[str, Mapping[str, Any]]


class Sample(NamedTuple):
    """A value and its label values, except for the gateway label, which all samples have."""

    labels: tuple[str, ...]
    value: float


class Family(NamedTuple):
    """A metric: its type, name and help text, the names of its labels, and its samples."""

    kind: type[CounterMetricFamily] | type[GaugeMetricFamily]
    name: str
    help: str
    labels: tuple[str, ...]
    samples: Iterable[Sample]


class SingleFamilyRegistry:
    """A registry that contains one family, for `generate_latest`."""

    def __init__(self, family: Metric) -> None:
        self.family = family

    def collect(self) -> Iterable[Metric]:
        """Return the only family."""
        return (self.family,)


def render_text_chunks(snapshot: Snapshot) -> Iterator[bytes]:
    """Yield the text of a snapshot, in chunks that each take about a millisecond at most."""
    gateway = snapshot["gateway"]
    families = chain(
        _request_class_families(snapshot["offerings"]),
        _engine_families(snapshot["engines"]),
        _connection_families(snapshot["connections"]),
        _audit_families(snapshot["audit"]),
        _epoch_families(snapshot["epoch"]),
        _flow_families(snapshot.get("flows", {})),
    )
    for family in families:
        yield from _family_chunks(gateway, family)
    yield from _histogram_chunks(gateway, snapshot.get("waits", ()))


# The families, in the order of the text. Samples are generated only when they are written.


def _request_class_families(rows: Rows) -> Iterator[Family]:
    yield Family(
        CounterMetricFamily,
        "corkgauge_submissions_taken",
        "Submissions taken.",
        ("offering",),
        _samples_of(rows, "taken"),
    )
    yield Family(
        CounterMetricFamily,
        "corkgauge_submissions_ended",
        "Submissions that have their end, by term and reason.",
        ("offering", "term", "reason"),
        _samples_by_reason(rows),
    )
    yield Family(
        GaugeMetricFamily,
        "corkgauge_submissions_open",
        "Submissions open.",
        ("offering",),
        _samples_of(rows, "open"),
    )
    yield Family(
        CounterMetricFamily,
        "corkgauge_handoffs",
        "Hand-offs, by offering and sort.",
        ("offering", "sort"),
        _samples_by_key(rows, ATTEMPT_KIND_NAMES),
    )


def _engine_families(rows: Rows) -> Iterator[Family]:
    yield Family(
        CounterMetricFamily,
        "corkgauge_engine_handoffs",
        "Hand-offs, by engine and sort.",
        ("engine", "sort"),
        _samples_by_key(rows, ATTEMPT_KIND_NAMES),
    )
    yield Family(
        CounterMetricFamily,
        "corkgauge_engine_outcomes",
        "How hand-offs ended, by engine.",
        ("engine", "outcome"),
        _samples_by_outcome(rows),
    )
    yield Family(
        GaugeMetricFamily,
        "corkgauge_engine_out",
        "Hand-offs out.",
        ("engine",),
        _samples_of(rows, "out"),
    )
    yield Family(
        CounterMetricFamily,
        "corkgauge_engine_pages",
        "Pages of results that came.",
        ("engine",),
        _samples_of(rows, "pages"),
    )


def _connection_families(rows: Rows) -> Iterator[Family]:
    for key, help_text in CONNECTION_METRICS:
        yield Family(
            CounterMetricFamily,
            f"corkgauge_connection_{key}",
            help_text,
            ("side",),
            _samples_of(rows, key),
        )


def _audit_families(audit: Mapping[str, Any]) -> Iterator[Family]:
    yield Family(
        GaugeMetricFamily,
        "corkgauge_figures_alarm",
        "1 while a finding is held.",
        (),
        [Sample((), float(audit["alarm"]))],
    )
    yield Family(
        CounterMetricFamily,
        "corkgauge_figures_passes",
        "Passes over the books.",
        (),
        [Sample((), audit["passes"])],
    )
    yield Family(
        GaugeMetricFamily,
        "corkgauge_figures_finding",
        "What does not add up, by how much.",
        ("kind", "row"),
        [Sample((each["kind"], each["row"]), each["difference"]) for each in audit["findings"]],
    )


def _epoch_families(epoch: Mapping[str, Any]) -> Iterator[Family]:
    yield Family(
        GaugeMetricFamily,
        "corkgauge_epoch_started_seconds",
        "When these counts began.",
        ("epoch",),
        [Sample((epoch["id"],), epoch["started"] / TICKS_PER_SECOND)],
    )


def _flow_families(rows: Rows) -> Iterator[Family]:
    yield Family(
        GaugeMetricFamily,
        "corkgauge_flow_octets",
        "Octets of flows, by what became of them.",
        ("queue", "state"),
        _samples_by_key(rows, FLOW_STATES),
    )
    yield Family(
        GaugeMetricFamily,
        "corkgauge_flow_collector_up",
        "1 while a collector is up.",
        ("queue", "collector"),
        _samples_by_collector(rows),
    )


def _samples_of(rows: Rows, key: str) -> Iterator[Sample]:
    for name, row in rows.items():
        yield Sample((name,), row[key])


def _samples_by_key(rows: Rows, keys: Iterable[str]) -> Iterator[Sample]:
    for name, row in rows.items():
        for key in keys:
            yield Sample((name, key), row[key])


def _samples_by_reason(rows: Rows) -> Iterator[Sample]:
    for name, row in rows.items():
        for term, reason in END_REASONS:
            yield Sample((name, TERM_NAMES[term], reason), row["reasons"][reason])


def _samples_by_outcome(rows: Rows) -> Iterator[Sample]:
    for name, row in rows.items():
        for outcome, count in row["outcomes"].items():
            yield Sample((name, outcome), count)


def _samples_by_collector(rows: Rows) -> Iterator[Sample]:
    for name, row in rows.items():
        for collector, state in row["collectors"].items():
            yield Sample((name, collector), float(state == "up"))


# The text of the families.


def _family_chunks(gateway: str, family: Family) -> Iterator[bytes]:
    remaining = iter(family.samples)
    is_first = True
    while part := [*islice(remaining, CHUNK_SAMPLE_COUNT)]:
        metric = family.kind(family.name, family.help, labels=("gateway", *family.labels))
        for sample in part:
            metric.add_metric([gateway, *sample.labels], sample.value)
        yield _text_of(metric, is_first)
        is_first = False


def _histogram_chunks(gateway: str, sketches: Iterable[Mapping[str, Any]]) -> Iterator[bytes]:
    with_heading = set[str]()
    for sketch in sorted(sketches, key=lambda each: (each["what"], each["whose"])):
        what = sketch["what"]
        subject_label = "engine" if what == SERVICE else "offering"
        metric = HistogramMetricFamily(
            f"corkgauge_{what}_seconds",
            f"{what.capitalize()}, in seconds.",
            labels=("gateway", subject_label),
        )
        metric.add_metric([gateway, sketch["whose"]], cumulative_buckets(sketch), sketch["sum"])
        yield _text_of(metric, what not in with_heading)
        with_heading.add(what)


def _text_of(metric: Metric, with_heading: bool) -> bytes:
    """Return the text of a metric; only the first chunk of a family has a heading."""
    text = generate_latest(SingleFamilyRegistry(metric))
    if with_heading:
        return text
    return b"".join(line for line in text.splitlines(True) if not line.startswith(b"#"))

"""A cut as Prometheus text, through prometheus-client, a piece at a time.

Owns the names of the metrics. Must never hold the loop for a whole fleet: it yields after every few rows, and
the cut that it reads stays what it was.
"""

from collections.abc import Iterable, Iterator
from itertools import islice
from typing import Any

from prometheus_client import generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from corkgauge.accounting.counter_names import SORTS
from corkgauge.accounting.latency_sketches import buckets
from corkgauge.accounting.snapshot import Cut

ROWS = 32  # of one piece
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
Sample = tuple[list[str], float]


class Once:
    """A registry of one family, as `generate_latest` asks for it."""

    def __init__(self, family: Metric) -> None:
        self.family = family

    def collect(self) -> Iterable[Metric]:
        return (self.family,)


def pieces(cut: Cut) -> Iterator[bytes]:
    """The whole text of a cut, in pieces that each take less than a millisecond or so."""
    gateway = cut["gateway"]

    def family(
        kind: Any, name: str, text: str, labels: tuple[str, ...], samples: Iterable[Sample]
    ) -> Iterator[bytes]:
        left, first = iter(samples), True
        while part := [*islice(left, ROWS)]:
            one = kind(name, text, labels=("gateway", *labels))
            for values, value in part:
                one.add_metric([gateway, *values], value)
            yield _text(one, first)
            first = False

    request_classes, engines = cut["offerings"].items(), cut["engines"].items()
    yield from family(
        CounterMetricFamily,
        "corkgauge_submissions_taken",
        "Submissions taken.",
        ("offering",),
        (([name], row["taken"]) for name, row in request_classes),
    )
    yield from family(
        CounterMetricFamily,
        "corkgauge_submissions_ended",
        "Submissions that have their end, by term and reason.",
        ("offering", "term", "reason"),
        _ends(request_classes),
    )
    yield from family(
        GaugeMetricFamily,
        "corkgauge_submissions_open",
        "Submissions open.",
        ("offering",),
        (([name], row["open"]) for name, row in request_classes),
    )
    yield from family(
        CounterMetricFamily,
        "corkgauge_handoffs",
        "Hand-offs, by offering and sort.",
        ("offering", "sort"),
        _by_sort(request_classes),
    )
    yield from family(
        CounterMetricFamily,
        "corkgauge_engine_handoffs",
        "Hand-offs, by engine and sort.",
        ("engine", "sort"),
        _by_sort(engines),
    )
    yield from family(
        CounterMetricFamily,
        "corkgauge_engine_outcomes",
        "How hand-offs ended, by engine.",
        ("engine", "outcome"),
        (
            ([name, outcome], count)
            for name, row in engines
            for outcome, count in row["outcomes"].items()
        ),
    )
    yield from family(
        GaugeMetricFamily,
        "corkgauge_engine_out",
        "Hand-offs out.",
        ("engine",),
        (([name], row["out"]) for name, row in engines),
    )
    yield from family(
        CounterMetricFamily,
        "corkgauge_engine_pages",
        "Pages of results that came.",
        ("engine",),
        (([name], row["pages"]) for name, row in engines),
    )
    sides = cut["connections"].items()
    for key, text in (
        ("up", "Connections that came up."),
        ("ended", "Connections that ended."),
        ("received", "Bytes read."),
        ("sent", "Bytes written."),
    ):
        yield from family(
            CounterMetricFamily,
            f"corkgauge_connection_{key}",
            text,
            ("side",),
            (([name], row[key]) for name, row in sides),
        )
    audit = cut["audit"]
    yield from family(
        GaugeMetricFamily,
        "corkgauge_figures_alarm",
        "1 while a finding is held.",
        (),
        [([], float(audit["alarm"]))],
    )
    yield from family(
        CounterMetricFamily,
        "corkgauge_figures_passes",
        "Passes over the books.",
        (),
        [([], audit["passes"])],
    )
    yield from family(
        GaugeMetricFamily,
        "corkgauge_figures_finding",
        "What does not add up, by how much.",
        ("kind", "row"),
        (([each["kind"], each["row"]], each["difference"]) for each in audit["findings"]),
    )
    yield from family(
        GaugeMetricFamily,
        "corkgauge_epoch_started_seconds",
        "When these counts began.",
        ("epoch",),
        [([cut["epoch"]["id"]], cut["epoch"]["started"] / 10_000)],
    )
    flows = cut.get("flows", {}).items()
    yield from family(
        GaugeMetricFamily,
        "corkgauge_flow_octets",
        "Octets of flows, by what became of them.",
        ("queue", "state"),
        (
            ([name, state], row[state])
            for name, row in flows
            for state in ("measured", "told", "held", "dropped", "unsure", "repeated")
        ),
    )
    yield from family(
        GaugeMetricFamily,
        "corkgauge_flow_collector_up",
        "1 while a collector is up.",
        ("queue", "collector"),
        (
            ([name, collector], float(state == "up"))
            for name, row in flows
            for collector, state in row["collectors"].items()
        ),
    )
    yield from _histograms(gateway, cut.get("waits", ()))


def _by_sort(rows: Any) -> Iterator[Sample]:
    return (([name, sort], row[sort]) for name, row in rows for sort in SORTS)


def _ends(request_classes: Any) -> Iterator[Sample]:
    from corkgauge.accounting.counter_names import REASONS, TERMS

    for name, row in request_classes:
        for term, reason in REASONS:
            yield [name, TERMS[term], reason], row["reasons"][reason]


def _histograms(gateway: str, waits: Iterable[dict[str, Any]]) -> Iterator[bytes]:
    seen = set[str]()
    for each in sorted(waits, key=lambda one: (one["what"], one["whose"])):
        one = HistogramMetricFamily(
            f"corkgauge_{each['what']}_seconds",
            f"{each['what'].capitalize()}, in seconds.",
            labels=("gateway", "engine" if each["what"] == "service" else "offering"),
        )
        one.add_metric([gateway, each["whose"]], buckets(each), each["sum"])
        yield _text(one, each["what"] not in seen)
        seen.add(each["what"])


def _text(family: Metric, with_head: bool) -> bytes:
    text = generate_latest(Once(family))
    if with_head:
        return text
    return b"".join(line for line in text.splitlines(True) if not line.startswith(b"#"))

"""Decoded records as rows of one form, whatever their layout; and their octets by hall, engine and minute.

Owns the columns that reports and files have. Free of I/O.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any

from corkgauge.flow_export.decoder import Heard
from corkgauge.flow_export.elements import EGRESS

COLUMNS = (
    "gateway",
    "domain",
    "side",
    "source",
    "source_port",
    "target",
    "target_port",
    "engine",
    "hall",
    "first_ms",
    "last_ms",
    "forward",
    "reverse",
    "reason",
    "flows",
)
REASONS = {1: "idle", 2: "active", 3: "ended", 4: "forced", 5: "merged"}
MINUTE = 60_000
Row = dict[str, Any]


def rows_of(heard: Heard) -> Iterator[Row]:
    """A row a record; times are milliseconds of the exporter's clock."""
    began = heard.exported * 1000 - heard.uptime
    for record in heard.records:
        if "flowStartSysUpTime" in record:
            first, last = (began + record[f"flow{end}SysUpTime"] for end in ("Start", "End"))
        else:
            first, last = (
                record.get("flowStartMilliseconds", 0),
                record.get("flowEndMilliseconds", 0),
            )
        addresses = {
            end: record.get(f"{end}IPv4Address") or record.get(f"{end}IPv6Address") or ""
            for end in ("source", "destination")
        }
        yield {
            "gateway": record.get("gatewayName", ""),
            "domain": heard.domain,
            "side": "engine" if record.get("flowDirection") == EGRESS else "client",
            "source": addresses["source"],
            "source_port": record.get("sourceTransportPort", 0),
            "target": addresses["destination"],
            "target_port": record.get("destinationTransportPort", 0),
            "engine": record.get("engineId", ""),
            "hall": record.get("hallName", ""),
            "first_ms": first,
            "last_ms": last,
            "forward": record.get("octetDeltaCount", 0),
            "reverse": record.get("reverseOctetDeltaCount", record.get("postOctetDeltaCount", 0)),
            "reason": REASONS.get(record.get("flowEndReason", 5), "?"),
            "flows": record.get("deltaFlowCount", 1),
        }


def by_minute(
    rows: Iterable[Row], span: int = MINUTE
) -> dict[tuple[str, str], dict[int, tuple[int, int]]]:
    """By hall and engine, then by the start of each span in ms: octets sent to engines, and got from them. A
    record's octets are spread evenly over its time. Engines without a name go by their address.

    >>> by_minute([{"side": "engine", "hall": "a", "engine": "e1", "first_ms": 30_000, "last_ms": 90_000,
    ...             "forward": 100, "reverse": 10}])
    {('a', 'e1'): {0: (50, 5), 60000: (50, 5)}}
    """
    sums: dict[tuple[str, str], dict[int, list[float]]] = defaultdict(
        lambda: defaultdict(lambda: [0.0, 0.0])
    )
    for row in rows:
        if row["side"] != "engine":
            continue
        whose = sums[row["hall"], row["engine"] or f"{row['target']}:{row['target_port']}"]
        first, last = row["first_ms"], max(row["last_ms"], row["first_ms"] + 1)
        for begin in range(first // span * span, last, span):
            part = (min(last, begin + span) - max(first, begin)) / (last - first)
            whose[begin][0] += part * row["forward"]
            whose[begin][1] += part * row["reverse"]
    return {
        key: {begin: (round(there), round(back)) for begin, (there, back) in sorted(spans.items())}
        for key, spans in sorted(sums.items())
    }

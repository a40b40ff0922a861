"""Converts decoded records of all layouts to uniform rows, and sums octets by engine and minute.

Defines the columns of reports and files. Performs no I/O.

In layout `standard`, the reverse direction of a connection is a separate record with the opposite
flowDirection. The reverse record of an engine connection is therefore listed with side `client`,
and `octets_by_span` leaves out the octets received from engines. The reverse record of a client
connection is listed with side `engine`, and `octets_by_span` lists the client under its address.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any

from corkgauge.flow_export.decoded_message import DecodedMessage, Record
from corkgauge.flow_export.elements import FlowDirection, FlowEndReason

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
REASON_LABELS = {
    FlowEndReason.IDLE: "idle",
    FlowEndReason.ACTIVE: "active",
    FlowEndReason.ENDED: "ended",
    FlowEndReason.FORCED: "forced",
    FlowEndReason.LACK_OF_RESOURCES: "merged",
}
MINUTE_MS = 60_000
Row = dict[str, Any]  # values by column; rows are written and read as JSON and Parquet
EngineKey = tuple[str, str]  # zone, engine
SpanOctets = tuple[int, int]  # sent to the engine, received from it


def rows_from_message(message: DecodedMessage) -> Iterator[Row]:
    """Yield a row for each record; times are in milliseconds of the exporter's clock."""
    uptime_began_ms = message.export_time_seconds * 1000 - message.uptime_ms
    for record in message.records:
        start_ms, end_ms = _times_of(record, uptime_began_ms)
        reverse = record.get("reverseOctetDeltaCount", record.get("postOctetDeltaCount", 0))
        # Records of aggregates have no end reason.
        end_reason = record.get("flowEndReason", FlowEndReason.LACK_OF_RESOURCES)
        yield {
            "gateway": record.get("gatewayName", ""),
            "domain": message.domain,
            "side": _side_of(record),
            "source": _address_of(record, "source"),
            "source_port": record.get("sourceTransportPort", 0),
            "target": _address_of(record, "destination"),
            "target_port": record.get("destinationTransportPort", 0),
            "engine": record.get("engineId", ""),
            "hall": record.get("hallName", ""),
            "first_ms": start_ms,
            "last_ms": end_ms,
            "forward": record.get("octetDeltaCount", 0),
            "reverse": reverse,
            "reason": REASON_LABELS.get(end_reason, "?"),
            "flows": record.get("deltaFlowCount", 1),
        }


def _times_of(record: Record, uptime_began_ms: int) -> tuple[int, int]:
    """Return start and end of a record; in NetFlow v9 they are relative to the start of uptime."""
    if "flowStartSysUpTime" in record:
        return (
            uptime_began_ms + record["flowStartSysUpTime"],
            uptime_began_ms + record["flowEndSysUpTime"],
        )
    return record.get("flowStartMilliseconds", 0), record.get("flowEndMilliseconds", 0)


def _side_of(record: Record) -> str:
    """Return the side by the flowDirection of the record, which reverse records have inverted."""
    return "engine" if record.get("flowDirection") == FlowDirection.EGRESS else "client"


def _address_of(record: Record, end: str) -> str:
    return record.get(f"{end}IPv4Address") or record.get(f"{end}IPv6Address") or ""


def octets_by_span(
    rows: Iterable[Row], span_ms: int = MINUTE_MS
) -> dict[EngineKey, dict[int, SpanOctets]]:
    """Sum the octets of engines by zone and engine, then by the start of each span in ms.

    The octets of a record are spread evenly over its duration. Engines without a name are listed
    by address.

    >>> octets_by_span([{"side": "engine", "hall": "a", "engine": "e1", "first_ms": 30_000,
    ...                  "last_ms": 90_000, "forward": 100, "reverse": 10}])
    {('a', 'e1'): {0: (50, 5), 60000: (50, 5)}}
    """
    sums: dict[EngineKey, dict[int, list[float]]] = defaultdict(
        lambda: defaultdict(lambda: [0.0, 0.0])
    )
    for row in rows:
        if row["side"] == "engine":
            engine = row["engine"] or f"{row['target']}:{row['target_port']}"
            _add_row(sums[row["hall"], engine], row, span_ms)
    return {
        key: {
            start: (round(sent), round(received))
            for start, (sent, received) in sorted(spans.items())
        }
        for key, spans in sorted(sums.items())
    }


def _add_row(spans: dict[int, list[float]], row: Row, span_ms: int) -> None:
    """Spread the octets of a row over the spans that overlap its duration."""
    start_ms = row["first_ms"]
    end_ms = max(row["last_ms"], start_ms + 1)
    for span_start in range(start_ms // span_ms * span_ms, end_ms, span_ms):
        overlap_ms = min(end_ms, span_start + span_ms) - max(start_ms, span_start)
        fraction = overlap_ms / (end_ms - start_ms)
        spans[span_start][0] += fraction * row["forward"]
        spans[span_start][1] += fraction * row["reverse"]

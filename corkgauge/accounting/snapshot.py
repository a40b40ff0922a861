"""Snapshots: the accounts as they are in one moment, as plain data.

Owns the form in which accounts leave the program. Free of I/O. Never mixes two moments in one
snapshot: it is taken in one step, whatever is done with it afterwards.

A snapshot is what JSON has of it: `{"schema", "gateway", "epoch", "at", "offerings", "engines",
"connections", "budget", "audit", "waits", "earlier"}`, where `at` and `epoch.started` are tenths of
a millisecond of the system's clock. Instances of several versions read each other's snapshots, so
a key never changes its meaning, and a reader passes over keys that it does not know.
"""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, NamedTuple

from corkgauge.accounting.counter_names import (
    ATTEMPT_KIND_NAMES,
    OUTCOME_NAMES,
    REASON_NAMES,
    TERM_NAMES,
)
from corkgauge.accounting.discrepancies import Discrepancies, Discrepancy
from corkgauge.accounting.ledger import RequestLedger
from corkgauge.accounting.ledger_rows import EngineRow, RequestClassRow, SideRow

SCHEMA = 1

Snapshot = dict[str, Any]


class EngineCounts(NamedTuple):
    """The counts of one engine; a checkpoint holds them as an array in this order."""

    sorts: list[int]
    outcomes: list[int]
    in_flight: int
    pages: int


class LazyEngineRows(Mapping[str, dict[str, Any]]):
    """The rows of all engines as they were in one moment, named only as they are read.

    The rows of a fleet by name take milliseconds to make, and a snapshot must be taken in one step;
    so this holds copies of the bare counts, by engine.
    """

    def __init__(self, counts: Mapping[str, Sequence[Any]]) -> None:
        self.counts = counts

    def __getitem__(self, name: str) -> dict[str, Any]:
        sorts, outcomes, in_flight, pages = self.counts[name]
        return {
            # A checkpoint of another version may know fewer sorts or outcomes.
            **dict(zip(ATTEMPT_KIND_NAMES, sorts, strict=False)),
            "outcomes": dict(zip(OUTCOME_NAMES, outcomes, strict=False)),
            "out": in_flight,
            "pages": pages,
        }

    def __iter__(self) -> Iterator[str]:
        return iter(self.counts)

    def __len__(self) -> int:
        return len(self.counts)


def take_snapshot(
    ledger: RequestLedger, now: int, gateway: str, epoch: Mapping[str, Any]
) -> Snapshot:
    """Return the counts alone, at a time in tenths of a millisecond: what a checkpoint holds."""
    return {
        "schema": SCHEMA,
        "gateway": gateway,
        "epoch": dict(epoch),
        "at": now,
        "offerings": {
            name: _request_class_fields(row) for name, row in ledger.request_classes.items()
        },
        "engines": LazyEngineRows(_engine_counts(ledger)),
        "connections": {row.name: _side_fields(row) for row in ledger.sides},
    }


def as_plain_dict(snapshot: Snapshot) -> Snapshot:
    """Return a snapshot as it looks to whoever read it from JSON."""
    return {**snapshot, "engines": {**snapshot["engines"]}}


def add_live_connections(
    snapshot: Snapshot, live_bytes: Sequence[tuple[int, int, int]]
) -> Snapshot:
    """Add to a snapshot what connections that are up carry; return the same snapshot.

    `live_bytes` holds, by side, the bytes received, the bytes sent, and the pages received.
    """
    sides = zip(snapshot["connections"].values(), live_bytes, strict=True)
    for fields, (received_bytes, sent_bytes, pages) in sides:
        fields["received"] += received_bytes
        fields["sent"] += sent_bytes
        fields["pages"] += pages
    return snapshot


def add_audit(snapshot: Snapshot, discrepancies: Discrepancies, passes: int) -> Snapshot:
    """Add to a snapshot what does not add up, after so many passes; return the same snapshot."""
    snapshot["audit"] = {
        "passes": passes,
        "alarm": discrepancies.has_findings,
        "untold": discrepancies.omitted_count,
        "findings": [_discrepancy_fields(each) for each in discrepancies.by_kind_and_row.values()],
    }
    return snapshot


def close_epoch(snapshot: Snapshot) -> dict[str, Any]:
    """Return what is kept of an epoch that is over, by its last snapshot.

    These are its totals by request class; what was open then was cut off.
    """
    return {
        "epoch": snapshot["epoch"],
        "until": snapshot["at"],
        "connections": snapshot["connections"],
        "offerings": {
            name: {**{term: row[term] for term in TERM_NAMES}, "cut_off": row["open"]}
            for name, row in snapshot["offerings"].items()
        },
    }


def _request_class_fields(row: RequestClassRow) -> dict[str, Any]:
    return {
        **dict(zip(TERM_NAMES, row.terms, strict=True)),
        "open": row.open,
        "reasons": dict(zip(REASON_NAMES, row.reasons, strict=True)),
        **dict(zip(ATTEMPT_KIND_NAMES, row.sent_by_kind, strict=True)),
        "out": row.in_flight,
    }


def _side_fields(row: SideRow) -> dict[str, int]:
    return {
        "up": row.opened,
        "ended": row.closed,
        "received": row.received_bytes,
        "sent": row.sent_bytes,
        "pages": row.pages,
    }


def _engine_counts(ledger: RequestLedger) -> dict[str, EngineCounts]:
    """Return copies of the counts by engine; removed ones with attempts in flight have departed."""
    departed = EngineRow(ledger.removed_row.name)
    for row in (ledger.removed_row, *ledger.removed_in_flight):
        departed.add_row(row)
    return {
        name: EngineCounts(row.sent_by_kind.copy(), row.outcomes.copy(), row.in_flight, row.pages)
        for name, row in {**ledger.engines, departed.name: departed}.items()
    }


def _discrepancy_fields(discrepancy: Discrepancy) -> dict[str, Any]:
    return {
        "kind": discrepancy.kind,
        "row": discrepancy.row,
        "difference": discrepancy.difference,
        "first": discrepancy.first_seen_at,
        "last": discrepancy.last_seen_at,
        "times": discrepancy.times_seen,
        "detail": discrepancy.detail,
        "events": discrepancy.events,
    }

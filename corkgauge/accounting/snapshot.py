"""Takes snapshots of the ledger: the counts of one moment, as plain data.

Owns the form in which counts leave the program. Free of I/O. A snapshot must never mix two moments,
so its counts are copied in one step.

The keys of a snapshot in JSON are `{"schema", "gateway", "epoch", "at", "offerings", "engines",
"connections"}`, where `at` and `epoch.started` are tenths of a millisecond of the system's clock.
Optional keys are `audit` (added by `add_audit`), and `waits`, `flows` and `earlier` (added by the
accounting service). Instances of several versions read each other's snapshots, so the meaning of a
key never changes, and a reader ignores unknown keys.
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
    """The counts of one engine; a checkpoint stores them as an array in this order."""

    sent_by_kind: list[int]
    outcomes: list[int]
    in_flight: int
    pages: int


class LazyEngineRows(Mapping[str, dict[str, Any]]):
    """The rows of all engines at one moment; a row with named counts is built when it is read.

    Building the named rows of a fleet takes milliseconds, but a snapshot must be taken in one step.
    Therefore this mapping holds copies of the bare counts, by engine.
    """

    def __init__(self, counts: Mapping[str, Sequence[Any]]) -> None:
        self.counts = counts

    def __getitem__(self, name: str) -> dict[str, Any]:
        sent_by_kind, outcomes, in_flight, pages = self.counts[name]
        return {
            # A checkpoint of another version may have fewer attempt kinds or outcomes.
            **dict(zip(ATTEMPT_KIND_NAMES, sent_by_kind, strict=False)),
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
    """Return the counts, which a checkpoint stores; `now` is tenths of a millisecond."""
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
    """Return a snapshot with its engine rows built, equal to the snapshot read from JSON."""
    return {**snapshot, "engines": {**snapshot["engines"]}}


def add_live_connections(
    snapshot: Snapshot, live_bytes: Sequence[tuple[int, int, int]]
) -> Snapshot:
    """Add the bytes and pages of open connections to a snapshot; return the same snapshot.

    `live_bytes` holds, by side, the bytes received, the bytes sent, and the pages received.
    """
    sides = zip(snapshot["connections"].values(), live_bytes, strict=True)
    for fields, (received_bytes, sent_bytes, pages) in sides:
        fields["received"] += received_bytes
        fields["sent"] += sent_bytes
        fields["pages"] += pages
    return snapshot


def add_audit(snapshot: Snapshot, discrepancies: Discrepancies, passes: int) -> Snapshot:
    """Add the findings and the number of passes to a snapshot; return the same snapshot."""
    snapshot["audit"] = {
        "passes": passes,
        "alarm": discrepancies.has_findings,
        "untold": discrepancies.omitted_count,
        "findings": [_discrepancy_fields(each) for each in discrepancies.by_kind_and_row.values()],
    }
    return snapshot


def close_epoch(snapshot: Snapshot) -> dict[str, Any]:
    """Return the record of an ended epoch, from the last snapshot of the epoch.

    The record holds the totals by request class. Requests that were open then count as cut off.
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
    """Return copies of the counts by engine, those of all removed engines in one row."""
    removed = EngineRow(ledger.removed_row.name)
    for row in (ledger.removed_row, *ledger.removed_in_flight):
        removed.add_row(row)
    return {
        name: EngineCounts(row.sent_by_kind.copy(), row.outcomes.copy(), row.in_flight, row.pages)
        for name, row in {**ledger.engines, removed.name: removed}.items()
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

"""Checks the equations within a snapshot, and finds counts that decreased between two snapshots.

Free of I/O and independent of the state of the program, so recorded snapshots can be checked by any
program. The functions raise KeyError for a snapshot without a required key.
"""

from collections.abc import Iterator, Mapping
from typing import Any

from corkgauge.accounting.counter_names import ATTEMPT_KIND_NAMES, END_REASONS, TERM_NAMES
from corkgauge.accounting.snapshot import Snapshot

END_TERM_NAMES = TERM_NAMES[1:]  # the terms of requests that ended


def find_imbalances(snapshot: Snapshot) -> list[str]:
    """Return a line for each equation that a snapshot violates, with the row and the values.

    >>> find_imbalances({"offerings": {"a": {"taken": 3, "served": 1, "refused": 0, "failed": 1,
    ...     "open": 0, "reasons": {"in_time": 1, "given_up": 1}, "firsts": 0, "further": 0,
    ...     "copies": 0, "out": 0}}, "engines": {}})
    ['a: taken 3, served 1 + refused 0 + failed 1 + open 0 = 2']
    """
    found = list[str]()
    for name, row in snapshot["offerings"].items():
        found += _find_request_class_imbalances(name, row)
    for name, row in snapshot["engines"].items():
        found += _find_engine_imbalances(name, row)
    found += _find_sum_imbalances(snapshot)
    for finding in snapshot.get("audit", {}).get("findings", ()):
        place = f"{finding['row']}: {finding['kind']}"
        found.append(
            f"{place} {finding['difference']:+d}, as reported by the auditor of the gateway"
        )
    return found


def _find_request_class_imbalances(name: str, row: Mapping[str, Any]) -> Iterator[str]:
    terms = (*END_TERM_NAMES, "open")
    total = sum(row[term] for term in terms)
    if total != row["taken"]:
        parts = " + ".join(f"{term} {row[term]}" for term in terms)
        yield f"{name}: taken {row['taken']}, {parts} = {total}"
    for index, term in enumerate(END_TERM_NAMES, 1):
        names = [reason for reason_term, reason in END_REASONS if reason_term == index]
        reasons = sum(row["reasons"].get(reason, 0) for reason in names)
        if reasons != row[term]:
            yield f"{name}: {term} {row[term]}, its reasons {reasons}"


def _find_engine_imbalances(name: str, row: Mapping[str, Any]) -> Iterator[str]:
    sent = sum(row[kind] for kind in ATTEMPT_KIND_NAMES)
    finished = sum(row["outcomes"].values())
    if sent != finished + row["out"]:
        yield f"{name}: handed off {sent}, outcomes {finished} + out {row['out']}"


def _find_sum_imbalances(snapshot: Snapshot) -> Iterator[str]:
    for key in (*ATTEMPT_KIND_NAMES, "out"):
        by_class = sum(row[key] for row in snapshot["offerings"].values())
        by_engine = sum(row[key] for row in snapshot["engines"].values())
        if by_class != by_engine:
            yield f"{key}: by offering {by_class}, by engine {by_engine}"


def find_decreases(before: Snapshot, after: Snapshot) -> list[str]:
    """Return a line for each compared count that decreased between two snapshots of an epoch.

    No compared count may decrease. The rows of removed engines are merged into one row, so only the
    sums over all engines are compared. Outcomes and pages of engines are not compared.
    """
    if before["epoch"]["id"] != after["epoch"]["id"]:
        return []
    found = list[str]()
    if after["at"] < before["at"]:
        found.append(f"at: {before['at']}, then {after['at']}")
    for name, row in before["offerings"].items():
        found += _find_request_class_decreases(name, row, after["offerings"].get(name, {}))
    for kind in ATTEMPT_KIND_NAMES:
        earlier = sum(row[kind] for row in before["engines"].values())
        later = sum(row[kind] for row in after["engines"].values())
        if later < earlier:
            found.append(f"engines: {kind} was {earlier}, is {later}")
    for name, row in before["connections"].items():
        found += _find_decreases(f"{name} connections", row, after["connections"][name])
    return found


def _find_request_class_decreases(
    name: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[str]:
    keys = (*TERM_NAMES, *ATTEMPT_KIND_NAMES)
    counts = {key: before[key] for key in keys}
    yield from _find_decreases(name, counts, {key: after.get(key, 0) for key in keys})
    reasons = before["reasons"]
    reasons_after = after.get("reasons", {})
    yield from _find_decreases(name, reasons, {key: reasons_after.get(key, 0) for key in reasons})


def _find_decreases(
    name: str, before: Mapping[str, int], after: Mapping[str, int]
) -> Iterator[str]:
    for key, count in before.items():
        if after[key] < count:
            yield f"{name}: {key} was {count}, is {after[key]}"

"""Checks of snapshots: the equations within one, and counts that went down between two.

Free of I/O, and of the program's own state: recorded snapshots are checked by anybody. A snapshot
that lacks a key raises KeyError.
"""

from collections.abc import Iterator, Mapping
from typing import Any

from corkgauge.accounting.counter_names import ATTEMPT_KIND_NAMES, END_REASONS, TERM_NAMES
from corkgauge.accounting.snapshot import Snapshot

ENDS = TERM_NAMES[1:]  # the terms of requests that ended


def find_imbalances(snapshot: Snapshot) -> list[str]:
    """Return the equations that do not hold in a snapshot; each line names its row.

    >>> find_imbalances({"offerings": {"a": {"taken": 3, "served": 1, "refused": 0, "failed": 1,
    ...     "open": 0, "reasons": {"in_time": 1, "given_up": 1}, "firsts": 0, "further": 0,
    ...     "copies": 0, "out": 0}}, "engines": {}})
    ['a: taken 3, served 1 + refused 0 + failed 1 + open 0 = 2']
    """
    found = list[str]()
    for name, row in snapshot["offerings"].items():
        found += _imbalances_of_request_class(name, row)
    for name, row in snapshot["engines"].items():
        found += _imbalances_of_engine(name, row)
    found += _imbalances_of_sums(snapshot)
    for finding in snapshot.get("audit", {}).get("findings", ()):
        place = f"{finding['row']}: {finding['kind']}"
        found.append(f"{place} {finding['difference']:+d}, as the program says")
    return found


def _imbalances_of_request_class(name: str, row: Mapping[str, Any]) -> Iterator[str]:
    terms = (*ENDS, "open")
    total = sum(row[term] for term in terms)
    if total != row["taken"]:
        parts = " + ".join(f"{term} {row[term]}" for term in terms)
        yield f"{name}: taken {row['taken']}, {parts} = {total}"
    for index, term in enumerate(ENDS, 1):
        names = [reason for under, reason in END_REASONS if under == index]
        reasons = sum(row["reasons"].get(reason, 0) for reason in names)
        if reasons != row[term]:
            yield f"{name}: {term} {row[term]}, its reasons {reasons}"


def _imbalances_of_engine(name: str, row: Mapping[str, Any]) -> Iterator[str]:
    sent = sum(row[sort] for sort in ATTEMPT_KIND_NAMES)
    finished = sum(row["outcomes"].values())
    if sent != finished + row["out"]:
        yield f"{name}: handed off {sent}, outcomes {finished} + out {row['out']}"


def _imbalances_of_sums(snapshot: Snapshot) -> Iterator[str]:
    for key in (*ATTEMPT_KIND_NAMES, "out"):
        by_class = sum(row[key] for row in snapshot["offerings"].values())
        by_engine = sum(row[key] for row in snapshot["engines"].values())
        if by_class != by_engine:
            yield f"{key}: by offering {by_class}, by engine {by_engine}"


def find_decreases(before: Snapshot, after: Snapshot) -> list[str]:
    """Return the counts that went down from one snapshot to a later one of its epoch: none may.

    Engines that were removed fold into one row, so engines are compared in their sum.
    """
    if before["epoch"]["id"] != after["epoch"]["id"]:
        return []
    found = list[str]()
    if after["at"] < before["at"]:
        found.append(f"at: {before['at']}, then {after['at']}")
    for name, row in before["offerings"].items():
        found += _decreases_of_request_class(name, row, after["offerings"].get(name, {}))
    for sort in ATTEMPT_KIND_NAMES:
        earlier = sum(row[sort] for row in before["engines"].values())
        later = sum(row[sort] for row in after["engines"].values())
        if later < earlier:
            found.append(f"engines: {sort} was {earlier}, is {later}")
    for name, row in before["connections"].items():
        found += _decreases(f"{name} connections", row, after["connections"][name])
    return found


def _decreases_of_request_class(
    name: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[str]:
    keys = (*TERM_NAMES, *ATTEMPT_KIND_NAMES)
    counts = {key: before[key] for key in keys}
    yield from _decreases(name, counts, {key: after.get(key, 0) for key in keys})
    reasons = before["reasons"]
    reasons_after = after.get("reasons", {})
    yield from _decreases(name, reasons, {key: reasons_after.get(key, 0) for key in reasons})


def _decreases(name: str, before: Mapping[str, int], after: Mapping[str, int]) -> Iterator[str]:
    for key, count in before.items():
        if after[key] < count:
            yield f"{name}: {key} was {count}, is {after[key]}"

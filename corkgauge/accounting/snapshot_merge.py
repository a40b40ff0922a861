"""Merges the snapshots of several gateways by summing their counts by name. Free of I/O."""

from collections.abc import Mapping, Sequence
from typing import Any

from corkgauge.accounting.snapshot import SCHEMA, Snapshot


def merge_snapshots(snapshots: Sequence[Snapshot]) -> Snapshot:
    """Return the sum of the snapshots of several gateways, with the earliest of their times.

    >>> one = {"gateway": "n1", "at": 5, "epoch": {"id": "x"}, "engines": {}, "connections": {},
    ...        "offerings": {"a": {"taken": 1, "reasons": {"late": 2}}}}
    >>> both = merge_snapshots([one, {**one, "gateway": "n2", "at": 7}])
    >>> both["gateway"], both["at"], both["offerings"]
    ('n1+n2', 5, {'a': {'taken': 2, 'reasons': {'late': 4}}})
    """
    merged: Snapshot = {
        "schema": SCHEMA,
        "gateway": "+".join(each["gateway"] for each in snapshots),
        "epoch": {"id": "+".join(each["epoch"]["id"] for each in snapshots)},
        "at": min(each["at"] for each in snapshots),
    }
    for part in "offerings", "engines", "connections":
        merged[part] = sum_rows([each[part] for each in snapshots])
    audits = [each["audit"] for each in snapshots if "audit" in each]
    if audits:
        merged["audit"] = _merge_audits(audits)
    sketches = [sketch for each in snapshots for sketch in each.get("waits", ())]
    if sketches:
        merged["waits"] = _merge_sketches(sketches)
    return merged


def sum_rows(tables: Sequence[Mapping[str, Mapping[str, Any]]]) -> dict[str, dict[str, Any]]:
    """Return the sum of several tables, by the name of the row and the key of the count."""
    summed = dict[str, dict[str, Any]]()
    for table in tables:
        for name, row in table.items():
            _add_counts(summed.setdefault(name, {}), row)
    return summed


def _add_counts(total: dict[str, Any], row: Mapping[str, Any]) -> None:
    for key, value in row.items():
        if isinstance(value, dict):
            _add_counts(total.setdefault(key, {}), value)
        else:
            total[key] = total.get(key, 0) + value


def _merge_audits(audits: Sequence[Mapping[str, Any]]) -> dict[str, Any]:
    return {
        "passes": sum(each["passes"] for each in audits),
        "alarm": any(each["alarm"] for each in audits),
        "findings": [finding for each in audits for finding in each["findings"]],
    }


def _merge_sketches(sketches: Sequence[Mapping[str, Any]]) -> list[dict[str, Any]]:
    # The sketch library is optional: only programs that merge sketches need it.
    from corkgauge.accounting.latency_sketches import merge_sketches

    by_subject = dict[tuple[str, str], list[Mapping[str, Any]]]()
    for sketch in sketches:
        by_subject.setdefault((sketch["what"], sketch["whose"]), []).append(sketch)
    return [merge_sketches(group) for group in by_subject.values()]

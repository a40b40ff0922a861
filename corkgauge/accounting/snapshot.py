"""One consistent cut of all figures, as plain data; and what several of them say together.

Owns the form in which figures leave the program, and the equations on that form. Free of I/O. Must never mix
two moments in one cut: it is made in one step, whatever is done with it afterwards.

A cut is `{"schema", "gateway", "epoch", "at", "offerings", "engines", "connections", "budget", "audit",
"waits", "earlier"}`; `at` and `epoch.started` are tenths of a millisecond of the system's clock. Keys that a
reader does not know are to be passed over.
"""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from corkgauge.accounting.counter_names import OUTCOMES, REASON_NAMES, REASONS, SORTS, TERMS
from corkgauge.accounting.discrepancies import Discrepancies
from corkgauge.accounting.ledger import RequestLedger

SCHEMA = 1
Cut = dict[str, Any]
Flat = tuple[list[int], list[int], int, int]  # of one engine: sorts, outcomes, out, pages


class EngineRows(Mapping[str, dict[str, Any]]):
    """The rows of all engines as they were in one moment. Danger: a fleet's rows by name take milliseconds to
    make, and the cut must be one step; so it holds copies of the bare counts,
    and names them as they are read."""

    def __init__(self, flat: dict[str, Flat]) -> None:
        self.flat = flat

    def __getitem__(self, name: str) -> dict[str, Any]:
        sorts, outcomes, out, pages = self.flat[name]
        return {
            **dict(zip(SORTS, sorts)),
            "outcomes": dict(zip(OUTCOMES, outcomes)),
            "out": out,
            "pages": pages,
        }

    def __iter__(self) -> Iterator[str]:
        return iter(self.flat)

    def __len__(self) -> int:
        return len(self.flat)


def cut_of(ledger: RequestLedger, now: int, gateway: str, epoch: Mapping[str, Any]) -> Cut:
    """The counts alone: what is kept through a kill."""
    return {
        "schema": SCHEMA,
        "gateway": gateway,
        "epoch": dict(epoch),
        "at": now,
        "offerings": {
            name: {
                **dict(zip(TERMS, row.terms)),
                "open": row.open,
                "reasons": dict(zip(REASON_NAMES, row.reasons)),
                **dict(zip(SORTS, row.sorts)),
                "out": row.in_flight,
            }
            for name, row in ledger.request_classes.items()
        },
        "engines": EngineRows(
            {
                name: (row.sorts.copy(), row.outcomes.copy(), row.in_flight, row.pages)
                for name, row in _engines(ledger).items()
            }
        ),
        "connections": {
            row.name: {
                "up": row.opened,
                "ended": row.closed,
                "received": row.received_bytes,
                "sent": row.sent_bytes,
                "pages": row.pages,
            }
            for row in ledger.sides
        },
    }


def plain(cut: Cut) -> Cut:
    """A cut as it looks to whoever got it as JSON."""
    return {**cut, "engines": {**cut["engines"]}}


def _engines(ledger: RequestLedger) -> dict[str, Any]:
    """Rows by name; those that leave with hand-offs out count as departed."""
    departed = type(ledger.departed)(ledger.departed.name)
    for row in (ledger.departed, *ledger.departing):
        departed.add_row(row)
    return {**ledger.engines, departed.name: departed}


def with_live(cut: Cut, live_bytes: Sequence[tuple[int, int, int]]) -> Cut:
    """A cut with, by side, what connections that are up have received and sent, and their pages."""
    for row, (got, sent, pages) in zip(cut["connections"].values(), live_bytes):
        row["received"] += got
        row["sent"] += sent
        row["pages"] += pages
    return cut


def with_audit(cut: Cut, findings: Discrepancies, passes: int) -> Cut:
    """A cut with what does not add up."""
    cut["audit"] = {
        "passes": passes,
        "alarm": findings.alarm,
        "untold": findings.omitted,
        "findings": [
            {
                "kind": each.kind,
                "row": each.row,
                "difference": each.difference,
                "first": each.first_seen_at,
                "last": each.last_seen_at,
                "times": each.times_seen,
                "detail": each.detail,
                "events": each.events,
            }
            for each in findings.by_place.values()
        ],
    }
    return cut


# What is wrong with a cut, and between two.


def differences(cut: Cut) -> list[str]:
    """The equations that do not hold in a cut; each line names its row.

    >>> differences({"offerings": {"a": {"taken": 3, "served": 1, "refused": 0, "failed": 1, "open": 0,
    ...     "reasons": {"in_time": 1, "given_up": 1}, "firsts": 0, "further": 0, "copies": 0, "out": 0}},
    ...     "engines": {}})
    ['a: taken 3, served 1 + refused 0 + failed 1 + open 0 = 2']
    """
    found = []
    for name, row in cut["offerings"].items():
        total = sum(row[term] for term in ("served", "refused", "failed", "open"))
        if total != row["taken"]:
            parts = " + ".join(f"{term} {row[term]}" for term in (*TERMS[1:], "open"))
            found.append(f"{name}: taken {row['taken']}, {parts} = {total}")
        for n, term in enumerate(TERMS[1:], 1):
            reasons = sum(row["reasons"].get(reason, 0) for under, reason in REASONS if under == n)
            if reasons != row[term]:
                found.append(f"{name}: {term} {row[term]}, its reasons {reasons}")
    for name, row in cut["engines"].items():
        sent, ended = sum(row[sort] for sort in SORTS), sum(row["outcomes"].values())
        if sent != ended + row["out"]:
            found.append(f"{name}: handed off {sent}, outcomes {ended} + out {row['out']}")
    for sort in (*SORTS, "out"):
        by_offering = sum(row[sort] for row in cut["offerings"].values())
        by_engine = sum(row[sort] for row in cut["engines"].values())
        if by_offering != by_engine:
            found.append(f"{sort}: by offering {by_offering}, by engine {by_engine}")
    for finding in cut.get("audit", {}).get("findings", ()):
        found.append(
            f"{finding['row']}: {finding['kind']} {finding['difference']:+d}, as the program says"
        )
    return found


def shrunk(before: Cut, after: Cut) -> list[str]:
    """The counts of one epoch that went down from one cut to a later one: none may. Engines that left fold
    into one row, so engines are compared in their sum."""
    if before["epoch"]["id"] != after["epoch"]["id"]:
        return []
    found = [f"at: {before['at']}, then {after['at']}"] if after["at"] < before["at"] else []
    for name, row in before["offerings"].items():
        now = after["offerings"].get(name, {})
        for key in (*TERMS, *SORTS):
            if now.get(key, 0) < row[key]:
                found.append(f"{name}: {key} was {row[key]}, is {now.get(key, 0)}")
        for key, count in row["reasons"].items():
            if now.get("reasons", {}).get(key, 0) < count:
                found.append(f"{name}: {key} was {count}, is {now.get('reasons', {}).get(key, 0)}")
    for key in SORTS:
        was, now = (sum(row[key] for row in each["engines"].values()) for each in (before, after))
        if now < was:
            found.append(f"engines: {key} was {was}, is {now}")
    for name, row in before["connections"].items():
        for key, count in row.items():
            if after["connections"][name][key] < count:
                found.append(
                    f"{name} connections: {key} was {count}, is {after['connections'][name][key]}"
                )
    return found


def together(cuts: Sequence[Cut]) -> Cut:
    """Several gateways' cuts, summed by name. Sketches are added by `waits.added`.

    >>> one = {"gateway": "n1", "at": 5, "epoch": {"id": "x"}, "engines": {}, "connections": {},
    ...        "offerings": {"a": {"taken": 1, "reasons": {"late": 2}}}}
    >>> both = together([one, {**one, "gateway": "n2", "at": 7}])
    >>> both["gateway"], both["at"], both["offerings"]
    ('n1+n2', 5, {'a': {'taken': 2, 'reasons': {'late': 4}}})
    """
    summed: Cut = {
        "schema": SCHEMA,
        "gateway": "+".join(cut["gateway"] for cut in cuts),
        "epoch": {"id": "+".join(cut["epoch"]["id"] for cut in cuts)},
        "at": min(cut["at"] for cut in cuts),
    }
    for part in "offerings", "engines", "connections":
        summed[part] = {}
        for cut in cuts:
            for name, row in cut[part].items():
                _add(summed[part].setdefault(name, {}), row)
    if any("audit" in cut for cut in cuts):
        audits = [cut["audit"] for cut in cuts if "audit" in cut]
        summed["audit"] = {
            "passes": sum(each["passes"] for each in audits),
            "alarm": any(each["alarm"] for each in audits),
            "findings": [finding for each in audits for finding in each["findings"]],
        }
    told: dict[tuple[str, str], list[Any]] = {}
    for cut in cuts:
        for each in cut.get("waits", ()):
            told.setdefault((each["what"], each["whose"]), []).append(each)
    if told:
        from corkgauge.accounting.latency_sketches import added

        summed["waits"] = [added(several) for several in told.values()]
    return summed


def _add(into: dict[str, Any], row: Mapping[str, Any]) -> None:
    for key, value in row.items():
        if isinstance(value, dict):
            _add(into.setdefault(key, {}), value)
        else:
            into[key] = into.get(key, 0) + value


def closed_epoch(cut: Cut) -> Cut:
    """What is kept of an epoch that is over: its totals by offering, with what was open as cut off."""
    return {
        "epoch": cut["epoch"],
        "until": cut["at"],
        "connections": cut["connections"],
        "offerings": {
            name: {**{term: row[term] for term in TERMS}, "cut_off": row["open"]}
            for name, row in cut["offerings"].items()
        },
    }

"""Findings: what each gateway found out about each engine, as small aged summaries that merge in any order.

Owns the last finding of each witness on each engine, and how often each is told on. Free of I/O: clock and letters are
its owner's. Must never make a finding younger by passing it on, never hold more than one of a witness on an engine, and
must let every one die out.

A map from (witness, engine) to the latest finding, where latest is the greater (start, serial) of the witness itself:
a last-writer-wins map (Shapiro, Preguica, Baquero and Zawirski, 2011), so merging is commutative, associative and
idempotent. It spreads by rumour (Demers et al., 1987): each is told a number of times that grows with the logarithm of
the fellows; what a rumour missed, a comparison of serials mends. Ages are spans, not dates: a clock that is a day ahead
changes nothing.
"""

from collections.abc import Iterable, Mapping, Sequence
from math import ceil, log2
from typing import Any
from zlib import crc32

LIFE = 100_000  # tenths of a millisecond: a finding this old counts for nothing, and is forgotten
PAUSE = 20_000  # between two findings of ours on one engine, that differ in its slowness alone
TIMES = 2  # over the logarithm of the number of fellows: how often one is told
MOST_EACH = (
    2_000  # findings of one witness that are held: a flood of one must not push out the others'
)
MOST_TAG = 64  # characters of an engine's id
WELL, ERROR, RESET, UNREACHED, SILENT = range(5)
FAULTS = "well", "error", "reset", "unreached", "silent"

Row = list[
    Any
]  # [witness, start, serial, age, engine, its start, fault, slowness in hundredths, samples]


class HealthReport:
    """One witness's last word on one engine; `at` is when it was found, by our clock."""

    __slots__ = (
        "witness",
        "start",
        "serial",
        "at",
        "tag",
        "started",
        "fault",
        "slowness",
        "samples",
        "told",
    )

    def __init__(
        self,
        witness: str,
        start: int,
        serial: int,
        at: int,
        tag: str,
        started: int,
        fault: int,
        slowness: int,
        samples: int,
    ) -> None:
        self.witness, self.start, self.serial, self.at, self.tag = witness, start, serial, at, tag
        self.started, self.fault, self.slowness, self.samples = started, fault, slowness, samples
        self.told = 0

    def row(self, now: int) -> Row:
        return [
            self.witness,
            self.start,
            self.serial,
            max(now - self.at, 0),
            self.tag,
            self.started,
            self.fault,
            self.slowness,
            self.samples,
        ]


class HealthReports:
    """Of one gateway, `name`, in its present `start`.

    >>> one, other = HealthReports("n1", 1), HealthReports("n2", 1)
    >>> one.found(0, "e1", 5, SILENT, 0, 0)
    True
    >>> rows = one.some(100, 3, 900)
    >>> other.merge(150, rows), other.merge(150, rows)      # the same again changes nothing
    (1, 0)
    >>> [(each.witness, each.fault, 150 - each.at) for each in other.of("e1")]
    [('n1', 4, 100)]
    """

    def __init__(self, name: str, start: int) -> None:
        self.name, self.start, self.serial = name, start, 0
        self.by_engine: dict[str, dict[str, HealthReport]] = {}
        self.by_witness: dict[str, dict[str, HealthReport]] = {}
        self.fresh: dict[
            tuple[str, str], HealthReport
        ] = {}  # still to be told, in the order they came
        self.refused = 0

    def found(
        self, now: int, tag: str, started: int, fault: int, slowness: int, samples: int
    ) -> bool:
        """Our own finding. Told only where it says something else than the last one, or keeps that from dying."""
        before = self.by_engine.get(tag, {}).get(self.name)
        if before is not None and (before.started, before.fault) == (started, fault):
            # Danger: figures that waver would be told without end.
            moved = abs(before.slowness - slowness) > max(before.slowness, 100) // 2
            if now < before.at + (PAUSE if moved else LIFE // 2):
                return False
        self.serial += 1
        self._hold(
            HealthReport(
                self.name, self.start, self.serial, now, tag, started, fault, slowness, samples
            )
        )
        return True

    def merge(self, now: int, rows: Iterable[Sequence[Any]]) -> int:
        """What another tells, of itself or of others: how much of it was new. What makes no sense is passed over."""
        new = 0
        for row in rows:
            finding = _sensible(row, now)
            if finding is None or finding.witness == self.name:
                self.refused += finding is None
                continue  # on our own findings nobody else has a word
            before = self.by_engine.get(finding.tag, {}).get(finding.witness)
            if before is not None and (before.start, before.serial) >= (
                finding.start,
                finding.serial,
            ):
                if (before.start, before.serial) == (finding.start, finding.serial):
                    before.at = min(
                        before.at, finding.at
                    )  # the older of two tellings, whichever came first
                continue
            if now >= finding.at + LIFE:
                continue
            if before is None and len(self.by_witness.get(finding.witness, ())) >= MOST_EACH:
                self.refused += 1
                continue
            self._hold(finding)
            new += 1
        return new

    def disputed(self, tag: str, slow: float) -> bool:
        """Does anybody, ourselves among them, hold something against it: a fault, or a slowness above `slow`?"""
        return any(each.fault != WELL or each.slowness > slow for each in self.of(tag))

    def of(self, tag: str) -> Iterable[HealthReport]:
        return self.by_engine.get(tag, {}).values()

    def forget(self, now: int, witnesses: Iterable[str]) -> None:
        """What is too old, and of those that are no fellows any more."""
        named = {*witnesses, self.name}
        for witness, held in [*self.by_witness.items()]:
            for finding in [*held.values()]:
                if now >= finding.at + LIFE or witness not in named:
                    self._drop(finding)

    # Telling.

    def some(self, now: int, members: int, room: int) -> list[Row]:
        """What is told next, in so many octets: first what has been told least."""
        times = TIMES * ceil(log2(max(members, 2) + 1))
        rows, size = [], 0
        for key, finding in sorted(self.fresh.items(), key=lambda each: each[1].told)[:64]:
            if now >= finding.at + LIFE:
                del self.fresh[key]
                continue
            size += _size(finding)
            if size > room:
                break
            rows.append(finding.row(now))
            finding.told += 1
            if finding.told >= times:
                del self.fresh[key]
        return rows

    def digest(self, room: int, turn: int) -> dict[str, list[int]]:
        """By witness: its start, the highest serial held, and a mark of all that is held; as many as fit, from the
        `turn`th on."""
        names = sorted(self.by_witness)
        said: dict[str, list[int]] = {}
        for n in range(len(names)):
            name = names[(turn + n) % len(names)]
            room -= len(name) + 22
            if room < 0:
                break
            said[name] = self._mark(name)
        return said

    def missing(
        self, now: int, digest: Mapping[str, Sequence[int]], room: int, whole: bool, turn: int
    ) -> list[Row]:
        """What the teller of this digest has not heard, in so many octets; with `whole`, also of witnesses that it does
        not name. Danger: of two serials the earlier may be what was lost; so where the marks differ, all that is held
        of a witness is told in time, from the `turn`th on."""
        rows = []
        for witness, held in sorted(self.by_witness.items()):
            known = digest.get(witness)
            if known is None and not whole or known is not None and [*known] == self._mark(witness):
                continue
            above = (known[0], known[1]) if known is not None else (0, 0)
            all_held = sorted(held.values(), key=lambda each: (each.start, each.serial))
            later = [each for each in all_held if (each.start, each.serial) > above]
            for n, finding in enumerate(later or all_held):
                finding = finding if later else all_held[(turn + n) % len(all_held)]
                if now < finding.at + LIFE:
                    room -= _size(finding)
                    if room < 0:
                        return rows
                    rows.append(finding.row(now))
        return rows

    def _mark(self, witness: str) -> list[int]:
        held, mark = self.by_witness[witness], 0
        for finding in held.values():
            mark ^= crc32(f"{finding.tag} {finding.start} {finding.serial}".encode())
        return [*max((each.start, each.serial) for each in held.values()), mark]

    def __len__(self) -> int:
        return sum(len(held) for held in self.by_witness.values())

    def _hold(self, finding: HealthReport) -> None:
        self.by_engine.setdefault(finding.tag, {})[finding.witness] = finding
        self.by_witness.setdefault(finding.witness, {})[finding.tag] = finding
        self.fresh.pop((finding.witness, finding.tag), None)
        self.fresh[finding.witness, finding.tag] = finding

    def _drop(self, finding: HealthReport) -> None:
        for held, key, other in (
            (self.by_engine, finding.tag, finding.witness),
            (self.by_witness, finding.witness, finding.tag),
        ):
            held[key].pop(other, None)
            if not held[key]:
                del held[key]
        self.fresh.pop((finding.witness, finding.tag), None)


def _sensible(row: Sequence[Any], now: int) -> HealthReport | None:
    """
    >>> _sensible(["n1", 1, 1, 0, "e1", 0, 9, 0, 0], 5) is None, _sensible([], 5) is None
    (True, True)
    """
    if not isinstance(row, (list, tuple)) or len(row) != 9:
        return None
    witness, start, serial, age, tag, started, fault, slowness, samples = row
    figures = start, serial, age, started, slowness, samples
    if not (
        isinstance(witness, str)
        and isinstance(tag, str)
        and 0 < len(tag) <= MOST_TAG
        and type(fault) is int
        and WELL <= fault <= SILENT
        and all(type(each) is int and 0 <= each < 2**62 for each in figures)
    ):
        return None
    return HealthReport(witness, start, serial, now - age, tag, started, fault, slowness, samples)


def _size(finding: HealthReport) -> int:
    """Octets of a row, on the high side."""
    return 40 + len(finding.witness) + len(finding.tag)

"""The second book: recounts from the live records and compares with the ledger.

Owns the pass over the records and what an imbalance is called. Free of I/O and of time. Must never take a
count from the ledger for a record, never change either, and never look at more than a slice of records in one
step, but for the cut.

How it is right although things happen between slices: a pass begins with a cut, which copies the tables'
references and the counts in one step, while nothing else runs. What is summed afterwards (row and serial)
never changes in a record, so the copy stays the state of that moment however long the pass takes. What may
change is checked record by record against the tables of the moment at which it is looked at.
"""

from collections.abc import Callable, Iterable, Iterator, Sequence
from itertools import islice
from typing import Any, Protocol

from corkgauge.accounting import discrepancies as f
from corkgauge.accounting.counter_names import SIDES, SORTS, TERM_OF, TERMS
from corkgauge.accounting.ledger import CLOSED, RequestLedger

SLICE = 500  # records of one step


class Live(Protocol):
    """The live records, as their owner shows them. All are asked for between two things that happen."""

    def open_entries(self) -> list[Any]:
        """A copy of what is open: each has `row` and `serial`."""

    def answering_entries(self) -> list[Any]:
        """A copy of what has its end, while its answer has not left whole."""

    def hands_out(self) -> list[Any]:
        """A copy of the hand-offs out: each has `order`, `engine_row`, `serial`."""

    def out_of_step(self, hand: Any) -> str:
        """What is wrong between this hand-off, if it is still out, and the gateway's own record of it."""

    def engines(self) -> list[Any]:
        """A copy of the engines."""

    def engine_out_of_step(self, engine: Any) -> tuple[str, str]:
        """Its name, and what the gateway holds out there that nobody else does."""

    def name_of(self, engine: Any) -> str:
        """Its name alone."""

    def connections(self) -> Sequence[tuple[int, int]]:
        """By side: connections that are up, pages that came on them."""

    def traces(self, serial: int) -> str:
        """Where else a submission is still found."""


class LedgerAuditor:
    """Steps through one pass after another."""

    def __init__(
        self, ledger: RequestLedger, live: Live, findings: f.Discrepancies, slice_: int = SLICE
    ) -> None:
        self.ledger, self.live, self.findings = ledger, live, findings
        self.slice, self.passes, self.walk = slice_, 0, iter(())
        # Equations of other subsystems: each gives (name, difference, what it says).
        self.others: list[Callable[[], Iterable[tuple[str, int, str]]]] = []

    def step(self) -> bool:
        """One slice; True at the end of a pass."""
        if next(self.walk, self) is not self:
            return False
        self.walk = self._pass()
        self.passes += 1
        return True

    def pass_whole(self) -> None:
        """A whole pass at once, for the end of the program and for tests."""
        for _ in self._pass():
            pass
        self.passes += 1

    # A pass.

    def _pass(self) -> Iterator[None]:
        yield from self._submissions()
        yield from self._hands()
        yield from self._rows()
        yield from self._gateway()
        self._across()

    def _submissions(self) -> Iterator[None]:
        booked = {row: (row.open, row.mark) for row in self.ledger.request_classes.values()}
        entries = [*self.live.open_entries(), *self.live.answering_entries()]
        yield
        seen: dict[Any, list[int]] = {}
        yield from self._tally(entries, lambda each: each.row, seen)
        for row, (count, mark) in booked.items():
            self._compare(row, count, mark, *seen.get(row, (0, 0)), self._submission_kind)

    def _hands(self) -> Iterator[None]:
        rows = self.ledger.engine_rows()
        booked = [(row, row.out, row.mark) for row in rows]
        by_offering = [(row, row.out, row.out_mark) for row in self.ledger.request_classes.values()]
        hands = self.live.hands_out()
        yield
        seen: dict[Any, list[int]] = {}
        yield from self._tally(hands, lambda each: each.engine_row, seen)
        for part in _slices(booked, self.slice // 2 + 1):
            for row, count, mark in part:
                self._compare(row, count, mark, *seen.get(row, (0, 0)), self._hand_kind)
            yield
        seen.clear()
        yield from self._tally(hands, lambda each: each.order.row, seen)
        for row, count, mark in by_offering:
            self._compare(row, count, mark, *seen.get(row, (0, 0)), self._hand_kind)

    def _tally(self, records: list[Any], row_of: Any, seen: dict[Any, list[int]]) -> Iterator[None]:
        for part in _slices(records, self.slice):
            for each in part:
                sums = seen.setdefault(row_of(each), [0, 0])
                sums[0] += 1
                sums[1] += abs(each.serial)  # below 0 once it has ended since the cut
            yield

    def _rows(self) -> Iterator[None]:
        """Equations within one row hold at any moment, so each row is looked at by itself."""
        for part in _slices([*self.ledger.request_classes.values()], self.slice):
            for row in part:
                terms, sums = row.terms, [0] * len(TERMS)
                for reason, count in enumerate(row.reasons):
                    sums[TERM_OF[reason]] += count
                if difference := terms[0] - sum(terms[1:]) - row.open:
                    self._see(
                        f.TERMS_DIFFER, row, difference, "taken - served - refused - failed - open"
                    )
                for n, name in enumerate(TERMS):
                    if n and (difference := terms[n] - sums[n]):
                        self._see(f.TERMS_DIFFER, row, difference, f"{name} - its reasons")
            yield
        for part in _slices(self.ledger.engine_rows(), self.slice // 2 + 1):
            for row in part:
                if difference := sum(row.sorts) - sum(row.outcomes) - row.out:
                    self._see(f.TERMS_DIFFER, row, difference, "handed off - outcomes - out")
            yield

    def _gateway(self) -> Iterator[None]:
        """Two records of the same hand-offs, the host's and the gateway's."""
        for part in _slices(self.live.hands_out(), self.slice):
            for hand in part:
                if wrong := self.live.out_of_step(hand):
                    self._see(f.OUT_OF_STEP, hand.engine_row, 1, wrong)
            yield
        for part in _slices(self.live.engines(), self.slice // 8 + 1):
            for engine in part:
                name, wrong = self.live.engine_out_of_step(engine)
                if wrong:
                    self.findings.see(f.OUT_OF_STEP, name, 1, wrong)
            yield
        there = {self.live.name_of(engine) for engine in self.live.engines()}
        for name in self.ledger.engines.keys() - there:
            self.findings.see(f.OUT_OF_STEP, name, 1, "an account of an engine that is not there")

    def _across(self) -> None:
        """Sums that two rows' kinds hold, each taken in one step."""
        ledger, rows = self.ledger, self.ledger.engine_rows()
        for n, name in enumerate(SORTS):
            by_offering = sum(row.sorts[n] for row in ledger.request_classes.values())
            if difference := by_offering - sum(row.sorts[n] for row in rows):
                self.findings.see(f.BOOKS_DIFFER, name, difference, "by offering - by engine")
        pages = 0
        for side, name, (up, came) in zip(ledger.sides, SIDES, self.live.connections()):
            if difference := side.up - side.ended - up:
                self.findings.see(
                    f.BOOKS_DIFFER, f"{name} connections", difference, "up - ended - those there"
                )
            pages += side.pages + came
        if difference := sum(row.pages for row in rows) - pages:
            self.findings.see(f.BOOKS_DIFFER, "pages", difference, "by engine - by connection")
        for other in self.others:
            for name, difference, says in other():
                if difference:
                    self.findings.see(f.BOOKS_DIFFER, name, difference, says)

    # What it is called.

    def _compare(
        self, row: Any, booked: int, booked_mark: int, seen: int, seen_mark: int, kind: Any
    ) -> None:
        difference, mark = booked - seen, booked_mark - seen_mark
        if not difference and not mark:
            return
        # One thing alone explains a difference of one, and the difference of the marks is its serial. A live
        # record that was never entered has none.
        suspect = mark * difference if abs(difference) == 1 else -1
        if suspect > 0 or suspect == 0 and difference < 0:
            return self._see(
                kind(row, difference, suspect), row, difference, f"serial {suspect}", suspect
            )
        self._see(f.COUNT_ALTERED, row, difference, f"serials differ by {mark}")

    def _submission_kind(self, row: Any, difference: int, serial: int) -> str:
        """One submission that the counts hold open and no record is, or the other way round."""
        if not serial:
            return f.NEVER_ENTERED
        if not 0 < serial <= self.ledger.serial:
            return f.COUNT_ALTERED
        if difference > 0:
            return f.LOST if self.live.traces(serial) else f.NEVER_CLOSED
        ended = any(what == CLOSED for _, what, _ in self.ledger.last_events(row, serial))
        return f.CLOSED_TWICE if ended else f.NEVER_ENTERED

    def _hand_kind(self, row: Any, difference: int, serial: int) -> str:
        if not serial:
            return f.HAND_NEVER_ENTERED
        if not 0 < serial <= self.ledger.handoff_serial:
            return f.COUNT_ALTERED
        return f.HAND_NEVER_CLOSED if difference > 0 else f.HAND_CLOSED_TWICE

    def _see(self, kind: str, row: Any, difference: int, detail: str, serial: int = 0) -> None:
        self.findings.see(kind, row.name, difference, detail, self.ledger.last_events(row, serial))


def _slices(records: Iterable[Any], size: int) -> Iterator[list[Any]]:
    """
    >>> [*_slices(range(5), 2)]
    [[0, 1], [2, 3], [4]]
    """
    left = iter(records)
    while part := [*islice(left, size)]:
        yield part

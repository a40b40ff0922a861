"""Recounts the live records and compares the result with the ledger.

Owns the passes over the records and the classification of differences. Free of I/O; uses no clock.
The auditor must never derive a record from a count of the ledger and must never change either. One
step checks at most one slice of the records. Copying references and counts, and the checks of sums
at the end of a pass, are not divided into slices.

A pass is consistent although requests and attempts change between its slices: each part that
compares sums over records (requests, attempts) begins by copying the references of the records and
the counts of the ledger in one step, while nothing else runs. The summed fields of a record (row
and serial number) never change, so the copies represent that moment however long the pass takes.
The other parts copy references only. They check fields that can change record by record, against
the tables and counts at the time of the check.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from corkgauge.accounting.audited_records import AuditedRecords
from corkgauge.accounting.counter_names import (
    ATTEMPT_KIND_NAMES,
    SIDE_NAMES,
    TERM_BY_REASON,
    TERM_NAMES,
    Term,
)
from corkgauge.accounting.discrepancies import Discrepancies, DiscrepancyKind
from corkgauge.accounting.ledger import EventKind, RequestLedger
from corkgauge.accounting.ledger_rows import (
    AttemptEntry,
    EngineRow,
    RequestClassRow,
    RequestEntry,
    Row,
)
from corkgauge.accounting.tallies import (
    ExpectedTally,
    Tallies,
    Tally,
    copy_in_flight_counts,
    copy_open_counts,
    split_into_slices,
    tally_records,
)

SLICE_RECORD_COUNT = 500  # records checked in one step


class Equation(NamedTuple):
    """A check by another subsystem, evaluated by the auditor; the expected difference is 0."""

    name: str
    difference: int
    detail: str


DifferenceClassifier = Callable[[Row, int, int], DiscrepancyKind]
"""Returns the kind of a difference of one, by the row, the difference and the serial number."""

_NO_RECORDS = Tally()


class LedgerAuditor:
    """Compares the ledger with the live records, one slice at a time."""

    def __init__(
        self,
        ledger: RequestLedger,
        records: AuditedRecords,
        discrepancies: Discrepancies,
        slice_records: int = SLICE_RECORD_COUNT,
    ) -> None:
        self.ledger = ledger
        self.records = records
        self.discrepancies = discrepancies
        self.slice_records = slice_records
        # Slices of engine rows and of engines are smaller: each costs more to check than a record.
        self.slice_rows = slice_records // 2 + 1
        self.slice_engines = slice_records // 8 + 1
        self.passes = 0
        self.running_pass: Iterator[None] = iter(())
        # Equations of other subsystems, checked at the end of each pass.
        self.equations: list[Callable[[], Iterable[tuple[str, int, str]]]] = []

    def step(self) -> bool:
        """Check one slice; return whether this step ended the pass.

        A step that ends a pass also prepares the next pass. The first call only prepares the first
        pass: it checks nothing, counts as a pass and returns True.
        """
        for _ in self.running_pass:
            return False
        self.running_pass = self._run_pass()
        self.passes += 1
        return True

    def run_whole_pass(self) -> None:
        """Run a complete pass in one call, for the shutdown and for tests."""
        for _ in self._run_pass():
            pass
        self.passes += 1

    # The parts of a pass; each part yields between two slices.

    def _run_pass(self) -> Iterator[None]:
        yield from self._check_requests()
        yield from self._check_attempts()
        yield from self._check_request_class_rows()
        yield from self._check_engine_rows()
        yield from self._check_attempts_of_gateway()
        yield from self._check_engines_of_gateway()
        self._check_rows_without_engine()
        self._check_attempt_sums()
        self._check_connections()
        self._check_equations()

    def _check_requests(self) -> Iterator[None]:
        expected = copy_open_counts(self.ledger.request_classes.values())
        entries = [*self.records.list_open_entries(), *self.records.list_answering_entries()]
        yield
        tallies: Tallies = {}
        yield from self._tally(entries, _get_row_of_request, tallies)
        for each in expected:
            self._compare(each, tallies, self._classify_request)

    def _check_attempts(self) -> Iterator[None]:
        expected_by_engine = copy_in_flight_counts(self.ledger.list_engine_rows())
        expected_by_class = copy_in_flight_counts(self.ledger.request_classes.values())
        attempts = self.records.list_attempts_in_flight()
        yield
        tallies: Tallies = {}
        yield from self._tally(attempts, _get_engine_row_of_attempt, tallies)
        for part in split_into_slices(expected_by_engine, self.slice_rows):
            for each in part:
                self._compare(each, tallies, self._classify_attempt)
            yield
        tallies.clear()
        yield from self._tally(attempts, _get_row_of_attempt, tallies)
        for each in expected_by_class:
            self._compare(each, tallies, self._classify_attempt)

    def _tally(
        self, records: list[Any], get_row: Callable[[Any], Row], tallies: Tallies
    ) -> Iterator[None]:
        for part in split_into_slices(records, self.slice_records):
            tally_records(part, get_row, tallies)
            yield

    def _check_request_class_rows(self) -> Iterator[None]:
        """Check the equations within each row, which hold at any moment."""
        for part in split_into_slices([*self.ledger.request_classes.values()], self.slice_records):
            for row in part:
                self._check_request_class_row(row)
            yield

    def _check_request_class_row(self, row: RequestClassRow) -> None:
        accepted, *ends = row.terms
        difference = accepted - sum(ends) - row.open
        if difference:
            detail = "taken - served - refused - failed - open"
            self._record(DiscrepancyKind.TERMS_DIFFER, row, difference, detail)
        reasons_of_term = [0] * len(TERM_NAMES)
        for reason, count in enumerate(row.reasons):
            reasons_of_term[TERM_BY_REASON[reason]] += count
        for term in (Term.SUCCEEDED, Term.REJECTED, Term.FAILED):
            difference = row.terms[term] - reasons_of_term[term]
            if difference:
                detail = f"{TERM_NAMES[term]} - its reasons"
                self._record(DiscrepancyKind.TERMS_DIFFER, row, difference, detail)

    def _check_engine_rows(self) -> Iterator[None]:
        for part in split_into_slices(self.ledger.list_engine_rows(), self.slice_rows):
            for row in part:
                difference = sum(row.sent_by_kind) - sum(row.outcomes) - row.in_flight
                if difference:
                    detail = "handed off - outcomes - out"
                    self._record(DiscrepancyKind.TERMS_DIFFER, row, difference, detail)
            yield

    def _check_attempts_of_gateway(self) -> Iterator[None]:
        """Compare the socket host's record of each attempt in flight with that of the policy.

        The record of the policy is the one that `policy.gateway.Gateway` keeps.
        """
        for part in split_into_slices(self.records.list_attempts_in_flight(), self.slice_records):
            for attempt in part:
                mismatch = self.records.find_attempt_mismatch(attempt)
                if mismatch:
                    self._record(DiscrepancyKind.ENGINE_MISMATCH, attempt.engine_row, 1, mismatch)
            yield

    def _check_engines_of_gateway(self) -> Iterator[None]:
        for part in split_into_slices(self.records.list_engines(), self.slice_engines):
            for engine in part:
                name, mismatch = self.records.find_engine_mismatch(engine)
                if mismatch:
                    self.discrepancies.record_difference(
                        DiscrepancyKind.ENGINE_MISMATCH, name, 1, mismatch
                    )
            yield

    def _check_rows_without_engine(self) -> None:
        listed = {self.records.get_engine_name(engine) for engine in self.records.list_engines()}
        for name in self.ledger.engines.keys() - listed:
            self.discrepancies.record_difference(
                DiscrepancyKind.ENGINE_MISMATCH,
                name,
                1,
                "the ledger has a row for an engine that is not listed",
            )

    def _check_attempt_sums(self) -> None:
        """Compare the attempt counts summed by request class with those summed by engine."""
        engine_rows = self.ledger.list_engine_rows()
        for attempt_kind, name in enumerate(ATTEMPT_KIND_NAMES):
            by_class = sum(
                row.sent_by_kind[attempt_kind] for row in self.ledger.request_classes.values()
            )
            by_engine = sum(row.sent_by_kind[attempt_kind] for row in engine_rows)
            self._check_sum(Equation(name, by_class - by_engine, "by offering - by engine"))

    def _check_connections(self) -> None:
        pages = 0
        sides = zip(self.ledger.sides, SIDE_NAMES, self.records.count_connections(), strict=True)
        for side, name, (connections_up, pages_received) in sides:
            difference = side.opened - side.closed - connections_up
            self._check_sum(
                Equation(f"{name} connections", difference, "up - ended - open connections")
            )
            pages += side.pages + pages_received
        difference = sum(row.pages for row in self.ledger.list_engine_rows()) - pages
        self._check_sum(Equation("pages", difference, "by engine - by connection"))

    def _check_equations(self) -> None:
        for equations in self.equations:
            for name, difference, detail in equations():
                self._check_sum(Equation(name, difference, detail))

    def _check_sum(self, equation: Equation) -> None:
        if equation.difference:
            self.discrepancies.record_difference(
                DiscrepancyKind.SUMS_DIFFER, equation.name, equation.difference, equation.detail
            )

    # Classification of differences.

    def _compare(
        self, expected: ExpectedTally, tallies: Tallies, classify: DifferenceClassifier
    ) -> None:
        row, expected_count, expected_serial_sum = expected
        tally = tallies.get(row, _NO_RECORDS)
        difference = expected_count - tally.count
        serial_difference = expected_serial_sum - tally.serial_sum
        if not difference and not serial_difference:
            return
        # A single request or attempt explains a difference of one, and the difference of the serial
        # sums is then its serial number. A live record that was never counted has serial number 0.
        if abs(difference) == 1:
            serial = serial_difference * difference
            if serial > 0 or (serial == 0 and difference < 0):
                kind = classify(row, difference, serial)
                self._record(kind, row, difference, f"serial {serial}", serial)
                return
        detail = f"serials differ by {serial_difference}"
        self._record(DiscrepancyKind.COUNT_ALTERED, row, difference, detail)

    def _classify_request(self, row: Row, difference: int, serial: int) -> DiscrepancyKind:
        """Classify a request that is open only in the ledger, or only in the live records."""
        if not serial:
            return DiscrepancyKind.NEVER_ENTERED
        if not 0 < serial <= self.ledger.last_request_serial:
            return DiscrepancyKind.COUNT_ALTERED
        if difference > 0:
            if self.records.find_other_reference(serial):
                return DiscrepancyKind.LOST_FROM_TABLE
            return DiscrepancyKind.NEVER_CLOSED
        events = self.ledger.find_last_events(row, serial)
        if any(event.kind == EventKind.CLOSED for event in events):
            return DiscrepancyKind.CLOSED_TWICE
        return DiscrepancyKind.NEVER_ENTERED

    def _classify_attempt(self, row: Row, difference: int, serial: int) -> DiscrepancyKind:
        """Classify an attempt that is in flight only in the ledger, or only in the live records."""
        if not serial:
            return DiscrepancyKind.ATTEMPT_NEVER_ENTERED
        if not 0 < serial <= self.ledger.last_attempt_serial:
            return DiscrepancyKind.COUNT_ALTERED
        if difference > 0:
            return DiscrepancyKind.ATTEMPT_NEVER_CLOSED
        return DiscrepancyKind.ATTEMPT_CLOSED_TWICE

    def _record(
        self, kind: DiscrepancyKind, row: Row, difference: int, detail: str, serial: int = 0
    ) -> None:
        events = self.ledger.find_last_events(row, serial)
        self.discrepancies.record_difference(kind, row.name, difference, detail, events)


def _get_row_of_request(entry: RequestEntry) -> RequestClassRow:
    return entry.row


def _get_engine_row_of_attempt(attempt: AttemptEntry) -> EngineRow:
    return attempt.engine_row


def _get_row_of_attempt(attempt: AttemptEntry) -> RequestClassRow:
    return attempt.client_request.row

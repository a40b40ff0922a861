"""Counts requests, attempts and connections by request class, engine and connection side.

Owns the rows and the most recent events. Free of I/O; the caller provides the clock. The ledger
must never read the live records (the auditor compares both) and must never correct a count. An
entry must be cheap, because the ledger is on the path of every request.
"""

from collections import deque
from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import NamedTuple

from corkgauge.accounting.counter_names import (
    OUTCOME_NAMES,
    REMOVED_ENGINES_ROW,
    SIDE_NAMES,
    TERM_BY_REASON,
    TERM_NAMES,
    UNUSABLE_ROW,
    AttemptKind,
    EndReason,
    Side,
    Term,
)
from corkgauge.accounting.discrepancies import DiscrepancyKind
from corkgauge.accounting.ledger_rows import (
    AttemptEntry,
    EngineRow,
    RequestClassRow,
    RequestEntry,
    Row,
    SideRow,
)
from corkgauge.accounting.retry_budget_check import RetryBudget, RetryBudgetCheck

MAX_EVENTS = 512  # most recent events of all rows together, kept as context for mistakes
MAX_EVENTS_SHOWN = 8  # events in one finding

MistakeHandler = Callable[[str, Row, int], None]
"""Called with the kind of the mistake, the row, and the serial number of the wrong entry."""


class EventKind(StrEnum):
    """Kind of a ledger event; findings show the values."""

    ACCEPTED = "entered"
    CLOSED = "closed"
    ATTEMPT_SENT = "handed off"
    ATTEMPT_FINISHED = "over"


class LedgerEvent(NamedTuple):
    """An event of one row, in the form that a finding shows."""

    at: int
    """Tenths of a millisecond."""
    kind: str
    serial: int


# Events are stored as plain tuples and become a LedgerEvent only when they are shown, because
# creating a NamedTuple costs a call, and a request with one attempt makes four events.
_StoredEvent = tuple[int, str, Row, int]

# Module constants, because a lookup through the enum costs more than all additions of an entry.
_ACCEPTED = int(Term.ACCEPTED)
_FIRST = int(AttemptKind.FIRST)
_NO_CAPACITY = EndReason.NO_CAPACITY
_UNUSABLE = EndReason.UNUSABLE
_EVENT_ACCEPTED = EventKind.ACCEPTED
_EVENT_CLOSED = EventKind.CLOSED
_EVENT_ATTEMPT_SENT = EventKind.ATTEMPT_SENT
_EVENT_ATTEMPT_FINISHED = EventKind.ATTEMPT_FINISHED


def _ignore_mistake(kind: str, row: Row, serial: int) -> None:
    """Do nothing: the default handler of ledgers without an auditor."""


class RequestLedger:
    """Counts requests, attempts and connections; each kind of event has its own method.

    `clock` returns tenths of a millisecond. `budget` is the retry budget's floor, its allowance
    per accepted request and its window in tenths of a millisecond; without a budget, or with a
    window of 0, no budget is checked. `on_mistake` is called for an entry that is wrong in itself,
    such as a second end of one request.
    """

    def __init__(
        self,
        request_classes: Iterable[str],
        clock: Callable[[], int],
        budget: tuple[float, float, int] | None = None,
        on_mistake: MistakeHandler = _ignore_mistake,
    ) -> None:
        self.clock = clock
        self.on_mistake = on_mistake
        self.request_classes = {name: RequestClassRow(name) for name in request_classes}
        self.unusable_row = self.request_classes[UNUSABLE_ROW] = RequestClassRow(UNUSABLE_ROW)
        self.engines: dict[str, EngineRow] = {}
        self.removed_row = EngineRow(REMOVED_ENGINES_ROW)
        # Rows of removed engines that still have attempts in flight.
        self.removed_in_flight: list[EngineRow] = []
        self.sides = [SideRow(name) for name in SIDE_NAMES]
        self.last_request_serial = 0
        self.last_attempt_serial = 0
        self.events = deque[_StoredEvent](maxlen=MAX_EVENTS)
        self._append_event = self.events.append  # bound once; called for each event
        self.budget_check: RetryBudgetCheck | None = None
        if budget is not None and budget[2]:
            self.budget_check = RetryBudgetCheck(RetryBudget(*budget))

    # Requests.

    def record_accepted(self, request: RequestEntry) -> None:
        """Count an accepted request, which must get exactly one final answer."""
        row = request.row
        if request.serial:
            self.on_mistake(DiscrepancyKind.ENTERED_TWICE, row, abs(request.serial))
        serial = self.last_request_serial + 1
        self.last_request_serial = request.serial = serial
        row.terms[_ACCEPTED] += 1
        row.open += 1
        row.open_serial_sum += serial
        now = self.clock()
        self._append_event((now, _EVENT_ACCEPTED, row, serial))
        if self.budget_check is not None:
            self.budget_check.record_accepted(now)

    def record_closed(self, request: RequestEntry, reason: int) -> None:
        """Count the end of a request; `reason` is an `EndReason`."""
        row = request.row
        serial = request.serial
        if serial <= 0:
            # The totals do not show a second end if the end of another request is missing, so the
            # mistake is reported here. The end is still counted, because the ledger never corrects
            # counts silently.
            kind = DiscrepancyKind.CLOSED_TWICE if serial else DiscrepancyKind.NEVER_ENTERED
            serial = -serial
            self.on_mistake(kind, row, serial)
        request.serial = -serial
        row.terms[TERM_BY_REASON[reason]] += 1
        row.reasons[reason] += 1
        row.open -= 1
        row.open_serial_sum -= serial
        self._append_event((self.clock(), _EVENT_CLOSED, row, serial))

    def record_rejected(self, row: RequestClassRow) -> None:
        """Count a request that was rejected on arrival because too many requests were open."""
        self._record_closed_on_arrival(row, _NO_CAPACITY)

    def record_unusable(self) -> None:
        """Count an unusable request, which has no request class."""
        self._record_closed_on_arrival(self.unusable_row, _UNUSABLE)

    def _record_closed_on_arrival(self, row: RequestClassRow, reason: EndReason) -> None:
        row.terms[_ACCEPTED] += 1
        row.terms[TERM_BY_REASON[reason]] += 1
        row.reasons[reason] += 1

    # Attempts.

    def record_attempt_sent(self, attempt: AttemptEntry, attempt_kind: int) -> None:
        """Count an attempt that is sent; `attempt_kind` is an `AttemptKind`."""
        row = attempt.client_request.row
        engine = attempt.engine_row
        if attempt.serial:
            self.on_mistake(DiscrepancyKind.ATTEMPT_ENTERED_TWICE, engine, abs(attempt.serial))
        serial = self.last_attempt_serial + 1
        self.last_attempt_serial = attempt.serial = serial
        row.sent_by_kind[attempt_kind] += 1
        row.in_flight += 1
        row.in_flight_serial_sum += serial
        engine.sent_by_kind[attempt_kind] += 1
        engine.in_flight += 1
        engine.in_flight_serial_sum += serial
        now = self.clock()
        self._append_event((now, _EVENT_ATTEMPT_SENT, engine, serial))
        if (
            attempt_kind != _FIRST
            and self.budget_check is not None
            and self.budget_check.record_extra_attempt(now)
        ):
            self.on_mistake(DiscrepancyKind.OVER_BUDGET, engine, serial)

    def record_attempt_finished(self, attempt: AttemptEntry, outcome: int) -> None:
        """Count the outcome of an attempt; `outcome` is an `AttemptOutcome`."""
        row = attempt.client_request.row
        engine = attempt.engine_row
        serial = attempt.serial
        if serial <= 0:
            kind = DiscrepancyKind.ATTEMPT_CLOSED_TWICE
            if not serial:
                kind = DiscrepancyKind.ATTEMPT_NEVER_ENTERED
            serial = -serial
            self.on_mistake(kind, engine, serial)
        attempt.serial = -serial
        engine.outcomes[outcome] += 1
        engine.in_flight -= 1
        engine.in_flight_serial_sum -= serial
        row.in_flight -= 1
        row.in_flight_serial_sum -= serial
        self._append_event((self.clock(), _EVENT_ATTEMPT_FINISHED, engine, serial))
        if engine.is_removed and not engine.in_flight and engine in self.removed_in_flight:
            self.removed_in_flight.remove(engine)
            self.removed_row.add_row(engine)

    # Engines and connections.

    def get_engine_row(self, name: str) -> EngineRow:
        """Return the row of a listed engine; create the row if there is none.

        An engine that is listed again under the id of a removed engine gets a new row. The counts
        of the removed engine go into the row of removed engines.
        """
        row = self.engines.get(name)
        if row is None:
            row = self.engines[name] = EngineRow(name)
        return row

    def record_engine_removed(self, row: EngineRow) -> None:
        """Add the row of an engine to the row of removed engines, once no attempt is in flight.

        Without this, engines that are replaced under new ids all day would grow the table without
        limit.
        """
        if row.is_removed:
            return
        row.is_removed = True
        if self.engines.get(row.name) is row:
            del self.engines[row.name]
        if row.in_flight:
            self.removed_in_flight.append(row)
        else:
            self.removed_row.add_row(row)

    def record_connection_opened(self, side: int) -> None:
        """Count an opened connection; `side` is a `Side`."""
        self.sides[side].opened += 1

    def record_connection_closed(
        self, side: int, received_bytes: int, sent_bytes: int, pages: int = 0
    ) -> None:
        """Count a closed connection, its bytes, and the result pages received on it."""
        row = self.sides[side]
        row.closed += 1
        row.received_bytes += received_bytes
        row.sent_bytes += sent_bytes
        row.pages += pages

    # Reading.

    def list_engine_rows(self) -> list[EngineRow]:
        """Return all rows of engines, those of removed engines last."""
        return [*self.engines.values(), *self.removed_in_flight, self.removed_row]

    def sum_term(self, term: int) -> int:
        """Return the count of a `Term` over all request classes."""
        return sum(row.terms[term] for row in self.request_classes.values())

    def sum_outcome(self, outcome: int) -> int:
        """Return the count of an `AttemptOutcome` over all engines."""
        return sum(row.outcomes[outcome] for row in self.list_engine_rows())

    def find_last_events(
        self, row: Row, serial: int = 0, limit: int = MAX_EVENTS_SHOWN
    ) -> list[LedgerEvent]:
        """Return the last events of a row; with a serial number, only the events of that number."""
        found = [
            LedgerEvent(at, kind, event_serial)
            for at, kind, event_row, event_serial in self.events
            if event_row is row and (not serial or event_serial == serial)
        ]
        return found[-limit:]

    def get_log_totals(self) -> dict[str, int]:
        """Return the totals that are not 0, by their names in the log, which must not change."""
        totals = {TERM_NAMES[Term.ACCEPTED]: self.sum_term(Term.ACCEPTED)}
        for term in (Term.SUCCEEDED, Term.REJECTED):
            totals[f"answered {TERM_NAMES[term]}"] = self.sum_term(term)
        # Requests that clients cancelled or abandoned do not count as answered. ANSWER_NOT_READ
        # counts as answered, because the gateway created the answer.
        answered_failed = (EndReason.UNUSABLE, EndReason.GIVEN_UP, EndReason.ANSWER_NOT_READ)
        totals[f"answered {TERM_NAMES[Term.FAILED]}"] = sum(
            row.reasons[reason]
            for row in self.request_classes.values()
            for reason in answered_failed
        )
        for outcome in range(len(OUTCOME_NAMES)):
            totals[f"outcome {outcome}"] = self.sum_outcome(outcome)
        clients = self.sides[Side.CLIENT]
        totals["connections"] = clients.opened
        totals["connections ended"] = clients.closed
        return {name: count for name, count in totals.items() if count}

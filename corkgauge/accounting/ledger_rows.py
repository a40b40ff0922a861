"""Defines the rows of the ledger: the counts of a request class, an engine or a connection side.

In addition to the number of open requests or attempts, a row holds the sum of their serial numbers.
Two mistakes that cancel out in the number (one request lost, another one entered twice) do not
cancel out in the sum, and the change of the sum by a single mistake is the serial number of the
affected request or attempt.
"""

from operator import add
from typing import Protocol

from corkgauge.accounting.counter_names import (
    ATTEMPT_KIND_NAMES,
    END_REASONS,
    OUTCOME_NAMES,
    TERM_NAMES,
)


class RequestClassRow:
    """The counts of one request class."""

    __slots__ = (
        "in_flight",
        "in_flight_serial_sum",
        "name",
        "open",
        "open_serial_sum",
        "reasons",
        "sent_by_kind",
        "terms",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.terms = [0] * len(TERM_NAMES)  # requests, by `Term`
        self.reasons = [0] * len(END_REASONS)  # requests that ended, by `EndReason`
        self.open = 0  # requests that still need an answer
        self.open_serial_sum = 0  # sum of the serial numbers of open requests
        self.sent_by_kind = [0] * len(ATTEMPT_KIND_NAMES)  # attempts sent, by `AttemptKind`
        self.in_flight = 0  # attempts without an outcome yet
        self.in_flight_serial_sum = 0  # sum of the serial numbers of attempts in flight


class EngineRow:
    """The counts of one engine, named by its id, or of all removed engines together."""

    __slots__ = (
        "in_flight",
        "in_flight_serial_sum",
        "is_removed",
        "name",
        "outcomes",
        "pages",
        "sent_by_kind",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_removed = False
        self.sent_by_kind = [0] * len(ATTEMPT_KIND_NAMES)  # attempts sent, by `AttemptKind`
        self.outcomes = [0] * len(OUTCOME_NAMES)  # attempts that finished, by `AttemptOutcome`
        self.in_flight = 0  # attempts without an outcome yet
        self.in_flight_serial_sum = 0  # sum of the serial numbers of attempts in flight
        self.pages = 0  # pages of results received

    def add_row(self, other: "EngineRow") -> None:
        """Add the counts of another row to this one."""
        self.sent_by_kind = [*map(add, self.sent_by_kind, other.sent_by_kind)]
        self.outcomes = [*map(add, self.outcomes, other.outcomes)]
        self.in_flight += other.in_flight
        self.in_flight_serial_sum += other.in_flight_serial_sum
        self.pages += other.pages


Row = RequestClassRow | EngineRow


class SideRow:
    """The counts of the connections of one side; bytes and pages are of closed connections."""

    __slots__ = "closed", "name", "opened", "pages", "received_bytes", "sent_bytes"

    def __init__(self, name: str) -> None:
        self.name = name
        self.opened = 0
        self.closed = 0
        self.received_bytes = 0
        self.sent_bytes = 0
        self.pages = 0


class RequestEntry(Protocol):
    """A request, as far as the ledger uses it.

    `serial` is 0 until the request is recorded, then the serial number of the request, and the
    negated serial number once the end is recorded.
    """

    row: RequestClassRow
    serial: int


class AttemptEntry(Protocol):
    """An attempt, as far as the ledger uses it; `serial` is used as in `RequestEntry`."""

    @property
    def client_request(self) -> RequestEntry:
        """The request that the attempt belongs to."""

    engine_row: EngineRow
    serial: int

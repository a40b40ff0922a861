"""Rows of the ledger: the counts of one request class, one engine, or one side of connections.

A row keeps, beside the number of things that are open, the sum of their serial numbers. Two
mistakes that cancel out in a number (one thing lost, another entered twice) do not cancel out in
the sum, and the difference that a single mistake makes in the sum is the serial number of what it
happened to.
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
    """The account of one request class."""

    __slots__ = (
        "in_flight",
        "in_flight_serials",
        "name",
        "open",
        "open_serials",
        "reasons",
        "sent_by_kind",
        "terms",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.terms = [0] * len(TERM_NAMES)  # requests, by `Term`
        self.reasons = [0] * len(END_REASONS)  # requests that ended, by `EndReason`
        self.open = 0  # requests that are owed an answer
        self.open_serials = 0  # the sum of their serial numbers
        self.sent_by_kind = [0] * len(ATTEMPT_KIND_NAMES)  # attempts sent, by `AttemptKind`
        self.in_flight = 0  # attempts whose outcome is awaited
        self.in_flight_serials = 0  # the sum of their serial numbers


class EngineRow:
    """The account of one engine, by its id; or of all that were removed, in one row."""

    __slots__ = (
        "in_flight",
        "in_flight_serials",
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
        self.in_flight = 0  # attempts whose outcome is awaited
        self.in_flight_serials = 0  # the sum of their serial numbers
        self.pages = 0  # pages of results received

    def add_row(self, other: "EngineRow") -> None:
        """Add the counts of another row to this one."""
        self.sent_by_kind = [*map(add, self.sent_by_kind, other.sent_by_kind)]
        self.outcomes = [*map(add, self.outcomes, other.outcomes)]
        self.in_flight += other.in_flight
        self.in_flight_serials += other.in_flight_serials
        self.pages += other.pages


Row = RequestClassRow | EngineRow


class SideRow:
    """The account of the connections of one side; bytes and pages are of closed ones."""

    __slots__ = "closed", "name", "opened", "pages", "received_bytes", "sent_bytes"

    def __init__(self, name: str) -> None:
        self.name = name
        self.opened = 0
        self.closed = 0
        self.received_bytes = 0
        self.sent_bytes = 0
        self.pages = 0


class RequestEntry(Protocol):
    """What the ledger needs of a request.

    `serial` is 0 until the request is recorded, then its serial number, and that number negated
    once its end is recorded.
    """

    row: RequestClassRow
    serial: int


class AttemptEntry(Protocol):
    """What the ledger needs of an attempt; `serial` is as that of a request."""

    @property
    def client_request(self) -> RequestEntry:
        """The request that the attempt is of."""

    engine_row: EngineRow
    serial: int

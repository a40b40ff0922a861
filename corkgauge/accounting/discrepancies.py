"""Discrepancies: what does not add up, named, dated, and kept until an operator clears it.

Owns the findings and the log lines about them. Free of I/O, the clock is handed in. Never changes a
count, never drops a finding by itself, and does not grow with the damage: it keeps one finding a
kind and row.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum

MAX_FINDINGS = 256  # kept; what comes beyond is only counted

Event = tuple[int, str, int]
"""When (tenths of a millisecond), what, and the serial number of what it happened to."""


class DiscrepancyKind(StrEnum):
    """What is wrong; the values stand in logs, JSON and metrics, and never change."""

    ENTERED_TWICE = "entered twice"
    """One request was counted as accepted two times."""
    NEVER_ENTERED = "never entered"
    """A live record, or an end, of a request that was never counted."""
    NEVER_CLOSED = "never closed"
    """The end of a request was not counted, and no live record holds it."""
    CLOSED_TWICE = "closed twice"
    """One end was counted two times, or a closed request is still in the table."""
    ATTEMPT_NEVER_CLOSED = "hand-off never closed"
    """The outcome of an attempt was not counted, and it is not in flight."""
    ATTEMPT_CLOSED_TWICE = "hand-off closed twice"
    """The outcome of an attempt was counted two times, or while it is in flight."""
    ATTEMPT_ENTERED_TWICE = "hand-off entered twice"
    """One attempt was counted as sent two times."""
    ATTEMPT_NEVER_ENTERED = "hand-off never entered"
    """An attempt in flight, or an outcome, of which no sending was counted."""
    LOST_FROM_TABLE = "lost from the table"
    """A request is open and known elsewhere, but is no longer in the table."""
    COUNT_ALTERED = "count altered"
    """A count differs by what no single request or attempt explains."""
    TERMS_DIFFER = "terms differ"
    """An equation within one row does not hold."""
    ENGINE_MISMATCH = "engine out of step"
    """The gateway and the host hold different attempts in flight at an engine."""
    SUMS_DIFFER = "books differ"
    """Sums by request class and by engine, or by connection, differ."""
    OVER_BUDGET = "over budget"
    """More retries and hedged attempts in a window than the budget allows."""


# Mistakes after which the counts hold less than the records do; they are counted downwards.
COUNTS_HOLD_LESS = frozenset(
    {
        DiscrepancyKind.CLOSED_TWICE,
        DiscrepancyKind.ATTEMPT_CLOSED_TWICE,
        DiscrepancyKind.NEVER_ENTERED,
        DiscrepancyKind.ATTEMPT_NEVER_ENTERED,
    }
)


@dataclass(slots=True)
class Discrepancy:
    """One finding, as it was first seen and as it is now. Times are tenths of a millisecond."""

    kind: str
    row: str  # name of the request class, the engine or the side
    first_seen_at: int
    last_seen_at: int
    difference: int  # what the counts say, less what the records say; or how often it happened
    detail: str
    events: Sequence[Event]
    logged_difference: int  # the difference in the last log line about it
    times_seen: int = 1  # passes, or entries, that saw it

    def log_line(self) -> str:
        """Return the line that tells of it in the log."""
        line = f"figures out of balance: {self.row} {self.kind} {self.difference:+d}"
        line += f" since={self.first_seen_at}"
        if self.detail:
            line += f" {self.detail}"
        return line

    def has_changed_much(self, difference: int) -> bool:
        """Whether a new difference has the other sign, or is twice the one that was logged."""
        logged = self.logged_difference
        return difference * logged < 0 or abs(difference) >= 2 * abs(logged) > 0


class Discrepancies:
    """The findings that nobody has cleared."""

    def __init__(self, clock: Callable[[], int], log: Callable[[str], None]) -> None:
        self.clock = clock
        self.log = log
        self.by_kind_and_row: dict[tuple[str, str], Discrepancy] = {}  # by kind and row
        self.omitted_count = 0  # findings beyond MAX_FINDINGS

    @property
    def has_findings(self) -> bool:
        """Whether there is a finding."""
        return bool(self.by_kind_and_row)

    def record_difference(
        self, kind: str, row: str, difference: int, detail: str = "", events: Sequence[Event] = ()
    ) -> None:
        """Record a difference as one pass of the auditor sees it, in place of the last one."""
        now = self.clock()
        found = self.by_kind_and_row.get((kind, row))
        if found is None:
            # Damage in every row would otherwise fill the memory with its own report.
            if len(self.by_kind_and_row) >= MAX_FINDINGS:
                self.omitted_count += 1
                return
            found = Discrepancy(kind, row, now, now, difference, detail, events, difference)
            self.by_kind_and_row[kind, row] = found
            self.log(found.log_line())
            return
        found.last_seen_at = now
        found.times_seen += 1
        found.difference = difference
        # A count that runs away would otherwise write a line a pass.
        if found.has_changed_much(difference):
            found.logged_difference = difference
            found.detail = detail
            self.log(found.log_line())

    def record_mistake(
        self, kind: str, row: str, detail: str = "", events: Sequence[Event] = ()
    ) -> None:
        """Record a mistake that was seen at an entry itself: each one adds to its finding."""
        difference = -1 if kind in COUNTS_HOLD_LESS else 1
        found = self.by_kind_and_row.get((kind, row))
        if found is not None:
            difference += found.difference
        self.record_difference(kind, row, difference, detail, events)

    def clear(self) -> int:
        """Forget all findings and return how many there were.

        What is still wrong is found again by the next pass.
        """
        count = len(self.by_kind_and_row)
        self.by_kind_and_row = {}
        self.omitted_count = 0
        if count:
            self.log(f"figures: {count} findings cleared")
        return count

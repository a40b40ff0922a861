"""Records discrepancies between the ledger and the live records until an operator clears them.

Owns the findings and their log lines. Free of I/O; the caller provides the clock. The module must
never change a count, and must keep each finding until an operator clears the findings. Memory is
bounded: there is one finding per kind and row, and at most MAX_FINDINGS.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum

MAX_FINDINGS = 256  # findings that are kept; observations of further ones are only counted

Event = tuple[int, str, int]
"""Time (tenths of a millisecond), event kind, and serial number of the request or attempt."""


class DiscrepancyKind(StrEnum):
    """Kind of a discrepancy; the values appear in logs, JSON and metrics and must not change."""

    ENTERED_TWICE = "entered twice"
    """One request was counted as accepted twice."""
    NEVER_ENTERED = "never entered"
    """A live record or an end belongs to a request that was never counted as accepted."""
    NEVER_CLOSED = "never closed"
    """The end of a request was not counted, and no live record holds it."""
    CLOSED_TWICE = "closed twice"
    """One end was counted twice, or a closed request is still in the table."""
    ATTEMPT_NEVER_CLOSED = "hand-off never closed"
    """The outcome of an attempt was not counted, and it is not in flight."""
    ATTEMPT_CLOSED_TWICE = "hand-off closed twice"
    """The outcome of an attempt was counted twice, or while the attempt is in flight."""
    ATTEMPT_ENTERED_TWICE = "hand-off entered twice"
    """One attempt was counted as sent twice."""
    ATTEMPT_NEVER_ENTERED = "hand-off never entered"
    """An attempt in flight, or an outcome, belongs to an attempt not counted as sent."""
    LOST_FROM_TABLE = "lost from the table"
    """An open request is missing in the table, although another table still refers to it."""
    COUNT_ALTERED = "count altered"
    """A count differs by an amount that no single request or attempt explains."""
    TERMS_DIFFER = "terms differ"
    """An equation within one row does not hold."""
    ENGINE_MISMATCH = "engine out of step"
    """`policy.gateway.Gateway` and the socket host have different attempts in flight at an engine.

    Also recorded if the ledger has a row for an engine that is not listed.
    """
    SUMS_DIFFER = "books differ"
    """Sums by request class and by engine, or by connection, differ.

    Also recorded if an equation of another subsystem does not hold.
    """
    OVER_BUDGET = "over budget"
    """A window has more retries and hedged attempts than the retry budget allows."""


# Mistakes that make the counts lower than the records; their differences are negative.
KINDS_WITH_NEGATIVE_DIFFERENCE = frozenset(
    {
        DiscrepancyKind.CLOSED_TWICE,
        DiscrepancyKind.ATTEMPT_CLOSED_TWICE,
        DiscrepancyKind.NEVER_ENTERED,
        DiscrepancyKind.ATTEMPT_NEVER_ENTERED,
    }
)


@dataclass(slots=True)
class Discrepancy:
    """A finding, with its first and its latest observation; times are tenths of a millisecond."""

    kind: str
    row: str  # name of the request class, the engine or the side
    first_seen_at: int
    last_seen_at: int
    difference: int  # counts minus records; for a mistake, the number of occurrences
    detail: str
    events: Sequence[Event]
    logged_difference: int  # the difference in the last log line of the finding
    times_seen: int = 1  # passes or entries that observed the finding

    def log_line(self) -> str:
        """Return the log line of the finding."""
        line = f"figures out of balance: {self.row} {self.kind} {self.difference:+d}"
        line += f" since={self.first_seen_at}"
        if self.detail:
            line += f" {self.detail}"
        return line

    def has_changed_much(self, difference: int) -> bool:
        """Return whether the sign changed or the difference doubled since the last log line."""
        logged = self.logged_difference
        return difference * logged < 0 or abs(difference) >= 2 * abs(logged) > 0


class Discrepancies:
    """The findings that no operator has cleared."""

    def __init__(self, clock: Callable[[], int], log: Callable[[str], None]) -> None:
        self.clock = clock
        self.log = log
        self.by_kind_and_row: dict[tuple[str, str], Discrepancy] = {}
        # Observations of findings beyond MAX_FINDINGS; one such finding counts once in each pass.
        self.omitted_count = 0

    @property
    def has_findings(self) -> bool:
        """Whether there is a finding."""
        return bool(self.by_kind_and_row)

    def record_difference(
        self, kind: str, row: str, difference: int, detail: str = "", events: Sequence[Event] = ()
    ) -> None:
        """Record a difference that was observed, replacing the previous difference of its finding.

        The finding keeps the events of its first observation. Its detail changes only when a new
        line is logged.
        """
        now = self.clock()
        found = self.by_kind_and_row.get((kind, row))
        if found is None:
            # Without this limit, discrepancies in every row would exhaust the memory.
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
        # Without this check, a difference that grows all the time would log a line in each pass.
        if found.has_changed_much(difference):
            found.logged_difference = difference
            found.detail = detail
            self.log(found.log_line())

    def record_mistake(
        self, kind: str, row: str, detail: str = "", events: Sequence[Event] = ()
    ) -> None:
        """Record a wrong ledger entry, which changes the difference of its finding by 1 or -1."""
        difference = -1 if kind in KINDS_WITH_NEGATIVE_DIFFERENCE else 1
        found = self.by_kind_and_row.get((kind, row))
        if found is not None:
            difference += found.difference
        self.record_difference(kind, row, difference, detail, events)

    def clear(self) -> int:
        """Remove all findings and return their number.

        The next pass finds the discrepancies that still exist.
        """
        count = len(self.by_kind_and_row)
        self.by_kind_and_row = {}
        self.omitted_count = 0
        if count:
            self.log(f"figures: {count} findings cleared")
        return count

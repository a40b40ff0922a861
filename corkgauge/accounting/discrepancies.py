"""What does not add up: named, dated, kept until an operator clears it.

Owns the findings and the log lines about them. Free of I/O, the clock is handed in. Must never change a
count, never drop a finding by itself, and never grow with the damage: one finding a kind and row.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

MOST = 256  # findings kept; what comes beyond is counted only

# Kinds, each with what it says.
ENTERED_TWICE = "entered twice"  # one thing was counted as taken two times
NEVER_ENTERED = "never entered"  # a live record, or an end, that no count knows
NEVER_CLOSED = "never closed"  # its end was not counted, and no live record holds it
CLOSED_TWICE = (
    "closed twice"  # one end was counted two times, or a closed one is still in the table
)
HAND_NEVER_CLOSED = "hand-off never closed"  # its outcome was not counted, and nothing is out
HAND_CLOSED_TWICE = "hand-off closed twice"  # its outcome was counted two times, or while it is out
HAND_ENTERED_TWICE = "hand-off entered twice"
HAND_NEVER_ENTERED = "hand-off never entered"
LOST = "lost from the table"  # open, a record of it is left elsewhere, not in the table
COUNT_ALTERED = "count altered"  # a count differs by what no single thing explains
TERMS_DIFFER = "terms differ"  # an equation within one row does not hold
OUT_OF_STEP = "engine out of step"  # the gateway and the host hold other hand-offs out at an engine
BOOKS_DIFFER = "books differ"  # sums by offering and by engine, or by connection, differ
OVER_BUDGET = "over budget"  # more further hand-offs in a window than are allowed
LESS = CLOSED_TWICE, HAND_CLOSED_TWICE, NEVER_ENTERED, HAND_NEVER_ENTERED  # the counts hold less


@dataclass(slots=True)
class Discrepancy:
    """One mistake, as it was first seen and as it is now. Times are tenths of a millisecond."""

    kind: str
    row: str  # of the offering, the engine or the side
    first: int
    last: int
    difference: int  # what the counts say, less what the records say; or how often
    detail: str
    events: list[tuple[int, str, int]] = field(default_factory=list)
    told: int = 0  # the difference that the log last told
    times: int = 1  # passes, or entries, that saw it

    def line(self) -> str:
        return (
            f"figures out of balance: {self.row} {self.kind} {self.difference:+d} since={self.first}"
            + (f" {self.detail}" if self.detail else "")
        )


class Discrepancies:
    """The findings; `alarm` is raised while there is one that nobody cleared."""

    def __init__(self, clock: Callable[[], int], log: Callable[[str], None]) -> None:
        self.clock, self.log = clock, log
        self.held: dict[tuple[str, str], Discrepancy] = {}
        self.untold = 0  # that found no room

    @property
    def alarm(self) -> bool:
        return bool(self.held)

    def see(
        self,
        kind: str,
        row: str,
        difference: int,
        detail: str = "",
        events: list[tuple[int, str, int]] | None = None,
    ) -> None:
        """An imbalance, as one pass sees it."""
        now, found = self.clock(), self.held.get((kind, row))
        if found is None:
            # Danger: damage in every row would fill the memory with its own report
            if len(self.held) >= MOST:
                self.untold += 1
                return
            found = self.held[kind, row] = Discrepancy(
                kind, row, now, now, difference, detail, events or []
            )
            found.told = difference
            return self.log(found.line())
        found.last, found.times, found.difference = now, found.times + 1, difference
        # One line a change; Danger: a count that runs away would write a line a pass.
        if difference * found.told < 0 or abs(difference) >= 2 * abs(found.told) > 0:
            found.told, found.detail = difference, detail
            self.log(found.line())

    def count(
        self,
        kind: str,
        row: str,
        detail: str = "",
        events: list[tuple[int, str, int]] | None = None,
    ) -> None:
        """A mistake seen at an entry itself: each one adds to its finding."""
        found = self.held.get((kind, row))
        self.see(
            kind,
            row,
            (found.difference if found else 0) + (-1 if kind in LESS else 1),
            detail,
            events,
        )

    def clear(self) -> int:
        """An operator has seen them; what is still wrong comes again with the next pass."""
        count, self.held, self.untold = len(self.held), {}, 0
        if count:
            self.log(f"figures: {count} findings cleared")
        return count

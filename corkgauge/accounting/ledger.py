"""The first book: counts entered where things happen, per offering, engine and side of a connection.

Owns the rows and the last events. Free of I/O, the clock is handed in. Must never look at the live records
(the auditor does, and compares), never put a count right, and never cost more than a few additions an entry.

A row keeps, beside how many are open, the sum of their serials. So two mistakes that cancel out in a count
(one lost, another entered twice) do not cancel here, and the difference of a single mistake is its serial.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from corkgauge.accounting.counter_names import (
    AT_THE_DOOR,
    CLIENT,
    DEPARTED_ROW,
    FIRST,
    GIVEN_UP,
    NOT_READ,
    OUTCOMES,
    REASONS,
    SIDES,
    SORTS,
    TERM_OF,
    TERMS,
    UNUSABLE,
    UNUSABLE_ROW,
)
from corkgauge.accounting.discrepancies import (
    CLOSED_TWICE,
    ENTERED_TWICE,
    HAND_CLOSED_TWICE,
    HAND_ENTERED_TWICE,
    HAND_NEVER_ENTERED,
    NEVER_ENTERED,
    OVER_BUDGET,
)

LAST_EVENTS = 512  # kept in all, to show what happened around a mistake
SLICES = 50  # of the budget's window; counts of submissions are kept by slice
(ENTERED, CLOSED, HANDED, OVER) = EVENTS = "entered", "closed", "handed off", "over"


class RequestClassRow:
    """The account of one offering."""

    __slots__ = "name", "terms", "reasons", "open", "mark", "sorts", "out", "out_mark"

    def __init__(self, name: str) -> None:
        self.name = name
        self.terms = [0] * len(TERMS)  # taken, served, refused, failed
        self.reasons = [0] * len(REASONS)
        self.open = self.mark = 0  # how many are open, and the sum of their serials
        self.sorts = [0] * len(SORTS)  # hand-offs: firsts, further, copies
        self.out = self.out_mark = 0  # hand-offs out, and the sum of their serials


class EngineRow:
    """The account of one engine, by its id; of all that left, in one row."""

    __slots__ = "name", "sorts", "outcomes", "out", "mark", "pages", "links", "gone"

    def __init__(self, name: str) -> None:
        self.name, self.gone = name, False
        self.sorts = [0] * len(SORTS)
        self.outcomes = [0] * len(OUTCOMES)
        self.out = self.mark = self.pages = self.links = 0

    def add(self, other: "EngineRow") -> None:
        self.sorts = [*map(sum, zip(self.sorts, other.sorts))]
        self.outcomes = [*map(sum, zip(self.outcomes, other.outcomes))]
        self.out += other.out
        self.mark += other.mark
        self.pages += other.pages


class SideRow:
    """The account of the connections of one side; bytes and pages are of those that have ended."""

    __slots__ = "name", "up", "ended", "got", "sent", "pages"

    def __init__(self, name: str) -> None:
        self.name = name
        self.up = self.ended = self.got = self.sent = self.pages = 0


class RequestLedger:
    """One method for each thing that is counted. `guard` hears of what is wrong at the entry itself:
    what, the row, the serial."""

    def __init__(
        self,
        request_classes: Iterable[str],
        clock: Callable[[], int],
        budget: tuple[float, float, int] | None = None,
        guard: Callable[[str, Any, int], None] = lambda *_: None,
    ) -> None:
        self.clock, self.guard = clock, guard
        self.request_classes = {name: RequestClassRow(name) for name in request_classes}
        self.unusable_row = self.request_classes[UNUSABLE_ROW] = RequestClassRow(UNUSABLE_ROW)
        self.engines: dict[str, EngineRow] = {}
        self.departed = EngineRow(DEPARTED_ROW)
        self.leaving: list[EngineRow] = []  # gone, with hand-offs out
        self.sides = [SideRow(name) for name in SIDES]
        self.serial = self.handoff_serial = 0
        self.events = deque[tuple[int, str, Any, int]](maxlen=LAST_EVENTS)
        # What the rule on further hand-offs counts: floor, share and window; when those were sent; what was
        # taken, by slice of the window, and the sum of it.
        self.floor, self.share, self.span = budget or (0.0, 0.0, 0)
        self.slice = max(self.span // SLICES, 1)
        self.extras, self.taken_by, self.taken_lately = deque[int](), deque[list[int]](), 0

    # Submissions. An entry bears `row`, and `serial`: 0 before it is entered, below 0 once it is closed.

    def taken(self, entry: Any) -> None:
        """From now on one final answer is owed."""
        row = entry.row
        if entry.serial:
            self.guard(ENTERED_TWICE, row, abs(entry.serial))
        self.serial = entry.serial = self.serial + 1
        row.terms[0] += 1
        row.open += 1
        row.mark += self.serial
        now = self.clock()
        self.events.append((now, ENTERED, row, self.serial))
        if self.span:
            self.taken_lately += 1
            if self.taken_by and self.taken_by[-1][0] + self.slice > now:
                self.taken_by[-1][1] += 1
            else:
                self._trim(now)
                self.taken_by.append([now, 1])

    def closed(self, entry: Any, reason: int) -> None:
        """It is over, for this reason."""
        row, serial = entry.row, entry.serial
        if serial <= 0:
            # Danger: a second end would pass unseen where another is lost. It is entered all the same, since
            # counts are never put right in silence.
            self.guard(CLOSED_TWICE if serial else NEVER_ENTERED, row, -serial)
            serial = -serial
        entry.serial = -serial
        row.terms[TERM_OF[reason]] += 1
        row.reasons[reason] += 1
        row.open -= 1
        row.mark -= serial
        self.events.append((self.clock(), CLOSED, row, serial))

    def turned_away(self, row: RequestClassRow) -> None:
        """Taken and refused at once: there is no room for it."""
        self._at_once(row, AT_THE_DOOR)

    def unusable(self) -> None:
        """Taken, and of no use to anybody; so it names no offering."""
        self._at_once(self.unusable_row, UNUSABLE)

    def _at_once(self, row: RequestClassRow, reason: int) -> None:
        row.terms[0] += 1
        row.terms[TERM_OF[reason]] += 1
        row.reasons[reason] += 1

    # Hand-offs.

    def handed_off(self, hand: Any, sort: int) -> None:
        """It goes out. A hand bears `order` with its row, `engine_row`, and `serial` as an entry does."""
        row, engine = hand.order.row, hand.engine_row
        if hand.serial:
            self.guard(HAND_ENTERED_TWICE, engine, abs(hand.serial))
        serial = self.handoff_serial = hand.serial = self.handoff_serial + 1
        row.sorts[sort] += 1
        row.out += 1
        row.out_mark += serial
        engine.sorts[sort] += 1
        engine.out += 1
        engine.mark += serial
        now = self.clock()
        self.events.append((now, HANDED, engine, serial))
        if sort != FIRST and self.span:
            self._extra(engine, serial, now)

    def on_attempt_finished(self, hand: Any, outcome: int) -> None:
        """Its outcome has come."""
        row, engine, serial = hand.order.row, hand.engine_row, hand.serial
        if serial <= 0:
            self.guard(HAND_CLOSED_TWICE if serial else HAND_NEVER_ENTERED, engine, -serial)
            serial = -serial
        hand.serial = -serial
        engine.outcomes[outcome] += 1
        engine.out -= 1
        engine.mark -= serial
        row.out -= 1
        row.out_mark -= serial
        self.events.append((self.clock(), OVER, engine, serial))
        if engine.gone and not engine.out and engine in self.leaving:
            self.leaving.remove(engine)
            self.departed.add(engine)

    # Engines and connections.

    def engine(self, name: str) -> EngineRow:
        """The row of an engine that the list names. One that comes back under its id starts anew: what it
        was before has departed."""
        if name not in self.engines:
            self.engines[name] = EngineRow(name)
        return self.engines[name]

    def engine_gone(self, row: EngineRow) -> None:
        """Danger: engines that come and go under new ids all day would be kept without end; they fold."""
        if not row.gone:
            row.gone = True
            if self.engines.get(row.name) is row:
                del self.engines[row.name]
            if row.out:
                self.leaving.append(row)
            else:
                self.departed.add(row)

    def connection_up(self, side: int) -> None:
        self.sides[side].up += 1

    def connection_over(self, side: int, got: int, sent: int, pages: int = 0) -> None:
        """Bytes read and written of one connection, and pages of results that came on it."""
        row = self.sides[side]
        row.ended += 1
        row.got += got
        row.sent += sent
        row.pages += pages

    # What is asked of it.

    def engine_rows(self) -> list[EngineRow]:
        """All rows of engines, the departed ones last."""
        return [*self.engines.values(), *self.leaving, self.departed]

    def answered(self, term: int) -> int:
        return sum(row.terms[term] for row in self.request_classes.values())

    def outcome(self, outcome: int) -> int:
        return sum(row.outcomes[outcome] for row in self.engine_rows())

    def _extra(self, engine: EngineRow, serial: int, now: int) -> None:
        """The rule on further hand-offs, as it stands when one is sent: counted here from what was taken, not
        from what the gateway holds of it. The window is one slice wider for what was taken."""
        self._trim(now)
        self.extras.append(now)
        if len(self.extras) > self.floor + self.share * self.taken_lately:
            self.guard(OVER_BUDGET, engine, serial)

    def _trim(self, now: int) -> None:
        while self.extras and self.extras[0] <= now - self.span:
            self.extras.popleft()
        while self.taken_by and self.taken_by[0][0] + self.slice <= now - self.span:
            self.taken_lately -= self.taken_by.popleft()[1]

    def last_events(self, row: Any, serial: int = 0, most: int = 8) -> list[tuple[int, str, int]]:
        """The last events of a row, or those of one serial there: when, what, serial."""
        found = [
            (when, what, which)
            for when, what, where, which in self.events
            if where is row and (not serial or which == serial)
        ]
        return found[-most:]

    def line(self) -> dict[str, int]:
        """Totals under the names that the log has always had."""
        said = {"taken": self.answered(0)}
        said |= {f"answered {name}": self.answered(n) for n, name in enumerate(TERMS) if n}
        # what clients left is no answer of ours
        said["answered failed"] = sum(
            row.reasons[n]
            for row in self.request_classes.values()
            for n in (UNUSABLE, GIVEN_UP, NOT_READ)
        )
        said |= {f"outcome {n}": self.outcome(n) for n in range(len(OUTCOMES))}
        said |= {
            "connections": self.sides[CLIENT].up,
            "connections ended": self.sides[CLIENT].ended,
        }
        return {name: count for name, count in said.items() if count}

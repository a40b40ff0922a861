"""A timing wheel (Varghese and Lauck, 1987) for the timeouts of flows.

Owns which entries are due when. An entry bears `due`, in its own unit, and stands in one slot;
putting, moving and taking out cost the same however many there are. What is due beyond one turn of
the wheel is passed over until its time. Free of time itself.
"""

from collections.abc import Iterator
from typing import Any


class TimerWheel:
    """`slots` slots of `span` units each.

    >>> class Entry: due = 0
    >>> wheel, one, two = TimerWheel(8, 10), Entry(), Entry()
    >>> wheel.put(one, 25); wheel.put(two, 125)
    >>> [*wheel.advance(40)] == [one], [*wheel.advance(100)], [*wheel.advance(130)] == [two]
    (True, [], True)
    """

    def __init__(self, slots: int, span: int, now: int = 0) -> None:
        self.span, self.at = span, now // span
        self.slots: list[dict[Any, None]] = [{} for _ in range(slots)]
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def put(self, entry: Any, due: int) -> None:
        """Due no sooner than the slot after the present one."""
        entry.due = max(due, (self.at + 1) * self.span)
        self.slots[entry.due // self.span % len(self.slots)][entry] = None
        self.count += 1

    def take(self, entry: Any) -> None:
        """Take it out, if it is in."""
        if self.slots[entry.due // self.span % len(self.slots)].pop(entry, self) is None:
            self.count -= 1

    def advance(self, now: int) -> Iterator[Any]:
        """What is due by now; each is out of the wheel when it is given, and may be put again."""
        until = now // self.span
        # After a long stop each slot is looked at once, not once a turn.
        for at in range(max(self.at + 1, until - len(self.slots) + 1), until + 1):
            slot = self.slots[at % len(self.slots)]
            # Danger: what is put again now must not land in the slot at hand; it would wait a whole
            # turn.
            self.at = max(self.at, at)
            for entry in [entry for entry in slot if entry.due // self.span <= until]:
                if slot.pop(entry, self) is None:  # not taken out meanwhile
                    self.count -= 1
                    yield entry
        self.at = max(self.at, until)

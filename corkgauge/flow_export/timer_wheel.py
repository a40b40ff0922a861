"""A timing wheel (Varghese and Lauck, 1987) for the timeouts of flows.

Knows which entries are due when. An entry bears `due`, in the wheel's unit, and stands in one slot;
putting, moving and removing cost the same however many there are. What is due beyond one turn of
the wheel is passed over until its time. Reads no clock.
"""

from collections.abc import Iterator
from typing import Any


class TimerWheel:
    """`slot_count` slots of `slot_span` units each.

    >>> class Entry: due = 0
    >>> wheel, one, two = TimerWheel(8, 10), Entry(), Entry()
    >>> wheel.put(one, 25); wheel.put(two, 125)
    >>> [*wheel.advance(40)] == [one], [*wheel.advance(100)], [*wheel.advance(130)] == [two]
    (True, [], True)
    """

    def __init__(self, slot_count: int, slot_span: int, now: int = 0) -> None:
        self.slot_span = slot_span
        self.current_slot = now // slot_span  # counted from time 0, not within the wheel
        self.slots: list[dict[Any, None]] = [{} for _ in range(slot_count)]
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def put(self, entry: Any, due: int) -> None:
        """Add an entry; it is due no sooner than the slot after the present one."""
        entry.due = max(due, (self.current_slot + 1) * self.slot_span)
        self._slot_of(entry)[entry] = None
        self.count += 1

    def remove(self, entry: Any) -> None:
        """Remove an entry, if it is in."""
        self._discard(self._slot_of(entry), entry)

    def advance(self, now: int) -> Iterator[Any]:
        """Yield what is due by now; each is out of the wheel when yielded, and may be put again."""
        target_slot = now // self.slot_span
        # After a long stop each slot is looked at once, not once a turn.
        first_slot = max(self.current_slot + 1, target_slot - len(self.slots) + 1)
        for number in range(first_slot, target_slot + 1):
            slot = self.slots[number % len(self.slots)]
            # Without this an entry put again now could land in this very slot, and would wait a
            # whole turn.
            self.current_slot = max(self.current_slot, number)
            due = [entry for entry in slot if entry.due // self.slot_span <= target_slot]
            for entry in due:
                if self._discard(slot, entry):  # not removed meanwhile
                    yield entry
        self.current_slot = max(self.current_slot, target_slot)

    def _slot_of(self, entry: Any) -> dict[Any, None]:
        due: int = entry.due
        return self.slots[due // self.slot_span % len(self.slots)]

    def _discard(self, slot: dict[Any, None], entry: Any) -> bool:
        """Remove an entry from a slot; whether it was in."""
        if entry not in slot:
            return False
        del slot[entry]
        self.count -= 1
        return True

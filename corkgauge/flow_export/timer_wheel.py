"""A timer wheel for the timeouts of flows (Varghese and Lauck, 1987).

An entry has an attribute `due`, in the unit of the wheel, and is in one slot. The cost of adding
and removing an entry does not depend on the number of entries. An entry that is due after more than
one turn of the wheel is skipped until then. Reads no clock.
"""

from collections.abc import Iterator
from typing import Any


class TimerWheel:
    """A wheel of `slot_count` slots, each of which covers `slot_span` units of time.

    >>> class Entry: due = 0
    >>> wheel, one, two = TimerWheel(8, 10), Entry(), Entry()
    >>> wheel.put(one, 25); wheel.put(two, 125)
    >>> [*wheel.advance(40)] == [one], [*wheel.advance(100)], [*wheel.advance(130)] == [two]
    (True, [], True)
    """

    def __init__(self, slot_count: int, slot_span: int, now: int = 0) -> None:
        self.slot_span = slot_span
        self.current_slot = now // slot_span  # counted from time 0, not modulo the slot count
        self.slots: list[dict[Any, None]] = [{} for _ in range(slot_count)]
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def put(self, entry: Any, due: int) -> None:
        """Add an entry that the wheel does not contain.

        The entry is due in the slot after the current slot at the earliest.
        """
        entry.due = max(due, (self.current_slot + 1) * self.slot_span)
        self._slot_of(entry)[entry] = None
        self.count += 1

    def remove(self, entry: Any) -> None:
        """Remove an entry if the wheel contains it."""
        self._discard(self._slot_of(entry), entry)

    def advance(self, now: int) -> Iterator[Any]:
        """Yield all entries due up to the end of the slot of `now`, so up to `slot_span` early.

        A yielded entry was removed and may be added again.
        """
        target_slot = now // self.slot_span
        # After a long pause each slot is checked once, not once per turn.
        first_slot = max(self.current_slot + 1, target_slot - len(self.slots) + 1)
        for number in range(first_slot, target_slot + 1):
            slot = self.slots[number % len(self.slots)]
            # Otherwise an entry that is added again now could be placed in this same slot and
            # would wait for a whole turn.
            self.current_slot = max(self.current_slot, number)
            due = [entry for entry in slot if entry.due // self.slot_span <= target_slot]
            for entry in due:
                if self._discard(slot, entry):  # false if the caller has removed the entry
                    yield entry
        self.current_slot = max(self.current_slot, target_slot)

    def _slot_of(self, entry: Any) -> dict[Any, None]:
        due: int = entry.due
        return self.slots[due // self.slot_span % len(self.slots)]

    def _discard(self, slot: dict[Any, None], entry: Any) -> bool:
        """Remove an entry from a slot; returns whether the slot contained the entry."""
        if entry not in slot:
            return False
        del slot[entry]
        self.count -= 1
        return True

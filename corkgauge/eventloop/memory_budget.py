"""Limits of the memory that many buffers use together, and wake-ups for those that found none.

Nobody polls a budget: whoever cannot reserve memory registers a `MemoryWaiter`, and is notified
once enough memory has been released.
"""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class MemoryWaiter:
    """Somebody who waits until `size` bytes can be reserved beyond `kept_free_bytes`.

    `notify` is called once. Memory is not reserved by then: another may be faster, and the waiter
    then registers again. `notify` must not reserve or release memory itself; it schedules work.
    """

    size: int
    notify: Callable[[], None]
    kept_free_bytes: int = 0


class MemoryBudget:
    """Limit of the bytes that buffers hold beyond their initial sizes."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self._waiters: dict[MemoryWaiter, None] = {}  # in order of registration

    def has_room_for(self, size: int, kept_free_bytes: int = 0) -> bool:
        """Return whether `size` bytes can be reserved so that `kept_free_bytes` stay free."""
        return self.reserved_bytes + size + kept_free_bytes <= self.limit_bytes

    def reserve(self, size: int, kept_free_bytes: int = 0) -> bool:
        """Reserve `size` bytes; return False and reserve nothing if there is no room for them."""
        if not self.has_room_for(size, kept_free_bytes):
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release `size` reserved bytes, and notify the waiters that there is room for now."""
        self.reserved_bytes -= size
        if self._waiters:
            self._notify_waiters()

    def wait(self, waiter: MemoryWaiter) -> None:
        """Register a waiter, behind those that wait already."""
        self._waiters[waiter] = None

    def stop_waiting(self, waiter: MemoryWaiter) -> None:
        """Remove a waiter; does nothing if the waiter has been notified."""
        self._waiters.pop(waiter, None)

    def _notify_waiters(self) -> None:
        """Notify waiters in order, as many as there is room for together.

        A waiter that needs more than is left does not block those behind it.
        """
        promised_bytes = 0
        for waiter in [*self._waiters]:
            if self.has_room_for(promised_bytes + waiter.size, waiter.kept_free_bytes):
                promised_bytes += waiter.size
                del self._waiters[waiter]
                waiter.notify()

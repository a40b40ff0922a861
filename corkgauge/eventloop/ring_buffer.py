"""Ring buffers for the bytes of connections, within a shared memory budget.

A ring buffer holds the bytes of one direction between a socket and the protocol's state machine, at
most one frame of the largest legal size, and does not interpret them. A connection whose input ring
buffer is full stops reading until the budget has memory for a larger one, or discards the input.
"""

from collections.abc import Callable

from corkgauge.eventloop.memory_budget import MemoryBudget, MemoryWaiter

INITIAL_BYTES = 4096  # capacity of a new or empty ring buffer


class RingBuffer:
    """A byte queue that grows up to `max_bytes` within the budget, and shrinks when empty.

    >>> ring = RingBuffer(20_000, MemoryBudget(4_000))
    >>> ring.put(b"abc"), ring.peek(2), ring.take(2), len(ring), ring.put(b"x" * 9_000)
    (True, b'ab', b'ab', 1, False)
    """

    def __init__(
        self, max_bytes: int, budget: MemoryBudget, initial_bytes: int = INITIAL_BYTES
    ) -> None:
        self.max_bytes = max_bytes
        self.budget = budget
        self.initial_bytes = min(initial_bytes, max_bytes)
        self.storage = bytearray(self.initial_bytes)
        self.head = 0  # index of the first stored byte
        self.size = 0  # number of stored bytes
        self.kept_free_bytes = 0  # of the budget, which this ring buffer leaves to others
        self.discard_bytes_left = 0  # bytes yet to be received that are dropped on arrival
        self._refused_bytes = 0  # growth that the budget refused last
        self._waiter: MemoryWaiter | None = None

    def __len__(self) -> int:
        return self.size

    @property
    def free_bytes(self) -> int:
        """Number of bytes that can be appended without growing."""
        return len(self.storage) - self.size

    def reserve(self, total_bytes: int) -> bool:
        """Grow to a capacity of `total_bytes` or more; return False if a limit forbids it now."""
        capacity = len(self.storage)
        if total_bytes <= capacity:
            return True
        # Growing by doubling avoids a copy of all bytes for each small read.
        new_capacity = min(max(total_bytes, 2 * capacity), self.max_bytes)
        if total_bytes > self.max_bytes:
            return False
        growth = new_capacity - capacity
        if not self.budget.reserve(growth, self.kept_free_bytes):
            self._refused_bytes = growth
            return False
        self._refused_bytes = 0
        held = self.peek(self.size)
        self.storage = bytearray(new_capacity)
        self.head = 0
        self.storage[: len(held)] = held
        return True

    @property
    def lacks_memory(self) -> bool:
        """Whether the last growth was refused by the budget."""
        return self._refused_bytes > 0

    def notify_when_free(self, notify: Callable[[], None]) -> None:
        """Call `notify` once, when there is memory for the growth that was refused last."""
        self.stop_waiting()
        self._waiter = MemoryWaiter(self._refused_bytes, notify, self.kept_free_bytes)
        self.budget.wait(self._waiter)

    def stop_waiting(self) -> None:
        """Cancel `notify_when_free`."""
        if self._waiter is not None:
            self.budget.stop_waiting(self._waiter)
            self._waiter = None

    def put(self, data: bytes) -> bool:
        """Append all of the data; return False and append nothing if there is no room."""
        if not self.reserve(self.size + len(data)):
            return False
        tail = (self.head + self.size) % len(self.storage)
        before_wrap = min(len(data), len(self.storage) - tail)
        self.storage[tail : tail + before_wrap] = data[:before_wrap]
        self.storage[: len(data) - before_wrap] = data[before_wrap:]
        self.size += len(data)
        return True

    def peek(self, size: int, skip: int = 0) -> bytes:
        """Copy up to `size` bytes after the first `skip` without removing them."""
        size = min(size, self.size - skip)
        begin = (self.head + skip) % len(self.storage)
        after_wrap = max(0, begin + size - len(self.storage))
        return bytes(self.storage[begin : begin + size]) + bytes(self.storage[:after_wrap])

    def drop(self, size: int) -> None:
        """Remove the first `size` bytes; an empty ring buffer shrinks to its initial size."""
        self.head = (self.head + size) % len(self.storage)
        self.size -= size
        if not self.size:
            self.head = 0
            if len(self.storage) > self.initial_bytes:
                self.budget.release(len(self.storage) - self.initial_bytes)
                self.storage = bytearray(self.initial_bytes)

    def discard(self, size: int) -> None:
        """Remove the next `size` bytes: those that are stored now, and the others on arrival."""
        stored_bytes = min(size, self.size)
        self.drop(stored_bytes)
        self.discard_bytes_left = size - stored_bytes

    def drop_last(self, size: int) -> None:
        """Remove the `size` bytes that were appended last."""
        self.size -= size

    def take(self, size: int) -> bytes:
        """Remove and return up to `size` bytes from the front."""
        data = self.peek(size)
        self.drop(len(data))
        return data

    def writable_view(self) -> memoryview:
        """Return the next contiguous free space, to read into.

        The caller reports the bytes written there with `mark_written`.
        """
        if not self.free_bytes:
            return memoryview(b"")
        tail = (self.head + self.size) % len(self.storage)
        # The free space ends at the head if the stored bytes wrap around, else at the end.
        end = max(self.head, tail) if tail < self.head else len(self.storage)
        return memoryview(self.storage)[tail:end]

    def mark_written(self, size: int) -> None:
        """Add `size` bytes that were written to the `writable_view` to the stored bytes."""
        self.size += size
        if self.discard_bytes_left:
            self.discard(self.discard_bytes_left)

    def readable_view(self) -> memoryview:
        """Return the first contiguous stored bytes, to write from.

        The caller removes the bytes that it has written with `drop`.
        """
        return memoryview(self.storage)[self.head : min(self.head + self.size, len(self.storage))]

    def close(self) -> None:
        """Release all memory; the ring buffer cannot be used afterwards."""
        self.stop_waiting()
        self.drop(self.size)
        self.storage = bytearray()

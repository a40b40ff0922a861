"""Ring buffer of one direction of a connection, within a memory budget that all share.

Holds the bytes between a socket and the machine of its protocol, never more than the largest legal
frame, and does not know what they mean. A connection whose ring buffer is full stops reading.
"""

INITIAL_BYTES = 4096


class MemoryBudget:
    """Bytes that many ring buffers may hold together, beyond what each begins with.

    Whoever is refused waits and asks again.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def reserve(self, size: int) -> bool:
        """Reserve so many bytes; False, with nothing reserved, where they are not left."""
        if self.reserved_bytes + size > self.limit_bytes:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Return so many reserved bytes."""
        self.reserved_bytes -= size


class RingBuffer:
    """Bytes in order: begins small, grows up to `max_bytes` and the budget, shrinks when empty.

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
        self.head = 0  # place of the first byte that is held
        self.size = 0  # bytes that are held

    def __len__(self) -> int:
        return self.size

    @property
    def free_bytes(self) -> int:
        """Bytes that can be put without growing."""
        return len(self.storage) - self.size

    def reserve(self, total_bytes: int) -> bool:
        """Make room for so many bytes in all; False while the limits do not let it."""
        capacity = len(self.storage)
        if total_bytes <= capacity:
            return True
        # Doubled, so that bytes that trickle in are not copied again and again.
        new_capacity = min(max(total_bytes, 2 * capacity), self.max_bytes)
        if total_bytes > self.max_bytes or not self.budget.reserve(new_capacity - capacity):
            return False
        held = self.peek(self.size)
        self.storage = bytearray(new_capacity)
        self.head = 0
        self.storage[: len(held)] = held
        return True

    def put(self, data: bytes) -> bool:
        """Append all of it; False, with nothing appended, where there is no room."""
        if not self.reserve(self.size + len(data)):
            return False
        tail = (self.head + self.size) % len(self.storage)
        before_wrap = min(len(data), len(self.storage) - tail)
        self.storage[tail : tail + before_wrap] = data[:before_wrap]
        self.storage[: len(data) - before_wrap] = data[before_wrap:]
        self.size += len(data)
        return True

    def peek(self, size: int, skip: int = 0) -> bytes:
        """Copy up to `size` bytes behind the first `skip`; all stay held."""
        size = min(size, self.size - skip)
        begin = (self.head + skip) % len(self.storage)
        after_wrap = max(0, begin + size - len(self.storage))
        return bytes(self.storage[begin : begin + size]) + bytes(self.storage[:after_wrap])

    def drop(self, size: int) -> None:
        """Release the first `size` bytes; an empty ring buffer returns what it had grown by."""
        self.head = (self.head + size) % len(self.storage)
        self.size -= size
        if not self.size:
            self.head = 0
            if len(self.storage) > self.initial_bytes:
                self.budget.release(len(self.storage) - self.initial_bytes)
                self.storage = bytearray(self.initial_bytes)

    def drop_last(self, size: int) -> None:
        """Take back so many bytes that were put last."""
        self.size -= size

    def take(self, size: int) -> bytes:
        """Copy up to `size` first bytes and release them."""
        data = self.peek(size)
        self.drop(len(data))
        return data

    def writable_view(self) -> memoryview:
        """View the next free stretch, to be read into; report what was with `filled`."""
        if not self.free_bytes:
            return memoryview(b"")
        tail = (self.head + self.size) % len(self.storage)
        # Free bytes end at the head, where the held ones have wrapped around, or at the end.
        end = max(self.head, tail) if tail < self.head else len(self.storage)
        return memoryview(self.storage)[tail:end]

    def mark_written(self, size: int) -> None:
        """Count so many bytes of the gap as held."""
        self.size += size

    def readable_view(self) -> memoryview:
        """View the first held stretch, to be written from; release what was with `drop`."""
        return memoryview(self.storage)[self.head : min(self.head + self.size, len(self.storage))]

    def close(self) -> None:
        """Release everything; the ring buffer can't be used any more."""
        self.drop(self.size)
        self.storage = bytearray()

"""One ring buffer a direction and connection.

Owns the bytes between a socket and a protocol's machine, and the allowance that all rings of the program
share. Must never hold more than the largest legal frame, and never knows what its bytes mean. A full ring
means that its link stops reading.
"""

SMALL = 4096


class MemoryBudget:
    """Bytes that may be held in common; whoever is refused waits and asks again."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0

    def take(self, size: int) -> bool:
        if self.held + size > self.most:
            return False
        self.held += size
        return True

    def give(self, size: int) -> None:
        self.held -= size


class RingBuffer:
    """Bytes in order; starts small, grows as far as `most` and the allowance let it, shrinks when empty.

    >>> ring = RingBuffer(20_000, MemoryBudget(4_000))
    >>> ring.put(b"abc"), ring.peek(2), ring.take(2), len(ring), ring.put(b"x" * 9_000)
    (True, b'ab', b'ab', 1, False)
    """

    def __init__(self, most: int, allowance: MemoryBudget, small: int = SMALL) -> None:
        self.most, self.allowance, self.small = most, allowance, min(small, most)
        self.store, self.head, self.size = bytearray(self.small), 0, 0

    def __len__(self) -> int:
        return self.size

    @property
    def free(self) -> int:
        return len(self.store) - self.size

    def reserve(self, whole: int) -> bool:
        """Make room for so many bytes in all; False while the limits do not let it."""
        now = len(self.store)
        if whole <= now:
            return True
        # Doubled, so that bytes that trickle in are not copied again and again.
        wanted = min(max(whole, 2 * now), self.most)
        if whole > self.most or not self.allowance.take(wanted - now):
            return False
        kept = self.peek(self.size)
        self.store, self.head = bytearray(wanted), 0
        self.store[: len(kept)] = kept
        return True

    def put(self, data: bytes) -> bool:
        """Append all of it, or nothing."""
        if not self.reserve(self.size + len(data)):
            return False
        at = (self.head + self.size) % len(self.store)
        first = min(len(data), len(self.store) - at)
        self.store[at : at + first] = data[:first]
        self.store[: len(data) - first] = data[first:]
        self.size += len(data)
        return True

    def peek(self, size: int, skip: int = 0) -> bytes:
        size = min(size, self.size - skip)
        at = (self.head + skip) % len(self.store)
        return bytes(self.store[at : at + size]) + bytes(
            self.store[: max(0, at + size - len(self.store))]
        )

    def drop(self, size: int) -> None:
        self.head, self.size = (self.head + size) % len(self.store), self.size - size
        if not self.size:
            self.head = 0
            if len(self.store) > self.small:
                self.allowance.give(len(self.store) - self.small)
                self.store = bytearray(self.small)

    def cut(self, size: int) -> None:
        """Take back so many bytes that were put last."""
        self.size -= size

    def take(self, size: int) -> bytes:
        data = self.peek(size)
        self.drop(len(data))
        return data

    def gap(self) -> memoryview:
        """The next free stretch, to be read into; then `filled`."""
        if not self.free:
            return memoryview(b"")
        at = (self.head + self.size) % len(self.store)
        return memoryview(self.store)[
            at : max(self.head, at) if at < self.head else len(self.store)
        ]

    def filled(self, size: int) -> None:
        self.size += size

    def stretch(self) -> memoryview:
        """The first held stretch, to be written from; then `drop`."""
        return memoryview(self.store)[self.head : min(self.head + self.size, len(self.store))]

    def close(self) -> None:
        self.drop(self.size)
        self.store = bytearray()

"""Ring buffer of one direction of a connection, within a memory budget that all share.

Holds the bytes between a socket and the machine of its protocol, never more than the largest legal
frame, and does not know what they mean. A connection whose ring buffer is full stops reading.
"""

INITIAL_BYTES = 4096


class MemoryBudget:
    """Bytes that many ring buffers may hold together, beyond what each begins with.

    Whoever is refused waits and asks again.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self.held = 0

    def take(self, size: int) -> bool:
        """Reserve so many bytes; False, with nothing reserved, where they are not left."""
        if self.held + size > self.most:
            return False
        self.held += size
        return True

    def give(self, size: int) -> None:
        """Return so many reserved bytes."""
        self.held -= size


class RingBuffer:
    """Bytes in order: begins small, grows up to `most` and the budget, shrinks when empty.

    >>> ring = RingBuffer(20_000, MemoryBudget(4_000))
    >>> ring.put(b"abc"), ring.peek(2), ring.take(2), len(ring), ring.put(b"x" * 9_000)
    (True, b'ab', b'ab', 1, False)
    """

    def __init__(self, most: int, allowance: MemoryBudget, small: int = INITIAL_BYTES) -> None:
        self.most = most
        self.allowance = allowance
        self.small = min(small, most)
        self.store = bytearray(self.small)
        self.head = 0  # place of the first byte that is held
        self.size = 0  # bytes that are held

    def __len__(self) -> int:
        return self.size

    @property
    def free(self) -> int:
        """Bytes that can be put without growing."""
        return len(self.store) - self.size

    def reserve(self, whole: int) -> bool:
        """Make room for so many bytes in all; False while the limits do not let it."""
        capacity = len(self.store)
        if whole <= capacity:
            return True
        # Doubled, so that bytes that trickle in are not copied again and again.
        wanted = min(max(whole, 2 * capacity), self.most)
        if whole > self.most or not self.allowance.take(wanted - capacity):
            return False
        held = self.peek(self.size)
        self.store = bytearray(wanted)
        self.head = 0
        self.store[: len(held)] = held
        return True

    def put(self, data: bytes) -> bool:
        """Append all of it; False, with nothing appended, where there is no room."""
        if not self.reserve(self.size + len(data)):
            return False
        tail = (self.head + self.size) % len(self.store)
        before_wrap = min(len(data), len(self.store) - tail)
        self.store[tail : tail + before_wrap] = data[:before_wrap]
        self.store[: len(data) - before_wrap] = data[before_wrap:]
        self.size += len(data)
        return True

    def peek(self, size: int, skip: int = 0) -> bytes:
        """Copy up to `size` bytes behind the first `skip`; all stay held."""
        size = min(size, self.size - skip)
        begin = (self.head + skip) % len(self.store)
        after_wrap = max(0, begin + size - len(self.store))
        return bytes(self.store[begin : begin + size]) + bytes(self.store[:after_wrap])

    def drop(self, size: int) -> None:
        """Release the first `size` bytes; an empty ring buffer returns what it had grown by."""
        self.head = (self.head + size) % len(self.store)
        self.size -= size
        if not self.size:
            self.head = 0
            if len(self.store) > self.small:
                self.allowance.give(len(self.store) - self.small)
                self.store = bytearray(self.small)

    def cut(self, size: int) -> None:
        """Take back so many bytes that were put last."""
        self.size -= size

    def take(self, size: int) -> bytes:
        """Copy up to `size` first bytes and release them."""
        data = self.peek(size)
        self.drop(len(data))
        return data

    def gap(self) -> memoryview:
        """View the next free stretch, to be read into; report what was with `filled`."""
        if not self.free:
            return memoryview(b"")
        tail = (self.head + self.size) % len(self.store)
        # Free bytes end at the head, where the held ones have wrapped around, or at the end.
        end = max(self.head, tail) if tail < self.head else len(self.store)
        return memoryview(self.store)[tail:end]

    def filled(self, size: int) -> None:
        """Count so many bytes of the gap as held."""
        self.size += size

    def stretch(self) -> memoryview:
        """View the first held stretch, to be written from; release what was with `drop`."""
        return memoryview(self.store)[self.head : min(self.head + self.size, len(self.store))]

    def close(self) -> None:
        """Release everything; the ring buffer can't be used any more."""
        self.drop(self.size)
        self.store = bytearray()

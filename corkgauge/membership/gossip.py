"""Queues the updates to gossip: the latest on each member, each sent a bounded number of times.

Owns the queued updates and their transmission counts. Performs no I/O. The queue holds at most one
update per member and drops an update after its last transmission, so that the gossip in a datagram
stays bounded (SWIM, section 4.1: infection-style dissemination).
"""

from collections.abc import Callable, Container
from heapq import nsmallest
from math import ceil, log2
from typing import Generic, NamedTuple, TypeVar

# An update is sent this many times the base-2 logarithm of the number of members, rounded up.
TRANSMIT_MULTIPLIER = 3
MAX_CANDIDATES = 64  # updates considered for one datagram; a datagram never holds more

Update = TypeVar("Update")


class QueuedUpdate(NamedTuple, Generic[Update]):
    """An update with its number of transmissions and its arrival number."""

    transmissions: int
    serial: int
    update: Update


class GossipQueue(Generic[Update]):
    """Queue of updates by member name; updates with the fewest transmissions are sent first.

    >>> queue = GossipQueue()
    >>> queue.add("a", ("a", 1))
    >>> queue.add("b", ("b", 1))
    >>> queue.add("a", ("a", 2))
    >>> queue.take(2, 1, lambda update: 1)
    [('b', 1)]
    >>> queue.take(2, 1, lambda update: 1)
    [('a', 2)]
    >>> [len(queue.take(2, 9, lambda update: 1)) for _ in range(7)]
    [2, 2, 2, 2, 2, 0, 0]
    """

    def __init__(self) -> None:
        self.updates: dict[str, QueuedUpdate[Update]] = {}
        self._next_serial = 0

    def add(self, name: str, update: Update) -> None:
        """Queue an update on a member; it replaces an earlier update on that member."""
        self.updates.pop(name, None)
        self.updates[name] = QueuedUpdate(0, self._next_serial, update)
        self._next_serial += 1

    def retain(self, names: Container[str]) -> None:
        """Drop the updates on all members that are not in `names`."""
        self.updates = {name: queued for name, queued in self.updates.items() if name in names}

    def take(
        self,
        member_count: int,
        room_bytes: int,
        size_bytes: Callable[[Update], int],
        receiver: str = "",
    ) -> list[Update]:
        """Return updates for one datagram and count a transmission of each.

        The update on the receiver comes first, then the updates with the fewest transmissions, as
        many as fit into `room_bytes`.
        """
        limit = TRANSMIT_MULTIPLIER * ceil(log2(member_count + 1))
        taken = []
        # The update on the receiver goes first, because a member that never receives the suspicion
        # against itself cannot refute it.
        candidates = nsmallest(
            MAX_CANDIDATES,
            self.updates.items(),
            key=lambda item: (item[0] != receiver, item[1].transmissions, item[1].serial),
        )
        for name, queued in candidates:
            room_bytes -= size_bytes(queued.update)
            if room_bytes < 0:
                break
            taken.append(queued.update)
            transmissions = queued.transmissions + 1
            if transmissions >= limit:
                del self.updates[name]
            else:
                self.updates[name] = QueuedUpdate(transmissions, queued.serial, queued.update)
        return taken

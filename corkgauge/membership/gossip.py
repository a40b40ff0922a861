"""Queues what is gossiped: the latest update on each member, each sent a bounded number of times.

Owns which updates are still sent, and how often each was. Free of I/O. Holds at most one update on
a member, and lets every update die out, so that what a datagram carries stays bounded (SWIM,
section 4.1: infection-style dissemination).
"""

from collections.abc import Callable, Container
from heapq import nsmallest
from math import ceil, log2
from typing import Generic, NamedTuple, TypeVar

TRANSMIT_MULTIPLIER = 3  # times the logarithm of the number of members: how often an update is sent
MAX_CANDIDATES = 64  # updates considered for one datagram; more never fit into it

Update = TypeVar("Update")


class QueuedUpdate(NamedTuple, Generic[Update]):
    """An update, how often it was sent, and its place in the order of arrival."""

    transmissions: int
    serial: int
    update: Update


class GossipQueue(Generic[Update]):
    """Updates by member name, the least sent first.

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
        """Queue the latest update on a member; it takes the place of an earlier one."""
        self.updates.pop(name, None)
        self.updates[name] = QueuedUpdate(0, self._next_serial, update)
        self._next_serial += 1

    def retain(self, names: Container[str]) -> None:
        """Drop the updates on all but these members."""
        self.updates = {name: queued for name, queued in self.updates.items() if name in names}

    def take(
        self,
        member_count: int,
        room_bytes: int,
        size_bytes: Callable[[Update], int],
        receiver: str = "",
    ) -> list[Update]:
        """Return the least sent updates that fit, the receiver's first; each counts as sent."""
        limit = TRANSMIT_MULTIPLIER * ceil(log2(member_count + 1))
        taken = []
        # Unless the update on the receiver goes first, a member may never hear that it is
        # suspected.
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

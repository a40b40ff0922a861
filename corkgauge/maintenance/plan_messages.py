"""Datagrams between plan replicas and proposers: typed records, and their lists on the wire.

A body is a msgpack list that begins with the kind and the fence. Fields that a later version
appends are ignored.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

Stamp = tuple[int, int]  # fence, and number under it: the later state is the greater stamp


class MessageKind(IntEnum):
    """Kinds of messages; the numbers are those of the wire.

    From a proposer to replicas: PREPARE, ACCEPT. To a proposer: PROMISE, ACCEPTED, PREEMPTED.
    Either way: FETCH, CHUNK.
    """

    PREPARE = 0
    PROMISE = 1
    ACCEPT = 2
    ACCEPTED = 3
    PREEMPTED = 4
    FETCH = 5
    CHUNK = 6


REPLICA_ANSWERS = MessageKind.PROMISE, MessageKind.ACCEPTED, MessageKind.PREEMPTED


@dataclass(frozen=True, slots=True)
class Prepare:
    """Heed no lower fence from now on, and say what you hold."""

    fence: int

    def encode(self) -> list[Any]:
        """Return the body of the datagram."""
        return [MessageKind.PREPARE.value, self.fence]


@dataclass(frozen=True, slots=True)
class Promise:
    """The fence is promised; the replica holds the plan of this stamp, or is blank."""

    fence: int
    stamp: Stamp
    is_blank: bool

    def encode(self) -> list[Any]:
        """Return the body of the datagram."""
        return [MessageKind.PROMISE.value, self.fence, *self.stamp, self.is_blank]


@dataclass(frozen=True, slots=True)
class Accept:
    """Apply `changes` to the plan of `base_stamp`; its new stamp is (`fence`, `number`)."""

    fence: int
    base_stamp: Stamp
    number: int
    changes: Sequence[Any]

    def encode(self) -> list[Any]:
        """Return the body of the datagram."""
        return [MessageKind.ACCEPT.value, self.fence, *self.base_stamp, self.number, self.changes]


@dataclass(frozen=True, slots=True)
class Accepted:
    """The replica holds the plan of this stamp, on disk."""

    fence: int
    stamp: Stamp

    def encode(self) -> list[Any]:
        """Return the body of the datagram."""
        return [MessageKind.ACCEPTED.value, self.fence, *self.stamp]


@dataclass(frozen=True, slots=True)
class Preempted:
    """The fence is below the one that the replica has promised."""

    fence: int
    promised: int

    def encode(self) -> list[Any]:
        """Return the body of the datagram."""
        return [MessageKind.PREEMPTED.value, self.fence, self.promised]


@dataclass(frozen=True, slots=True)
class FetchChunks:
    """Send these chunks of the plan; `stamp` is that of the chunks already here, None: none is."""

    fence: int
    stamp: Stamp | None
    indexes: Sequence[int]

    def encode(self) -> list[Any]:
        """Return the body of the datagram."""
        return [MessageKind.FETCH.value, self.fence, [*(self.stamp or ())], self.indexes]


@dataclass(frozen=True, slots=True)
class Chunk:
    """Chunk `index` of `count` of a packed plan of this stamp."""

    fence: int
    stamp: Stamp
    index: int
    count: int
    data: bytes

    def encode(self) -> list[Any]:
        """Return the body of the datagram."""
        kind = MessageKind.CHUNK.value
        return [kind, self.fence, *self.stamp, self.index, self.count, self.data]


@dataclass(frozen=True, slots=True)
class UnknownMessage:
    """A kind that this version does not know."""

    fence: int


Message = Prepare | Promise | Accept | Accepted | Preempted | FetchChunks | Chunk | UnknownMessage


def decode(body: Sequence[Any]) -> Message:
    """Decode a datagram's body.

    Raises IndexError, TypeError or ValueError where fields are missing.
    """
    kind, fence = body[:2]
    match kind:
        case MessageKind.PREPARE:
            return Prepare(fence)
        case MessageKind.PROMISE:
            return Promise(fence, (body[2], body[3]), bool(body[4]))
        case MessageKind.ACCEPT:
            return Accept(fence, (body[2], body[3]), body[4], body[5])
        case MessageKind.ACCEPTED:
            return Accepted(fence, (body[2], body[3]))
        case MessageKind.PREEMPTED:
            return Preempted(fence, body[2])
        case MessageKind.FETCH:
            return FetchChunks(fence, None, body[3])  # the stamp is for those who read traces
        case MessageKind.CHUNK:
            return Chunk(fence, (body[2], body[3]), body[4], body[5], body[6])
    return UnknownMessage(fence)

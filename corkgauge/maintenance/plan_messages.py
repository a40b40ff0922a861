"""Encodes and decodes the datagrams between plan replicas and plan proposers.

A body is a msgpack list whose first two elements are the message kind and the fence. Additional
fields at the end, appended by a later version, are ignored.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

Stamp = tuple[int, int]  # fence, and number under that fence; a later plan has the greater stamp


class MessageKind(IntEnum):
    """Message kinds by their number on the wire.

    A proposer sends PREPARE and ACCEPT; a replica answers with PROMISE, ACCEPTED or PREEMPTED.
    Both send FETCH and CHUNK.
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
    """Asks a replica to reject all lower fences from now on, and for the stamp of its plan."""

    fence: int

    def encode(self) -> list[Any]:
        """Return the body of the datagram."""
        return [MessageKind.PREPARE.value, self.fence]


@dataclass(frozen=True, slots=True)
class Promise:
    """Promises to reject lower fences; `stamp` is that of the replica's plan unless it is blank."""

    fence: int
    stamp: Stamp
    is_blank: bool

    def encode(self) -> list[Any]:
        """Return the body of the datagram."""
        return [MessageKind.PROMISE.value, self.fence, *self.stamp, self.is_blank]


@dataclass(frozen=True, slots=True)
class Accept:
    """Asks a replica to apply `changes` to the plan of stamp `base_stamp`.

    The changed plan has the stamp (`fence`, `number`).
    """

    fence: int
    base_stamp: Stamp
    number: int
    changes: Sequence[Any]

    def encode(self) -> list[Any]:
        """Return the body of the datagram."""
        return [MessageKind.ACCEPT.value, self.fence, *self.base_stamp, self.number, self.changes]


@dataclass(frozen=True, slots=True)
class Accepted:
    """Confirms that the replica has stored the plan of this stamp on disk."""

    fence: int
    stamp: Stamp

    def encode(self) -> list[Any]:
        """Return the body of the datagram."""
        return [MessageKind.ACCEPTED.value, self.fence, *self.stamp]


@dataclass(frozen=True, slots=True)
class Preempted:
    """Rejects a fence that is lower than the fence that the replica has promised."""

    fence: int
    promised: int

    def encode(self) -> list[Any]:
        """Return the body of the datagram."""
        return [MessageKind.PREEMPTED.value, self.fence, self.promised]


@dataclass(frozen=True, slots=True)
class FetchChunks:
    """Requests chunks of the plan by index.

    At the sender, `stamp` is the stamp of the chunks that the sender already has, None if there are
    no chunks. After decoding, `stamp` is None.
    """

    fence: int
    stamp: Stamp | None
    indexes: Sequence[int]

    def encode(self) -> list[Any]:
        """Return the body of the datagram."""
        return [MessageKind.FETCH.value, self.fence, [*(self.stamp or ())], self.indexes]


@dataclass(frozen=True, slots=True)
class Chunk:
    """Chunk number `index`, of `count` in all, of the packed plan of this stamp."""

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
    """A message whose kind this version does not know."""

    fence: int


Message = Prepare | Promise | Accept | Accepted | Preempted | FetchChunks | Chunk | UnknownMessage


def decode(body: Sequence[Any]) -> Message:
    """Decode the body of a datagram.

    Raises IndexError, TypeError or ValueError if fields are missing.
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
            # The receiver ignores the stamp, which is sent only for readers of packet traces.
            return FetchChunks(fence, None, body[3])
        case MessageKind.CHUNK:
            return Chunk(fence, (body[2], body[3]), body[4], body[5], body[6])
    return UnknownMessage(fence)

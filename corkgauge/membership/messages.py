"""Typed messages between members, and their codec to the lists that datagrams carry.

Every message but a Call has status updates beside it: its body is the message's own fields, then
the list of updates. An update is [name, state, incarnation, refutations, accuser].
"""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, ClassVar, NamedTuple

from corkgauge.membership.datagrams import DatagramKind

UPDATE_OVERHEAD_BYTES = 24  # of an encoded update beside its two names, on the high side


class MalformedMessageError(ValueError):
    """A body that is not what its kind of datagram carries."""


class MemberState(IntEnum):
    """What is held of a member; the numbers travel, and the higher one overrides."""

    ALIVE = 0
    SUSPECTED = 1
    GONE = 2  # SWIM's "confirmed": it failed
    LEFT = 3  # it ended in order
    UNKNOWN = 4  # its incarnation has not been told yet; never sent

    @property
    def label(self) -> str:
        """The state as operators read it."""
        return self.name.lower()


# Looked up once: by way of the class each of them costs more than the comparison.
ALIVE = MemberState.ALIVE
SUSPECTED = MemberState.SUSPECTED
GONE = MemberState.GONE
LEFT = MemberState.LEFT
UNKNOWN = MemberState.UNKNOWN


class StatusUpdate(NamedTuple):
    """What one member says of another, or of itself.

    `refutations` counts how often the member has refuted a suspicion in this incarnation; `accuser`
    is one that suspects it, or empty.
    """

    name: str
    state: MemberState
    incarnation: int
    refutations: int
    accuser: str = ""

    def encode(self) -> list[Any]:
        """Return the update as a list for the wire."""
        return [self.name, int(self.state), self.incarnation, self.refutations, self.accuser]

    def size_bytes(self) -> int:
        """Return the encoded size, on the high side."""
        return UPDATE_OVERHEAD_BYTES + len(self.name) + len(self.accuser)


@dataclass(frozen=True, slots=True)
class Probe:
    """A question whether the receiver is alive."""

    kind: ClassVar[DatagramKind] = DatagramKind.PROBE
    sequence_number: int

    def fields(self) -> list[Any]:
        """Return what stands in the body before the updates."""
        return [self.sequence_number]


@dataclass(frozen=True, slots=True)
class Ack:
    """The answer to a Probe, or to an IndirectProbe whose target answered."""

    kind: ClassVar[DatagramKind] = DatagramKind.ACK
    sequence_number: int

    def fields(self) -> list[Any]:
        """Return what stands in the body before the updates."""
        return [self.sequence_number]


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """A request to probe the target, and answer under this number (SWIM's ping-req)."""

    kind: ClassVar[DatagramKind] = DatagramKind.INDIRECT_PROBE
    sequence_number: int
    target: str

    def fields(self) -> list[Any]:
        """Return what stands in the body before the updates."""
        return [self.sequence_number, self.target]


@dataclass(frozen=True, slots=True)
class Nack:
    """The target of an IndirectProbe has not answered, but the helper has (Lifeguard)."""

    kind: ClassVar[DatagramKind] = DatagramKind.NACK
    sequence_number: int

    def fields(self) -> list[Any]:
        """Return what stands in the body before the updates."""
        return [self.sequence_number]


@dataclass(frozen=True, slots=True)
class StateRequest:
    """A request for all that the receiver holds of every member."""

    kind: ClassVar[DatagramKind] = DatagramKind.STATE_REQUEST

    def fields(self) -> list[Any]:
        """Return what stands in the body before the updates."""
        return []


@dataclass(frozen=True, slots=True)
class Gossip:
    """The updates beside it alone: a part of the whole state, or a leaver's word."""

    kind: ClassVar[DatagramKind] = DatagramKind.GOSSIP

    def fields(self) -> list[Any]:
        """Return what stands in the body before the updates."""
        return []


@dataclass(frozen=True, slots=True)
class Call:
    """A message of another subsystem, by its subject; no updates beside it."""

    kind: ClassVar[DatagramKind] = DatagramKind.CALL
    subject: str
    body: Any

    def fields(self) -> list[Any]:
        """Return the body."""
        return [self.subject, self.body]


GossipingMessage = Probe | Ack | IndirectProbe | Nack | StateRequest | Gossip
Message = GossipingMessage | Call

# What a malformed body raises where it is taken apart.
DECODING_ERRORS = (TypeError, ValueError, IndexError, KeyError, AttributeError)


def _decode_call(body: Any) -> Call:
    subject, content = body
    return Call(subject, content)


_DECODERS: dict[int, Callable[[Any], Message]] = {
    DatagramKind.PROBE: lambda body: Probe(int(body[0])),
    DatagramKind.ACK: lambda body: Ack(int(body[0])),
    DatagramKind.INDIRECT_PROBE: lambda body: IndirectProbe(int(body[0]), str(body[1])),
    DatagramKind.NACK: lambda body: Nack(int(body[0])),
    DatagramKind.STATE_REQUEST: lambda body: StateRequest(),
    DatagramKind.CALL: _decode_call,
}


def decode_message(kind: int, body: Any) -> Message:
    """Return the message of a datagram's body.

    One of an unknown kind is taken for its updates alone. Raises MalformedMessageError.
    """
    decoder = _DECODERS.get(kind)
    if decoder is None:  # GOSSIP, or a kind of a later version, which carries updates too
        return Gossip()
    try:
        return decoder(body)
    except DECODING_ERRORS as problem:
        raise MalformedMessageError(f"datagram of kind {kind}: {problem}") from problem


def decode_updates(body: Any) -> Iterator[StatusUpdate]:
    """Yield the updates of a body one by one, so that those before a malformed one still count.

    Raises MalformedMessageError.
    """
    try:
        for fields in body[-1]:
            yield _decode_update(fields)
    except DECODING_ERRORS as problem:
        raise MalformedMessageError(f"status updates: {problem}") from problem


def encode_body(message: GossipingMessage, updates: Sequence[StatusUpdate]) -> list[Any]:
    """Return the body of a datagram."""
    return [*message.fields(), [update.encode() for update in updates]]


_WIRE_STATES: dict[int, MemberState] = {
    int(state): state for state in MemberState if state != UNKNOWN
}


def _decode_update(fields: Sequence[Any]) -> StatusUpdate:
    name, state_number, incarnation, refutations, accuser = fields
    state = _WIRE_STATES.get(state_number)
    if state is None or not (incarnation > 0 and refutations >= 0):
        raise MalformedMessageError(f"expected an update on a member, found {fields!r}")
    return StatusUpdate(name, state, incarnation, refutations, accuser)

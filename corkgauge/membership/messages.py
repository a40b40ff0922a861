"""Typed messages between members, and the codec of their datagram bodies.

The body of every message except a Call is a list of the message's fields, followed by the list of
piggybacked status updates. An update is [name, state, incarnation, refutations, accuser].
"""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, ClassVar, NamedTuple

from corkgauge.membership.datagrams import DatagramKind

UPDATE_OVERHEAD_BYTES = 24  # upper estimate of an encoded update without its two names


class MalformedMessageError(ValueError):
    """The body of a datagram does not fit its kind."""


class MemberState(IntEnum):
    """State of a member; the values are part of the wire format.

    For the same incarnation and refutation count, SUSPECTED overrides ALIVE, and GONE and LEFT
    override both. Neither of GONE and LEFT overrides the other. Any update overrides UNKNOWN.
    """

    ALIVE = 0
    SUSPECTED = 1
    GONE = 2  # failed; "confirmed" in SWIM
    LEFT = 3  # shut down in an orderly way
    UNKNOWN = 4  # its incarnation is not known yet; never sent

    @property
    def label(self) -> str:
        """The state as shown to operators."""
        return self.name.lower()


# Module-level aliases: an attribute lookup on the enum class costs more than the comparison.
ALIVE = MemberState.ALIVE
SUSPECTED = MemberState.SUSPECTED
GONE = MemberState.GONE
LEFT = MemberState.LEFT
UNKNOWN = MemberState.UNKNOWN


class StatusUpdate(NamedTuple):
    """The state of a member `name`, as reported by another member or by `name` itself.

    `refutations` is the number of suspicions that the member has refuted in this incarnation.
    `accuser` is a member that suspects it, or empty.
    """

    name: str
    state: MemberState
    incarnation: int
    refutations: int
    accuser: str = ""

    def encode(self) -> list[Any]:
        """Return the update as a list in wire order."""
        return [self.name, int(self.state), self.incarnation, self.refutations, self.accuser]

    def size_bytes(self) -> int:
        """Return an upper estimate of the encoded size."""
        return UPDATE_OVERHEAD_BYTES + len(self.name) + len(self.accuser)


@dataclass(frozen=True, slots=True)
class Probe:
    """Asks the receiver for an Ack (SWIM's ping)."""

    kind: ClassVar[DatagramKind] = DatagramKind.PROBE
    sequence_number: int

    def fields(self) -> list[Any]:
        """Return the fields that precede the updates in the body."""
        return [self.sequence_number]


@dataclass(frozen=True, slots=True)
class Ack:
    """Answers a Probe, or an IndirectProbe whose target answered."""

    kind: ClassVar[DatagramKind] = DatagramKind.ACK
    sequence_number: int

    def fields(self) -> list[Any]:
        """Return the fields that precede the updates in the body."""
        return [self.sequence_number]


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Requests a probe of the target (SWIM's ping-req); the answer has this sequence number."""

    kind: ClassVar[DatagramKind] = DatagramKind.INDIRECT_PROBE
    sequence_number: int
    target: str

    def fields(self) -> list[Any]:
        """Return the fields that precede the updates in the body."""
        return [self.sequence_number, self.target]


@dataclass(frozen=True, slots=True)
class Nack:
    """Answers an IndirectProbe whose target did not answer (Lifeguard's negative ack)."""

    kind: ClassVar[DatagramKind] = DatagramKind.NACK
    sequence_number: int

    def fields(self) -> list[Any]:
        """Return the fields that precede the updates in the body."""
        return [self.sequence_number]


@dataclass(frozen=True, slots=True)
class StateRequest:
    """Requests the full state: the receiver's status update on every member."""

    kind: ClassVar[DatagramKind] = DatagramKind.STATE_REQUEST

    def fields(self) -> list[Any]:
        """Return the fields that precede the updates in the body."""
        return []


@dataclass(frozen=True, slots=True)
class Gossip:
    """Carries status updates only: a part of the full state, or the notice of a leaving member."""

    kind: ClassVar[DatagramKind] = DatagramKind.GOSSIP

    def fields(self) -> list[Any]:
        """Return the fields that precede the updates in the body."""
        return []


@dataclass(frozen=True, slots=True)
class Call:
    """Carries a message of another subsystem, named by the subject, without status updates."""

    kind: ClassVar[DatagramKind] = DatagramKind.CALL
    subject: str
    body: Any

    def fields(self) -> list[Any]:
        """Return the body."""
        return [self.subject, self.body]


GossipingMessage = Probe | Ack | IndirectProbe | Nack | StateRequest | Gossip
Message = GossipingMessage | Call

# Exceptions that decoding a malformed body may raise.
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
    """Decode the message of a datagram's body, without its updates.

    A body of an unknown kind is decoded as Gossip, so that its updates still apply.

    Raises:
        MalformedMessageError: The body does not fit the kind.
    """
    decoder = _DECODERS.get(kind)
    if decoder is None:  # GOSSIP, or a kind of a later version, which also carries updates
        return Gossip()
    try:
        return decoder(body)
    except DECODING_ERRORS as problem:
        raise MalformedMessageError(f"datagram of kind {kind}: {problem}") from problem


def decode_updates(body: Any) -> Iterator[StatusUpdate]:
    """Yield the updates of a body one by one, so that those before a malformed one still apply.

    Raises:
        MalformedMessageError: The list of updates, or the next update, is malformed.
    """
    try:
        for fields in body[-1]:
            yield _decode_update(fields)
    except DECODING_ERRORS as problem:
        raise MalformedMessageError(f"status updates: {problem}") from problem


def encode_body(message: GossipingMessage, updates: Sequence[StatusUpdate]) -> list[Any]:
    """Return the body of a datagram: the message's fields, then the updates."""
    return [*message.fields(), [update.encode() for update in updates]]


_WIRE_STATES: dict[int, MemberState] = {
    int(state): state for state in MemberState if state != UNKNOWN
}


def _decode_update(fields: Sequence[Any]) -> StatusUpdate:
    name, state_number, incarnation, refutations, accuser = fields
    state = _WIRE_STATES.get(state_number)
    if state is None or not (incarnation > 0 and refutations >= 0):
        raise MalformedMessageError(
            f"expected a valid state, incarnation and refutation count, found {fields!r}"
        )
    return StatusUpdate(name, state, incarnation, refutations, accuser)

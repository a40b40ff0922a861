"""The datagram bodies of leases: typed messages on one side, the lists of the wire on the other.

A request of a candidate is `[kind, lease, version, fingerprint, serial, ballot]`. A voter's reply
is `[kind, lease, version, fingerprint, serial, accepted, promised ballot, blocked for, holder]`,
with the time in tenths of a millisecond. A vacancy notice is `[kind, lease, version, fingerprint,
0]`. Instances of several versions talk to each other, so numbers and places never change.

Decoding has two steps, as a receiver ignores what was sent under another voter configuration
whatever else is in it: first the envelope, then the message. Both raise ProtocolError.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Any, ClassVar

from corkgauge.leases.voter_configuration import BALLOT_LIMIT

# Subjects, by which the membership service hands datagrams over.
LEASE_SUBJECT = "duty"
ACCOUNTS_SUBJECT = "books"
YIELD_SUBJECT = "yield"  # the body is the lease that an operator asked another instance for

REQUEST_FIELDS = 6
REPLY_FIELDS = 9
NOTICE_FIELDS = 5
ADDRESS_FIELDS = 4


class ProtocolError(ValueError):
    """A datagram body that is none of these messages; one line says what was expected."""


class MessageKind(IntEnum):
    """The first element of a body."""

    PROBE = 0
    PROBE_REPLY = 1
    PREPARE = 2
    PREPARE_REPLY = 3
    GRANT_REQUEST = 4
    GRANT_REPLY = 5
    RELEASE = 6
    VACANT = 7


FOR_CANDIDATES = (
    MessageKind.PROBE_REPLY,
    MessageKind.PREPARE_REPLY,
    MessageKind.GRANT_REPLY,
    MessageKind.VACANT,
)


@dataclass(frozen=True, slots=True)
class Address:
    """What every body begins with: its kind, its lease, its sender's voter configuration."""

    kind: Any
    lease: Any
    version: Any
    fingerprint: Any

    @property
    def is_for_candidate(self) -> bool:
        """Whether it is for the candidate of its lease. All others are for the voter."""
        return self.kind in FOR_CANDIDATES


@dataclass(frozen=True, slots=True)
class Envelope:
    """Enough of a message to tell whether it counts.

    `serial` is the sender's own, and echoed in replies.
    """

    kind: Any
    lease: Any
    version: Any
    fingerprint: Any
    serial: Any


@dataclass(frozen=True, slots=True)
class CandidateRequest:
    """What candidates send to voters; `serial` grows with each round of datagrams."""

    KIND: ClassVar[MessageKind]

    lease: str
    version: int
    fingerprint: int
    serial: int
    ballot: int

    def encode(self) -> list[Any]:
        """Return the list that goes on the wire."""
        return [
            int(self.KIND),
            self.lease,
            self.version,
            self.fingerprint,
            self.serial,
            self.ballot,
        ]


class Probe(CandidateRequest):
    """Asks whether the voter would promise; changes nothing there."""

    __slots__ = ()
    KIND = MessageKind.PROBE


class Prepare(CandidateRequest):
    """Asks for a promise to accept no ballot below this one."""

    __slots__ = ()
    KIND = MessageKind.PREPARE


class GrantRequest(CandidateRequest):
    """Asks for the lease under this ballot, or for its renewal."""

    __slots__ = ()
    KIND = MessageKind.GRANT_REQUEST


class Release(CandidateRequest):
    """Gives back the lease held under this ballot."""

    __slots__ = ()
    KIND = MessageKind.RELEASE


@dataclass(frozen=True, slots=True)
class VoterReply:
    """What a voter answers.

    `blocked_ticks` is how long a grant to another still runs, in tenths of a millisecond; `holder`
    names whom it has granted the lease, or is empty.
    """

    KIND: ClassVar[MessageKind]

    lease: str
    version: int
    fingerprint: int
    serial: int
    is_accepted: bool
    promised_ballot: int
    blocked_ticks: int
    holder: str

    def encode(self) -> list[Any]:
        """Return the list that goes on the wire."""
        return [
            int(self.KIND),
            self.lease,
            self.version,
            self.fingerprint,
            self.serial,
            self.is_accepted,
            self.promised_ballot,
            self.blocked_ticks,
            self.holder,
        ]


class ProbeReply(VoterReply):
    """Whether the voter would promise."""

    __slots__ = ()
    KIND = MessageKind.PROBE_REPLY


class PrepareReply(VoterReply):
    """Whether the voter has promised."""

    __slots__ = ()
    KIND = MessageKind.PREPARE_REPLY


class GrantReply(VoterReply):
    """Whether the voter has granted the lease."""

    __slots__ = ()
    KIND = MessageKind.GRANT_REPLY


@dataclass(frozen=True, slots=True)
class LeaseVacant:
    """A holder's notice to the next candidates: the lease was just given back."""

    lease: str
    version: int
    fingerprint: int

    def encode(self) -> list[Any]:
        """Return the list that goes on the wire."""
        return [int(MessageKind.VACANT), self.lease, self.version, self.fingerprint, 0]


REQUESTS: dict[int, type[CandidateRequest]] = {
    each.KIND: each for each in (Probe, Prepare, GrantRequest, Release)
}
REPLIES: dict[int, type[VoterReply]] = {
    each.KIND: each for each in (ProbeReply, PrepareReply, GrantReply)
}


def decode_address(body: Any) -> Address:
    """Decode whom a body is for, and under which voter configuration it was sent.

    >>> decode_address([7, "books", 1, 99, 0]).is_for_candidate
    True
    """
    return Address(*_decode_fields(body, ADDRESS_FIELDS))


def decode_request_envelope(body: Any) -> Envelope:
    """Decode the envelope of a request to a voter."""
    envelope = Envelope(*_decode_fields(body, REQUEST_FIELDS)[:NOTICE_FIELDS])
    if not isinstance(envelope.version, (int, float)):
        raise ProtocolError("expected a number as the version of a voter configuration")
    return envelope


def decode_reply_envelope(body: Any) -> Envelope:
    """Decode the envelope of a reply, or of a vacancy notice, to a candidate."""
    return Envelope(*_decode_fields(body, NOTICE_FIELDS))


def decode_request(body: Any) -> CandidateRequest:
    """Decode the request of a candidate.

    >>> decode_request([2, "books", 1, 99, 5, 700])
    Prepare(lease='books', version=1, fingerprint=99, serial=5, ballot=700)
    >>> decode_request([2, "books", 1, 99, 5, -1])
    Traceback (most recent call last):
    corkgauge.leases.messages.ProtocolError: expected a lease and a ballot below 2**60
    """
    kind, lease, version, fingerprint, serial, ballot = _decode_fields(body, REQUEST_FIELDS)
    if not (isinstance(lease, str) and type(ballot) is int and 0 <= ballot < BALLOT_LIMIT):
        raise ProtocolError("expected a lease and a ballot below 2**60")
    if not isinstance(kind, (int, float)) or kind not in REQUESTS:
        raise ProtocolError("expected a request's kind")
    return REQUESTS[int(kind)](lease, version, fingerprint, serial, ballot)


def decode_reply(body: Any) -> VoterReply:
    """Decode the reply of a voter.

    >>> decode_reply([1, "books", 1, 99, 5, True, 700, 0, ""]).promised_ballot
    700
    """
    fields = _decode_fields(body, REPLY_FIELDS)
    kind, lease, version, fingerprint, serial, accepted, promised, blocked, holder = fields
    if not (type(promised) is int and 0 <= promised < BALLOT_LIMIT):
        raise ProtocolError("expected a promised ballot below 2**60")
    if not (type(blocked) is int and blocked >= 0):
        raise ProtocolError("expected a time of 0 or more that the voter is bound for")
    if not isinstance(kind, (int, float)) or kind not in REPLIES:
        raise ProtocolError("expected a reply's kind")
    return REPLIES[int(kind)](
        lease, version, fingerprint, serial, bool(accepted), promised, blocked, holder
    )


def _decode_fields(body: Any, count: int) -> list[Any]:
    """Return the first elements of a body; later versions may append more."""
    if not isinstance(body, list) or len(body) < count:
        raise ProtocolError(f"expected a list of at least {count} elements")
    return body[:count]

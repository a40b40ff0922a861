"""Encodes and decodes lease datagram bodies, between typed messages and lists.

A candidate's request is `[kind, lease, version, fingerprint, serial, ballot]`. A voter's reply is
`[kind, lease, version, fingerprint, serial, accepted, promised ballot, blocked ticks, holder]`,
where a tick is a tenth of a millisecond. A vacancy notice is `[kind, lease, version, fingerprint,
0]`. Instances of several versions exchange these messages, so the numbers of kinds and the
positions of fields never change.

Decoding has three steps. The service decodes the routing fields, to pass the body to the voter or
to the candidate for the lease. The receiver then decodes the envelope, because the receiver must
ignore any message under another voter configuration, whatever the other fields contain. Only then
does the receiver decode the whole message. Each step raises ProtocolError.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Any, ClassVar

from corkgauge.leases.voter_configuration import BALLOT_LIMIT

# Subjects by which the membership service dispatches datagrams.
LEASE_SUBJECT = "duty"
ACCOUNTS_SUBJECT = "books"
YIELD_SUBJECT = "yield"  # the body is the name of a lease that an operator asked to release

REQUEST_FIELDS = 6
REPLY_FIELDS = 9
NOTICE_FIELDS = 5
ROUTING_FIELDS = 4


class ProtocolError(ValueError):
    """A malformed datagram body; the one-line message says what was expected."""


class MessageKind(IntEnum):
    """The kind of a message, which is the first element of a body."""

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
class Routing:
    """The first fields of every body, which select the receiver in the process.

    `version` and `fingerprint` are those of the sender's voter configuration.
    """

    kind: Any
    lease: Any
    version: Any
    fingerprint: Any

    @property
    def is_for_candidate(self) -> bool:
        """Whether the datagram is for a candidate; all others are for the voter."""
        return self.kind in FOR_CANDIDATES


@dataclass(frozen=True, slots=True)
class Envelope:
    """The fields that decide whether a message is accepted or ignored.

    The sender of a request chooses `serial`, and replies repeat the request's serial.
    """

    kind: Any
    lease: Any
    version: Any
    fingerprint: Any
    serial: Any


@dataclass(frozen=True, slots=True)
class CandidateRequest:
    """A request from a candidate to a voter; `serial` increases with each broadcast."""

    KIND: ClassVar[MessageKind]

    lease: str
    version: int
    fingerprint: int
    serial: int
    ballot: int

    def encode(self) -> list[Any]:
        """Return the list to send."""
        return [
            int(self.KIND),
            self.lease,
            self.version,
            self.fingerprint,
            self.serial,
            self.ballot,
        ]


class Probe(CandidateRequest):
    """Asks whether the voter would make a promise, without changing the vote."""

    __slots__ = ()
    KIND = MessageKind.PROBE


class Prepare(CandidateRequest):
    """Asks for a promise to grant the lease under no ballot below this ballot."""

    __slots__ = ()
    KIND = MessageKind.PREPARE


class GrantRequest(CandidateRequest):
    """Asks for the lease under this ballot, or for a renewal."""

    __slots__ = ()
    KIND = MessageKind.GRANT_REQUEST


class Release(CandidateRequest):
    """Releases the lease held under this ballot."""

    __slots__ = ()
    KIND = MessageKind.RELEASE


@dataclass(frozen=True, slots=True)
class VoterReply:
    """A voter's reply to a candidate.

    `blocked_ticks` is how long a grant to another candidate stays valid, in ticks (tenths of a
    millisecond). `holder` names the current holder of this voter's grant, or is empty.
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
        """Return the list to send."""
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
    """Tells whether the voter would make the promise."""

    __slots__ = ()
    KIND = MessageKind.PROBE_REPLY


class PrepareReply(VoterReply):
    """Tells whether the voter has made the promise."""

    __slots__ = ()
    KIND = MessageKind.PREPARE_REPLY


class GrantReply(VoterReply):
    """Tells whether the voter has granted the lease."""

    __slots__ = ()
    KIND = MessageKind.GRANT_REPLY


@dataclass(frozen=True, slots=True)
class LeaseVacant:
    """A holder's notice to the next candidates that the holder has released the lease."""

    lease: str
    version: int
    fingerprint: int

    def encode(self) -> list[Any]:
        """Return the list to send."""
        return [int(MessageKind.VACANT), self.lease, self.version, self.fingerprint, 0]


REQUESTS: dict[int, type[CandidateRequest]] = {
    each.KIND: each for each in (Probe, Prepare, GrantRequest, Release)
}
REPLIES: dict[int, type[VoterReply]] = {
    each.KIND: each for each in (ProbeReply, PrepareReply, GrantReply)
}


def decode_routing(body: Any) -> Routing:
    """Decode the fields that select the receiver, and the sender's voter configuration.

    >>> decode_routing([7, "books", 1, 99, 0]).is_for_candidate
    True
    """
    return Routing(*_decode_fields(body, ROUTING_FIELDS))


def decode_request_envelope(body: Any) -> Envelope:
    """Decode the envelope of a candidate's request."""
    envelope = Envelope(*_decode_fields(body, REQUEST_FIELDS)[:NOTICE_FIELDS])
    if not isinstance(envelope.version, (int, float)):
        raise ProtocolError("expected a number as the voter configuration version")
    return envelope


def decode_reply_envelope(body: Any) -> Envelope:
    """Decode the envelope of a voter's reply or of a vacancy notice."""
    return Envelope(*_decode_fields(body, NOTICE_FIELDS))


def decode_request(body: Any) -> CandidateRequest:
    """Decode a candidate's request.

    >>> decode_request([2, "books", 1, 99, 5, 700])
    Prepare(lease='books', version=1, fingerprint=99, serial=5, ballot=700)
    >>> decode_request([2, "books", 1, 99, 5, -1])
    Traceback (most recent call last):
    corkgauge.leases.messages.ProtocolError: expected a lease name and a ballot from 0 to 2**60 - 1
    """
    kind, lease, version, fingerprint, serial, ballot = _decode_fields(body, REQUEST_FIELDS)
    if not (isinstance(lease, str) and type(ballot) is int and 0 <= ballot < BALLOT_LIMIT):
        raise ProtocolError("expected a lease name and a ballot from 0 to 2**60 - 1")
    if not isinstance(kind, (int, float)) or kind not in REQUESTS:
        raise ProtocolError("expected kind 0, 2, 4 or 6, which a candidate's request has")
    return REQUESTS[int(kind)](lease, version, fingerprint, serial, ballot)


def decode_reply(body: Any) -> VoterReply:
    """Decode a voter's reply.

    >>> decode_reply([1, "books", 1, 99, 5, True, 700, 0, ""]).promised_ballot
    700
    """
    fields = _decode_fields(body, REPLY_FIELDS)
    (
        kind,
        lease,
        version,
        fingerprint,
        serial,
        is_accepted,
        promised_ballot,
        blocked_ticks,
        holder,
    ) = fields
    if not (type(promised_ballot) is int and 0 <= promised_ballot < BALLOT_LIMIT):
        raise ProtocolError("expected a promised ballot from 0 to 2**60 - 1")
    if not (type(blocked_ticks) is int and blocked_ticks >= 0):
        raise ProtocolError("expected blocked ticks as an integer of 0 or more")
    if not isinstance(kind, (int, float)) or kind not in REPLIES:
        raise ProtocolError("expected kind 1, 3 or 5, which a voter's reply has")
    return REPLIES[int(kind)](
        lease,
        version,
        fingerprint,
        serial,
        bool(is_accepted),
        promised_ballot,
        blocked_ticks,
        holder,
    )


def _decode_fields(body: Any, count: int) -> list[Any]:
    """Return the first `count` elements of a body; later versions may append elements."""
    if not isinstance(body, list) or len(body) < count:
        raise ProtocolError(f"expected a list of at least {count} elements")
    return body[:count]

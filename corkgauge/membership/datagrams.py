"""Seals and opens datagrams: authenticated, bound to incarnations, each taken once.

Owns keys, counters, the windows against replay and the rate allowance of each peer. Fed with bytes;
knows no socket and no clock. Nothing of a datagram may count before its seal, its receiver and its
counter have been checked.

A datagram is a mark (1 octet), the number of the key (1), a msgpack list, and the seal (16: HMAC-
SHA256, truncated as RFC 2104 section 5 allows). The list: kind, sender, its incarnation, receiver,
the receiver's incarnation as the sender knows it, counter, body. An incarnation is a number that is
new with each start of a program.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from enum import IntEnum
from typing import Any, NamedTuple

import msgpack

from corkgauge.membership.sealing import SEAL_BYTES, Key, ReplayWindow

MAGIC_BYTE = 0xC9
MAX_DATAGRAM_BYTES = 1_400  # below the usual MTU: none is ever fragmented on its way
INCARNATION_LIMIT = 2**62  # not believed from here on: the next one would not fit
DATAGRAMS_PER_SECOND = 400.0  # of one peer that are opened
BURST_DATAGRAMS = 800.0  # of one peer that are opened at once
TICKS_PER_SECOND = 10_000  # a tick is a tenth of a millisecond
ENVELOPE_FIELDS = 7

# Why a datagram was not taken, as operators read it among the counters.
TO_EARLIER_INCARNATION = "to an earlier start"
FROM_EARLIER_INCARNATION = "of an earlier start"


class DatagramKind(IntEnum):
    """The kinds by their numbers on the wire.

    HELLO asks who is there; HELLO_REPLY answers it, and proves by the asker's incarnation that it
    is no replay.
    """

    HELLO = 0
    HELLO_REPLY = 1
    PROBE = 2
    ACK = 3
    INDIRECT_PROBE = 4
    NACK = 5
    STATE_REQUEST = 6
    GOSSIP = 7
    CALL = 8


class PeerSession:
    """What one instance keeps for its datagrams with one other."""

    __slots__ = (
        "allowance",
        "allowance_updated_at",
        "incarnation",
        "name",
        "replay_window",
        "sent_counter",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.incarnation = 0  # 0: not known yet
        self.sent_counter = 0
        self.replay_window = ReplayWindow()
        self.allowance = BURST_DATAGRAMS  # datagrams that may still be opened
        self.allowance_updated_at = 0  # ticks

    def restart(self, incarnation: int) -> None:
        """Begin anew with a later incarnation of the peer, whose counters begin anew too."""
        self.incarnation = incarnation
        self.replay_window = ReplayWindow()


class Envelope(NamedTuple):
    """The fields of a datagram whose seal was right, in their order on the wire."""

    kind: int
    sender: str
    incarnation: int
    receiver: str
    receiver_incarnation: int
    counter: int
    body: Any


class OpenedDatagram(NamedTuple):
    """What the caller is to act on; of a HELLO the body is the sender's incarnation."""

    sender: str
    kind: int
    body: Any


class DatagramCodec:
    """One instance's side of all its exchanges.

    `on_incarnation(name, incarnation)` is called when a peer's incarnation becomes known or
    changes, `on_superseded(incarnation)` when a peer knows our name under a later incarnation than
    ours.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        keys: Sequence[Key],
        on_incarnation: Callable[[str, int], None],
        on_superseded: Callable[[int], None],
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.keys = [*keys]  # the first seals, any opens
        self.peers: dict[str, PeerSession] = {}
        self.counts = Counter[str]()  # by "taken", or why it was not
        self._on_incarnation = on_incarnation
        self._on_superseded = on_superseded

    def set_peers(self, names: Sequence[str]) -> None:
        """Say who the others are; what is known of those that stay is kept."""
        self.peers = {
            name: self.peers.get(name) or PeerSession(name) for name in names if name != self.name
        }

    def encode(self, receiver: str, kind: int, body: Any, answered_incarnation: int = 0) -> bytes:
        """Return a sealed datagram.

        `answered_incarnation` is what a HELLO_REPLY repeats of the HELLO that it answers.
        Raises KeyError for a receiver that is no peer, ValueError if it is over MAX_DATAGRAM_BYTES.
        """
        peer = self.peers[receiver]
        key = self.keys[0]
        peer.sent_counter += 1
        envelope = Envelope(
            int(kind),
            self.name,
            self.incarnation,
            receiver,
            max(answered_incarnation, peer.incarnation),
            peer.sent_counter,
            body,
        )
        packed: bytes = msgpack.packb([*envelope])
        data = bytes((MAGIC_BYTE, key.number)) + packed
        if len(data) + SEAL_BYTES > MAX_DATAGRAM_BYTES:
            raise ValueError(f"{len(data)} octets for one datagram")
        return data + key.seal(data)

    def has_incarnation(self, name: str) -> bool:
        """Return whether anything but HELLO and HELLO_REPLY may be written to this peer."""
        return self.peers[name].incarnation > 0

    def decode(self, data: bytes, now_ticks: int) -> OpenedDatagram | None:
        """Return what to act on; None for what must not be taken, which is counted."""
        envelope = self._unseal(data)
        if isinstance(envelope, str):
            self.counts[envelope] += 1
            return None
        rejection = self._rejection(envelope, now_ticks)
        if rejection:
            self.counts[rejection] += 1
            if rejection in (TO_EARLIER_INCARNATION, FROM_EARLIER_INCARNATION):
                # It does not know us, or our present incarnation: treated as a HELLO, it is told by
                # the reply.
                return OpenedDatagram(envelope.sender, DatagramKind.HELLO, envelope.incarnation)
            return None
        if envelope.kind == DatagramKind.HELLO:
            # A replayed one changes nothing, and is answered.
            return OpenedDatagram(envelope.sender, DatagramKind.HELLO, envelope.incarnation)
        peer = self.peers[envelope.sender]
        if envelope.incarnation > peer.incarnation:
            self._set_incarnation(peer, envelope.incarnation)
        if not peer.replay_window.accept(envelope.counter):
            self.counts["replay"] += 1
            return None
        self.counts["taken"] += 1
        return OpenedDatagram(envelope.sender, envelope.kind, envelope.body)

    def learn_incarnation(self, name: str, incarnation: int) -> None:
        """Take a third member's word on a peer's incarnation, until the peer says more."""
        peer = self.peers.get(name)
        if peer is not None and incarnation > peer.incarnation:
            self._set_incarnation(peer, incarnation)

    def _set_incarnation(self, peer: PeerSession, incarnation: int) -> None:
        peer.restart(incarnation)
        self._on_incarnation(peer.name, incarnation)

    def _rejection(self, envelope: Envelope, now_ticks: int) -> str:
        """Return why a datagram with a right seal must not be taken; empty if it may be."""
        peer = self.peers.get(envelope.sender)
        if peer is None:
            return "stranger"
        if envelope.receiver != self.name:
            return "not to us"
        if not self._spend_allowance(peer, now_ticks):
            return "flood"
        if envelope.receiver_incarnation > self.incarnation:
            # After a clock that was set back our incarnation is below the one they knew: unless it
            # is raised, they take all of ours for old for ever.
            self._on_superseded(envelope.receiver_incarnation)
            return "to a later start"
        if envelope.kind == DatagramKind.HELLO:
            return ""
        if envelope.receiver_incarnation != self.incarnation:
            # What was written to an earlier incarnation of ours may be hours old, and our windows
            # are empty: a replay would be taken.
            return TO_EARLIER_INCARNATION
        if envelope.incarnation < peer.incarnation:
            return FROM_EARLIER_INCARNATION
        return ""

    def _spend_allowance(self, peer: PeerSession, now_ticks: int) -> bool:
        """Return whether one more of this peer's datagrams may be opened (a token bucket)."""
        # Without it a member that floods takes the time of all that is served.
        earned = (now_ticks - peer.allowance_updated_at) * DATAGRAMS_PER_SECOND / TICKS_PER_SECOND
        peer.allowance = min(BURST_DATAGRAMS, peer.allowance + earned)
        peer.allowance_updated_at = now_ticks
        if peer.allowance < 1:
            return False
        peer.allowance -= 1
        return True

    def _unseal(self, data: bytes) -> Envelope | str:
        """Return the fields of a datagram, or why nobody should look at it."""
        if len(data) < 2 + SEAL_BYTES or len(data) > MAX_DATAGRAM_BYTES or data[0] != MAGIC_BYTE:
            return "not a letter"
        key = next((each for each in self.keys if each.number == data[1]), None)
        if key is None or not key.is_valid_seal(data[:-SEAL_BYTES], data[-SEAL_BYTES:]):
            return "seal"
        try:
            fields = msgpack.unpackb(data[2:-SEAL_BYTES], strict_map_key=True)
        except (ValueError, msgpack.UnpackException, msgpack.StackError):
            return "unreadable"
        if not isinstance(fields, list) or len(fields) != ENVELOPE_FIELDS:
            return "unreadable"
        envelope = Envelope(*fields)
        if not _has_valid_types(envelope):
            return "unreadable"
        return envelope


def _has_valid_types(envelope: Envelope) -> bool:
    numbers = (
        envelope.kind,
        envelope.incarnation,
        envelope.receiver_incarnation,
        envelope.counter,
    )
    names = (envelope.sender, envelope.receiver)
    return all(type(each) is int and 0 <= each < INCARNATION_LIMIT for each in numbers) and all(
        isinstance(each, str) for each in names
    )

"""Encodes and decodes authenticated datagrams with replay protection.

Owns the keys and, for each peer, the send counter, the replay window and the rate limit. Takes and
returns bytes; performs no I/O and reads no clock. No field of a datagram takes effect before the
seal, the sender, the receiver and the rate limit have been checked. The incarnations take effect
then. The body, except that of a HELLO, is also withheld until the replay window has accepted the
counter.

A datagram consists of a magic byte (1 octet), the key number (1 octet), a msgpack list and the seal
(16 octets: HMAC-SHA256, truncated as RFC 2104 section 5 allows). The list holds the kind, the
sender, the sender's incarnation, the receiver, the receiver's incarnation as known to the sender,
the counter and the body. An incarnation is a number that each process start generates anew, so
datagrams addressed to or sent by an earlier process are detected.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from enum import IntEnum
from typing import Any, NamedTuple

import msgpack

from corkgauge.eventloop.token_bucket import TokenBucket
from corkgauge.membership.sealing import SEAL_BYTES, Key, ReplayWindow

MAGIC_BYTE = 0xC9
MAX_DATAGRAM_BYTES = 1_400  # below the usual MTU, so that no datagram is fragmented
# Envelope integers at or above this limit are rejected: the local incarnation may be raised to one
# more than a received incarnation, and has to fit into a msgpack integer.
INCARNATION_LIMIT = 2**62
DATAGRAMS_PER_SECOND = 400.0  # sustained rate limit of one peer
BURST_DATAGRAMS = 800.0  # burst size of the rate limit of one peer
ENVELOPE_FIELDS = 7

# Rejection reasons; they are part of the counter names that operators read.
TO_EARLIER_INCARNATION = "to an earlier start"
FROM_EARLIER_INCARNATION = "of an earlier start"


class DatagramKind(IntEnum):
    """Datagram kinds; the values are part of the wire format.

    HELLO requests the receiver's incarnation. HELLO_REPLY answers a HELLO and repeats the
    incarnation of the HELLO's sender, which proves that the reply is not a replay.
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
    """State of the datagram exchange with one peer."""

    __slots__ = (
        "allowance",
        "incarnation",
        "name",
        "replay_window",
        "sent_counter",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.incarnation = 0  # 0 while unknown
        self.sent_counter = 0
        self.replay_window = ReplayWindow()
        # Without the limit, a member that floods datagrams uses the processor time that requests
        # need.
        self.allowance = TokenBucket(BURST_DATAGRAMS, DATAGRAMS_PER_SECOND)

    def restart(self, incarnation: int) -> None:
        """Reset the replay window for a later incarnation, whose counters start at 1 again."""
        self.incarnation = incarnation
        self.replay_window = ReplayWindow()


class Envelope(NamedTuple):
    """Fields of a datagram with a valid seal, in wire order."""

    kind: int
    sender: str
    incarnation: int
    receiver: str
    receiver_incarnation: int
    counter: int
    body: Any


class OpenedDatagram(NamedTuple):
    """Sender, kind and body of an accepted datagram.

    The body of a HELLO is the sender's incarnation.
    """

    sender: str
    kind: int
    body: Any


class DatagramCodec:
    """Encodes and decodes the datagrams of the local member `name`.

    Calls `on_incarnation(name, incarnation)` when a peer's incarnation becomes known or changes,
    and `on_superseded(incarnation)` when a peer knows the local member under a later incarnation
    than the local one.
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
        self.keys = [*keys]  # the first key seals, any key verifies
        self.peers: dict[str, PeerSession] = {}
        # Received datagrams by rejection reason, or "taken" if accepted; HELLOs are not counted.
        self.counts = Counter[str]()
        self._on_incarnation = on_incarnation
        self._on_superseded = on_superseded

    def set_peers(self, names: Sequence[str]) -> None:
        """Replace the set of peers, and keep the sessions of peers that remain in the set."""
        self.peers = {
            name: self.peers.get(name) or PeerSession(name) for name in names if name != self.name
        }

    def encode(self, receiver: str, kind: int, body: Any, answered_incarnation: int = 0) -> bytes:
        """Return a sealed datagram.

        Args:
            receiver: Name of the peer.
            kind: A `DatagramKind`.
            body: Value that msgpack can encode.
            answered_incarnation: For a HELLO_REPLY, the sender's incarnation in the answered HELLO.

        Raises:
            KeyError: The receiver is not a peer.
            ValueError: The datagram would be longer than MAX_DATAGRAM_BYTES.
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
            raise ValueError(f"datagram too large: {len(data)} octets before the seal")
        return data + key.seal(data)

    def has_incarnation(self, name: str) -> bool:
        """Return whether the peer's incarnation is known.

        Until then only HELLO and HELLO_REPLY may be sent to the peer.
        """
        return self.peers[name].incarnation > 0

    def decode(self, data: bytes, now_ticks: int) -> OpenedDatagram | None:
        """Return the datagram if it is accepted; otherwise count the rejection and return None.

        A datagram from or to an earlier incarnation is counted as rejected, but returned as a HELLO
        without its body.
        """
        envelope = self._unseal(data)
        if isinstance(envelope, str):
            self.counts[envelope] += 1
            return None
        rejection = self._find_rejection_reason(envelope, now_ticks)
        if rejection:
            self.counts[rejection] += 1
            if rejection in (TO_EARLIER_INCARNATION, FROM_EARLIER_INCARNATION):
                # The sender does not know the current local incarnation, or uses an incarnation
                # below its last one. Handled as a HELLO, the datagram is answered with a
                # HELLO_REPLY, whose envelope carries both current incarnations.
                return OpenedDatagram(envelope.sender, DatagramKind.HELLO, envelope.incarnation)
            return None
        if envelope.kind == DatagramKind.HELLO:
            # A HELLO is not checked for replay: the answer to a replayed HELLO is harmless, because
            # a HELLO changes no state here.
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
        """Record a peer's incarnation as reported by a third member, if it is a later one.

        A later incarnation in the peer's own datagrams replaces the reported one.
        """
        peer = self.peers.get(name)
        if peer is not None and incarnation > peer.incarnation:
            self._set_incarnation(peer, incarnation)

    def _set_incarnation(self, peer: PeerSession, incarnation: int) -> None:
        peer.restart(incarnation)
        self._on_incarnation(peer.name, incarnation)

    def _find_rejection_reason(self, envelope: Envelope, now_ticks: int) -> str:
        """Return the rejection reason of a datagram with a valid seal, or an empty string.

        Also charges the sender's rate limit, and reports a later local incarnation to
        `on_superseded`. The replay window is checked afterwards, by the caller.
        """
        peer = self.peers.get(envelope.sender)
        if peer is None:
            return "stranger"
        if envelope.receiver != self.name:
            return "not to us"
        if not peer.allowance.take(now_ticks):
            return "flood"
        if envelope.receiver_incarnation > self.incarnation:
            # Incarnations are derived from the clock, so a clock that was set back gives the local
            # member one below the incarnation that its peers know. Unless the local incarnation is
            # raised, peers reject all its datagrams as outdated for ever.
            self._on_superseded(envelope.receiver_incarnation)
            return "to a later start"
        if envelope.kind == DatagramKind.HELLO:
            return ""
        if envelope.receiver_incarnation != self.incarnation:
            # A datagram to an earlier local incarnation may be hours old. The replay windows are
            # empty after a restart, so a replayed datagram would be accepted here.
            return TO_EARLIER_INCARNATION
        if envelope.incarnation < peer.incarnation:
            return FROM_EARLIER_INCARNATION
        return ""

    def _unseal(self, data: bytes) -> Envelope | str:
        """Verify the seal and return the envelope, or the rejection reason."""
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

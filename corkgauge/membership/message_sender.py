"""Sends messages to members and piggybacks status updates on them.

Owns the choice and the order of the updates in a datagram. The host sends the datagrams.
"""

from collections import Counter
from collections.abc import Sequence

from corkgauge.membership.datagrams import DatagramCodec, DatagramKind
from corkgauge.membership.gossip import GossipQueue
from corkgauge.membership.member_table import MemberTable
from corkgauge.membership.members import Host, LocalMember
from corkgauge.membership.messages import (
    GONE,
    LEFT,
    SUSPECTED,
    Call,
    Gossip,
    GossipingMessage,
    StatusUpdate,
    encode_body,
)

# Gossiped updates in a datagram. The rest of the datagram holds the message and up to two updates
# that precede the gossip: the one on the receiver and the one on a leaving local member.
MAX_GOSSIP_BYTES = 780
# If one of these states is recorded for the receiver of a message, the message carries that state,
# so that the receiver can refute it.
REFUTABLE_STATES = (SUSPECTED, GONE, LEFT)


class MessageSender:
    """Sends the messages of one member list, and counts each datagram as "sent"."""

    def __init__(
        self,
        host: Host,
        local: LocalMember,
        codec: DatagramCodec,
        table: MemberTable,
        gossip: GossipQueue[StatusUpdate],
        counts: Counter[str],
    ) -> None:
        self._host = host
        self._local = local
        self._codec = codec
        self._table = table
        self._gossip = gossip
        self._counts = counts

    def send_hello(self, name: str) -> None:
        """Request a member's incarnation.

        Until the incarnation is known, only HELLO and HELLO_REPLY may be sent to the member.
        """
        self._send_datagram(name, self._codec.encode(name, DatagramKind.HELLO, None))

    def send_hello_reply(self, name: str, answered_incarnation: int) -> None:
        """Answer a HELLO.

        The repeated incarnation proves to the HELLO's sender that the reply is not a replay.
        """
        kind = DatagramKind.HELLO_REPLY
        self._send_datagram(name, self._codec.encode(name, kind, None, answered_incarnation))

    def send_call(self, name: str, call: Call) -> None:
        """Send a message of another subsystem.

        Raises:
            ValueError: The message is too large for a datagram.
        """
        self._send_datagram(name, self._codec.encode(name, call.kind, call.fields()))

    def send(self, name: str, message: GossipingMessage) -> None:
        """Send a message with status updates: first on the receiver, then gossip."""
        updates: list[StatusUpdate] = []
        member = self._table.members[name]
        if member.state in REFUTABLE_STATES:
            # A member that never receives the state that others have recorded for it cannot refute
            # that state.
            updates.append(member.status_update())
        if self._local.has_left:
            updates.append(self._local.status_update(self._codec.incarnation))
        member_count = len(self._table.members) + 1
        updates += self._gossip.take(
            member_count, MAX_GOSSIP_BYTES, StatusUpdate.size_bytes, receiver=name
        )
        self._send_with(name, message, updates)

    def send_updates(self, name: str, updates: Sequence[StatusUpdate]) -> None:
        """Send only these updates, without gossip."""
        self._send_with(name, Gossip(), updates)

    def _send_with(
        self, name: str, message: GossipingMessage, updates: Sequence[StatusUpdate]
    ) -> None:
        body = encode_body(message, updates)
        self._send_datagram(name, self._codec.encode(name, message.kind, body))

    def _send_datagram(self, name: str, data: bytes) -> None:
        self._counts["sent"] += 1
        self._host.send_datagram(name, data)

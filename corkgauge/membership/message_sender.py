"""Sends messages to members, with the status updates that ride along.

Owns which updates go into a datagram, and in which order. Knows no socket: the host sends.
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

# Of gossiped updates in a datagram, beside the message and up to two updates before them.
MAX_GOSSIP_BYTES = 780
REFUTABLE_STATES = (SUSPECTED, GONE, LEFT)


class MessageSender:
    """The way out of one member list; counts what is sent under "sent"."""

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
        """Ask for a member's incarnation, without which nothing else may be written to it."""
        self._send_datagram(name, self._codec.encode(name, DatagramKind.HELLO, None))

    def send_hello_reply(self, name: str, answered_incarnation: int) -> None:
        """Answer a HELLO; the repeated incarnation proves to its sender that this is no replay."""
        kind = DatagramKind.HELLO_REPLY
        self._send_datagram(name, self._codec.encode(name, kind, None, answered_incarnation))

    def send_call(self, name: str, call: Call) -> None:
        """Send another subsystem's message. Raises ValueError if it is too large for a datagram."""
        self._send_datagram(name, self._codec.encode(name, call.kind, call.fields()))

    def send(self, name: str, message: GossipingMessage) -> None:
        """Send a message with the updates that are due, the one on the receiver first."""
        updates: list[StatusUpdate] = []
        member = self._table.members[name]
        if member.state in REFUTABLE_STATES:
            # Unless it hears what is held of it, it cannot refute that.
            updates.append(member.status_update())
        if self._local.has_left:
            updates.append(self._local.status_update(self._codec.incarnation))
        member_count = len(self._table.members) + 1
        updates += self._gossip.take(
            member_count, MAX_GOSSIP_BYTES, StatusUpdate.size_bytes, receiver=name
        )
        self._send_with(name, message, updates)

    def send_updates(self, name: str, updates: Sequence[StatusUpdate]) -> None:
        """Send these updates and no others."""
        self._send_with(name, Gossip(), updates)

    def _send_with(
        self, name: str, message: GossipingMessage, updates: Sequence[StatusUpdate]
    ) -> None:
        body = encode_body(message, updates)
        self._send_datagram(name, self._codec.encode(name, message.kind, body))

    def _send_datagram(self, name: str, data: bytes) -> None:
        self._counts["sent"] += 1
        self._host.send_datagram(name, data)

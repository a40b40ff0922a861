"""Requests and sends the full state (memberlist's push/pull state sync).

Owns the rate limit of full states per member and their division into datagrams.
"""

from corkgauge.membership.datagrams import DatagramCodec
from corkgauge.membership.member_table import MemberTable
from corkgauge.membership.members import STATE_SYNC_INTERVAL_TICKS, Host, LocalMember, Member
from corkgauge.membership.message_sender import MessageSender
from corkgauge.membership.messages import StateRequest, StatusUpdate

STATE_CHUNK_BYTES = 840  # a datagram is sent as soon as its updates exceed this size


class StateSync:
    """Requests the full state from members, and answers their requests."""

    def __init__(
        self,
        host: Host,
        local: LocalMember,
        codec: DatagramCodec,
        table: MemberTable,
        sender: MessageSender,
    ) -> None:
        self._host = host
        self._local = local
        self._codec = codec
        self._table = table
        self._sender = sender

    def request_state(self, name: str) -> None:
        """Request the full state from a member."""
        self._sender.send(name, StateRequest())

    def handle_state_request(self, member: Member) -> None:
        """Send the full state to a member, in as many datagrams as needed."""
        # Rate limit: a member that repeats its request would otherwise cause unbounded work.
        if self._host.now < member.state_sent_at + STATE_SYNC_INTERVAL_TICKS:
            return
        member.state_sent_at = self._host.now
        chunk: list[StatusUpdate] = []
        size_bytes = 0
        for update in self._full_state():
            chunk.append(update)
            size_bytes += update.size_bytes()
            if size_bytes > STATE_CHUNK_BYTES:
                self._sender.send_updates(member.name, chunk)
                chunk = []
                size_bytes = 0
        if chunk:
            self._sender.send_updates(member.name, chunk)

    def _full_state(self) -> list[StatusUpdate]:
        others = (
            member.status_update() for member in self._table.members.values() if member.incarnation
        )
        return [self._local.status_update(self._codec.incarnation), *others]

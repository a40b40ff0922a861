"""Sends and requests the whole state (memberlist's push/pull state sync).

Owns how often one member is sent the whole state, and how it is parted into datagrams.
"""

from corkgauge.membership.datagrams import DatagramCodec
from corkgauge.membership.member_table import MemberTable
from corkgauge.membership.members import STATE_SYNC_INTERVAL_TICKS, Host, LocalMember, Member
from corkgauge.membership.message_sender import MessageSender
from corkgauge.membership.messages import StateRequest, StatusUpdate

STATE_CHUNK_BYTES = 840  # of updates in a datagram, which is sent once it has more


class StateSync:
    """Requests the whole state, and answers such requests."""

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
        """Ask a member for all that it holds."""
        self._sender.send(name, StateRequest())

    def handle_state_request(self, member: Member) -> None:
        """Send the member all that is held, in as many datagrams as that takes."""
        # One that asks again and again would be work without end.
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

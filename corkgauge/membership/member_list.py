"""The member list: which members there are and which of them are alive, as one of them sees it.

Dispatches datagrams, timers and commands to the parts that decide. Free of I/O: clock, chance and
the way out are its host's. What it costs may not grow with the number of members, and nothing may
rely on its view for safety: views are hints.

One member is probed a period, with gossip riding along: SWIM (Das, Gupta, Motivala, 2002). Local
health, suspicion timeouts that shrink as others confirm, and telling the accused first: Lifeguard
(Dadgar, Phillips, Currey, 2017).
"""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from corkgauge.membership.datagrams import DatagramCodec, DatagramKind
from corkgauge.membership.failure_detector import INDIRECT_PROBE_COUNT, FailureDetector
from corkgauge.membership.gossip import GossipQueue
from corkgauge.membership.member_table import MemberTable
from corkgauge.membership.members import Host, LocalMember, Member
from corkgauge.membership.message_sender import MessageSender
from corkgauge.membership.messages import (
    ALIVE,
    DECODING_ERRORS,
    GONE,
    LEFT,
    SUSPECTED,
    UNKNOWN,
    Ack,
    Call,
    Gossip,
    IndirectProbe,
    MemberState,
    Message,
    Nack,
    Probe,
    StateRequest,
    StatusUpdate,
    decode_message,
    decode_updates,
)
from corkgauge.membership.sealing import Key
from corkgauge.membership.state_sync import StateSync
from corkgauge.membership.status_tracker import StatusTracker

__all__ = [
    "ALIVE",
    "GONE",
    "LEFT",
    "SUSPECTED",
    "UNKNOWN",
    "Host",
    "Member",
    "MemberList",
    "MemberState",
]

HELLO_COUNT_PER_PERIOD = 6  # members that a newcomer greets, until one answers
# While members are unknown, the whole state is asked for in one of so many periods.
PERIODS_PER_STATE_REQUEST = 4
LEAVE_NOTICE_COUNT = 2 * INDIRECT_PROBE_COUNT  # members that are told when this one leaves


class MemberList:
    """One member's view of all.

    `members` are (name, zone) of all, this one among them; `period_ticks` is in tenths of a
    millisecond.
    """

    def __init__(
        self,
        host: Host,
        name: str,
        incarnation: int,
        keys: Sequence[Key],
        members: Sequence[tuple[str, str]],
        period_ticks: int,
    ) -> None:
        self.name = name
        self.counts = Counter[str]()
        # Handlers of Calls, by subject.
        self.call_handlers: dict[str, Callable[[str, Any], None]] = {}
        self.local = LocalMember(name)
        self.gossip: GossipQueue[StatusUpdate] = GossipQueue()
        self.codec = DatagramCodec(
            name, incarnation, keys, self._on_incarnation, self._on_superseded
        )
        self.table = MemberTable(name, self.codec, host.random_below)
        self.sender = MessageSender(
            host, self.local, self.codec, self.table, self.gossip, self.counts
        )
        self.status = StatusTracker(
            host, self.local, self.codec, self.table, self.gossip, self.counts, period_ticks
        )
        self.failure_detector = FailureDetector(
            host,
            self.local,
            self.codec,
            self.table,
            self.sender,
            self.status,
            self.counts,
            period_ticks,
        )
        self.state_sync = StateSync(host, self.local, self.codec, self.table, self.sender)
        self._host = host
        self._period_ticks = period_ticks
        self.set_members(members)
        host.call_later(1, self.on_period)

    @property
    def members(self) -> dict[str, Member]:
        """The others, by name."""
        return self.table.members

    @property
    def zone(self) -> str:
        """The zone of this member."""
        return self.local.zone

    @property
    def has_joined(self) -> bool:
        """Whether another member has answered since the start."""
        return self.local.has_joined

    def set_members(self, members: Sequence[tuple[str, str]]) -> None:
        """Take (name, zone) of all, this one among them; those that stay are kept as they are."""
        self.local.zone = dict(members).get(self.name, "")
        self.table.set_members(members)
        self.codec.set_peers([*self.members])
        self.gossip.retain({*self.members, self.name})

    def set_keys(self, keys: Sequence[Key]) -> None:
        """Take other keys: the first seals, any opens."""
        self.codec.keys = [*keys]

    def leave(self) -> None:
        """End in order: a few are told at once, and all by them."""
        self.local.has_left = True
        for member in self.table.sample_alive_members(LEAVE_NOTICE_COUNT):
            self.sender.send(member.name, Gossip())

    def call(self, name: str, subject: str, body: Any) -> bool:
        """Send a message of another subsystem.

        Returns False where the member's incarnation is unknown yet (it is greeted), or there is no
        such member. Raises ValueError if the message is too large for a datagram.
        """
        if name not in self.members:
            return False
        if not self.codec.has_incarnation(name):
            self.sender.send_hello(name)
            return False
        self.sender.send_call(name, Call(subject, body))
        return True

    def alive(self) -> list[Member]:
        """Return the others that are alive or only suspected, by name."""
        return self.table.alive()

    def state_of(self, name: str) -> MemberState:
        """Return the state of a member; this one is alive, one that is no member is gone."""
        return self.table.state_of(name)

    def handle_datagram(self, data: bytes) -> None:
        """Take a datagram, from whoever."""
        opened = self.codec.decode(data, self._host.now)
        if opened is None:
            return
        member = self.members[opened.sender]
        if opened.kind == DatagramKind.HELLO:
            self.sender.send_hello_reply(opened.sender, opened.body)
            return
        member.last_datagram_at = self._host.now
        if opened.kind == DatagramKind.HELLO_REPLY:
            self._on_hello_reply(member)
            return
        try:
            self._handle_body(member, opened.kind, opened.body)
        except DECODING_ERRORS:
            # A member of another version, or one gone wild, holds the key too: it must not end the
            # reading.
            self.counts["no sense"] += 1

    def on_period(self) -> None:
        """Once a period: greet some until one answers, then probe the next member."""
        if self.local.has_left:
            return
        # Intervals that stay short on a slow machine would accuse all.
        interval_ticks = self._period_ticks * (1 + self.local.health)
        self._host.call_later(interval_ticks, self.on_period)
        if not self.local.has_joined:
            for member in self.table.sample_members(HELLO_COUNT_PER_PERIOD):
                self.sender.send_hello(member.name)
            return
        if self.table.unknown_count and not self._host.random_below(PERIODS_PER_STATE_REQUEST):
            for member in self.table.sample_alive_members(1):
                self.state_sync.request_state(member.name)
        self.failure_detector.probe_next_member(interval_ticks)

    def _on_hello_reply(self, member: Member) -> None:
        if not self.local.has_joined:  # the first that answers tells us of all others
            self.local.has_joined = True
            self.state_sync.request_state(member.name)

    def _handle_body(self, member: Member, kind: int, body: Any) -> None:
        message = decode_message(kind, body)
        if isinstance(message, Call):
            handler = self.call_handlers.get(message.subject)
            if handler is not None:
                handler(member.name, message.body)
            return
        self._handle_message(member, message)
        for update in decode_updates(body):
            self.status.apply_update(member.name, update)

    def _handle_message(self, member: Member, message: Message) -> None:
        match message:
            case Probe():
                self.failure_detector.handle_probe(member.name, message)
            case Ack():
                self.failure_detector.handle_ack(message)
            case IndirectProbe():
                self.failure_detector.handle_indirect_probe(member.name, message)
            case Nack():
                self.failure_detector.handle_nack(message)
            case StateRequest():
                self.state_sync.handle_state_request(member)

    def _on_incarnation(self, name: str, incarnation: int) -> None:
        self.status.on_incarnation(name, incarnation)

    def _on_superseded(self, incarnation: int) -> None:
        self.status.on_superseded(incarnation)

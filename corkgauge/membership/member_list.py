"""Maintains one member's view of the membership: the members and their states.

Dispatches datagrams, timers and commands to the components that decide. Performs no I/O: the host
provides the clock, random numbers and datagram delivery. The load of a member must not grow with
the number of members. No other component may rely on the view for safety, because views of
different members may disagree.

Probes one member per period and piggybacks gossip on the messages: SWIM (Das, Gupta, Motivala,
2002). Local health, suspicion timeouts that shrink with each confirmation, and sending a suspicion
to the suspected member first: Lifeguard (Dadgar, Phillips, Currey, 2017).
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

HELLO_COUNT_PER_PERIOD = 6  # members that get a HELLO per period, until one answers
# While members are unknown, the full state is requested in one of this many periods on average.
PERIODS_PER_STATE_REQUEST = 4
LEAVE_NOTICE_COUNT = 2 * INDIRECT_PROBE_COUNT  # members that the leaving member notifies


class MemberList:
    """The view that the local member `name` has of all members.

    `members` holds (name, zone) of every member, the local one included. `period_ticks` is the
    probe period in ticks of a tenth of a millisecond.
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
        # By subject; a handler takes the sender and the body of a Call.
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
        """The other members, by name."""
        return self.table.members

    @property
    def zone(self) -> str:
        """The zone of the local member."""
        return self.local.zone

    @property
    def has_joined(self) -> bool:
        """Whether another member has answered since the process started."""
        return self.local.has_joined

    def set_members(self, members: Sequence[tuple[str, str]]) -> None:
        """Replace the set of members by (name, zone) of every member, the local one included.

        The records of members that remain in the set are kept.
        """
        self.local.zone = dict(members).get(self.name, "")
        self.table.set_members(members)
        self.codec.set_peers([*self.members])
        self.gossip.retain({*self.members, self.name})

    def set_keys(self, keys: Sequence[Key]) -> None:
        """Replace the keys: the first key seals, any key verifies."""
        self.codec.keys = [*keys]

    def leave(self) -> None:
        """Mark the local member as left and notify a few members.

        Gossip spreads the change to all other members.
        """
        self.local.has_left = True
        for member in self.table.sample_alive_members(LEAVE_NOTICE_COUNT):
            self.sender.send(member.name, Gossip())

    def call(self, name: str, subject: str, body: Any) -> bool:
        """Send a message of another subsystem to a member.

        Returns:
            False if there is no such member, or if the member's incarnation is unknown. In the
            latter case the member gets a HELLO instead.

        Raises:
            ValueError: The message is too large for a datagram.
        """
        if name not in self.members:
            return False
        if not self.codec.has_incarnation(name):
            self.sender.send_hello(name)
            return False
        self.sender.send_call(name, Call(subject, body))
        return True

    def list_present_members(self) -> list[Member]:
        """Return the other members in the state ALIVE or SUSPECTED, sorted by name."""
        return self.table.list_present_members()

    def state_of(self, name: str) -> MemberState:
        """Return a member's state: ALIVE for the local member, GONE for an unknown name."""
        return self.table.state_of(name)

    def handle_datagram(self, data: bytes) -> None:
        """Decode a received datagram and dispatch its message and its status updates."""
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
            # A member of another version, or a malfunctioning member, also holds the key. A
            # malformed message from such a member must not end the reading of datagrams.
            self.counts["no sense"] += 1

    def on_period(self) -> None:
        """Send HELLOs until a member has answered; after that, probe the next member."""
        if self.local.has_left:
            return
        # The interval is scaled by the local health: on a slow machine, unscaled intervals would
        # expire before answers are read, and every probed member would be suspected.
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
        if not self.local.has_joined:  # only the first member that answers sends the full state
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

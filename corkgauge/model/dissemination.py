"""Simulates the dissemination of a configuration change by gossip in fleets too large for sockets.

Owns simulated members, each with one version of a configuration, and the network between them. A
serving gateway must never import this module, and a member must know only what it received in
datagrams.

Push with fan-out, then comparison (Demers and others, "Epidemic algorithms for replicated database
maintenance", 1987): a member with a new version sends it to `fanout` random members in each of its
next rounds. Every `compare_rounds` rounds, each member compares versions with one random member,
which reaches the members that no push reached. A change is sent as chunks, one per datagram. A
member that lacks chunks of a new version requests them from the member that announced the version
or sent the last chunk, and repeats the request in each round.

Times are ticks of a tenth of a millisecond.
"""

from dataclasses import dataclass, field

from corkgauge.eventloop.loop import SECOND
from corkgauge.testkit.seeded_random import SeededRandom

ROUND_TICKS = SECOND // 5  # mean interval between two rounds of a member
STEP_TICKS = 10  # step of the simulated clock
LATENCY_TICKS = (20, 300)  # of a datagram: within a region, between the regions
HEADER_BYTES = 28 + 60  # IP and UDP headers, and the gossip header with its seal
CHUNK_BYTES = 1_300  # of a configuration, per datagram
CONTROL_BYTES = 16  # of a message without a chunk
PUSH_ROUNDS = 4  # rounds in which a member pushes a new version, at a fan-out of one
MIN_PUSH_ROUNDS = 2


@dataclass(frozen=True, slots=True)
class Chunk:
    """A chunk of the configuration change."""

    index: int


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """A request for all chunks that the sender of the request lacks."""


@dataclass(frozen=True, slots=True)
class Version:
    """The version of the sender, for comparison with that of the receiver."""

    is_new: bool


Message = Chunk | ChunkRequest | Version


@dataclass(frozen=True, slots=True)
class Datagram:
    """A message in transit; `sender` and `receiver` are indexes of members."""

    sender: int
    receiver: int
    message: Message


@dataclass(slots=True)
class Member:
    """State and sent traffic of one member."""

    region: int
    next_round_at: int
    chunks: set[int] = field(default_factory=set)
    completed_at: int = -1  # time of receipt of the last missing chunk; -1: not complete
    pushes_left: int = 0  # remaining rounds with a push
    rounds: int = 0
    source: int = -1  # the member to request missing chunks from; -1: none
    sent_bytes: dict[int, int] = field(default_factory=dict)  # by second

    @property
    def is_complete(self) -> bool:
        """Whether the member has all chunks of the change."""
        return self.completed_at >= 0


class Dissemination:
    """Simulates one dissemination of a change of `change_bytes` to `member_count` members.

    At time 0, only the first member has the change. Half of the members are in each of two regions;
    the fraction `loss` of all datagrams is lost. The first round of each member starts at a random
    time, and each interval between rounds is up to a tenth longer or shorter.
    """

    def __init__(
        self,
        member_count: int,
        change_bytes: int,
        fanout: int,
        loss: float = 0.0,
        seed: int = 1,
        compare_rounds: int = 5,
    ) -> None:
        self.random = SeededRandom(seed * 1_000_003 + member_count * 31 + fanout)
        self.change_bytes = change_bytes
        self.fanout = fanout
        self.loss = loss
        self.compare_rounds = compare_rounds
        self.chunk_count = max(-(-change_bytes // CHUNK_BYTES), 1)
        self.push_rounds = max(PUSH_ROUNDS // fanout, MIN_PUSH_ROUNDS)
        self.members = [
            Member(
                region=number % 2,
                next_round_at=self.random.below(ROUND_TICKS),
                rounds=self.random.below(compare_rounds),
            )
            for number in range(member_count)
        ]
        self.now = 0
        self.in_transit: dict[int, list[Datagram]] = {}  # by time of arrival
        first = self.members[0]
        first.chunks = set(range(self.chunk_count))
        first.completed_at = 0
        first.pushes_left = self.push_rounds
        self.incomplete_count = member_count - 1

    def run(self, until: int) -> int:
        """Simulate up to tick `until`; return the tick at which all had the change, or -1."""
        while self.incomplete_count and self.now < until:
            for datagram in self.in_transit.pop(self.now, ()):
                self._receive(datagram)
            for number, member in enumerate(self.members):
                if member.next_round_at <= self.now:
                    member.next_round_at += int(ROUND_TICKS * (0.9 + 0.2 * self.random.uniform()))
                    self._run_round(number, member)
            self.now += STEP_TICKS
        if self.incomplete_count:
            return -1
        return max(member.completed_at for member in self.members)

    def peak_bytes(self) -> int:
        """Return the most bytes that any member sent in any second."""
        return max(
            (most for member in self.members for most in member.sent_bytes.values()), default=0
        )

    def total_bytes(self) -> int:
        """Return the bytes that all members sent."""
        return sum(sum(member.sent_bytes.values()) for member in self.members)

    def _run_round(self, number: int, member: Member) -> None:
        member.rounds += 1
        if member.is_complete and member.pushes_left > 0:
            member.pushes_left -= 1
            self._push(number)
        if member.source >= 0 and not member.is_complete:
            self._send(number, member.source, ChunkRequest())
        elif member.rounds % self.compare_rounds == 0:
            self._send(number, self._draw_other(number), Version(member.is_complete))

    def _push(self, number: int) -> None:
        for _ in range(self.fanout):
            receiver = self._draw_other(number)
            for index in range(self.chunk_count):
                self._send(number, receiver, Chunk(index))

    def _draw_other(self, number: int) -> int:
        other = self.random.below(len(self.members) - 1)
        return other + (other >= number)

    def _send(self, sender: int, receiver: int, message: Message) -> None:
        second = self.now // SECOND
        sent_bytes = self.members[sender].sent_bytes
        sent_bytes[second] = sent_bytes.get(second, 0) + self._size_bytes(message)
        if not self.random.happens(self.loss):
            crosses_regions = self.members[sender].region != self.members[receiver].region
            latency = LATENCY_TICKS[crosses_regions] // STEP_TICKS * STEP_TICKS
            arrives_at = self.now + latency + STEP_TICKS * self.random.below(3)
            arrives_at = max(arrives_at, self.now + STEP_TICKS)
            self.in_transit.setdefault(arrives_at, []).append(Datagram(sender, receiver, message))

    def _size_bytes(self, message: Message) -> int:
        if isinstance(message, Chunk):
            rest_bytes = self.change_bytes - message.index * CHUNK_BYTES
            return HEADER_BYTES + min(CHUNK_BYTES, rest_bytes)
        return HEADER_BYTES + CONTROL_BYTES

    def _receive(self, datagram: Datagram) -> None:
        member = self.members[datagram.receiver]
        match datagram.message:
            case Chunk(index):
                self._receive_chunk(member, datagram.sender, index)
            case Version(is_new=True):
                if not member.is_complete:
                    member.source = datagram.sender
                    self._send(datagram.receiver, datagram.sender, ChunkRequest())
            case _:  # a request for chunks, or the old version of an outdated member
                if member.is_complete:
                    self._send_missing_chunks(datagram.receiver, datagram.sender)

    def _receive_chunk(self, member: Member, sender: int, index: int) -> None:
        if member.is_complete:
            return
        member.chunks.add(index)
        member.source = sender
        if len(member.chunks) == self.chunk_count:
            member.completed_at = self.now
            member.pushes_left = self.push_rounds
            self.incomplete_count -= 1

    def _send_missing_chunks(self, sender: int, receiver: int) -> None:
        """Send all chunks that the receiver lacks, as a real request would list them."""
        for index in sorted(set(range(self.chunk_count)) - self.members[receiver].chunks):
            self._send(sender, receiver, Chunk(index))


def measure_dissemination(
    member_count: int,
    change_bytes: int,
    fanout: int,
    loss: float,
    seed: int,
    until: int = 60 * SECOND,
) -> tuple[float, int, float]:
    """Simulate one dissemination; return its duration and traffic.

    Returns:
        The seconds until all members have the change (-1: later than tick `until`), the most octets
        that any member sent in any second, and the mean number of octets that a member sent.

    >>> taken, peak, mean = measure_dissemination(30, 400, 3, 0.0, 1)
    >>> 0 < taken < 3 and peak >= mean > 0
    True
    >>> measure_dissemination(30, 400, 3, 0.0, 1) == (taken, peak, mean)
    True
    """
    model = Dissemination(member_count, change_bytes, fanout, loss, seed)
    taken_ticks = model.run(until)
    taken_seconds = taken_ticks / SECOND if taken_ticks >= 0 else -1.0
    return taken_seconds, model.peak_bytes(), model.total_bytes() / member_count

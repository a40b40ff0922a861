"""How a change of configuration could reach all members: by gossip, simulated, at sizes sockets do not reach.

Owns simulated members that hold a version of a configuration, and the way between them. Must never be imported by a
program that serves, and never let a member know what no datagram brought it.

Push with fan-out, then comparison (Demers and others, "Epidemic algorithms for replicated database maintenance", 1987):
who has a new version tells it to `fanout` others, chosen by chance, in each of its next `rounds` rounds; all compare
versions with one other every `compare` rounds, which reaches those that chance left out. A change comes as `pieces`
datagrams; who has heard of a version but misses pieces asks the one that told it, again in its next round.
"""

from dataclasses import dataclass, field

from corkgauge.eventloop.loop import SECOND
from corkgauge.testkit.seeded_random import SeededRandom

ROUND = SECOND // 5  # between two rounds of a member
LATENCY = (
    20,
    300,
)  # tenths of a millisecond that a datagram takes: within a region, from one region to the other
HEAD = 28 + 60  # octets of IP and UDP, and of a datagram's own head with its seal
ROOM = 1_300  # octets of a configuration in one datagram
LOG = 4  # rounds in which a member tells what is new to it, at a fan-out of one


@dataclass(slots=True)
class Member:
    """What one holds: its pieces, when it had them all, what it sent, by second."""

    region: int
    due: int
    pieces: set[int] = field(default_factory=set)
    had: int = -1
    left: int = 0  # rounds in which it still tells
    turn: int = 0
    source: int = -1  # who told it of what it misses
    sent: dict[int, int] = field(default_factory=dict)


class Dissemination:
    """`many` members, half in each of two regions; a change of `octets` is at the first at time 0. `loss` of all
    datagrams are lost. Times are tenths of a millisecond; each member's rounds begin at a moment of its own, and each
    is up to a tenth longer or shorter."""

    def __init__(
        self,
        many: int,
        octets: int,
        fanout: int,
        loss: float = 0.0,
        seed: int = 1,
        compare: int = 5,
    ) -> None:
        self.chance = SeededRandom(seed * 1_000_003 + many * 31 + fanout)
        self.octets, self.fanout, self.loss, self.compare = octets, fanout, loss, compare
        self.count = max(-(-octets // ROOM), 1)
        self.rounds = max(LOG // fanout, 2)
        self.members = [
            Member(n % 2, self.chance.below(ROUND), turn=self.chance.below(compare))
            for n in range(many)
        ]
        self.now, self.way = (
            0,
            dict[int, list[tuple[int, int, int]]](),
        )  # when: (from, to, piece; -1: an ask)
        first = self.members[0]
        first.pieces, first.had, first.left = set(range(self.count)), 0, self.rounds
        self.missing = many - 1

    def run(self, until: int) -> int:
        """Until all have it, or `until`; the time then, or -1."""
        step = 10
        while self.missing and self.now < until:
            for sender, to, piece in self.way.pop(self.now, ()):
                self._came(sender, to, piece)
            for number, member in enumerate(self.members):
                if member.due <= self.now:
                    member.due += int(ROUND * (0.9 + 0.2 * self.chance.part()))
                    self._round(number, member)
            self.now += step
        return max(member.had for member in self.members) if not self.missing else -1

    def _round(self, number: int, member: Member) -> None:
        member.turn += 1
        if member.had >= 0 and member.left > 0:
            member.left -= 1
            for _ in range(self.fanout):
                to = self._other(number)
                for piece in range(self.count):
                    self._send(number, to, piece)
        if member.source >= 0 and member.had < 0:
            self._send(number, member.source, -1)
        elif (
            not member.turn % self.compare
        ):  # a comparison: the version alone; whoever is behind asks
            to = self._other(number)
            self._send(number, to, -2 if member.had < 0 else -3)

    def _other(self, number: int) -> int:
        to = self.chance.below(len(self.members) - 1)
        return to + (to >= number)

    def _send(self, sender: int, to: int, piece: int) -> None:
        """A piece of the change; or -1 an ask for what is missed, -2 and -3 the version of one that lacks or has it."""
        octets = HEAD + (min(ROOM, self.octets - piece * ROOM) if piece >= 0 else 16)
        sent = self.members[sender].sent
        sent[self.now // SECOND] = sent.get(self.now // SECOND, 0) + octets
        if not self.chance.within(self.loss):
            apart = self.members[sender].region != self.members[to].region
            when = self.now + LATENCY[apart] // 10 * 10 + 10 * self.chance.below(3)
            self.way.setdefault(max(when, self.now + 10), []).append((sender, to, piece))

    def _came(self, sender: int, to: int, piece: int) -> None:
        member = self.members[to]
        if piece >= 0:
            if member.had < 0:
                member.pieces.add(piece)
                member.source = sender
                if len(member.pieces) == self.count:
                    member.had, member.left = self.now, self.rounds
                    self.missing -= 1
        elif piece == -3:
            if member.had < 0:
                member.source = sender
                self._send(to, sender, -1)
        elif (
            member.had >= 0
        ):  # an ask, or one that turns out to be behind: what it misses, as it would list it
            for each in sorted(set(range(self.count)) - self.members[sender].pieces):
                self._send(to, sender, each)

    def peak(self) -> int:
        """Octets that the busiest member sent in its busiest second."""
        return max((most for member in self.members for most in member.sent.values()), default=0)

    def total(self) -> int:
        """Octets that all sent."""
        return sum(sum(member.sent.values()) for member in self.members)


def spread(
    many: int, octets: int, fanout: int, loss: float, seed: int, until: int = 60 * SECOND
) -> tuple[float, int, float]:
    """Seconds until all have a change (-1: not in `until`), octets of the busiest member's busiest second, and octets a
    member sent in all until then.

    >>> taken, peak, mean = spread(30, 400, 3, 0.0, 1)
    >>> 0 < taken < 3 and peak >= mean > 0
    True
    >>> spread(30, 400, 3, 0.0, 1) == (taken, peak, mean)
    True
    """
    model = Dissemination(many, octets, fanout, loss, seed)
    taken = model.run(until)
    return (taken / SECOND if taken >= 0 else -1.0), model.peak(), model.total() / many

"""The company of fellows as one of them sees it: who is alive, suspected, gone, and how that is found out.

Owns this gateway's view of each fellow, its own health, and what is asked of whom. Free of I/O: the clock,
chance and the way out are its host's. Must never accuse a fellow while it was late itself, never cost more
the more fellows there are, and never decide anything that a wrong view could make unsafe: views are hints.

Asking one fellow a period, and others for it, with the last words passed on beside: SWIM (Das, Gupta,
Motivala, 2002). Health, spans of suspicion that shrink as others confirm it, and telling the accused first:
Lifeguard (Dadgar, Phillips, Currey, 2017).
"""

from collections import Counter
from collections.abc import Callable, Sequence
from math import log, log10
from typing import Any, Protocol

from corkgauge.membership.datagrams import DatagramCodec, DatagramKind, Key
from corkgauge.membership.gossip import GossipQueue

ALIVE, SUSPECTED, GONE, LEFT, UNKNOWN = range(5)
STATES = "alive", "suspected", "gone", "left", "unknown"
HELPERS = 3  # asked for one that does not answer
CONFIRMED = 3  # accusers beside ourselves, with whom suspicion is shortest
LEAST_SPAN = 4  # of suspicion: periods, times the logarithm of the number of fellows
MOST_TIMES = 4  # its longest span over its shortest
MOST_HEALTH = 8  # 0 is well; spans grow by one of themselves for each
REPLY = 0.3  # of a period, until others are asked for one that does not answer
LATE = 0.25  # of a period, that our own timer may be late before our view counts for nothing
ROOM = 900  # octets of words in one datagram
NEWCOMER = 6  # fellows that a newcomer greets a period, until one answers
ONCE = 30_000  # tenths of a millisecond between two whole rolls told to one fellow
SELDOM = 4  # one in so many turns of a fellow that is gone is used to look after it


class Host(Protocol):
    """What a company may do. Times are tenths of a millisecond."""

    now: int

    def send_datagram(self, name: str, data: bytes) -> None: ...
    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None: ...
    def chance(self, below: int) -> int: ...
    def log(self, line: str) -> None: ...
    def changed(self, member: "Member", before: int) -> None: ...


class Member:
    """One of the others, as we see it."""

    __slots__ = (
        "name",
        "zone",
        "state",
        "start",
        "turn",
        "since",
        "accusers",
        "why",
        "heard",
        "serial",
        "told_all",
    )

    def __init__(self, name: str, zone: str) -> None:
        self.name, self.zone = name, zone
        self.state, self.start, self.turn = UNKNOWN, 0, 0
        self.since = self.heard = 0  # in this state; when its last letter came
        self.accusers: set[str] = set()
        self.why = ""  # of the last change
        self.serial = 0  # of the suspicion that runs
        self.told_all = -ONCE

    def word(self) -> list[Any]:
        return [self.name, self.state, self.start, self.turn, min(self.accusers, default="")]


class Asked:
    """A fellow that we asked, for ourselves or for another."""

    __slots__ = ("member", "due", "for_whom", "serial", "helpers", "deaf")

    def __init__(self, member: Member, due: int, for_whom: str = "", serial: int = 0) -> None:
        self.member, self.due, self.for_whom, self.serial = member, due, for_whom, serial
        self.helpers, self.deaf = 0, 0


class MemberList:
    """`fellows` are (name, hall) of all, ourselves among them; `period` is tenths of a millisecond."""

    def __init__(
        self,
        host: Host,
        name: str,
        start: int,
        keys: Sequence[Key],
        members: Sequence[tuple[str, str]],
        period: int,
    ) -> None:
        self.host, self.name, self.period = host, name, period
        self.codec = DatagramCodec(name, start, keys, self._started, self._outgrown)
        self.gossip, self.health, self.turn, self.serial = GossipQueue(), 0, 0, 0
        self.members: dict[str, Member] = {}
        self.zone = ""
        self.round: list[str] = []
        self.asked: dict[int, Asked] = {}
        self.calls: dict[str, Callable[[str, Any], None]] = {}  # by subject: who hears of it
        self.counts = Counter[str]()
        self.left = self.met = False
        self.unknown = 0  # fellows whose start nobody has told yet
        self.named(members)
        self.host.call_later(1, self.tick)

    # What operators say.

    def named(self, members: Sequence[tuple[str, str]]) -> None:
        """Who there is, ourselves among them; what is known of those that stay is kept."""
        self.zone = dict(members).get(self.name, "")
        before = self.members
        self.members = {
            name: before.get(name) or Member(name, zone)
            for name, zone in members
            if name != self.name
        }
        for name, zone in members:
            if name != self.name:
                self.members[name].zone = zone
        self.unknown = sum(each.state == UNKNOWN for each in self.members.values())
        self.codec.set_peers([*self.members])
        self.gossip.retain({*self.members, self.name})
        self.round = [name for name in self.round if name in self.members]

    def locked(self, keys: Sequence[Key]) -> None:
        """Other keys: the first seals, any opens."""
        self.codec.keys = [*keys]

    def leave(self) -> None:
        """We end in order: told to a few at once, and by them to all."""
        self.left = True
        for member in self._some(2 * HELPERS):
            self._send(member.name, DatagramKind.GOSSIP, [])

    # What others may ask.

    def call(self, name: str, subject: str, body: Any) -> bool:
        """Send something of another subsystem's; False where its start is unknown yet (it is greeted)."""
        if name not in self.members:
            return False
        if not self.codec.knows_incarnation(name):
            self._send(name, DatagramKind.HELLO, None)
            return False
        self._send(name, DatagramKind.CALL, [subject, body])
        return True

    def alive(self) -> list[Member]:
        """Those that are not known to be gone, by name."""
        return sorted(
            (each for each in self.members.values() if each.state in (ALIVE, SUSPECTED)),
            key=lambda each: each.name,
        )

    def state_of(self, name: str) -> int:
        return (
            ALIVE
            if name == self.name
            else self.members[name].state
            if name in self.members
            else GONE
        )

    # What happens.

    def came(self, data: bytes) -> None:
        """A datagram, from whoever."""
        opened = self.codec.decode(data, self.host.now)
        if opened is None:
            return
        sender, sort, body = opened
        member = self.members[sender]
        if sort == DatagramKind.HELLO:
            return self._send(sender, DatagramKind.HELLO_REPLY, None, body)
        member.heard = self.host.now
        if sort == DatagramKind.HELLO_REPLY:
            if not self.met:  # the first that we meet tells us of all others
                self.met = True
                self._send(sender, DatagramKind.STATE_REQUEST, [])
            return
        try:
            self._read(member, sort, body)
        except (TypeError, ValueError, IndexError, KeyError, AttributeError):
            # Danger: a fellow of another version, or one gone wild, holds the key too.
            self.counts["no sense"] += 1

    def _read(self, member: Member, sort: int, body: Any) -> None:
        if sort == DatagramKind.CALL:
            subject, what = body
            if subject in self.calls:
                self.calls[subject](member.name, what)
            return
        if sort == DatagramKind.PROBE:
            self._send(member.name, DatagramKind.ACK, [int(body[0])])
        elif sort == DatagramKind.ACK:
            self._answered(int(body[0]))
        elif sort == DatagramKind.INDIRECT_PROBE:
            self._ask_for(member.name, int(body[0]), str(body[1]))
        elif sort == DatagramKind.NACK:
            asked = self.asked.get(int(body[0]))
            if asked is not None:
                asked.deaf += 1
        elif sort == DatagramKind.STATE_REQUEST:
            self._tell_all(member)
        for word in body[-1]:
            self._heard(member.name, word)

    def tick(self) -> None:
        """Once a period: ask the next one. Danger: spans that stay short on a slow machine accuse all."""
        host = self.host
        if self.left:
            return
        span = self.period * (1 + self.health)
        host.call_later(span, self.tick)
        if not self.met:
            for member in self._some(NEWCOMER, known=False):
                self._send(member.name, DatagramKind.HELLO, None)
            return
        if self.unknown and not self.host.chance(SELDOM):
            for other in self._some(1):
                self._send(other.name, DatagramKind.STATE_REQUEST, [])
        member = self._next()
        if member is None:
            return
        if not self.codec.knows_incarnation(member.name):
            return self._send(member.name, DatagramKind.HELLO, None)
        self._ask(member, int(span * REPLY), span)

    def _ask(
        self, member: Member, reply: int, span: int, for_whom: str = "", serial: int = 0
    ) -> None:
        self.serial += 1
        self.asked[self.serial] = Asked(member, self.host.now + span, for_whom, serial)
        self._send(member.name, DatagramKind.PROBE, [self.serial])
        if not for_whom:
            self.host.call_later(reply, self.unanswered, self.serial)
        self.host.call_later(span, self.given_up, self.serial)

    def unanswered(self, serial: int) -> None:
        """Danger: one bad link is not a dead fellow; others ask for us."""
        asked = self.asked.get(serial)
        if asked is None:
            return
        for other in self._some(HELPERS, but=asked.member):
            asked.helpers += 1
            self._send(other.name, DatagramKind.INDIRECT_PROBE, [serial, asked.member.name])

    def given_up(self, serial: int) -> None:
        asked = self.asked.pop(serial, None)
        if asked is None or asked.member.name not in self.members:
            return
        if asked.for_whom:
            if asked.for_whom in self.members:
                self._send(asked.for_whom, DatagramKind.NACK, [asked.serial])
            return
        # Danger: one that stood still itself hears nothing of what came meanwhile, and would accuse everyone.
        if self.host.now > asked.due + int(LATE * self.period):
            self.counts["late ourselves"] += 1
            return self._health(1)
        self._health(1 if asked.deaf < asked.helpers else 0)
        if asked.member.state in (ALIVE, UNKNOWN):
            self._suspected(asked.member, self.name, "asked in vain")

    def _answered(self, serial: int) -> None:
        asked = self.asked.pop(serial, None)
        if asked is None:
            return
        if asked.for_whom:
            if asked.for_whom in self.members:
                self._send(asked.for_whom, DatagramKind.ACK, [asked.serial])
            return
        self._health(-1)

    def _ask_for(self, whom: str, serial: int, name: str) -> None:
        member = self.members.get(name)
        if member is not None and self.codec.knows_incarnation(name):
            self._ask(member, 0, int(self.period * (1 - REPLY) * 0.8), whom, serial)

    # Words.

    def _heard(self, teller: str, word: Sequence[Any]) -> None:
        name, state, start, turn, accuser = word
        if not (ALIVE <= state <= LEFT and 0 < start and 0 <= turn):
            raise ValueError("a word that makes no sense")
        if name == self.name:
            return self._of_us(state, start, turn)
        member = self.members.get(name)
        if member is None:
            return
        self.codec.learn_incarnation(name, start)  # may take it up as alive
        new, old = (
            (start, turn, min(state, GONE)),
            (member.start, member.turn, min(member.state, GONE)),
        )
        if member.state == UNKNOWN:
            old = (0, 0, 0)
        if (
            state == SUSPECTED
            and (start, turn) == (member.start, member.turn)
            and member.state == SUSPECTED
        ):
            if accuser and accuser not in member.accusers and len(member.accusers) <= CONFIRMED:
                self._suspected(member, accuser, "confirmed")
        elif new > old:
            member.start, member.turn = start, turn
            if state == SUSPECTED:
                self._suspected(member, accuser, f"told by {teller}")
            else:
                self._becomes(member, state, f"told by {teller}")

    def _of_us(self, state: int, start: int, turn: int) -> None:
        """Danger: an accusation that is not answered makes us gone for all."""
        if start > self.codec.incarnation:
            self._outgrown(start)
        elif start == self.codec.incarnation and state != ALIVE and not self.left:
            if turn >= self.turn:
                self.turn = turn + 1
                self.counts["accused"] += 1
                self._health(1)
            # Danger: while we were not heard, our word died out; whoever still accuses us never had it.
            self.gossip.add(self.name, self._our_word())

    def _suspected(self, member: Member, accuser: str, why: str) -> None:
        if member.state != SUSPECTED:
            member.accusers, member.since = set(), self.host.now
        member.accusers.add(accuser)
        if member.state != SUSPECTED:
            self._becomes(member, SUSPECTED, why, {accuser})
        else:
            self.gossip.add(member.name, member.word()[:4] + [accuser])
        member.serial += 1
        left = member.since + self._suspicion(len(member.accusers) - 1) - self.host.now
        self.host.call_later(max(left, 1), self.suspicion_over, member, member.serial)

    def _suspicion(self, confirmed: int) -> int:
        """How long, in tenths of a millisecond: the more have confirmed it, the shorter."""
        members = len(self.members) + 1
        least = LEAST_SPAN * max(1.0, log10(members)) * self.period
        wanted = min(CONFIRMED, members - 2)
        if wanted < 1:
            return int(least)
        return int(
            max(
                least,
                least * (MOST_TIMES - (MOST_TIMES - 1) * log(confirmed + 1) / log(wanted + 1)),
            )
        )

    def suspicion_over(self, member: Member, serial: int) -> None:
        if member.state == SUSPECTED and member.serial == serial:
            self._becomes(member, GONE, f"suspected by {len(member.accusers)}")

    def _becomes(self, member: Member, state: int, why: str, accusers: Any = ()) -> None:
        before, member.state, member.since, member.why = member.state, state, self.host.now, why
        self.unknown -= before == UNKNOWN
        member.accusers = {*accusers}
        self.gossip.add(member.name, member.word())
        if before != state:
            self.counts[f"became {STATES[state]}"] += 1
            self.host.changed(member, before)

    def _started(self, name: str, start: int) -> None:
        """Its present start has become known: by itself, or by a word."""
        member = self.members[name]
        if start > member.start:
            member.start, member.turn = start, 0
            self._becomes(member, ALIVE, "started")

    def _outgrown(self, start: int) -> None:
        """They know our name under a later start: a clock was set back, or another process runs under it."""
        self.counts["outgrown"] += 1
        self.codec.incarnation = start + 1
        self.turn = 0
        self.host.log(f"fellows: known under a later start, taking {start + 1}")

    def _our_word(self) -> list[Any]:
        return [self.name, LEFT if self.left else ALIVE, self.codec.incarnation, self.turn, ""]

    def _tell_all(self, member: Member) -> None:
        """The whole roll, as datagrams take it. Danger: one that asks again and again would be work without
        end."""
        if self.host.now < member.told_all + ONCE:
            return
        member.told_all = self.host.now
        words, size = [], 0
        for word in [
            self._our_word(),
            *(each.word() for each in self.members.values() if each.start),
        ]:
            words.append(word)
            size += _size(word)
            if size > ROOM - 60:
                self._send(member.name, DatagramKind.GOSSIP, [], words=words)
                words, size = [], 0
        if words:
            self._send(member.name, DatagramKind.GOSSIP, [], words=words)

    # Helpers.

    def _send(self, name: str, sort: int, body: Any, known_as: int = 0, words: Any = None) -> None:
        if sort in (DatagramKind.HELLO, DatagramKind.HELLO_REPLY, DatagramKind.CALL):
            data = self.codec.encode(name, sort, body, known_as)
        else:
            if words is None:
                words, member = [], self.members[name]
                if member.state in (SUSPECTED, GONE, LEFT):
                    words.append(member.word())  # it must hear what is said of it
                if self.left:
                    words.append(self._our_word())
                words += self.gossip.take(len(self.members) + 1, ROOM - 120, _size, name)
            data = self.codec.encode(name, sort, [*body, words])
        self.counts["sent"] += 1
        self.host.send_datagram(name, data)

    def _next(self) -> Member | None:
        """Each once a round, in an order by chance; those that are gone more seldom."""
        for _ in range(2 * SELDOM):
            if not self.round:
                self.round = self._shuffled([*self.members])
                if not self.round:
                    return None
            member = self.members[self.round.pop()]
            if member.state not in (GONE, LEFT) or not self.host.chance(SELDOM):
                return member
        return member

    def _some(self, many: int, but: Member | None = None, known: bool = True) -> list[Member]:
        """A few, by chance; those known to be alive, or any."""
        names = [
            each.name
            for each in self.members.values()
            if each is not but
            and (not known or each.state == ALIVE and self.codec.knows_incarnation(each.name))
        ]
        found = []
        while names and len(found) < many:
            n = self.host.chance(len(names))
            found.append(self.members[names[n]])
            names[n] = names[-1]
            names.pop()
        return found

    def _shuffled(self, names: list[str]) -> list[str]:
        for n in range(len(names) - 1, 0, -1):
            other = self.host.chance(n + 1)
            names[n], names[other] = names[other], names[n]
        return names

    def _health(self, step: int) -> None:
        self.health = min(max(self.health + step, 0), MOST_HEALTH)


def _size(word: Sequence[Any]) -> int:
    """Octets of a word, on the high side."""
    return 24 + len(word[0]) + len(word[4])

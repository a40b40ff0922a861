"""Every order of events, to a depth: three voters, two candidates, one restart of a voter, a few lost
letters.

Owns the small world that is explored, and what is looked at in each of its states. The machines are the real
ones; their clock, letters and timers are the world's. Must reach each state that differs in anything that a
machine could notice, and no state twice: times are compared as seen from now.

Steps of a state: any letter arrives, or is lost; a voter starts anew; time goes on to the next moment at
which a timer is due or a grant ends, with every letter still on its way. Breadth first, so what is found is
shortest.
"""

from collections import deque
from collections.abc import Iterator
from typing import Any

from corkgauge.leases.candidate import CandidateState, LeaseCandidate
from corkgauge.leases.messages import MessageKind
from corkgauge.leases.round_pacing import RoundPacing
from corkgauge.leases.voter import Vote, Voter
from corkgauge.leases.voter_configuration import LeaseTiming, VoterConfiguration

LEASE, VOTERS, CANDIDATES = 800, 3, 2
DUTY = "d"
HAS_PROMISES = CandidateState.REQUESTING, CandidateState.HOLDING
ROLL = VoterConfiguration(1, [f"v{n}" for n in range(VOTERS)], LEASE)


class Host:
    """What a machine asks of the world that it is in at the moment."""

    def __init__(self, name: str) -> None:
        self.name, self.world = name, None

    @property
    def now(self) -> int:
        return self.world.now

    @property
    def date(self) -> int:
        return 1 + self.world.now // 10

    def send(self, name: str, body: list[Any]) -> None:
        if body[0] != MessageKind.RELEASE:  # nobody gives a duty up here
            self.world.letters.append(
                (
                    self.name,
                    name,
                    tuple(body),
                    self.world.starts.get(self.name, 0),
                    self.world.starts.get(name, 0),
                )
            )

    def call_later(self, delay: int, method: Any, *what: Any) -> None:
        self.world.alarms[self.name] = (self.world.now + delay, *what)

    def random_below(self, below: int) -> int:
        return 0

    def rank_of(self, lease: str) -> int:
        return int(self.name[1:])

    def persist(self, record: Any, then: Any, *what: Any) -> None:
        then(*what)

    def on_lease_gained(self, holder: LeaseCandidate) -> None:
        self.world.fences.append(holder.fencing_token)

    def on_lease_lost(self, holder: LeaseCandidate, why: str) -> None:
        pass

    def on_lease_released(self, holder: LeaseCandidate) -> None:
        pass

    def log(self, line: str) -> None:
        pass


class World:
    """One state. `off` names a defence that is left out: silence, busy, before (a holder that counts from the
    answer in place of the question)."""

    def __init__(self, restarts: int = 1, off: str = "") -> None:
        self.now, self.restarts, self.off = 0, restarts, off
        self.letters: list[tuple] = []
        self.alarms: dict[str, tuple] = {}
        self.fences: list[int] = []
        self.starts = {f"v{n}": 1 for n in range(VOTERS)}
        timing = LeaseTiming(LEASE, 0.0, 0)
        if off == "silence":
            timing.silence_ticks = 0
        self.hosts = {
            name: Host(name) for name in (*self.starts, *(f"c{n}" for n in range(CANDIDATES)))
        }
        self._enter()
        self.voters = {
            name: Voter(self.hosts[name], name, ROLL, timing, {}) for name in self.starts
        }
        self.holders = {
            name: LeaseCandidate(self.hosts[name], DUTY, name, ROLL, timing)
            for name in self.hosts
            if name not in self.starts
        }

    def _enter(self) -> None:
        for host in self.hosts.values():
            host.world = self

    def copy(self) -> "World":
        new = World.__new__(World)
        new.__dict__.update(self.__dict__)
        new.letters, new.alarms, new.fences = [*self.letters], {**self.alarms}, [*self.fences]
        new.starts = {**self.starts}
        new.voters, new.holders = {}, {}
        for name, voter in self.voters.items():
            twin = new.voters[name] = Voter.__new__(Voter)
            twin.__dict__.update(voter.__dict__)
            twin.votes = {duty: _twin(vote) for duty, vote in voter.votes.items()}
        for name, holder in self.holders.items():
            twin = new.holders[name] = LeaseCandidate.__new__(LeaseCandidate)
            twin.__dict__.update(holder.__dict__)
            twin.grants = holder.grants.copy()
            twin.pacing = RoundPacing(holder.pacing.failed_rounds)
            twin.tally = holder.tally.copy()
        return new

    def mark(self) -> tuple:
        """All that a machine could notice. Serials count from a holder's present one, times from now; voters
        are alike, so their order does not count: what concerns one stands together, and these are sorted."""
        now, alone = self.now, []
        for name, holder in sorted(self.holders.items()):
            alone.append(
                (
                    holder.state,
                    holder.fencing_token,
                    max(holder.held_until - now, 0),
                    holder.highest_ballot,
                    holder.ballot,
                    now - holder.requesting_since if holder.state in HAS_PROMISES else 0,
                    holder.pacing.failed_rounds,
                    self.alarms[name][0] - now,
                    tuple(
                        (serial - holder.serial, now - when)
                        for serial, when in holder.grants.sent_at.items()
                    ),
                )
            )
        letters: dict[str, list[tuple]] = {name: [] for name in self.voters}
        for who, to, body, start, known in self.letters:
            voter, other = (who, to) if who in self.voters else (to, who)
            serial = body[4] - self.holders[other].serial
            letters[voter].append((other, who == voter, body[0], serial, body[5:], start, known))
        votes = sorted(
            (
                max(voter.silent_until - now, 0),
                self.starts[name],
                tuple(
                    (
                        vote.promised_ballot,
                        vote.granted_ballot,
                        vote.holder,
                        max(vote.granted_until - now, 0),
                    )
                    for vote in voter.votes.values()
                ),
                tuple(
                    (
                        holder.tally.accepted.get(name, -1),
                        holder.tally.blocked_ticks.get(name, -1),
                        now - holder.grants.granted_at[name]
                        if name in holder.grants.granted_at
                        else -1,
                    )
                    for _, holder in sorted(self.holders.items())
                ),
                tuple(sorted(letters[name])),
            )
            for name, voter in self.voters.items()
        )
        return tuple(alone), tuple(votes), self.restarts, max(self.fences, default=0)

    def _pruned(self) -> None:
        """Letters that can no more change anything are none: answers to a round that is over, and questions
        that change nothing whose answers would be."""
        self.letters = [letter for letter in self.letters if self._matters(*letter)]

    def _matters(self, who: str, to: str, body: tuple, start: int, known_as: int) -> bool:
        if to in self.voters:
            stale = body[0] == MessageKind.PROBE and body[4] != self.holders[who].serial
            return known_as == self.starts[to] and not stale
        holder, sort, serial = self.holders[to], body[0], body[4]
        if start != self.starts[who]:
            return False
        if sort == MessageKind.GRANT_REPLY:
            return serial in holder.grants.sent_at and holder.state in HAS_PROMISES
        return serial == holder.serial and (sort, holder.state) in (
            (MessageKind.PROBE_REPLY, CandidateState.PROBING),
            (MessageKind.PREPARE_REPLY, CandidateState.PREPARING),
        )

    def steps(self) -> Iterator[tuple[str, "World"]]:
        """What may happen next; letters that are alike are one."""
        seen = set()
        for n, letter in enumerate(self.letters):
            if letter in seen:
                continue
            seen.add(letter)
            new = self.copy()
            del new.letters[n]
            new._enter()
            new._arrives(letter)
            yield f"{letter[0]}>{letter[1]} {letter[2][0]} {letter[2][4:]} arrives", new
        if self.restarts:
            for name in self.voters:
                new = self.copy()
                new.restarts -= 1
                new.starts[name] += 1
                new._enter()
                timing = new.voters[name].timing
                new.voters[name] = Voter(new.hosts[name], name, ROLL, timing, None)
                yield f"{name} starts anew", new
        yield self._later()

    def _later(self) -> tuple[str, "World"]:
        """On to the next moment at which something may be different."""
        moments = [due for due, *_ in self.alarms.values()]
        for voter in self.voters.values():
            moments += [voter.silent_until, *(vote.granted_until for vote in voter.votes.values())]
        moments += [holder.held_until for holder in self.holders.values()]
        new = self.copy()
        new.now = min(moment for moment in moments if moment > self.now)
        new._enter()
        for name, (due, alarm, method) in sorted(new.alarms.items()):
            if due <= new.now:
                holder = new.holders[name]
                holder.on_timer(alarm, getattr(holder, method.__name__))
        return f"time goes on to {new.now}", new

    def _arrives(self, letter: tuple) -> None:
        who, to, body, start, known_as = letter
        if to in self.voters:
            if known_as == self.starts[to]:
                voter = self.voters[to]
                if self.off == "busy":
                    for vote in voter.votes.values():
                        vote.granted_until = 0
                voter.on_datagram(who, 1, [*body])
        elif start == self.starts[who] and body[0] != MessageKind.VACANT:
            holder = self.holders[to]
            if self.off == "before":
                holder.grants.sent_at = dict.fromkeys(holder.grants.sent_at, self.now)
            holder.on_datagram(who, [*body])

    def wrong(self) -> str:
        """What must never be."""
        self._enter()
        able = [name for name, holder in self.holders.items() if holder.may_act()]
        if len(able) > 1:
            return f"{' and '.join(able)} hold at once"
        if self.fences != sorted({*self.fences}):
            return f"fences do not grow: {self.fences}"
        return ""


def _twin(vote: Vote) -> Vote:
    twin = Vote(vote.promised_ballot, vote.granted_ballot, vote.holder, vote.granted_until)
    twin.granted_since = vote.granted_since
    return twin


class Explored:
    """What an exploration came to: states by depth, and the shortest way to what must never be."""

    def __init__(self) -> None:
        self.by_depth: list[int] = []
        self.held = 0  # states in which somebody holds
        self.found: list[str] = []

    @property
    def states(self) -> int:
        return sum(self.by_depth)


def explore(
    depth: int, restarts: int = 1, off: str = "", held: bool = False, most: int = 10**9
) -> Explored:
    """Breadth first; stops at what must never be, or past so many states. `held`: from the state in which the
    first candidate has come to hold, all its letters arrived. Nothing is drawn by chance."""
    said, first = Explored(), World(restarts, off)
    while held and not first.fences:
        first = (
            next((new for what, new in first.steps() if "c0" in what), None) or first._later()[1]
        )
    seen, edge = {hash(first.mark())}, deque([(first, ())])
    for _ in range(depth + 1):
        said.by_depth.append(len(edge))
        following: deque[tuple[World, tuple]] = deque()
        while edge:
            world, way = edge.popleft()
            world._enter()
            said.held += any(
                each.state is CandidateState.HOLDING for each in world.holders.values()
            )
            for what, new in world.steps():
                new._pruned()
                mark = hash(new.mark())
                if mark in seen:
                    continue
                seen.add(mark)
                if why := new.wrong():
                    said.found = [*_way(way), what, why]
                    return said
                following.append((new, (way, what)))
                if len(seen) > most:
                    return said
        edge = following
    return said


def _way(way: tuple) -> list[str]:
    steps = []
    while way:
        way, what = way
        steps.append(what)
    return steps[::-1]

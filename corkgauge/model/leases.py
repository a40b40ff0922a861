"""Duties between simulated processes: the real voters and candidates, clocks that drift, letters that are
lost, late and out of order, processes that stop, restart and are cut off; judged in true time.

Owns the simulated world. Must never look into a machine to decide what happens; the judge alone asks `may`,
as the act that follows would.
"""

from dataclasses import dataclass
from heapq import heappop, heappush
from typing import Any

from corkgauge.leases.candidate import CandidateState, LeaseCandidate
from corkgauge.leases.fencing import FencingGuard
from corkgauge.leases.messages import LeaseVacant, decode_address
from corkgauge.leases.voter import Voter
from corkgauge.leases.voter_configuration import LeaseTiming, VoterConfiguration
from corkgauge.testkit.seeded_random import SeededRandom

LEASE, DRIFT, MARGIN = 10_000, 0.01, 300
DUTY = "books"
FAULTS = "stop", "restart", "cut", "deaf", "mute", "yield", "all", "wild"


@dataclass(frozen=True, slots=True)
class Fault:
    """What befalls whom, from when, how long: a script is a list of these. Times are tenths of a
    millisecond."""

    at: int
    sort: str
    whom: int
    span: int


@dataclass(frozen=True, slots=True)
class Day:
    """One simulated run; the same figures give the same run. `off` names defences that are left out: silence,
    drift, check, fence, busy."""

    seed: int
    nodes: int = 3
    voters: int = 3
    length: int = 30 * LEASE
    loss: float = 0.1
    delay: int = 300  # of a letter, at most; a tenth of them take ten times that
    drift: float = DRIFT  # of clocks, at most
    faults: tuple[Fault, ...] = ()
    off: tuple[str, ...] = ()
    disk: bool = False


def drawn(
    seed: int,
    nodes: int = 3,
    many: int = 6,
    off: tuple[str, ...] = (),
    disk: bool = False,
    drift: float = DRIFT,
    sorts: tuple[str, ...] = FAULTS,
) -> Day:
    """A day with faults by chance, of these sorts."""
    chance = SeededRandom(seed)
    length = 12 * LEASE
    faults = tuple(
        sorted(
            (
                Fault(
                    chance.below(length),
                    sorts[chance.below(len(sorts))],
                    chance.below(nodes),
                    chance.below(3 * LEASE),
                )
                for _ in range(many)
            ),
            key=lambda each: each.at,
        )
    )
    return Day(
        seed,
        nodes,
        min(nodes, 3 if seed % 2 else 5),
        length,
        (0.0, 0.1, 0.3)[chance.below(3)],
        (50, 300, 2_000)[chance.below(3)],
        drift,
        faults,
        off,
        disk,
    )


class Node:
    """A process: one voter, one candidate, one clock."""

    def __init__(self, world: "World", number: int) -> None:
        self.world, self.number, self.name = world, number, f"n{number}"
        chance = world.chance
        # Boot clocks differ by hours, and run fast or slow by as much as is assumed.
        self.rate = 1 + world.day.drift * (chance.below(2001) - 1000) / 1000
        self.offset = chance.below(10**7)
        self.skew = chance.below(10**7)  # of its date, in ms
        self.start, self.stopped_until, self.kept = 1, 0, None
        self.reach = {"in": 0, "out": 0}  # cut off until then
        self.acts = 0
        self.begin()

    @property
    def now(self) -> int:
        return self.offset + int(self.world.time * self.rate)

    @property
    def date(self) -> int:
        return self.skew + self.world.time // 10

    def begin(self) -> None:
        """A start: nothing is known but what a disk kept."""
        world, off = self.world, self.world.day.off
        timing = LeaseTiming(
            LEASE, 0.0 if "drift" in off else world.day.drift, 0 if "drift" in off else MARGIN
        )
        if "silence" in off:
            timing.silence_ticks = 0
        stored = self.kept if world.day.disk else None
        self.voter = Voter(self, self.name, world.roll, timing, stored)
        if world.time == 0 and not world.day.disk:
            self.voter.silent_until = 0  # the fleet's first start ever: there is nothing to forget
        if "busy" in off:
            self.voter._blocked_ticks = lambda vote, candidate: 0
        self.holder = LeaseCandidate(self, DUTY, self.name, world.roll, timing)
        if "check" in off:
            self.holder.may_act = lambda: self.holder.state is CandidateState.HOLDING

    # The machines' host.

    def send(self, name: str, body: list[Any]) -> None:
        self.world.carry(self, self.world.nodes[int(name[1:])], body)

    def call_later(self, delay: int, method: Any, *what: Any) -> None:
        self.world.call_later(int(delay / self.rate) + 1, self.woken, self.start, method, what)

    def woken(self, start: int, method: Any, what: tuple) -> None:
        if start == self.start:
            method(*what)

    def random_below(self, below: int) -> int:
        return self.world.chance.below(below)

    def rank_of(self, lease: str) -> int:
        return self.number

    def persist(self, record: dict, then: Any, *what: Any) -> None:
        if not self.world.day.disk:
            return then(*what)
        self.world.call_later(
            20 + self.world.chance.below(200), self.safe, self.start, record, then, what
        )

    def safe(self, start: int, record: dict, then: Any, what: tuple) -> None:
        if start == self.start:
            self.kept = record
            then(*what)

    def on_lease_gained(self, holder: LeaseCandidate) -> None:
        self.world.gained(self)

    def on_lease_lost(self, holder: LeaseCandidate, why: str) -> None:
        pass

    def on_lease_released(self, holder: LeaseCandidate) -> None:
        for node in self.world.nodes:
            if node is not self:
                self.send(node.name, LeaseVacant(DUTY, 1, 0).encode())

    def log(self, line: str) -> None:
        pass

    # What comes to it.

    def heard(self, sender: "Node", start: int, known_as: int, body: list[Any]) -> None:
        if known_as != self.start:
            return  # written to an earlier start: the letters' own rule
        if decode_address(body).is_for_candidate:
            self.holder.on_datagram(sender.name, body)
        else:
            self.voter.on_datagram(sender.name, start, body)

    def act(self) -> None:
        """Something under the duty, now and then. A stop may come between the look and the act."""
        world = self.world
        world.call_later(LEASE // 20, self.act)
        if self.holder.may_act():
            world.acted(self, self.holder.fencing_token, world.time)


class World:
    """`run` gives what the judge found; nothing where all was well."""

    def __init__(self, day: Day) -> None:
        self.day, self.chance, self.time, self.serial = day, SeededRandom(day.seed), 0, 0
        self.events: list[tuple] = []
        self.found: list[str] = []
        self.handovers: list[tuple[int, int]] = []  # when, after how long without a holder
        self.guard, self.acts, self.refused, self.last = FencingGuard(), 0, 0, 0
        self.roll = VoterConfiguration(1, [f"n{n}" for n in range(day.voters)], LEASE)
        self.nodes: list[Node] = []
        for number in range(day.nodes):
            self.nodes.append(self.node(number))
        for node in self.nodes:
            self.call_later(1 + self.chance.below(LEASE // 20), node.act)
        for fault in day.faults:
            self.call_later(max(fault.at, 1), self.befall, fault)

    def node(self, number: int) -> Node:
        return Node(self, number)

    def call_later(self, delay: int, method: Any, *what: Any) -> None:
        self.serial += 1
        owner = getattr(method, "__self__", None)
        heappush(self.events, (self.time + max(delay, 1), self.serial, owner, method, what))

    def run(self) -> list[str]:
        while self.events and not self.found:
            self.time, _, owner, method, what = heappop(self.events)
            if self.time > self.day.length:
                break
            if isinstance(owner, Node) and owner.stopped_until > self.time:
                # It stands still: what was due comes when it goes on.
                self.serial += 1
                heappush(self.events, (owner.stopped_until, self.serial, owner, method, what))
                continue
            method(*what)
            self._judge()
        return self.found

    def _judge(self) -> None:
        """No two at once, in true time."""
        able = [node for node in self.nodes if node.holder.may_act()]
        if len(able) > 1:
            self.found.append(
                f"{self.time}: {' and '.join(node.name for node in able)} hold at once"
            )

    def acted(self, node: Node, fence: int, looked: int) -> None:
        """An act arrives, at once or after a stop that came within it."""
        self.acts += 1
        if self.chance.within(0.05):  # stopped between the look and the act
            node.stopped_until = self.time + self.chance.below(3 * LEASE)
            self.call_later(node.stopped_until - self.time + 1, self.arrive, fence)
        else:
            self.arrive(fence)

    def arrive(self, fence: int) -> None:
        admitted = True if "fence" in self.day.off else self.guard.admits(DUTY, fence)
        if not admitted:
            self.refused += 1
        elif fence < self.last:
            self.found.append(
                f"{self.time}: an act under fence {fence} after one under {self.last}"
            )
        self.last = max(self.last, fence) if admitted else self.last

    def gained(self, node: Node) -> None:
        self.handovers.append((self.time, node.number))

    def carry(self, sender: Node, to: Node, body: list[Any]) -> None:
        if sender is not to and (
            self.chance.within(self.day.loss) or sender.reach["out"] > self.time
        ):
            return
        for _ in range(1 + (sender is not to and self.chance.within(0.02))):  # some come twice
            delay = 1 + self.chance.below(self.day.delay) * (10 if self.chance.within(0.1) else 1)
            self.call_later(
                1 if sender is to else delay, self.arrived, sender, sender.start, to, to.start, body
            )

    def arrived(self, sender: Node, start: int, to: Node, known_as: int, body: list[Any]) -> None:
        if sender is to or to.reach["in"] <= self.time:
            self.call_later(1, to.heard, sender, start, known_as, body)

    # Faults.

    def befall(self, fault: Fault) -> None:
        node, until = self.nodes[fault.whom % len(self.nodes)], self.time + fault.span
        if fault.sort == "stop":
            node.stopped_until = max(node.stopped_until, until)
        elif fault.sort == "restart":
            self.restart(node)
        elif fault.sort == "all":
            for each in self.nodes:
                self.restart(each)
        elif fault.sort in ("cut", "deaf"):
            node.reach["in"] = until
        elif fault.sort == "wild":
            node.holder.highest_ballot = 2**50 + self.chance.below(1000)
        if fault.sort in ("cut", "mute"):
            node.reach["out"] = until
        if fault.sort == "yield":
            node.holder.release("told")

    def restart(self, node: Node) -> None:
        node.start += 1
        node.stopped_until = 0
        node.begin()


def shortest(day: Day) -> Day:
    """The fewest faults that still show what the day shows."""
    faults = [*day.faults]
    for fault in day.faults:
        fewer = [each for each in faults if each is not fault]
        if World(_with(day, fewer)).run():
            faults = fewer
    return _with(day, faults)


def _with(day: Day, faults: list[Fault]) -> Day:
    return Day(
        day.seed,
        day.nodes,
        day.voters,
        day.length,
        day.loss,
        day.delay,
        day.drift,
        tuple(faults),
        day.off,
        day.disk,
    )

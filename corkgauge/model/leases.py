"""Leases between simulated processes, judged in true time.

The real voters and candidates; clocks that drift, datagrams that are lost, late and out of order,
processes that stop, restart and are cut off. Times are tenths of a millisecond.

Owns the simulated world. Must never look into a machine to decide what happens; the judge alone
asks `may_act`, as the act that follows would.
"""

from dataclasses import dataclass, replace
from heapq import heappop, heappush
from typing import Any

from corkgauge.leases.candidate import CandidateState, LeaseCandidate
from corkgauge.leases.fencing import FencingGuard
from corkgauge.leases.messages import LeaseVacant, decode_routing
from corkgauge.leases.voter import Voter
from corkgauge.leases.voter_configuration import LeaseTiming, VoterConfiguration
from corkgauge.testkit.seeded_random import SeededRandom

LEASE = 10_000
DRIFT = 0.01  # of clocks, at most
MARGIN = 300
ACT_PERIOD = LEASE // 20
DUPLICATED = 0.02  # of datagrams
MUCH_DELAYED = 0.1  # of datagrams: ten times as late
STOPPED_IN_ACT = 0.05  # of acts: a stop between the look at the clock and the act
LEASE_NAME = "books"
FAULTS = "stop", "restart", "cut", "deaf", "mute", "yield", "all", "wild"


@dataclass(frozen=True, slots=True)
class Fault:
    """What befalls whom, from when, how long: a script is a list of these."""

    at: int
    sort: str
    whom: int
    span: int


@dataclass(frozen=True, slots=True)
class Day:
    """One simulated run; the same figures give the same run.

    `off` names safeguards that are left out: silence, drift, check, fence, busy.
    """

    seed: int
    nodes: int = 3
    voters: int = 3
    length: int = 30 * LEASE
    loss: float = 0.1
    delay: int = 300  # of a datagram, at most; a tenth of them take ten times that
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
    """Return a day with faults by chance, of these sorts."""
    chance = SeededRandom(seed)
    length = 12 * LEASE
    faults = [
        Fault(
            chance.below(length),
            sorts[chance.below(len(sorts))],
            chance.below(nodes),
            chance.below(3 * LEASE),
        )
        for _ in range(many)
    ]
    faults.sort(key=lambda fault: fault.at)
    return Day(
        seed,
        nodes,
        min(nodes, 3 if seed % 2 else 5),
        length,
        (0.0, 0.1, 0.3)[chance.below(3)],
        (50, 300, 2_000)[chance.below(3)],
        drift,
        tuple(faults),
        off,
        disk,
    )


class Node:
    """A process: one voter, one candidate, one clock."""

    def __init__(self, world: "World", number: int) -> None:
        self.world = world
        self.number = number
        self.name = f"n{number}"
        chance = world.chance
        # Boot clocks differ by hours, and run fast or slow by as much as is assumed.
        self.rate = 1 + world.day.drift * (chance.below(2001) - 1000) / 1000
        self.offset = chance.below(10**7)
        self.skew = chance.below(10**7)  # of its date, in ms
        self.start = 1  # its incarnation
        self.stopped_until = 0
        self.stored: Any = None  # votes on its disk
        self.reach = {"in": 0, "out": 0}  # cut off until then
        self.begin()

    @property
    def now(self) -> int:
        """Tenths of a millisecond on its own clock."""
        return self.offset + int(self.world.time * self.rate)

    @property
    def date(self) -> int:
        """Milliseconds, as it believes."""
        return self.skew + self.world.time // 10

    def begin(self) -> None:
        """Start: nothing is known but what a disk kept."""
        world = self.world
        off = world.day.off
        drift = world.day.drift
        margin = MARGIN
        if "drift" in off:
            drift = 0.0
            margin = 0
        timing = LeaseTiming(LEASE, drift, margin)
        if "silence" in off:
            timing.silence_ticks = 0
        stored = self.stored if world.day.disk else None
        self.voter = Voter(self, self.name, world.roll, timing, stored)
        if world.time == 0 and not world.day.disk:
            self.voter.silent_until = 0  # the fleet's first start ever: there is nothing to forget
        if "busy" in off:
            self.voter._blocked_ticks = lambda vote, candidate: 0  # type: ignore[method-assign]
        self.holder = LeaseCandidate(self, LEASE_NAME, self.name, world.roll, timing)
        if "check" in off:
            holder = self.holder
            holder.may_act = lambda: holder.state is CandidateState.HOLDING  # type: ignore[method-assign]

    # The machines' host.

    def send(self, name: str, body: list[Any]) -> None:
        """Send a datagram to a process."""
        self.world.carry(self, self.world.nodes[int(name[1:])], body)

    def call_later(self, delay: int, method: Any, *what: Any) -> None:
        """Set a timer on its own clock."""
        self.world.call_later(int(delay / self.rate) + 1, self.woken, self.start, method, what)

    def woken(self, start: int, method: Any, what: tuple[Any, ...]) -> None:
        """Call what a timer was set for, unless it has restarted since."""
        if start == self.start:
            method(*what)

    def random_below(self, below: int) -> int:
        """Return a number from 0 to `below` - 1."""
        return self.world.chance.below(below)

    def rank_of(self, lease: str) -> int:
        """Return its number."""
        return self.number

    def persist(self, record: dict[str, Any], then: Any, *what: Any) -> None:
        """Call `then` once the record is on its disk, if it has one."""
        if not self.world.day.disk:
            then(*what)
            return
        self.world.call_later(
            20 + self.world.chance.below(200), self.safe, self.start, record, then, what
        )

    def safe(self, start: int, record: dict[str, Any], then: Any, what: tuple[Any, ...]) -> None:
        """Note that a record is on the disk."""
        if start == self.start:
            self.stored = record
            then(*what)

    def on_lease_gained(self, holder: LeaseCandidate) -> None:
        """Notify the world."""
        self.world.gained(self)

    def on_lease_lost(self, holder: LeaseCandidate, why: str) -> None:
        """Nothing to do: each act looks at the lease."""

    def on_lease_released(self, holder: LeaseCandidate) -> None:
        """Notify all others that the lease is vacant."""
        for node in self.world.nodes:
            if node is not self:
                self.send(node.name, LeaseVacant(LEASE_NAME, 1, 0).encode())

    def log(self, line: str) -> None:
        """Lines are not kept."""

    # What comes to it.

    def heard(self, sender: "Node", start: int, known_as: int, body: list[Any]) -> None:
        """Take a datagram, unless it was written to an earlier incarnation."""
        if known_as != self.start:
            return  # the membership's own rule
        if decode_routing(body).is_for_candidate:
            self.holder.on_datagram(sender.name, body)
        else:
            self.voter.on_datagram(sender.name, start, body)

    def act(self) -> None:
        """Do something under the lease, now and then."""
        world = self.world
        world.call_later(ACT_PERIOD, self.act)
        if self.holder.may_act():
            world.acted(self, self.holder.fencing_token)


class World:
    """One simulated day: `run` returns what the judge found; nothing where all was well."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self.chance = SeededRandom(day.seed)
        self.time = 0  # the true one
        self.serial = 0  # of events, so that those of one moment keep their order
        self.events: list[tuple[Any, ...]] = []
        self.found: list[str] = []
        self.handovers: list[tuple[int, int]] = []  # when, after how long without a holder
        self.guard = FencingGuard()
        self.acts = 0
        self.refused = 0
        self.last = 0  # the highest fencing token of an act that was taken
        self.roll = VoterConfiguration(1, [f"n{n}" for n in range(day.voters)], LEASE)
        self.nodes: list[Node] = []
        for number in range(day.nodes):
            self.nodes.append(self.node(number))
        for node in self.nodes:
            self.call_later(1 + self.chance.below(ACT_PERIOD), node.act)
        for fault in day.faults:
            self.call_later(max(fault.at, 1), self.befall, fault)

    def node(self, number: int) -> Node:
        """Return a process; other models have their own."""
        return Node(self, number)

    def call_later(self, delay: int, method: Any, *what: Any) -> None:
        """Call a method in true time; one of a process that stands still waits."""
        self.serial += 1
        owner = getattr(method, "__self__", None)
        heappush(self.events, (self.time + max(delay, 1), self.serial, owner, method, what))

    def run(self) -> list[str]:
        """Play the day; return what the judge found."""
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
        """Look whether two hold the lease at once, in true time."""
        able = [node for node in self.nodes if node.holder.may_act()]
        if len(able) > 1:
            self.found.append(
                f"{self.time}: {' and '.join(node.name for node in able)} hold at once"
            )

    def acted(self, node: Node, fence: int) -> None:
        """Let an act arrive, at once or after a stop that came within it."""
        self.acts += 1
        if self.chance.happens(STOPPED_IN_ACT):  # stopped between the look and the act
            node.stopped_until = self.time + self.chance.below(3 * LEASE)
            self.call_later(node.stopped_until - self.time + 1, self.arrive, fence)
        else:
            self.arrive(fence)

    def arrive(self, fence: int) -> None:
        """Judge an act as it arrives."""
        is_guarded = "fence" not in self.day.off
        admitted = not is_guarded or self.guard.admits(LEASE_NAME, fence)
        if not admitted:
            self.refused += 1
        elif fence < self.last:
            self.found.append(
                f"{self.time}: an act under fence {fence} after one under {self.last}"
            )
        if admitted:
            self.last = max(self.last, fence)

    def gained(self, node: Node) -> None:
        """Note a change of holder."""
        self.handovers.append((self.time, node.number))

    def carry(self, sender: Node, to: Node, body: list[Any]) -> None:
        """Put a datagram on its way, or lose it."""
        if sender is not to and (
            self.chance.happens(self.day.loss) or sender.reach["out"] > self.time
        ):
            return
        copies = 1
        if sender is not to and self.chance.happens(DUPLICATED):
            copies = 2
        for _ in range(copies):
            delay = self._draw_delay()
            if sender is to:
                delay = 1
            self.call_later(delay, self.arrived, sender, sender.start, to, to.start, body)

    def _draw_delay(self) -> int:
        delay = self.chance.below(self.day.delay)
        if self.chance.happens(MUCH_DELAYED):
            delay *= 10
        return 1 + delay

    def arrived(self, sender: Node, start: int, to: Node, known_as: int, body: list[Any]) -> None:
        """Hand a datagram over, unless its recipient is cut off."""
        if sender is to or to.reach["in"] <= self.time:
            self.call_later(1, to.heard, sender, start, known_as, body)

    # Faults.

    def befall(self, fault: Fault) -> None:
        """Let a fault begin."""
        node = self.nodes[fault.whom % len(self.nodes)]
        until = self.time + fault.span
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
        """Let a process start anew, at once."""
        node.start += 1
        node.stopped_until = 0
        node.begin()


def shortest(day: Day) -> Day:
    """Return the day with the fewest faults that still show what it shows."""
    faults = [*day.faults]
    for fault in day.faults:
        fewer = [each for each in faults if each is not fault]
        if World(_with(day, fewer)).run():
            faults = fewer
    return _with(day, faults)


def _with(day: Day, faults: list[Fault]) -> Day:
    return replace(day, faults=tuple(faults))

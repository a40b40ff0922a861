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

LEASE_TICKS = 10_000
MAX_DRIFT_FRACTION = 0.01  # of clocks, at most
MARGIN_TICKS = 300
ACTION_PERIOD_TICKS = LEASE_TICKS // 20
DUPLICATE_FRACTION = 0.02  # of datagrams
LONG_DELAY_FRACTION = 0.1  # of datagrams: ten times as late
STOP_DURING_ACTION_FRACTION = 0.05  # of acts: a stop between the look at the clock and the act
LEASE_NAME = "books"
ALL_FAULT_KINDS = "stop", "restart", "cut", "deaf", "mute", "yield", "all", "wild"


@dataclass(frozen=True, slots=True)
class Fault:
    """What befalls whom, from when, how long: a script is a list of these."""

    starts_at: int
    kind: str
    node_number: int
    duration_ticks: int


@dataclass(frozen=True, slots=True)
class Scenario:
    """One simulated run; the same figures give the same run.

    `off` names safeguards that are left out: silence, drift, check, fence, busy.
    """

    seed: int
    node_count: int = 3
    voter_count: int = 3
    duration_ticks: int = 30 * LEASE_TICKS
    loss: float = 0.1
    delay: int = 300  # of a datagram, at most; a tenth of them take ten times that
    drift: float = MAX_DRIFT_FRACTION  # of clocks, at most
    faults: tuple[Fault, ...] = ()
    disabled: tuple[str, ...] = ()
    disk: bool = False


def draw_scenario(
    seed: int,
    node_count: int = 3,
    fault_count: int = 6,
    disabled: tuple[str, ...] = (),
    disk: bool = False,
    drift: float = MAX_DRIFT_FRACTION,
    kinds: tuple[str, ...] = ALL_FAULT_KINDS,
) -> Scenario:
    """Return a day with faults by chance, of these sorts."""
    random = SeededRandom(seed)
    duration_ticks = 12 * LEASE_TICKS
    faults = [
        Fault(
            random.below(duration_ticks),
            kinds[random.below(len(kinds))],
            random.below(node_count),
            random.below(3 * LEASE_TICKS),
        )
        for _ in range(fault_count)
    ]
    faults.sort(key=lambda fault: fault.starts_at)
    return Scenario(
        seed,
        node_count,
        min(node_count, 3 if seed % 2 else 5),
        duration_ticks,
        (0.0, 0.1, 0.3)[random.below(3)],
        (50, 300, 2_000)[random.below(3)],
        drift,
        tuple(faults),
        disabled,
        disk,
    )


class Node:
    """A process: one voter, one candidate, one clock."""

    def __init__(self, world: "World", number: int) -> None:
        self.world = world
        self.number = number
        self.name = f"n{number}"
        random = world.random
        # Boot clocks differ by hours, and run fast or slow by as much as is assumed.
        self.clock_rate = 1 + world.scenario.drift * (random.below(2001) - 1000) / 1000
        self.clock_offset = random.below(10**7)
        self.date_offset_ms = random.below(10**7)  # of its date, in ms
        self.incarnation = 1  # its incarnation
        self.stopped_until = 0
        self.stored_record: Any = None  # votes on its disk
        self.cut_until = {"in": 0, "out": 0}  # cut off until then
        self.start_process()

    @property
    def now(self) -> int:
        """Tenths of a millisecond on its own clock."""
        return self.clock_offset + int(self.world.time * self.clock_rate)

    @property
    def date(self) -> int:
        """Milliseconds, as it believes."""
        return self.date_offset_ms + self.world.time // 10

    def start_process(self) -> None:
        """Start: nothing is known but what a disk kept."""
        world = self.world
        disabled = world.scenario.disabled
        drift = world.scenario.drift
        margin = MARGIN_TICKS
        if "drift" in disabled:
            drift = 0.0
            margin = 0
        timing = LeaseTiming(LEASE_TICKS, drift, margin)
        if "silence" in disabled:
            timing.silence_ticks = 0
        stored_record = self.stored_record if world.scenario.disk else None
        self.voter = Voter(self, self.name, world.voter_configuration, timing, stored_record)
        if world.time == 0 and not world.scenario.disk:
            self.voter.silent_until = 0  # the fleet's first start ever: there is nothing to forget
        if "busy" in disabled:
            self.voter._blocked_ticks = lambda vote, candidate: 0  # type: ignore[method-assign]
        self.candidate = LeaseCandidate(
            self, LEASE_NAME, self.name, world.voter_configuration, timing
        )
        if "check" in disabled:
            holder = self.candidate
            holder.may_act = lambda: holder.state is CandidateState.HOLDING  # type: ignore[method-assign]

    # The machines' host.

    def send(self, name: str, body: list[Any]) -> None:
        """Send a datagram to a process."""
        self.world.send_datagram(self, self.world.nodes[int(name[1:])], body)

    def call_later(self, delay: int, method: Any, *what: Any) -> None:
        """Set a timer on its own clock."""
        self.world.call_later(
            int(delay / self.clock_rate) + 1, self.run_timer, self.incarnation, method, what
        )

    def run_timer(self, incarnation: int, method: Any, what: tuple[Any, ...]) -> None:
        """Call what a timer was set for, unless it has restarted since."""
        if incarnation == self.incarnation:
            method(*what)

    def random_below(self, below: int) -> int:
        """Return a number from 0 to `below` - 1."""
        return self.world.random.below(below)

    def rank_of(self, lease: str) -> int:
        """Return its number."""
        return self.number

    def persist(self, record: dict[str, Any], then: Any, *what: Any) -> None:
        """Call `then` once the record is on its disk, if it has one."""
        if not self.world.scenario.disk:
            then(*what)
            return
        self.world.call_later(
            20 + self.world.random.below(200),
            self.on_record_stored,
            self.incarnation,
            record,
            then,
            what,
        )

    def on_record_stored(
        self, incarnation: int, record: dict[str, Any], then: Any, what: tuple[Any, ...]
    ) -> None:
        """Note that a record is on the disk."""
        if incarnation == self.incarnation:
            self.stored_record = record
            then(*what)

    def on_lease_gained(self, holder: LeaseCandidate) -> None:
        """Notify the world."""
        self.world.on_holder_changed(self)

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

    def handle_datagram(
        self, sender: "Node", incarnation: int, recipient_incarnation: int, body: list[Any]
    ) -> None:
        """Take a datagram, unless it was written to an earlier incarnation."""
        if recipient_incarnation != self.incarnation:
            return  # the membership's own rule
        if decode_routing(body).is_for_candidate:
            self.candidate.on_datagram(sender.name, body)
        else:
            self.voter.on_datagram(sender.name, incarnation, body)

    def act(self) -> None:
        """Do something under the lease, now and then."""
        world = self.world
        world.call_later(ACTION_PERIOD_TICKS, self.act)
        if self.candidate.may_act():
            world.on_action(self, self.candidate.fencing_token)


class World:
    """One simulated day: `run` returns what the judge found; nothing where all was well."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.random = SeededRandom(scenario.seed)
        self.time = 0  # the true one
        self.event_serial = 0  # of events, so that those of one moment keep their order
        self.events: list[tuple[Any, ...]] = []
        self.violations: list[str] = []
        self.handovers: list[tuple[int, int]] = []  # when, after how long without a holder
        self.fencing_guard = FencingGuard()
        self.action_count = 0
        self.refused_count = 0
        self.last_token = 0  # the highest fencing token of an act that was taken
        self.voter_configuration = VoterConfiguration(
            1, [f"n{n}" for n in range(scenario.voter_count)], LEASE_TICKS
        )
        self.nodes: list[Node] = []
        for number in range(scenario.node_count):
            self.nodes.append(self.create_node(number))
        for node in self.nodes:
            self.call_later(1 + self.random.below(ACTION_PERIOD_TICKS), node.act)
        for fault in scenario.faults:
            self.call_later(max(fault.starts_at, 1), self.apply_fault, fault)

    def create_node(self, number: int) -> Node:
        """Return a process; other models have their own."""
        return Node(self, number)

    def call_later(self, delay: int, method: Any, *what: Any) -> None:
        """Call a method in true time; one of a process that stands still waits."""
        self.event_serial += 1
        owner = getattr(method, "__self__", None)
        heappush(self.events, (self.time + max(delay, 1), self.event_serial, owner, method, what))

    def run(self) -> list[str]:
        """Play the day; return what the judge found."""
        while self.events and not self.violations:
            self.time, _, owner, method, what = heappop(self.events)
            if self.time > self.scenario.duration_ticks:
                break
            if isinstance(owner, Node) and owner.stopped_until > self.time:
                # It stands still: what was due comes when it goes on.
                self.event_serial += 1
                heappush(self.events, (owner.stopped_until, self.event_serial, owner, method, what))
                continue
            method(*what)
            self._judge()
        return self.violations

    def _judge(self) -> None:
        """Look whether two hold the lease at once, in true time."""
        active_nodes = [node for node in self.nodes if node.candidate.may_act()]
        if len(active_nodes) > 1:
            self.violations.append(
                f"{self.time}: {' and '.join(node.name for node in active_nodes)} hold at once"
            )

    def on_action(self, node: Node, fencing_token: int) -> None:
        """Let an act arrive, at once or after a stop that came within it."""
        self.action_count += 1
        if self.random.within(STOP_DURING_ACTION_FRACTION):  # stopped between the look and the act
            node.stopped_until = self.time + self.random.below(3 * LEASE_TICKS)
            self.call_later(node.stopped_until - self.time + 1, self.check_action, fencing_token)
        else:
            self.check_action(fencing_token)

    def check_action(self, fencing_token: int) -> None:
        """Judge an act as it arrives."""
        is_guarded = "fence" not in self.scenario.disabled
        admitted = not is_guarded or self.fencing_guard.admits(LEASE_NAME, fencing_token)
        if not admitted:
            self.refused_count += 1
        elif fencing_token < self.last_token:
            self.violations.append(
                f"{self.time}: an act under fence {fencing_token} after one under {self.last_token}"
            )
        if admitted:
            self.last_token = max(self.last_token, fencing_token)

    def on_holder_changed(self, node: Node) -> None:
        """Note a change of holder."""
        self.handovers.append((self.time, node.number))

    def send_datagram(self, sender: Node, recipient: Node, body: list[Any]) -> None:
        """Put a datagram on its way, or lose it."""
        if sender is not recipient and (
            self.random.within(self.scenario.loss) or sender.cut_until["out"] > self.time
        ):
            return
        copies = 1
        if sender is not recipient and self.random.within(DUPLICATE_FRACTION):
            copies = 2
        for _ in range(copies):
            delay = self._draw_delay()
            if sender is recipient:
                delay = 1
            self.call_later(
                delay,
                self.deliver,
                sender,
                sender.incarnation,
                recipient,
                recipient.incarnation,
                body,
            )

    def _draw_delay(self) -> int:
        delay = self.random.below(self.scenario.delay)
        if self.random.within(LONG_DELAY_FRACTION):
            delay *= 10
        return 1 + delay

    def deliver(
        self,
        sender: Node,
        incarnation: int,
        recipient: Node,
        recipient_incarnation: int,
        body: list[Any],
    ) -> None:
        """Hand a datagram over, unless its recipient is cut off."""
        if sender is recipient or recipient.cut_until["in"] <= self.time:
            self.call_later(
                1, recipient.handle_datagram, sender, incarnation, recipient_incarnation, body
            )

    # Faults.

    def apply_fault(self, fault: Fault) -> None:
        """Let a fault begin."""
        node = self.nodes[fault.node_number % len(self.nodes)]
        until = self.time + fault.duration_ticks
        if fault.kind == "stop":
            node.stopped_until = max(node.stopped_until, until)
        elif fault.kind == "restart":
            self.restart_node(node)
        elif fault.kind == "all":
            for each in self.nodes:
                self.restart_node(each)
        elif fault.kind in ("cut", "deaf"):
            node.cut_until["in"] = until
        elif fault.kind == "wild":
            node.candidate.highest_ballot = 2**50 + self.random.below(1000)
        if fault.kind in ("cut", "mute"):
            node.cut_until["out"] = until
        if fault.kind == "yield":
            node.candidate.release("told")

    def restart_node(self, node: Node) -> None:
        """Let a process start anew, at once."""
        node.incarnation += 1
        node.stopped_until = 0
        node.start_process()


def minimize_scenario(scenario: Scenario) -> Scenario:
    """Return the day with the fewest faults that still show what it shows."""
    faults = [*scenario.faults]
    for fault in scenario.faults:
        fewer = [each for each in faults if each is not fault]
        if World(_with(scenario, fewer)).run():
            faults = fewer
    return _with(scenario, faults)


def _with(scenario: Scenario, faults: list[Fault]) -> Scenario:
    return replace(scenario, faults=tuple(faults))

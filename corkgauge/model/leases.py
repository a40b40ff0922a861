"""Simulates leases between processes with faults, and checks them against the true time.

The voters and candidates are those of the program. Clocks drift; datagrams are lost, delayed,
duplicated and reordered; processes stop, restart and are cut off from the network. Times are ticks
of a tenth of a millisecond.

Owns the simulated world. The simulation must never read the state of a voter or candidate to decide
what happens. Only the check of the invariant calls `may_act`, as a process does before an act.
"""

from dataclasses import dataclass, replace
from heapq import heappop, heappush
from typing import Any

from corkgauge.leases.candidate import CandidateState, LeaseCandidate
from corkgauge.leases.fencing import FencingGuard
from corkgauge.leases.messages import GrantReply, GrantRequest, LeaseVacant, decode_routing
from corkgauge.leases.voter import Holder, Vote, Voter
from corkgauge.leases.voter_configuration import LeaseTiming, VoterConfiguration
from corkgauge.testkit.seeded_random import SeededRandom

LEASE_TICKS = 10_000
MAX_DRIFT_FRACTION = 0.01  # largest deviation of a clock rate
MARGIN_TICKS = 300
MIN_WRITE_TICKS, MAX_WRITE_TICKS = 20, 220
ACTION_PERIOD_TICKS = LEASE_TICKS // 20
DUPLICATE_FRACTION = 0.02  # of datagrams
LONG_DELAY_FRACTION = 0.1  # of datagrams, which are delayed ten times as long
# Fraction of acts for which the process stops between the check of the lease and the act.
STOP_DURING_ACTION_FRACTION = 0.05
LEASE_NAME = "books"
ALL_FAULT_KINDS = "stop", "restart", "cut", "deaf", "mute", "yield", "all", "wild"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of one node, for a limited time."""

    starts_at: int
    kind: str
    node_number: int
    duration_ticks: int


@dataclass(frozen=True, slots=True)
class Scenario:
    """Parameters of a simulation; equal parameters give the same simulation.

    `disabled` names the disabled safeguards: silence, drift, check, fence, busy, stored (a voter
    replies to a repeated grant request although the grant is not on disk yet).
    """

    seed: int
    node_count: int = 3
    voter_count: int = 3
    duration_ticks: int = 30 * LEASE_TICKS
    loss: float = 0.1
    delay: int = 300  # of a datagram, at most, in ticks; a tenth of them take ten times as long
    drift: float = MAX_DRIFT_FRACTION  # largest deviation of a clock rate
    faults: tuple[Fault, ...] = ()
    disabled: tuple[str, ...] = ()
    disk: bool = False
    write_ticks: int = MAX_WRITE_TICKS  # of a record to the disk, at most
    duplicates: float = DUPLICATE_FRACTION  # of datagrams


def draw_scenario(
    seed: int,
    node_count: int = 3,
    fault_count: int = 6,
    disabled: tuple[str, ...] = (),
    disk: bool = False,
    drift: float = MAX_DRIFT_FRACTION,
    kinds: tuple[str, ...] = ALL_FAULT_KINDS,
) -> Scenario:
    """Return a scenario with random faults of these kinds."""
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
    """A simulated process with one voter, one candidate and one clock."""

    def __init__(self, world: "World", number: int) -> None:
        self.world = world
        self.number = number
        self.name = f"n{number}"
        random = world.random
        # Boot clocks differ by up to 1,000 s, and their rates by the drift that leases allow for.
        self.clock_rate = 1 + world.scenario.drift * (random.below(2001) - 1000) / 1000
        self.clock_offset = random.below(10**7)
        self.date_offset_ms = random.below(10**7)
        self.incarnation = 1
        self.stopped_until = 0
        self.stored_record: Any = None  # votes on the disk
        self.cut_until = {"in": 0, "out": 0}  # tick at which each direction works again
        self.start_process()

    @property
    def now(self) -> int:
        """Ticks on the clock of this node."""
        return self.clock_offset + int(self.world.time * self.clock_rate)

    @property
    def date(self) -> int:
        """The date of this node in milliseconds."""
        return self.date_offset_ms + self.world.time // 10

    def start_process(self) -> None:
        """Start the process without any state except the votes on its disk."""
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
            self.voter.silent_until = 0  # at the first start of the fleet there are no lost votes
        if "busy" in disabled:
            self.voter._blocked_ticks = lambda vote, candidate: 0  # type: ignore[method-assign]
        if "stored" in disabled:
            self.voter._renew = self.renew_unstored  # type: ignore[method-assign]
        self.candidate = LeaseCandidate(
            self, LEASE_NAME, self.name, world.voter_configuration, timing
        )
        if "check" in disabled:
            holder = self.candidate
            holder.may_act = lambda: holder.state is CandidateState.HOLDING  # type: ignore[method-assign]

    def renew_unstored(self, candidate: Holder, vote: Vote, request: GrantRequest) -> None:
        """Reply to a repeated grant request at once; replaces the voter's method."""
        vote.granted_until = self.now + self.voter.timing.grant_ticks
        self.voter._reply(GrantReply, candidate, vote, request, True)

    # Host of the voter and the candidate.

    def send(self, name: str, body: list[Any]) -> None:
        """Send a datagram to a node."""
        self.world.send_datagram(self, self.world.nodes[int(name[1:])], body)

    def call_later(self, delay: int, method: Any, *arguments: Any) -> None:
        """Set a timer on the clock of this node."""
        self.world.call_later(
            int(delay / self.clock_rate) + 1, self.run_timer, self.incarnation, method, arguments
        )

    def run_timer(self, incarnation: int, method: Any, arguments: tuple[Any, ...]) -> None:
        """Run a timer that is due, unless the process has restarted since it was set."""
        if incarnation == self.incarnation:
            method(*arguments)

    def random_below(self, limit: int) -> int:
        """Return a number from 0 to `limit` - 1."""
        return self.world.random.below(limit)

    def rank_of(self, lease: str) -> int:
        """Return the number of this node."""
        return self.number

    def persist(self, record: dict[str, Any], then: Any, *arguments: Any) -> None:
        """Store a record on the disk, if there is one, and call `then` afterwards."""
        if not self.world.scenario.disk:
            then(*arguments)
            return
        self.world.call_later(
            MIN_WRITE_TICKS
            + self.world.random.below(self.world.scenario.write_ticks - MIN_WRITE_TICKS),
            self.on_record_stored,
            self.incarnation,
            record,
            then,
            arguments,
        )

    def on_record_stored(
        self, incarnation: int, record: dict[str, Any], then: Any, arguments: tuple[Any, ...]
    ) -> None:
        """Complete the write of a record, unless the process has restarted."""
        if incarnation == self.incarnation:
            self.stored_record = record
            then(*arguments)

    def on_lease_gained(self, holder: LeaseCandidate) -> None:
        """Record the handover."""
        self.world.on_holder_changed(self)

    def on_lease_lost(self, holder: LeaseCandidate, why: str) -> None:
        """Do nothing: the lease is checked before each act."""

    def on_lease_released(self, holder: LeaseCandidate) -> None:
        """Notify all other nodes that the lease is vacant."""
        for node in self.world.nodes:
            if node is not self:
                self.send(node.name, LeaseVacant(LEASE_NAME, 1, 0).encode())

    def log(self, line: str) -> None:
        """Discard the log line."""

    # Datagrams and acts.

    def handle_datagram(
        self, sender: "Node", incarnation: int, recipient_incarnation: int, body: list[Any]
    ) -> None:
        """Handle a datagram, unless it was sent to an earlier incarnation of this node."""
        if recipient_incarnation != self.incarnation:
            return  # membership drops such datagrams too
        if decode_routing(body).is_for_candidate:
            self.candidate.on_datagram(sender.name, body)
        else:
            self.voter.on_datagram(sender.name, incarnation, body)

    def act(self) -> None:
        """Perform an act under the lease, if this node may act, and schedule the next one."""
        world = self.world
        world.call_later(ACTION_PERIOD_TICKS, self.act)
        if self.candidate.may_act():
            world.on_action(self, self.candidate.fencing_token)


class World:
    """A simulation of one scenario; `run` returns the violations."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.random = SeededRandom(scenario.seed)
        self.time = 0  # true time, in ticks
        self.event_serial = 0  # keeps the order of events that are due at the same time
        self.events: list[tuple[Any, ...]] = []
        self.violations: list[str] = []
        self.handovers: list[tuple[int, int]] = []  # time, number of the new holder
        self.fencing_guard = FencingGuard()
        self.action_count = 0
        self.refused_count = 0
        self.last_token = 0  # highest fencing token of an accepted act
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
        """Return a new node; subclasses return nodes of their own class."""
        return Node(self, number)

    def call_later(self, delay: int, method: Any, *arguments: Any) -> None:
        """Call a method after a delay in true time; methods of a stopped node wait."""
        self.event_serial += 1
        owner = getattr(method, "__self__", None)
        heappush(
            self.events, (self.time + max(delay, 1), self.event_serial, owner, method, arguments)
        )

    def run(self) -> list[str]:
        """Simulate until the end of the scenario or the first violation; return the violations."""
        while self.events and not self.violations:
            self.time, _, owner, method, arguments = heappop(self.events)
            if self.time > self.scenario.duration_ticks:
                break
            if isinstance(owner, Node) and owner.stopped_until > self.time:
                # The process is stopped: events that are due run when it continues.
                self.event_serial += 1
                heappush(
                    self.events, (owner.stopped_until, self.event_serial, owner, method, arguments)
                )
                continue
            method(*arguments)
            self._check_single_holder()
        return self.violations

    def _check_single_holder(self) -> None:
        """Check that at most one node holds the lease at the current true time."""
        active_nodes = [node for node in self.nodes if node.candidate.may_act()]
        if len(active_nodes) > 1:
            self.violations.append(
                f"{self.time}: {' and '.join(node.name for node in active_nodes)} hold the lease"
            )

    def on_action(self, node: Node, fencing_token: int) -> None:
        """Deliver an act, immediately or after a stop of the process during the act."""
        self.action_count += 1
        if self.random.happens(STOP_DURING_ACTION_FRACTION):
            node.stopped_until = self.time + self.random.below(3 * LEASE_TICKS)
            self.call_later(node.stopped_until - self.time + 1, self.check_action, fencing_token)
        else:
            self.check_action(fencing_token)

    def check_action(self, fencing_token: int) -> None:
        """Check the fencing token of an act on its arrival."""
        is_guarded = "fence" not in self.scenario.disabled
        admitted = not is_guarded or self.fencing_guard.admits(LEASE_NAME, fencing_token)
        if not admitted:
            self.refused_count += 1
        elif fencing_token < self.last_token:
            self.violations.append(
                f"{self.time}: accepted an act with token {fencing_token} after {self.last_token}"
            )
        if admitted:
            self.last_token = max(self.last_token, fencing_token)

    def on_holder_changed(self, node: Node) -> None:
        """Record a handover."""
        self.handovers.append((self.time, node.number))

    def send_datagram(self, sender: Node, recipient: Node, body: list[Any]) -> None:
        """Send a datagram, which may be lost, duplicated or delayed."""
        if sender is not recipient and (
            self.random.happens(self.scenario.loss) or sender.cut_until["out"] > self.time
        ):
            return
        copies = 1
        if sender is not recipient and self.random.happens(self.scenario.duplicates):
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
        if self.random.happens(LONG_DELAY_FRACTION):
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
        """Deliver a datagram, unless its recipient is cut off."""
        if sender is recipient or recipient.cut_until["in"] <= self.time:
            self.call_later(
                1, recipient.handle_datagram, sender, incarnation, recipient_incarnation, body
            )

    # Faults.

    def apply_fault(self, fault: Fault) -> None:
        """Start a fault."""
        node = self.nodes[fault.node_number % len(self.nodes)]
        until = self.time + fault.duration_ticks
        if fault.kind == "stop":
            node.stopped_until = max(node.stopped_until, until)
        elif fault.kind == "restart":
            self.restart_node(node)
        elif fault.kind == "all":
            for other in self.nodes:
                self.restart_node(other)
        elif fault.kind in ("cut", "deaf"):
            node.cut_until["in"] = until
        elif fault.kind == "wild":
            node.candidate.highest_ballot = 2**50 + self.random.below(1000)
        if fault.kind in ("cut", "mute"):
            node.cut_until["out"] = until
        if fault.kind == "yield":
            node.candidate.release("told")

    def restart_node(self, node: Node) -> None:
        """Restart a process immediately."""
        node.incarnation += 1
        node.stopped_until = 0
        node.start_process()


def minimize_scenario(scenario: Scenario) -> Scenario:
    """Return the scenario without the faults that its violation does not depend on."""
    faults = [*scenario.faults]
    for fault in scenario.faults:
        remaining_faults = [other for other in faults if other is not fault]
        if World(_replace_faults(scenario, remaining_faults)).run():
            faults = remaining_faults
    return _replace_faults(scenario, faults)


def _replace_faults(scenario: Scenario, faults: list[Fault]) -> Scenario:
    return replace(scenario, faults=tuple(faults))

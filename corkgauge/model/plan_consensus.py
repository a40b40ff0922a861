"""Simulates the consensus on the maintenance plan between processes with faults.

The replicas, proposers and leases are those of the program. Datagrams are lost, delayed and
reordered; processes stop, restart and lose their state. The simulation checks the agreed plans. The
seed alone determines what leaders propose; the state of a replica or proposer must never do so.
"""

from typing import Any

from corkgauge.leases.candidate import LeaseCandidate
from corkgauge.maintenance.plan import Plan
from corkgauge.maintenance.plan_messages import REPLICA_ANSWERS, MessageKind
from corkgauge.maintenance.plan_proposer import PlanProposer, ProposerState
from corkgauge.maintenance.plan_records import TAKEN_STATES, UnitState
from corkgauge.maintenance.plan_replica import PlanReplica
from corkgauge.model.leases import (
    LEASE_TICKS,
    MARGIN_TICKS,
    MAX_DRIFT_FRACTION,
    Node,
    Scenario,
    World,
    draw_scenario,
)

MAX_UNAVAILABLE_UNITS = 2
UNIT_COUNT = 5
PROPOSAL_PERIOD_TICKS = LEASE_TICKS // 10
NEXT_STEP = {
    UnitState.GRANTED: UnitState.DRAINING,
    UnitState.DRAINING: UnitState.OUT,
    UnitState.OUT: UnitState.RETURNING,
    UnitState.RETURNING: UnitState.BACK,
}


class SimulatedPlanHost:
    """Host of the replica and the proposer of one incarnation of a node.

    Datagrams and disk writes of an earlier incarnation have no effect.
    """

    def __init__(self, node: "PlanNode") -> None:
        self.node, self.incarnation = node, node.incarnation

    @property
    def now(self) -> int:
        """Ticks on the clock of the node."""
        return self.node.now

    def send(self, name: str, body: list[Any]) -> None:
        """Send a plan message to a node."""
        if self.incarnation == self.node.incarnation:
            self.node.send(name, ["plan", body])

    def call_later(self, delay: int, method: Any, *arguments: Any) -> None:
        """Set a timer on the clock of the node."""
        self.node.call_later(delay, method, *arguments)

    def write_record(self, record: Any, then: Any, *arguments: Any) -> None:
        """Write a record to the disk, if there is one, and call `then` afterwards."""
        node = self.node
        if not node.world.scenario.disk:
            return then(*arguments)
        # Records are written one after another, as by the disk thread of the program.
        node.last_write_at = max(
            node.last_write_at + 1, node.world.time + 20 + node.world.random.below(200)
        )
        node.world.call_later(
            node.last_write_at - node.world.time,
            node.on_plan_stored,
            node.incarnation,
            record,
            then,
            arguments,
        )

    def may_act(self, fence: int) -> bool:
        """Whether the node holds the lease under the fencing token `fence` now."""
        return (
            self.node.candidate.may_act() or "may" in self.node.world.scenario.disabled
        ) and self.node.candidate.fencing_token == fence

    def voters(self) -> tuple[str, ...]:
        """Return the names of the nodes that have a plan replica."""
        return self.node.world.voter_configuration.names

    def on_plan_taken_over(self) -> None:
        """Check the plan that was taken over."""
        self.node.world.check_agreed_plan(self.node)

    def on_changes_agreed(self, changes: Any) -> None:
        """Check the plan with the agreed changes."""
        self.node.world.check_agreed_plan(self.node)

    def on_plan_lost(self) -> None:
        """Declare the plan after a delay, as an operator does who knows which units are out."""
        self.node.call_later(LEASE_TICKS // 2, self.node.declare_plan)

    def on_preempted(self, fence: int) -> None:
        """Give up the lease to a candidate with a higher fencing token."""
        self.node.candidate.on_preempted(fence)

    def log(self, line: str) -> None:
        """Discard the log line."""


class PlanNode(Node):
    """A node with a replica of the plan and a proposer."""

    stored_plan: Any = None
    last_write_at = 0  # tick at which the last record is on the disk

    def start_process(self) -> None:
        """Start the process without any state except the records on its disk."""
        world, host = self.world, SimulatedPlanHost(self)
        disabled = world.scenario.disabled
        silence_ticks = (
            0
            if "silence" in disabled or world.time == 0
            else int(LEASE_TICKS * (1 + MAX_DRIFT_FRACTION)) + MARGIN_TICKS
        )
        self.replica = PlanReplica(
            host, self.stored_plan if world.scenario.disk else None, silence_ticks
        )
        self.proposer = PlanProposer(host)
        if "agreement" in disabled:
            self.proposer._majority = lambda: 1
        if "orders" in disabled:
            self.replica.checks_fence = False
        super().start_process()
        self.call_later(1 + world.random.below(PROPOSAL_PERIOD_TICKS), self.propose_step)

    def on_plan_stored(self, incarnation: int, record: Any, then: Any, arguments: tuple) -> None:
        """Complete the write of a plan record, unless the process has restarted."""
        if incarnation == self.incarnation:
            self.stored_plan = record
            then(*arguments)

    def on_lease_gained(self, holder: LeaseCandidate) -> None:
        """Start to take over the plan."""
        super().on_lease_gained(holder)
        self.proposer.on_lease_gained(holder.fencing_token)

    def on_lease_lost(self, holder: LeaseCandidate, why: str) -> None:
        """Stop the proposer."""
        self.proposer.on_lease_lost()

    def declare_plan(self) -> None:
        """Declare the last agreed plan, as an operator does after a loss of the plan."""
        self.proposer.replace_lost_plan(Plan.unpacked(self.world.agreed_plan))

    def handle_datagram(
        self, sender: Node, incarnation: int, recipient_incarnation: int, body: list[Any]
    ) -> None:
        """Handle a plan message, or pass a lease message to the base class."""
        if body[0] != "plan":
            return super().handle_datagram(sender, incarnation, recipient_incarnation, body)
        if recipient_incarnation != self.incarnation:
            return None
        body, proposer = body[1], self.proposer
        if body[0] == MessageKind.CHUNK and proposer.is_fetching_from(sender.name):
            proposer.on_chunk_datagram(sender.name, body)
        elif body[0] in REPLICA_ANSWERS or (
            body[0] == MessageKind.FETCH
            and proposer.state == ProposerState.LEADING
            and body[1] == proposer.fence
        ):
            proposer.on_datagram(sender.name, body)
        else:
            self.replica.on_datagram(sender.name, body)

    def propose_step(self) -> None:
        """Propose the next state of a random unit within the limit, if this node leads."""
        self.call_later(PROPOSAL_PERIOD_TICKS, self.propose_step)
        proposer, random = self.proposer, self.world.random
        if (
            proposer.state != ProposerState.LEADING
            or not proposer.is_taken_over
            or not proposer.host.may_act(proposer.fence)
        ):
            return
        plan, name = proposer.plan_with_pending(), f"u{random.below(UNIT_COUNT)}"
        unit = plan.units.get(name)
        if unit is None:
            proposer.propose(
                ["ask", [name, "engine", [name], "ada", "", 0, 1, 1, "", 0]],
                ["unit", name, name, "engine", [name]],
            )
        elif unit.state != UnitState.ASKED:
            proposer.propose(["state", name, NEXT_STEP[unit.state], ""])
        elif len(plan.units_in(*TAKEN_STATES)) < MAX_UNAVAILABLE_UNITS:
            proposer.propose(["state", name, UnitState.GRANTED, ""])


class PlanWorld(World):
    """A simulation of the consensus on the plan.

    `violations` reports diverging histories, and more unavailable units than the limit.
    `late_notice_count` counts leaders that received the acceptance of their last step after they
    had been replaced.
    """

    def __init__(self, scenario: Scenario) -> None:
        first = Plan()
        first.apply([["known", "first start"]])
        self.agreed_plan, self.stamp, self.history = first.packed(), (0, 0), list[list[Any]]()
        self.agreed_step_count = self.takeover_count = self.late_notice_count = 0
        super().__init__(scenario)

    def create_node(self, number: int) -> Node:
        """Return a new node."""
        return PlanNode(self, number)

    def _check_single_holder(self) -> None:
        """Check for two lease holders, unless the scenario allows them to test the plan alone."""
        if "busy" not in self.scenario.disabled:
            super()._check_single_holder()

    def check_agreed_plan(self, node: PlanNode) -> None:
        """Check that the plan of a leader continues the agreed history, within the limit."""
        proposer = node.proposer
        plan, stamp = proposer.plan, proposer.stamp
        self.agreed_step_count += 1
        self.takeover_count += stamp[1] == 1
        history = [*plan.history]
        if stamp < self.stamp and self._is_contained(history, self.history):
            # A replaced leader receives the last acceptance of its step late. The step is part of
            # the plan that its successor took over.
            self.late_notice_count += 1
            return
        if not self._is_contained(self.history, history):
            self.violations.append(
                f"{self.time}: {node.name} agreed on {stamp}, which lacks changes of {self.stamp}"
            )
        if len(plan.units_in(*TAKEN_STATES)) > MAX_UNAVAILABLE_UNITS:
            self.violations.append(
                f"{self.time}: {len(plan.units_in(*TAKEN_STATES))} units taken by {node.name}"
            )
        self.stamp, self.history, self.agreed_plan = stamp, history, plan.packed()

    @staticmethod
    def _is_contained(earlier: list[list[Any]], later: list[list[Any]]) -> bool:
        """Whether the later history has all entries of the earlier one that are not yet pruned."""
        known = {entry[0]: entry for entry in later}
        first = later[0][0] if later else 1
        return all(known.get(entry[0]) == entry for entry in earlier if entry[0] >= first)


def draw_plan_scenario(seed: int, disabled: tuple[str, ...] = (), node_count: int = 0) -> Scenario:
    """Return a random scenario of 3 or 5 processes; every third one has disks."""
    return draw_scenario(
        seed, node_count or (3, 5)[seed % 2], disabled=disabled, disk=seed % 3 == 0
    )

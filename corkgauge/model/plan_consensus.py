"""The maintenance plan between simulated processes: the real replicas and proposers on the real leases.

Datagrams are lost, late and out of order; processes stop, restart and forget. Judged by what is
agreed. Decides by the seed alone what leaders propose, never by a look into a machine.
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

MAX_UNAVAILABLE_UNITS = 2  # units that may be taken at once
UNIT_COUNT = 5
STEP_TICKS = LEASE_TICKS // 10
NEXT_STEP = {
    UnitState.GRANTED: UnitState.DRAINING,
    UnitState.DRAINING: UnitState.OUT,
    UnitState.OUT: UnitState.RETURNING,
    UnitState.RETURNING: UnitState.BACK,
}


class SimulatedPlanHost:
    """What a node's replica and proposer may do. Nothing counts that an earlier incarnation began."""

    def __init__(self, node: "PlanNode") -> None:
        self.node, self.incarnation = node, node.incarnation

    @property
    def now(self) -> int:
        return self.node.now

    def send(self, name: str, body: list[Any]) -> None:
        if self.incarnation == self.node.incarnation:
            self.node.send(name, ["plan", body])

    def call_later(self, delay: int, method: Any, *what: Any) -> None:
        self.node.call_later(delay, method, *what)

    def write_record(self, record: Any, then: Any, *what: Any) -> None:
        node = self.node
        if not node.world.scenario.disk:
            return then(*what)
        # One helper writes one record after the other, as the real one does.
        node.last_write_at = max(
            node.last_write_at + 1, node.world.time + 20 + node.world.random.below(200)
        )
        node.world.call_later(
            node.last_write_at - node.world.time,
            node.on_plan_stored,
            node.incarnation,
            record,
            then,
            what,
        )

    def may_act(self, fence: int) -> bool:
        return (
            self.node.candidate.may_act() or "may" in self.node.world.scenario.disabled
        ) and self.node.candidate.fencing_token == fence

    def voters(self) -> tuple[str, ...]:
        return self.node.world.voter_configuration.names

    def on_plan_taken_over(self) -> None:
        self.node.world.on_changes_agreed_by(self.node)

    def on_changes_agreed(self, changes: Any) -> None:
        self.node.world.on_changes_agreed_by(self.node)

    def on_plan_lost(self) -> None:
        """An operator comes, some time later, and tells what is out: he was there."""
        self.node.call_later(LEASE_TICKS // 2, self.node.declare_plan)

    def on_preempted(self, fence: int) -> None:
        self.node.candidate.on_preempted(fence)

    def log(self, line: str) -> None:
        pass


class PlanNode(Node):
    stored_plan: Any = None
    last_write_at = 0  # when the last record is on the disk

    def start_process(self) -> None:
        world, host = self.world, SimulatedPlanHost(self)
        disabled = world.scenario.disabled
        silent = (
            0
            if "silence" in disabled or world.time == 0
            else int(LEASE_TICKS * (1 + MAX_DRIFT_FRACTION)) + MARGIN_TICKS
        )
        self.replica = PlanReplica(host, self.stored_plan if world.scenario.disk else None, silent)
        self.proposer = PlanProposer(host)
        if "agreement" in disabled:
            self.proposer._majority = lambda: 1
        if "orders" in disabled:
            self.replica.checks_fence = False
        super().start_process()
        self.call_later(1 + world.random.below(STEP_TICKS), self.propose_step)

    def on_plan_stored(self, incarnation: int, record: Any, then: Any, what: tuple) -> None:
        if incarnation == self.incarnation:
            self.stored_plan = record
            then(*what)

    def on_lease_gained(self, holder: LeaseCandidate) -> None:
        super().on_lease_gained(holder)
        self.proposer.on_lease_gained(holder.fencing_token)

    def on_lease_lost(self, holder: LeaseCandidate, why: str) -> None:
        self.proposer.on_lease_lost()

    def declare_plan(self) -> None:
        self.proposer.replace_lost_plan(Plan.unpacked(self.world.agreed_plan))

    def handle_datagram(
        self, sender: Node, incarnation: int, recipient_incarnation: int, body: list[Any]
    ) -> None:
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
        """Whoever leads moves some unit on, as far as the limit lets it."""
        self.call_later(STEP_TICKS, self.propose_step)
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
    """`found` has what the checker objects to: two histories, or more taken at once than the limit; `late` counts
    leaders that heard of their own step after they had been replaced.
    """

    def __init__(self, scenario: Scenario) -> None:
        first = Plan()
        first.apply([["known", "first start"]])
        self.agreed_plan, self.stamp, self.history = first.packed(), (0, 0), list[list[Any]]()
        self.agreed_step_count = self.takeover_count = self.late_notice_count = 0
        super().__init__(scenario)

    def create_node(self, number: int) -> Node:
        return PlanNode(self, number)

    def _check_single_holder(self) -> None:
        """Where leases are spoilt on purpose, two hold at once: it is the plan that is looked at."""
        if "busy" not in self.scenario.disabled:
            super()._check_single_holder()

    def on_changes_agreed_by(self, node: PlanNode) -> None:
        proposer = node.proposer
        plan, stamp = proposer.plan, proposer.stamp
        self.agreed_step_count += 1
        self.takeover_count += stamp[1] == 1
        history = [*plan.history]
        if stamp < self.stamp and self._is_contained(history, self.history):
            # One that was replaced hears late that its step went through; its successor began from
            # that.
            self.late_notice_count += 1
            return
        if not self._is_contained(self.history, history):
            self.violations.append(
                f"{self.time}: {node.name} agreed {stamp} without what was agreed at {self.stamp}"
            )
        if len(plan.units_in(*TAKEN_STATES)) > MAX_UNAVAILABLE_UNITS:
            self.violations.append(
                f"{self.time}: {len(plan.units_in(*TAKEN_STATES))} taken at once by {node.name}"
            )
        self.stamp, self.history, self.agreed_plan = stamp, history, plan.packed()

    @staticmethod
    def _is_contained(earlier: list[list[Any]], later: list[list[Any]]) -> bool:
        """Does the later history hold all of the earlier one, as far as both are kept?"""
        known = {entry[0]: entry for entry in later}
        first = later[0][0] if later else 1
        return all(known.get(entry[0]) == entry for entry in earlier if entry[0] >= first)


def draw_plan_scenario(seed: int, disabled: tuple[str, ...] = (), node_count: int = 0) -> Scenario:
    """A day by chance: 3 or 5 processes, with disks one time in three."""
    return draw_scenario(
        seed, node_count or (3, 5)[seed % 2], disabled=disabled, disk=seed % 3 == 0
    )

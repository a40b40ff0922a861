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
from corkgauge.model.leases import DRIFT, LEASE, MARGIN, Day, Node, World, drawn

MAX_TAKEN = 2  # units that may be taken at once
UNITS = 5
TURN_TICKS = LEASE // 10
NEXT_STEP = {
    UnitState.GRANTED: UnitState.DRAINING,
    UnitState.DRAINING: UnitState.OUT,
    UnitState.OUT: UnitState.RETURNING,
    UnitState.RETURNING: UnitState.BACK,
}


class Carrier:
    """What a node's replica and proposer may do. Nothing counts that an earlier incarnation began."""

    def __init__(self, node: "PlanNode") -> None:
        self.node, self.start = node, node.start

    @property
    def now(self) -> int:
        return self.node.now

    def send(self, name: str, body: list[Any]) -> None:
        if self.start == self.node.start:
            self.node.send(name, ["plan", body])

    def call_later(self, delay: int, method: Any, *what: Any) -> None:
        self.node.call_later(delay, method, *what)

    def write_record(self, record: Any, then: Any, *what: Any) -> None:
        node = self.node
        if not node.world.day.disk:
            return then(*what)
        # One helper writes one record after the other, as the real one does.
        node.written = max(node.written + 1, node.world.time + 20 + node.world.chance.below(200))
        node.world.call_later(
            node.written - node.world.time, node.safe_plan, node.start, record, then, what
        )

    def may_act(self, fence: int) -> bool:
        return (
            self.node.holder.may_act() or "may" in self.node.world.day.off
        ) and self.node.holder.fencing_token == fence

    def voters(self) -> tuple[str, ...]:
        return self.node.world.roll.names

    def on_plan_taken_over(self) -> None:
        self.node.world.agreed(self.node)

    def on_changes_agreed(self, changes: Any) -> None:
        self.node.world.agreed(self.node)

    def on_plan_lost(self) -> None:
        """An operator comes, some time later, and tells what is out: he was there."""
        self.node.call_later(LEASE // 2, self.node.declare_plan)

    def on_preempted(self, fence: int) -> None:
        self.node.holder.on_preempted(fence)

    def log(self, line: str) -> None:
        pass


class PlanNode(Node):
    kept_plan: Any = None
    written = 0  # when the last record is on the disk

    def begin(self) -> None:
        world, carrier = self.world, Carrier(self)
        off = world.day.off
        silent = 0 if "silence" in off or world.time == 0 else int(LEASE * (1 + DRIFT)) + MARGIN
        self.replica = PlanReplica(carrier, self.kept_plan if world.day.disk else None, silent)
        self.proposer = PlanProposer(carrier)
        if "agreement" in off:
            self.proposer._majority = lambda: 1
        if "orders" in off:
            self.replica.checks_fence = False
        super().begin()
        self.call_later(1 + world.chance.below(TURN_TICKS), self.turn)

    def safe_plan(self, start: int, record: Any, then: Any, what: tuple) -> None:
        if start == self.start:
            self.kept_plan = record
            then(*what)

    def on_lease_gained(self, holder: LeaseCandidate) -> None:
        super().on_lease_gained(holder)
        self.proposer.on_lease_gained(holder.fencing_token)

    def on_lease_lost(self, holder: LeaseCandidate, why: str) -> None:
        self.proposer.on_lease_lost()

    def declare_plan(self) -> None:
        self.proposer.replace_lost_plan(Plan.unpacked(self.world.truth))

    def heard(self, sender: Node, start: int, known_as: int, body: list[Any]) -> None:
        if body[0] != "plan":
            return super().heard(sender, start, known_as, body)
        if known_as != self.start:
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

    def turn(self) -> None:
        """Whoever leads moves some unit on, as far as the limit lets it."""
        self.call_later(TURN_TICKS, self.turn)
        proposer, chance = self.proposer, self.world.chance
        if (
            proposer.state != ProposerState.LEADING
            or not proposer.is_taken_over
            or not proposer.host.may_act(proposer.fence)
        ):
            return
        plan, name = proposer.plan_with_pending(), f"u{chance.below(UNITS)}"
        unit = plan.units.get(name)
        if unit is None:
            proposer.propose(
                ["ask", [name, "engine", [name], "ada", "", 0, 1, 1, "", 0]],
                ["unit", name, name, "engine", [name]],
            )
        elif unit.state != UnitState.ASKED:
            proposer.propose(["state", name, NEXT_STEP[unit.state], ""])
        elif len(plan.units_in(*TAKEN_STATES)) < MAX_TAKEN:
            proposer.propose(["state", name, UnitState.GRANTED, ""])


class PlanWorld(World):
    """`found` has what the checker objects to: two histories, or more taken at once than the limit; `late` counts
    leaders that heard of their own step after they had been replaced.
    """

    def __init__(self, day: Day) -> None:
        first = Plan()
        first.apply([["known", "first start"]])
        self.truth, self.stamp, self.history = first.packed(), (0, 0), list[list[Any]]()
        self.steps = self.taken_over = self.late = 0
        super().__init__(day)

    def node(self, number: int) -> Node:
        return PlanNode(self, number)

    def _judge(self) -> None:
        """Where leases are spoilt on purpose, two hold at once: it is the plan that is looked at."""
        if "busy" not in self.day.off:
            super()._judge()

    def agreed(self, node: PlanNode) -> None:
        proposer = node.proposer
        plan, stamp = proposer.plan, proposer.stamp
        self.steps += 1
        self.taken_over += stamp[1] == 1
        history = [*plan.history]
        if stamp < self.stamp and self._within(history, self.history):
            # One that was replaced hears late that its step went through; its successor began from
            # that.
            self.late += 1
            return
        if not self._within(self.history, history):
            self.found.append(
                f"{self.time}: {node.name} agreed {stamp} without what was agreed at {self.stamp}"
            )
        if len(plan.units_in(*TAKEN_STATES)) > MAX_TAKEN:
            self.found.append(
                f"{self.time}: {len(plan.units_in(*TAKEN_STATES))} taken at once by {node.name}"
            )
        self.stamp, self.history, self.truth = stamp, history, plan.packed()

    @staticmethod
    def _within(earlier: list[list[Any]], later: list[list[Any]]) -> bool:
        """Does the later history hold all of the earlier one, as far as both are kept?"""
        known = {entry[0]: entry for entry in later}
        first = later[0][0] if later else 1
        return all(known.get(entry[0]) == entry for entry in earlier if entry[0] >= first)


def plan_day(seed: int, off: tuple[str, ...] = (), nodes: int = 0) -> Day:
    """A day by chance: 3 or 5 processes, with disks one time in three."""
    return drawn(seed, nodes or (3, 5)[seed % 2], off=off, disk=seed % 3 == 0)

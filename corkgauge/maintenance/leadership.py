"""The state of a maintenance leader while it holds the lease, and the maintenance clock.

All parts of the planner share one `Leadership`. Its state is reset when the lease is gained, since
reports to an earlier leader do not count for its successor.
"""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

from corkgauge.maintenance.capacity import EngineFact, GatewayStatus, RequestClassDemand
from corkgauge.maintenance.demand import Demand
from corkgauge.maintenance.messages import Report
from corkgauge.maintenance.plan_proposer import PlanProposer, ProposerState
from corkgauge.maintenance.quiescence import GatewayReport, Stamp


class Host(Protocol):
    """Interface of the planner to its service; `name` is the name of this gateway."""

    @property
    def now(self) -> int:
        """Return the ticks (tenths of a millisecond) since boot."""

    name: str

    def may_act(self, fence: int) -> bool:
        """Whether this gateway holds the lease under the fencing token `fence` now."""

    def voters(self) -> Sequence[str]:
        """Return the names of the gateways that have a plan replica."""

    def machines(self) -> Mapping[str, Sequence[str]]:
        """Return the engines on each machine, by machine."""

    def send_orders(self, name: str, body: list[Any]) -> None:
        """Send one part of a set of orders to a gateway."""

    def request_report(self, name: str) -> None:
        """Request an immediate report from a gateway."""

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """Call the method after `delay` ticks."""

    def hand_over_lease(self, reason: str) -> None:
        """Release the lease so that another gateway can gain it."""

    def log(self, line: str) -> None:
        """Write one line to the program's log."""


class Fleet(Protocol):
    """Interface of the planner to the state of the fleet; `FleetView` implements it."""

    def gateways(self) -> Mapping[str, GatewayStatus]:
        """Return all gateways of the fleet, by name."""

    def engines(self) -> Mapping[str, EngineFact]:
        """Return all engines, by host reference."""

    def request_classes(self, cores: Mapping[str, float]) -> Sequence[RequestClassDemand]:
        """Return the request classes with the cores that each class needs."""

    def idle_since(self, tags: Sequence[str]) -> int:
        """Return the earliest of the times at which these engines last reported to be idle.

        In ticks since boot; -1 if one of them never reported to be idle.
        """


class Leadership:
    """Reports, demand, wait reasons and stamps of one term as leader."""

    def __init__(self, host: Host, fleet: Fleet, proposer: PlanProposer) -> None:
        self.host = host
        self.fleet = fleet
        self.proposer = proposer
        self.counts = Counter[str]()  # counters for operators; never reset
        self.is_plan_lost = False  # no majority of replicas has the plan any more
        self.demand = Demand()
        self.reports: dict[str, GatewayReport] = {}
        self.wait_reasons: dict[str, str] = {}  # why the unit cannot proceed, by unit name
        # Stamps of the agreed state changes, by unit name and state; only changes seen by this
        # leader.
        self.stamps: dict[str, dict[int, Stamp]] = {}
        self.since_ticks = 0
        self.clock_base_ticks = 0  # host clock at the maintenance time `time_base_ticks`
        self.time_base_ticks = 0

    def begin(self) -> None:
        """Reset the state, since the lease has just been gained."""
        self.is_plan_lost = False
        self.demand = Demand()
        self.reports = {}
        self.wait_reasons = {}
        self.stamps = {}
        self.since_ticks = self.host.now
        self.clock_base_ticks = self.since_ticks
        self.time_base_ticks = 0

    def on_plan_taken_over(self) -> None:
        """Continue with the plan taken over: a majority has accepted the first step.

        Maintenance time continues from the time in the plan.
        """
        plan = self.proposer.plan
        self.clock_base_ticks = self.host.now
        self.time_base_ticks = plan.time_ticks
        self.is_plan_lost = False
        # All gateways have to confirm again, since their reports to the earlier leader are unknown.
        for unit in plan.units.values():
            self.stamps[unit.name] = {unit.state: self.proposer.stamp}

    def forget_unit(self, name: str) -> None:
        """Delete the state of a unit that has returned to service."""
        self.stamps.pop(name, None)
        self.wait_reasons.pop(name, None)

    def maintenance_time(self) -> int:
        """Return the ticks (tenths of a millisecond) during which a leader has held the lease.

        The result is never less than the time in the agreed plan.
        """
        elapsed_ticks = self.host.now - self.clock_base_ticks
        return max(self.time_base_ticks + elapsed_ticks, self.proposer.plan.time_ticks)

    def has_plan(self) -> bool:
        """Whether this leader has taken over the plan."""
        return self.proposer.state == ProposerState.LEADING and self.proposer.is_taken_over

    def may_act(self) -> bool:
        """Whether this gateway holds the lease now."""
        return self.host.may_act(self.proposer.fence)

    def record_report(self, name: str, incarnation: int, report: Report) -> GatewayReport | None:
        """Record a gateway's report; None if the report is older than the last one."""
        known = self.reports.get(name)
        if known is None or known.incarnation != incarnation:
            # The confirmations of an earlier process of the gateway do not count for a new process.
            known = GatewayReport(incarnation)
            self.reports[name] = known
        if report.serial <= known.serial:
            return None
        stamp = report.fence, report.number
        closed = frozenset(report.closed)
        if known.stamp == stamp:
            # A closed engine stays closed under the same orders, and one report may name only some
            # of the closed engines.
            closed |= known.closed
        known.serial = report.serial
        known.at_ticks = self.host.now
        known.is_blank = report.is_blank
        known.closed = closed
        known.closed_count = report.closed_count
        known.stamp = stamp
        known.holds_no_lease = report.holds_no_lease
        known.ejected = frozenset(report.ejected)
        known.loads = dict(report.loads)
        self.demand.record(name, self.host.now, report.loads)
        return known

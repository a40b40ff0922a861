"""What the leader of maintenance knows while it holds the lease, and the clock that it counts by.

All parts of the planner share one `Leadership`. Begun anew with each lease: what an earlier leader
was told does not count for its successor.
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
    """What a planner may do. `now` is tenths of a millisecond since boot."""

    @property
    def now(self) -> int:
        """Return the tenths of a millisecond since boot."""

    name: str

    def may_act(self, fence: int) -> bool:
        """Whether the lease is held under this fence, now."""

    def voters(self) -> Sequence[str]:
        """Name the gateways that have a plan replica."""

    def machines(self) -> Mapping[str, Sequence[str]]:
        """Return engines by the machine that they share."""

    def send_orders(self, name: str, body: list[Any]) -> None:
        """Send one part of the orders to a gateway."""

    def request_report(self, name: str) -> None:
        """Ask a gateway to report at once."""

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """Call the method after `delay` ticks."""

    def hand_over_lease(self, reason: str) -> None:
        """Give the lease up, so that another gateway takes it."""

    def log(self, line: str) -> None:
        """Write one line to the program's log."""


class Fleet(Protocol):
    """What a planner knows of the fleet, as `FleetView` has it."""

    def gateways(self) -> Mapping[str, GatewayStatus]:
        """Return every gateway of the fleet by name."""

    def engines(self) -> Mapping[str, EngineFact]:
        """Return every engine by its host reference."""

    def request_classes(self, cores: Mapping[str, float]) -> Sequence[RequestClassDemand]:
        """Return the request classes, with the cores that each needs."""

    def idle_since(self, tags: Sequence[str]) -> int:
        """Return since when all these engines are idle, ticks since boot; -1: some never were."""


class Leadership:
    """Reports, demand, wait_reasons and stamps of one span of leading."""

    def __init__(self, host: Host, fleet: Fleet, proposer: PlanProposer) -> None:
        self.host = host
        self.fleet = fleet
        self.proposer = proposer
        self.counts = Counter[str]()  # for operators; not begun anew
        self.is_plan_lost = False  # no majority of replicas remembers the plan
        self.demand = Demand()
        self.reports: dict[str, GatewayReport] = {}
        self.wait_reasons: dict[str, str] = {}  # by unit: why it does not go on
        self.stamps: dict[str, dict[int, Stamp]] = {}  # by unit and state: when it was agreed, here
        self.since_ticks = 0
        self.clock_base_ticks = 0  # the host's clock, at maintenance time `time_base_ticks`
        self.time_base_ticks = 0

    def begin(self) -> None:
        """Forget what was known: the lease has just been gained."""
        self.is_plan_lost = False
        self.demand = Demand()
        self.reports = {}
        self.wait_reasons = {}
        self.stamps = {}
        self.since_ticks = self.host.now
        self.clock_base_ticks = self.since_ticks
        self.time_base_ticks = 0

    def on_plan_taken_over(self) -> None:
        """Go on from the plan taken over: a majority has our first step.

        Maintenance time continues from that of the plan.
        """
        plan = self.proposer.plan
        self.clock_base_ticks = self.host.now
        self.time_base_ticks = plan.time_ticks
        self.is_plan_lost = False
        # All gateways confirm anew: what they told the earlier leader is not known here.
        for unit in plan.units.values():
            self.stamps[unit.name] = {unit.state: self.proposer.stamp}

    def forget_unit(self, name: str) -> None:
        """Forget a unit that is back."""
        self.stamps.pop(name, None)
        self.wait_reasons.pop(name, None)

    def maintenance_time(self) -> int:
        """Return the tenths of a millisecond in which somebody has led.

        Never less than the agreed plan has.
        """
        elapsed_ticks = self.host.now - self.clock_base_ticks
        return max(self.time_base_ticks + elapsed_ticks, self.proposer.plan.time_ticks)

    def has_plan(self) -> bool:
        """Whether the plan is taken over."""
        return self.proposer.state == ProposerState.LEADING and self.proposer.is_taken_over

    def may_act(self) -> bool:
        """Whether the lease is held at this very moment."""
        return self.host.may_act(self.proposer.fence)

    def record_report(self, name: str, incarnation: int, report: Report) -> GatewayReport | None:
        """Take a gateway's report; None for one that is older than what is known."""
        known = self.reports.get(name)
        if known is None or known.incarnation != incarnation:
            # A later process answers for itself: what the earlier one confirmed does not count.
            known = GatewayReport(incarnation)
            self.reports[name] = known
        if report.serial <= known.serial:
            return None
        stamp = report.fence, report.number
        closed = frozenset(report.closed)
        if known.stamp == stamp:
            # Under the same orders what is closed stays so; one report may name only some of it.
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

"""The planner: decides the leader's next steps from the agreed plan and the gateways' reports.

Free of I/O: the host provides the clock and datagrams, the fleet view provides the state of the
fleet. The planner acts only on agreed changes, and checks the lease immediately before each order
that it sends.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any

from corkgauge.maintenance.capacity import DisruptionLimits
from corkgauge.maintenance.grants import GrantPlanner
from corkgauge.maintenance.leadership import Fleet, Host, Leadership
from corkgauge.maintenance.messages import Report
from corkgauge.maintenance.operator_requests import OperatorRequests
from corkgauge.maintenance.orders import encode_orders
from corkgauge.maintenance.plan_proposer import PlanProposer, ProposerState
from corkgauge.maintenance.plan_rebuild import PlanRebuilder
from corkgauge.maintenance.plan_records import STATE_WORDS, TAKEN_STATES, UnitState
from corkgauge.maintenance.unit_progress import UnitProgress

MIN_TIME_STEP_TICKS = 50_000  # between two changes that only advance the maintenance time
STATES_WAITING_FOR_REPORTS = UnitState.GRANTED, UnitState.DRAINING, UnitState.RETURNING


class Planner:
    """Leads maintenance while the lease is held.

    `round_ticks` is the time between two planning rounds. `grant_ticks` is the duration of a grant
    and `longest_deadline_ticks` the longest time to deadline of any request class, both extended by
    the clock drift. `warm_up_ticks` limits how long a returning unit waits for impaired engines.
    """

    def __init__(
        self,
        host: Host,
        fleet: Fleet,
        proposer: PlanProposer,
        limits: DisruptionLimits,
        round_ticks: int,
        grant_ticks: int,
        longest_deadline_ticks: int,
        warm_up_ticks: int,
    ) -> None:
        self.host = host
        self.fleet = fleet
        self.proposer = proposer
        self.round_ticks = round_ticks
        self.leadership = Leadership(host, fleet, proposer)
        self.grants = GrantPlanner(self.leadership, limits)
        self.progress = UnitProgress(
            self.leadership, grant_ticks, longest_deadline_ticks, warm_up_ticks
        )
        self.rebuilder = PlanRebuilder(self.leadership)
        self.requests = OperatorRequests(self.leadership, self.grants, self.rebuilder.declare_out)
        self.round_serial = 0  # serial of the next round; earlier timers are ignored
        self.is_decision_due = False  # a decision is scheduled for the next tick

    # Status and settings for the service.

    @property
    def wait_reasons(self) -> Mapping[str, str]:
        """Return why each waiting unit cannot proceed, by unit name."""
        return self.leadership.wait_reasons

    @property
    def is_plan_lost(self) -> bool:
        """Whether no majority of replicas has the plan any more."""
        return self.leadership.is_plan_lost

    @property
    def counts(self) -> Counter[str]:
        """Return the counters for operators."""
        return self.leadership.counts

    def set_limits(self, limits: DisruptionLimits, round_ticks: int) -> None:
        """Apply new limits and a new time between two rounds."""
        self.grants.limits = limits
        self.round_ticks = round_ticks

    # The lease and the plan.

    def on_lease_gained(self, fence: int) -> None:
        """Start to take over the plan under the fencing token `fence`."""
        self.leadership.begin()
        self.proposer.on_lease_gained(fence)
        # Starts the periodic rounds. A round has an effect only once the plan is taken over, or
        # found to be lost: it then requests the reports that a new plan is built from, which costs
        # one datagram per gateway.
        self._schedule_round()

    def on_lease_lost(self) -> None:
        """Stop all planning rounds."""
        self.round_serial += 1
        self.proposer.on_lease_lost()

    def on_plan_taken_over(self) -> None:
        """Send orders for the plan taken over: a majority has accepted the first step."""
        self.leadership.on_plan_taken_over()
        plan = self.proposer.plan
        taken_count = len(plan.units_in(*TAKEN_STATES))
        self.host.log(
            f"works: plan taken over, {len(plan.units)} units, {taken_count} of them taken"
        )
        self.send_all_orders()

    def on_changes_agreed(self, changes: Sequence[Sequence[Any]]) -> None:
        """Record agreed state changes and send the resulting orders to all gateways."""
        for word, *arguments in changes:
            if word == "state":
                self._on_step_agreed(*arguments)
        self.send_all_orders()
        if any(change[0] != "time" for change in changes):
            self._schedule_round()

    def _on_step_agreed(self, name: str, state: int, why: str) -> None:
        self.leadership.stamps.setdefault(name, {})[state] = self.proposer.stamp
        self.leadership.counts["steps"] += 1
        reason = f": {why}" if why else ""
        self.host.log(f"works: {name} {STATE_WORDS[state]}{reason}")
        if state == UnitState.BACK:
            self.leadership.forget_unit(name)

    def on_plan_lost(self) -> None:
        """Handle the loss of the plan: too many replicas lost it for a majority to return it."""
        self.leadership.is_plan_lost = True
        self.host.log(
            "works: the plan is forgotten by most voters, nothing is granted until all gateways "
            "have reported, or an operator has declared, what is out"
        )

    # Reports and orders.

    def on_report(self, name: str, incarnation: int, report: Report) -> None:
        """Record a gateway's report and act on it.

        Sends the orders again to a gateway that is behind. While the plan is lost, tries to rebuild
        the plan from the reports. Otherwise schedules a decision if a unit may have waited for the
        report.
        """
        known = self.leadership.record_report(name, incarnation, report)
        if known is None:
            return
        proposer = self.proposer
        if self.leadership.has_plan() and known.stamp != proposer.stamp:
            self._send_orders(name)  # the gateway missed orders or has just started
        elif self.leadership.is_plan_lost:
            self.rebuilder.rebuild_from_reports()
        elif (
            proposer.state == ProposerState.LEADING
            and proposer.plan.units_in(*STATES_WAITING_FOR_REPORTS)
            and not self.is_decision_due
        ):
            self.is_decision_due = True
            self.host.call_later(1, self._decide_on_report)

    def send_all_orders(self) -> None:
        """Send the agreed orders to each gateway, which also renews the gateways' grants."""
        if self.leadership.has_plan():
            for name in self.fleet.gateways():
                self._send_orders(name)

    def _send_orders(self, name: str) -> None:
        report = self.leadership.reports.get(name)
        echo = 0 if report is None else report.serial
        states = self.proposer.plan.ordered_states()
        for body in encode_orders(states, self.proposer.stamp, echo):
            # The lease is checked before each datagram: the process may have been suspended since
            # the previous datagram, and the lease may have expired meanwhile.
            if not self.leadership.may_act():
                return
            self.host.send_orders(name, body)

    def request_all_reports(self) -> None:
        """Request a report from each gateway."""
        for name in self.fleet.gateways():
            if self.leadership.may_act():
                self.host.request_report(name)

    # Planning rounds.

    def _schedule_round(self) -> None:
        """Schedule a round for the next tick; this replaces the round scheduled before."""
        self.round_serial += 1
        self.host.call_later(1, self._run_round, self.round_serial)

    def _run_round(self, serial: int) -> None:
        if serial != self.round_serial:
            return
        self.round_serial += 1
        self.host.call_later(self.round_ticks, self._run_round, self.round_serial)
        if self.leadership.has_plan() and self.leadership.may_act():
            self.send_all_orders()
            self.decide()
        elif self.leadership.is_plan_lost:
            self.request_all_reports()

    def _decide_on_report(self) -> None:
        self.is_decision_due = False
        if self.leadership.has_plan() and self.leadership.may_act():
            self.decide()

    def decide(self) -> None:
        """Propose the next step of each unit that can proceed, or grant waiting units."""
        proposer = self.proposer
        if proposer.has_pending_changes():
            return  # pending changes may alter the next decision, so they are agreed first
        plan = proposer.plan
        changes: list[list[Any]] = []
        for unit in plan.units.values():
            step = self.progress.next_step(unit, plan)
            if step is not None:
                changes.append(["state", unit.name, step.state, step.why])
        if not changes and not plan.held_by:
            granted = self.grants.find_grantable_units(plan)
            changes = [["state", name, UnitState.GRANTED, ""] for name in granted]
        now_ticks = self.leadership.maintenance_time()
        if changes or now_ticks >= plan.time_ticks + MIN_TIME_STEP_TICKS:
            proposer.propose(["time", now_ticks], *changes)

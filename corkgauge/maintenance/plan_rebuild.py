"""Builds a new plan after a majority of replicas has lost the plan.

Units that were out of service stay out in the new plan until an operator commands `done` for them.
Which units are out is known from the reports of all gateways, or declared by an operator.
"""

from collections.abc import Iterable

from corkgauge.maintenance.capacity import NEVER_TICKS
from corkgauge.maintenance.leadership import Leadership
from corkgauge.maintenance.plan import Plan
from corkgauge.maintenance.plan_records import MaintenanceRequest, UnitKind, UnitState

RECOVERED_REQUEST = "recovered"  # id of the request that contains the units found out of service
MAX_NAMES_STORED = 40  # names listed in that request


class PlanRebuilder:
    """Builds a new plan at the leader."""

    def __init__(self, leadership: Leadership) -> None:
        self.leadership = leadership
        self.fleet = leadership.fleet

    def rebuild_from_reports(self) -> None:
        """Build a plan once every gateway has reported completely and none is blank.

        An engine is out in the new plan if any gateway has closed the engine.
        """
        names = self.fleet.gateways()
        # A gateway that is blank or has not reported may be the only one that has confirmed an
        # engine as closed.
        if not all(self._has_reported_all(name) for name in names):
            return
        reports = self.leadership.reports
        self.declare_out(
            {tag for name in names for tag in reports[name].closed}, "told by all gateways"
        )

    def _has_reported_all(self, name: str) -> bool:
        report = self.leadership.reports.get(name)
        if report is None or report.is_blank:
            return False
        return len(report.closed) >= report.closed_count

    def declare_out(self, out: Iterable[str], by: str) -> None:
        """Start a plan in which these engines and gateways are out; `by` names who declared it."""
        now_ticks = self.leadership.maintenance_time()
        tags = sorted({*out})
        plan = Plan()
        plan.apply([["time", now_ticks], ["known", by]])
        if tags:
            request = MaintenanceRequest(
                id=RECOVERED_REQUEST,
                kind="engine",
                names=tags[:MAX_NAMES_STORED],
                owner=by,
                reason="forgotten",
                due_ticks=NEVER_TICKS,
                duration_ticks=NEVER_TICKS,
                count=len(tags),
                cancelled="",
                at_ticks=now_ticks,
            )
            plan.apply([["ask", request.to_wire()]])
        gateways = self.fleet.gateways()
        for tag in tags:
            kind = UnitKind.GATEWAY if tag in gateways else UnitKind.ENGINE
            plan.apply([["unit", tag, RECOVERED_REQUEST, kind.value, [tag]]])
            for state in (UnitState.GRANTED, UnitState.DRAINING, UnitState.OUT):
                plan.apply([["state", tag, state, "recovered"]])
        self.leadership.proposer.replace_lost_plan(plan)

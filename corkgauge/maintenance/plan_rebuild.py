"""A new plan after the loss of everything: what was out stays out, until an operator says `done`.

The word for it comes from all gateways together, or from an operator.
"""

from collections.abc import Iterable

from corkgauge.maintenance.capacity import NEVER_TICKS
from corkgauge.maintenance.leadership import Leadership
from corkgauge.maintenance.plan import Plan
from corkgauge.maintenance.plan_records import MaintenanceRequest, UnitKind, UnitState

RECOVERED_REQUEST = "recovered"  # the id of the request that units found out belong to
MAX_NAMES_STORED = 40  # of that request


class PlanRebuilder:
    """Begins a plan anew at the leader."""

    def __init__(self, leadership: Leadership) -> None:
        self.leadership = leadership
        self.fleet = leadership.fleet

    def rebuild_from_reports(self) -> None:
        """Begin a plan once every gateway has reported and remembers.

        Out is then what any of them holds closed.
        """
        names = self.fleet.gateways()
        # A gateway that has forgotten, or was not heard, may be the only one that confirmed that an
        # engine is out.
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
        """Begin a plan in which these engines and gateways are out, by somebody's word."""
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

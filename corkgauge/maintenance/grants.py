"""Selects the waiting units to grant, based on the plan and the gateways' reports."""

from collections.abc import Mapping
from dataclasses import replace

from corkgauge.maintenance.capacity import (
    NEVER_TICKS,
    CapacitySnapshot,
    DisruptionLimits,
    EngineCondition,
    EngineFact,
    GatewayStatus,
    WaitingUnit,
)
from corkgauge.maintenance.leadership import Leadership
from corkgauge.maintenance.plan import Plan
from corkgauge.maintenance.plan_records import TAKEN_STATES, Unit, UnitKind, UnitState
from corkgauge.maintenance.schedule import GrantDecision, select_grants

MIN_EJECTION_REPORTER_COUNT = 2  # gateways; reports of fewer are ignored
MAX_EJECTION_REPORT_AGE_TICKS = 50_000  # age from which a reported ejection is ignored


class GrantPlanner:
    """Builds a snapshot of the fleet and selects the units that fit within the limits."""

    def __init__(self, leadership: Leadership, limits: DisruptionLimits) -> None:
        self.leadership = leadership
        self.host = leadership.host
        self.fleet = leadership.fleet
        self.limits = limits

    def find_grantable_units(self, plan: Plan) -> list[str]:
        """Return the names of the units to grant now.

        The reasons why the other units wait are stored in `Leadership.wait_reasons`.
        """
        waiting = [
            self._waiting_unit(unit, plan, queue_position)
            for queue_position, unit in enumerate(plan.units_in(UnitState.ASKED))
        ]
        if not waiting:
            return []
        snapshot = self.snapshot(plan)
        if self._must_wait_for_returns(snapshot, plan):
            why = "load has grown or engines have failed, a unit that is out has to return first"
            decision = GrantDecision(wait_reasons={unit.name: why for unit in waiting})
        else:
            decision = select_grants(snapshot, waiting, self.host.name)
        self.leadership.wait_reasons.update(decision.wait_reasons)
        return decision.granted

    def _must_wait_for_returns(self, snapshot: CapacitySnapshot, plan: Plan) -> bool:
        """Whether no unit may go out until another unit has returned.

        This is the case while the demand exceeds what the remaining engines can take, and some unit
        is OUT or RETURNING. LATE units do not count.
        """
        if not snapshot.find_overload(snapshot.unavailable_engines()):
            return False
        return bool(plan.units_in(UnitState.OUT, UnitState.RETURNING))

    def snapshot(self, plan: Plan) -> CapacitySnapshot:
        """Return the current state of engines, demand, gateways, and units taken by the plan."""
        gateways = self.fleet.gateways()
        # A gateway that shut down in order has no load; its clients use the other gateways.
        running = [name for name, status in gateways.items() if not status.has_left]
        cores, unknown = self.leadership.demand.estimate(self.host.now, running)
        # A gateway without a recent report counts as loaded as the busiest gateway with one. If no
        # gateway has a recent report, the load is unknown.
        unknown_gateways = unknown if len(unknown) >= len(running) else []
        taken = plan.units_in(*TAKEN_STATES)
        engines = {tag: self._as_reported(fact) for tag, fact in self.fleet.engines().items()}
        return CapacitySnapshot(
            limits=self.limits,
            engines=engines,
            request_classes=self.fleet.request_classes(cores),
            taken_engines=_members(taken, UnitKind.ENGINE),
            gateways={name: status.zone for name, status in gateways.items()},
            unavailable_gateways=_not_alive(gateways) | _members(taken, UnitKind.GATEWAY),
            voters=self.host.voters(),
            gateways_of_unknown_load=unknown_gateways,
        )

    def _as_reported(self, fact: EngineFact) -> EngineFact:
        """Return the engine as IMPAIRED if enough gateways have reported its ejection."""
        if fact.condition != EngineCondition.HEALTHY:
            return fact
        now_ticks = self.host.now
        reporters = sum(
            fact.tag in report.ejected
            and now_ticks < report.at_ticks + MAX_EJECTION_REPORT_AGE_TICKS
            for report in self.leadership.reports.values()
        )
        if reporters < MIN_EJECTION_REPORTER_COUNT:
            return fact
        return replace(fact, condition=EngineCondition.IMPAIRED)

    def _waiting_unit(self, unit: Unit, plan: Plan, queue_position: int) -> WaitingUnit:
        request = plan.requests.get(unit.request_id)
        duration_ticks = 1 if request is None else request.duration_ticks
        due_ticks = NEVER_TICKS if request is None else request.due_ticks
        return WaitingUnit(
            unit.name,
            tuple(unit.members),
            duration_ticks=duration_ticks,
            due_ticks=due_ticks,
            times_overtaken=_times_overtaken(unit, plan),
            queue_position=queue_position,
            is_gateway=unit.kind == UnitKind.GATEWAY,
        )


def _times_overtaken(unit: Unit, plan: Plan) -> int:
    """Return how many units that were requested later have been granted before this unit."""
    asked_serial = next(
        (
            entry.serial
            for entry in plan.history
            if entry.unit == unit.name and entry.state == UnitState.ASKED
        ),
        0,
    )
    since_asked = [entry for entry in plan.history if entry.serial > asked_serial]
    asked_later = {entry.unit for entry in since_asked if entry.state == UnitState.ASKED}
    return sum(
        entry.state == UnitState.GRANTED and entry.unit in asked_later for entry in since_asked
    )


def _members(units: list[Unit], kind: UnitKind) -> set[str]:
    return {name for unit in units if unit.kind == kind for name in unit.members}


def _not_alive(gateways: Mapping[str, GatewayStatus]) -> set[str]:
    return {name for name, status in gateways.items() if not status.is_alive}

"""Decides the next step of each unit of the plan, or why the unit has to wait.

A unit goes out of service only once it is proven that no gateway sends to its engines any more.
Without that quiescence proof the unit waits.
"""

from typing import NamedTuple

from corkgauge.maintenance.capacity import NEVER_TICKS, EngineCondition
from corkgauge.maintenance.leadership import Leadership
from corkgauge.maintenance.plan import Plan
from corkgauge.maintenance.plan_records import Unit, UnitKind, UnitState
from corkgauge.maintenance.quiescence import DrainingEngines, LeaderClock, find_missing_proof

MAX_CONFIRMATION_WAIT_TICKS = 20_000  # then the unit proceeds without all confirmations
LATE_LOG_TICKS = 600_000  # between two log lines about a late unit
RECOVERY_LOG_DELAY_TICKS = 300_000  # time in RETURNING after which the unit is logged
TICKS_PER_SECOND = 10_000
MAX_NAMES_SHOWN = 3


class Step(NamedTuple):
    """The state that a unit enters next, and the reason."""

    state: UnitState
    why: str


class UnitProgress:
    """Decides each unit's next step.

    `grant_ticks` is the duration of a grant and `longest_deadline_ticks` the longest time to
    deadline of any request class, both extended by the clock drift. `warm_up_ticks` limits how
    long a returning unit waits for impaired engines.
    """

    # Tests set False to show the failure that the quiescence proof prevents.
    confirmations_required = True

    def __init__(
        self,
        leadership: Leadership,
        grant_ticks: int,
        longest_deadline_ticks: int,
        warm_up_ticks: int,
    ) -> None:
        self.leadership = leadership
        self.host = leadership.host
        self.fleet = leadership.fleet
        self.grant_ticks = grant_ticks
        self.longest_deadline_ticks = longest_deadline_ticks
        self.warm_up_ticks = warm_up_ticks
        self.next_late_log_at: dict[str, int] = {}  # ticks since boot, by unit name

    def next_step(self, unit: Unit, plan: Plan) -> Step | None:
        """Return the unit's next step, or None if the unit waits.

        The reason for waiting is stored in `Leadership.wait_reasons`; an empty reason replaces the
        earlier reason of a unit in another state, such as ASKED.
        """
        match unit.state:
            case UnitState.GRANTED:
                outcome = self._after_granted(unit)
            case UnitState.DRAINING:
                outcome = self._after_draining(unit)
            case UnitState.OUT:
                outcome = self._after_out(unit, plan)
            case UnitState.LATE:
                self._log_late(unit, "still not back")
                outcome = ""
            case UnitState.RETURNING:
                outcome = self._after_returning(unit)
            case _:
                outcome = ""
        if isinstance(outcome, Step):
            return outcome
        self.leadership.wait_reasons[unit.name] = outcome
        return None

    def _after_granted(self, unit: Unit) -> Step | str:
        if unit.kind == UnitKind.GATEWAY and unit.members == [self.host.name]:
            self.host.hand_over_lease("its own machine is next in maintenance")
            return "the planner hands its lease over first"
        if self.leadership.maintenance_time() < unit.since_ticks + MAX_CONFIRMATION_WAIT_TICKS:
            unaware = self._unaware_gateways(unit, UnitState.GRANTED)
            if unaware:
                return f"{_first_names(unaware)} has not confirmed the step yet"
        return Step(UnitState.DRAINING, "")

    def _after_draining(self, unit: Unit) -> Step | str:
        missing_proofs = self.missing_proofs(unit)
        if not missing_proofs:
            return Step(UnitState.OUT, "")
        name, missing_proof = next(iter(missing_proofs.items()))
        more = f", and {len(missing_proofs) - 1} more" if len(missing_proofs) > 1 else ""
        return f"{name}: {missing_proof}{more}"

    def _after_out(self, unit: Unit, plan: Plan) -> Step | str:
        request = plan.requests.get(unit.request_id)
        duration_ticks = NEVER_TICKS if request is None else request.duration_ticks
        if self.leadership.maintenance_time() <= unit.since_ticks + duration_ticks:
            return ""
        self._log_late(unit, "not back within its time")
        return Step(UnitState.LATE, "not back within its time")

    def _after_returning(self, unit: Unit) -> Step | str:
        now_ticks = self.leadership.maintenance_time()
        why = self._return_wait_reason(unit, now_ticks)
        if not why:
            return Step(UnitState.BACK, "")
        if now_ticks > unit.since_ticks + RECOVERY_LOG_DELAY_TICKS:
            self._log_late(unit, why)
        return why

    def _log_late(self, unit: Unit, why: str) -> None:
        """Log a unit in LATE or a late unit in RETURNING, at most once per LATE_LOG_TICKS.

        The time in the line is counted from `began_ticks`. For a unit that was never OUT, that is
        0, so the time is the whole maintenance time.

        A unit that operators overlook keeps counting against the limits and blocks other units.
        """
        now_ticks = self.host.now
        if now_ticks >= self.next_late_log_at.get(unit.name, 0):
            self.next_late_log_at[unit.name] = now_ticks + LATE_LOG_TICKS
            out_ticks = self.leadership.maintenance_time() - unit.began_ticks
            self.host.log(
                f"works: {unit.name} of {unit.request_id} LATE, {why}; "
                f"out for {out_ticks // TICKS_PER_SECOND} s"
            )

    def _unaware_gateways(self, unit: Unit, state: UnitState) -> list[str]:
        """Return the gateways that are alive and have not confirmed the orders for this step."""
        leadership = self.leadership
        stamp = leadership.stamps.get(unit.name, {}).get(state, leadership.proposer.stamp)
        reports = leadership.reports
        return [
            name
            for name, status in self.fleet.gateways().items()
            if status.is_alive and (name not in reports or reports[name].stamp < stamp)
        ]

    # Quiescence proof.

    def missing_proofs(self, unit: Unit) -> dict[str, str]:
        """Return why gateways may still send to the unit, by gateway name.

        For a gateway: why the gateway cannot go out yet, under its name.
        """
        if unit.kind == UnitKind.GATEWAY:
            return self._gateway_missing_proofs(unit)
        leadership = self.leadership
        stamps = leadership.stamps.get(unit.name, {})
        drained_under = stamps.get(UnitState.DRAINING, leadership.proposer.stamp)
        engines = DrainingEngines(
            unit.members,
            drained_under,
            stamps.get(UnitState.GRANTED, drained_under),
            self.fleet.idle_since(unit.members),
        )
        clock = LeaderClock(
            self.host.now, leadership.since_ticks, self.grant_ticks, self.longest_deadline_ticks
        )
        # A gateway that shut down in order may have been started again with its old orders, before
        # its first report arrives. Only a gateway that is itself out for maintenance is known to
        # stay down.
        kept_down = {
            each.members[0]
            for each in leadership.proposer.plan.units_in(UnitState.OUT, UnitState.LATE)
            if each.kind == UnitKind.GATEWAY
        }
        found = {}
        for name, status in self.fleet.gateways().items():
            has_ended = status.has_left and name in kept_down
            missing_proof = find_missing_proof(
                leadership.reports.get(name), has_ended, engines, clock
            )
            if missing_proof and name not in unit.overruled and self.confirmations_required:
                found[name] = missing_proof
        return found

    def _gateway_missing_proofs(self, unit: Unit) -> dict[str, str]:
        """Return why a gateway cannot go out yet, under its name; empty if the gateway can go out.

        A gateway can go out if its process has ended, if the gateway reported under the orders to
        drain that it neither holds a lease nor competes for one, if an operator has overruled the
        gateway, or if the gateway is missing in the member list.
        """
        name = unit.members[0]
        status = self.fleet.gateways().get(name)
        if name in unit.overruled or status is None or status.has_left:
            return {}
        leadership = self.leadership
        stamps = leadership.stamps.get(unit.name, {})
        drained_under = stamps.get(UnitState.DRAINING, leadership.proposer.stamp)
        report = leadership.reports.get(name)
        if report is not None and report.stamp >= drained_under and report.holds_no_lease:
            return {}
        return {
            name: "still holds or competes for leases"
            if status.is_alive
            else "not alive, no report"
        }

    # Return to service.

    def _return_wait_reason(self, unit: Unit, now_ticks: int) -> str:
        if unit.kind == UnitKind.GATEWAY:
            status = self.fleet.gateways().get(unit.members[0])
            is_alive = status is not None and status.is_alive
            return "" if is_alive else "not alive yet"
        why = self._engines_return_wait_reason(unit, now_ticks)
        if why:
            return why
        unaware = self._unaware_gateways(unit, UnitState.RETURNING)
        if unaware and now_ticks < unit.since_ticks + MAX_CONFIRMATION_WAIT_TICKS:
            return f"{_first_names(unaware)} has not confirmed the step yet"
        return ""

    def _engines_return_wait_reason(self, unit: Unit, now_ticks: int) -> str:
        engines = self.fleet.engines()
        wait_end_ticks = unit.since_ticks + max(self.warm_up_ticks, 1)
        for tag in unit.members:
            fact = engines.get(tag)
            if fact is None or fact.condition == EngineCondition.DEAD:
                return f"{tag} is not in the list, or not serving"
            # Impaired engines are cold, which leaves them little capacity, or ejected. The unit
            # stays in RETURNING and counts as out, so that the next unit waits until the engines
            # are healthy, or until `warm_up_ticks` have passed.
            is_impaired = fact.condition != EngineCondition.HEALTHY
            if unit.began_ticks and is_impaired and now_ticks < wait_end_ticks:
                return f"{tag} is impaired: warming up, or ejected"
        return ""


def _first_names(names: list[str]) -> str:
    return " ".join(names[:MAX_NAMES_SHOWN])

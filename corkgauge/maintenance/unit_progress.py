"""The next step of each unit of the plan, or the reason why it has to wait.

Work begins only once it is proven that no gateway sends there any more; where the proof is missing,
the unit waits.
"""

from typing import NamedTuple

from corkgauge.maintenance.capacity import NEVER_TICKS, EngineCondition
from corkgauge.maintenance.leadership import Leadership
from corkgauge.maintenance.plan import Plan
from corkgauge.maintenance.plan_records import Unit, UnitKind, UnitState
from corkgauge.maintenance.quiescence import DrainingEngines, LeaderClock, find_missing_proof

ANNOUNCEMENT_TICKS = 20_000  # that gateways have to hear of a step, before it goes on without them
LATE_LOG_TICKS = 600_000  # between two log lines on a unit that is late
RECOVERY_LOG_DELAY_TICKS = 300_000  # that a unit may take to be healthy again, before it is logged
TICKS_PER_SECOND = 10_000
MAX_NAMES_SHOWN = 3


class Step(NamedTuple):
    """A state that a unit goes into, and why."""

    state: UnitState
    why: str


class UnitProgress:
    """Decides each unit's next step.

    `grant_ticks` and `longest_deadline_ticks` are the span of a grant and the longest time to
    deadline, lengthened by the drift of clocks; `warm_up_ticks` is how long an engine counts as
    warming up.
    """

    confirmations_required = True  # False shows, in tests, what the quiescence proof is for

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
        self.next_late_log_at: dict[str, int] = {}  # by unit, ticks since boot

    def next_step(self, unit: Unit, plan: Plan) -> Step | None:
        """Decide the unit's next step; None where it waits.

        Then the reason stands in the leadership's wait_reasons.
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
            self.host.hand_over_lease("its own machine's turn")
            return "the planner hands on first"
        if self.leadership.maintenance_time() < unit.since_ticks + ANNOUNCEMENT_TICKS:
            unaware = self._unaware_gateways(unit, UnitState.GRANTED)
            if unaware:
                return f"{_first_names(unaware)} has not heard yet"
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
        """Log the unit now and then.

        A machine that nobody thinks of keeps its place in the limits, and blocks others.
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
        """Gateways that are alive and have not reported yet that they know of this step."""
        leadership = self.leadership
        stamp = leadership.stamps.get(unit.name, {}).get(state, leadership.proposer.stamp)
        reports = leadership.reports
        return [
            name
            for name, status in self.fleet.gateways().items()
            if status.is_alive and (name not in reports or reports[name].stamp < stamp)
        ]

    # The proof that nobody sends there.

    def missing_proofs(self, unit: Unit) -> dict[str, str]:
        """By gateway: why it may still be sending there."""
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
        # One that left in order may be started again by anybody, with orders of before, and not be
        # heard yet. Only of one that is out for maintenance itself it is known that it stays down.
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
        """Say why a gateway may not go out yet: it holds a lease and has not ended."""
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
        return {name: "still stands for duties" if status.is_alive else "not heard"}

    # Coming back.

    def _return_wait_reason(self, unit: Unit, now_ticks: int) -> str:
        if unit.kind == UnitKind.GATEWAY:
            status = self.fleet.gateways().get(unit.members[0])
            is_alive = status is not None and status.is_alive
            return "" if is_alive else "not alive yet"
        why = self._engines_return_wait_reason(unit, now_ticks)
        if why:
            return why
        unaware = self._unaware_gateways(unit, UnitState.RETURNING)
        if unaware and now_ticks < unit.since_ticks + ANNOUNCEMENT_TICKS:
            return f"{_first_names(unaware)} has not heard yet"
        return ""

    def _engines_return_wait_reason(self, unit: Unit, now_ticks: int) -> str:
        engines = self.fleet.engines()
        warm_at_ticks = unit.since_ticks + max(self.warm_up_ticks, 1)
        for tag in unit.members:
            fact = engines.get(tag)
            if fact is None or fact.condition == EngineCondition.DEAD:
                return f"{tag} is not in the list, or not serving"
            # Cold engines give little: they count as out, so that the next unit waits until they
            # are warm.
            is_impaired = fact.condition != EngineCondition.HEALTHY
            if unit.began_ticks and is_impaired and now_ticks < warm_at_ticks:
                return f"{tag} is cold"
        return ""


def _first_names(names: list[str]) -> str:
    return " ".join(names[:MAX_NAMES_SHOWN])

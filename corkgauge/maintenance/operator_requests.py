"""Validates operators' commands against the maintenance plan and proposes them as changes.

Every method returns the answer line for the operator, or raises ValueError with the reason. A
reason that contains `try again` does not reach the operator: the gateway that accepted the command
sends it again.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from corkgauge.maintenance.capacity import (
    NEVER_TICKS,
    CapacitySnapshot,
    EngineCondition,
    WaitingUnit,
)
from corkgauge.maintenance.grants import GrantPlanner
from corkgauge.maintenance.leadership import Leadership
from corkgauge.maintenance.plan import MAX_TEXT_CHARACTERS, MAX_UNITS, Plan
from corkgauge.maintenance.plan_records import MaintenanceRequest, UnitKind, UnitState

MAX_NAMES_BYTES = 500  # in one request, so that the request fits in a datagram
MAX_ID_CHARACTERS = 40


@dataclass(frozen=True, slots=True)
class PlannedUnit:
    """A unit that a request takes out as a whole; `members` are its engines or its gateway."""

    name: str
    kind: UnitKind
    members: tuple[str, ...]


class OperatorRequests:
    """Executes operators' commands at the leader.

    `declare_out(names, origin)` begins a new plan in which these engines and gateways are out, for
    the case that no majority of replicas remembers the plan. `origin` says who stated it.
    """

    def __init__(
        self,
        leadership: Leadership,
        grants: GrantPlanner,
        declare_out: Callable[[Iterable[str], str], None],
    ) -> None:
        self.leadership = leadership
        self.host = leadership.host
        self.fleet = leadership.fleet
        self.proposer = leadership.proposer
        self.grants = grants
        self.declare_out = declare_out

    def request_maintenance(
        self,
        id_: str,
        kind: str,
        names: Sequence[str],
        owner: str,
        reason: str,
        within_ticks: int,
        duration_ticks: int,
    ) -> str:
        """Add a request for maintenance of the named engines, machines, zones or gateways.

        The work on each unit takes `duration_ticks`. All of it is due within `within_ticks`; 0
        means that there is no due time. Repeating a request under the same id changes nothing.
        """
        plan = self._plan()
        if id_ in plan.requests or any(entry.request_id == id_ for entry in plan.history):
            return "known"
        if not owner or duration_ticks <= 0 or not names or len(id_) > MAX_ID_CHARACTERS:
            raise ValueError(
                "expected an owner, names, a positive duration and an id that is not too long"
            )
        units = self._new_units(kind, names, plan)
        self._reject_never_allowed(units, duration_ticks)
        if sum(len(name.encode()) + 2 for name in names) > MAX_NAMES_BYTES:
            raise ValueError("the names of the request are too long, split it into several")
        now_ticks = self.leadership.maintenance_time()
        due_ticks = now_ticks + within_ticks if within_ticks else NEVER_TICKS
        request = MaintenanceRequest(
            id=id_,
            kind=kind,
            names=[*names],
            owner=owner[:MAX_TEXT_CHARACTERS],
            reason=reason[:MAX_TEXT_CHARACTERS],
            due_ticks=due_ticks,
            duration_ticks=duration_ticks,
            count=len(units),
            cancelled="",
            at_ticks=now_ticks,
        )
        self._propose_request(request, units)
        return "asked"

    def _propose_request(self, request: MaintenanceRequest, units: Iterable[PlannedUnit]) -> None:
        changes: list[list[Any]] = [["time", request.at_ticks], ["ask", request.to_wire()]]
        changes += (
            ["unit", unit.name, request.id, unit.kind.value, [*unit.members]] for unit in units
        )
        if not self.proposer.propose(*changes):
            raise ValueError("too many plan changes are pending, try again")
        self.leadership.counts["asks"] += 1

    def _new_units(self, kind: str, names: Sequence[str], plan: Plan) -> list[PlannedUnit]:
        """Return the units that the names stand for, without those already in the plan."""
        zones = {tag: fact.zone for tag, fact in self.fleet.engines().items()}
        found = units_for_request(kind, names, zones, self.host.machines(), self.fleet.gateways())
        units = [unit for unit in found if unit.name not in plan.units]
        if not units:
            other = next(iter(plan.units.values())).request_id if plan.units else ""
            raise ValueError(
                "all of these units are already in the plan; "
                f"the first unit of the plan belongs to request {other}"
            )
        if len(units) + len(plan.units) > MAX_UNITS:
            raise ValueError(f"the plan holds at most {MAX_UNITS} units")
        return units

    def _reject_never_allowed(self, units: Iterable[PlannedUnit], duration_ticks: int) -> None:
        """Reject units that the limits forbid even with all engines healthy and without load.

        Such a request would wait forever.
        """
        best_case = CapacitySnapshot(
            self.grants.limits,
            {
                tag: replace(fact, condition=EngineCondition.HEALTHY)
                for tag, fact in self.fleet.engines().items()
            },
            self.fleet.request_classes({}),
            gateways={name: status.zone for name, status in self.fleet.gateways().items()},
            voters=self.host.voters(),
        )
        for unit in units:
            is_gateway = unit.kind == UnitKind.GATEWAY
            waiting = WaitingUnit(unit.name, unit.members, duration_ticks, is_gateway=is_gateway)
            objection = best_case.find_wait_reason(waiting, with_load=False)
            if objection:
                raise ValueError(f"{unit.name}: the limits never allow it: {objection}")

    def cancel_request(self, id_: str, by: str) -> str:
        """Cancel a request; its units that are out stay out until a `done` command."""
        plan = self._plan()
        if id_ not in plan.requests:
            raise ValueError(f"no open request {id_!r}")
        units = [unit for unit in plan.units.values() if unit.request_id == id_]
        changes: list[list[Any]] = [["cancel", id_, by]]
        for unit in units:
            if unit.state == UnitState.ASKED:
                changes.append(["state", unit.name, UnitState.BACK, f"cancelled by {by}"])
            elif unit.state in (UnitState.GRANTED, UnitState.DRAINING):
                changes.append(["state", unit.name, UnitState.RETURNING, f"cancelled by {by}"])
        self._propose(changes)
        # Somebody may be working on a unit that was shown as out, so only a `done` command returns
        # the unit to service.
        out = sorted(unit.name for unit in units if unit.state in (UnitState.OUT, UnitState.LATE))
        return f"cancelled, but for what is out: {' '.join(out)}" if out else "cancelled"

    def finish_work(self, names: Sequence[str], by: str) -> str:
        """Return units to service; `names` may be units, their members or their requests."""
        plan = self._plan()
        units = [
            unit
            for unit in plan.units_in(UnitState.OUT, UnitState.LATE)
            if unit.name in names or unit.request_id in names or {*unit.members} & {*names}
        ]
        if not units:
            finished = (UnitState.RETURNING, UnitState.BACK)
            if any(entry.unit in names and entry.state in finished for entry in plan.history):
                return "known"
            raise ValueError(f"none of {' '.join(names)} is out")
        self._propose(
            [["state", unit.name, UnitState.RETURNING, f"done, by {by}"] for unit in units]
        )
        return f"returning: {' '.join(unit.name for unit in units)}"

    def set_hold(self, by: str) -> str:
        """Stop granting units, or resume if `by` is empty."""
        self._propose([["hold", by]])
        return f"held by {by}" if by else "grants resumed"

    def overrule_gateway(self, name: str, gateway: str, by: str) -> str:
        """Let work on a unit begin without this gateway's confirmation."""
        self._propose([["overrule", name, gateway, by]])
        self.host.log(f"works: {name}: {gateway} overruled by {by}")
        return "overruled"

    def declare_out_units(self, out: Sequence[str], by: str) -> str:
        """Begin a new plan in which the named engines and gateways are out.

        Only at first use, or when no majority of replicas remembers the plan. The first call
        raises a ValueError with "try again", so that the command is repeated until the new plan is
        agreed.
        """
        if not self.leadership.is_plan_lost:
            if self._plan().confirmed_by == f"told by {by}":
                return "taken"
            raise ValueError(
                "voters still have the plan; `known` applies only after most voters lost the plan"
            )
        self.declare_out(out, f"told by {by}")
        raise ValueError("the new plan is not agreed yet, try again")

    def _plan(self) -> Plan:
        """Return the plan as it will be after all proposed changes."""
        if self.leadership.has_plan():
            return self.proposer.plan_with_pending()
        if self.leadership.is_plan_lost:
            raise ValueError(
                "most voters lost the plan; declare the units that are out with "
                "`corkgauge maintenance known`"
            )
        raise ValueError("the leader is still taking over the plan, try again")

    def _propose(self, changes: Sequence[Sequence[Any]]) -> None:
        now_ticks = self.leadership.maintenance_time()
        if not self.proposer.propose(["time", now_ticks], *changes):
            raise ValueError(
                "the plan rejects the change in this state, or too many changes are pending, "
                "try again"
            )


def units_for_request(
    kind: str,
    names: Sequence[str],
    zones: Mapping[str, str],
    machines: Mapping[str, Sequence[str]],
    gateways: Iterable[str],
) -> list[PlannedUnit]:
    """Return the units that a request stands for; the engines of one machine form one unit.

    `zones` has the zone of each engine in the endpoint list. Raises ValueError with the first name
    that is not known.

    >>> zones = {"e1": "a", "e2": "a", "e3": "b"}
    >>> [unit] = units_for_request("engine", ["e1"], zones, {"m1": ["e1", "e3"]}, [])
    >>> unit.name, unit.kind.value, unit.members
    ('m1', 'engine', ('e1', 'e3'))
    >>> [unit.name for unit in units_for_request("hall", ["a"], zones, {}, [])]
    ['e1', 'e2']
    >>> units_for_request("engine", ["e9"], zones, {}, [])
    Traceback (most recent call last):
    ValueError: no engine 'e9'
    """
    known_gateways = {*gateways}
    machine_of = {tag: machine for machine, tags in machines.items() for tag in tags}
    found: dict[str, PlannedUnit] = {}
    for name in names:
        if kind == UnitKind.GATEWAY:
            if name not in known_gateways:
                raise ValueError(f"no gateway {name!r}")
            found[name] = PlannedUnit(name, UnitKind.GATEWAY, (name,))
            continue
        for tag in sorted(_engines_named(kind, name, zones, machines)):
            unit = _engine_unit(tag, machine_of.get(tag), zones, machines)
            found[unit.name] = unit
    return [*found.values()]


def _engine_unit(
    tag: str, machine: str | None, zones: Mapping[str, str], machines: Mapping[str, Sequence[str]]
) -> PlannedUnit:
    """Return the unit of an engine: all listed engines of its machine, or the engine alone."""
    if not machine:
        return PlannedUnit(tag, UnitKind.ENGINE, (tag,))
    members = sorted(each for each in machines[machine] if each in zones or each == tag)
    return PlannedUnit(machine, UnitKind.ENGINE, tuple(members))


def _engines_named(
    kind: str, name: str, zones: Mapping[str, str], machines: Mapping[str, Sequence[str]]
) -> list[str]:
    match kind:
        case "engine":
            tags = [name] if name in zones else []
        case "machine":
            tags = [*machines.get(name, ())]
        case "hall":
            tags = [tag for tag, zone in zones.items() if zone == name]
        case _:
            raise ValueError(f"expected engine, machine, hall or gateway, found {kind!r}")
    if not tags:
        raise ValueError(f"no {kind} {name!r}")
    return tags

"""What operators ask of the leader: each command checked against the plan, and proposed as changes.

Every method gives the line that is told to the operator, or raises ValueError with the reason. A
reason that contains `try again` is not told: the operator's gateway asks again by itself.
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

MAX_NAMES_BYTES = 500  # of the names in one request, so that it fits a datagram
MAX_ID_CHARACTERS = 40


@dataclass(frozen=True, slots=True)
class PlannedUnit:
    """A unit that a request comes to."""

    name: str
    kind: UnitKind
    members: tuple[str, ...]


class OperatorRequests:
    """Carries out operators' commands at the leader.

    `declare_out(tags, by)` begins a new plan after the loss of everything, with these engines and
    gateways out.
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

    def ask(
        self,
        id_: str,
        kind: str,
        names: Sequence[str],
        owner: str,
        reason: str,
        within_ticks: int,
        duration_ticks: int,
    ) -> str:
        """Request maintenance of what is named.

        Each unit takes `duration_ticks`; all should be over within `within_ticks`.

        `within_ticks` 0 means any time. The same id again changes nothing.
        """
        plan = self._plan()
        if id_ in plan.requests or any(entry.request_id == id_ for entry in plan.history):
            return "known"
        if not owner or duration_ticks <= 0 or not names or len(id_) > MAX_ID_CHARACTERS:
            raise ValueError("expected an owner, names, and how long the work lasts")
        units = self._new_units(kind, names, plan)
        self._refuse_impossible(units, duration_ticks)
        if sum(len(name.encode()) + 2 for name in names) > MAX_NAMES_BYTES:
            raise ValueError("too many names at once, ask in two")
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
            raise ValueError("too much is asked at once, try again")
        self.leadership.counts["asks"] += 1

    def _new_units(self, kind: str, names: Sequence[str], plan: Plan) -> list[PlannedUnit]:
        """Find the units that the names come to and that are not in the plan yet."""
        zones = {tag: fact.zone for tag, fact in self.fleet.engines().items()}
        found = units_for_request(kind, names, zones, self.host.machines(), self.fleet.gateways())
        units = [unit for unit in found if unit.name not in plan.units]
        if not units:
            other = next(iter(plan.units.values())).request_id if plan.units else ""
            raise ValueError(f"all of that is asked already, as {other}")
        if len(units) + len(plan.units) > MAX_UNITS:
            raise ValueError(f"{MAX_UNITS} units at most")
        return units

    def _refuse_impossible(self, units: Iterable[PlannedUnit], duration_ticks: int) -> None:
        """Refuse now what no lull makes possible; nobody should wait for it."""
        alone = CapacitySnapshot(
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
            objection = alone.find_wait_reason(waiting, with_load=False)
            if objection:
                raise ValueError(f"{unit.name}: never possible: {objection}")

    def cancel(self, id_: str, by: str) -> str:
        """Withdraw a request; units that are out stay out until their owner's `done`."""
        plan = self._plan()
        if id_ not in plan.requests:
            raise ValueError(f"no open ask {id_!r}")
        units = [unit for unit in plan.units.values() if unit.request_id == id_]
        changes: list[list[Any]] = [["cancel", id_, by]]
        for unit in units:
            if unit.state == UnitState.ASKED:
                changes.append(["state", unit.name, UnitState.BACK, f"cancelled by {by}"])
            elif unit.state in (UnitState.GRANTED, UnitState.DRAINING):
                changes.append(["state", unit.name, UnitState.RETURNING, f"cancelled by {by}"])
        self._propose(changes)
        # On a machine that was told to be out somebody may be at work; only its owner's `done` ends
        # that.
        out = sorted(unit.name for unit in units if unit.state in (UnitState.OUT, UnitState.LATE))
        return f"cancelled, but for what is out: {' '.join(out)}" if out else "cancelled"

    def done(self, names: Sequence[str], by: str) -> str:
        """Let units return whose work is over, named themselves or by their request."""
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

    def hold(self, by: str) -> str:
        """Grant nothing new, or (`by` empty) go on."""
        self._propose([["hold", by]])
        return f"held by {by}" if by else "going on"

    def overrule(self, name: str, gateway: str, by: str) -> str:
        """Wait no longer for this gateway's confirmation, by the operator's word."""
        self._propose([["overrule", name, gateway, by]])
        self.host.log(f"works: {name}: {gateway} overruled by {by}")
        return "overruled"

    def tell_known(self, out: Sequence[str], by: str) -> str:
        """Take an operator's word on what is out, after the loss of everything or at first."""
        if not self.leadership.is_plan_lost:
            if self._plan().confirmed_by == f"told by {by}":
                return "taken"
            raise ValueError("the plan is known")
        self.declare_out(out, f"told by {by}")
        raise ValueError("being agreed, try again")

    def _plan(self) -> Plan:
        """Return the plan as it will be with all that is proposed."""
        if self.leadership.has_plan():
            return self.proposer.plan_with_pending()
        if self.leadership.is_plan_lost:
            raise ValueError("forgotten: tell what is out (works known)")
        raise ValueError("the plan is being taken over, try again")

    def _propose(self, changes: Sequence[Sequence[Any]]) -> None:
        now_ticks = self.leadership.maintenance_time()
        if not self.proposer.propose(["time", now_ticks], *changes):
            raise ValueError("that does not fit the plan as it is now, try again")


def units_for_request(
    kind: str,
    names: Sequence[str],
    zones: Mapping[str, str],
    machines: Mapping[str, Sequence[str]],
    gateways: Iterable[str],
) -> list[PlannedUnit]:
    """Find the units that a request comes to; engines of one machine go together.

    `zones` has the zone of each engine that is listed. Raises ValueError, naming what there is not.

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
    """Return the unit of an engine: its whole machine, as far as its engines are listed."""
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

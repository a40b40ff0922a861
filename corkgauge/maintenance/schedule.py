"""Orders the waiting units and selects those that fit within the disruption limits now.

Units with the earliest latest start go first. Units without a due time follow, ordered by cores per
time of work, the largest first (Smith, 1956), since that returns the most capacity soonest. A unit
that many later units have overtaken is not overtaken any more. Free of I/O, clocks and randomness:
the same input gives the same result on every gateway.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from corkgauge.maintenance.capacity import NEVER_TICKS, CapacitySnapshot, WaitingUnit

MAX_OVERTAKEN_COUNT = 8  # later units that may be granted before a waiting unit
MAX_CHECKED_UNIT_COUNT = 24  # engine units checked in one round, the first in the order


@dataclass(slots=True)
class GrantDecision:
    """The units to grant now, in order, and why each other unit waits, by unit name."""

    granted: list[str] = field(default_factory=list)
    wait_reasons: dict[str, str] = field(default_factory=dict)


def grant_order(
    waiting: Iterable[WaitingUnit], cores: Mapping[str, float], leader: str = ""
) -> list[WaitingUnit]:
    """Return the waiting units in grant order; the leader's own gateway goes last.

    >>> units = [WaitingUnit("a", ("a",), 60), WaitingUnit("b", ("b",), 30)]
    >>> units.append(WaitingUnit("c", ("c",), 90, due_ticks=100))
    >>> [unit.name for unit in grant_order(units, {"a": 8, "b": 8, "c": 8})]
    ['c', 'b', 'a']
    """

    def key(unit: WaitingUnit) -> tuple[bool, bool, int, float, int, str]:
        unit_cores = sum(cores.get(tag, 0.0) for tag in unit.members)
        latest_start = NEVER_TICKS
        if unit.due_ticks < NEVER_TICKS:
            latest_start = unit.due_ticks - unit.duration_ticks
        return (
            unit.members == (leader,),
            unit.times_overtaken < MAX_OVERTAKEN_COUNT,
            latest_start,
            -unit_cores / max(unit.duration_ticks, 1),
            unit.queue_position,
            unit.name,
        )

    return sorted(waiting, key=key)


def select_grants(
    snapshot: CapacitySnapshot, waiting: Sequence[WaitingUnit], leader: str = ""
) -> GrantDecision:
    """Select the units to grant now; each unit is checked together with those selected before."""
    return _GrantSelection(snapshot, len(waiting), leader).run(waiting)


class _GrantSelection:
    """One pass over the waiting units, on a copy of the given snapshot."""

    def __init__(self, snapshot: CapacitySnapshot, waiting_count: int, leader: str) -> None:
        self.snapshot = replace(
            snapshot,
            taken_engines={*snapshot.taken_engines},
            unavailable_gateways={*snapshot.unavailable_gateways},
        )
        self.waiting_count = waiting_count
        self.leader = leader
        self.decision = GrantDecision()
        self.units_checked = 0
        # A unit that was overtaken MAX_OVERTAKEN_COUNT times; later units wait behind it.
        self.blocking_unit = ""

    def run(self, waiting: Iterable[WaitingUnit]) -> GrantDecision:
        cores = {tag: engine.cores for tag, engine in self.snapshot.engines.items()}
        for unit in grant_order(waiting, cores, self.leader):
            wait_reason = (
                self._select_gateway(unit) if unit.is_gateway else self._select_engines(unit)
            )
            if wait_reason:
                self.decision.wait_reasons[unit.name] = wait_reason
            else:
                self.decision.granted.append(unit.name)
        return self.decision

    def _select_gateway(self, unit: WaitingUnit) -> str:
        """Select the gateway and return an empty text, or return why the gateway must wait."""
        wait_reason = self.snapshot.find_wait_reason(unit)
        is_leader = unit.members == (self.leader,)
        if not wait_reason and is_leader and self._is_other_work_left():
            wait_reason = "the leader's own gateway goes last, after engines and other units"
        if not wait_reason:
            self.snapshot.unavailable_gateways.update(unit.members)
        return wait_reason

    def _is_other_work_left(self) -> bool:
        return bool(self.decision.granted or self.snapshot.taken_engines or self.waiting_count > 1)

    def _select_engines(self, unit: WaitingUnit) -> str:
        """Select the engines and return an empty text, or return why the unit must wait."""
        self.units_checked += 1
        # Checking each of a thousand units against a thousand engines would block the event loop
        # for seconds.
        if self.units_checked > MAX_CHECKED_UNIT_COUNT:
            return f"{MAX_CHECKED_UNIT_COUNT} units before this unit are checked first"
        if self.blocking_unit:
            return f"behind {self.blocking_unit}, which {MAX_OVERTAKEN_COUNT} later units overtook"
        wait_reason = self.snapshot.find_wait_reason(unit)
        if not wait_reason:
            self.snapshot.taken_engines.update(unit.members)
        elif unit.times_overtaken >= MAX_OVERTAKEN_COUNT:
            self.blocking_unit = unit.name
        return wait_reason

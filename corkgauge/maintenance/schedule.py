"""The order in which units go out, and which of them fit within the limits now.

What is due first goes first; then what gives back most capacity soonest (cores a second of work,
the largest first: Smith, 1956); a unit that many later ones have passed is passed no more. Free of
I/O, of clocks and of chance: the same facts give the same answer at every gateway.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from corkgauge.maintenance.capacity import NEVER_TICKS, CapacitySnapshot, WaitingUnit

MAX_OVERTAKEN_COUNT = 8  # by units asked later, from which a unit is passed no more
MAX_CHECKED_UNIT_COUNT = 24  # in one turn, the first in the order


@dataclass(slots=True)
class GrantDecision:
    """Units that may go out now, in their order; and by unit what stands against the others."""

    granted: list[str] = field(default_factory=list)
    wait_reasons: dict[str, str] = field(default_factory=dict)


def grant_order(
    waiting: Iterable[WaitingUnit], cores: Mapping[str, float], leader: str = ""
) -> list[WaitingUnit]:
    """Order the waiting units; the gateway that leads comes after all others.

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
    """Choose the units that may go out now, each checked together with those chosen before it."""
    return _GrantSelection(snapshot, len(waiting), leader).run(waiting)


class _GrantSelection:
    """One pass over the waiting units; the snapshot that was handed in is left as it was."""

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
        self.blocked_behind = ""  # a unit that was passed often enough: no later one goes before it

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
        """Take the gateway, or say why not."""
        wait_reason = self.snapshot.find_wait_reason(unit)
        is_leader = unit.members == (self.leader,)
        if not wait_reason and is_leader and self._is_other_work_left():
            wait_reason = "the planner itself goes last"
        if not wait_reason:
            self.snapshot.unavailable_gateways.update(unit.members)
        return wait_reason

    def _is_other_work_left(self) -> bool:
        return bool(self.decision.granted or self.snapshot.taken_engines or self.waiting_count > 1)

    def _select_engines(self, unit: WaitingUnit) -> str:
        """Take the engines of the unit, or say why not."""
        self.units_checked += 1
        # Checking each of a thousand units over a thousand engines would hold up the event loop for
        # seconds.
        if self.units_checked > MAX_CHECKED_UNIT_COUNT:
            return f"{MAX_CHECKED_UNIT_COUNT} before it wait"
        if self.blocked_behind:
            return f"behind {self.blocked_behind}, which was passed {MAX_OVERTAKEN_COUNT} times"
        wait_reason = self.snapshot.find_wait_reason(unit)
        if not wait_reason:
            self.snapshot.taken_engines.update(unit.members)
        elif unit.times_overtaken >= MAX_OVERTAKEN_COUNT:
            self.blocked_behind = unit.name
        return wait_reason

"""The maintenance plan: what was requested, where each unit stands, and what has happened.

A majority of plan replicas holds it. It changes by a list of small changes alone; all who apply the
same changes in the same order end up with the same plan. Free of I/O and of clocks; looks at
nothing but the plan and the change, whoever proposes a change has looked at the rest.

A *unit* is what goes out together: one engine, the engines that share a machine, or one gateway.
Its states:

    asked > granted > draining > out > returning > back      each once
                                 out > late > returning      it did not come back within its time
            granted, draining > returning                    cancelled before the work began

Time in a plan is *maintenance time*, tenths of a millisecond in which somebody has held the lease:
it only grows, whatever the clocks of machines are set to, and stands still while nobody leads.
"""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgpack

from corkgauge.maintenance.plan_records import (
    NEXT_STATES,
    STATE_WORDS,
    HistoryEntry,
    MaintenanceRequest,
    Unit,
    UnitState,
)

MAX_HISTORY_ENTRIES = 300  # that operators, and the next leader, can look back at
MAX_REQUESTS = 200
MAX_UNITS = 2_000
MAX_TEXT_CHARACTERS = 120  # of an owner or a reason


class InvalidChangeError(ValueError):
    """A change that does not fit the plan: why, in one line."""


class Plan:
    """Requests, units and history, with the changes that apply to them.

    >>> plan = Plan()
    >>> request = ["a1", "engine", ["e1"], "ada", "disk", 900, 60, 1, "", 0]
    >>> unit = ["unit", "e1", "a1", "engine", ["e1"]]
    >>> plan.apply([["known", "first start, told by ada"], ["ask", request], unit])
    >>> plan.apply([["time", 50], ["state", "e1", 1, "fits"]])
    >>> plan.units["e1"].since_ticks, [[entry.unit, entry.state.value] for entry in plan.history]
    (50, [['e1', 0], ['e1', 1]])
    >>> plan.apply([["state", "e1", 3, ""]])
    Traceback (most recent call last):
    corkgauge.maintenance.plan.InvalidChangeError: e1 is granted, and cannot be out next
    >>> Plan.unpacked(plan.packed()).packed() == plan.packed()
    True
    """

    def __init__(self) -> None:
        self.time_ticks = 0
        self.confirmed_by = ""  # by whose word it is known what is out; empty: nothing is granted
        self.held_by = ""  # who holds all grants back; empty: nobody
        self.requests: dict[str, MaintenanceRequest] = {}
        self.units: dict[str, Unit] = {}
        self.history: deque[HistoryEntry] = deque(maxlen=MAX_HISTORY_ENTRIES)
        self.serial = 0  # of the last entry of the history

    def apply(self, changes: Iterable[Sequence[Any]]) -> None:
        """Apply all changes, in order.

        Raises InvalidChangeError at the first that does not fit; those before it hold then, so
        whoever proposes changes tries them on a copy first.
        """
        for word, *arguments in changes:
            method = _CHANGES.get(word)
            if method is None:
                raise InvalidChangeError(f"no change {word!r}")
            method(self, *arguments)

    def with_changes(self, changes: Iterable[Sequence[Any]]) -> "Plan":
        """Copy the plan, with the changes. Raises InvalidChangeError where they do not fit."""
        plan = Plan.unpacked(self.packed())
        plan.apply(changes)
        return plan

    # One method a change; the arguments are those of the wire.

    def _advance_time(self, at_ticks: int) -> None:
        # A leader that counts from an older plan must not turn the time back.
        self.time_ticks = max(self.time_ticks, at_ticks)

    def _set_confirmed_by(self, by: str) -> None:
        self.confirmed_by = by[:MAX_TEXT_CHARACTERS]

    def _set_held(self, by: str) -> None:
        self.held_by = by[:MAX_TEXT_CHARACTERS]

    def _add_request(self, fields: Sequence[Any]) -> None:
        request = MaintenanceRequest.from_wire(fields)
        if len(self.requests) >= MAX_REQUESTS and request.id not in self.requests:
            raise InvalidChangeError(f"{MAX_REQUESTS} asks are open")
        self.requests.setdefault(request.id, request)

    def _add_unit(self, name: str, request_id: str, kind: str, members: Sequence[str]) -> None:
        is_full = len(self.units) >= MAX_UNITS
        if request_id not in self.requests or name in self.units or is_full:
            raise InvalidChangeError(f"no room for unit {name} of {request_id}")
        unit = Unit(name, request_id, kind, [*members], UnitState.ASKED, self.time_ticks)
        self.units[name] = unit
        self._record(unit)

    def _move_unit(self, name: str, state: int, why: str) -> None:
        unit = self.units.get(name)
        if unit is None or state not in NEXT_STATES.get(unit.state, ()):
            current = STATE_WORDS[unit.state] if unit else "no unit"
            raise InvalidChangeError(
                f"{name} is {current}, and cannot be {STATE_WORDS[state]} next"
            )
        unit.state = UnitState(state)
        unit.since_ticks = self.time_ticks
        unit.why = why[:MAX_TEXT_CHARACTERS]
        if state == UnitState.OUT:
            unit.began_ticks = self.time_ticks
        self._record(unit)
        if state == UnitState.BACK:
            del self.units[name]
            if not self._has_units(unit.request_id):
                self.requests.pop(unit.request_id, None)

    def _shrink_request(self, request_id: str, count: int) -> None:
        """Not all units that the request named are there any more."""
        if request_id in self.requests:
            self.requests[request_id].count = count
            if not self._has_units(request_id):
                del self.requests[request_id]

    def _cancel_request(self, request_id: str, by: str) -> None:
        if request_id not in self.requests:
            raise InvalidChangeError(f"no ask {request_id!r}")
        self.requests[request_id].cancelled = by[:MAX_TEXT_CHARACTERS]

    def _overrule_gateway(self, name: str, gateway: str, by: str) -> None:
        unit = self.units.get(name)
        if unit is None or unit.state != UnitState.DRAINING:
            raise InvalidChangeError(f"{name} is not draining")
        unit.overruled = sorted({*unit.overruled, gateway})
        self._record(unit, f"{gateway} overruled by {by}")

    def _has_units(self, request_id: str) -> bool:
        return any(unit.request_id == request_id for unit in self.units.values())

    def _record(self, unit: Unit, why: str = "") -> None:
        self.serial += 1
        entry = HistoryEntry(
            self.serial,
            self.time_ticks,
            unit.name,
            unit.state,
            unit.request_id,
            why or unit.why,
        )
        self.history.append(entry)

    # The whole.

    def packed(self) -> bytes:
        """Encode the plan as it is stored and sent, msgpack.

        The same plan gives the same bytes everywhere.
        """
        fields = [
            self.time_ticks,
            self.confirmed_by,
            self.held_by,
            [request.to_wire() for request in self.requests.values()],
            [unit.to_wire() for unit in self.units.values()],
            [*self.history],
            self.serial,
        ]
        packed: bytes = msgpack.packb(fields)
        return packed

    @staticmethod
    def unpacked(data: bytes) -> "Plan":
        """Decode a stored or received plan. Raises InvalidChangeError where it makes no sense."""
        plan = Plan()
        try:
            time_ticks, known, held, requests, units, history, serial = msgpack.unpackb(data)
            plan.time_ticks = time_ticks
            plan.confirmed_by = known
            plan.held_by = held
            plan.requests = {fields[0]: MaintenanceRequest.from_wire(fields) for fields in requests}
            plan.units = {fields[0]: Unit.from_wire(fields) for fields in units}
            plan.history.extend(HistoryEntry.from_wire(fields) for fields in history)
            plan.serial = serial
        except (ValueError, TypeError, IndexError, msgpack.UnpackException) as problem:
            raise InvalidChangeError(
                f"a plan that makes no sense ({type(problem).__name__})"
            ) from None
        return plan

    # What follows from it.

    def units_in(self, *states: UnitState) -> list[Unit]:
        """List the units in any of these states, in the order in which they were requested."""
        return [unit for unit in self.units.values() if unit.state in states]

    def ordered_states(self) -> dict[str, int]:
        """Return what each gateway has to heed.

        The unit's state, by engine's reference or gateway's name.
        """
        return {
            member: unit.state
            for unit in self.units.values()
            if UnitState.GRANTED <= unit.state <= UnitState.LATE
            for member in unit.members
        }


_CHANGES: dict[str, Callable[..., None]] = {
    "time": Plan._advance_time,
    "known": Plan._set_confirmed_by,
    "hold": Plan._set_held,
    "ask": Plan._add_request,
    "unit": Plan._add_unit,
    "state": Plan._move_unit,
    "fewer": Plan._shrink_request,
    "cancel": Plan._cancel_request,
    "overrule": Plan._overrule_gateway,
}

"""The maintenance plan: requests, the state of each unit, and the history of state changes.

A majority of the plan replicas stores the agreed plan. The plan changes only by lists of small
changes; replicas that apply the same changes in the same order have the same plan. Free of I/O and
of clocks. A change is validated against the plan alone; the proposer of a change has checked
everything else, such as capacity and the quiescence proof.

A *unit* is taken out of service as a whole: one engine, the engines that share a machine, or one
gateway. Its states:

    asked > granted > draining > out > returning > back      normal order, each state once
                                 out > late > returning      not returned within the requested time
            granted, draining > returning                    cancelled before the work began
    asked > back                                             cancelled before the grant

Times in a plan are *maintenance time*: the ticks (tenths of a millisecond) during which a leader
has held the lease. Maintenance time never decreases, whatever the clocks of machines are set to,
and does not advance without a leader.
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

MAX_HISTORY_ENTRIES = 300  # kept for operators and for the next leader
MAX_REQUESTS = 200
MAX_UNITS = 2_000
MAX_TEXT_CHARACTERS = 120  # of an owner, a reason or another free text


class InvalidChangeError(ValueError):
    """A change that cannot be applied to the plan; the message is one line."""


class Plan:
    """The requests, units and history of maintenance, and the methods that change them.

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
        self.confirmed_by = ""  # who declared which units are out at the start; empty: nobody
        self.held_by = ""  # operator who suspended all grants; empty: not suspended
        self.requests: dict[str, MaintenanceRequest] = {}
        self.units: dict[str, Unit] = {}
        self.history: deque[HistoryEntry] = deque(maxlen=MAX_HISTORY_ENTRIES)
        self.serial = 0  # serial number of the last history entry

    def apply(self, changes: Iterable[Sequence[Any]]) -> None:
        """Apply all changes in order.

        Raises InvalidChangeError at the first invalid change; TypeError, ValueError or IndexError
        if a change has the wrong number or type of arguments, or a state number without a word.
        Earlier changes of the list stay applied, so a proposer must first apply the changes to a
        copy.
        """
        for word, *arguments in changes:
            method = _CHANGES.get(word)
            if method is None:
                raise InvalidChangeError(f"unknown change {word!r}")
            method(self, *arguments)

    def with_changes(self, changes: Iterable[Sequence[Any]]) -> "Plan":
        """Return a copy of the plan with the changes applied.

        Raises InvalidChangeError for an invalid change.
        """
        plan = Plan.unpacked(self.packed())
        plan.apply(changes)
        return plan

    # One method per kind of change; the arguments are the fields of the change on the wire.

    def _advance_time(self, at_ticks: int) -> None:
        # A leader that started from an older plan must not turn maintenance time back.
        self.time_ticks = max(self.time_ticks, at_ticks)

    def _set_confirmed_by(self, by: str) -> None:
        self.confirmed_by = by[:MAX_TEXT_CHARACTERS]

    def _set_held(self, by: str) -> None:
        self.held_by = by[:MAX_TEXT_CHARACTERS]

    def _add_request(self, fields: Sequence[Any]) -> None:
        request = MaintenanceRequest.from_wire(fields)
        if len(self.requests) >= MAX_REQUESTS and request.id not in self.requests:
            raise InvalidChangeError(f"{MAX_REQUESTS} asks are open, no more fit in the plan")
        self.requests.setdefault(request.id, request)

    def _add_unit(self, name: str, request_id: str, kind: str, members: Sequence[str]) -> None:
        is_full = len(self.units) >= MAX_UNITS
        if request_id not in self.requests or name in self.units or is_full:
            raise InvalidChangeError(
                f"cannot add unit {name} of ask {request_id}: unknown ask, known unit, or plan full"
            )
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
        """Set the number of units of a request; some of its units no longer exist."""
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

    # Encoding of the whole plan.

    def packed(self) -> bytes:
        """Encode the plan with msgpack for disk and wire.

        Equal plans are encoded to equal bytes on every gateway.
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
        """Decode a stored or received plan. Raises InvalidChangeError if it is malformed."""
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
                f"the encoded plan is malformed ({type(problem).__name__})"
            ) from None
        return plan

    # Queries.

    def units_in(self, *states: UnitState) -> list[Unit]:
        """Return the units in any of these states, in the order of their requests."""
        return [unit for unit in self.units.values() if unit.state in states]

    def ordered_states(self) -> dict[str, int]:
        """Return the states that orders tell to every gateway.

        The keys are engine references and gateway names, the values the states of their units.
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

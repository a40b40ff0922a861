"""Records of the maintenance plan: unit states, requests, units and history entries.

Each record encodes itself as a list for the wire and for stored plans. The order of the fields in
that list must never change.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import Any, NamedTuple


class UnitState(IntEnum):
    """State of a unit; the numbers are used on the wire and in stored plans."""

    ASKED = 0
    GRANTED = 1
    DRAINING = 2
    OUT = 3
    LATE = 4
    RETURNING = 5
    BACK = 6


class UnitKind(StrEnum):
    """What a unit consists of; the values are used on the wire and in stored plans."""

    ENGINE = "engine"
    GATEWAY = "gateway"


STATE_WORDS = (
    "asked",
    "granted",
    "draining",
    "out",
    "late",
    "returning",
    "back",
)  # indexed by UnitState
TAKEN_STATES = (  # states in which a unit counts against the disruption limits
    UnitState.GRANTED,
    UnitState.DRAINING,
    UnitState.OUT,
    UnitState.LATE,
    UnitState.RETURNING,
)
NEXT_STATES: dict[int, tuple[UnitState, ...]] = {
    UnitState.ASKED: (UnitState.GRANTED, UnitState.BACK),
    UnitState.GRANTED: (UnitState.DRAINING, UnitState.RETURNING),
    UnitState.DRAINING: (UnitState.OUT, UnitState.RETURNING),
    UnitState.OUT: (UnitState.RETURNING, UnitState.LATE),
    UnitState.LATE: (UnitState.RETURNING,),
    UnitState.RETURNING: (UnitState.BACK,),
}


@dataclass(slots=True)
class MaintenanceRequest:
    """A maintenance request of an operator.

    `due_ticks` is the maintenance time by which all work should be finished, `duration_ticks` the
    time that the work on one unit takes, `count` the number of units, `at_ticks` the maintenance
    time at which the request was accepted. `cancelled` names the operator who cancelled the
    request; it is empty if the request is not cancelled.
    """

    id: str
    kind: str
    names: list[str]
    owner: str
    reason: str
    due_ticks: int
    duration_ticks: int
    count: int
    cancelled: str
    at_ticks: int

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> "MaintenanceRequest":
        """Decode a request from the list in a change or a stored plan.

        Raises ValueError for a wrong number of fields.
        """
        id_, kind, names, owner, reason, due, lasting, count, cancelled, at = fields
        return cls(id_, kind, [*names], owner, reason, due, lasting, count, cancelled, at)

    def to_wire(self) -> list[Any]:
        """Encode the request as the list in a change or a stored plan."""
        return [
            self.id,
            self.kind,
            self.names,
            self.owner,
            self.reason,
            self.due_ticks,
            self.duration_ticks,
            self.count,
            self.cancelled,
            self.at_ticks,
        ]


@dataclass(slots=True)
class Unit:
    """One unit of a request; `members` are engine references, or the name of one gateway.

    `state` is a UnitState, or an unknown number that a later version stored; the status report and
    the error messages of the plan have no word for such a number. `since_ticks` is the maintenance
    time at which the unit entered the state, `began_ticks` the maintenance time at
    which the unit went out of service (0: not yet). `overruled` names the gateways whose missing
    confirmation an operator has overruled.
    """

    name: str
    request_id: str
    kind: str
    members: list[str]
    state: int
    since_ticks: int
    why: str = ""
    began_ticks: int = 0
    overruled: list[str] = field(default_factory=list)

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> "Unit":
        """Decode a unit from the list in a stored plan.

        Raises ValueError for a wrong number of fields.
        """
        name, request_id, kind, members, state, since, why, began, overruled = fields
        return cls(name, request_id, kind, [*members], state, since, why, began, [*overruled])

    def to_wire(self) -> list[Any]:
        """Encode the unit as the list in a stored plan."""
        return [
            self.name,
            self.request_id,
            self.kind,
            self.members,
            self.state,
            self.since_ticks,
            self.why,
            self.began_ticks,
            self.overruled,
        ]


class HistoryEntry(NamedTuple):
    """A state change of a unit, or an operator's overruling, and its maintenance time."""

    serial: int
    at_ticks: int
    unit: str
    state: int
    request_id: str
    why: str

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> "HistoryEntry":
        """Decode a history entry from the list in a stored plan.

        Raises ValueError for a wrong number of fields.
        """
        serial, at_ticks, unit, state, request_id, why = fields
        return cls(serial, at_ticks, unit, state, request_id, why)

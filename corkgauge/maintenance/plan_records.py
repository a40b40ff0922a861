"""Records of the maintenance plan: unit states, requests, units and history entries.

Each record knows the list that it is on the wire and in stored plans; the order of its fields
there never changes.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import Any, NamedTuple


class UnitState(IntEnum):
    """Where a unit stands; the numbers are those of the wire and of stored plans."""

    ASKED = 0
    GRANTED = 1
    DRAINING = 2
    OUT = 3
    LATE = 4
    RETURNING = 5
    BACK = 6


class UnitKind(StrEnum):
    """What a unit consists of; the words are those of the wire and of stored plans."""

    ENGINE = "engine"
    GATEWAY = "gateway"


STATE_WORDS = "asked", "granted", "draining", "out", "late", "returning", "back"  # by UnitState
TAKEN_STATES = (  # those that count in the limits
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
    """What an operator requested.

    `due_ticks` is the maintenance time by which it should be over, `duration_ticks` what one unit's
    work takes, `count` how many units it has, `at_ticks` when it was taken. `cancelled` names who
    cancelled it; empty: nobody.
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
        """Decode the list that a change or a stored plan holds.

        Raises ValueError for another number of fields.
        """
        id_, kind, names, owner, reason, due, lasting, count, cancelled, at = fields
        return cls(id_, kind, [*names], owner, reason, due, lasting, count, cancelled, at)

    def to_wire(self) -> list[Any]:
        """Encode the list that a change or a stored plan holds."""
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
    """One unit of a request. `members` are engines' references, or one gateway's name.

    `state` is a UnitState, or the number that a later version stored. `since_ticks` is the
    maintenance time at which it came into that state, `began_ticks` at which it went out (0: not
    yet). `overruled` are gateways that an operator said need not be waited for.
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
        """Decode the list that a stored plan holds.

        Raises ValueError for another number of fields.
        """
        name, request_id, kind, members, state, since, why, began, overruled = fields
        return cls(name, request_id, kind, [*members], state, since, why, began, [*overruled])

    def to_wire(self) -> list[Any]:
        """Encode the list that a stored plan holds."""
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
    """One step of a unit, or one overruling, at a maintenance time."""

    serial: int
    at_ticks: int
    unit: str
    state: int
    request_id: str
    why: str

    @classmethod
    def from_wire(cls, fields: Sequence[Any]) -> "HistoryEntry":
        """Decode the list that a stored plan holds.

        Raises ValueError for another number of fields.
        """
        serial, at_ticks, unit, state, request_id, why = fields
        return cls(serial, at_ticks, unit, state, request_id, why)

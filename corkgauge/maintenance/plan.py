"""The plan: what was asked, where each unit stands, and what has happened, as a majority of keepers holds it.

Owns the agreed facts and the one way in which they change: a list of small changes, which everybody who applies them
in the same order ends up with the same plan. Free of I/O and of clocks. Must never look at anything but the plan and
the change; whoever proposes a change has looked at the rest.

A *unit* is what goes out together: one engine, the engines that share a machine, or one gateway. Its steps:

    asked > granted > draining > out > returning > back      each once
                                 out > late > returning      it did not come back within its time
            granted, draining > returning                    its ask was cancelled before the work began

Time in a plan is *works time*, tenths of a millisecond in which somebody has held the duty: it only grows, whatever
the clocks of machines are set to, and stands still while nobody plans.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from typing import Any

import msgpack

ASKED, GRANTED, DRAINING, OUT, LATE, RETURNING, BACK = range(7)
STATES = "asked", "granted", "draining", "out", "late", "returning", "back"
AWAY = DRAINING, OUT, LATE  # no gateway sends there
TAKEN = GRANTED, DRAINING, OUT, LATE, RETURNING  # counts in the limits
NEXT = {
    ASKED: (GRANTED, BACK),
    GRANTED: (DRAINING, RETURNING),
    DRAINING: (OUT, RETURNING),
    OUT: (RETURNING, LATE),
    LATE: (RETURNING,),
    RETURNING: (BACK,),
}
ENGINE, GATEWAY = "engine", "gateway"
HISTORY = 300  # entries that operators, and the next holder, can look back at
MOST_ASKS, MOST_UNITS = 200, 2_000
MOST_WORD = 120  # characters of an owner or a reason


class InvalidRequestError(ValueError):
    """A change that does not fit the plan: why, in one line."""


class Ask:
    """What an operator asked. `due` is works time by which it should be over, `lasting` what one unit's work takes;
    `count` how many units it has; `over` that no unit of it is left."""

    __slots__ = (
        "id",
        "kind",
        "names",
        "owner",
        "reason",
        "due",
        "lasting",
        "count",
        "cancelled",
        "at",
    )

    def __init__(self, said: Sequence[Any]) -> None:
        (
            self.id,
            self.kind,
            names,
            self.owner,
            self.reason,
            self.due,
            self.lasting,
            self.count,
            self.cancelled,
            self.at,
        ) = said
        self.names = [*names]

    def told(self) -> list[Any]:
        return [getattr(self, name) for name in Ask.__slots__]


class Unit:
    """One unit of an ask. `members` are engines' ids, or one gateway's name; `since` is works time."""

    __slots__ = ("name", "ask", "sort", "members", "state", "since", "why", "began", "overruled")

    def __init__(self, said: Sequence[Any]) -> None:
        (
            self.name,
            self.ask,
            self.sort,
            members,
            self.state,
            self.since,
            self.why,
            self.began,
            overruled,
        ) = said
        self.members, self.overruled = [*members], [*overruled]

    def told(self) -> list[Any]:
        return [getattr(self, name) for name in Unit.__slots__]


class Plan:
    """
    >>> plan = Plan()
    >>> plan.apply([["known", "first start, told by ada"], ["ask", ["a1", "engine", ["e1"], "ada", "disk", 900, 60, 1,
    ...                                                               "", 0]], ["unit", "e1", "a1", "engine", ["e1"]]])
    >>> plan.apply([["time", 50], ["state", "e1", GRANTED, "fits"]])
    >>> plan.units["e1"].since, [entry[2:4] for entry in plan.history]
    (50, [['e1', 0], ['e1', 1]])
    >>> plan.apply([["state", "e1", OUT, ""]])
    Traceback (most recent call last):
    corkgauge.maintenance.plan.InvalidRequestError: e1 is granted, and cannot be out next
    >>> Plan.unpacked(plan.packed()).packed() == plan.packed()
    True
    """

    def __init__(self) -> None:
        self.time = 0
        self.known = (
            ""  # by whose word it is known what is out; empty: nobody's, and nothing is granted
        )
        self.held = ""  # who holds all grants back; empty: nobody
        self.asks: dict[str, Ask] = {}
        self.units: dict[str, Unit] = {}
        self.history: deque[list[Any]] = deque(
            maxlen=HISTORY
        )  # [serial, time, unit, state, ask, why]
        self.serial = 0

    def apply(self, changes: Iterable[Sequence[Any]]) -> None:
        """All of them, in order. Raises Senseless at the first that does not fit; those before it hold then, so
        whoever proposes tries them on a copy first."""
        for sort, *what in changes:
            method = _CHANGES.get(sort)
            if method is None:
                raise InvalidRequestError(f"no change {sort!r}")
            method(self, *what)

    def tried(self, changes: Iterable[Sequence[Any]]) -> "Plan":
        """A copy with the changes."""
        plan = Plan.unpacked(self.packed())
        plan.apply(changes)
        return plan

    # What a change does.

    def _time(self, at: int) -> None:
        self.time = max(
            self.time, at
        )  # Danger: a holder that counts from less must not turn it back.

    def _known(self, by: str) -> None:
        self.known = by[:MOST_WORD]

    def _hold(self, by: str) -> None:
        self.held = by[:MOST_WORD]

    def _ask(self, said: Sequence[Any]) -> None:
        ask = Ask(said)
        if len(self.asks) >= MOST_ASKS and ask.id not in self.asks:
            raise InvalidRequestError(f"{MOST_ASKS} asks are open")
        self.asks.setdefault(ask.id, ask)

    def _unit(self, name: str, ask: str, sort: str, members: Sequence[str]) -> None:
        if ask not in self.asks or name in self.units or len(self.units) >= MOST_UNITS:
            raise InvalidRequestError(f"no room for unit {name} of {ask}")
        self.units[name] = Unit([name, ask, sort, members, ASKED, self.time, "", 0, []])
        self._noted(self.units[name])

    def _state(self, name: str, state: int, why: str) -> None:
        unit = self.units.get(name)
        if unit is None or state not in NEXT.get(unit.state, ()):
            raise InvalidRequestError(
                f"{name} is {STATES[unit.state] if unit else 'no unit'}, and cannot be "
                f"{STATES[state]} next"
            )
        unit.state, unit.since, unit.why = state, self.time, why[:MOST_WORD]
        if state == OUT:
            unit.began = self.time
        self._noted(unit)
        if state == BACK:
            del self.units[name]
            if not any(each.ask == unit.ask for each in self.units.values()):
                self.asks.pop(unit.ask, None)

    def _fewer(self, ask: str, count: int) -> None:
        """Not all that it named is there any more."""
        if ask in self.asks:
            self.asks[ask].count = count
            if not any(each.ask == ask for each in self.units.values()):
                del self.asks[ask]

    def _cancel(self, ask: str, by: str) -> None:
        if ask not in self.asks:
            raise InvalidRequestError(f"no ask {ask!r}")
        self.asks[ask].cancelled = by[:MOST_WORD]

    def _overrule(self, name: str, gateway: str, by: str) -> None:
        unit = self.units.get(name)
        if unit is None or unit.state != DRAINING:
            raise InvalidRequestError(f"{name} is not draining")
        unit.overruled = sorted({*unit.overruled, gateway})
        self._noted(unit, f"{gateway} overruled by {by}")

    def _noted(self, unit: Unit, why: str = "") -> None:
        self.serial += 1
        self.history.append(
            [self.serial, self.time, unit.name, unit.state, unit.ask, why or unit.why]
        )

    # The whole.

    def packed(self) -> bytes:
        return msgpack.packb(
            [
                self.time,
                self.known,
                self.held,
                [each.told() for each in self.asks.values()],
                [each.told() for each in self.units.values()],
                [*self.history],
                self.serial,
            ]
        )

    @staticmethod
    def unpacked(data: bytes) -> "Plan":
        """ValueError where it makes no sense."""
        plan = Plan()
        try:
            plan.time, plan.known, plan.held, asks, units, history, plan.serial = msgpack.unpackb(
                data
            )
            plan.asks = {ask[0]: Ask(ask) for ask in asks}
            plan.units = {unit[0]: Unit(unit) for unit in units}
            plan.history.extend(history)
        except (ValueError, TypeError, IndexError, msgpack.UnpackException) as problem:
            raise InvalidRequestError(
                f"a plan that makes no sense ({type(problem).__name__})"
            ) from None
        return plan

    # What follows from it.

    def of(self, *states: int) -> list[Unit]:
        return [each for each in self.units.values() if each.state in states]

    def levels(self) -> dict[str, int]:
        """What each gateway has to heed, by engine's id or gateway's name: its unit's state, from granted to late."""
        return {
            member: unit.state
            for unit in self.units.values()
            if GRANTED <= unit.state <= LATE
            for member in unit.members
        }


_CHANGES = {
    "time": Plan._time,
    "known": Plan._known,
    "hold": Plan._hold,
    "ask": Plan._ask,
    "unit": Plan._unit,
    "state": Plan._state,
    "fewer": Plan._fewer,
    "cancel": Plan._cancel,
    "overrule": Plan._overrule,
}


def wrong_history(entries: Iterable[Sequence[Any]], most: int = 0) -> list[str]:
    """What is wrong with a history: a step twice, one left out, or more away at once than `most` (0: any number).

    >>> wrong_history([[1, 0, "e1", ASKED, "a", ""], [2, 5, "e1", GRANTED, "a", ""], [3, 6, "e1", GRANTED, "a", ""]])
    ['entry 3: e1 of a is granted after granted']
    >>> wrong_history([[n, 0, e, s, "a", ""] for n, (e, s) in enumerate(
    ...     [(e, s) for s in (ASKED, GRANTED, DRAINING) for e in ("e1", "e2")], 1)], 1)
    ['entry 4: 2 taken at once, 1 allowed']
    """
    found, last, serial = [], dict[tuple[str, str], int](), 0
    taken: set[tuple[str, str]] = set()
    for number, time, unit, state, ask, why in entries:
        key = unit, ask
        if number <= serial:
            found.append(f"entry {number}: after entry {serial}")
        serial = number
        if why.endswith("overruled") or " overruled by " in why:
            continue
        if key in last and state not in NEXT.get(last[key], ()):
            found.append(
                f"entry {number}: {unit} of {ask} is {STATES[state]} after {STATES[last[key]]}"
            )
        last[key] = state
        before = len(taken)
        (taken.add if state in TAKEN else taken.discard)(key)
        if most and len(taken) > max(most, before):
            found.append(f"entry {number}: {len(taken)} taken at once, {most} allowed")
    return found

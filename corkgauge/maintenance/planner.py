"""Planning: what the holder of the duty does next, from the agreed plan and what is known of engines and gateways.

Owns what gateways told since the duty is held, and when orders go. Free of I/O: clock, letters and facts are its
host's. Must never act on a change that is not agreed, never order without a look at `may` immediately before, and never
let work begin while a gateway may still be sending there.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Protocol

from corkgauge.maintenance.demand import Demand
from corkgauge.maintenance.plan import (
    ASKED,
    BACK,
    DRAINING,
    ENGINE,
    GATEWAY,
    GRANTED,
    LATE,
    MOST_UNITS,
    MOST_WORD,
    OUT,
    RETURNING,
    STATES,
    TAKEN,
    Plan,
    Unit,
)
from corkgauge.maintenance.plan_proposer import LEADING, PlanProposer
from corkgauge.maintenance.quiescence import Heard, standing
from corkgauge.maintenance.schedule import (
    DEAD,
    NEVER,
    PASSING,
    WELL,
    Bounds,
    EngineFact,
    Ground,
    OfferingFact,
    Wanted,
    next_out,
    units_of,
)

ROOM = 800  # octets of engines' states in one letter of orders
TICK = 50_000  # tenths of a millisecond between two agreed moments of works time, at least
ANNOUNCED = 20_000  # that gateways have to hear of a work, before the draining begins without them
MOST_NAMES = 500  # octets of names in one ask
LOUD = 600_000  # between two lines on a unit that is late
AWAITED = 300_000  # that a unit may take to be well again, after its work
RECOVERED = "recovered"  # the ask of units that were found out after everything was forgotten

Stamp = tuple[int, int]


class Host(Protocol):
    """What a planner may do. `now` is tenths of a millisecond since boot."""

    now: int
    name: str

    def may(self, fence: int) -> bool: ...
    def gateways(self) -> Mapping[str, tuple[str, bool, bool]]: ...  # hall, alive, ended in order
    def voters(self) -> Sequence[str]: ...
    def engines(self) -> Mapping[str, EngineFact]: ...
    def request_classes(self, cores: Mapping[str, float]) -> Sequence[OfferingFact]: ...
    def machines(self) -> Mapping[str, Sequence[str]]: ...
    def idle_since(self, tags: Sequence[str]) -> int: ...
    def order(self, name: str, body: list[Any]) -> None: ...
    def ask(self, name: str) -> None: ...
    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None: ...
    def hand_on(self, why: str) -> None: ...
    def log(self, line: str) -> None: ...


class Planner:
    """`grant` and `expiry` are the span of a grant, lengthened by the drift of clocks, and the longest expiry of any
    submission; `cold` how long an engine counts as cold."""

    def __init__(
        self,
        host: Host,
        scribe: PlanProposer,
        bounds: Bounds,
        each: int,
        grant: int,
        expiry: int,
        cold: int,
    ) -> None:
        self.host, self.scribe, self.bounds, self.each = host, scribe, bounds, each
        self.grant, self.expiry, self.cold = grant, expiry, cold
        self.demand = Demand()
        self.heard: dict[str, Heard] = {}
        self.against: dict[str, str] = {}  # by unit: why it does not go on
        self.stamps: dict[str, dict[int, Stamp]] = {}  # by unit and state: when it was agreed, here
        self.since = 0  # we hold the duty, and lead, since
        self.begun_at, self.begun_time = 0, 0  # our clock, and works time, then
        self.told_late: dict[str, int] = {}
        self.forgotten = False
        self.counts = Counter[str]()
        self.serial = 0

    # Time in office.

    def gained(self, fence: int) -> None:
        self.heard, self.against, self.stamps, self.forgotten = {}, {}, {}, False
        self.since = self.begun_at = self.host.now
        self.begun_time = 0
        self.demand = Demand()
        self.scribe.gained(fence)
        # What gateways remember is asked at once: it may be needed, and costs a letter each.
        self.serial += 1
        self.host.call_later(1, self._turn, self.serial)

    def lost(self) -> None:
        self.serial += 1
        self.scribe.lost()

    def led(self) -> None:
        """A majority has our first step: what went before is agreed."""
        plan = self.scribe.plan
        self.begun_at, self.begun_time = self.host.now, plan.time
        self.forgotten = False
        for (
            unit
        ) in plan.units.values():  # all confirm anew to us: the earlier holder's words are not ours
            self.stamps[unit.name] = {unit.state: self.scribe.stamp}
        self.host.log(
            f"works: plan taken over, {len(plan.units)} units, {len(plan.of(*TAKEN))} of them taken"
        )
        self.orders()

    def agreed(self, changes: Sequence[Sequence[Any]]) -> None:
        for sort, *what in changes:
            if sort == "state":
                name, state, why = what
                self.stamps.setdefault(name, {})[state] = self.scribe.stamp
                self.counts["steps"] += 1
                self.host.log(f"works: {name} {STATES[state]}{': ' + why if why else ''}")
                if state == BACK:
                    self.stamps.pop(name, None)
                    self.against.pop(name, None)
        self.orders()
        if any(sort != "time" for sort, *_ in changes):
            self.serial += 1
            self.host.call_later(1, self._turn, self.serial)

    def forgot(self) -> None:
        """So many keepers have forgotten that nothing can be known from them."""
        self.forgotten = True
        self.host.log(
            "works: the plan is forgotten, nothing is granted until all gateways, or an operator, have told "
            "what is out"
        )

    # Works time.

    def time(self) -> int:
        return max(self.begun_time + self.host.now - self.begun_at, self.scribe.plan.time)

    # What is asked; each gives what is told to whoever asked, or raises ValueError with the reason.

    def ask(
        self,
        id_: str,
        kind: str,
        names: Sequence[str],
        owner: str,
        reason: str,
        within: int,
        lasting: int,
    ) -> str:
        """An operator's ask. The same id again changes nothing."""
        plan = self._plan()
        if id_ in plan.asks or any(entry[4] == id_ for entry in plan.history):
            return "known"
        if not owner or lasting <= 0 or not names or len(id_) > 40:
            raise ValueError("expected an owner, names, and how long the work lasts")
        gateways = self.host.gateways()
        engines = self.host.engines()
        units = [
            unit
            for unit in units_of(
                kind,
                names,
                [(tag, each.zone) for tag, each in engines.items()],
                self.host.machines(),
                gateways,
            )
            if unit[0] not in plan.units
        ]
        if not units:
            other = next(iter(plan.units.values())).ask if plan.units else ""
            raise ValueError(f"all of that is asked already, as {other}")
        if len(units) + len(plan.units) > MOST_UNITS:
            raise ValueError(f"{MOST_UNITS} units at most")
        # What no lull makes possible is refused now; nobody should wait for it.
        alone = Ground(
            self.bounds,
            {
                tag: EngineFact(each.tag, each.zone, each.kind, each.group, each.cores, WELL)
                for tag, each in engines.items()
            },
            self.host.request_classes({}),
            gateways={name: zone for name, (zone, *_) in gateways.items()},
            voters=self.host.voters(),
        )
        for name, sort, members in units:
            wrong = alone.objection(
                Wanted(name, members, lasting, gateway=sort == GATEWAY), load=False
            )
            if wrong:
                raise ValueError(f"{name}: never possible: {wrong}")
        now = self.time()
        if sum(len(name.encode()) + 2 for name in names) > MOST_NAMES:
            raise ValueError("too many names at once, ask in two")
        said = [
            id_,
            kind,
            [*names],
            owner[:MOST_WORD],
            reason[:MOST_WORD],
            now + within if within else NEVER,
            lasting,
            len(units),
            "",
            now,
        ]
        if not self.scribe.propose(
            ["time", now],
            ["ask", said],
            *(["unit", name, id_, sort, [*members]] for name, sort, members in units),
        ):
            raise ValueError("too much is asked at once, try again")
        self.counts["asks"] += 1
        return "asked"

    def cancel(self, id_: str, by: str) -> str:
        plan = self._plan()
        if id_ not in plan.asks:
            raise ValueError(f"no open ask {id_!r}")
        begun = sorted(
            unit.name
            for unit in plan.units.values()
            if unit.ask == id_ and unit.state in (OUT, LATE)
        )
        changes: list[list[Any]] = [["cancel", id_, by]]
        for unit in plan.units.values():
            if unit.ask == id_ and unit.state in (ASKED, GRANTED, DRAINING):
                changes.append(
                    [
                        "state",
                        unit.name,
                        BACK if unit.state == ASKED else RETURNING,
                        f"cancelled by {by}",
                    ]
                )
        self._propose(changes)
        # Danger: on a machine that was told to be out somebody may be at work; only its owner's `done` ends that.
        return f"cancelled, but for what is out: {' '.join(begun)}" if begun else "cancelled"

    def done(self, names: Sequence[str], by: str) -> str:
        """The work on these units, or on all of an ask that are out, is over."""
        plan = self._plan()
        units = [
            unit
            for unit in plan.units.values()
            if unit.state in (OUT, LATE)
            and (unit.name in names or unit.ask in names or {*unit.members} & {*names})
        ]
        if not units:
            if any(entry[2] in names and entry[3] in (RETURNING, BACK) for entry in plan.history):
                return "known"
            raise ValueError(f"none of {' '.join(names)} is out")
        self._propose([["state", unit.name, RETURNING, f"done, by {by}"] for unit in units])
        return f"returning: {' '.join(unit.name for unit in units)}"

    def hold(self, by: str) -> str:
        """Nothing new is granted, or (empty) it goes on."""
        self._propose([["hold", by]])
        return f"held by {by}" if by else "going on"

    def overrule(self, name: str, gateway: str, by: str) -> str:
        self._propose([["overrule", name, gateway, by]])
        self.host.log(f"works: {name}: {gateway} overruled by {by}")
        return "overruled"

    def tell_known(self, out: Sequence[str], by: str) -> str:
        """After the loss of everything, or before the first use: an operator's word on what is out."""
        if not self.forgotten:
            if self._plan().known == f"told by {by}":
                return "taken"
            raise ValueError("the plan is known")
        self._anew(out, f"told by {by}")
        raise ValueError("being agreed, try again")

    def _plan(self) -> Plan:
        """The plan as it will be with all that is proposed."""
        if self.scribe.state != LEADING or not self.scribe.led:
            raise ValueError(
                "forgotten: tell what is out (works known)"
                if self.forgotten
                else "the plan is being taken over, try again"
            )
        return self.scribe.coming()

    def _propose(self, changes: Sequence[Sequence[Any]]) -> None:
        if not self.scribe.propose(["time", self.time()], *changes):
            raise ValueError("that does not fit the plan as it is now, try again")

    # What gateways tell.

    def told(
        self,
        name: str,
        start: int,
        serial: int,
        fence: int,
        number: int,
        blank: bool,
        closed: Sequence[str],
        many: int,
        loads: Mapping[str, float],
        unwell: Sequence[str],
        free: bool,
    ) -> None:
        """A gateway's word."""
        heard = self.heard.get(name)
        if heard is None or heard.start != start:
            heard = self.heard[name] = Heard(start)  # a later process answers for itself
        if serial <= heard.serial:
            return
        heard.serial, heard.at, heard.blank = serial, self.host.now, blank
        # Under the same orders what is closed stays so; a letter may name only some of it.
        heard.closed = frozenset(closed) | (
            heard.closed if heard.stamp == (fence, number) else frozenset()
        )
        heard.stamp, heard.many, heard.free = (fence, number), many, free
        heard.unwell, heard.loads = frozenset(unwell), dict(loads)
        self.demand.tells(name, self.host.now, loads)
        if self.scribe.state == LEADING and self.scribe.led and heard.stamp != self.scribe.stamp:
            self._order(name)  # it missed some, or has just started
        elif self.forgotten:
            self._remembered()
        elif (
            self.scribe.state == LEADING
            and self.scribe.plan.of(GRANTED, DRAINING, RETURNING)
            and not self.soon
        ):
            self.soon = True  # it may be the word that a step waits for
            self.host.call_later(1, self._soon)

    # Turns.

    soon = False

    def _soon(self) -> None:
        self.soon = False
        if self.scribe.state == LEADING and self.scribe.led and self.host.may(self.scribe.fence):
            self.decide()

    def _turn(self, serial: int) -> None:
        if serial != self.serial:
            return
        self.serial += 1
        self.host.call_later(self.each, self._turn, self.serial)
        if self.scribe.state == LEADING and self.scribe.led and self.host.may(self.scribe.fence):
            self.orders()
            self.decide()
        elif self.forgotten:
            self.ask_all()

    def orders(self) -> None:
        """What is agreed, to each gateway; it is also what renews their grants."""
        if self.scribe.state == LEADING and self.scribe.led:
            for name in self.host.gateways():
                self._order(name)

    def ask_all(self) -> None:
        """Each answers with what it holds."""
        for name in self.host.gateways():
            if self.host.may(self.scribe.fence):
                self.host.ask(name)

    def _order(self, name: str) -> None:
        echo = self.heard[name].serial if name in self.heard else 0
        for body in orders_of(self.scribe.plan.levels(), self.scribe.stamp, echo):
            if not self.host.may(self.scribe.fence):  # before each act
                return
            self.host.order(name, body)

    def decide(self) -> None:
        """Each unit a step on, where nothing stands against it."""
        if self.scribe.waiting or self.scribe.step is not None:
            return  # one thing after the other: what is under way may change what is next
        plan, changes = self.scribe.plan, list[list[Any]]()
        for unit in plan.units.values():
            step = self._step(unit, plan)
            if step is not None:
                changes.append(["state", unit.name, *step])
        if not changes and not plan.held:
            changes = self._grants(plan)
        if changes or self.time() >= plan.time + TICK:
            self.scribe.propose(["time", self.time()], *changes)

    def _step(self, unit: Unit, plan: Plan) -> tuple[int, str] | None:
        """The next step of a unit that was granted, or None with the reason in `against`."""
        now, state, why = self.time(), unit.state, ""
        if state == GRANTED:
            if unit.sort == GATEWAY and unit.members == [self.host.name]:
                self.host.hand_on("its own machine's turn")
                why = "the planner hands on first"
            elif now < unit.since + ANNOUNCED and (late := self._unaware(unit, GRANTED)):
                why = f"{' '.join(late[:3])} has not heard yet"
            else:
                return DRAINING, ""
        elif state == DRAINING:
            standing = self.sending(unit)
            if not standing:
                return OUT, ""
            name, why = next(iter(standing.items()))
            why = f"{name}: {why}" + (
                f", and {len(standing) - 1} more" if len(standing) > 1 else ""
            )
        elif state == OUT:
            lasting = plan.asks[unit.ask].lasting if unit.ask in plan.asks else NEVER
            if now > unit.since + lasting:
                self._loud(unit, "not back within its time")
                return LATE, "not back within its time"
        elif state == LATE:
            self._loud(unit, "still not back")
        elif state == RETURNING:
            why = self._not_back(unit, now)
            if not why:
                return BACK, ""
            if now > unit.since + AWAITED:
                self._loud(unit, why)
        self.against[unit.name] = why
        return None

    def _loud(self, unit: Unit, why: str) -> None:
        """Danger: a machine that nobody thinks of any more keeps its place in the limits, and blocks all others."""
        if self.host.now >= self.told_late.get(unit.name, 0):
            self.told_late[unit.name] = self.host.now + LOUD
            out = (self.time() - unit.began) // 10_000
            self.host.log(f"works: {unit.name} of {unit.ask} LATE, {why}; out for {out} s")

    def _unaware(self, unit: Unit, state: int) -> list[str]:
        """Gateways that are alive and have not told yet that they know of this step."""
        stamp = self.stamps.get(unit.name, {}).get(state, self.scribe.stamp)
        return [
            name
            for name, (_, alive, _) in self.host.gateways().items()
            if alive and (name not in self.heard or self.heard[name].stamp < stamp)
        ]

    def sending(self, unit: Unit) -> dict[str, str]:
        """By gateway: why it may still be sending there."""
        stamps = self.stamps.get(unit.name, {})
        ordered = stamps.get(DRAINING, self.scribe.stamp)
        known = stamps.get(GRANTED, ordered)
        found = {}
        if unit.sort == GATEWAY:
            name = unit.members[0]
            heard = self.heard.get(name)
            _, alive, ended = self.host.gateways().get(name, ("", False, True))
            if not ended and not (heard is not None and heard.stamp >= ordered and heard.free):
                found[name] = "still stands for duties" if alive else "not heard"
            return {} if name in unit.overruled else found
        idle = self.host.idle_since(unit.members)
        # Danger: one that left in order may be started again by anybody, with orders of before, and not be heard yet.
        # Only of one that is out for work itself it is known that it stays so.
        down = {each.members[0] for each in self.scribe.plan.of(OUT, LATE) if each.sort == GATEWAY}
        for name, (_, _, left) in self.host.gateways().items():
            ended = left and name in down
            why = standing(
                self.heard.get(name),
                ended,
                unit.members,
                ordered,
                known,
                self.since,
                self.host.now,
                self.grant,
                self.expiry,
                idle,
            )
            if why and name not in unit.overruled and self.confirming:
                found[name] = why
        return found

    confirming = True  # False leaves the confirmations out, to show what they are for

    def _not_back(self, unit: Unit, now: int) -> str:
        if unit.sort == GATEWAY:
            _, alive, _ = self.host.gateways().get(unit.members[0], ("", False, True))
            return "" if alive else "not alive yet"
        engines = self.host.engines()
        for tag in unit.members:
            fact = engines.get(tag)
            if fact is None or fact.state == DEAD:
                return f"{tag} is not in the list, or not serving"
            # Cold engines give little: they count as out, so that the next waits until they are warm.
            if unit.began and fact.state != WELL and now < unit.since + max(self.cold, 1):
                return f"{tag} is cold"
        unaware = self._unaware(unit, RETURNING)
        return (
            f"{' '.join(unaware[:3])} has not heard yet"
            if unaware and now < unit.since + ANNOUNCED
            else ""
        )

    # Granting.

    def ground(self, plan: Plan) -> Ground:
        gateways = self.host.gateways()
        # One that ended in order has no load; its clients are with the others.
        cores, unknown = self.demand.needed(
            self.host.now, [name for name in gateways if not gateways[name][2]]
        )
        # One that is not heard counts as the busiest that is; where nobody is, nothing can be said.
        unknown = (
            unknown if len(unknown) >= sum(not ended for *_, ended in gateways.values()) else []
        )
        taken = plan.of(*TAKEN)
        engines = {tag: self._as_told(each) for tag, each in self.host.engines().items()}
        return Ground(
            self.bounds,
            engines,
            self.host.request_classes(cores),
            {tag for unit in taken if unit.sort == ENGINE for tag in unit.members},
            {name: zone for name, (zone, *_) in gateways.items()},
            {name for name, (_, alive, _) in gateways.items() if not alive}
            | {name for unit in taken if unit.sort == GATEWAY for name in unit.members},
            self.host.voters(),
            unknown,
        )

    def _as_told(self, fact: EngineFact) -> EngineFact:
        """Two gateways that find an engine unwell outweigh our own view of it."""
        if (
            fact.state == WELL
            and sum(
                fact.tag in heard.unwell and self.host.now < heard.at + TICK
                for heard in self.heard.values()
            )
            >= 2
        ):
            return EngineFact(fact.tag, fact.zone, fact.kind, fact.group, fact.cores, PASSING)
        return fact

    def _grants(self, plan: Plan) -> list[list[Any]]:
        waiting = [self._wanted(unit, plan, place) for place, unit in enumerate(plan.of(ASKED))]
        if not waiting:
            return []
        ground = self.ground(plan)
        if ground.crowded(ground.out()) and plan.of(OUT, RETURNING):
            # More load than what is left takes well: nothing new goes, what is out comes back first.
            granted, against = (
                [],
                {each.name: "load has grown, what is out comes back first" for each in waiting},
            )
        else:
            granted, against = next_out(ground, waiting, self.host.name)
        for name, why in against.items():
            self.against[name] = why
        return [["state", name, GRANTED, ""] for name in granted]

    def _wanted(self, unit: Unit, plan: Plan, place: int) -> Wanted:
        ask = plan.asks.get(unit.ask)
        asked = next(
            (entry[0] for entry in plan.history if entry[2] == unit.name and entry[3] == ASKED), 0
        )
        units_later = {entry[2] for entry in plan.history if entry[3] == ASKED and entry[0] > asked}
        passed = sum(
            entry[3] == GRANTED and entry[0] > asked and entry[2] in units_later
            for entry in plan.history
        )
        return Wanted(
            unit.name,
            tuple(unit.members),
            ask.lasting if ask else 1,
            ask.due if ask else NEVER,
            passed,
            place,
            unit.sort == GATEWAY,
        )

    # After the loss of everything.

    def _remembered(self) -> None:
        """Once every gateway has told, and one of them remembers, what any of them holds to be away is out."""
        names = self.host.gateways()
        # Danger: one that has forgotten, or was not heard, may be the only one that confirmed.
        if any(
            name not in self.heard
            or self.heard[name].blank
            or len(self.heard[name].closed) < self.heard[name].many
            for name in names
        ):
            return
        self._anew(
            {tag for name in names for tag in self.heard[name].closed}, "told by all gateways"
        )

    def _anew(self, out: Iterable[str], by: str) -> None:
        """What was out stays out, as units of an ask of its own, until an operator says `done`."""
        plan, now, tags = Plan(), self.time(), sorted({*out})
        plan.apply([["time", now], ["known", by]])
        if tags:
            plan.apply(
                [
                    [
                        "ask",
                        [
                            RECOVERED,
                            "engine",
                            tags[:40],
                            by,
                            "forgotten",
                            NEVER,
                            NEVER,
                            len(tags),
                            "",
                            now,
                        ],
                    ]
                ]
            )
        for tag in tags:
            sort = GATEWAY if tag in self.host.gateways() else ENGINE
            plan.apply([["unit", tag, RECOVERED, sort, [tag]]])
            for state in (GRANTED, DRAINING, OUT):
                plan.apply([["state", tag, state, "recovered"]])
        self.scribe.begin_anew(plan)


def orders_of(levels: Mapping[str, int], stamp: Stamp, echo: int) -> list[list[Any]]:
    """The letters that carry all levels: [fence, number, echo, part, parts, levels].

    >>> [len(body[5]) for body in orders_of({f"engine-{n:03}": 2 for n in range(100)}, (7, 1), 3)]
    [61, 39]
    >>> orders_of({}, (7, 1), 3)
    [[7, 1, 3, 0, 1, {}]]
    """
    parts, size = [{}], 0
    for tag, state in sorted(levels.items()):
        size += len(tag.encode()) + 3
        if size > ROOM:
            parts.append({})
            size = len(tag.encode()) + 3
        parts[-1][tag] = state
    return [[*stamp, echo, n, len(parts), part] for n, part in enumerate(parts)]

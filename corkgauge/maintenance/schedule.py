"""What goes out next: which units fit within the limits now, in which order, and why the others do not.

Owns the limits, the check against them and the order. Free of I/O, of clocks and of chance: the same facts give the
same answer at every gateway. Must never let an offering be left without an engine that may serve it, and must count
what is not known as loaded.

Order: what is due first; then what gives back most capacity soonest (cores a second of work, the largest first: Smith,
1956); a unit that many later ones have passed is passed no more. Capacity: offerings that may use different engines
compete for them, so for every set of offerings its demand has to fit on the engines that any of the set may use, which
is what Hall's condition (1935) says of such a parting.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import combinations

WELL, PASSING, DEAD = range(3)  # of an engine; passing: rests, cold, or not seen well yet
PASSED = 8  # later units granted before it, from which a unit is passed no more
MOST_LOOKS = 24  # units that are looked at in one turn, the first in the order
MOST_SORTS = 12  # offerings that may use different engines, whose every set is looked at
ALL_MANY = 3  # of more than that, sets of so many, and all together
NEVER = 2**62


@dataclass(frozen=True, slots=True)
class EngineFact:
    """An engine as the planner knows it. `group` is where labels are remembered together, None: everywhere."""

    tag: str
    zone: str
    kind: str
    group: str | None
    cores: float
    state: int = WELL


@dataclass(frozen=True, slots=True)
class OfferingFact:
    """An offering, and the cores that it needs now. No halls or kinds: any."""

    name: str
    zones: frozenset[str]
    kinds: frozenset[str]
    cores: float


@dataclass(frozen=True, slots=True)
class Wanted:
    """A unit that waits. `due` is works time, `lasting` tenths of a millisecond, `passed` how many later ones went
    before it, `place` its turn among all that were asked."""

    name: str
    members: tuple[str, ...]
    lasting: int
    due: int = NEVER
    passed: int = 0
    place: int = 0
    gateway: bool = False


@dataclass(frozen=True, slots=True)
class Bounds:
    """The operators' limits: engines at once, parts of all cores, of a hall's and of a kind's; the part of the cores
    left that demand may fill; engines left for each offering; gateways of one hall at once."""

    most: int = 4
    share: float = 0.25
    zone: float = 0.5
    kind: float = 0.5
    room: float = 0.7
    least: int = 1
    gateways: int = 1


@dataclass(slots=True)
class Ground:
    """All facts of one moment. `away` are engines that the plan has taken, `gateways` the hall of each gateway,
    `gateways_away` those taken or not alive, `voters` those whose majority has to stay."""

    bounds: Bounds
    engines: Mapping[str, EngineFact]
    request_classes: Sequence[OfferingFact]
    away: set[str] = field(default_factory=set)
    gateways: Mapping[str, str] = field(default_factory=dict)
    gateways_away: set[str] = field(default_factory=set)
    voters: Sequence[str] = ()
    unknown: Sequence[str] = ()  # gateways, where the load of none is known

    def out(self) -> set[str]:
        """What counts as out: taken by the plan, dead, or not well for the moment."""
        return self.away | {tag for tag, each in self.engines.items() if each.state != WELL}

    def objection(self, unit: Wanted, load: bool = True) -> str:
        """Why it may not go out now; empty: it may. Without `load`, only what no lull would change."""
        if unit.gateway:
            return self._of_gateway(unit)
        missing = [tag for tag in unit.members if tag not in self.engines]
        if missing:
            return f"{missing[0]} is not in the list"
        before = self.out()
        after = before | {*unit.members}
        # Danger: what is dead gives nothing that its work could take; held back it would stay dead.
        if after == before and all(self.engines[tag].state == DEAD for tag in unit.members):
            return ""
        return (
            self._counted(after)
            or self._left(after, before)
            or (self._loaded(after) if load else "")
        )

    def _of_gateway(self, unit: Wanted) -> str:
        name = unit.members[0]
        if name not in self.gateways:
            return f"no gateway {name}"
        zone = self.gateways[name]
        others = [each for each in self.gateways_away if each != name]
        if sum(self.gateways.get(each) == zone for each in others) >= self.bounds.gateways:
            return f"{self.bounds.gateways} of hall {zone or '-'} at once, {' '.join(sorted(others))} away"
        left = [each for each in self.voters if each != name and each not in others]
        if name in self.voters and len(left) < len(self.voters) // 2 + 1:
            return f"{len(left)} of {len(self.voters)} voters would be left"
        return ""

    def _counted(self, out: set[str]) -> str:
        bounds = self.bounds
        if len(out) > bounds.most:
            return f"{len(out)} would be out, {bounds.most} at once"
        for what, part, of in (
            ("", bounds.share, lambda each: ""),
            ("hall ", bounds.zone, lambda each: each.zone),
            ("kind ", bounds.kind, lambda each: each.kind),
        ):
            # A part that is less than one engine counts as one: else nothing could ever be worked on.
            whole, gone, many = {}, {}, {}
            for tag, each in self.engines.items():
                name = of(each)
                whole[name] = whole.get(name, 0.0) + each.cores
                if tag in out:
                    gone[name], many[name] = gone.get(name, 0.0) + each.cores, many.get(name, 0) + 1
            for name in sorted(gone):
                if gone[name] > part * whole[name] + 1e-9 and many[name] > 1:
                    return (
                        f"{what}{name or 'all'}: {gone[name]:g} of {whole[name]:g} cores would be out, "
                        f"{part:g} of them at most"
                    )
        return ""

    def _left(self, out: set[str], before: set[str]) -> str:
        left = [each for tag, each in self.engines.items() if tag not in out]
        for request_class in self.request_classes:
            able = sum(_may(request_class, each) for each in left)
            if able < self.bounds.least:
                return f"offering {request_class.name}: {able} engines left for it, {self.bounds.least} at least"
        groups: dict[str, list[str]] = {}
        for tag, each in self.engines.items():
            if each.group is not None:
                groups.setdefault(each.group, []).append(tag)
        for name, tags in sorted(groups.items()):
            # Danger: what may have run in a group may be tried again only there. One alone in its group may go, once
            # no mark is open there; its gateways say so.
            if (
                len(tags) > 1
                and all(tag in out for tag in tags)
                and not all(tag in before for tag in tags)
            ):
                return f"group {name}: none would be left where its marks are known"
        return ""

    def _loaded(self, out: set[str]) -> str:
        if self.unknown:
            return f"load of {' '.join(sorted(self.unknown)[:3])} not known"
        return self.crowded(out)

    def crowded(self, out: set[str]) -> str:
        """Which demand does not fit on what is left; empty: all does."""
        sorts: dict[tuple[frozenset[str], frozenset[str]], list[OfferingFact]] = {}
        for request_class in self.request_classes:
            if request_class.cores > 0:
                sorts.setdefault((request_class.zones, request_class.kinds), []).append(
                    request_class
                )
        classes: dict[tuple[str, str], float] = {}
        for tag, each in self.engines.items():
            if tag not in out:
                classes[each.zone, each.kind] = (
                    classes.get((each.zone, each.kind), 0.0) + each.cores
                )
        listed = sorted(sorts.items(), key=lambda each: min(one.name for one in each[1]))
        for some in _sets(len(listed)):
            chosen = [listed[n] for n in some]
            needed = sum(one.cores for _, several in chosen for one in several)
            able = sum(
                cores
                for (zone, kind), cores in classes.items()
                if any(
                    (not zones or zone in zones) and (not kinds or kind in kinds)
                    for (zones, kinds), _ in chosen
                )
            )
            if needed > self.bounds.room * able + 1e-9:
                names = sorted(one.name for _, several in chosen for one in several)
                return f"{' '.join(names[:3])}: {needed:.1f} cores needed, {self.bounds.room:g} of {able:g} left"
        return ""


def _may(request_class: OfferingFact, engine: EngineFact) -> bool:
    return (not request_class.zones or engine.zone in request_class.zones) and (
        not request_class.kinds or engine.kind in request_class.kinds
    )


def _sets(many: int) -> Iterable[tuple[int, ...]]:
    """
    >>> [*_sets(2)]
    [(0,), (1,), (0, 1)]
    """
    for size in range(1, (many if many <= MOST_SORTS else ALL_MANY) + 1):
        yield from combinations(range(many), size)
    if many > MOST_SORTS:
        yield tuple(range(many))


def order_of(waiting: Iterable[Wanted], cores: Mapping[str, float], last: str = "") -> list[Wanted]:
    """The order in which they are looked at; the gateway named `last` after all others.

    >>> units = [Wanted("a", ("a",), 60), Wanted("b", ("b",), 30), Wanted("c", ("c",), 90, due=100)]
    >>> [unit.name for unit in order_of(units, {"a": 8, "b": 8, "c": 8})]
    ['c', 'b', 'a']
    """

    def key(unit: Wanted) -> tuple:
        gives = sum(cores.get(tag, 0.0) for tag in unit.members) / max(unit.lasting, 1)
        return (
            unit.members == (last,),
            unit.passed < PASSED,
            unit.due - unit.lasting if unit.due < NEVER else NEVER,
            -gives,
            unit.place,
            unit.name,
        )

    return sorted(waiting, key=key)


def next_out(
    ground: Ground, waiting: Sequence[Wanted], last: str = ""
) -> tuple[list[str], dict[str, str]]:
    """Which units may go out now, all at once, in their order, and what stands against each of the others."""
    granted, against = [], dict[str, str]()
    away, gateways_away = {*ground.away}, {*ground.gateways_away}
    cores = {tag: each.cores for tag, each in ground.engines.items()}
    behind, looked = "", 0  # a unit that has been passed often enough; how many were looked at
    for unit in order_of(waiting, cores, last):
        if not unit.gateway:
            looked += 1
            # Danger: a look at each of a thousand units, each over a thousand engines, holds up the loop for seconds.
            if looked > MOST_LOOKS:
                against[unit.name] = f"{MOST_LOOKS} before it wait"
                continue
        now = Ground(
            ground.bounds,
            ground.engines,
            ground.request_classes,
            away,
            ground.gateways,
            gateways_away,
            ground.voters,
            ground.unknown,
        )
        if behind and not unit.gateway:
            against[unit.name] = f"behind {behind}, which was passed {PASSED} times"
            continue
        why = now.objection(unit)
        if unit.gateway and unit.members == (last,) and (granted or away or len(waiting) > 1):
            why = why or "the planner itself goes last"
        if why:
            against[unit.name] = why
            if unit.passed >= PASSED and not unit.gateway:
                behind = unit.name
            continue
        granted.append(unit.name)
        (gateways_away if unit.gateway else away).update(unit.members)
    return granted, against


def units_of(
    kind: str,
    names: Sequence[str],
    engines: Iterable[tuple[str, str]],
    machines: Mapping[str, Sequence[str]],
    gateways: Iterable[str],
) -> list[tuple[str, str, tuple[str, ...]]]:
    """What an ask comes to: (unit, sort, members). Engines of one machine go together. ValueError names what there is
    not. `engines` are (id, hall).

    >>> engines = [("e1", "a"), ("e2", "a"), ("e3", "b")]
    >>> units_of("engine", ["e1"], engines, {"m1": ["e1", "e3"]}, [])
    [('m1', 'engine', ('e1', 'e3'))]
    >>> [unit[0] for unit in units_of("hall", ["a"], engines, {}, [])]
    ['e1', 'e2']
    >>> units_of("engine", ["e9"], engines, {}, [])
    Traceback (most recent call last):
    ValueError: no engine 'e9'
    """
    listed = dict(engines)
    shared = {tag: machine for machine, tags in machines.items() for tag in tags}
    found: dict[str, tuple[str, str, tuple[str, ...]]] = {}
    for name in names:
        if kind == "gateway":
            if name not in {*gateways}:
                raise ValueError(f"no gateway {name!r}")
            found[name] = name, "gateway", (name,)
            continue
        tags = {
            "engine": [name] if name in listed else [],
            "machine": [*machines.get(name, ())],
            "hall": [tag for tag, zone in listed.items() if zone == name],
        }.get(kind)
        if tags is None:
            raise ValueError(f"expected engine, machine, hall or gateway, found {kind!r}")
        if not tags:
            raise ValueError(f"no {kind} {name!r}")
        for tag in sorted(tags):
            machine = shared.get(tag)
            members = (
                tuple(sorted(each for each in machines[machine] if each in listed or each == tag))
                if machine
                else (tag,)
            )
            found[machine or tag] = machine or tag, "engine", members
    return [*found.values()]

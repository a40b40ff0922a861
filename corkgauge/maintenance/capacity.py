"""Which engines and gateways may be out of service at once: the limits, and the check against them.

Free of I/O and of clocks: the same facts give the same answer at every gateway. What is not known
counts as loaded.

Request classes that may use different engines compete for them, so for every set of classes its
demand has to fit on the engines that any of the set may use; that is what Hall's marriage condition
(1935) asks of such an assignment.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from itertools import combinations
from typing import NamedTuple

MAX_CLASS_GROUPS_EXHAUSTIVE = (
    12  # groups of alike classes of which every set is checked: 4,095 sets
)
MAX_SET_SIZE = 3  # of more groups, sets up to this size, and all together
NEVER_TICKS = 2**62  # a due time that does not come
ROUNDING_TOLERANCE_CORES = 1e-9  # by which a sum of cores may be off


class EngineCondition(IntEnum):
    """How an engine counts.

    IMPAIRED passes by itself: ejected, warming up, or not seen healthy yet.
    """

    HEALTHY = 0
    IMPAIRED = 1
    DEAD = 2


@dataclass(frozen=True, slots=True)
class EngineFact:
    """An engine as the planner knows it.

    `group` is where idempotency keys are remembered together; None: everywhere.
    """

    tag: str
    zone: str
    kind: str
    group: str | None
    cores: float
    condition: EngineCondition = EngineCondition.HEALTHY


@dataclass(frozen=True, slots=True)
class GatewayStatus:
    """A gateway as the member list knows it; `has_left` after it ended in order."""

    zone: str
    is_alive: bool
    has_left: bool


@dataclass(frozen=True, slots=True)
class RequestClassDemand:
    """A request class, and the cores that it needs now. No zones or no kinds: any."""

    name: str
    zones: frozenset[str]
    kinds: frozenset[str]
    cores: float

    def can_use(self, zone: str, kind: str) -> bool:
        """Whether engines of that zone and kind may serve it."""
        return (not self.zones or zone in self.zones) and (not self.kinds or kind in self.kinds)


@dataclass(frozen=True, slots=True)
class WaitingUnit:
    """A unit that waits to go out.

    `due_ticks` is maintenance time, `duration_ticks` the span of its work (both tenths of a
    millisecond); `passed` is how many units asked later went before it, `place` its turn among all
    that were asked.
    """

    name: str
    members: tuple[str, ...]
    duration_ticks: int
    due_ticks: int = NEVER_TICKS
    times_overtaken: int = 0
    queue_position: int = 0
    is_gateway: bool = False


@dataclass(frozen=True, slots=True)
class DisruptionLimits:
    """The operators' limits, in the order of the operator file's tuple.

    Engines at once; the parts of all cores, of a zone's and of a kind's that may be out; the part
    of the cores left that demand may fill; engines left for each request class; gateways of one
    zone at once.
    """

    max_engines: int = 4
    max_cores_fraction: float = 0.25
    max_zone_fraction: float = 0.5
    max_kind_fraction: float = 0.5
    usable_fraction: float = 0.7
    min_engines_per_class: int = 1
    max_gateways_per_zone: int = 1


class _CoresLimit(NamedTuple):
    """A limit on the cores out of each set of engines that `engine_set_of` names alike."""

    label: str
    max_share: float
    engine_set_of: Callable[[EngineFact], str]


@dataclass(slots=True)
class _CoresOut:
    """Cores of one set of engines: all of them, those out, and how many engines those are."""

    total: float = 0.0
    out: float = 0.0
    engines_out: int = 0


@dataclass(slots=True)
class CapacitySnapshot:
    """All facts of one moment, and the checks on them.

    `taken_engines` are those that the plan has taken, `gateways` the zone of each gateway,
    `unavailable_gateways` those taken or not alive, `voters` those whose majority has to stay.
    `gateways_of_unknown_load` names gateways only where the load of none is known.
    """

    limits: DisruptionLimits
    engines: Mapping[str, EngineFact]
    request_classes: Sequence[RequestClassDemand]
    taken_engines: set[str] = field(default_factory=set)
    gateways: Mapping[str, str] = field(default_factory=dict)
    unavailable_gateways: set[str] = field(default_factory=set)
    voters: Sequence[str] = ()
    gateways_of_unknown_load: Sequence[str] = ()

    def unavailable_engines(self) -> set[str]:
        """Return what counts as out: taken by the plan, dead, or impaired for the moment."""
        return self.taken_engines | {
            tag
            for tag, engine in self.engines.items()
            if engine.condition != EngineCondition.HEALTHY
        }

    def find_wait_reason(self, unit: WaitingUnit, with_load: bool = True) -> str:
        """Why the unit may not go out now; empty: it may.

        Without the load only what no lull would change is looked at.
        """
        if unit.is_gateway:
            return self._gateway_wait_reason(unit)
        for tag in unit.members:
            if tag not in self.engines:
                return f"{tag} is not in the list"
        before = self.unavailable_engines()
        after = before | {*unit.members}
        # A dead engine gives nothing that its maintenance could take; held back by the limits it
        # would stay dead.
        if after == before and self._are_all_dead(unit.members):
            return ""
        wait_reason = self._limit_wait_reason(after) or self._remaining_engines_wait_reason(
            after, before
        )
        if wait_reason or not with_load:
            return wait_reason
        return self._load_wait_reason(after)

    def _are_all_dead(self, tags: Iterable[str]) -> bool:
        return all(self.engines[tag].condition == EngineCondition.DEAD for tag in tags)

    def _gateway_wait_reason(self, unit: WaitingUnit) -> str:
        name = unit.members[0]
        if name not in self.gateways:
            return f"no gateway {name}"
        zone = self.gateways[name]
        others = [each for each in self.unavailable_gateways if each != name]
        out_of_zone = sum(self.gateways.get(each) == zone for each in others)
        allowed = self.limits.max_gateways_per_zone
        if out_of_zone >= allowed:
            return f"{allowed} of hall {zone or '-'} at once, {' '.join(sorted(others))} away"
        voters_left = sum(each != name and each not in others for each in self.voters)
        if name in self.voters and voters_left < len(self.voters) // 2 + 1:
            return f"{voters_left} of {len(self.voters)} voters would be left"
        return ""

    def _limit_wait_reason(self, out: set[str]) -> str:
        limits = self.limits
        if len(out) > limits.max_engines:
            return f"{len(out)} would be out, {limits.max_engines} at once"
        for limit in (
            _CoresLimit("", limits.max_cores_fraction, lambda engine: ""),
            _CoresLimit("hall ", limits.max_zone_fraction, lambda engine: engine.zone),
            _CoresLimit("kind ", limits.max_kind_fraction, lambda engine: engine.kind),
        ):
            wait_reason = self._cores_wait_reason(limit, out)
            if wait_reason:
                return wait_reason
        return ""

    def _cores_wait_reason(self, limit: _CoresLimit, out: set[str]) -> str:
        by_set: dict[str, _CoresOut] = defaultdict(_CoresOut)
        for tag, engine in self.engines.items():
            cores = by_set[limit.engine_set_of(engine)]
            cores.total += engine.cores
            if tag in out:
                cores.out += engine.cores
                cores.engines_out += 1
        for name, cores in sorted(by_set.items(), key=lambda item: item[0]):
            # A share of less than one engine allows one: else no engine of a small set could ever
            # be worked on.
            allowed = limit.max_share * cores.total + ROUNDING_TOLERANCE_CORES
            if cores.out > allowed and cores.engines_out > 1:
                return (
                    f"{limit.label}{name or 'all'}: {cores.out:g} of {cores.total:g} cores "
                    f"would be out, {limit.max_share:g} of them at most"
                )
        return ""

    def _remaining_engines_wait_reason(self, out: set[str], before: set[str]) -> str:
        left = [engine for tag, engine in self.engines.items() if tag not in out]
        required = self.limits.min_engines_per_class
        for request_class in self.request_classes:
            able = sum(request_class.can_use(engine.zone, engine.kind) for engine in left)
            if able < required:
                return (
                    f"offering {request_class.name}: {able} engines left for it, "
                    f"{required} at least"
                )
        return self._group_wait_reason(out, before)

    def _group_wait_reason(self, out: set[str], before: set[str]) -> str:
        groups: dict[str, list[str]] = {}
        for tag, engine in self.engines.items():
            if engine.group is not None:
                groups.setdefault(engine.group, []).append(tag)
        for name, tags in sorted(groups.items()):
            # What may have run in a group may be tried again only there, so one engine of it has to
            # stay. One alone in its group may go once no key is open there: its gateways say so.
            goes_out_whole = all(tag in out for tag in tags)
            was_out_whole = all(tag in before for tag in tags)
            if len(tags) > 1 and goes_out_whole and not was_out_whole:
                return f"group {name}: none would be left where its marks are known"
        return ""

    def _load_wait_reason(self, out: set[str]) -> str:
        unknown = self.gateways_of_unknown_load
        if unknown:
            return f"load of {' '.join(sorted(unknown)[:3])} not known"
        return self.find_overload(out)

    def find_overload(self, out: set[str]) -> str:
        """Which demand does not fit on the engines left when these are out; empty: all does."""
        cores_left = self._cores_left(out)
        groups = self._class_groups()
        usable_fraction = self.limits.usable_fraction
        for indexes in _index_sets(len(groups)):
            chosen = [groups[n] for n in indexes]
            needed = sum(each.cores for group in chosen for each in group)
            able = sum(
                cores
                for (zone, kind), cores in cores_left.items()
                if any(group[0].can_use(zone, kind) for group in chosen)
            )
            if needed > usable_fraction * able + ROUNDING_TOLERANCE_CORES:
                names = sorted(each.name for group in chosen for each in group)
                return (
                    f"{' '.join(names[:3])}: {needed:.1f} cores needed, "
                    f"{usable_fraction:g} of {able:g} left"
                )
        return ""

    def _cores_left(self, out: set[str]) -> dict[tuple[str, str], float]:
        """Cores that are not out, by zone and kind."""
        cores: dict[tuple[str, str], float] = {}
        for tag, engine in self.engines.items():
            if tag not in out:
                key = engine.zone, engine.kind
                cores[key] = cores.get(key, 0.0) + engine.cores
        return cores

    def _class_groups(self) -> list[list[RequestClassDemand]]:
        """Group request classes that need cores by the engines they may use; ordered by name."""
        groups: dict[tuple[frozenset[str], frozenset[str]], list[RequestClassDemand]] = {}
        for request_class in self.request_classes:
            if request_class.cores > 0:
                key = request_class.zones, request_class.kinds
                groups.setdefault(key, []).append(request_class)
        return sorted(groups.values(), key=lambda group: min(each.name for each in group))


def _index_sets(count: int) -> Iterable[tuple[int, ...]]:
    """Yield the sets of `count` groups that are checked: all, or the small ones and the total.

    >>> [*_index_sets(2)]
    [(0,), (1,), (0, 1)]
    """
    is_exhaustive = count <= MAX_CLASS_GROUPS_EXHAUSTIVE
    largest = count if is_exhaustive else MAX_SET_SIZE
    for size in range(1, largest + 1):
        yield from combinations(range(count), size)
    if not is_exhaustive:
        yield tuple(range(count))

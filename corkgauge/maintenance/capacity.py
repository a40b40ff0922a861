"""Checks which engines and gateways may be out of service at once under the disruption limits.

Free of I/O and of clocks: the same input gives the same result on every gateway. Unknown load
counts as high load.

Request classes that may use different engines compete for the engines that they share. The demand
of every set of classes therefore has to fit on the engines that any class of the set may use; this
is the condition of Hall's marriage theorem (1935) for such an assignment.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from itertools import combinations
from typing import NamedTuple

# Class groups up to which every set of groups is checked; 12 groups have 4,095 sets. With more
# groups, sets of up to MAX_SET_SIZE groups are checked, and the set of all groups.
MAX_CLASS_GROUPS_EXHAUSTIVE = 12
MAX_SET_SIZE = 3
NEVER_TICKS = 2**62  # due time of a request without a due time
ROUNDING_TOLERANCE_CORES = 1e-9  # rounding error allowed in sums of cores


class EngineCondition(IntEnum):
    """Condition of an engine for the capacity check.

    IMPAIRED engines recover without maintenance: they are warming up, or ejected by this gateway or
    by enough others (MIN_EJECTION_REPORTER_COUNT). Engines that are not ready are DEAD.
    """

    HEALTHY = 0
    IMPAIRED = 1
    DEAD = 2


@dataclass(frozen=True, slots=True)
class EngineFact:
    """An engine as known to the planner.

    `group` names the engines that share a memory of idempotency keys. None means that the keys are
    known on every engine.
    """

    tag: str
    zone: str
    kind: str
    group: str | None
    cores: float
    condition: EngineCondition = EngineCondition.HEALTHY


@dataclass(frozen=True, slots=True)
class GatewayStatus:
    """A gateway in the member list; `has_left` is set after an orderly shutdown."""

    zone: str
    is_alive: bool
    has_left: bool


@dataclass(frozen=True, slots=True)
class RequestClassDemand:
    """A request class and the cores that it needs now.

    Empty `zones` allow every zone, empty `kinds` every engine kind.
    """

    name: str
    zones: frozenset[str]
    kinds: frozenset[str]
    cores: float

    def can_use(self, zone: str, kind: str) -> bool:
        """Whether engines of that zone and kind may serve the request class."""
        return (not self.zones or zone in self.zones) and (not self.kinds or kind in self.kinds)


@dataclass(frozen=True, slots=True)
class WaitingUnit:
    """A unit that waits for a grant.

    `due_ticks` is a maintenance time and `duration_ticks` the time that the work takes.
    `times_overtaken` counts the later units that were granted before this unit; `queue_position` is
    the position of the unit in the order of requests.
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
    """The operators' limits; the order of the fields is that of the tuple in the operator file.

    `max_engines` limits the engines that are out at once. `max_cores_fraction`,
    `max_zone_fraction` and `max_kind_fraction` limit the cores that are out, as a fraction of all
    cores, of the cores of a zone and of the cores of an engine kind. `usable_fraction` is the
    fraction of the remaining cores that the demand may use. `min_engines_per_class` engines must
    remain for each request class. `max_gateways_per_zone` limits the gateways of one zone that are
    out at once.
    """

    max_engines: int = 4
    max_cores_fraction: float = 0.25
    max_zone_fraction: float = 0.5
    max_kind_fraction: float = 0.5
    usable_fraction: float = 0.7
    min_engines_per_class: int = 1
    max_gateways_per_zone: int = 1


class _CoresLimit(NamedTuple):
    """A limit on the cores that are out in each set of engines.

    Engines with the same result of `engine_set_of` form one set.
    """

    label: str
    max_share: float
    engine_set_of: Callable[[EngineFact], str]


@dataclass(slots=True)
class _CoresOut:
    """Cores of one set of engines: total cores, cores out, and the number of engines out."""

    total: float = 0.0
    out: float = 0.0
    engines_out: int = 0


@dataclass(slots=True)
class CapacitySnapshot:
    """The state of the fleet at one moment, and the capacity checks on it.

    `taken_engines` are the engines that the plan has taken, `gateways` maps each gateway to its
    zone, `unavailable_gateways` are the gateways that are taken or not alive, and `voters` are the
    gateways of which a majority has to stay available. `gateways_of_unknown_load` is empty unless
    the load of every gateway is unknown.
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
        """Return the engines that count as out: taken by the plan, dead or impaired."""
        return self.taken_engines | {
            tag
            for tag, engine in self.engines.items()
            if engine.condition != EngineCondition.HEALTHY
        }

    def find_wait_reason(self, unit: WaitingUnit, with_load: bool = True) -> str:
        """Return why the unit cannot go out now; empty if the unit can go out.

        With `with_load` False, only the limits are checked that do not depend on the current load.
        """
        if unit.is_gateway:
            return self._gateway_wait_reason(unit)
        for tag in unit.members:
            if tag not in self.engines:
                return f"{tag} is not in the list"
        before = self.unavailable_engines()
        after = before | {*unit.members}
        # Maintenance of a dead engine removes no capacity. Without this exception the limits could
        # prevent the repair of a dead engine.
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
            return (
                f"at most {allowed} gateways of hall {zone or '-'} may be out at once; "
                f"unavailable gateways of all halls: {' '.join(sorted(others))}"
            )
        voters_left = sum(each != name and each not in others for each in self.voters)
        if name in self.voters and voters_left < len(self.voters) // 2 + 1:
            return f"{voters_left} of {len(self.voters)} voters would be left"
        return ""

    def _limit_wait_reason(self, out: set[str]) -> str:
        limits = self.limits
        if len(out) > limits.max_engines:
            return (
                f"{len(out)} engines would be out or not healthy, the limit is {limits.max_engines}"
            )
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
            # One engine may always be out, even if it exceeds the fraction. Otherwise no engine of
            # a small set could ever be maintained.
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
                    f"{required} required"
                )
        return self._group_wait_reason(out, before)

    def _group_wait_reason(self, out: set[str], before: set[str]) -> str:
        groups: dict[str, list[str]] = {}
        for tag, engine in self.engines.items():
            if engine.group is not None:
                groups.setdefault(engine.group, []).append(tag)
        for name, tags in sorted(groups.items()):
            # Requests that may have run in a group may be retried only in that group, so one of its
            # engines must stay. The only engine of a group may go out once no idempotency key is
            # open there, which every gateway confirms when the gateway closes the engine.
            goes_out_whole = all(tag in out for tag in tags)
            was_out_whole = all(tag in before for tag in tags)
            if len(tags) > 1 and goes_out_whole and not was_out_whole:
                return f"group {name}: no engine that knows its idempotency keys would be left"
        return ""

    def _load_wait_reason(self, out: set[str]) -> str:
        unknown = self.gateways_of_unknown_load
        if unknown:
            return f"load of {' '.join(sorted(unknown)[:3])} not known"
        return self.find_overload(out)

    def find_overload(self, out: set[str]) -> str:
        """Return which demand does not fit on the engines left without `out`; empty if all fits."""
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
        """Return the cores that are not out, by zone and engine kind."""
        cores: dict[tuple[str, str], float] = {}
        for tag, engine in self.engines.items():
            if tag not in out:
                key = engine.zone, engine.kind
                cores[key] = cores.get(key, 0.0) + engine.cores
        return cores

    def _class_groups(self) -> list[list[RequestClassDemand]]:
        """Group the request classes with demand by the engines they may use, ordered by name."""
        groups: dict[tuple[frozenset[str], frozenset[str]], list[RequestClassDemand]] = {}
        for request_class in self.request_classes:
            if request_class.cores > 0:
                key = request_class.zones, request_class.kinds
                groups.setdefault(key, []).append(request_class)
        return sorted(groups.values(), key=lambda group: min(each.name for each in group))


def _index_sets(count: int) -> Iterable[tuple[int, ...]]:
    """Yield the sets of `count` groups to check: every set, or small sets and the set of all.

    >>> [*_index_sets(2)]
    [(0,), (1,), (0, 1)]
    """
    is_exhaustive = count <= MAX_CLASS_GROUPS_EXHAUSTIVE
    largest = count if is_exhaustive else MAX_SET_SIZE
    for size in range(1, largest + 1):
        yield from combinations(range(count), size)
    if not is_exhaustive:
        yield tuple(range(count))

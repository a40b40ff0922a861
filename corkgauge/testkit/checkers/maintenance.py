"""The maintenance checker: what was worked on, when, what reached machines meanwhile, and whether that may be.

Stands outside and is free of I/O: never asks a gateway what it holds. The crew's own records, the
engines' records and the limits are all it knows.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class MaintenanceRecord:
    """One unit's work, as the crew did it. Times are tenths of a millisecond of the rig's clock; -1: still on."""

    unit: str
    request_id: str
    members: tuple[str, ...]
    begun: int
    ended: int = -1


@dataclass(frozen=True, slots=True)
class MaintenanceLimits:
    """What was agreed with the operators: engines at once, parts of all cores, of a zone's, of a kind's, and the kinds
    of which so many engines must be left for a request class.
    """

    max_engines: int
    max_share: float = 1.0
    max_zone_share: float = 1.0
    max_kind_share: float = 1.0
    min_engines_by_kind: Mapping[str, int] = field(default_factory=dict)


def find_maintenance_violations(
    works: Iterable[MaintenanceRecord],
    runs: Iterable[tuple[int, str, str]],
    engines: Mapping[str, tuple[str, str, float]],
    limits: MaintenanceLimits,
    slack: int = 0,
) -> list[str]:
    """All that must never be. `runs` are attempts as they came: (when, engine, which); `engines` (zone, kind, cores).

    >>> engines = {"e1": ("a", "c8", 8.0), "e2": ("a", "c8", 8.0), "e3": ("b", "c8", 8.0)}
    >>> works = [MaintenanceRecord("e1", "x", ("e1",), 10, 50), MaintenanceRecord("e2", "y", ("e2",), 30, 60)]
    >>> find_maintenance_violations(works, [(20, "e1", "t7"), (55, "e1", "t8")], engines, MaintenanceLimits(2))
    ['t7 came to e1 10 after its work had begun']
    >>> find_maintenance_violations(works, [], engines, MaintenanceLimits(1))
    ['2 engines at work at once (e1 e2), 1 allowed']
    >>> find_maintenance_violations(works, [], engines, MaintenanceLimits(3, max_zone_share=0.5))
    ['hall a: 16 of 16 cores at work at once, 0.5 of them allowed']
    >>> find_maintenance_violations([*works, MaintenanceRecord("e1", "x", ("e1",), 70, 80)], [], engines, MaintenanceLimits(3))
    ['e1 of x was worked on twice']
    """
    works, found = sorted(works, key=lambda each: each.begun), list[str]()
    seen: set[tuple[str, str]] = set()
    for work in works:
        if (work.unit, work.request_id) in seen:
            found.append(f"{work.unit} of {work.request_id} was worked on twice")
        seen.add((work.unit, work.request_id))
    for work in works:
        at_once = {
            tag
            for each in works
            if each.begun <= work.begun and (each.ended < 0 or each.ended > work.begun)
            for tag in each.members
            if tag in engines
        }
        found += _find_capacity_violations(at_once, engines, limits)
    by_engine: dict[str, list[MaintenanceRecord]] = {}
    for work in works:
        for tag in work.members:
            by_engine.setdefault(tag, []).append(work)
    for when, engine, which in runs:
        for work in by_engine.get(engine, ()):
            if work.begun + slack < when and (work.ended < 0 or when < work.ended):
                found.append(
                    f"{which} came to {engine} {when - work.begun} after its work had begun"
                )
    return [*dict.fromkeys(found)]


def _find_capacity_violations(
    tags: set[str], engines: Mapping[str, tuple[str, str, float]], limits: MaintenanceLimits
) -> list[str]:
    found = []
    if len(tags) > limits.max_engines:
        found.append(
            f"{len(tags)} engines at work at once ({' '.join(sorted(tags))}), {limits.max_engines} allowed"
        )
    for what, at, part in (
        ("", None, limits.max_share),
        ("hall ", 0, limits.max_zone_share),
        ("kind ", 1, limits.max_kind_share),
    ):
        names = {"" if at is None else engines[tag][at] for tag in tags}
        for name in sorted(names):
            of = [tag for tag, each in engines.items() if at is None or each[at] == name]
            gone = [tag for tag in of if tag in tags]
            cores, whole = (sum(engines[tag][2] for tag in some) for some in (gone, of))
            if len(gone) > 1 and cores > part * whole + 1e-9:
                found.append(
                    f"{what}{name or 'all'}: {cores:g} of {whole:g} cores at work at once, "
                    f"{part:g} of them allowed"
                )
    for kind, least in limits.min_engines_by_kind.items():
        left = sum(each[1] == kind and tag not in tags for tag, each in engines.items())
        if left < least:
            found.append(f"kind {kind}: {left} engines left, {least} at least")
    return found

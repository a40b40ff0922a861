"""Checks that no engine received attempts during its maintenance, and that the limits were kept.

Free of I/O. Must never ask a gateway for its state: the checker uses only the records of the
maintenance crew, the records of the engines, and the limits.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class MaintenanceRecord:
    """Records the work on one unit, as the maintenance crew did it.

    Times are in ticks of the event loop; `ended` is -1 while the work is in progress.
    """

    unit: str
    request_id: str
    members: tuple[str, ...]
    begun: int
    ended: int = -1


@dataclass(frozen=True, slots=True)
class MaintenanceLimits:
    """Limits the maintenance that may be in progress at once, as agreed with the operators.

    The shares are fractions of the cores of all engines, of a zone, and of an engine kind.
    `min_engines_by_kind` is the number of engines of a kind that a request class needs.
    """

    max_engines: int
    max_share: float = 1.0
    max_zone_share: float = 1.0
    max_kind_share: float = 1.0
    min_engines_by_kind: Mapping[str, int] = field(default_factory=dict)


def find_maintenance_violations(
    works: Iterable[MaintenanceRecord],
    attempts: Iterable[tuple[int, str, str]],
    engines: Mapping[str, tuple[str, str, float]],
    limits: MaintenanceLimits,
    slack: int = 0,
) -> list[str]:
    """Return the violated limits, and the attempts that reached an engine during its maintenance.

    `attempts` holds the time, engine and description of each received attempt, and `engines` the
    zone, kind and number of cores of each engine. Attempts may arrive until `slack` ticks after the
    start of the work, because they may have been on their way.

    >>> engines = {"e1": ("a", "c8", 8.0), "e2": ("a", "c8", 8.0), "e3": ("b", "c8", 8.0)}
    >>> works = [
    ...     MaintenanceRecord("e1", "x", ("e1",), 10, 50),
    ...     MaintenanceRecord("e2", "y", ("e2",), 30, 60),
    ... ]
    >>> find_maintenance_violations(
    ...     works, [(20, "e1", "t7"), (55, "e1", "t8")], engines, MaintenanceLimits(2)
    ... )
    ['t7 came to e1 10 after its work had begun']
    >>> find_maintenance_violations(works, [], engines, MaintenanceLimits(1))
    ['2 engines at work at once (e1 e2), 1 allowed']
    >>> find_maintenance_violations(works, [], engines, MaintenanceLimits(3, max_zone_share=0.5))
    ['hall a: 16 of 16 cores at work at once, 0.5 of them allowed']
    >>> find_maintenance_violations(
    ...     [*works, MaintenanceRecord("e1", "x", ("e1",), 70, 80)],
    ...     [],
    ...     engines,
    ...     MaintenanceLimits(3),
    ... )
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
    for received_at, engine, description in attempts:
        for work in by_engine.get(engine, ()):
            if work.begun + slack < received_at and (work.ended < 0 or received_at < work.ended):
                found.append(
                    f"{description} came to {engine} {received_at - work.begun} "
                    "after its work had begun"
                )
    return [*dict.fromkeys(found)]


def _find_capacity_violations(
    tags: set[str], engines: Mapping[str, tuple[str, str, float]], limits: MaintenanceLimits
) -> list[str]:
    """Return the limits that maintenance of these engines at once exceeds."""
    found = []
    if len(tags) > limits.max_engines:
        found.append(
            f"{len(tags)} engines at work at once ({' '.join(sorted(tags))}), "
            f"{limits.max_engines} allowed"
        )
    for label, index, share in (
        ("", None, limits.max_share),
        ("hall ", 0, limits.max_zone_share),
        ("kind ", 1, limits.max_kind_share),
    ):
        names = {"" if index is None else engines[tag][index] for tag in tags}
        for name in sorted(names):
            group = [tag for tag, each in engines.items() if index is None or each[index] == name]
            under_maintenance = [tag for tag in group if tag in tags]
            cores, total_cores = (
                sum(engines[tag][2] for tag in some) for some in (under_maintenance, group)
            )
            # A single engine may exceed the share of its group.
            if len(under_maintenance) > 1 and cores > share * total_cores + 1e-9:
                found.append(
                    f"{label}{name or 'all'}: {cores:g} of {total_cores:g} cores at work at once, "
                    f"{share:g} of them allowed"
                )
    for kind, min_count in limits.min_engines_by_kind.items():
        left = sum(each[1] == kind and tag not in tags for tag, each in engines.items())
        if left < min_count:
            found.append(f"kind {kind}: {left} engines left, expected at least {min_count}")
    return found

"""The maintenance checker: what was worked on, when, what reached machines meanwhile, and whether that may be.

Stands outside and is free of I/O: never asks a gateway what it holds. The crew's own records, the
engines' records and the limits are all it knows.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class Work:
    """One unit's work, as the crew did it. Times are tenths of a millisecond of the rig's clock; -1: still on."""

    unit: str
    ask: str
    members: tuple[str, ...]
    begun: int
    ended: int = -1


@dataclass(frozen=True, slots=True)
class Limits:
    """What was agreed with the operators: engines at once, parts of all cores, of a zone's, of a kind's, and the kinds
    of which so many engines must be left for a request class.
    """

    most: int
    share: float = 1.0
    zone: float = 1.0
    kind: float = 1.0
    least: Mapping[str, int] = field(default_factory=dict)


def wrong(
    works: Iterable[Work],
    runs: Iterable[tuple[int, str, str]],
    engines: Mapping[str, tuple[str, str, float]],
    limits: Limits,
    slack: int = 0,
) -> list[str]:
    """All that must never be. `runs` are attempts as they came: (when, engine, which); `engines` (zone, kind, cores).

    >>> engines = {"e1": ("a", "c8", 8.0), "e2": ("a", "c8", 8.0), "e3": ("b", "c8", 8.0)}
    >>> works = [Work("e1", "x", ("e1",), 10, 50), Work("e2", "y", ("e2",), 30, 60)]
    >>> wrong(works, [(20, "e1", "t7"), (55, "e1", "t8")], engines, Limits(2))
    ['t7 came to e1 10 after its work had begun']
    >>> wrong(works, [], engines, Limits(1))
    ['2 engines at work at once (e1 e2), 1 allowed']
    >>> wrong(works, [], engines, Limits(3, zone=0.5))
    ['hall a: 16 of 16 cores at work at once, 0.5 of them allowed']
    >>> wrong([*works, Work("e1", "x", ("e1",), 70, 80)], [], engines, Limits(3))
    ['e1 of x was worked on twice']
    """
    works, found = sorted(works, key=lambda each: each.begun), list[str]()
    seen: set[tuple[str, str]] = set()
    for work in works:
        if (work.unit, work.ask) in seen:
            found.append(f"{work.unit} of {work.ask} was worked on twice")
        seen.add((work.unit, work.ask))
    for work in works:
        at_once = {
            tag
            for each in works
            if each.begun <= work.begun and (each.ended < 0 or each.ended > work.begun)
            for tag in each.members
            if tag in engines
        }
        found += _over(at_once, engines, limits)
    by_engine: dict[str, list[Work]] = {}
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


def _over(
    tags: set[str], engines: Mapping[str, tuple[str, str, float]], limits: Limits
) -> list[str]:
    found = []
    if len(tags) > limits.most:
        found.append(
            f"{len(tags)} engines at work at once ({' '.join(sorted(tags))}), {limits.most} allowed"
        )
    for what, at, part in (
        ("", None, limits.share),
        ("hall ", 0, limits.zone),
        ("kind ", 1, limits.kind),
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
    for kind, least in limits.least.items():
        left = sum(each[1] == kind and tag not in tags for tag, each in engines.items())
        if left < least:
            found.append(f"kind {kind}: {left} engines left, {least} at least")
    return found

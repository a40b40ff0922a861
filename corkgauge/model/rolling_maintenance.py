"""A fleet taken through work, simulated at sizes that sockets do not reach: the real order within limits, against what
operators do without it.

Owns a fluid day: demand that goes up and down, engines that are away, cold or fail by chance, and
what is not carried. Must never decide what goes out where the order does. Its figures say how
orders compare, not what a fleet earns.
"""

from dataclasses import dataclass
from typing import Any

from corkgauge.maintenance.capacity import (
    CapacitySnapshot,
    DisruptionLimits,
    EngineCondition,
    EngineFact,
    RequestClassDemand,
    WaitingUnit,
)
from corkgauge.maintenance.schedule import select_grants
from corkgauge.testkit.seeded_random import SeededRandom

STEP_SECONDS = 10  # seconds
LASTING_SECONDS, WARM_UP_SECONDS = (
    600,
    20,
)  # of one engine's work; cold, it gives WARM_UP_SHARE of its cores
WARM_UP_SHARE = 0.33
FAILURES_PER_SECOND = 3e-6  # a second, of each engine by itself; back after REPAIR_SECONDS seconds
REPAIR_SECONDS = 1_200
POLICIES = "works", "alone", "fixed", "counted"
# Request classes: priority weight a core-second, part of all demand, kinds that may serve it.
REQUEST_CLASSES = ("lookup", 3.0, 0.45, ()), ("report", 2.0, 0.3, ("c12",)), ("load", 1.0, 0.25, ())


@dataclass(slots=True)
class Machine:
    """One engine: away, failed or cold until then, in seconds."""

    tag: str
    zone: str
    kind: str
    cores: float
    away_until: int = -1
    failed_until: int = -1
    warm_at: int = 0
    done: bool = False

    def condition(self, now: int) -> EngineCondition:
        if now < self.failed_until:
            return EngineCondition.DEAD
        return EngineCondition.IMPAIRED if now < self.warm_at else EngineCondition.HEALTHY

    def usable_cores(self, now: int) -> float:
        if now < max(self.away_until, self.failed_until):
            return 0.0
        return self.cores * (WARM_UP_SHARE if now < self.warm_at else 1.0)


class Night:
    """`policy` is one of POLICIES: the order with its limits; as many operators as zones, each by himself, an engine
    after the other; a fixed number in a fixed order, whatever the load; all that the limits by
    count allow. `peak` is the largest demand, as a part of all cores.
    """

    def __init__(
        self, seed: int, engines: int, policy: str, peak: float = 0.97, low: float = 0.55
    ) -> None:
        self.chance, self.policy, self.now = SeededRandom(seed), policy, 0
        self.machines = [
            Machine(f"e{n}", f"hall-{n % 4}", ("c8", "c12")[n // 4 % 2], (8.0, 12.0)[n // 4 % 2])
            for n in range(engines)
        ]
        self.cores = sum(each.cores for each in self.machines)
        self.peak, self.low = peak, low
        self.limits = DisruptionLimits(max(engines // 8, 2), 0.25, 0.5, 0.5, 0.9)
        self.earned = self.possible = self.worst = 0.0
        self.worst_by: dict[str, float] = {}
        self.jitter = 1.0
        self.phase = self.chance.below(21_600)  # when it begins

    def run(self, most: int = 40 * 3600) -> dict[str, Any]:
        while any(not each.done for each in self.machines) and self.now < most:
            self._one()
            self.now += STEP_SECONDS
        over = self.now
        return {
            "policy": self.policy,
            "hours": round(over / 3600, 2),
            "lost": 1 - self.earned / self.possible,
            "worst": self.worst,
            "worst_by": self.worst_by,
        }

    def demand(self) -> list[float]:
        """Cores by request class now: half a day up and down, bursts by chance."""
        part = (self.now + self.phase) % 21_600 / 21_600
        level = self.low + (self.peak - self.low) * (1 - abs(2 * part - 1))
        if self.chance.happens(0.002):
            self.jitter = 1.25  # a burst, which fades
        self.jitter = 1 + (self.jitter - 1) * 0.97
        return [share * level * self.jitter * self.cores for _, _, share, _ in REQUEST_CLASSES]

    def _one(self) -> None:
        now = self.now
        for each in self.machines:
            if self.chance.happens(FAILURES_PER_SECOND * STEP_SECONDS) and now >= each.away_until:
                each.failed_until, each.warm_at = (
                    now + REPAIR_SECONDS,
                    now + REPAIR_SECONDS + WARM_UP_SECONDS,
                )
            if 0 <= each.away_until <= now and not each.done:
                each.done, each.warm_at = True, now + WARM_UP_SECONDS
        demand = self.demand()
        for each in self._chosen(demand):
            each.away_until = now + int(LASTING_SECONDS * (0.7 + 0.6 * self.chance.uniform()))
        self._account(demand)

    def _chosen(self, demand: list[float]) -> list[Machine]:
        now = self.now
        waiting = [each for each in self.machines if not each.done and each.away_until < 0]
        away = [each for each in self.machines if each.away_until > now]
        if self.policy == "alone":
            busy = {each.zone for each in away}
            return [
                *{each.zone: each for each in reversed(waiting) if each.zone not in busy}.values()
            ]
        if self.policy in ("fixed", "counted"):
            room = max(
                (len(self.machines) // 16 if self.policy == "fixed" else self.limits.max_engines)
                - len(away),
                0,
            )
            return waiting[:room]
        engines = {
            each.tag: EngineFact(
                each.tag, each.zone, each.kind, None, each.cores, each.condition(now)
            )
            for each in self.machines
        }
        request_classes = [
            RequestClassDemand(name, frozenset(), frozenset(kinds), cores)
            for (name, _, _, kinds), cores in zip(REQUEST_CLASSES, demand)
        ]
        snapshot = CapacitySnapshot(
            self.limits, engines, request_classes, {each.tag for each in away}
        )
        if snapshot.find_overload(snapshot.unavailable_engines()):
            return []
        waiting_units = [
            WaitingUnit(each.tag, (each.tag,), LASTING_SECONDS, queue_position=n)
            for n, each in enumerate(waiting)
        ]
        granted = {*select_grants(snapshot, waiting_units).granted}
        return [each for each in waiting if each.tag in granted]

    def _account(self, demand: list[float]) -> None:
        """What can be carried now: the request classes that few engines may serve first, among those the dearest."""
        left: dict[str, float] = {}
        for each in self.machines:
            left[each.kind] = left.get(each.kind, 0.0) + each.usable_cores(self.now)
        carried, possible, lost = 0.0, 0.0, 0.0
        order = sorted(
            range(len(REQUEST_CLASSES)),
            key=lambda n: (not REQUEST_CLASSES[n][3], -REQUEST_CLASSES[n][1]),
        )
        for n in order:
            name, weight, _, kinds = REQUEST_CLASSES[n]
            wanted, rest = demand[n], demand[n]
            for kind in kinds or left:
                takes = min(rest, left[kind])
                left[kind] -= takes
                rest -= takes
            carried += weight * (wanted - rest)
            possible += weight * wanted
            self.worst_by[name] = max(self.worst_by.get(name, 0.0), rest / wanted)
            lost += weight * rest
        self.earned += carried * STEP_SECONDS
        self.possible += possible * STEP_SECONDS
        self.worst = max(self.worst, lost / possible)

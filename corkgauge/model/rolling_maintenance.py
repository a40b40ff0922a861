"""Simulates the maintenance of a whole fleet, in fleets too large for sockets.

Compares the scheduling of the program with what operators do without it. Owns a fluid model of
varying demand, of engines that are in maintenance, warm up or fail at random, and of the demand
that is not served. With the policy of the program, this module must never decide which engines go
into maintenance. The figures compare policies; they do not predict the losses of a real fleet.
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

STEP_SECONDS = 10
MAINTENANCE_SECONDS, WARM_UP_SECONDS = (
    600,
    20,
)  # of one engine; an engine that warms up has WARM_UP_CORE_FRACTION of its cores
WARM_UP_CORE_FRACTION = 0.33
FAILURES_PER_SECOND = 3e-6  # of each engine, independently
REPAIR_SECONDS = 1_200
POLICIES = "scheduled", "alone", "fixed", "counted"
# Name, value per core-second, fraction of the demand, engine kinds that may serve it (empty: all).
REQUEST_CLASSES = ("lookup", 3.0, 0.45, ()), ("report", 2.0, 0.3, ("c12",)), ("load", 1.0, 0.25, ())


@dataclass(slots=True)
class SimulatedEngine:
    """An engine, with the times in seconds at which it returns, is repaired and is warm."""

    tag: str
    zone: str
    kind: str
    cores: float
    maintenance_until: int = -1
    failed_until: int = -1
    warm_at: int = 0
    is_done: bool = False

    def condition(self, now: int) -> EngineCondition:
        """Return the condition of the engine at a time."""
        if now < self.failed_until:
            return EngineCondition.DEAD
        return EngineCondition.IMPAIRED if now < self.warm_at else EngineCondition.HEALTHY

    def usable_cores(self, now: int) -> float:
        """Return the number of cores that serve requests at a time."""
        if now < max(self.maintenance_until, self.failed_until):
            return 0.0
        return self.cores * (WARM_UP_CORE_FRACTION if now < self.warm_at else 1.0)


class MaintenanceRun:
    """Simulates the maintenance of each engine of a fleet once.

    `policy` is one of POLICIES: "scheduled" is the schedule of the program with all its limits;
    with "alone", one operator per zone works on one engine after another; "fixed" takes a fixed
    number of engines in a fixed order, whatever the load; "counted" takes as many as the limit by
    count allows. `peak` and `low` are the largest and the smallest demand, as a fraction of all
    cores.
    """

    def __init__(
        self, seed: int, engines: int, policy: str, peak: float = 0.97, low: float = 0.55
    ) -> None:
        self.random, self.policy, self.now = SeededRandom(seed), policy, 0
        self.engines = [
            SimulatedEngine(
                f"e{index}",
                f"hall-{index % 4}",
                ("c8", "c12")[index // 4 % 2],
                (8.0, 12.0)[index // 4 % 2],
            )
            for index in range(engines)
        ]
        self.cores = sum(engine.cores for engine in self.engines)
        self.peak, self.low = peak, low
        self.limits = DisruptionLimits(max(engines // 8, 2), 0.25, 0.5, 0.5, 0.9)
        self.served_value = self.total_value = self.worst_loss = 0.0
        self.worst_loss_by_class: dict[str, float] = {}
        self.burst_factor = 1.0
        self.phase = self.random.below(21_600)  # start within the demand cycle, in seconds

    def run(self, max_seconds: int = 40 * 3600) -> dict[str, Any]:
        """Simulate until all engines are done, or for `max_seconds`; return the figures."""
        while any(not engine.is_done for engine in self.engines) and self.now < max_seconds:
            self._run_step()
            self.now += STEP_SECONDS
        finished_at = self.now
        return {
            "policy": self.policy,
            "hours": round(finished_at / 3600, 2),
            "lost": 1 - self.served_value / self.total_value,
            "worst": self.worst_loss,
            "worst_by": self.worst_loss_by_class,
        }

    def demand(self) -> list[float]:
        """Return the cores that each request class needs now: a 6 h cycle with random bursts."""
        cycle_fraction = (self.now + self.phase) % 21_600 / 21_600
        level = self.low + (self.peak - self.low) * (1 - abs(2 * cycle_fraction - 1))
        if self.random.happens(0.002):
            self.burst_factor = 1.25  # a burst, which decays
        self.burst_factor = 1 + (self.burst_factor - 1) * 0.97
        return [
            demand_fraction * level * self.burst_factor * self.cores
            for _, _, demand_fraction, _ in REQUEST_CLASSES
        ]

    def _run_step(self) -> None:
        now = self.now
        for engine in self.engines:
            if (
                self.random.happens(FAILURES_PER_SECOND * STEP_SECONDS)
                and now >= engine.maintenance_until
            ):
                engine.failed_until, engine.warm_at = (
                    now + REPAIR_SECONDS,
                    now + REPAIR_SECONDS + WARM_UP_SECONDS,
                )
            if 0 <= engine.maintenance_until <= now and not engine.is_done:
                engine.is_done, engine.warm_at = True, now + WARM_UP_SECONDS
        demand = self.demand()
        for engine in self._select_engines(demand):
            engine.maintenance_until = now + int(
                MAINTENANCE_SECONDS * (0.7 + 0.6 * self.random.uniform())
            )
        self._account(demand)

    def _select_engines(self, demand: list[float]) -> list[SimulatedEngine]:
        now = self.now
        waiting = [
            engine for engine in self.engines if not engine.is_done and engine.maintenance_until < 0
        ]
        in_maintenance = [engine for engine in self.engines if engine.maintenance_until > now]
        if self.policy == "alone":
            busy = {engine.zone for engine in in_maintenance}
            return [
                *{
                    engine.zone: engine for engine in reversed(waiting) if engine.zone not in busy
                }.values()
            ]
        if self.policy in ("fixed", "counted"):
            free_slots = max(
                (len(self.engines) // 16 if self.policy == "fixed" else self.limits.max_engines)
                - len(in_maintenance),
                0,
            )
            return waiting[:free_slots]
        engines = {
            engine.tag: EngineFact(
                engine.tag, engine.zone, engine.kind, None, engine.cores, engine.condition(now)
            )
            for engine in self.engines
        }
        request_classes = [
            RequestClassDemand(name, frozenset(), frozenset(kinds), cores)
            for (name, _, _, kinds), cores in zip(REQUEST_CLASSES, demand)
        ]
        snapshot = CapacitySnapshot(
            self.limits, engines, request_classes, {engine.tag for engine in in_maintenance}
        )
        if snapshot.find_overload(snapshot.unavailable_engines()):
            return []
        waiting_units = [
            WaitingUnit(engine.tag, (engine.tag,), MAINTENANCE_SECONDS, queue_position=index)
            for index, engine in enumerate(waiting)
        ]
        granted = {*select_grants(snapshot, waiting_units).granted}
        return [engine for engine in waiting if engine.tag in granted]

    def _account(self, demand: list[float]) -> None:
        """Account for the served demand of this step.

        Request classes that only some kinds may serve have precedence, then those of higher value.
        """
        free_cores: dict[str, float] = {}
        for engine in self.engines:
            free_cores[engine.kind] = free_cores.get(engine.kind, 0.0) + engine.usable_cores(
                self.now
            )
        served, total, lost = 0.0, 0.0, 0.0
        order = sorted(
            range(len(REQUEST_CLASSES)),
            key=lambda index: (not REQUEST_CLASSES[index][3], -REQUEST_CLASSES[index][1]),
        )
        for index in order:
            name, weight, _, kinds = REQUEST_CLASSES[index]
            required, unserved = demand[index], demand[index]
            for kind in kinds or free_cores:
                taken = min(unserved, free_cores[kind])
                free_cores[kind] -= taken
                unserved -= taken
            served += weight * (required - unserved)
            total += weight * required
            self.worst_loss_by_class[name] = max(
                self.worst_loss_by_class.get(name, 0.0), unserved / required
            )
            lost += weight * unserved
        self.served_value += served * STEP_SECONDS
        self.total_value += total * STEP_SECONDS
        self.worst_loss = max(self.worst_loss, lost / total)

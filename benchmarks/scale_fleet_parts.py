"""Parts of several workload managers that grow with the engines, each by itself in this process: an order of
maintenance, findings.

Owns the worlds that they are played on. Uses processor time alone. Must never call a figure of one
part that of a fleet.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from benchmarks.scaling import measure_slope
from corkgauge.maintenance.capacity import (
    CapacitySnapshot,
    DisruptionLimits,
    EngineCondition,
    EngineFact,
    RequestClassDemand,
    WaitingUnit,
)
from corkgauge.maintenance.schedule import MAX_CHECKED_UNIT_COUNT, select_grants
from corkgauge.peer_health.health_report import Fault
from corkgauge.peer_health.reports import HealthReports

SIZES = [30, 100, 300, 900]
FULL = 1_800
WITNESSES = 20  # workload managers with a finding on each engine: a bad hour, not the fleet
ZONES, KINDS = 5, 3
COMMAND = "python benchmarks/scale.py fleet --rows order,findings"


def spent(method: Callable[[], Any], times: int = 5) -> float:
    """Milliseconds of processor, the mean of some."""
    gc.collect()
    begun = time.process_time()
    for _ in range(times):
        method()
    return 1000 * (time.process_time() - begun) / times


def ground_of(engines: int) -> CapacitySnapshot:
    """Engines over zones and kinds, four query classes that need a third of them; limits that let a tenth go."""
    facts = {
        f"e{n:05}": EngineFact(
            f"e{n:05}",
            f"z{n % ZONES}",
            f"k{n % KINDS}",
            f"z{n % ZONES}",
            8.0,
            EngineCondition.HEALTHY,
        )
        for n in range(engines)
    }
    request_classes = [
        RequestClassDemand(
            f"class{n}", frozenset(), frozenset({f"k{n % KINDS}"} if n else ()), 0.6 * engines
        )
        for n in range(4)
    ]
    return CapacitySnapshot(
        DisruptionLimits(max_engines=max(engines // 10, 1), usable_fraction=0.9),
        facts,
        request_classes,
    )


def order_ms(engines: int) -> float:
    """One turn of the planner's choice, with as many units waiting as it looks at."""
    ground = ground_of(engines)
    waiting = [
        WaitingUnit(f"e{n:05}", (f"e{n:05}",), 600_000, queue_position=n)
        for n in range(min(engines // 2, 2 * MAX_CHECKED_UNIT_COUNT))
    ]
    assert select_grants(
        ground, waiting
    ).granted  # some are let go: not an objection at the first look
    return spent(lambda: select_grants(ground, waiting))


def rows_on(engines: int) -> list[list[Any]]:
    return [
        [f"wm{witness:04}", 1, n + 1, 0, f"e{n:05}", 7, Fault.SILENT.value, 0, 0]
        for witness in range(WITNESSES)
        for n in range(engines)
    ]


def held(engines: int) -> HealthReports:
    findings = HealthReports("me", 1)
    findings.merge(0, rows_on(engines))
    assert len(findings) == WITNESSES * engines
    return findings


def memory_mb(engines: int) -> float:
    rows = rows_on(engines)
    gc.collect()
    tracemalloc.start()
    findings = HealthReports("me", 1)
    findings.merge(0, rows)
    grown = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(findings) == WITNESSES * engines
    return grown / 2**20


def forget_ms(engines: int) -> float:
    """What a period (0.25 s) spends on looking whether anything is too old, where nothing is."""
    findings, names = held(engines), [f"wm{n:04}" for n in range(870)]
    return spent(lambda: findings.drop_expired(1, names))


def merge_ms(engines: int) -> float:
    """All of it heard a first time."""
    rows = rows_on(engines)
    return spent(lambda: HealthReports("me", 1).merge(0, rows), 3)


def digest_ms(engines: int) -> float:
    """A comparison (each 1.5 s): marks of all that is held."""
    findings = held(engines)
    return spent(lambda: findings.digest(1_000, 0))


def order_rows() -> list[dict[str, Any]]:
    what = f"one choice of the planner, {2 * MAX_CHECKED_UNIT_COUNT} units waiting"
    return [
        measure_slope(
            "fleet.order.engines",
            what,
            "ms of processor",
            "engines",
            SIZES,
            order_ms,
            full=FULL,
            check=order_ms,
            checked_as="measured",
            command=COMMAND,
        )
    ]


def findings_rows() -> list[dict[str, Any]]:
    said = f"findings of {WITNESSES} workload managers on every engine"
    rows = []
    for key, what, unit, measure in (
        ("fleet.findings.engines", f"{said}: memory", "MB", memory_mb),
        (
            "fleet.findings.forget",
            f"{said}: a look for old ones, four a second",
            "ms of processor",
            forget_ms,
        ),
        ("fleet.findings.merge", f"{said}: heard a first time, all", "ms of processor", merge_ms),
        (
            "fleet.findings.digest",
            f"{said}: marks for one comparison",
            "ms of processor",
            digest_ms,
        ),
    ):
        rows.append(
            measure_slope(
                key,
                what,
                unit,
                "engines",
                SIZES,
                measure,
                full=FULL,
                check=measure,
                checked_as="measured",
                command=COMMAND,
            )
        )
    return rows

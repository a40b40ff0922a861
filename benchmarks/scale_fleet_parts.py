"""Measures fleet functions whose cost grows with the engines: grant selection and health reports.

Each function runs separately in this process, on generated data, and its processor time is
measured. The figures are those of one function, not of a fleet.
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

ENGINE_COUNTS = [30, 100, 300, 900]
FULL_ENGINE_COUNT = 1_800
REPORTER_COUNT = 20  # workload managers that report every engine: an incident, not the usual state
ZONE_COUNT, ENGINE_KIND_COUNT = 5, 3
COMMAND = "python benchmarks/scale.py fleet --rows order,findings"


def measure_ms(operation: Callable[[], Any], times: int = 5) -> float:
    """Returns the mean processor time of an operation in milliseconds."""
    gc.collect()
    begun = time.process_time()
    for _ in range(times):
        operation()
    return 1000 * (time.process_time() - begun) / times


def build_capacity_snapshot(engines: int) -> CapacitySnapshot:
    """Builds a snapshot with four request classes, which need a third of the capacity together.

    The engines are spread over zones and kinds. The limits allow a tenth of them to be disrupted.
    """
    facts = {
        f"e{n:05}": EngineFact(
            f"e{n:05}",
            f"z{n % ZONE_COUNT}",
            f"k{n % ENGINE_KIND_COUNT}",
            f"z{n % ZONE_COUNT}",
            8.0,
            EngineCondition.HEALTHY,
        )
        for n in range(engines)
    }
    request_classes = [
        RequestClassDemand(
            f"class{n}",
            frozenset(),
            frozenset({f"k{n % ENGINE_KIND_COUNT}"} if n else ()),
            0.6 * engines,
        )
        for n in range(4)
    ]
    return CapacitySnapshot(
        DisruptionLimits(max_engines=max(engines // 10, 1), usable_fraction=0.9),
        facts,
        request_classes,
    )


def measure_grant_selection_ms(engines: int) -> float:
    """Measures one grant selection with up to twice as many waiting units as the planner checks."""
    snapshot = build_capacity_snapshot(engines)
    waiting = [
        WaitingUnit(f"e{n:05}", (f"e{n:05}",), 600_000, queue_position=n)
        for n in range(min(engines // 2, 2 * MAX_CHECKED_UNIT_COUNT))
    ]
    assert (
        select_grants(snapshot, waiting).granted
    )  # some units are granted, so that more is measured than a rejection at the first check
    return measure_ms(lambda: select_grants(snapshot, waiting))


def build_report_rows(engines: int) -> list[list[Any]]:
    return [
        [f"wm{reporter:04}", 1, n + 1, 0, f"e{n:05}", 7, Fault.SILENT.value, 0, 0]
        for reporter in range(REPORTER_COUNT)
        for n in range(engines)
    ]


def build_health_reports(engines: int) -> HealthReports:
    health_reports = HealthReports("me", 1)
    health_reports.merge(0, build_report_rows(engines))
    assert len(health_reports) == REPORTER_COUNT * engines
    return health_reports


def measure_report_memory_mb(engines: int) -> float:
    rows = build_report_rows(engines)
    gc.collect()
    tracemalloc.start()
    health_reports = HealthReports("me", 1)
    health_reports.merge(0, rows)
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(health_reports) == REPORTER_COUNT * engines
    return size_bytes / 2**20


def measure_expiry_ms(engines: int) -> float:
    """Measures the search for expired reports in a period (0.25 s) where none has expired."""
    health_reports, names = build_health_reports(engines), [f"wm{n:04}" for n in range(870)]
    return measure_ms(lambda: health_reports.drop_expired(1, names))


def measure_merge_ms(engines: int) -> float:
    """Measures the merge of all reports into an empty store."""
    rows = build_report_rows(engines)
    return measure_ms(lambda: HealthReports("me", 1).merge(0, rows), 3)


def measure_digest_ms(engines: int) -> float:
    """Measures the digest of all held reports, which each comparison (every 1.5 s) needs."""
    health_reports = build_health_reports(engines)
    return measure_ms(lambda: health_reports.digest(1_000, 0))


def order_rows() -> list[dict[str, Any]]:
    what = f"one choice of the planner, {2 * MAX_CHECKED_UNIT_COUNT} units waiting"
    return [
        measure_slope(
            "fleet.order.engines",
            what,
            "ms of processor",
            "engines",
            ENGINE_COUNTS,
            measure_grant_selection_ms,
            full=FULL_ENGINE_COUNT,
            check=measure_grant_selection_ms,
            checked_as="measured",
            command=COMMAND,
        )
    ]


def findings_rows() -> list[dict[str, Any]]:
    reports_text = f"findings of {REPORTER_COUNT} workload managers on every engine"
    rows = []
    for key, what, unit, measure in (
        ("fleet.findings.engines", f"{reports_text}: memory", "MB", measure_report_memory_mb),
        (
            "fleet.findings.forget",
            f"{reports_text}: a look for old ones, four a second",
            "ms of processor",
            measure_expiry_ms,
        ),
        (
            "fleet.findings.merge",
            f"{reports_text}: heard a first time, all",
            "ms of processor",
            measure_merge_ms,
        ),
        (
            "fleet.findings.digest",
            f"{reports_text}: marks for one comparison",
            "ms of processor",
            measure_digest_ms,
        ),
    ):
        rows.append(
            measure_slope(
                key,
                what,
                unit,
                "engines",
                ENGINE_COUNTS,
                measure,
                full=FULL_ENGINE_COUNT,
                check=measure,
                checked_as="measured",
                command=COMMAND,
            )
        )
    return rows

"""Builds the JSON answer of `/shared`: received reports and their effects on this gateway."""

import os
from collections.abc import Iterable
from typing import Any, Protocol

from corkgauge.eventloop.loop import SECOND
from corkgauge.peer_health.aggregation import Assessment
from corkgauge.peer_health.health_report import Fault, HealthReport
from corkgauge.peer_health.permit_exchange import PermitExchange
from corkgauge.peer_health.reports import HealthReports
from corkgauge.peer_health.retry_throttle import RetryThrottle

MAX_REPORTS_SHOWN = 40  # per engine
# Keys and labels of the answer are an interface to operators' programs and must not change.
FAULT_LABELS = {
    Fault.NONE: "well",
    Fault.ERROR: "error",
    Fault.RESET: "reset",
    Fault.UNREACHABLE: "unreached",
    Fault.SILENT: "silent",
}


class PeerHealthState(Protocol):
    """The state that the answer shows."""

    name: str
    reports: HealthReports
    assessments: dict[str, Assessment]
    retry_throttle: RetryThrottle
    permits: PermitExchange
    sent_bytes: int


def status_report(state: PeerHealthState, now: int) -> dict[str, Any]:
    """Return the answer for JSON encoding; its durations are seconds, `now` is ticks."""
    return {
        "name": state.name,
        "strict": round(state.retry_throttle.budget_fraction, 3),
        "wants": round(state.permits.unplaced_per_second, 1),
        "findings": len(state.reports),
        "octets": state.sent_bytes,
        "engines": {
            engine: _engine_view(assessment, state.reports.reports_on(engine), now)
            for engine, assessment in sorted(state.assessments.items())
        },
        "counters": {
            **state.permits.transfers.counts,
            "findings refused": state.reports.rejected_count,
        },
        "process": os.getpid(),
    }


def _engine_view(
    assessment: Assessment, reports: Iterable[HealthReport], now: int
) -> dict[str, Any]:
    return {
        "doubted": assessment.is_suspected,
        "slowness": round(assessment.slowness, 2),
        "why": assessment.reporters,
        "heard": [_report_view(report, now) for report in reports][:MAX_REPORTS_SHOWN],
    }


def _report_view(report: HealthReport, now: int) -> dict[str, Any]:
    return {
        "from": report.reporter,
        "age": (now - report.found_at) / SECOND,
        "fault": FAULT_LABELS[report.fault],
        "slowness": report.slowness_percent / 100,
        "samples": report.sample_count,
    }

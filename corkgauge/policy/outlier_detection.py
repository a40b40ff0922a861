"""Outlier detection: ejects failing engines, for longer with each further recent fault."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from corkgauge.policy.host import Host
from corkgauge.policy.records import Attempt, Engine, EngineStats
from corkgauge.policy.units import TICKS_PER_SECOND

if TYPE_CHECKING:  # subsetting imports `is_trusted` from this module
    from corkgauge.policy.subsetting import EngineSubset

# Kinds of faults of an engine; recovery files contain these texts. NO_FAULT: a success.
NO_FAULT = ""
ERROR_FAULT = "error"
RESET_FAULT = "reset"
UNREACHABLE_FAULT = "unreached"
SILENT_FAULT = "silent"

EJECTION_TICKS = TICKS_PER_SECOND  # after a first fault; doubled for each further recent fault
MAX_DOUBLINGS = 4  # of the ejection time
COMPARISON_WINDOW_TICKS = 10 * TICKS_PER_SECOND  # for the failure counts of engines
COMMON_FAULT_FACTOR = 2  # times the median of the other engines' failures
COMMON_FAULT_SLACK_COUNT = 2  # failures allowed in addition
UNTRUSTED_ERROR_COUNT = 2  # recent errors from which on an engine is not trusted
LOST_ZONE_ENGINE_COUNT = 2  # lost engines, without activity in between, that make a zone lost


def is_trusted(stats: EngineStats) -> bool:
    """Whether the recent outcomes show that the engine works.

    One success is enough after a lost connection or silence. Errors may alternate with successes,
    so they are counted.
    """
    history = stats.fault_history
    return history.count(ERROR_FAULT) < UNTRUSTED_ERROR_COUNT and not (history and history[-1])


def count_faults(stats: EngineStats) -> int:
    """The number of faults in the recent history."""
    return sum(map(bool, stats.fault_history))


class OutlierDetector:
    """Tracks recently lost engines by zone; faults and ejections are in the engines' stats."""

    def __init__(
        self, host: Host, subset: EngineSubset, on_ejection_over: Callable[[], None]
    ) -> None:
        self._host = host
        self._subset = subset
        self._on_ejection_over = on_ejection_over
        # By zone: the engines lost since the last activity of any engine there, and when.
        self._lost_by_zone: dict[int, dict[Engine, int]] = {}

    def is_healthy(self, engine: Engine) -> bool:
        """Whether attempts may be sent to the engine.

        After an ejection, an engine that is not trusted gets one attempt as a trial, even while
        long attempts from before the end of the ejection are still in flight.
        """
        stats = engine.stats
        now = self._host.now
        # In a zone that is cut off, detecting each lost engine separately would cost failed
        # attempts on every one. Once several are lost with no activity in the zone, only one
        # attempt per EJECTION_TICKS is sent to the zone.
        lost_engines = self._lost_by_zone.get(engine.zone)
        if (
            lost_engines
            and len(lost_engines) >= LOST_ZONE_ENGINE_COUNT
            and now < max(lost_engines.values()) + EJECTION_TICKS
        ):
            return False
        if stats.peer_suspicion and (stats.peer_suspicion > 1 or stats.in_flight):
            return False
        return now >= stats.ejected_until and (
            is_trusted(stats)
            or all(attempt.sent_at < stats.ejected_until for attempt in stats.in_flight)
        )

    def record_attempt(self, attempt: Attempt) -> None:
        """Restart the pause of a zone that may be lost, so that it gets no other attempt."""
        engine = attempt.engine
        lost_engines = self._lost_by_zone.get(engine.zone)
        if lost_engines and len(lost_engines) >= LOST_ZONE_ENGINE_COUNT:
            lost_engines[engine] = attempt.sent_at

    def record_activity(self, engine: Engine) -> None:
        """Record that the engine sent data; this also shows that the zone is reachable."""
        engine.stats.last_activity_at = self._host.now
        self._lost_by_zone.pop(engine.zone, None)

    def record_success(self, engine: Engine) -> None:
        """Record an attempt that the engine answered with success."""
        stats = engine.stats
        was_trusted = is_trusted(stats)
        self.record_activity(engine)
        stats.fault_history.append(NO_FAULT)
        if not was_trusted and is_trusted(stats):
            self._host.log(f"back {engine.name} faults={count_faults(stats)}")

    def record_fault(self, engine: Engine, kind: str) -> None:
        """Record a fault and eject the engine, twice as long for each further recent fault.

        The engine is not ejected if other engines fail alike or if it is ejected already. Failures
        of one kind in one tick count once in the comparison with other engines, as one broken
        connection ends many attempts.
        """
        stats = engine.stats
        now = self._host.now
        if kind != ERROR_FAULT:
            self._lost_by_zone.setdefault(engine.zone, {})[engine] = now
        if (kind, now) not in stats.failure_history:
            stats.failure_history.append((kind, now))
        if kind in (ERROR_FAULT, RESET_FAULT) and self._is_common_fault(stats, kind):
            return
        stats.fault_history.append(kind)
        if now >= stats.ejected_until:
            faults = count_faults(stats)
            ticks = EJECTION_TICKS * 2 ** min(faults - 1, MAX_DOUBLINGS)
            stats.ejected_until = now + ticks
            self._host.call_later(ticks, self._on_ejection_over)
            self._host.log(f"rest {engine.name} {kind} faults={faults} for={ticks}")

    def _is_common_fault(self, stats: EngineStats, kind: str) -> bool:
        """Whether other engines recently had comparable numbers of failures of this kind.

        The engine may have COMMON_FAULT_FACTOR times the median of the others, and
        COMMON_FAULT_SLACK_COUNT more; the median must not be 0.

        Failures that affect all engines, such as corrupted answers, broken connections or bad
        client requests, are not the fault of one engine. Ejections would leave no engine in use.
        """
        since = self._host.now - COMPARISON_WINDOW_TICKS
        others = sorted(
            count_failures(engine.stats, kind, since)
            for engine in self._subset.engines
            if engine.stats is not stats
        )
        if not others:
            return False
        median_count = others[len(others) // 2]
        own_count = count_failures(stats, kind, since)
        return (
            bool(median_count)
            and own_count <= COMMON_FAULT_FACTOR * median_count + COMMON_FAULT_SLACK_COUNT
        )

    def restore_ejection(self, engine: Engine, ejected_until: int) -> None:
        """Restore an ejection from before a restart of this gateway."""
        engine.stats.ejected_until = ejected_until
        if ejected_until > self._host.now:
            self._host.call_later(ejected_until - self._host.now, self._on_ejection_over)


def count_failures(stats: EngineStats, kind: str, since: int) -> int:
    """The number of failures of one kind after `since`, also those not counted as faults."""
    return sum(each == kind and when > since for each, when in stats.failure_history)

"""Outlier detection: engines that do badly are ejected for a while, longer each time."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from corkgauge.policy.host import Host
from corkgauge.policy.records import Attempt, Engine, EngineStats
from corkgauge.policy.units import TICKS_PER_SECOND

if TYPE_CHECKING:  # the subset asks `is_trusted`
    from corkgauge.policy.subsetting import EngineSubset

# What an engine may have done; the words stand in recovery files. NO_FAULT is no fault.
NO_FAULT = ""
ERROR_FAULT = "error"
RESET_FAULT = "reset"
UNREACHABLE_FAULT = "unreached"
SILENT_FAULT = "silent"

EJECTION_TICKS = (
    TICKS_PER_SECOND  # of the first fault, doubled with each further one among the last few
)
MAX_DOUBLINGS = 4
COMPARISON_WINDOW_TICKS = 10 * TICKS_PER_SECOND  # of faults that engines are compared by
COMMON_FAULT_FACTOR = 2  # of the middle engine's faults, up to which a fault is everybody's
COMMON_FAULT_SLACK_COUNT = 2  # faults
UNTRUSTED_ERROR_COUNT = 2  # among the last few answers
LOST_ZONE_ENGINE_COUNT = 2  # lost without any sign between, for which the zone is taken for lost


def is_trusted(stats: EngineStats) -> bool:
    """Whether the last answers speak for the engine.

    After a lost connection or silence one good answer is enough; errors may come between good ones.
    """
    history = stats.fault_history
    return history.count(ERROR_FAULT) < UNTRUSTED_ERROR_COUNT and not (history and history[-1])


def count_faults(stats: EngineStats) -> int:
    """The faults among the last few answers."""
    return sum(map(bool, stats.fault_history))


class OutlierDetector:
    """Owns which engines of a zone were lost lately; faults and ejections stand in the stats."""

    def __init__(
        self, host: Host, subset: EngineSubset, on_ejection_over: Callable[[], None]
    ) -> None:
        self._host = host
        self._subset = subset
        self._on_ejection_over = on_ejection_over
        # By zone: when engines were lost since any there gave a sign of life.
        self._lost_by_zone: dict[int, dict[Engine, int]] = {}

    def is_healthy(self, engine: Engine) -> bool:
        """Not ejected; after an ejection one attempt tells, whatever long ones are still out."""
        stats = engine.stats
        now = self._host.now
        # Each engine of a zone that is cut off would be found by losses of its own. Once several
        # are lost without a sign from any there, one attempt an ejection tells of the zone.
        lost = self._lost_by_zone.get(engine.zone)
        if (
            lost
            and len(lost) >= LOST_ZONE_ENGINE_COUNT
            and now < max(lost.values()) + EJECTION_TICKS
        ):
            return False
        if stats.peer_suspicion and (stats.peer_suspicion > 1 or stats.in_flight):
            return False
        return now >= stats.ejected_until and (
            is_trusted(stats)
            or all(attempt.sent_at < stats.ejected_until for attempt in stats.in_flight)
        )

    def record_attempt(self, attempt: Attempt) -> None:
        """An attempt goes to a zone that may be lost: no other does for a while."""
        engine = attempt.engine
        lost = self._lost_by_zone.get(engine.zone)
        if lost and len(lost) >= LOST_ZONE_ENGINE_COUNT:
            lost[engine] = attempt.sent_at

    def record_activity(self, engine: Engine) -> None:
        """The engine sent something of its own; its zone is not lost."""
        engine.stats.last_activity_at = self._host.now
        self._lost_by_zone.pop(engine.zone, None)

    def record_success(self, engine: Engine) -> None:
        """The engine answered well."""
        stats = engine.stats
        was_trusted = is_trusted(stats)
        self.record_activity(engine)
        stats.fault_history.append(NO_FAULT)
        if not was_trusted and is_trusted(stats):
            self._host.log(f"back {engine.name} faults={count_faults(stats)}")

    def record_fault(self, engine: Engine, kind: str) -> None:
        """The engine did badly: it is ejected, twice as long each time among its last few."""
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
        """Whether most of the other engines had nearly as many faults of this kind lately.

        What befalls all alike, as spoilt answers, broken links or what clients send, is no engine's
        fault, and ejections would leave none.
        """
        since = self._host.now - COMPARISON_WINDOW_TICKS
        others = sorted(
            count_failures(engine.stats, kind, since)
            for engine in self._subset.engines
            if engine.stats is not stats
        )
        if not others:
            return False
        middle = others[len(others) // 2]
        own = count_failures(stats, kind, since)
        return bool(middle) and own <= COMMON_FAULT_FACTOR * middle + COMMON_FAULT_SLACK_COUNT

    def restore_ejection(self, engine: Engine, ejected_until: int) -> None:
        """Take over an ejection of an earlier start of this gateway."""
        engine.stats.ejected_until = ejected_until
        if ejected_until > self._host.now:
            self._host.call_later(ejected_until - self._host.now, self._on_ejection_over)


def count_failures(stats: EngineStats, kind: str, since: int) -> int:
    """Troubles of one kind after `since`, also those that were not counted as faults."""
    return sum(each == kind and when > since for each, when in stats.failure_history)

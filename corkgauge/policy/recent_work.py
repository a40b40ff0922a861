"""Tracks how the work of recent attempts is spread over engines and table groups."""

from collections import deque
from typing import NamedTuple

from corkgauge.policy.records import Engine, EngineStats
from corkgauge.policy.subsetting import EngineSubset
from corkgauge.policy.units import RECENT_SAMPLES

MIN_GROUP_WORK_TICKS = 1  # thread ticks; less is the rounding error of a group without work


class SentWork(NamedTuple):
    """Work of one recent attempt."""

    stats: EngineStats
    work: float  # typical work of its class
    table_group: float


class RecentWork:
    """Holds the most recent attempts, on average RECENT_SAMPLES for each engine of the subset.

    The number of attempts grows with the subset but does not shrink with it.
    """

    def __init__(self, subset: EngineSubset) -> None:
        self._subset = subset
        self._sent: deque[SentWork] = deque()
        self._work_by_group: dict[float, float] = {}

    def work_of_group(self, table_group: float) -> float:
        """The recent work of a table group."""
        return self._work_by_group.get(table_group, 0.0)

    def record(self, engine: Engine, work: float, table_group: float) -> None:
        """Record an attempt, and drop the oldest one if there are too many."""
        engine.stats.recent_work += work
        self._sent.append(SentWork(engine.stats, work, table_group))
        self._work_by_group[table_group] = self.work_of_group(table_group) + work
        if len(self._sent) > RECENT_SAMPLES * len(self._subset.engines):
            self._remove_oldest()

    def _remove_oldest(self) -> None:
        oldest = self._sent.popleft()
        oldest.stats.recent_work -= oldest.work
        self._work_by_group[oldest.table_group] -= oldest.work
        if self._work_by_group[oldest.table_group] < MIN_GROUP_WORK_TICKS:
            del self._work_by_group[oldest.table_group]

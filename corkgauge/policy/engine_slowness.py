"""Estimates how slow engines are: duration of attempts over the duration of their work alone."""

from statistics import median

from corkgauge.policy.host import Host
from corkgauge.policy.records import EngineStats, Request
from corkgauge.policy.subsetting import EngineSubset
from corkgauge.policy.units import ESTIMATE_VALIDITY_TICKS, MIN_SAMPLES

DEFAULT_SLOWNESS = 1.5  # assumed while no engine has an estimate


class EngineSlowness:
    """Estimates the slowness of each engine and the median of all; caches both for a short time."""

    def __init__(self, host: Host, subset: EngineSubset) -> None:
        self._host = host
        self._subset = subset
        self.best = DEFAULT_SLOWNESS  # lowest median so far, from 1.0 to DEFAULT_SLOWNESS
        self._median = DEFAULT_SLOWNESS
        self._median_valid_until = -1

    def estimate_for(self, stats: EngineStats, default: float) -> float:
        """The slowness of an engine: its own estimate, else that of the peers, else `default`.

        The own estimate is the median of the slowness of recent answers and of those attempts in
        flight whose slowness so far is above DEFAULT_SLOWNESS and the median of the answers.
        """
        now = self._host.now
        if now >= stats.slowness_valid_until:
            self._estimate(stats, now)
        return stats.slowness or stats.peer_slowness or default

    def _estimate(self, stats: EngineStats, now: int) -> None:
        samples = stats.slowness_samples
        answer_median = median(samples) if len(samples) >= MIN_SAMPLES else 0.0
        # A stalled engine sends no answers, so its samples stay low. Attempts in flight for longer
        # than the median answer therefore count as samples.
        relative_ages = [(now - each.sent_at) / each.expected_duration for each in stats.in_flight]
        min_relative_age = max(answer_median, DEFAULT_SLOWNESS)
        known_samples = [
            *samples,
            *(relative_age for relative_age in relative_ages if relative_age > min_relative_age),
        ]
        stats.slowness_valid_until = now + ESTIMATE_VALIDITY_TICKS
        stats.slowness = median(known_samples) if len(known_samples) >= MIN_SAMPLES else 0.0

    def median_of_engines(self) -> float:
        """The median slowness of the engines in the subset with an estimate, own or from peers.

        Without any estimate, the median is DEFAULT_SLOWNESS. Cached, since every event needs it.
        """
        now = self._host.now
        if now >= self._median_valid_until:
            estimates = (self.estimate_for(engine.stats, 0.0) for engine in self._subset.engines)
            known_samples = [slowness for slowness in estimates if slowness]
            self._median_valid_until = now + ESTIMATE_VALIDITY_TICKS
            self._median = median(known_samples) if known_samples else DEFAULT_SLOWNESS
        return self._median

    def record_sample(self, stats: EngineStats, slowness: float) -> None:
        """Record the slowness of one answer."""
        stats.slowness_samples.append(slowness)
        if len(stats.slowness_samples) >= MIN_SAMPLES:
            self.best = min(self.best, max(1.0, median(stats.slowness_samples)))

    def expected_time(self, request: Request) -> float:
        """The expected ticks of the request at an engine of median slowness."""
        return request.expected_work / request.request_class.threads * self.median_of_engines()

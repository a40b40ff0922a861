"""Estimates how slow engines are: duration of attempts over the duration of their work alone."""

from statistics import median

from corkgauge.policy.host import Host
from corkgauge.policy.records import EngineStats, Request
from corkgauge.policy.subsetting import EngineSubset
from corkgauge.policy.units import ESTIMATE_VALIDITY_TICKS, MIN_SAMPLES

DEFAULT_SLOWNESS = 1.5  # assumed before any answer


class EngineSlowness:
    """Caches estimates of the slowness of one engine and of the median engine for a short time."""

    def __init__(self, host: Host, subset: EngineSubset) -> None:
        self._host = host
        self._subset = subset
        self.best = DEFAULT_SLOWNESS  # lowest median of any engine so far
        self._median = DEFAULT_SLOWNESS
        self._median_valid_until = -1

    def estimate_for(self, stats: EngineStats, default: float) -> float:
        """The median over recent answers of an engine and its attempts in flight for longer."""
        now = self._host.now
        if now >= stats.slowness_valid_until:
            self._estimate(stats, now)
        return stats.slowness or stats.peer_slowness or default

    def _estimate(self, stats: EngineStats, now: int) -> None:
        samples = stats.slowness_samples
        answer_median = median(samples) if len(samples) >= MIN_SAMPLES else 0.0
        # A stalled engine sends no answers, so its samples stay good. Attempts in flight for longer
        # than usual therefore count as samples.
        relative_ages = [(now - each.sent_at) / each.expected_duration for each in stats.in_flight]
        min_relative_age = max(answer_median, DEFAULT_SLOWNESS)
        known_samples = [
            *samples,
            *(relative_age for relative_age in relative_ages if relative_age > min_relative_age),
        ]
        stats.slowness_valid_until = now + ESTIMATE_VALIDITY_TICKS
        stats.slowness = median(known_samples) if len(known_samples) >= MIN_SAMPLES else 0.0

    def median_of_engines(self) -> float:
        """The median slowness of all engines; cached, since every event needs the value."""
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
        """Ticks that the request takes at an engine of median slowness."""
        return request.expected_work / request.request_class.threads * self.median_of_engines()

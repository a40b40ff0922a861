"""How slow engines are: time taken over the time of the work alone."""

from statistics import median

from corkgauge.policy.host import Host
from corkgauge.policy.records import EngineStats, Request
from corkgauge.policy.subsetting import EngineSubset
from corkgauge.policy.units import ESTIMATE_VALIDITY_TICKS, MIN_SAMPLES

DEFAULT_SLOWNESS = 1.5  # before any answer


class EngineSlowness:
    """Estimates of slowness, of one engine and of the usual one; each valid for a short while."""

    def __init__(self, host: Host, subset: EngineSubset) -> None:
        self._host = host
        self._subset = subset
        self.best = DEFAULT_SLOWNESS  # least median that any engine has shown
        self._usual = DEFAULT_SLOWNESS
        self._usual_valid_until = -1

    def of_engine(self, stats: EngineStats, otherwise: float) -> float:
        """The median over an engine's last answers, and the attempts out for longer than those."""
        now = self._host.now
        if now >= stats.slowness_valid_until:
            self._estimate(stats, now)
        return stats.slowness or stats.peer_slowness or otherwise

    def _estimate(self, stats: EngineStats, now: int) -> None:
        samples = stats.slowness_samples
        usual = median(samples) if len(samples) >= MIN_SAMPLES else 0.0
        # An engine that stalls or slows down sends no bad samples: its silence must count as one.
        ages = [(now - each.sent_at) / each.expected_duration for each in stats.in_flight]
        least = max(usual, DEFAULT_SLOWNESS)
        seen = [*samples, *(age for age in ages if age > least)]
        stats.slowness_valid_until = now + ESTIMATE_VALIDITY_TICKS
        stats.slowness = median(seen) if len(seen) >= MIN_SAMPLES else 0.0

    def usual(self) -> float:
        """The median of all engines; worked out once in a while, since every event asks for it."""
        now = self._host.now
        if now >= self._usual_valid_until:
            each = (self.of_engine(engine.stats, 0.0) for engine in self._subset.engines)
            seen = [slowness for slowness in each if slowness]
            self._usual_valid_until = now + ESTIMATE_VALIDITY_TICKS
            self._usual = median(seen) if seen else DEFAULT_SLOWNESS
        return self._usual

    def record_sample(self, stats: EngineStats, slowness: float) -> None:
        """Take one answer's slowness."""
        stats.slowness_samples.append(slowness)
        if len(stats.slowness_samples) >= MIN_SAMPLES:
            self.best = min(self.best, max(1.0, median(stats.slowness_samples)))

    def expected_time(self, request: Request) -> float:
        """Ticks that the request takes at the usual engine."""
        return request.expected_work / request.request_class.threads * self.usual()

"""Limits the threads that this gateway's attempts may use at one engine."""

from corkgauge.policy.engine_slowness import EngineSlowness
from corkgauge.policy.host import Host
from corkgauge.policy.options import GatewayOptions
from corkgauge.policy.records import Engine, EngineStats, RequestClass
from corkgauge.policy.units import FEEDBACK_INTERVAL_TICKS
from corkgauge.policy.work_estimates import WorkEstimates

INITIAL_THREADS_PER_CORE = 0.9  # initial limit of all gateways together
LIGHT_CLASS_FACTOR = 2.0  # times the limit, for classes of less than the mean work
RELAXED_THREADS_PER_CORE = 1.5  # least limit of one gateway on an engine not under pressure
MIN_LIMIT_FACTOR = 0.25  # bounds of the limit, relative to the initial limit
MAX_LIMIT_FACTOR = 2.0
# Times the best slowness of any engine; an engine of a larger slowness is under pressure.
PRESSURE_SLOWNESS_FACTOR = 2.0
# Time without activity of an engine after which its last reported load is ignored.
REPORT_VALIDITY_TICKS = FEEDBACK_INTERVAL_TICKS


def clamp_limit_factor(factor: float) -> float:
    """Clamp a limit factor to its bounds."""
    return min(MAX_LIMIT_FACTOR, max(MIN_LIMIT_FACTOR, factor))


class ConcurrencyLimit:
    """Decides whether an engine is at its concurrency limit, and adjusts the limit."""

    def __init__(
        self,
        host: Host,
        options: GatewayOptions,
        estimates: WorkEstimates,
        slowness: EngineSlowness,
    ) -> None:
        self._host = host
        self._estimates = estimates
        self._slowness = slowness
        self.threads_per_core = INITIAL_THREADS_PER_CORE / options.gateway_count

    def is_at_limit(
        self, engine: Engine, request_class: RequestClass, median_slowness: float
    ) -> bool:
        """Whether the limit forbids another attempt of the class.

        An engine without attempts of this gateway always accepts one, unless it has recently
        refused one as full. An engine is under pressure if it reports at least one attempt per
        core, or if its slowness is well above the best. Without pressure, the limit is at least
        RELAXED_THREADS_PER_CORE.
        """
        stats: EngineStats = engine.stats
        now = self._host.now
        threads = request_class.threads
        # With hundreds of gateways, the limit divided among them is less than one request, and busy
        # gateways would be starved. So each gateway's limit covers at least one request.
        limit = stats.limit_factor * max(self.threads_per_core * engine.cores, threads)
        if request_class.typical_work < self._estimates.mean_typical_work:
            limit *= LIGHT_CLASS_FACTOR
        is_under_pressure = (
            stats.reported_load >= engine.cores
            and now < stats.last_activity_at + REPORT_VALIDITY_TICKS
        ) or (
            self._slowness.estimate_for(stats, median_slowness)
            > PRESSURE_SLOWNESS_FACTOR * self._slowness.best
        )
        if not is_under_pressure:
            # Without a limit, a whole queue could be sent at once between two slow answers.
            limit = max(limit, RELAXED_THREADS_PER_CORE * engine.cores)
        return 0 < engine.threads_in_flight > limit - threads or now < stats.refused_until

    @staticmethod
    def adjust(stats: EngineStats, step: float) -> None:
        """Raise the limit by `step`, a fraction of the initial limit, or lower it if negative."""
        stats.limit_factor = clamp_limit_factor(stats.limit_factor + step)

"""How many threads this gateway's attempts may hold at one engine."""

from corkgauge.policy.engine_slowness import EngineSlowness
from corkgauge.policy.host import Host
from corkgauge.policy.options import GatewayOptions
from corkgauge.policy.records import Engine, EngineStats, RequestClass
from corkgauge.policy.units import FEEDBACK_INTERVAL_TICKS
from corkgauge.policy.work_estimates import WorkEstimates

INITIAL_THREADS_PER_CORE = 0.9  # of all gateways together, where the limit starts
LIGHT_CLASS_FACTOR = 2.0  # limit for classes of less work than the mean, over the others'
MAX_THREADS_PER_CORE = 1.5  # of one gateway, while the engine is not under pressure
MIN_LIMIT_FACTOR = 0.25  # of the limit, over where it starts
MAX_LIMIT_FACTOR = 2.0
PRESSURE_SLOWNESS_FACTOR = 2.0  # over the best slowness seen: the engine is under pressure
REPORT_VALIDITY_TICKS = FEEDBACK_INTERVAL_TICKS  # of the load that an engine reports


def clamp_limit_factor(factor: float) -> float:
    """The factor, within its bounds."""
    return min(MAX_LIMIT_FACTOR, max(MIN_LIMIT_FACTOR, factor))


class ConcurrencyLimit:
    """Decides whether an engine is at its limit, and moves the limit."""

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
        self, engine: Engine, request_class: RequestClass, usual_slowness: float
    ) -> bool:
        """Whether no attempt of the class may be added; an engine without any takes one always.

        The limit acts under pressure only: slowness well above the best, or a request a core told.
        """
        stats: EngineStats = engine.stats
        now = self._host.now
        threads = request_class.threads
        # With hundreds of gateways a part is less than one request, and the busy ones would starve.
        limit = stats.limit_factor * max(self.threads_per_core * engine.cores, threads)
        if request_class.typical_work < self._estimates.mean_typical_work:
            limit *= LIGHT_CLASS_FACTOR
        is_under_pressure = (
            stats.reported_load >= engine.cores
            and now < stats.last_activity_at + REPORT_VALIDITY_TICKS
        ) or (
            self._slowness.of_engine(stats, usual_slowness)
            > PRESSURE_SLOWNESS_FACTOR * self._slowness.best
        )
        if not is_under_pressure:
            # Without any limit, a whole queue would be sent at once between two bad samples.
            limit = max(limit, MAX_THREADS_PER_CORE * engine.cores)
        return 0 < engine.threads_in_flight > limit - threads or now < stats.refused_until

    @staticmethod
    def adjust(stats: EngineStats, step: float) -> None:
        """Raise the limit by `step`, a part of where it starts, or lower it by a negative one."""
        stats.limit_factor = clamp_limit_factor(stats.limit_factor + step)

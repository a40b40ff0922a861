"""Updates health, slowness, work estimates, limit and price from the outcome of an attempt."""

from corkgauge.policy.admission_price import AdmissionPrice
from corkgauge.policy.concurrency_limit import ConcurrencyLimit
from corkgauge.policy.engine_slowness import EngineSlowness
from corkgauge.policy.host import Host
from corkgauge.policy.outlier_detection import (
    ERROR_FAULT,
    RESET_FAULT,
    UNREACHABLE_FAULT,
    OutlierDetector,
)
from corkgauge.policy.records import Attempt, AttemptOutcome, EngineStats, RequestClass
from corkgauge.policy.units import TICKS_PER_SECOND
from corkgauge.policy.work_estimates import WorkEstimates

# Steps that change limit and price in opposite directions. A negative step lowers the limit.
OVERLOAD_STEP = -0.1  # for an attempt that was refused, answered late or timed out
ON_TIME_STEP = 0.025  # for an answer in time
ENGINE_FULL_PAUSE_TICKS = TICKS_PER_SECOND  # time without attempts to an engine that was full
MIN_DURATION_TICKS = 1
FAULT_KINDS: dict[int, str] = {
    AttemptOutcome.ERROR: ERROR_FAULT,
    AttemptOutcome.UNREACHABLE: UNREACHABLE_FAULT,
    AttemptOutcome.CONNECTION_RESET: RESET_FAULT,
}


class OutcomeLearning:
    """Passes each outcome to the modules that learn from outcomes; keeps no state."""

    def __init__(
        self,
        host: Host,
        *,
        estimates: WorkEstimates,
        slowness: EngineSlowness,
        outliers: OutlierDetector,
        limit: ConcurrencyLimit,
        price: AdmissionPrice,
    ) -> None:
        self._host = host
        self._estimates = estimates
        self._slowness = slowness
        self._outliers = outliers
        self._limit = limit
        self._price = price

    def learn_from_outcome(
        self, attempt: Attempt, duration_ticks: int, work: int, memory: float, reported_load: float
    ) -> None:
        """Learn from the outcome of an attempt that lasted `duration_ticks`.

        The engine reports the work (thread ticks; 0: unreported), the memory needed (MB; 0:
        unreported) and the number of attempts that run there (below 0: unreported).
        """
        engine = attempt.engine
        stats = engine.stats
        request_class = attempt.request.request_class
        outcome = attempt.outcome
        # The load is stored even if the engine has restarted since.
        if reported_load >= 0:
            stats.reported_load = reported_load
        if attempt.sent_at < engine.incarnation:
            return  # the outcome tells nothing about the engine since its restart
        if outcome == AttemptOutcome.SUCCEEDED:
            self._learn_from_success(attempt, duration_ticks, work, memory)
        elif outcome == AttemptOutcome.ENGINE_FULL:
            self._outliers.record_activity(engine)
            stats.refused_until = self._host.now + ENGINE_FULL_PAUSE_TICKS
            self.adjust_limit_and_price(stats, request_class, OVERLOAD_STEP)
        elif outcome == AttemptOutcome.TIMED_OUT:
            self.adjust_limit_and_price(stats, request_class, OVERLOAD_STEP)
        elif outcome in FAULT_KINDS:
            self._outliers.record_fault(engine, FAULT_KINDS[outcome])

    def _learn_from_success(
        self, attempt: Attempt, duration_ticks: int, work: int, memory: float
    ) -> None:
        request = attempt.request
        request_class = request.request_class
        stats = attempt.engine.stats
        self._outliers.record_success(attempt.engine)
        work_duration = max(
            (work or request.expected_work) / request_class.threads, MIN_DURATION_TICKS
        )
        self._estimates.record_answer(request, work, memory)
        self._slowness.record_sample(stats, max(duration_ticks, MIN_DURATION_TICKS) / work_duration)
        # An engine with late answers is as overloaded as one that refuses requests or times out.
        objective = (
            request_class.latency_objective + request_class.objective_stretch * work_duration
        )
        step = ON_TIME_STEP if duration_ticks <= objective else OVERLOAD_STEP
        self.adjust_limit_and_price(stats, request_class, step)

    def adjust_limit_and_price(
        self, stats: EngineStats, request_class: RequestClass, step: float
    ) -> None:
        """Raise the engine's concurrency limit and lower the admission price by `step`.

        A negative step lowers the limit and raises the price.
        """
        self._limit.adjust(stats, step)
        self._price.adjust(request_class, step)

"""What the outcome of an attempt teaches: health, slowness, work, limit and price."""

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

OVERLOAD_STEP = -0.1  # of limit and price, for an attempt that was refused, late or lost
ON_TIME_STEP = 0.025  # for an answer in time
ENGINE_FULL_PAUSE_TICKS = TICKS_PER_SECOND  # for which an engine that was full is left alone
MIN_DURATION_TICKS = 1
FAULT_KINDS: dict[int, str] = {
    AttemptOutcome.ERROR: ERROR_FAULT,
    AttemptOutcome.UNREACHABLE: UNREACHABLE_FAULT,
    AttemptOutcome.CONNECTION_RESET: RESET_FAULT,
}


class OutcomeLearning:
    """Passes each outcome on to the modules that learn from it; owns nothing."""

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
        self, attempt: Attempt, took: int, work: int, memory: float, reported_load: float
    ) -> None:
        """An attempt has its outcome, after `took` ticks.

        Its engine tells the work (thread ticks; 0: untold), the memory needed (MB; 0: untold) and
        the attempts that it holds (below 0: untold).
        """
        engine = attempt.engine
        stats = engine.stats
        request_class = attempt.request.request_class
        outcome = attempt.outcome
        if reported_load >= 0:
            stats.reported_load = reported_load
        if attempt.sent_at < engine.incarnation:
            return  # it speaks of the engine before its restart
        if outcome == AttemptOutcome.SUCCEEDED:
            self._learn_from_success(attempt, took, work, memory)
        elif outcome == AttemptOutcome.ENGINE_FULL:
            self._outliers.record_activity(engine)
            stats.refused_until = self._host.now + ENGINE_FULL_PAUSE_TICKS
            self.adjust_limit_and_price(stats, request_class, OVERLOAD_STEP)
        elif outcome == AttemptOutcome.TIMED_OUT:
            self.adjust_limit_and_price(stats, request_class, OVERLOAD_STEP)
        elif outcome in FAULT_KINDS:
            self._outliers.record_fault(engine, FAULT_KINDS[outcome])

    def _learn_from_success(self, attempt: Attempt, took: int, work: int, memory: float) -> None:
        request = attempt.request
        request_class = request.request_class
        stats = attempt.engine.stats
        self._outliers.record_success(attempt.engine)
        work_duration = max(
            (work or request.expected_work) / request_class.threads, MIN_DURATION_TICKS
        )
        self._estimates.record_answer(request, work, memory)
        self._slowness.record_sample(stats, max(took, MIN_DURATION_TICKS) / work_duration)
        # An engine that answers all, but late, is as overrun as one that refuses or times out.
        objective = (
            request_class.latency_objective + request_class.objective_stretch * work_duration
        )
        step = ON_TIME_STEP if took <= objective else OVERLOAD_STEP
        self.adjust_limit_and_price(stats, request_class, step)

    def adjust_limit_and_price(
        self, stats: EngineStats, request_class: RequestClass, step: float
    ) -> None:
        """Move the engine's concurrency limit up, and the price down, by `step`."""
        self._limit.adjust(stats, step)
        self._price.adjust(request_class, step)

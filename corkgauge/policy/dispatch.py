"""Sends attempts with their memory grant and priority, and cancels attempts."""

from collections.abc import Callable

from corkgauge.policy.engine_slowness import EngineSlowness
from corkgauge.policy.host import Host
from corkgauge.policy.options import GatewayOptions
from corkgauge.policy.outlier_detection import OutlierDetector
from corkgauge.policy.recent_work import RecentWork
from corkgauge.policy.records import Attempt, Engine, Request
from corkgauge.policy.request_queues import RequestQueues
from corkgauge.policy.retries import RetryBudget
from corkgauge.policy.slow_start import SlowStart
from corkgauge.policy.work_estimates import WorkEstimates, memory_grant

# Fractions of the mean work. A request's priority drops by one for each that its work exceeds.
PRIORITY_TIER_WORK_FRACTIONS = (0.25, 1.0, 2.0)
MAX_PRIORITY = 3  # of requests whose queue has at least an equal share
SHARED_PRIORITY = 2  # of requests of all other queues
FULL_EQUAL_SHARE_FRACTION = 0.999  # from here on a share counts as equal; allows for rounding
MIN_TIMEOUT_TICKS = 1
OVERDUE_OBJECTIVE_FRACTION = 0.5  # of the latency objective, after which an attempt is checked
OVERDUE_TIME_FACTOR = 2  # times the expected time, after which an attempt is checked


class Dispatcher:
    """Sends and cancels attempts; records those in flight in each engine's stats."""

    def __init__(
        self,
        host: Host,
        options: GatewayOptions,
        *,
        queues: RequestQueues,
        estimates: WorkEstimates,
        slowness: EngineSlowness,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        recent_work: RecentWork,
        retry_budget: RetryBudget,
        on_answer_overdue: Callable[[Attempt], None],
    ) -> None:
        self._host = host
        self._deadline_margin_ticks = options.deadline_margin_ticks
        self.can_cancel = options.can_cancel
        self._queues = queues
        self._estimates = estimates
        self._slowness = slowness
        self._slow_start = slow_start
        self._outliers = outliers
        self._recent_work = recent_work
        self._retry_budget = retry_budget
        self._on_answer_overdue = on_answer_overdue

    def send(self, request: Request, engine: Engine) -> None:
        """Send an attempt of the request to the engine."""
        now = self._host.now
        if request.attempts:
            self._retry_budget.record_retry(now)
        self._host.set_resources(request, memory_grant(request, engine), self._priority(request))
        attempt = self._record_attempt(request, engine)
        time_left = request.accepted_at + request.time_to_deadline - now
        # The attempt times out after `on_deadline_near` has answered the request, but before the
        # deadline itself.
        self._host.send_attempt(
            attempt, max(MIN_TIMEOUT_TICKS, time_left - self._deadline_margin_ticks // 2)
        )
        overdue_after_ticks = max(
            OVERDUE_OBJECTIVE_FRACTION * request.latency_objective,
            OVERDUE_TIME_FACTOR * self._slowness.expected_time(request),
        )
        self._host.call_later(int(overdue_after_ticks), self._on_answer_overdue, attempt)

    def _priority(self, request: Request) -> int:
        equal_share_fraction = request.queue.share * len(self._queues)
        priority = (
            MAX_PRIORITY if equal_share_fraction >= FULL_EQUAL_SHARE_FRACTION else SHARED_PRIORITY
        )
        # Heavy requests would crowd out light ones on the engine's cores too. An ordered request
        # delays all later requests of its key, so its priority is not lowered for its work.
        if not request.request_class.ordered:
            mean_work = self._estimates.mean_typical_work
            priority -= sum(
                request.expected_work > fraction * mean_work > 0
                for fraction in PRIORITY_TIER_WORK_FRACTIONS
            )
        return max(priority, 0)

    def _record_attempt(self, request: Request, engine: Engine) -> Attempt:
        request_class = request.request_class
        work = request_class.typical_work
        attempt = Attempt(
            request,
            engine,
            len(request.attempts),
            self._host.now,
            max(request.expected_work / request_class.threads, 1),
            work / request_class.threads,
        )
        request.attempts.append(attempt)
        engine.threads_in_flight += request_class.threads
        engine.stats.in_flight.append(attempt)
        self._outliers.record_attempt(attempt)
        self._slow_start.record_attempt(engine, work)
        self._recent_work.record(engine, work, request.table_group)
        return attempt

    @staticmethod
    def record_outcome(attempt: Attempt, outcome: int) -> None:
        """Record the outcome of an attempt, which is no longer in flight."""
        engine = attempt.engine
        attempt.is_in_flight = False
        attempt.outcome = outcome
        # The attempt is missing from the list if the engine has restarted since.
        if attempt in engine.stats.in_flight:
            engine.stats.in_flight.remove(attempt)
            engine.threads_in_flight -= attempt.request.request_class.threads

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt that is in flight, if the engines support cancellation."""
        if self.can_cancel and attempt.is_in_flight and not attempt.is_cancelled:
            attempt.is_cancelled = True
            self._host.cancel_attempt(attempt)

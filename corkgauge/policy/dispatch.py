"""Sends attempts, with their memory and priority, and cancels them."""

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

# Of the mean work: beyond each of these, a request's priority is one lower.
PRIORITY_TIER_WORK_FRACTIONS = (0.25, 1.0, 2.0)
MAX_PRIORITY = 3  # of requests that have the gateway to themselves
SHARED_PRIORITY = 2  # of all others
FULL_EQUAL_SHARE_FRACTION = 0.999  # of an equal share, less what rounding takes
MIN_TIMEOUT_TICKS = 1
OVERDUE_OBJECTIVE_FRACTION = 0.5  # of its objective, after which an attempt is looked at
OVERDUE_TIME_FACTOR = 2  # of its expected time, likewise


class Dispatcher:
    """Sends and cancels attempts; what is in flight stands in the engines' stats."""

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
        self._host.send_attempt(
            attempt, max(MIN_TIMEOUT_TICKS, time_left - self._deadline_margin_ticks // 2)
        )
        patience = max(
            OVERDUE_OBJECTIVE_FRACTION * request.latency_objective,
            OVERDUE_TIME_FACTOR * self._slowness.expected_time(request),
        )
        self._host.call_later(int(patience), self._on_answer_overdue, attempt)

    def _priority(self, request: Request) -> int:
        equal_share_part = request.queue.share * len(self._queues)
        priority = (
            MAX_PRIORITY if equal_share_part >= FULL_EQUAL_SHARE_FRACTION else SHARED_PRIORITY
        )
        # Heavy requests crowd light ones out on the engine's cores too; one in keyed order holds
        # its line, so it goes first whatever its weight.
        if not request.request_class.ordered:
            mean_work = self._estimates.mean_typical_work
            priority -= sum(
                request.expected_work > part * mean_work > 0
                for part in PRIORITY_TIER_WORK_FRACTIONS
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
        """The attempt is no longer in flight."""
        engine = attempt.engine
        attempt.is_in_flight = False
        attempt.outcome = outcome
        # It is not there if the engine was started anew meanwhile.
        if attempt in engine.stats.in_flight:
            engine.stats.in_flight.remove(attempt)
            engine.threads_in_flight -= attempt.request.request_class.threads

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt that is in flight, where engines take that."""
        if self.can_cancel and attempt.is_in_flight and not attempt.is_cancelled:
            attempt.is_cancelled = True
            self._host.cancel_attempt(attempt)

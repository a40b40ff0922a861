"""Hedging: replaces slow or silent attempts, by cancelling them or by a second attempt."""

from corkgauge.policy.admission import Admission
from corkgauge.policy.admission_price import AdmissionPrice
from corkgauge.policy.dispatch import Dispatcher
from corkgauge.policy.engine_slowness import EngineSlowness
from corkgauge.policy.host import Host
from corkgauge.policy.options import GatewayOptions
from corkgauge.policy.outlier_detection import SILENT_FAULT, OutlierDetector
from corkgauge.policy.records import Attempt, NoteKind
from corkgauge.policy.retries import RetryPolicy
from corkgauge.policy.units import MIN_SAMPLES

# Of the retry budget, for overtaken attempts; the rest is reserved for attempts known to be lost.
OVERTAKEN_BUDGET_FRACTION = 0.5
MAX_ATTEMPTS_IN_FLIGHT = 2  # of one request
MIN_OVERTAKEN_COUNT = MIN_SAMPLES  # answers to later attempts of the same engine
OVERDUE_FACTOR = 3.0  # times the expected time, after which an overtaken attempt is retried
# Times the median slowness. The silent time of each attempt in flight at an engine is divided by
# its expected duration; if the sum exceeds this limit, the engine is silent.
SILENCE_FACTOR = 3.0
# Times the expected time, above which the remaining time causes a retry. Large, as estimates are
# inaccurate.
MAX_TIME_LEFT_FACTOR = 3
MIN_RECHECK_TICKS = 1


class Hedging:
    """Detects slow, overtaken and silent attempts; keeps no state."""

    def __init__(
        self,
        host: Host,
        options: GatewayOptions,
        *,
        admission: Admission,
        dispatcher: Dispatcher,
        retries: RetryPolicy,
        price: AdmissionPrice,
        outliers: OutlierDetector,
        slowness: EngineSlowness,
    ) -> None:
        self._host = host
        self._can_hedge = options.can_hedge
        self._admission = admission
        self._dispatcher = dispatcher
        self._retries = retries
        self._price = price
        self._outliers = outliers
        self._slowness = slowness

    def cancel_or_hedge(self, attempt: Attempt, budget_fraction: float = 1.0) -> None:
        """Cancel the attempt or queue a second one, if retry rules and budget allow a retry.

        The outcome of the cancelled attempt then causes the retry. A second attempt is queued only
        if engines do not support cancellation and the options allow hedging. `budget_fraction` is
        the part of the retry budget that this retry may use.
        """
        request = attempt.request
        if request.is_finished or attempt.is_cancelled or request.is_queued:
            return
        if not self._retries.can_retry(request):
            return
        if not self._retries.budget.has_left(budget_fraction):
            return
        if self._dispatcher.can_cancel:
            self._dispatcher.cancel(attempt)
        elif self._can_hedge:
            in_flight = sum(each.is_in_flight for each in request.attempts)
            if in_flight < MAX_ATTEMPTS_IN_FLIGHT:
                self._admission.enqueue(request)

    def retry_overtaken_attempts(self, answered: Attempt) -> None:
        """Retry overdue attempts of an engine that answered later attempts first.

        The engine is healthy, but the answers to the overdue attempts are lost or late: it has
        answered several later attempts of no less work. While there is an admission price,
        overtaking is not counted, as hedged attempts would crowd out other requests.
        """
        overtaken = [
            attempt
            for attempt in answered.engine.stats.in_flight
            if attempt.sent_at < answered.sent_at
            and attempt.expected_duration <= answered.expected_duration
        ]
        for attempt in overtaken:
            if not self._price.current:
                attempt.overtaken_count += 1
            if attempt.overtaken_count >= MIN_OVERTAKEN_COUNT:
                age_ticks = self._host.now - attempt.sent_at
                if age_ticks > OVERDUE_FACTOR * self._slowness.expected_time(attempt.request):
                    # The loss is not certain, so leave budget for attempts known to be lost.
                    self.cancel_or_hedge(attempt, OVERTAKEN_BUDGET_FRACTION)

    def on_progress(self, attempt: Attempt, note_kind: int, completed_fraction: float) -> None:
        """Handle a note about an attempt; retry the attempt if far too much work is left."""
        request = attempt.request
        self._outliers.record_activity(attempt.engine)
        attempt.overtaken_count = 0
        if note_kind != NoteKind.PROGRESS or completed_fraction <= 0:
            return
        if request.is_finished or not attempt.is_in_flight or not self._dispatcher.can_cancel:
            return
        # A bad query plan or a slow engine would occupy threads for many times the work.
        time_left = (
            (self._host.now - attempt.sent_at) * (1 - completed_fraction) / completed_fraction
        )
        if time_left > MAX_TIME_LEFT_FACTOR * self._slowness.expected_time(request):
            self.cancel_or_hedge(attempt)

    def on_answer_overdue(self, attempt: Attempt) -> None:
        """Record a fault of an engine that accepts attempts but has become silent.

        If the engine has sent anything since the attempt, nothing is recorded, and the attempt is
        not checked again. One request proves nothing, whether a long one or a light one that
        exceeds its small estimate. So the silent times of all attempts in flight at the engine are
        added up, each relative to its expected or typical duration, the longer of the two.
        """
        stats = attempt.engine.stats
        now = self._host.now
        median_slowness = self._slowness.median_of_engines()
        # Check in this order: the host removes the request from an attempt that has ended.
        if not attempt.is_in_flight or attempt.request.is_finished:
            return
        if stats.last_activity_at >= attempt.sent_at:
            return
        total_relative_age = sum(
            (now - max(each.sent_at, stats.last_activity_at))
            / max(each.expected_duration, each.typical_duration)
            for each in stats.in_flight
        )
        if total_relative_age > SILENCE_FACTOR * median_slowness:
            self._outliers.record_fault(attempt.engine, SILENT_FAULT)
            self.cancel_or_hedge(attempt)
        else:
            recheck_ticks = max((now - attempt.sent_at) // 2, MIN_RECHECK_TICKS)
            self._host.call_later(recheck_ticks, self.on_answer_overdue, attempt)

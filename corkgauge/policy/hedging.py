"""Hedging: an attempt that does badly is tried elsewhere, cancelled first or beside it."""

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

OVERTAKEN_BUDGET_FRACTION = 0.5  # of the retry budget; the rest is for what is lost for sure
MAX_ATTEMPTS_IN_FLIGHT = 2  # of one request
MIN_OVERTAKEN_COUNT = MIN_SAMPLES  # answers to later attempts
OVERDUE_FACTOR = 3.0  # of its usual time, for an attempt that was overtaken
SILENCE_FACTOR = 3.0  # usual lifetimes of all in flight together, without a sign of life
MAX_TIME_LEFT_FACTOR = 3  # of its usual time still to go, by its progress; large, as estimates err
MIN_RECHECK_TICKS = 1


class Hedging:
    """Decides which attempts do badly; owns nothing but asks."""

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

    def retry_elsewhere(self, attempt: Attempt, budget_fraction: float = 1.0) -> None:
        """Try an attempt that does badly elsewhere, if rules and part of the budget allow."""
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
        """Rescue attempts whose answers were lost or come late, though their engine is well.

        Later ones of no less work were answered first, and they are long overdue. Under pressure (a
        price) hedges would crowd out others.
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
                age = self._host.now - attempt.sent_at
                if age > OVERDUE_FACTOR * self._slowness.expected_time(attempt.request):
                    # On suspicion alone, hedges must leave budget for what is lost for sure.
                    self.retry_elsewhere(attempt, OVERTAKEN_BUDGET_FRACTION)

    def on_progress(self, attempt: Attempt, note_kind: int, completed_fraction: float) -> None:
        """A note from the engine on an attempt; retry it elsewhere if far too much is left."""
        request = attempt.request
        self._outliers.record_activity(attempt.engine)
        attempt.overtaken_count = 0
        if note_kind != NoteKind.PROGRESS or completed_fraction <= 0:
            return
        if request.is_finished or not attempt.is_in_flight or not self._dispatcher.can_cancel:
            return
        # A bad plan, or a slow engine, would hold threads for many times the work.
        time_left = (
            (self._host.now - attempt.sent_at) * (1 - completed_fraction) / completed_fraction
        )
        if time_left > MAX_TIME_LEFT_FACTOR * self._slowness.expected_time(request):
            self.retry_elsewhere(attempt)

    def on_answer_overdue(self, attempt: Attempt) -> None:
        """Find engines that take work and answer nothing.

        Any sign clears an engine; one long or light request is no proof: all that is in flight
        there must have lasted several times the usual since that sign.
        """
        stats = attempt.engine.stats
        now = self._host.now
        usual_slowness = self._slowness.usual()
        # In this order: the host takes the request off an attempt that is over.
        if not attempt.is_in_flight or attempt.request.is_finished:
            return
        if stats.last_activity_at >= attempt.sent_at:
            return
        lifetimes = sum(
            (now - max(each.sent_at, stats.last_activity_at))
            / max(each.expected_duration, each.typical_duration)
            for each in stats.in_flight
        )
        if lifetimes > SILENCE_FACTOR * usual_slowness:
            self._outliers.record_fault(attempt.engine, SILENT_FAULT)
            self.retry_elsewhere(attempt)
        else:
            recheck_ticks = max((now - attempt.sent_at) // 2, MIN_RECHECK_TICKS)
            self._host.call_later(recheck_ticks, self.on_answer_overdue, attempt)

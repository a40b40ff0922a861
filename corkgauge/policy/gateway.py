"""The map of the decisions: one method for each thing that can happen.

A host builds one `Gateway` and calls its methods; the gateway calls it back through the protocol in
`host.py`. Times are ticks, whole tenths of a millisecond. The ordinary path is in docs/design.md.
Each decision stands in a module of its own, which owns its state.
"""

from collections import deque
from struct import pack
from zlib import crc32

from corkgauge.policy.admission import Admission
from corkgauge.policy.admission_price import AdmissionPrice
from corkgauge.policy.concurrency_limit import ConcurrencyLimit, clamp_limit_factor
from corkgauge.policy.dispatch import Dispatcher
from corkgauge.policy.engine_selection import EngineSelector
from corkgauge.policy.engine_slowness import EngineSlowness
from corkgauge.policy.hedging import Hedging
from corkgauge.policy.host import Host
from corkgauge.policy.learned_state import LearnedState
from corkgauge.policy.lottery import Lottery
from corkgauge.policy.options import GatewayOptions
from corkgauge.policy.ordering import KeyedOrder
from corkgauge.policy.outcome_learning import OutcomeLearning
from corkgauge.policy.outlier_detection import OutlierDetector
from corkgauge.policy.recent_work import RecentWork
from corkgauge.policy.records import (
    Attempt,
    AttemptOutcome,
    Engine,
    EngineStats,
    Request,
    RequestClass,
)
from corkgauge.policy.request_queues import RequestQueues
from corkgauge.policy.retries import RetryBudget, RetryPolicy
from corkgauge.policy.share_controller import equalise_shares, record_interval
from corkgauge.policy.slow_start import SlowStart
from corkgauge.policy.subsetting import EngineSubset
from corkgauge.policy.units import FEEDBACK_INTERVAL_TICKS, RECENT_SAMPLES
from corkgauge.policy.work_estimates import WorkEstimates


class Gateway:
    """One workload manager's decisions."""

    def __init__(
        self, host: Host, options: GatewayOptions, request_classes: list[RequestClass]
    ) -> None:
        self.host = host
        self.options = options
        self.request_classes = request_classes
        self._build_estimators()
        self._build_selection()
        self._build_dispatch()
        self._build_admission()
        self._build_hedging()
        host.call_later(FEEDBACK_INTERVAL_TICKS, self.on_feedback_interval)

    def _build_estimators(self) -> None:
        """What is known of engines, requests and the past."""
        host, options = self.host, self.options
        self.queues = RequestQueues()
        self.estimates = WorkEstimates(self.request_classes)
        self.subset = EngineSubset(host, options, self.request_classes)
        self.slowness = EngineSlowness(host, self.subset)
        self.outliers = OutlierDetector(host, self.subset, self.on_capacity_freed)
        self.slow_start = SlowStart(host, options, self.estimates)
        self.limit = ConcurrencyLimit(host, options, self.estimates, self.slowness)
        self.price = AdmissionPrice(self.estimates)
        self.recent_work = RecentWork(self.subset)
        self.retry_budget = RetryBudget(host, options)
        self.retries = RetryPolicy(host, options, self.retry_budget)

    def _build_selection(self) -> None:
        """What chooses a queue, a request and an engine."""
        self.lottery = Lottery(self.options.seed)
        self.order = KeyedOrder(self.host, self.options.settle_ticks, self.on_order_turn)
        self.selector = EngineSelector(
            self.host,
            self.options,
            subset=self.subset,
            slowness=self.slowness,
            slow_start=self.slow_start,
            limit=self.limit,
            outliers=self.outliers,
            price=self.price,
            recent_work=self.recent_work,
        )

    def _build_dispatch(self) -> None:
        """What sends attempts."""
        self.dispatcher = Dispatcher(
            self.host,
            self.options,
            queues=self.queues,
            estimates=self.estimates,
            slowness=self.slowness,
            slow_start=self.slow_start,
            outliers=self.outliers,
            recent_work=self.recent_work,
            retry_budget=self.retry_budget,
            on_answer_overdue=self.on_answer_overdue,
        )

    def _build_admission(self) -> None:
        """What lets requests wait, and sends or gives up each."""
        self.admission = Admission(
            self.host,
            self.options,
            queues=self.queues,
            lottery=self.lottery,
            price=self.price,
            retries=self.retries,
            selector=self.selector,
            dispatcher=self.dispatcher,
            order=self.order,
            slowness=self.slowness,
        )

    def _build_hedging(self) -> None:
        """What acts on attempts in flight and on their outcomes."""
        self.hedging = Hedging(
            self.host,
            self.options,
            admission=self.admission,
            dispatcher=self.dispatcher,
            retries=self.retries,
            price=self.price,
            outliers=self.outliers,
            slowness=self.slowness,
        )
        self.learning = OutcomeLearning(
            self.host,
            estimates=self.estimates,
            slowness=self.slowness,
            outliers=self.outliers,
            limit=self.limit,
            price=self.price,
        )

    @property
    def engines(self) -> list[Engine]:
        """The engines that this gateway uses: its subset."""
        return self.subset.engines

    # Engines.

    def on_engine_update(self, engine: Engine, state: int, incarnation: int) -> None:
        """The list names an engine; a drain or departure holds from this moment."""
        if engine.stats is None or incarnation > engine.incarnation:
            usage = engine.stats.slow_start_usage if engine.stats else deque()
            engine.stats = EngineStats(
                slow_start_usage=usage,
                slowness_samples=deque(maxlen=RECENT_SAMPLES),
                fault_history=deque(maxlen=RECENT_SAMPLES),
                failure_history=deque(maxlen=RECENT_SAMPLES),
            )
            engine.threads_in_flight = 0
        engine.state = state
        engine.incarnation = incarnation
        self.subset.update_engine(engine)

    def on_engine_list_complete(self) -> None:
        """All updates of one change of the list were told."""
        self.subset.apply_list_change()
        self.selector.clear_cached_orders()
        self.admission.fill_slots()

    def on_subset_update_due(self) -> None:
        """The moment of the interval at which this gateway changes its subset."""
        self.subset.update(self.queues.requested_work_rate(), self.limit.threads_per_core)
        self.selector.clear_cached_orders()

    def on_engine_cordon(self, engine: Engine, cordon: int) -> None:
        """Maintenance takes an engine out (`Cordon`), or gives it back."""
        engine.cordon = cordon
        self.selector.clear_cached_orders()
        self.admission.fill_slots()

    def on_peer_health(self, engine: Engine, slowness: float, suspicion: int) -> None:
        """Other gateways' findings.

        Slowness 0: unknown. Suspicion 1: one attempt at a time tells; 2: none now.
        """
        engine.stats.peer_slowness = slowness
        engine.stats.peer_suspicion = suspicion

    def on_permit_moved(self, engine: Engine, work: float, when: int) -> None:
        """A slow-start permit was passed on (work above 0) or taken over (below)."""
        self.slow_start.record_moved_permit(engine, work, when)

    # Requests.

    def on_request(self, request: Request) -> None:
        """A client's request; from now on one final answer is owed."""
        self.admission.accept(request)

    def on_client_left(self, request: Request) -> None:
        """The client has gone."""
        self.admission.on_client_left(request)

    def on_deadline_near(self, request: Request) -> None:
        """The request's answer must go now to be in time."""
        self.admission.on_deadline_near(request)

    def on_order_turn(self, request: Request) -> None:
        """It is the request's turn in its keyed order."""
        self.admission.enqueue(request)

    def on_capacity_freed(self) -> None:
        """An engine's ejection is over, or anything else that may give waiting requests a slot."""
        self.admission.fill_slots()

    # Attempts.

    def can_start_attempt(self, attempt: Attempt) -> bool:
        """Whether all still holds, directly before the first byte, for which it may have waited."""
        return self.retries.can_start(attempt)

    def on_attempt_progress(self, attempt: Attempt, note_kind: int, value: float) -> None:
        """A note from the engine on an attempt that is in flight."""
        self.hedging.on_progress(attempt, note_kind, value)

    def on_answer_overdue(self, attempt: Attempt) -> None:
        """An attempt is out for longer than usual."""
        self.hedging.on_answer_overdue(attempt)

    def on_attempt_finished(
        self,
        attempt: Attempt,
        outcome: int,
        took: int,
        finished: bool,
        work: int,
        memory: float,
        reported_load: float,
    ) -> None:
        """An attempt has its outcome; the first answer has gone to the client by itself."""
        self.dispatcher.record_outcome(attempt, outcome)
        self.learning.learn_from_outcome(attempt, took, work, memory, reported_load)
        has_succeeded = outcome == AttemptOutcome.SUCCEEDED
        if not attempt.request.is_finished:
            self.admission.on_outcome(attempt, finished or has_succeeded, took)
        if has_succeeded:
            self.hedging.retry_overtaken_attempts(attempt)
        self.order.advance(attempt.request.order_key)
        self.admission.fill_slots()

    # Timers.

    def on_feedback_interval(self) -> None:
        """Feedback: shares move a bounded step towards equal weighted shortfall."""
        self.host.call_later(FEEDBACK_INTERVAL_TICKS, self.on_feedback_interval)
        self.retry_budget.discard_expired()  # what only a need trims would grow while there is none
        self.selector.clear_cached_orders()  # strangers name table groups without end
        queues = [*self.queues.values()]
        self.estimates.update(queues)
        self.price.update_bounds(queues)
        self.queues.count_arrivals()
        self.estimates.update_requested(queues)
        if self.subset.target_fraction() < 1.0:
            self._schedule_subset_update()
        moving = [queue for queue in queues if queue.shortfalls]
        record_interval(moving)
        equalise_shares(moving, queues)

    def _schedule_subset_update(self) -> None:
        # Gateways that started at one moment would all change their subsets at one moment.
        spread = crc32(pack("<qQ", self.options.gateway_number, self.host.now))
        self.host.call_later(spread % FEEDBACK_INTERVAL_TICKS, self.on_subset_update_due)

    # Recovery after a restart.

    def restore_learned_state(self, learned: LearnedState) -> None:
        """Before the first request. Slow start and draining rules know nothing of it."""
        self.price.current = learned.price
        self.slowness.best = learned.best_slowness
        self.retry_budget.restore([*learned.success_times], [*learned.retry_times])
        for each in learned.engines:
            stats = each.engine.stats
            stats.slowness_samples.extend(each.slowness_samples)
            stats.fault_history.extend(each.faults)
            stats.limit_factor = clamp_limit_factor(each.limit_factor)
            self.outliers.restore_ejection(each.engine, each.ejected_until)
        for request_class, samples in learned.request_classes:
            self.estimates.restore(request_class, samples)
        for tenant, request_class, share in learned.shares:
            self.queues.restore(tenant, request_class, share)

    def hold_order_key(self, order_key: int, until: int) -> None:
        """An attempt of this key may still run, for an earlier start of this gateway."""
        self.order.hold(order_key, until)

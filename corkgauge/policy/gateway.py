"""Entry point of the policy: one method for each event that a host reports.

A host builds one `Gateway` and calls its methods; the gateway calls the host back through the
protocol in `host.py`. Times are ticks, whole tenths of a millisecond. docs/design.md describes the
ordinary path of a request. Each decision is made in a separate module, which owns the state that
the decision needs.
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
    """Builds the modules that make the decisions, and passes the host's events to them."""

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
        """Build the modules that measure engines, requests and retries."""
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
        """Build the modules that choose a queue, a request and an engine."""
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
        """Build the module that sends attempts."""
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
        """Build the module that queues requests and sends, rejects or fails each."""
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
        """Build the modules that act on attempts in flight and on their outcomes."""
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
        """The engines in the subset of this gateway."""
        return self.subset.engines

    # Engines.

    def on_engine_update(self, engine: Engine, state: int, incarnation: int) -> None:
        """Store an update of one engine; `on_engine_list_complete` applies it to the subset.

        An attempt whose first byte has not been sent no longer starts if the engine is not ready.
        """
        if engine.stats is None or incarnation > engine.incarnation:
            slow_start_usage = engine.stats.slow_start_usage if engine.stats else deque()
            engine.stats = EngineStats(
                slow_start_usage=slow_start_usage,
                slowness_samples=deque(maxlen=RECENT_SAMPLES),
                fault_history=deque(maxlen=RECENT_SAMPLES),
                failure_history=deque(maxlen=RECENT_SAMPLES),
            )
            engine.threads_in_flight = 0
        engine.state = state
        engine.incarnation = incarnation
        self.subset.update_engine(engine)

    def on_engine_list_complete(self) -> None:
        """Rebuild the subset once all updates of one endpoint list change have been applied."""
        self.subset.apply_list_change()
        self.selector.clear_cached_orders()
        self.admission.fill_slots()

    def on_subset_update_due(self) -> None:
        """Resize the subset; due in each feedback interval, unless all engines should be in it."""
        self.subset.update(self.queues.requested_work_rate(), self.limit.threads_per_core)
        self.selector.clear_cached_orders()

    def on_engine_cordon(self, engine: Engine, cordon: int) -> None:
        """Apply the cordon (`Cordon`) that maintenance sets on an engine or lifts."""
        engine.cordon = cordon
        self.selector.clear_cached_orders()
        self.admission.fill_slots()

    def on_peer_health(self, engine: Engine, slowness: float, suspicion: int) -> None:
        """Store the slowness and suspicion of an engine that other gateways report.

        Slowness 0 means unknown. Suspicion 1 allows one attempt at a time, as a trial; suspicion 2
        allows none.
        """
        engine.stats.peer_slowness = slowness
        engine.stats.peer_suspicion = suspicion

    def on_permit_moved(self, engine: Engine, work: float, when: int) -> None:
        """Record a slow-start permit given to a peer (work above 0) or received (below 0).

        A permit is the right to send some work to an engine in slow start.
        """
        self.slow_start.record_moved_permit(engine, work, when)

    # Requests.

    def on_request(self, request: Request) -> None:
        """Accept a client's request; the gateway answers each accepted request exactly once."""
        self.admission.accept(request)

    def on_client_left(self, request: Request) -> None:
        """Finish a request whose client has disconnected, without an answer."""
        self.admission.on_client_left(request)

    def on_deadline_near(self, request: Request) -> None:
        """Answer a request that would otherwise miss its deadline."""
        self.admission.on_deadline_near(request)

    def on_order_turn(self, request: Request) -> None:
        """Queue a request once the earlier requests of its order key are over."""
        self.admission.enqueue(request)

    def on_capacity_freed(self) -> None:
        """Fill free slots, after an ejection has ended or capacity was freed in another way."""
        self.admission.fill_slots()

    # Attempts.

    def can_start_attempt(self, attempt: Attempt) -> bool:
        """Whether the attempt is still allowed.

        Called just before its first byte is sent, which may be long after `send_attempt`.
        """
        return self.retries.can_start(attempt)

    def on_attempt_progress(self, attempt: Attempt, note_kind: int, value: float) -> None:
        """Handle an engine's note about an attempt in flight."""
        self.hedging.on_progress(attempt, note_kind, value)

    def on_answer_overdue(self, attempt: Attempt) -> None:
        """Check an attempt that has been in flight for longer than expected."""
        self.hedging.on_answer_overdue(attempt)

    def on_attempt_finished(
        self,
        attempt: Attempt,
        outcome: int,
        duration_ticks: int,
        is_answered: bool,
        work: int,
        memory: float,
        reported_load: float,
    ) -> None:
        """Handle the outcome of an attempt.

        `is_answered` means that the host has already sent the client the final answer of the
        request; an outcome SUCCEEDED always counts as one. `duration_ticks` runs from the sending.
        An engine that does not report work (thread ticks) or memory (MB) has 0 there, and a
        `reported_load` below 0.
        """
        self.dispatcher.record_outcome(attempt, outcome)
        self.learning.learn_from_outcome(attempt, duration_ticks, work, memory, reported_load)
        has_succeeded = outcome == AttemptOutcome.SUCCEEDED
        if not attempt.request.is_finished:
            self.admission.on_outcome(attempt, is_answered or has_succeeded, duration_ticks)
        if has_succeeded:
            self.hedging.retry_overtaken_attempts(attempt)
        self.order.advance(attempt.request.order_key)
        self.admission.fill_slots()

    # Timers.

    def on_feedback_interval(self) -> None:
        """Do the periodic work: trim state, update estimates, price bounds, subset and shares."""
        self.host.call_later(FEEDBACK_INTERVAL_TICKS, self.on_feedback_interval)
        # The budget discards expired records only when a retry is considered. Without this call,
        # they would accumulate until then.
        self.retry_budget.discard_expired()
        # Clients may name any number of table groups; the cache would grow without bound.
        self.selector.clear_cached_orders()
        queues = [*self.queues.values()]
        self.estimates.update(queues)
        self.price.update_bounds(queues)
        self.queues.count_finished_requests()
        self.estimates.update_requested(queues)
        if self.subset.target_fraction() < 1.0:
            self._schedule_subset_update()
        active_queues = [queue for queue in queues if queue.shortfalls]
        record_interval(active_queues)
        equalise_shares(active_queues, queues)

    def _schedule_subset_update(self) -> None:
        # Without this delay, gateways that started together would all resize at the same time.
        spread_hash = crc32(pack("<qQ", self.options.gateway_number, self.host.now))
        self.host.call_later(spread_hash % FEEDBACK_INTERVAL_TICKS, self.on_subset_update_due)

    # Recovery after a restart.

    def restore_learned_state(self, learned: LearnedState) -> None:
        """Restore learned state before the first request; slow start and draining do not use it."""
        self.price.current = learned.price
        self.slowness.best = learned.best_slowness
        self.retry_budget.restore([*learned.success_times], [*learned.retry_times])
        for learned_engine in learned.engines:
            stats = learned_engine.engine.stats
            stats.slowness_samples.extend(learned_engine.slowness_samples)
            stats.fault_history.extend(learned_engine.faults)
            stats.limit_factor = clamp_limit_factor(learned_engine.limit_factor)
            self.outliers.restore_ejection(learned_engine.engine, learned_engine.ejected_until)
        for request_class, samples in learned.request_classes:
            self.estimates.restore(request_class, samples)
        for tenant, request_class, share in learned.shares:
            self.queues.restore(tenant, request_class, share)

    def hold_order_key(self, order_key: int, until: int) -> None:
        """Hold an order key whose attempt, sent before a restart, may still run."""
        self.order.hold(order_key, until)

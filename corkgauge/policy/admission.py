"""Admission: queues requests for a slot, then sends, rejects or fails each before its deadline.

A slot is room for one more attempt within the concurrency limit of an engine.
"""

from collections.abc import Collection

from corkgauge.policy import request_queues
from corkgauge.policy.admission_price import AdmissionPrice
from corkgauge.policy.dispatch import Dispatcher
from corkgauge.policy.engine_selection import EngineSelector
from corkgauge.policy.engine_slowness import EngineSlowness
from corkgauge.policy.host import Host
from corkgauge.policy.lottery import Lottery
from corkgauge.policy.options import GatewayOptions
from corkgauge.policy.ordering import KeyedOrder
from corkgauge.policy.records import Attempt, Engine, Request, RequestQueue
from corkgauge.policy.request_queues import RequestQueues
from corkgauge.policy.retries import RetryPolicy, can_be_rejected
from corkgauge.policy.units import ESTIMATE_VALIDITY_TICKS, RECENT_SAMPLES
from corkgauge.policy.work_estimates import expected_work

MAX_QUEUE_WAIT_FRACTION = 0.06  # of a request's time to its deadline
MAX_HOST_LAG_TICKS = 2 * ESTIMATE_VALIDITY_TICKS  # above it, new requests are rejected
MAX_REQUESTS_TRIED_COUNT = RECENT_SAMPLES  # requests of a queue that are tried for one slot
MIN_OBJECTIVE_TICKS = 1  # avoids a division by zero


class Admission:
    """Ensures one answer for each accepted request: an engine's, a rejection or a failure."""

    def __init__(
        self,
        host: Host,
        options: GatewayOptions,
        *,
        queues: RequestQueues,
        lottery: Lottery,
        price: AdmissionPrice,
        retries: RetryPolicy,
        selector: EngineSelector,
        dispatcher: Dispatcher,
        order: KeyedOrder,
        slowness: EngineSlowness,
    ) -> None:
        self._host = host
        self._deadline_margin_ticks = options.deadline_margin_ticks
        self._retry_after_ticks = options.retry_after_ticks
        self._queues = queues
        self._lottery = lottery
        self._price = price
        self._retries = retries
        self._selector = selector
        self._dispatcher = dispatcher
        self._order = order
        self._slowness = slowness

    def accept(self, request: Request) -> None:
        """Accept a client's request, which must then get exactly one final answer."""
        request_class = request.request_class
        request.queue = self._queues.queue_for(request.tenant, request_class)
        request.expected_work = expected_work(request)
        request.latency_objective = (
            request_class.latency_objective
            + request_class.objective_stretch * request.expected_work / request_class.threads
        )
        # When the gateway's processor is overloaded, every answer would be late: shed new requests.
        is_overloaded = self._host.lag > MAX_HOST_LAG_TICKS
        is_ordered = request_class.ordered and request.order_key != 0
        # What cannot be put in order is rejected: the order of a key must never be wrong.
        is_order_unknown = is_ordered and self._order.may_precede_accepted(request)
        is_expired = request.time_to_deadline <= self._deadline_margin_ticks
        if is_expired or is_overloaded or is_order_unknown:
            self.reject_or_fail(request)
            return
        time_left = request.time_to_deadline - self._deadline_margin_ticks
        self._host.call_later(time_left, self.on_deadline_near, request)
        if is_ordered:
            self._append_to_key_order(request)
        else:
            self.enqueue(request)

    def _append_to_key_order(self, request: Request) -> None:
        order_key = request.order_key
        self._order.append(request)
        # If the unsent requests of a key together need longer than the latency objective of the
        # new request, the last of them would end too late. Rejecting the heaviest ones saves the
        # largest number of others.
        waiting = self._order.unsent_requests(order_key)
        while len(waiting) > 1:
            time_needed = sum(map(self._slowness.expected_time, waiting))
            if time_needed <= request.latency_objective:
                break
            self.reject_or_fail(max(waiting, key=lambda each: each.expected_work))
            waiting = self._order.unsent_requests(order_key)
        max_wait_ticks = max(
            request.latency_objective - self._slowness.expected_time(request),
            request.time_to_deadline * MAX_QUEUE_WAIT_FRACTION,
        )
        self._host.call_later(int(max_wait_ticks), self.on_queue_wait_over, request, 0)
        self._order.advance(order_key)

    def enqueue(self, request: Request) -> None:
        """Queue the request for a slot, and send it at once if a slot is free."""
        request_queues.insert(request)
        max_wait = int(request.time_to_deadline * MAX_QUEUE_WAIT_FRACTION)
        self._host.call_later(max_wait, self.on_queue_wait_over, request, len(request.attempts))
        # Under overload, visiting all queues for each new request would use the whole processor.
        self.fill_slots((request.queue,))

    def fill_slots(self, queues: Collection[RequestQueue] = ()) -> None:
        """Fill free slots with requests of queues drawn by lottery.

        Draws from the given queues, or from all queues if none is given.
        """
        eligible_queues = [queue for queue in queues or self._queues.values() if queue.waiting]
        while eligible_queues:
            queue = self._lottery.draw(eligible_queues)
            if not self._send_lightest_request(queue) or not queue.waiting:
                eligible_queues.remove(queue)

    def _send_lightest_request(self, queue: RequestQueue) -> bool:
        """Send one of the lightest requests of the queue; return whether one was sent.

        A heavy request occupies a slot just as a light one does, so the lightest go first.
        """
        for request in queue.waiting[:MAX_REQUESTS_TRIED_COUNT]:
            engine = self._choose_engine(request)
            if engine:
                request_queues.remove(request)
                self._dispatcher.send(request, engine)
                return True
            # A retry may be held back by the retry rules alone. But if a first attempt finds no
            # engine, no heavier request of the queue finds one either.
            if not request.attempts:
                return False
        return False

    def _choose_engine(self, request: Request) -> Engine | None:
        """Select an engine if price and retry rules allow an attempt; None otherwise."""
        if self._price.is_too_high_for(request) or not self._retries.can_attempt(request):
            return None
        return self._selector.select(request)

    def on_deadline_near(self, request: Request) -> None:
        """Reject or fail a request that has reached its deadline margin."""
        if not request.is_finished:
            self.reject_or_fail(request)

    def on_queue_wait_over(self, request: Request, attempt_count: int) -> None:
        """Remove the request from its queue, unless an attempt was sent since the wait began.

        Without an attempt in flight, the request is rejected or failed.
        """
        if request.is_finished or attempt_count != len(request.attempts):
            return
        if any(attempt.is_in_flight for attempt in request.attempts):
            # No slot was found for a hedged attempt; the earlier attempt is still in flight.
            request_queues.remove(request)
        else:
            self.reject_or_fail(request)

    def on_outcome(self, attempt: Attempt, is_answered: bool, duration_ticks: int) -> None:
        """Finish, retry, reject or fail an unfinished request after one attempt's outcome."""
        request = attempt.request
        if is_answered:
            self._retries.budget.record_success(request)
            self.finish(request, duration_ticks + attempt.sent_at - request.accepted_at)
        elif not request.is_queued and not any(each.is_in_flight for each in request.attempts):
            if self._retries.can_retry(request):
                self.enqueue(request)
            else:
                self.reject_or_fail(request)

    def on_client_left(self, request: Request) -> None:
        """Finish a request whose client has disconnected; no answer is sent.

        The shortfall counts a latency of the whole time to the deadline.
        """
        if not request.is_finished:
            self.finish(request, request.time_to_deadline)

    def reject_or_fail(self, request: Request) -> None:
        """Reject the request if the client can safely send it again; fail it otherwise.

        The shortfall counts a latency of the whole time to the deadline.
        """
        # Answer before finishing: finishing starts the next request of the order key.
        if can_be_rejected(request):
            self._host.reject(request, self._retry_after_ticks)
        else:
            self._host.fail(request)
        self.finish(request, request.time_to_deadline)

    def finish(self, request: Request, latency: int) -> None:
        """Finish a request and record its shortfall, also if it was rejected or failed."""
        request_queues.remove(request)
        request.is_finished = True
        objective = max(request.latency_objective, MIN_OBJECTIVE_TICKS)
        request.queue.shortfalls.append(latency / objective)
        for attempt in request.attempts:
            self._dispatcher.cancel(attempt)
        self._order.advance(request.order_key)

"""Admission: requests wait in queues for a slot, are sent, or are given up in time."""

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

MAX_QUEUE_WAIT_FRACTION = (
    0.06  # of a request's time to its deadline that it waits in its queue at most
)
MAX_HOST_LAG_TICKS = 2 * ESTIMATE_VALIDITY_TICKS
MAX_REQUESTS_TRIED_COUNT = RECENT_SAMPLES  # requests of a queue that are looked at for a slot
MIN_OBJECTIVE_TICKS = 1


class Admission:
    """Every accepted request is answered once: by an engine, by a rejection or by a failure."""

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
        """A client's request; from now on one final answer is owed."""
        request_class = request.request_class
        request.queue = self._queues.queue_for(request.tenant, request_class)
        request.expected_work = expected_work(request)
        request.latency_objective = (
            request_class.latency_objective
            + request_class.objective_stretch * request.expected_work / request_class.threads
        )
        # A gateway whose own processor is full answers all late: it sheds what comes.
        is_overrun = self._host.lag > MAX_HOST_LAG_TICKS
        if request.time_to_deadline <= self._deadline_margin_ticks or is_overrun:
            self.reject_or_fail(request)
            return
        time_left = request.time_to_deadline - self._deadline_margin_ticks
        self._host.call_later(time_left, self.on_deadline_near, request)
        if request_class.ordered and request.order_key:
            self._append_to_key_order(request)
        else:
            self.enqueue(request)

    def _append_to_key_order(self, request: Request) -> None:
        order_key = request.order_key
        self._order.append(request)
        # In a line longer than its objective all would start too late. The heaviest are given up,
        # so most are not.
        waiting = self._order.unsent_requests(order_key)
        while len(waiting) > 1:
            time_needed = sum(map(self._slowness.expected_time, waiting))
            if time_needed <= request.latency_objective:
                break
            self.reject_or_fail(max(waiting, key=lambda each: each.expected_work))
            waiting = self._order.unsent_requests(order_key)
        patience = max(
            request.latency_objective - self._slowness.expected_time(request),
            request.time_to_deadline * MAX_QUEUE_WAIT_FRACTION,
        )
        self._host.call_later(int(patience), self.on_queue_wait_over, request, 0)
        self._order.advance(order_key)

    def enqueue(self, request: Request) -> None:
        """Let the request wait for a slot, and send it at once if there is one."""
        request_queues.insert(request)
        max_wait = int(request.time_to_deadline * MAX_QUEUE_WAIT_FRACTION)
        self._host.call_later(max_wait, self.on_queue_wait_over, request, len(request.attempts))
        # Under overload, a walk of all queues for each that joins would take the whole processor.
        self.fill_slots((request.queue,))

    def fill_slots(self, queues: Collection[RequestQueue] = ()) -> None:
        """Fill free slots by lottery among the queues that can use one: these, or all."""
        able = [queue for queue in queues or self._queues.values() if queue.waiting]
        while able:
            queue = self._lottery.draw(able)
            if not self._send_lightest_request(queue) or not queue.waiting:
                able.remove(queue)

    def _send_lightest_request(self, queue: RequestQueue) -> bool:
        """Send one request of the queue; whether one was sent.

        Heavy requests take slots like light ones: where a queue waits, its lightest go first.
        """
        for request in queue.waiting[:MAX_REQUESTS_TRIED_COUNT]:
            engine = self._choose_engine(request)
            if engine:
                request_queues.remove(request)
                self._dispatcher.send(request, engine)
                return True
            if not request.attempts:  # the others have no more choice than this one
                return False
        return False

    def _choose_engine(self, request: Request) -> Engine | None:
        """Is it worth it, may it be attempted, is there an engine."""
        if self._price.is_too_high_for(request) or not self._retries.can_attempt(request):
            return None
        return self._selector.select(request)

    def on_deadline_near(self, request: Request) -> None:
        """The answer must go now to be in time."""
        if not request.is_finished:
            self.reject_or_fail(request)

    def on_queue_wait_over(self, request: Request, attempt_count: int) -> None:
        """A request has waited its part in vain, if no attempt was made since."""
        if request.is_finished or attempt_count != len(request.attempts):
            return
        if any(attempt.is_in_flight for attempt in request.attempts):
            # A hedged attempt that found no place is forgotten: the first still runs.
            request_queues.remove(request)
        else:
            self.reject_or_fail(request)

    def on_outcome(self, attempt: Attempt, is_answered: bool, took: int) -> None:
        """An attempt of a request that is not finished has its outcome: close, retry or give up."""
        request = attempt.request
        if is_answered:
            self._retries.budget.record_success(request)
            self.finish(request, took + attempt.sent_at - request.accepted_at)
        elif not request.is_queued and not any(each.is_in_flight for each in request.attempts):
            if self._retries.can_retry(request):
                self.enqueue(request)
            else:
                self.reject_or_fail(request)

    def on_client_left(self, request: Request) -> None:
        """The client has gone; nothing more is owed."""
        if not request.is_finished:
            self.finish(request, request.time_to_deadline)

    def reject_or_fail(self, request: Request) -> None:
        """Reject the request if that does no harm, else fail it: the answer goes at once."""
        # Closing lets the next of its key go, so the answer comes first.
        if can_be_rejected(request):
            self._host.reject(request, self._retry_after_ticks)
        else:
            self._host.fail(request)
        self.finish(request, request.time_to_deadline)

    def finish(self, request: Request, latency: int) -> None:
        """A request is over, however it ended; those given up count as shortfall too."""
        request_queues.remove(request)
        request.is_finished = True
        objective = max(request.latency_objective, MIN_OBJECTIVE_TICKS)
        request.queue.shortfalls.append(latency / objective)
        for attempt in request.attempts:
            self._dispatcher.cancel(attempt)
        self._order.advance(request.order_key)

"""The admission price: the value per unit of work that a request needs to be sent."""

from collections.abc import Collection

from corkgauge.policy.records import Request, RequestClass, RequestQueue
from corkgauge.policy.units import RECENT_SAMPLES
from corkgauge.policy.work_estimates import WorkEstimates

MIN_CLASS_STEP_FACTOR = 0.4  # smallest factor on a step, for outcomes of light classes
MAX_CLASS_STEP_FACTOR = 2.0  # largest factor on a step, for outcomes of heavy classes
INTERVAL_DECAY_FRACTION = 0.2  # decrease of the price in each feedback interval
MIN_MEAN_WORK_TICKS = 1.0  # thread ticks; avoids division by zero


class AdmissionPrice:
    """Raises the price on late answers, timeouts and refusals; lowers it on answers in time.

    Hundreds of gateways, each below its concurrency limits, can overload the engines together. The
    price makes each of them hold back the requests of the least value for their work.
    """

    def __init__(self, estimates: WorkEstimates) -> None:
        self._estimates = estimates
        self.current = 0.0  # 0: every request may be sent
        self._min_price = 0.0
        self._max_price = 0.0

    def is_too_high_for(self, request: Request) -> bool:
        """Whether the price of the expected work exceeds the value of the request."""
        return request.expected_work * self.current > request.request_class.priority_weight

    def update_bounds(self, queues: Collection[RequestQueue]) -> None:
        """Bound the price by the classes in use, and lower it by the decay of one interval."""
        classes = [queue.request_class for queue in queues]
        values = [each.priority_weight / each.typical_work for each in classes] or [0.0]
        # Prices up to an eighth of the highest price that all classes can pay are treated as 0.
        self._min_price = min(values) / RECENT_SAMPLES
        # Hundreds of late answers at once would raise the price so far that no request is sent for
        # minutes. The bound keeps the class of the best value for its work affordable.
        self._max_price = max(values)
        # A price that holds back all requests gets no answers that would lower it, so it decays.
        self.current *= 1 - INTERVAL_DECAY_FRACTION

    def adjust(self, request_class: RequestClass, step: float) -> None:
        """Lower the price by `step` times the relative work of the class; raise it if negative.

        The price starts from the lower bound at least, stays within the upper bound, and becomes 0
        at or below the lower bound.
        """
        relative_work = request_class.typical_work / max(
            self._estimates.mean_typical_work, MIN_MEAN_WORK_TICKS
        )
        weight = min(max(relative_work, MIN_CLASS_STEP_FACTOR), MAX_CLASS_STEP_FACTOR)
        price = max(self.current, self._min_price) * (1 - step * weight)
        self.current = min(price, self._max_price) if price > self._min_price else 0.0

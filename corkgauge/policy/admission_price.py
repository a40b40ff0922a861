"""The admission price: the value for its work that a request must bring to be sent."""

from collections.abc import Collection

from corkgauge.policy.records import Request, RequestClass, RequestQueue
from corkgauge.policy.units import RECENT_SAMPLES
from corkgauge.policy.work_estimates import WorkEstimates

MIN_CLASS_STEP_FACTOR = 0.4  # least part of a step that a light class's outcome moves the price by
MAX_CLASS_STEP_FACTOR = 2.0  # most
INTERVAL_DECAY_FRACTION = 0.2  # part that an interval takes off
MIN_MEAN_WORK_TICKS = 1.0  # thread ticks; keeps the ratio of works finite


class AdmissionPrice:
    """Rises with late and refused answers, falls with those in time.

    Hundreds of gateways, each below its own limits, overrun the engines together; hence the price.
    """

    def __init__(self, estimates: WorkEstimates) -> None:
        self._estimates = estimates
        self.current = 0.0  # 0: everything goes
        self._min_price = 0.0
        self._max_price = 0.0

    def is_too_high_for(self, request: Request) -> bool:
        """Whether the request's value does not pay for its work."""
        return request.expected_work * self.current > request.request_class.priority_weight

    def update_bounds(self, queues: Collection[RequestQueue]) -> None:
        """Follow the classes in use, and let the price fall by an interval."""
        classes = [queue.request_class for queue in queues]
        values = [each.priority_weight / each.typical_work for each in classes] or [0.0]
        self._min_price = min(values) / RECENT_SAMPLES
        # Hundreds of late answers at once would raise the price out of reach for minutes; so it
        # stays where the class of the best value is still sent.
        self._max_price = max(values)
        # A price that holds all back meets no answer that could lower it: it falls by itself.
        self.current *= 1 - INTERVAL_DECAY_FRACTION

    def adjust(self, request_class: RequestClass, step: float) -> None:
        """Lower the price by `step`, a part of it, or raise it by a negative one."""
        relative_work = request_class.typical_work / max(
            self._estimates.mean_typical_work, MIN_MEAN_WORK_TICKS
        )
        weight = min(max(relative_work, MIN_CLASS_STEP_FACTOR), MAX_CLASS_STEP_FACTOR)
        price = max(self.current, self._min_price) * (1 - step * weight)
        self.current = min(price, self._max_price) if price > self._min_price else 0.0

"""The queues of waiting requests, one for each tenant and request class."""

from bisect import insort
from collections import deque
from collections.abc import Collection

from corkgauge.policy.records import Request, RequestClass, RequestQueue
from corkgauge.policy.units import FEEDBACK_INTERVAL_TICKS, RECENT_SAMPLES

SHARE_HISTORY_COUNT = 5  # intervals that the linear model of shares sees


class RequestQueues:
    """Owns the queues, in the order in which their first requests came."""

    def __init__(self) -> None:
        self.by_tenant_and_class: dict[tuple[int, RequestClass], RequestQueue] = {}

    def __len__(self) -> int:
        return len(self.by_tenant_and_class)

    def values(self) -> Collection[RequestQueue]:
        """All queues."""
        return self.by_tenant_and_class.values()

    def queue_for(self, tenant: int, request_class: RequestClass) -> RequestQueue:
        """The queue of the tenant and class; with a new one, all shares become equal."""
        key = tenant, request_class
        if key not in self.by_tenant_and_class:
            self.restore(tenant, request_class, 0.0)
            for queue in self.by_tenant_and_class.values():
                queue.share = 1 / len(self.by_tenant_and_class)
        return self.by_tenant_and_class[key]

    def restore(self, tenant: int, request_class: RequestClass, share: float) -> None:
        """Make a queue with the share that it had."""
        history = deque[tuple[float, float]](maxlen=SHARE_HISTORY_COUNT)
        queue = RequestQueue(request_class, history, share)
        self.by_tenant_and_class[tenant, request_class] = queue

    def count_arrivals(self) -> None:
        """Take the ends of this interval into the decayed count of arrivals."""
        for queue in self.by_tenant_and_class.values():
            queue.recent_arrivals += len(queue.shortfalls) - queue.recent_arrivals / RECENT_SAMPLES

    def requested_work_rate(self) -> float:
        """The work asked of this gateway lately, in threads."""
        work = sum(
            queue.recent_arrivals * queue.request_class.typical_work
            for queue in self.by_tenant_and_class.values()
        )
        return work / (RECENT_SAMPLES * FEEDBACK_INTERVAL_TICKS)


def insert(request: Request) -> None:
    """Put a request in its queue, which is in order of expected work."""
    request.is_queued = True
    insort(request.queue.waiting, request, key=lambda each: each.expected_work)


def remove(request: Request) -> None:
    """Take a request out of its queue, if it is there."""
    if request.is_queued:
        request.is_queued = False
        request.queue.waiting.remove(request)

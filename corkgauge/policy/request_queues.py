"""The queues of waiting requests, one for each tenant and request class."""

from bisect import insort
from collections import deque
from collections.abc import Collection

from corkgauge.policy.records import Request, RequestClass, RequestQueue
from corkgauge.policy.units import FEEDBACK_INTERVAL_TICKS, RECENT_SAMPLES

SHARE_HISTORY_COUNT = 5  # feedback intervals that the linear model of shares is fitted to


class RequestQueues:
    """Holds the queues, in order of creation."""

    def __init__(self) -> None:
        self.by_tenant_and_class: dict[tuple[int, RequestClass], RequestQueue] = {}

    def __len__(self) -> int:
        return len(self.by_tenant_and_class)

    def values(self) -> Collection[RequestQueue]:
        """All queues."""
        return self.by_tenant_and_class.values()

    def queue_for(self, tenant: int, request_class: RequestClass) -> RequestQueue:
        """The queue of the tenant and class; creating one resets all shares to equal shares."""
        key = tenant, request_class
        if key not in self.by_tenant_and_class:
            self.restore(tenant, request_class, 0.0)
            for queue in self.by_tenant_and_class.values():
                queue.share = 1 / len(self.by_tenant_and_class)
        return self.by_tenant_and_class[key]

    def restore(self, tenant: int, request_class: RequestClass, share: float) -> None:
        """Create a queue with the given share."""
        history = deque[tuple[float, float]](maxlen=SHARE_HISTORY_COUNT)
        queue = RequestQueue(request_class, history, share)
        self.by_tenant_and_class[tenant, request_class] = queue

    def count_finished_requests(self) -> None:
        """Add the requests finished in this interval to the decayed counts.

        Must be called before `share_controller.record_interval` clears the shortfalls.
        """
        for queue in self.by_tenant_and_class.values():
            queue.recent_finished_count += (
                len(queue.shortfalls) - queue.recent_finished_count / RECENT_SAMPLES
            )

    def requested_work_rate(self) -> float:
        """The work of recently finished requests per time, in threads."""
        work = sum(
            queue.recent_finished_count * queue.request_class.typical_work
            for queue in self.by_tenant_and_class.values()
        )
        return work / (RECENT_SAMPLES * FEEDBACK_INTERVAL_TICKS)


def insert(request: Request) -> None:
    """Insert a request into its queue, which is sorted by expected work."""
    request.is_queued = True
    insort(request.queue.waiting, request, key=lambda each: each.expected_work)


def remove(request: Request) -> None:
    """Remove a request from its queue, if the request is queued."""
    if request.is_queued:
        request.is_queued = False
        request.queue.waiting.remove(request)

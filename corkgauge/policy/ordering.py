"""Keyed order: sends the requests of one order key one at a time, in order of acceptance."""

from collections import deque
from collections.abc import Callable

from corkgauge.policy.host import Host
from corkgauge.policy.records import AttemptOutcome, Request

# Outcomes after which an engine may still be executing the attempt for a while.
POSSIBLY_RUNNING_OUTCOMES = (
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.CONNECTION_RESET,
    AttemptOutcome.CANCELLED,
)


class KeyedOrder:
    """Holds the requests of each order key, and until when earlier attempts may still run."""

    def __init__(self, host: Host, settle_ticks: int, enqueue: Callable[[Request], None]) -> None:
        self._host = host
        self._settle_ticks = settle_ticks
        self._enqueue = enqueue
        self.requests_by_key: dict[int, deque[Request]] = {}  # in order of acceptance
        self.held_until: dict[int, int] = {}  # ticks, by order key; no request is sent until then

    def append(self, request: Request) -> None:
        """Append a request to the queue of its order key."""
        self.requests_by_key.setdefault(request.order_key, deque()).append(request)

    def unsent_requests(self, order_key: int) -> list[Request]:
        """The requests of the key that still wait for their first attempt."""
        key_requests = self.requests_by_key.get(order_key, ())
        return [
            request for request in key_requests if not (request.is_finished or request.attempts)
        ]

    def hold(self, order_key: int, until: int) -> None:
        """Hold the key: an attempt from before a restart of this gateway may still run."""
        self.held_until[order_key] = max(until, self.held_until.get(order_key, until))
        self._host.call_later(until - self._host.now, self.advance, order_key)

    def advance(self, order_key: int) -> None:
        """Enqueue the next request of a key once all earlier requests and their attempts ended."""
        key_requests = self.requests_by_key.get(order_key)
        now = self._host.now
        if key_requests:
            self._remove_finished(order_key, key_requests)
        if key_requests and self.held_until.get(order_key, now) <= now:
            first = key_requests[0]
            if not (first.is_finished or first.is_queued or first.attempts):
                self._enqueue(first)
        elif key_requests is not None and not key_requests:
            del self.requests_by_key[order_key]
        if self.held_until.get(order_key, now + 1) <= now:
            del self.held_until[order_key]

    def _remove_finished(self, order_key: int, key_requests: deque[Request]) -> None:
        while key_requests and key_requests[0].is_finished:
            if any(attempt.is_in_flight for attempt in key_requests[0].attempts):
                return
            attempts = key_requests.popleft().attempts
            if any(attempt.outcome in POSSIBLY_RUNNING_OUTCOMES for attempt in attempts):
                self.held_until[order_key] = self._host.now + self._settle_ticks
                # Without a timer, a key without further requests would stay in memory forever.
                self._host.call_later(self._settle_ticks, self.advance, order_key)

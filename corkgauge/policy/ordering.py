"""Keyed order: sends the requests of one order key one at a time, in order of arrival.

The host accepts requests in the order in which it reads them. After a standstill of the process, or
while a long request is read in parts, that may not be the order in which they arrived.
"""

from collections import deque
from collections.abc import Callable
from itertools import islice
from typing import NamedTuple

from corkgauge.policy.host import Host
from corkgauge.policy.records import AttemptOutcome, Request

# Outcomes after which an engine may still be executing the attempt for a while.
POSSIBLY_RUNNING_OUTCOMES = (
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.CONNECTION_RESET,
    AttemptOutcome.CANCELLED,
)

# Clients send two requests of one key at least 60 ms apart; the network may take 10 ms of that.
MIN_ARRIVAL_GAP_TICKS = 500
MAX_FORGOTTEN_AT_ONCE = 2  # more than the one that is added, so that the number shrinks again


class Acceptance(NamedTuple):
    """The latest accepted request of an order key: times in ticks, and its connection."""

    accepted_at: int
    latest_arrival: int
    connection_number: int


class KeyedOrder:
    """Holds the requests of each order key, and until when earlier attempts may still run."""

    def __init__(self, host: Host, settle_ticks: int, enqueue: Callable[[Request], None]) -> None:
        self._host = host
        self._settle_ticks = settle_ticks
        self._enqueue = enqueue
        self.requests_by_key: dict[int, deque[Request]] = {}  # in order of acceptance
        self.held_until: dict[int, int] = {}  # ticks, by order key; no request is sent until then
        self._latest_by_key: dict[int, Acceptance] = {}  # in order of acceptance
        # Longest deadline of the classes seen: a request that waited unread for longer has expired.
        self._kept_ticks = 0

    def may_precede_accepted(self, request: Request) -> bool:
        """Return whether the request may have arrived before one of its key that is accepted.

        That one may have been sent already, so the order could not be kept.
        """
        latest = self._latest_by_key.get(request.order_key)
        if latest is None or latest.connection_number in (0, request.connection_number):
            return False
        return request.earliest_arrival + MIN_ARRIVAL_GAP_TICKS <= latest.latest_arrival

    def append(self, request: Request) -> None:
        """Append a request to the queue of its order key."""
        self.requests_by_key.setdefault(request.order_key, deque()).append(request)
        self._kept_ticks = max(self._kept_ticks, request.request_class.time_to_deadline)
        self._latest_by_key.pop(request.order_key, None)
        self._latest_by_key[request.order_key] = Acceptance(
            self._host.now, request.latest_arrival, request.connection_number
        )
        self._forget_old_acceptances()

    def _forget_old_acceptances(self) -> None:
        oldest_kept = self._host.now - self._kept_ticks
        for order_key, latest in [*islice(self._latest_by_key.items(), MAX_FORGOTTEN_AT_ONCE)]:
            if latest.accepted_at <= oldest_kept:
                del self._latest_by_key[order_key]

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

"""Keyed order: requests of one key are sent one after the other, as they were accepted."""

from collections import deque
from collections.abc import Callable

from corkgauge.policy.host import Host
from corkgauge.policy.records import AttemptOutcome, Request

# Outcomes after which an attempt may still run for a while.
POSSIBLY_RUNNING_OUTCOMES = (
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.CONNECTION_RESET,
    AttemptOutcome.CANCELLED,
)


class KeyedOrder:
    """Owns the line of each key, and until when an attempt of a key may still run."""

    def __init__(self, host: Host, settle_ticks: int, enqueue: Callable[[Request], None]) -> None:
        self._host = host
        self._settle_ticks = settle_ticks
        self._enqueue = enqueue
        self.requests_by_key: dict[int, deque[Request]] = {}  # in the order accepted
        self.held_until: dict[int, int] = {}

    def append(self, request: Request) -> None:
        """Put a request at the end of its key's line."""
        self.requests_by_key.setdefault(request.order_key, deque()).append(request)

    def unsent_requests(self, order_key: int) -> list[Request]:
        """The requests of the line that still wait for their first attempt."""
        line = self.requests_by_key.get(order_key, ())
        return [request for request in line if not (request.is_finished or request.attempts)]

    def hold(self, order_key: int, until: int) -> None:
        """An attempt of this key may still run, for an earlier start of this gateway."""
        self.held_until[order_key] = max(until, self.held_until.get(order_key, until))
        self._host.call_later(until - self._host.now, self.advance, order_key)

    def advance(self, order_key: int) -> None:
        """Let the next of a key go, once all before it are over and their attempts ended."""
        line = self.requests_by_key.get(order_key)
        now = self._host.now
        if line:
            self._remove_finished(order_key, line)
        if line and self.held_until.get(order_key, now) <= now:
            first = line[0]
            if not (first.is_finished or first.is_queued or first.attempts):
                self._enqueue(first)
        elif line is not None and not line:
            del self.requests_by_key[order_key]
        if self.held_until.get(order_key, now + 1) <= now:
            del self.held_until[order_key]

    def _remove_finished(self, order_key: int, line: deque[Request]) -> None:
        while line and line[0].is_finished:
            if any(attempt.is_in_flight for attempt in line[0].attempts):
                return
            attempts = line.popleft().attempts
            if any(attempt.outcome in POSSIBLY_RUNNING_OUTCOMES for attempt in attempts):
                self.held_until[order_key] = self._host.now + self._settle_ticks
                # Without a timer, a key that never comes again would stay here for ever.
                self._host.call_later(self._settle_ticks, self.advance, order_key)

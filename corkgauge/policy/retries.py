"""Decides whether a request may be retried, by repeatability and the retry budget."""

from bisect import bisect_right, insort

from corkgauge.policy.host import Host
from corkgauge.policy.options import GatewayOptions
from corkgauge.policy.placement_rules import is_cordoned_for
from corkgauge.policy.records import (
    NEVER_RAN,
    Attempt,
    AttemptOutcome,
    EngineState,
    Repeatability,
    Request,
)
from corkgauge.policy.units import ESTIMATE_VALIDITY_TICKS, TICKS_PER_SECOND

# Budget against retry storms, used if the settings contain none.
DEFAULT_RETRY_FLOOR = 10  # retries in one window
DEFAULT_RETRY_SHARE = 0.5  # retries per answered request
DEFAULT_RETRY_WINDOW_TICKS = 5 * TICKS_PER_SECOND
MAX_ERROR_COUNT = 2  # failed attempts of one request
# A retry whose first byte is sent later than this counts in the budget from that byte on.
IMMEDIATE_SEND_TICKS = ESTIMATE_VALIDITY_TICKS


def possibly_executed_attempts(request: Request) -> list[Attempt]:
    """All attempts of a request except those proven never to have run."""
    return [
        *request.earlier_attempts,
        *(attempt for attempt in request.attempts if attempt.outcome not in NEVER_RAN),
    ]


def can_be_rejected(request: Request) -> bool:
    """Whether the client can safely repeat the request, or the request never ran."""
    request_class = request.request_class
    return (
        request_class.repeatability == Repeatability.IDEMPOTENT
        or not possibly_executed_attempts(request)
        or (request_class.repeatability == Repeatability.KEYED and request_class.key_scope == "all")
    )


class RetryBudget:
    """Limits the retries in a time window to a floor plus a share of the answered requests."""

    def __init__(self, host: Host, options: GatewayOptions) -> None:
        self._host = host
        self.floor: float = DEFAULT_RETRY_FLOOR
        self.share = DEFAULT_RETRY_SHARE  # retries per answered request
        self.window_ticks = DEFAULT_RETRY_WINDOW_TICKS
        if options.retry_window_ticks:
            self.floor = options.retry_floor
            self.share = options.retry_share
            self.window_ticks = options.retry_window_ticks
        self.throttle = 1.0  # usable fraction of the budget; below 1 during a fleet's retry storm
        # Acceptance times of answered requests in the window, sorted.
        self.success_times: list[int] = []
        self.retry_times: list[int] = []  # send times of retries, sorted

    def has_left(self, fraction: float = 1.0) -> bool:
        """Whether one more retry fits into `fraction` of the budget."""
        self.discard_expired()
        allowed = self.floor + self.share * len(self.success_times)
        return len(self.retry_times) + 1 <= fraction * self.throttle * allowed

    def discard_expired(self) -> None:
        """Drop successes and retries that have left the window."""
        window_start = self._host.now - self.window_ticks
        for times in (self.success_times, self.retry_times):
            del times[: bisect_right(times, window_start)]

    def record_success(self, request: Request) -> None:
        """Record a request that an engine answered.

        Only answers count: requests that no engine can process must not add to the budget.
        """
        insort(self.success_times, request.accepted_at)

    def record_retry(self, sent_at: int) -> None:
        """Record a retry that is being sent."""
        self.retry_times.append(sent_at)

    def renew(self, sent_at: int) -> bool:
        """Move a retry from `sent_at` to now; drop it and return False if the budget is used up."""
        self.retry_times.remove(sent_at)
        if not self.has_left():
            return False
        insort(self.retry_times, self._host.now)
        return True

    def restore(self, success_times: list[int], retry_times: list[int]) -> None:
        """Restore the successes and retries recorded before a restart of this gateway."""
        self.success_times = sorted(success_times)
        self.retry_times = sorted(retry_times)


class RetryPolicy:
    """Decides whether an attempt is allowed by repeatability, attempt count and retry budget."""

    def __init__(self, host: Host, options: GatewayOptions, budget: RetryBudget) -> None:
        self._host = host
        self._max_attempts = options.max_attempts
        self._deadline_margin_ticks = options.deadline_margin_ticks
        self.budget = budget

    def can_retry(self, request: Request) -> bool:
        """Whether another attempt is allowed, regardless of the budget."""
        if len(request.attempts) >= self._max_attempts:
            return False
        possibly_executed = possibly_executed_attempts(request)
        # If two engines fail a request, the request is probably the cause. More attempts would use
        # up the budget that other requests need.
        error_count = sum(attempt.outcome == AttemptOutcome.ERROR for attempt in possibly_executed)
        return error_count < MAX_ERROR_COUNT and self.is_repeatable(request, possibly_executed)

    def can_attempt(self, request: Request) -> bool:
        """Whether a first attempt, or a retry within rules and budget, is allowed."""
        return not request.attempts or (self.can_retry(request) and self.budget.has_left())

    def is_repeatable(self, request: Request, possibly_executed: list[Attempt]) -> bool:
        """Whether another attempt is safe after the `possibly_executed` ones."""
        request_class = request.request_class
        if not possibly_executed or request_class.repeatability == Repeatability.IDEMPOTENT:
            return True
        if request_class.repeatability != Repeatability.KEYED:
            return False
        key_expires_at = possibly_executed[0].sent_at + request_class.key_ttl
        return self._host.now < key_expires_at - self._deadline_margin_ticks

    def can_start(self, attempt: Attempt) -> bool:
        """Whether the attempt is still allowed.

        Called just before its first byte is sent, which may be long after `send_attempt`.
        """
        request = attempt.request
        engine = attempt.engine
        if request.is_finished or engine.state != EngineState.READY:
            return False
        # An engine that has restarted since is in slow start, and its budget excludes the attempt.
        if attempt not in engine.stats.in_flight:
            return False
        possibly_executed = [
            each for each in possibly_executed_attempts(request) if each is not attempt
        ]
        if is_cordoned_for(request, engine, possibly_executed) or not self.is_repeatable(
            request, possibly_executed
        ):
            return False
        has_waited = attempt.sent_at + IMMEDIATE_SEND_TICKS < self._host.now
        if attempt.number and has_waited and attempt.sent_at in self.budget.retry_times:
            return self.budget.renew(attempt.sent_at)
        return True

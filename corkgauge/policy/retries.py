"""Whether a request may have another attempt: repeatability, and the retry budget."""

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

# The budget where none is stated: one of our own against retry storms.
DEFAULT_RETRY_FLOOR = 10
DEFAULT_RETRY_SHARE = 0.5
DEFAULT_RETRY_WINDOW_TICKS = 5 * TICKS_PER_SECOND
MAX_ERROR_COUNT = 2  # attempts of a request that engines failed
# An attempt that waited longer for its first byte counts in the budget from that byte on.
IMMEDIATE_SEND_TICKS = ESTIMATE_VALIDITY_TICKS


def possibly_executed_attempts(request: Request) -> list[Attempt]:
    """All but those that are proven never to have run."""
    return [
        *request.earlier_attempts,
        *(attempt for attempt in request.attempts if attempt.outcome not in NEVER_RAN),
    ]


def can_be_rejected(request: Request) -> bool:
    """Whether the client may be told to try again: it does no harm, or the request never ran."""
    request_class = request.request_class
    return (
        request_class.repeatability == Repeatability.IDEMPOTENT
        or not possibly_executed_attempts(request)
        or (request_class.repeatability == Repeatability.KEYED and request_class.key_scope == "all")
    )


class RetryBudget:
    """Bounds retries by what succeeded in the window; owns both."""

    def __init__(self, host: Host, options: GatewayOptions) -> None:
        self._host = host
        self.floor: float = DEFAULT_RETRY_FLOOR
        self.share = DEFAULT_RETRY_SHARE  # retries for each success
        self.window_ticks = DEFAULT_RETRY_WINDOW_TICKS
        if options.retry_window_ticks:
            self.floor = options.retry_floor
            self.share = options.retry_share
            self.window_ticks = options.retry_window_ticks
        self.throttle = 1.0  # part of the budget, while the fleet's retries are a storm
        self.success_times: list[int] = []  # when accepted, of the window, in order
        self.retry_times: list[int] = []  # when sent

    def has_left(self, part: float = 1.0) -> bool:
        """Whether one more retry is in `part` of the budget."""
        self.discard_expired()
        allowed = self.floor + self.share * len(self.success_times)
        return len(self.retry_times) + 1 <= part * self.throttle * allowed

    def discard_expired(self) -> None:
        """Drop what has left the window."""
        window_start = self._host.now - self.window_ticks
        for times in (self.success_times, self.retry_times):
            del times[: bisect_right(times, window_start)]

    def record_success(self, request: Request) -> None:
        """A request had its answer from an engine.

        What strangers send that no engine can use must not buy retries: only answers count.
        """
        insort(self.success_times, request.accepted_at)

    def record_retry(self, sent_at: int) -> None:
        """A retry is sent."""
        self.retry_times.append(sent_at)

    def renew(self, sent_at: int) -> bool:
        """Count a retry from now on in place of `sent_at`; False if the budget has none left."""
        self.retry_times.remove(sent_at)
        if not self.has_left():
            return False
        insort(self.retry_times, self._host.now)
        return True

    def restore(self, success_times: list[int], retry_times: list[int]) -> None:
        """Take over what an earlier start of this gateway counted."""
        self.success_times = sorted(success_times)
        self.retry_times = sorted(retry_times)


class RetryPolicy:
    """The rules on effects: may an attempt be made, whatever it is worth."""

    def __init__(self, host: Host, options: GatewayOptions, budget: RetryBudget) -> None:
        self._host = host
        self._max_attempts = options.max_attempts
        self._deadline_margin_ticks = options.deadline_margin_ticks
        self.budget = budget

    def can_retry(self, request: Request) -> bool:
        """Whether there may be another attempt, whatever the budget says."""
        if len(request.attempts) >= self._max_attempts:
            return False
        ran = possibly_executed_attempts(request)
        # What two engines cannot use speaks against the request; more would spend others' budget.
        errors = sum(attempt.outcome == AttemptOutcome.ERROR for attempt in ran)
        return errors < MAX_ERROR_COUNT and self.is_repeatable(request, ran)

    def can_attempt(self, request: Request) -> bool:
        """Whether there may be a first attempt, or a retry within rules and budget."""
        return not request.attempts or (self.can_retry(request) and self.budget.has_left())

    def is_repeatable(self, request: Request, ran: list[Attempt]) -> bool:
        """Whether an attempt does no harm after those in `ran`."""
        request_class = request.request_class
        if not ran or request_class.repeatability == Repeatability.IDEMPOTENT:
            return True
        if request_class.repeatability != Repeatability.KEYED:
            return False
        key_expires_at = ran[0].sent_at + request_class.key_ttl
        return self._host.now < key_expires_at - self._deadline_margin_ticks

    def can_start(self, attempt: Attempt) -> bool:
        """Whether all still holds, directly before the first byte, for which it may have waited."""
        request = attempt.request
        engine = attempt.engine
        if request.is_finished or engine.state != EngineState.READY:
            return False
        # An engine that was started anew meanwhile is warming up, and was granted no part of this.
        if attempt not in engine.stats.in_flight:
            return False
        ran = [each for each in possibly_executed_attempts(request) if each is not attempt]
        if is_cordoned_for(request, engine, ran) or not self.is_repeatable(request, ran):
            return False
        has_waited = attempt.sent_at + IMMEDIATE_SEND_TICKS < self._host.now
        if attempt.number and has_waited and attempt.sent_at in self.budget.retry_times:
            return self.budget.renew(attempt.sent_at)
        return True

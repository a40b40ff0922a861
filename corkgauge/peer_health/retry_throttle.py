"""Fleet-wide retry throttling: retries of all gateways fall together, and come back by steps.

Free of I/O. Throttling never allows more than a gateway's own retry budget: it is a fraction of
that, 1 at most.

Why: a fault of an engine or a zone meets every gateway alike. Each then keeps to its own retry
budget, while the sum of their retries, on what is left, keeps the fleet from recovering (failures
that sustain themselves: Bronson, Aghayev, Charapko and Zhu, 2021). Each gateway works out the same
fraction from the same sums, as far as updates reached it; a gateway that hears of no other keeps
its whole budget. Times are ticks, tenths of a millisecond.
"""

from collections.abc import Iterable
from typing import NamedTuple

USAGE_LIFETIME_TICKS = 40_000  # an update this old counts for nothing
NORMAL_SPENT_FRACTION = 0.25  # of the fleet's retry budget: below it nothing is throttled
MIN_BUDGET_FRACTION = 0.1  # some retries must go on, to find out when the trouble is over
RECOVERY_STEP_FRACTION = 0.05  # of the budget, regained an update
MIN_GATEWAY_COUNT = 3  # that must be known, ourselves among them, before anything is throttled


class RetryUsage(NamedTuple):
    """What a gateway counted over the span of its retry budget; `reported_at` by our clock."""

    reported_at: int
    succeeded: int
    retries: int


class RetryThrottle:
    """The fraction of its retry budget that the gateway `name` may use.

    >>> throttle = RetryThrottle("n1")
    >>> throttle.record_usage("n2", 0, 10, 10), throttle.record_usage("n3", 0, 10, 9)
    (None, None)
    >>> round(throttle.update(0, 10, 11, 0.0, 1.0), 2)     # all of what is allowed is spent
    0.25
    >>> throttle.record_usage("n2", 100, 40, 0), throttle.record_usage("n3", 100, 40, 0)
    (None, None)
    >>> round(throttle.update(100, 40, 0, 0.0, 1.0), 2)
    0.3
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.budget_fraction = 1.0
        self.usage_by_member: dict[str, RetryUsage] = {}

    def record_usage(self, gateway: str, now: int, succeeded: int, retries: int) -> None:
        """Keep what another gateway reports of its own succeeded requests and retries."""
        if gateway != self.name:
            self.usage_by_member[gateway] = RetryUsage(now, max(succeeded, 0), max(retries, 0))

    def update(
        self, now: int, succeeded: int, retries: int, floor: float, allowed_ratio: float
    ) -> float:
        """Work out `budget_fraction` anew, from our own counts and those of others, and return it.

        A gateway's retry budget is `floor` retries and `allowed_ratio` for each succeeded request.
        """
        self.usage_by_member = {
            name: usage
            for name, usage in self.usage_by_member.items()
            if now < usage.reported_at + USAGE_LIFETIME_TICKS
        }
        usages = [RetryUsage(now, succeeded, retries), *self.usage_by_member.values()]
        budget = sum(floor + allowed_ratio * usage.succeeded for usage in usages)
        spent_fraction = sum(usage.retries for usage in usages) / budget if budget > 0 else 0.0
        regained = self.budget_fraction + RECOVERY_STEP_FRACTION
        if len(usages) < MIN_GATEWAY_COUNT or spent_fraction <= NORMAL_SPENT_FRACTION:
            self.budget_fraction = min(1.0, regained)
        else:
            # The more of its budget the fleet spends, the less each may; and no jump upwards,
            # which would bring all retries back at once.
            throttled = NORMAL_SPENT_FRACTION / spent_fraction
            self.budget_fraction = max(MIN_BUDGET_FRACTION, min(regained, throttled))
        return self.budget_fraction

    def retain_members(self, members: Iterable[str]) -> None:
        """Drop what is known of gateways that are no members any more."""
        known = {*members}
        self.usage_by_member = {
            name: usage for name, usage in self.usage_by_member.items() if name in known
        }

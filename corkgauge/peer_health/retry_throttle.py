"""Throttles retries fleet-wide: all gateways reduce retries together and restore them in steps.

Performs no I/O. The throttle is a fraction of a gateway's retry budget, 1 at most, so it never
allows more retries than the budget.

A fault of an engine or a zone affects all gateways at once. Each gateway then stays within its own
retry budget, but the sum of the retries on the remaining capacity can keep the fleet from
recovering (metastable failures: Bronson, Aghayev, Charapko and Zhu, 2021). All gateways compute the
same fraction from the same sums, as far as they received the same updates. A gateway that receives
no updates keeps its whole budget, or returns to it in steps if it was throttled before. Times are
ticks, tenths of a millisecond.
"""

from collections.abc import Iterable
from typing import NamedTuple

USAGE_LIFETIME_TICKS = 40_000  # age at which an update is ignored
# Fraction of the fleet's retry budget that may be spent without throttling.
NORMAL_SPENT_FRACTION = 0.25
MIN_BUDGET_FRACTION = 0.1  # some retries continue, to detect the end of the fault
RECOVERY_STEP_FRACTION = 0.05  # of the budget, regained at each update
MIN_GATEWAY_COUNT = 3  # known gateways, the local one included, needed for throttling


class RetryUsage(NamedTuple):
    """Counts of a gateway over its retry budget's window; `reported_at` is local time."""

    reported_at: int
    succeeded: int
    retries: int


class RetryThrottle:
    """Computes the fraction of its retry budget that the gateway `name` may use.

    >>> throttle = RetryThrottle("n1")
    >>> throttle.record_usage("n2", 0, 10, 10), throttle.record_usage("n3", 0, 10, 9)
    (None, None)
    >>> round(throttle.update(0, 10, 11, 0.0, 1.0), 2)     # the budget is fully spent
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
        """Record the succeeded requests and retries that another gateway reported."""
        if gateway != self.name:
            self.usage_by_member[gateway] = RetryUsage(now, max(succeeded, 0), max(retries, 0))

    def update(
        self, now: int, succeeded: int, retries: int, floor: float, allowed_ratio: float
    ) -> float:
        """Recompute `budget_fraction` from the local and the reported counts, and return it.

        A gateway's retry budget is `floor` retries plus `allowed_ratio` retries for each succeeded
        request.
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
            # The more of its retry budget the fleet spends, the smaller the fraction. An increase
            # is limited to one step, because a jump would bring back all retries at once.
            throttled = NORMAL_SPENT_FRACTION / spent_fraction
            self.budget_fraction = max(MIN_BUDGET_FRACTION, min(regained, throttled))
        return self.budget_fraction

    def retain_members(self, members: Iterable[str]) -> None:
        """Drop the usage of former members."""
        known = {*members}
        self.usage_by_member = {
            name: usage for name, usage in self.usage_by_member.items() if name in known
        }

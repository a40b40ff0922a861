"""An independent count of retries and hedged attempts against the retry budget.

Counts what was really accepted and sent, not what the gateway remembers of it, so that a fault in
the gateway's own budget shows. Free of I/O; times are tenths of a millisecond and are handed in.
"""

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

WINDOW_SLICES = (
    50  # accepted requests are counted by slice: one number each for thousands of requests
)


class RetryBudget(NamedTuple):
    """How many retries and hedged attempts a window may have."""

    floor: float
    """Allowed in any case."""
    share: float
    """Allowed for each request that was accepted within the window."""
    window_ticks: int
    """Length of the window in tenths of a millisecond; 0: no budget is checked."""


@dataclass(slots=True)
class AcceptedSlice:
    """Requests that were accepted within one slice of the window."""

    started_at: int
    count: int


class RetryBudgetCheck:
    """Counts accepted requests and extra attempts within a sliding window."""

    __slots__ = ("accepted", "accepted_by_slice", "budget", "extra_attempts", "slice_ticks")

    def __init__(self, budget: RetryBudget) -> None:
        self.budget = budget
        self.slice_ticks = max(budget.window_ticks // WINDOW_SLICES, 1)
        self.extra_attempts = deque[int]()  # when each within the window was sent
        self.accepted_by_slice = deque[AcceptedSlice]()
        self.accepted = 0  # the sum of the slices

    def record_accepted(self, now: int) -> None:
        """Count an accepted request."""
        self.accepted += 1
        slices = self.accepted_by_slice
        if slices and slices[-1].started_at + self.slice_ticks > now:
            slices[-1].count += 1
        else:
            self._forget_before(now)
            slices.append(AcceptedSlice(now, 1))

    def record_extra_attempt(self, now: int) -> bool:
        """Count a retry or hedged attempt; True if it exceeds the budget.

        The window is one slice wider for accepted requests, so that it errs on the side of the
        gateway.
        """
        self._forget_before(now)
        self.extra_attempts.append(now)
        allowed = self.budget.floor + self.budget.share * self.accepted
        return len(self.extra_attempts) > allowed

    def _forget_before(self, now: int) -> None:
        window_start = now - self.budget.window_ticks
        while self.extra_attempts and self.extra_attempts[0] <= window_start:
            self.extra_attempts.popleft()
        slices = self.accepted_by_slice
        while slices and slices[0].started_at + self.slice_ticks <= window_start:
            self.accepted -= slices.popleft().count

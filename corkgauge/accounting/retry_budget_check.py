"""Checks retries and hedged attempts against the retry budget, independently of the gateway.

Counts the requests and attempts that were actually accepted and sent, not those in the gateway's
budget, so that the check reveals faults of that budget. Free of I/O; the caller provides times, in
tenths of a millisecond.
"""

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

# Accepted requests are counted per slice of the window, so that thousands of requests need only one
# number.
WINDOW_SLICE_COUNT = 50


class RetryBudget(NamedTuple):
    """The number of retries and hedged attempts that are allowed within a window."""

    floor: float
    """Attempts allowed regardless of the number of requests."""
    per_request: float
    """Attempts allowed for each request that was accepted within the window."""
    window_ticks: int
    """Length of the window in tenths of a millisecond; 0 if no budget is checked."""


@dataclass(slots=True)
class AcceptedSlice:
    """The number of requests that were accepted within one slice of the window."""

    started_at: int
    count: int


class RetryBudgetCheck:
    """Counts accepted requests and extra attempts within a sliding window."""

    __slots__ = ("accepted", "accepted_by_slice", "budget", "extra_attempts", "slice_ticks")

    def __init__(self, budget: RetryBudget) -> None:
        self.budget = budget
        self.slice_ticks = max(budget.window_ticks // WINDOW_SLICE_COUNT, 1)
        self.extra_attempts = deque[int]()  # send times within the window
        self.accepted_by_slice = deque[AcceptedSlice]()
        self.accepted = 0  # sum over all slices

    def record_accepted(self, now: int) -> None:
        """Count an accepted request."""
        self.accepted += 1
        slices = self.accepted_by_slice
        if slices and slices[-1].started_at + self.slice_ticks > now:
            slices[-1].count += 1
        else:
            self._drop_expired(now)
            slices.append(AcceptedSlice(now, 1))

    def record_extra_attempt(self, now: int) -> bool:
        """Count a retry or hedged attempt; return whether the attempt exceeds the budget.

        For accepted requests, the window is one slice wider, so that the check does not report an
        attempt in case of doubt.
        """
        self._drop_expired(now)
        self.extra_attempts.append(now)
        allowed = self.budget.floor + self.budget.per_request * self.accepted
        return len(self.extra_attempts) > allowed

    def _drop_expired(self, now: int) -> None:
        """Drop the attempts and slices that are older than the window."""
        window_start = now - self.budget.window_ticks
        while self.extra_attempts and self.extra_attempts[0] <= window_start:
            self.extra_attempts.popleft()
        slices = self.accepted_by_slice
        while slices and slices[0].started_at + self.slice_ticks <= window_start:
            self.accepted -= slices.popleft().count

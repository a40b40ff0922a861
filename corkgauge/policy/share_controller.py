"""Feedback on the lottery's shares: they move in bounded steps towards equal weighted shortfall."""

from collections.abc import Sequence
from statistics import fmean
from typing import NamedTuple

from corkgauge.policy.records import RequestQueue
from corkgauge.policy.units import TICKS_PER_SECOND

MAX_SHARE_STEP = 0.05  # most that a share moves in an interval
MIN_SHARE_FRACTION = 0.1  # least share, of an equal one
SHORTFALL_QUANTILE = 0.99
MIN_SHORTFALL = 1e-3  # keeps its inverse finite
MIN_SLOPE = 1.0  # of the linear model; a flat or falling one would move shares without end
MIN_SPREAD = 1e-9  # of the shares seen, below which no slope can be told
LEVEL_BOUND = 1e4  # the level sought lies within plus and minus this
BISECTION_COUNT = 60  # more than a float's digits


class ShareModel(NamedTuple):
    """The linear model of one queue: inverse shortfall over share."""

    queue: RequestQueue
    share: float
    performance: float  # inverse of the shortfall
    slope: float
    weight: float  # value for the time that a slot is held

    def share_at(self, level: float) -> float:
        """The share that brings the queue to this level, within one step."""
        wanted = self.share + (1 - level / self.weight - self.performance) / self.slope
        return min(max(wanted, self.share - MAX_SHARE_STEP), self.share + MAX_SHARE_STEP)


def record_interval(queues: Sequence[RequestQueue]) -> None:
    """Turn the shortfalls of the interval into one sample of each queue's history."""
    for queue in queues:
        shortfalls = sorted(queue.shortfalls)
        queue.shortfalls = []
        worst = shortfalls[int(SHORTFALL_QUANTILE * len(shortfalls))]
        queue.share_history.append((queue.share, 1 / max(worst, MIN_SHORTFALL)))


def fit_model(queue: RequestQueue) -> ShareModel:
    """Least squares over the last few intervals."""
    share, performance = queue.share_history[-1]
    mean_share = fmean(each for each, _ in queue.share_history)
    mean_performance = fmean(each for _, each in queue.share_history)
    spread = sum((a - mean_share) ** 2 for a, _ in queue.share_history)
    rise = sum((a - mean_share) * (p - mean_performance) for a, p in queue.share_history)
    slope = rise / spread if spread > MIN_SPREAD else 0.0
    # Value for the time that a slot is held: by value alone, heavy classes would take all slots.
    weight = (
        queue.request_class.priority_weight * TICKS_PER_SECOND / queue.request_class.typical_work
    )
    return ShareModel(queue, share, performance, max(slope, MIN_SLOPE), weight)


def equalise_shares(moving: Sequence[RequestQueue], queues: Sequence[RequestQueue]) -> None:
    """Find the level of weighted shortfall that all of `moving` can meet, each within one step."""
    models = [fit_model(queue) for queue in moving]
    total = sum(queue.share for queue in moving)

    def shares_at(level: float) -> list[float]:
        return [model.share_at(level) for model in models]

    low, high = -LEVEL_BOUND, LEVEL_BOUND
    for _ in range(BISECTION_COUNT):
        middle = (low + high) / 2
        if sum(shares_at(middle)) > total:
            low = middle
        else:
            high = middle
    for model, share in zip(models, shares_at(high), strict=True):
        model.queue.share = max(share, MIN_SHARE_FRACTION / len(queues))
    whole = sum(queue.share for queue in queues)
    for queue in queues:
        queue.share /= whole

"""Moves the lottery's shares in bounded steps towards an equal level of all queues.

The shortfall of a request is its latency over its latency objective; up to 1, it is in time.
The inverse of a high quantile of a queue's shortfalls measures how well the queue is served. The
level of a queue is weight * (1 - inverse shortfall), its weighted shortfall.
"""

from collections.abc import Sequence
from statistics import fmean
from typing import NamedTuple

from corkgauge.policy.records import RequestQueue
from corkgauge.policy.units import TICKS_PER_SECOND

MAX_SHARE_STEP = 0.05  # largest change of a share in one feedback interval
MIN_SHARE_FRACTION = 0.1  # smallest share, as a fraction of an equal share
SHORTFALL_QUANTILE = 0.99  # of the shortfalls of one interval
MIN_SHORTFALL = 1e-3  # avoids a division by zero
# Least slope of the linear model. A flat model would divide by zero, and a falling one would move
# shares in the wrong direction.
MIN_SLOPE = 1.0
MIN_SPREAD = 1e-9  # squared deviations of shares; up to this sum, no slope can be fitted
LEVEL_BOUND = 1e4  # the bisection searches levels between minus and plus this bound
BISECTION_COUNT = 60  # halvings, more than a float has bits of precision


class ShareModel(NamedTuple):
    """Linear model of one queue: inverse shortfall as a function of the share."""

    queue: RequestQueue
    share: float  # in the last interval
    inverse_shortfall: float  # in the last interval
    slope: float  # change of the inverse shortfall per change of the share
    weight: float  # priority weight per second for which a request occupies a slot

    def share_at(self, level: float) -> float:
        """The share at which the model reaches this level, at most one step from the last share."""
        wanted = self.share + (1 - level / self.weight - self.inverse_shortfall) / self.slope
        return min(max(wanted, self.share - MAX_SHARE_STEP), self.share + MAX_SHARE_STEP)


def record_interval(queues: Sequence[RequestQueue]) -> None:
    """Append the interval's shortfall quantile to each queue's history; clear the shortfalls."""
    for queue in queues:
        shortfalls = sorted(queue.shortfalls)
        queue.shortfalls = []
        worst = shortfalls[int(SHORTFALL_QUANTILE * len(shortfalls))]
        queue.share_history.append((queue.share, 1 / max(worst, MIN_SHORTFALL)))


def fit_model(queue: RequestQueue) -> ShareModel:
    """Fit the model of a queue by least squares over the last few intervals."""
    share, inverse_shortfall = queue.share_history[-1]
    mean_share = fmean(each for each, _ in queue.share_history)
    mean_inverse_shortfall = fmean(each for _, each in queue.share_history)
    spread = sum((each_share - mean_share) ** 2 for each_share, _ in queue.share_history)
    covariance = sum(
        (each_share - mean_share) * (each_inverse - mean_inverse_shortfall)
        for each_share, each_inverse in queue.share_history
    )
    slope = covariance / spread if spread > MIN_SPREAD else 0.0
    # If the weight were the value alone, heavy classes would occupy all slots. So the weight is the
    # value per second for which a request occupies a slot.
    weight = (
        queue.request_class.priority_weight * TICKS_PER_SECOND / queue.request_class.typical_work
    )
    return ShareModel(queue, share, inverse_shortfall, max(slope, MIN_SLOPE), weight)


def equalise_shares(active_queues: Sequence[RequestQueue], queues: Sequence[RequestQueue]) -> None:
    """Set the shares of the active queues to an equal level, within one step each.

    Finds by bisection the level at which the sum of these shares stays the same. Then normalizes
    the shares of all queues to a sum of 1.
    """
    models = [fit_model(queue) for queue in active_queues]
    active_share_sum = sum(queue.share for queue in active_queues)

    def shares_at(level: float) -> list[float]:
        return [model.share_at(level) for model in models]

    low, high = -LEVEL_BOUND, LEVEL_BOUND
    for _ in range(BISECTION_COUNT):
        middle = (low + high) / 2
        if sum(shares_at(middle)) > active_share_sum:
            low = middle
        else:
            high = middle
    for model, share in zip(models, shares_at(high), strict=True):
        model.queue.share = max(share, MIN_SHARE_FRACTION / len(queues))
    share_sum = sum(queue.share for queue in queues)
    for queue in queues:
        queue.share /= share_sum

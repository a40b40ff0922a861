"""What a gateway has learned and takes over at its next start; gathered and decayed elsewhere."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from corkgauge.policy.records import Engine, RequestClass

AnswerSample = tuple[float, float, float]  # as `work_estimates` keeps them


class LearnedEngine(NamedTuple):
    """What was learned of one engine."""

    engine: Engine
    slowness_samples: Sequence[float]
    limit_factor: float
    ejected_until: int  # ticks
    faults: Sequence[str]


class LearnedClass(NamedTuple):
    """What was learned of one request class."""

    request_class: RequestClass
    answer_samples: Sequence[AnswerSample]


class LearnedShare(NamedTuple):
    """The share of one queue."""

    tenant: int
    request_class: RequestClass
    share: float


@dataclass(frozen=True, slots=True)
class LearnedState:
    """All of it. Slow start and draining rules know nothing of it."""

    price: float  # admission price
    best_slowness: float
    retry_times: Sequence[int]  # ticks, in the window of the retry budget
    success_times: Sequence[int]
    engines: Sequence[LearnedEngine]
    request_classes: Sequence[LearnedClass]
    shares: Sequence[LearnedShare]

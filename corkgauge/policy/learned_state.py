"""State that a gateway restores after a restart; `corkgauge.recovery` saves and decays it."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from corkgauge.policy.records import Engine, RequestClass

AnswerSample = tuple[float, float, float]  # as recorded by `WorkEstimates.record_answer`


class LearnedEngine(NamedTuple):
    """Learned state of one engine."""

    engine: Engine
    slowness_samples: Sequence[float]
    limit_factor: float
    ejected_until: int  # ticks
    faults: Sequence[str]  # as `EngineStats.fault_history`


class LearnedClass(NamedTuple):
    """Learned state of one request class."""

    request_class: RequestClass
    answer_samples: Sequence[AnswerSample]


class LearnedShare(NamedTuple):
    """Share of one queue."""

    tenant: int
    request_class: RequestClass
    share: float


@dataclass(frozen=True, slots=True)
class LearnedState:
    """All learned state of a gateway; slow start and the draining rules do not use it."""

    price: float  # the admission price
    best_slowness: float  # `EngineSlowness.best`
    retry_times: Sequence[int]  # ticks, in the window of the retry budget
    success_times: Sequence[int]
    engines: Sequence[LearnedEngine]
    request_classes: Sequence[LearnedClass]
    shares: Sequence[LearnedShare]

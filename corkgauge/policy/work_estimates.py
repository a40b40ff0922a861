"""Estimates the work and memory of requests from earlier answers."""

from collections import deque
from collections.abc import Iterable, Sequence
from statistics import fmean, median

from corkgauge.policy.records import Engine, Request, RequestClass, RequestQueue
from corkgauge.policy.units import MIN_SAMPLES

ANSWER_SAMPLES = 48  # per request class
DEFAULT_WORK_FACTOR = 2.0  # times the work that fits the objective; assumed for few samples
MEMORY_QUANTILE = 0.85  # of the ratios of reported to estimated memory, which a grant covers


class WorkEstimates:
    """Holds two means of the work of requests; the samples are stored in the request classes."""

    def __init__(self, request_classes: Sequence[RequestClass]) -> None:
        # Mean typical work in thread ticks, with equal weights of all queues and of all recently
        # finished requests. Updated in each feedback interval; 0.0 before the first.
        self.mean_typical_work = 0.0
        self.mean_requested_work = 0.0
        for request_class in request_classes:
            request_class.answer_samples = deque(maxlen=ANSWER_SAMPLES)
            request_class.typical_work = typical_work(request_class)

    def update(self, queues: Iterable[RequestQueue]) -> None:
        """Recompute the mean typical work over queues."""
        works = [queue.request_class.typical_work for queue in queues]
        self.mean_typical_work = fmean(works or [0.0])

    def update_requested(self, queues: Iterable[RequestQueue]) -> None:
        """Recompute the mean typical work over requests; call after `count_finished_requests`."""
        counts = [queue.recent_finished_count for queue in queues]
        works = [queue.recent_finished_count * queue.request_class.typical_work for queue in queues]
        self.mean_requested_work = sum(works) / (sum(counts) or 1.0)

    @staticmethod
    def record_answer(request: Request, work: int, memory: float) -> None:
        """Record the work (thread ticks) and memory (MB) that an answer reports; 0: unreported.

        A sample is (work ratio, memory ratio, work). The ratios are reported over estimated values,
        or the reported values themselves for a request without an estimate. The last value is the
        expected work if the answer reports none.
        """
        request_class = request.request_class
        request_class.answer_samples.append(
            (
                work / (request.estimated_work or 1),
                memory / (request.estimated_memory or 1),
                work or request.expected_work,
            )
        )
        request_class.typical_work = typical_work(request_class)

    @staticmethod
    def restore(request_class: RequestClass, samples: Iterable[tuple[float, float, float]]) -> None:
        """Restore samples from before a restart of this gateway."""
        request_class.answer_samples.extend(samples)
        request_class.typical_work = typical_work(request_class)


def expected_work(request: Request) -> float:
    """The estimated work of a request in thread ticks, corrected by the answers of its class.

    Without an estimate, the typical work of the class.
    """
    if not request.estimated_work:
        return request.request_class.typical_work
    # A ratio is 0 if the answer did not report its work.
    ratios = [ratio for ratio, _, _ in request.request_class.answer_samples if ratio]
    correction = median(ratios) if len(ratios) >= MIN_SAMPLES else 1.0
    return request.estimated_work * correction


def typical_work(request_class: RequestClass) -> float:
    """The mean work of a class in thread ticks; a high assumption while there are few samples."""
    works = [work for _, _, work in request_class.answer_samples]
    if len(works) >= MIN_SAMPLES:
        return fmean(works)
    default_work = DEFAULT_WORK_FACTOR * request_class.latency_objective * request_class.threads
    return max([default_work, *works])


def memory_grant(request: Request, engine: Engine) -> float:
    """The memory (MB) that a request needs by its estimate and earlier answers.

    At most the largest grant of the engine; 0: the engine decides.
    """
    ratios = sorted(ratio for _, ratio, _ in request.request_class.answer_samples if ratio)
    if not request.estimated_memory or len(ratios) < MIN_SAMPLES:
        return 0.0
    ratio = ratios[int(MEMORY_QUANTILE * len(ratios))]
    return min(request.estimated_memory * ratio, engine.max_memory)

"""The learned state of the gateway: to a snapshot's body and back.

Owns which values are remembered, and whose they are by name. Free of I/O.

Kept, and why: of each engine its slowness and limit factor (which engine is slow costs seconds to
learn, by late answers), ejection and faults (a silent one costs a latency objective each); of each
request class its samples (grants, corrected estimates); shares and admission price (a flood met
with equal shares and no price is met late). Not kept: in-flight attempts, loads (stale in a
second), the lottery's draws, the last few troubles.
"""

from dataclasses import dataclass
from typing import Any, NamedTuple

from corkgauge.policy import learned_state as policy_state
from corkgauge.policy.learned_state import LearnedClass, LearnedShare, LearnedState
from corkgauge.policy.records import Engine, RequestClass
from corkgauge.recovery import decay
from corkgauge.recovery.decay import LearnedEngine


class EngineCopy(NamedTuple):
    """An engine and what was learned of it."""

    engine: Engine
    learned: LearnedEngine


class SamplesCopy(NamedTuple):
    """A request class and the samples of its last answers."""

    request_class: RequestClass
    samples: list[Any]


class QueueShare(NamedTuple):
    """The share of one tenant's queue of a request class."""

    tenant: Any
    request_class: RequestClass
    share: float


@dataclass(frozen=True, slots=True)
class LearnedStateCopy:
    """What the gateway has learned, as copies. Times are ticks since 1970."""

    admission_price: float
    best_slowness: float
    retry_times: list[int]
    success_times: list[int]
    engines: list[EngineCopy]
    samples: list[SamplesCopy]
    queue_shares: list[QueueShare]


@dataclass(frozen=True, slots=True)
class RestoredCounts:
    """How many of each had something left to restore."""

    engines: int
    request_classes: int
    queues: int


def copy_learned_state(gateway: Any) -> LearnedStateCopy:
    """Copy what the gateway has learned; cheap enough to be done between two events."""
    return LearnedStateCopy(
        admission_price=gateway.price.current,
        best_slowness=gateway.slowness.best,
        retry_times=[*gateway.retry_budget.retry_times],
        success_times=[*gateway.retry_budget.success_times],
        engines=[
            EngineCopy(
                engine,
                LearnedEngine(
                    [*engine.stats.slowness_samples],
                    engine.stats.limit_factor,
                    engine.stats.ejected_until,
                    [*engine.stats.fault_history],
                ),
            )
            for engine in gateway.engines
        ],
        samples=[
            SamplesCopy(request_class, [*request_class.answer_samples])
            for request_class in {q.request_class: 0 for q in gateway.queues.values()}
        ],
        queue_shares=[
            QueueShare(tenant, request_class, queue.share)
            for (tenant, request_class), queue in gateway.queues.by_tenant_and_class.items()
        ],
    )


def encode_learned_state(state: LearnedStateCopy) -> dict[str, Any]:
    """Return the fields of a snapshot's body; the state is a copy, so this may come later."""
    return {
        "price": state.admission_price,
        "best": state.best_slowness,
        "engines": {
            engine.name: {
                "started": engine.incarnation,
                "slowness": learned.slowness_samples,
                "bound": learned.limit_factor,
                "rests_until": learned.ejected_until,
                "faults": learned.fault_history,
            }
            for engine, learned in state.engines
        },
        "offerings": {
            request_class.name: [list(sample) for sample in samples]
            for request_class, samples in state.samples
        },
        "queues": [
            [tenant, request_class.name, share]
            for tenant, request_class, share in state.queue_shares
        ],
        "extras": state.retry_times,
        "honoured": state.success_times,
    }


def _learned_engine(engine: Engine, learned: LearnedEngine) -> policy_state.LearnedEngine:
    return policy_state.LearnedEngine(engine, *learned)


def _decode_engine(fields: dict[str, Any]) -> LearnedEngine:
    return LearnedEngine(
        fields["slowness"], fields["bound"], fields["rests_until"], fields["faults"]
    )


def restore_learned_state(
    body: dict[str, Any],
    gateway: Any,
    request_classes: dict[str, RequestClass],
    now: int,
    age: float,
) -> RestoredCounts:
    """Give the gateway what is left of a snapshot's body that is `age` ticks old.

    A body that makes no sense raises KeyError, TypeError, ValueError, AttributeError or IndexError
    before the gateway is given anything.
    """
    engines = _decay_matching_engines(body, gateway.engines, now, age)
    samples = [
        (request_class, _decay_samples(body["offerings"].get(name, []), age))
        for name, request_class in request_classes.items()
    ]
    queues = _decay_queue_shares(body["queues"], request_classes, age)
    window_ticks = gateway.retry_budget.window_ticks
    best_slowness = gateway.slowness.best if age == decay.UNKNOWN_AGE else body["best"]
    gateway.restore_learned_state(
        LearnedState(
            price=decay.decay_price(body["price"], age),
            best_slowness=best_slowness,
            # Both counts of the retry budget: successes of before without the retries of before
            # would make it too wide.
            retry_times=_times_within(body["extras"], window_ticks, now),
            success_times=_times_within(body["honoured"], window_ticks, now),
            engines=[_learned_engine(engine, learned) for engine, learned in engines],
            request_classes=[LearnedClass(*each) for each in samples],
            shares=[LearnedShare(*each) for each in queues],
        )
    )
    return RestoredCounts(
        engines=sum(_has_remaining_state(learned) for _, learned in engines),
        request_classes=sum(bool(each) for _, each in samples),
        queues=len(queues),
    )


def _decay_matching_engines(
    body: dict[str, Any], engines: list[Engine], now: int, age: float
) -> list[EngineCopy]:
    """Return what is left of each engine that is the one remembered.

    Under the same name another process may run by now, of which nothing is known.
    """
    remaining = []
    for engine in engines:
        fields = body["engines"].get(engine.name)
        if fields and fields["started"] == engine.incarnation:
            learned = decay.decay_engine(_decode_engine(fields), age, body["at"], now)
            remaining.append(EngineCopy(engine, learned))
    return remaining


def _has_remaining_state(learned: LearnedEngine) -> bool:
    return bool(learned.slowness_samples or learned.ejected_until >= 0)


def _decay_samples(samples: list[Any], age: float) -> list[tuple[Any, ...]]:
    newest = decay.newest_samples(samples, age, decay.ESTIMATE_HALF_LIFE_TICKS)
    return [tuple(each) for each in newest]


def _decay_queue_shares(
    rows: list[Any], request_classes: dict[str, RequestClass], age: float
) -> list[QueueShare]:
    """Return the decayed shares of queues whose request class still exists."""
    queues = [
        QueueShare(tenant, request_classes[name], share)
        for tenant, name, share in rows
        if name in request_classes
    ]
    shares = decay.decay_shares([queue.share for queue in queues], age)
    return [queue._replace(share=share) for queue, share in zip(queues, shares, strict=True)]


def _times_within(times: list[int], span: int, now: int) -> list[int]:
    """Return the times of the last `span` ticks."""
    return [when for when in times if now - span < when <= now]

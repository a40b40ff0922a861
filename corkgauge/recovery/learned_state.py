"""Converts the learned state of the gateway to the body of a snapshot and back.

Defines which values a snapshot contains, and matches these values to engines, request classes and
queues by name. Does no I/O.

A snapshot contains:

- For each engine, slowness samples and limit factor: to learn again which engine is slow takes
  seconds and costs late answers.
- For each engine, ejection and fault history: to detect again that an engine is silent costs one
  latency objective for each such engine.
- For each request class, the samples of its answers, which memory grants and corrected estimates
  are based on.
- Shares and admission price: with equal shares and no price, the gateway would react late to a
  flood of requests.

A snapshot does not contain in-flight attempts, engine loads (stale within a second), the state of
the lottery or the last few failures.
"""

from dataclasses import dataclass
from typing import Any, NamedTuple

from corkgauge.policy import learned_state as policy_state
from corkgauge.policy.learned_state import LearnedClass, LearnedShare, LearnedState
from corkgauge.policy.records import Engine, RequestClass
from corkgauge.recovery import decay
from corkgauge.recovery.decay import LearnedEngine


class EngineCopy(NamedTuple):
    """An engine and a copy of its learned state."""

    engine: Engine
    learned: LearnedEngine


class SamplesCopy(NamedTuple):
    """A request class and a copy of the samples of its last answers."""

    request_class: RequestClass
    samples: list[Any]


class QueueShare(NamedTuple):
    """Share of the queue of one tenant and request class."""

    tenant: Any
    request_class: RequestClass
    share: float


@dataclass(frozen=True, slots=True)
class LearnedStateCopy:
    """Copy of the learned state of a gateway; times are in ticks since 1970."""

    admission_price: float
    best_slowness: float
    retry_times: list[int]
    success_times: list[int]
    engines: list[EngineCopy]
    samples: list[SamplesCopy]
    queue_shares: list[QueueShare]


@dataclass(frozen=True, slots=True)
class RestoredCounts:
    """Number of restored engines, request classes and queues.

    Counts engines with slowness samples or an ejection left after decay, request classes with
    samples left after decay, and all queues whose request class still exists.
    """

    engines: int
    request_classes: int
    queues: int


def copy_learned_state(gateway: Any) -> LearnedStateCopy:
    """Copy the learned state of the gateway; fast enough for one turn of the event loop."""
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
            for request_class in {
                each_queue.request_class: 0 for each_queue in gateway.queues.values()
            }
        ],
        queue_shares=[
            QueueShare(tenant, request_class, queue.share)
            for (tenant, request_class), queue in gateway.queues.by_tenant_and_class.items()
        ],
    )


def encode_learned_state(state: LearnedStateCopy) -> dict[str, Any]:
    """Return the learned state as fields of a snapshot's body.

    The state is a copy, so the fields can be encoded in a later turn of the event loop.
    """
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
    """Restore the state in a snapshot's body into the gateway, decayed by `age` ticks.

    A malformed body raises KeyError, TypeError, ValueError, AttributeError or IndexError before the
    gateway is changed.
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
            # Restores both counts of the retry budget. Successes from before the restart without
            # the retries from before the restart would make the budget too large.
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
    """Return the decayed state of each engine that still has the incarnation in the snapshot.

    Another process with unknown properties may run under the same name after the snapshot.
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


def _times_within(times: list[int], window_ticks: int, now: int) -> list[int]:
    """Return the times within the last `window_ticks` ticks."""
    return [when for when in times if now - window_ticks < when <= now]

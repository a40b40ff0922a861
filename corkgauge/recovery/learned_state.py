"""What the module has learned, to bare figures and back.

Owns which figures are remembered and whose they are by name. Free of I/O. Must never remember what a restart
of an engine makes untrue, nor give the module anything of an engine that is not the one remembered.

Kept, and why: per engine slowness and bound (which engine is slow costs seconds to learn, by late answers),
rests and faults (a silent one costs a promised time each); per offering its samples (grants, corrected
estimates); shares and price (a flood met with equal shares and no price is met late). Not kept: what is out,
loads (stale in a second), what was drawn, the last few troubles.
"""

from typing import Any

from corkgauge.policy.learned_state import (
    LearnedClass,
    LearnedEngine,
    LearnedShare,
    LearnedState,
)
from corkgauge.recovery import decay as ageing


def copied(gateway: Any) -> dict[str, Any]:
    """What the module has learned, as copies; cheap, so that it is taken between two events."""
    return {
        "price": gateway.price.current,
        "best": gateway.slowness.best,
        "extras": [*gateway.retry_budget.retry_times],
        "honoured": [*gateway.retry_budget.success_times],
        "engines": [
            (
                e,
                [*e.stats.slowness_samples],
                e.stats.limit_factor,
                e.stats.ejected_until,
                [*e.stats.fault_history],
            )
            for e in gateway.engines
        ],
        "offerings": [
            (each, [*each.answer_samples])
            for each in {q.request_class: 0 for q in gateway.queues.values()}
        ],
        "queues": [
            (tenant, each, queue.share)
            for (tenant, each), queue in gateway.queues.by_tenant_and_class.items()
        ],
    }


def gathered(gateway: Any) -> dict[str, Any]:
    """Bare figures, by names, in one step."""
    return named(copied(gateway))


def named(said: dict[str, Any]) -> dict[str, Any]:
    """What the module said, by names; it holds copies, so this may come later."""
    return {
        "price": said["price"],
        "best": said["best"],
        "engines": {
            engine.name: {
                "started": engine.incarnation,
                "slowness": slowness,
                "bound": bound,
                "rests_until": rests_until,
                "faults": faults,
            }
            for engine, slowness, bound, rests_until, faults in said["engines"]
        },
        "offerings": {
            request_class.name: [list(sample) for sample in samples]
            for request_class, samples in said["offerings"]
        },
        "queues": [
            [tenant, request_class.name, share] for tenant, request_class, share in said["queues"]
        ],
        "extras": said["extras"],
        "honoured": said["honoured"],
    }


def recalled(
    said: dict[str, Any], gateway: Any, request_classes: dict[str, Any], now: int, age: float
) -> dict[str, int]:
    """Give the module what is left of it; how many engines, offerings and queues that was. What is not as it
    should be is left out, whatever it is."""
    counts = {"engines": 0, "offerings": 0, "queues": 0}
    engines = []
    for engine in gateway.engines:
        known = said["engines"].get(engine.name)
        # Danger: under the same id another process may run by now; nothing is known of that one.
        if known and known["started"] == engine.incarnation:
            aged = ageing.engine(known, age, said["at"], now)
            engines.append(
                LearnedEngine(
                    engine, aged["slowness"], aged["bound"], aged["rests_until"], aged["faults"]
                )
            )
            counts["engines"] += bool(aged["slowness"] or aged["rests_until"] >= 0)
    samples = [
        LearnedClass(
            request_class,
            [
                tuple(each)
                for each in ageing.last_part(said["offerings"].get(name, []), age, ageing.WORK)
            ],
        )
        for name, request_class in request_classes.items()
    ]
    counts["offerings"] = sum(bool(each) for _, each in samples)
    queues = [
        (tenant, request_classes[name], share)
        for tenant, name, share in said["queues"]
        if name in request_classes
    ]
    aged = ageing.shares([share for _, _, share in queues], age)
    counts["queues"] = len(queues)
    span = gateway.retry_budget.window_ticks
    lately = {
        name: [when for when in said[name] if now - span < when <= now]
        for name in ("extras", "honoured")
    }
    gateway.restore_learned_state(
        LearnedState(
            price=ageing.price(said["price"], age),
            best_slowness=said["best"] if age != ageing.inf else gateway.slowness.best,
            # A budget that counts what succeeded before, and not what was sent, would be too wide.
            retry_times=lately["extras"],
            success_times=lately["honoured"],
            engines=engines,
            request_classes=samples,
            shares=[
                LearnedShare(tenant, request_class, share)
                for (tenant, request_class, _), share in zip(queues, aged)
            ],
        )
    )
    return counts

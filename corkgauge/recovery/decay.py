"""Decays learned values by the time between a snapshot and the restart.

Defines the half-life of each value and the default that the value decays towards. Does no I/O and
reads no clock. Decay never prolongs an ejection beyond its remaining time. Durations are in ticks
(tenths of a millisecond).
"""

from collections.abc import Mapping
from math import inf
from typing import Any, NamedTuple, TypeVar

Sample = TypeVar("Sample")

SECOND_TICKS = 10_000
UNKNOWN_AGE = inf  # the time of the snapshot is unknown: values decay fully
NOT_EJECTED = -1

# Half-lives: the time after which half of a value remains.

# The load of an engine and the workloads next to the engine change within a minute.
SLOWNESS_HALF_LIFE_TICKS = 20 * SECOND_TICKS
LIMIT_HALF_LIFE_TICKS = 30 * SECOND_TICKS
FAULT_HALF_LIFE_TICKS = 10 * SECOND_TICKS  # outlier detection compares faults within 10 s
PRICE_HALF_LIFE_TICKS = 6 * SECOND_TICKS  # admission lowers the price by 20% every 2 s
SHARE_HALF_LIFE_TICKS = 60 * SECOND_TICKS
ESTIMATE_HALF_LIFE_TICKS = 600 * SECOND_TICKS  # resource needs of a class change slowest

FULL_LIMIT_FACTOR = 1.0  # of an engine's concurrency limit, without reasons for a lower limit


class LearnedEngine(NamedTuple):
    """Learned state of an engine; `ejected_until` is in ticks since 1970, or NOT_EJECTED."""

    slowness_samples: list[float]
    limit_factor: float
    ejected_until: int
    fault_history: list[str]


def remaining_fraction(age: float, half_life: int) -> float:
    """Return the fraction of a value that remains after `age` ticks.

    >>> remaining_fraction(0, 10), remaining_fraction(10, 10), remaining_fraction(inf, 10)
    (1.0, 0.5, 0.0)
    """
    if age == UNKNOWN_AGE:
        return 0.0
    return float(0.5 ** (max(age, 0) / half_life))


def snapshot_age(body: Mapping[str, Any], now: int, boot_id: str, ticks_since_boot: int) -> float:
    """Return the age of a snapshot in ticks.

    Within one boot of the machine, the age is measured with the clock since boot, so changes of the
    date have no effect. After a reboot, the age is the difference of dates. If the date went back,
    the age cannot be determined and is UNKNOWN_AGE.

    >>> snapshot_age({"boot": "x", "since_boot": 100, "at": 5_000}, 1, "x", 700)
    600
    >>> saved = {"boot": "y", "at": 50}
    >>> snapshot_age(saved, 80, "x", 1), snapshot_age(saved, 20, "x", 1)
    (30, inf)
    """
    if boot_id and body.get("boot") == boot_id and ticks_since_boot >= body.get("since_boot", inf):
        age: int = ticks_since_boot - body["since_boot"]
        return age
    saved_at: int = body["at"]
    return now - saved_at if now >= saved_at else UNKNOWN_AGE


def newest_samples(samples: list[Sample], age: float, half_life: int) -> list[Sample]:
    """Return the newest samples; the number kept halves with each half-life.

    >>> newest_samples([1, 2, 3, 4], 0, 10), newest_samples([1, 2, 3, 4], 10, 10)
    ([1, 2, 3, 4], [3, 4])
    >>> newest_samples([1, 2, 3, 4], inf, 10)
    []
    """
    count = int(len(samples) * remaining_fraction(age, half_life) + 0.5)
    return samples[len(samples) - count :]


def decay_towards(value: float, default: float, age: float, half_life: int) -> float:
    """Return the value, moved towards the default that applies if nothing is known."""
    return default + (value - default) * remaining_fraction(age, half_life)


def decay_engine(learned: LearnedEngine, age: float, saved_at: int, now: int) -> LearnedEngine:
    """Return the decayed state of an engine.

    An ejection lasts at most the time that remained when the snapshot was saved, counted from then.
    """
    ejected_for: float = 0
    if age != UNKNOWN_AGE:
        ejected_for = max(learned.ejected_until - saved_at - age, 0)
    ejected_until = int(now + ejected_for) if ejected_for else NOT_EJECTED
    return LearnedEngine(
        newest_samples(learned.slowness_samples, age, SLOWNESS_HALF_LIFE_TICKS),
        decay_towards(learned.limit_factor, FULL_LIMIT_FACTOR, age, LIMIT_HALF_LIFE_TICKS),
        ejected_until,
        newest_samples(learned.fault_history, age, FAULT_HALF_LIFE_TICKS),
    )


def decay_shares(shares: list[float], age: float) -> list[float]:
    """Return the shares of queues, moved towards equal shares; the sum does not change.

    >>> decay_shares([0.8, 0.2], 60 * SECOND_TICKS)
    [0.65, 0.35]
    """
    equal_share = sum(shares) / max(len(shares), 1)
    return [
        round(decay_towards(share, equal_share, age, SHARE_HALF_LIFE_TICKS), 9) for share in shares
    ]


def decay_price(price: float, age: float) -> float:
    """Return the admission price, decayed towards 0: no price applies if nothing is known."""
    return price * remaining_fraction(age, PRICE_HALF_LIFE_TICKS)

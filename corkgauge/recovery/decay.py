"""Ageing: what is left of each remembered figure after the time that has passed.

Owns the half lives and what "unknown" is for each figure. Free of I/O and of clocks: it is told how long the
program was down. Must never make a rest longer than it had left, and never let what was remembered loosen a
rule.
"""

from collections.abc import Mapping
from math import inf
from typing import Any

SECOND = 10_000
# After so long, half of what a figure says is left (tenths of a millisecond).
SLOWNESS = 20 * SECOND  # of an engine; neighbours and load change within a league night's minute
BOUND = 30 * SECOND
FAULTS = 10 * SECOND  # the module itself compares faults of ten seconds
PRICE = 6 * SECOND  # the module takes a fifth off each two seconds
SHARES = 60 * SECOND
WORK = 600 * SECOND  # what submissions of an offering need changes slowest


def left_of(age: float, half: int) -> float:
    """The part that is left.

    >>> left_of(0, 10), left_of(10, 10), left_of(inf, 10)
    (1.0, 0.5, 0.0)
    """
    return 0.0 if age == inf else 0.5 ** (max(age, 0) / half)


def age_of(saved: Mapping[str, Any], now: int, boot: str, since_boot: int) -> float:
    """How long ago it was saved. Within one boot the system's own clock tells, whatever was done to the date.
    Over a boot the date tells, and where that went back nobody knows: then it is for ever ago.

    >>> age_of({"boot": "x", "since_boot": 100, "at": 5_000}, 1, "x", 700)
    600
    >>> age_of({"boot": "y", "at": 50}, 80, "x", 1), age_of({"boot": "y", "at": 50}, 20, "x", 1)
    (30, inf)
    """
    if boot and saved.get("boot") == boot and since_boot >= saved.get("since_boot", inf):
        return since_boot - saved["since_boot"]
    return now - saved["at"] if now >= saved["at"] else inf


def last_part(samples: list[Any], age: float, half: int) -> list[Any]:
    """The newest of the samples, fewer the older they are.

    >>> last_part([1, 2, 3, 4], 0, 10), last_part([1, 2, 3, 4], 10, 10), last_part([1, 2, 3, 4], inf, 10)
    ([1, 2, 3, 4], [3, 4], [])
    """
    count = int(len(samples) * left_of(age, half) + 0.5)
    return samples[len(samples) - count :]


def towards(value: float, unknown: float, age: float, half: int) -> float:
    return unknown + (value - unknown) * left_of(age, half)


def engine(said: Mapping[str, Any], age: float, saved_at: int, now: int) -> dict[str, Any]:
    """One engine's figures; its rest ends no later than it would have, counted from the moment of saving."""
    left = max(said["rests_until"] - saved_at - age, 0) if age != inf else 0
    return {
        "slowness": last_part(said["slowness"], age, SLOWNESS),
        "bound": towards(said["bound"], 1.0, age, BOUND),
        "faults": last_part(said["faults"], age, FAULTS),
        "rests_until": int(now + left) if left else -1,
    }


def shares(said: list[float], age: float) -> list[float]:
    """Shares of queues, towards equal ones; they still sum to what they summed to.

    >>> shares([0.8, 0.2], 60 * SECOND)
    [0.65, 0.35]
    """
    equal = sum(said) / max(len(said), 1)
    return [round(towards(each, equal, age, SHARES), 9) for each in said]


def price(said: float, age: float) -> float:
    return said * left_of(age, PRICE)

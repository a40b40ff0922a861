"""Which gateways try an engine that many suspect, and when.

Free of I/O. With every gateway trying at once, an engine that comes back would be met by all.
So a few try it in each period, by turns that follow from the number of the gateway alone.
"""

from enum import IntEnum

MAX_TRIAL_GATEWAY_COUNT = 8  # that try a suspected engine in one period
# Of the fleet, between two periods (golden section): turns spread evenly over it.
TURN_STEP_FRACTION = 0.618


class SuspicionLevel(IntEnum):
    """What a suspicion asks of the gateway; the values are those of `Gateway.on_peer_health`."""

    NONE = 0
    ONE_AT_A_TIME = 1  # a trial: one attempt at a time
    NO_ATTEMPTS = 2  # others try the engine in this period


def suspicion_level(
    is_suspected: bool, gateway_number: int, gateway_count: int, period_count: int
) -> SuspicionLevel:
    """How far a gateway has to keep from an engine in this period.

    `gateway_number` is from 0, below `gateway_count`, the stated size of the fleet.

    >>> [suspicion_level(True, number, 16, 0).value for number in (0, 3, 4, 15)]
    [1, 1, 1, 2]
    """
    if not is_suspected:
        return SuspicionLevel.NONE
    count = max(gateway_count, 1)
    if count <= MAX_TRIAL_GATEWAY_COUNT:
        return SuspicionLevel.ONE_AT_A_TIME
    step = max(1, int(count * TURN_STEP_FRACTION))
    turn = (gateway_number + period_count * step) % count
    if turn < MAX_TRIAL_GATEWAY_COUNT:
        return SuspicionLevel.ONE_AT_A_TIME
    return SuspicionLevel.NO_ATTEMPTS

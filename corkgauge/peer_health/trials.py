"""Selects the gateways that may try a suspected engine in a period.

Performs no I/O. If every gateway sent attempts to a suspected engine at the same time, all of them
would load the engine as soon as it recovers. So only a few gateways send attempts in each period.
Whether a gateway is among them depends only on its number and on its own count of periods. Gateways
that started at different times count different periods, so MAX_TRIAL_GATEWAY_COUNT gateways try an
engine on average, and sometimes more.
"""

from enum import IntEnum

# Gateways that send attempts to a suspected engine among gateways with the same period count.
MAX_TRIAL_GATEWAY_COUNT = 8
# Step of the rotation from one period to the next, as a fraction of the gateway count. The golden
# section spreads the turns evenly over the fleet.
TURN_STEP_FRACTION = 0.618


class SuspicionLevel(IntEnum):
    """Limits on attempts at an engine; the values are those of `Gateway.on_peer_health`."""

    NONE = 0
    ONE_AT_A_TIME = 1  # a trial of a suspected engine
    NO_ATTEMPTS = 2  # left to other gateways in this period


def suspicion_level(
    is_suspected: bool, gateway_number: int, gateway_count: int, period_count: int
) -> SuspicionLevel:
    """Return the limit on a gateway's attempts at an engine in this period.

    `gateway_number` is from 0 to `gateway_count` - 1; `gateway_count` is the configured size of the
    fleet. `period_count` counts the periods since this gateway's start.

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

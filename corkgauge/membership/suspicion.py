"""How long a member stays suspected before it is gone (Lifeguard's suspicion timeouts)."""

from math import log, log10

EXPECTED_CONFIRMATIONS = 3  # accusers beside the first, with whom the timeout is shortest
MIN_TIMEOUT_PERIODS = 4  # the shortest timeout, times the logarithm of the number of members
MAX_TIMEOUT_FACTOR = 4  # the longest timeout over the shortest


def suspicion_timeout_ticks(confirmations: int, member_count: int, period_ticks: int) -> int:
    """Return the ticks from the first suspicion until the member is gone.

    The more others confirm it, the fewer.

    >>> [suspicion_timeout_ticks(confirmations, 10, 5_000) for confirmations in range(5)]
    [80000, 50000, 32451, 20000, 20000]
    >>> suspicion_timeout_ticks(0, 2, 5_000)  # nobody is left who could confirm it
    20000
    """
    shortest = MIN_TIMEOUT_PERIODS * max(1.0, log10(member_count)) * period_ticks
    expected = min(EXPECTED_CONFIRMATIONS, member_count - 2)
    if expected < 1:
        return int(shortest)
    reduction = (MAX_TIMEOUT_FACTOR - 1) * log(confirmations + 1) / log(expected + 1)
    factor = MAX_TIMEOUT_FACTOR - reduction
    return int(max(shortest, shortest * factor))

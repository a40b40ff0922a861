"""Computes the time until a suspected member is marked as gone (Lifeguard's timeouts)."""

from math import log, log10

EXPECTED_CONFIRMATIONS = 3  # further accusers after which the timeout is shortest
# Shortest timeout in periods; multiplied by log10 of the number of members, or 1 if that is more.
MIN_TIMEOUT_PERIODS = 4
MAX_TIMEOUT_FACTOR = 4  # longest timeout divided by the shortest


def suspicion_timeout_ticks(confirmations: int, member_count: int, period_ticks: int) -> int:
    """Return the ticks from the first suspicion until the member is marked as gone.

    Each confirmation by another member shortens the timeout.

    >>> [suspicion_timeout_ticks(confirmations, 10, 5_000) for confirmations in range(5)]
    [80000, 50000, 32451, 20000, 20000]
    >>> suspicion_timeout_ticks(0, 2, 5_000)  # no third member could confirm the suspicion
    20000
    """
    shortest = MIN_TIMEOUT_PERIODS * max(1.0, log10(member_count)) * period_ticks
    expected = min(EXPECTED_CONFIRMATIONS, member_count - 2)
    if expected < 1:
        return int(shortest)
    reduction = (MAX_TIMEOUT_FACTOR - 1) * log(confirmations + 1) / log(expected + 1)
    factor = MAX_TIMEOUT_FACTOR - reduction
    return int(max(shortest, shortest * factor))

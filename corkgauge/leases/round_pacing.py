"""Lengthens timeouts and pauses of a candidate after failed rounds."""

MAX_TIMEOUT_REPLY_TIMES = 3  # maximum round timeout, in reply times
MAX_BACKOFF_REPLY_TIMES = 4  # maximum pause between two rounds, in reply times
# Maximum random delay, in staggers, between candidates that failed together.
MAX_JITTER_STAGGERS = 8


class RoundPacing:
    """Counts consecutive failed rounds and derives timeouts and pauses from the count.

    >>> pacing = RoundPacing()
    >>> for _ in range(5):
    ...     pacing.record_failure()
    >>> pacing.timeout_multiplier, pacing.backoff(waited=2), pacing.jitter_limit_ticks(10)
    (3, 2, 60)
    """

    def __init__(self, failed_rounds: int = 0) -> None:
        self.failed_rounds = failed_rounds

    def record_failure(self) -> None:
        """Count a failed round."""
        self.failed_rounds += 1

    def record_success(self) -> None:
        """Reset the count of failed rounds."""
        self.failed_rounds = 0

    @property
    def timeout_multiplier(self) -> int:
        """The round timeout of the next round, in reply times.

        If disks or processors take longer than one reply time to make a promise, no round would
        ever complete within one reply time. The timeout therefore grows after each failed round.
        A promise must be used within one lease duration: a voter that restarts without stored votes
        loses its promises, but is silent for that long. A prepare round takes at most 3/8 of a
        lease, and grant requests follow for at most half of a lease.
        """
        return min(1 + self.failed_rounds, MAX_TIMEOUT_REPLY_TIMES)

    def backoff(self, waited: int) -> int:
        """Return how many reply times to wait before the next round.

        `waited` reply times, which a longer round timeout has already used up, are subtracted.
        """
        return min(self.failed_rounds, MAX_BACKOFF_REPLY_TIMES) - waited

    def jitter_limit_ticks(self, stagger_ticks: int) -> int:
        """Return the exclusive upper limit of the random delay before the next round.

        Without the random delay, two candidates that retry at the same moment would repeatedly keep
        each other from acquiring the lease.
        """
        return stagger_ticks * min(1 + self.failed_rounds, MAX_JITTER_STAGGERS)

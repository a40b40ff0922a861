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
        ever complete within one reply time. The timeout therefore grows after each round that timed
        out. A promise must be used within the time for which the voter is sure to remember it,
        which is one lease duration from the start of the promise: rounds here take at most 3/8 of a
        lease, and grant requests take at most half of a lease.
        """
        return min(1 + self.failed_rounds, MAX_TIMEOUT_REPLY_TIMES)

    def backoff(self, waited: int) -> int:
        """Return the reply times to wait before the next round, less the `waited` reply times."""
        return min(self.failed_rounds, MAX_BACKOFF_REPLY_TIMES) - waited

    def jitter_limit_ticks(self, stagger_ticks: int) -> int:
        """Return the upper limit of a random delay.

        Without the random delay, two candidates that retry at the same moment would repeatedly keep
        each other from acquiring the lease.
        """
        return stagger_ticks * min(1 + self.failed_rounds, MAX_JITTER_STAGGERS)

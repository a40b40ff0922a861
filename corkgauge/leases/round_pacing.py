"""How patient a candidate is, after rounds that came to nothing."""

MAX_TIMEOUT_REPLY_TIMES = 3  # reply times that voters have
MAX_BACKOFF_REPLY_TIMES = 4  # reply times between two rounds
MAX_JITTER_STAGGERS = 8  # times the stagger, between candidates that failed together


class RoundPacing:
    """Counts failed rounds in a row, and stretches waits by them.

    >>> pacing = RoundPacing()
    >>> for _ in range(5):
    ...     pacing.record_failure()
    >>> pacing.timeout_multiplier, pacing.backoff(waited=2), pacing.jitter_limit_ticks(10)
    (3, 2, 60)
    """

    def __init__(self, failed_rounds: int = 0) -> None:
        self.failed_rounds = failed_rounds

    def record_failure(self) -> None:
        """Count a round that came to nothing."""
        self.failed_rounds += 1

    def record_success(self) -> None:
        """Begin anew: something has come of a round."""
        self.failed_rounds = 0

    @property
    def timeout_multiplier(self) -> int:
        """How many reply times the voters have in the next round.

        Where disks or processors take longer than a reply time for a promise, no round would ever
        be answered in time: after each that was not, the next is waited for longer. A promise is
        used no later than a voter remembers it, a lease from its start: at most 3/8 of one here,
        and half of one while grants are requested.
        """
        return min(1 + self.failed_rounds, MAX_TIMEOUT_REPLY_TIMES)

    def backoff(self, waited: int) -> int:
        """Return how many reply times to wait before the next round, less those waited already."""
        return min(self.failed_rounds, MAX_BACKOFF_REPLY_TIMES) - waited

    def jitter_limit_ticks(self, stagger_ticks: int) -> int:
        """Return the limit of a random wait.

        Two that try again and again at the same moment would never let either have the lease.
        """
        return stagger_ticks * min(1 + self.failed_rounds, MAX_JITTER_STAGGERS)

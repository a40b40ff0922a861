"""A token bucket: limits a rate, and allows a burst. Reads no clock."""

TICKS_PER_SECOND = 10_000  # a tick is a tenth of a millisecond


class TokenBucket:
    """Holds up to `capacity` tokens, and earns `tokens_per_second`; starts full.

    >>> bucket = TokenBucket(capacity=2, tokens_per_second=10)
    >>> [bucket.take(0), bucket.take(0), bucket.take(0), bucket.take(1_000)]
    [True, True, False, True]
    """

    __slots__ = ("capacity", "tokens", "tokens_per_second", "updated_at")

    def __init__(self, capacity: float, tokens_per_second: float, now_ticks: int = 0) -> None:
        self.capacity = capacity
        self.tokens_per_second = tokens_per_second
        self.tokens = capacity
        self.updated_at = now_ticks

    def take(self, now_ticks: int) -> bool:
        """Take one token; return False, and take none, if there is less than one."""
        elapsed_ticks = now_ticks - self.updated_at
        self.updated_at = now_ticks
        self.add(elapsed_ticks * self.tokens_per_second / TICKS_PER_SECOND)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def add(self, tokens: float) -> None:
        """Add tokens, up to the capacity."""
        self.tokens = min(self.capacity, self.tokens + tokens)

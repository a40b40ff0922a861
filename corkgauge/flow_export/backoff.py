"""Computes the exponential backoff of a failed collector, with jitter derived from a seed."""

from struct import pack
from zlib import crc32

FIRST_BACKOFF_TICKS = 5_000  # half a second before jitter, doubled by each further failure
BACKOFF_LIMIT_TICKS = 600_000  # a minute before jitter
MAX_DOUBLING_COUNT = 16  # limits the exponent


class JitteredBackoff:
    """Draws backoffs in ticks, tenths of a millisecond."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.draws = 0

    def next_ticks(self, failure_count: int) -> int:
        """Return the backoff after consecutive failures, with jitter of plus or minus a quarter.

        Without the jitter, gateways that lost a collector at the same moment would all reconnect
        at the same moment.
        """
        self.draws += 1
        fraction = crc32(pack("<QQ", self.seed, self.draws)) / 2**32
        doubled = FIRST_BACKOFF_TICKS * 2 ** min(failure_count - 1, MAX_DOUBLING_COUNT)
        return int(min(doubled, BACKOFF_LIMIT_TICKS) * (0.75 + fraction / 2))

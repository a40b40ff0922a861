"""How long a collector that failed is left alone: exponential backoff with jitter from a seed."""

from struct import pack
from zlib import crc32

MIN_BACKOFF_TICKS = 5_000  # half a second, doubled with each failure
MAX_BACKOFF_TICKS = 600_000  # a minute
MAX_DOUBLINGS = 16


class JitteredBackoff:
    """Draws backoffs of ticks, tenths of a millisecond."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.draws = 0

    def next_ticks(self, failure_count: int) -> int:
        """Return the backoff after so many failures in a row, a quarter more or less.

        Without the jitter, gateways that lost one collector at the same moment would come back to
        it at the same moment.
        """
        self.draws += 1
        fraction = crc32(pack("<QQ", self.seed, self.draws)) / 2**32
        doubled = MIN_BACKOFF_TICKS * 2 ** min(failure_count - 1, MAX_DOUBLINGS)
        return int(min(doubled, MAX_BACKOFF_TICKS) * (0.75 + fraction / 2))

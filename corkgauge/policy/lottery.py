"""The lottery that decides which queue gets a free slot."""

from bisect import bisect_right
from collections.abc import Sequence
from itertools import accumulate
from struct import pack
from zlib import crc32

from corkgauge.policy.records import RequestQueue


class Lottery:
    """Draws queues by their shares, with pseudo-random numbers from a seed and the draw count.

    Equal seeds give equal draws.
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._draw_count = 0

    def draw(self, queues: Sequence[RequestQueue]) -> RequestQueue:
        """Draw one of the queues, each with a probability in proportion to its share."""
        self._draw_count += 1
        cumulative_shares = [*accumulate(queue.share for queue in queues)]
        ticket = crc32(pack("<QQ", self._seed, self._draw_count)) / 2**32 * cumulative_shares[-1]
        return queues[min(bisect_right(cumulative_shares, ticket), len(queues) - 1)]

"""The lottery that says which queue gets a free slot."""

from bisect import bisect_right
from collections.abc import Sequence
from itertools import accumulate
from struct import pack
from zlib import crc32

from corkgauge.policy.records import RequestQueue


class Lottery:
    """Draws among queues by their shares; owns the count of draws, so that a seed repeats a run."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._draw_count = 0

    def draw(self, queues: Sequence[RequestQueue]) -> RequestQueue:
        """One of the queues, each with the probability of its share among them."""
        self._draw_count += 1
        tops = [*accumulate(queue.share for queue in queues)]
        ticket = crc32(pack("<QQ", self._seed, self._draw_count)) / 2**32 * tops[-1]
        return queues[min(bisect_right(tops, ticket), len(queues) - 1)]

"""Generates reproducible random numbers for the emulators and simulations.

Owns one counter. The same seed and the same order of calls give the same numbers.
"""

from math import exp, log
from struct import pack
from zlib import crc32


class SeededRandom:
    """Derives random numbers from the CRC-32 of seed and counter.

    >>> one, other = SeededRandom(7), SeededRandom(7)
    >>> [one.below(10) for _ in range(5)] == [
    ...     other.below(10) for _ in range(5)
    ... ], SeededRandom(8).uniform() < 1
    (True, True)
    """

    def __init__(self, seed: int) -> None:
        self.seed, self.drawn = seed, 0

    def uniform(self) -> float:
        """Return a uniform number from 0 up to but excluding 1."""
        self.drawn += 1
        return crc32(pack("<QQ", self.seed, self.drawn)) / 2**32

    def below(self, limit: int) -> int:
        """Return a uniform integer from 0 to `limit` - 1."""
        return int(self.uniform() * limit)

    def happens(self, probability: float) -> bool:
        """Return True with this probability."""
        return self.uniform() < probability

    def exponential(self, mean: float) -> float:
        """Return an exponentially distributed number with this mean."""
        return -mean * log(1 - self.uniform())

    def lognormal(self, mean: float, deviation: float = 0.6) -> float:
        """Return an approximately log-normal number with this mean.

        The sum of twelve uniform numbers approximates the normal distribution.
        """
        normal = sum(self.uniform() for _ in range(12)) - 6
        return mean * exp(deviation * normal - deviation * deviation / 2)

    def hex_word(self) -> str:
        """Return 16 hexadecimal digits, which differ for each call."""
        self.drawn += 1
        return f"{crc32(pack('<QQ', self.seed, self.drawn)):08x}{self.drawn & 0xFFFFFFFF:08x}"

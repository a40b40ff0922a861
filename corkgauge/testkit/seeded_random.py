"""Seeded draws for the stand-ins. Owns one counter; the same seed and order of draws give the same."""

from math import exp, log
from struct import pack
from zlib import crc32


class SeededRandom:
    """Draws by CRC-32 over seed and counter.

    >>> one, other = SeededRandom(7), SeededRandom(7)
    >>> [one.below(10) for _ in range(5)] == [other.below(10) for _ in range(5)], SeededRandom(8).uniform() < 1
    (True, True)
    """

    def __init__(self, seed: int) -> None:
        self.seed, self.drawn = seed, 0

    def uniform(self) -> float:
        """0 or more, below 1."""
        self.drawn += 1
        return crc32(pack("<QQ", self.seed, self.drawn)) / 2**32

    def below(self, most: int) -> int:
        return int(self.uniform() * most)

    def happens(self, share: float) -> bool:
        return self.uniform() < share

    def exponential(self, mean: float) -> float:
        """An exponential gap."""
        return -mean * log(1 - self.uniform())

    def lognormal(self, mean: float, width: float = 0.6) -> float:
        """About log-normal with this mean: a sum of twelve draws stands for the normal one."""
        bell = sum(self.uniform() for _ in range(12)) - 6
        return mean * exp(width * bell - width * width / 2)

    def hex_word(self) -> str:
        """16 hexadecimal digits."""
        self.drawn += 1
        return f"{crc32(pack('<QQ', self.seed, self.drawn)):08x}{self.drawn & 0xFFFFFFFF:08x}"

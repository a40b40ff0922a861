"""The roll of voters: who votes, in which version of the list, and which step from one list to another is
safe.

Owns the numbers that leases are worked out with. Free of I/O. Must never let two lists count whose majorities
need not meet.

Why a step adds or removes one voter only: majorities of two lists that differ by one always share a voter,
and that voter remembers what it granted. Why a step waits until most voters of the list in force tell that
they are there, and why a voter is silent for a longest lease after it: else two steps in a row may leave two
voters on the list before the last, enough for a holder, while two others are on the new one, enough for
another.
"""

from collections.abc import Iterable, Mapping
from zlib import crc32

LEAST, MOST = 1, 7  # voters; 3, 5 or 7 are of use
MOST_BALLOT = 2**60


class UnsafeChangeError(ValueError):
    """One line: why a list of voters is not taken."""


class VoterConfiguration:
    """One version of the list, with the lease that its voters grant, in tenths of a millisecond.

    >>> VoterConfiguration(1, "cab").names, VoterConfiguration(1, "abc").majority, VoterConfiguration(2, "abcd").majority
    (('a', 'b', 'c'), 2, 3)
    """

    def __init__(self, version: int, names: Iterable[str], lease: int = 0) -> None:
        self.version, self.names, self.lease = version, tuple(sorted({*names})), lease
        if not LEAST <= len(self.names) <= MOST:
            raise UnsafeChangeError(f"expected {LEAST} to {MOST} voters, found {len(self.names)}")
        self.majority = len(self.names) // 2 + 1
        # Danger: a voter that grants a shorter lease than a holder counts would let two hold at once.
        self.mark = crc32(f"{version} {lease} {' '.join(self.names)}".encode())

    def __eq__(self, other: object) -> bool:
        return isinstance(other, VoterConfiguration) and (self.version, self.names, self.lease) == (
            other.version,
            other.names,
            other.lease,
        )

    __hash__ = None

    def step_to(self, new: "VoterConfiguration", told: Mapping[str, tuple[int, int]]) -> None:
        """May a gateway that runs under this list take the new one? `told` holds version and mark of the
        lists that voters, ourselves among them, last told. Raises Unsafe.

        >>> one, two = VoterConfiguration(1, "abc"), VoterConfiguration(2, "abcd")
        >>> one.step_to(two, {"a": (1, one.mark), "b": (1, one.mark)})
        >>> one.step_to(VoterConfiguration(2, "abd"), {})
        Traceback (most recent call last):
        corkgauge.leases.voter_configuration.UnsafeChangeError: voters: version 2 adds d and removes c: one of both at a time
        >>> two.step_to(VoterConfiguration(3, "abd"), {"b": (2, two.mark), "d": (2, two.mark), "c": (1, one.mark)})
        Traceback (most recent call last):
        corkgauge.leases.voter_configuration.UnsafeChangeError: voters: version 2 is told by b, d, and 3 of 4 have to, before version 3
        """
        if new == self:
            return
        if new.version != self.version + 1:
            raise UnsafeChangeError(
                f"voters: expected version {self.version + 1}, as {self.version} is in force, "
                f"found {new.version}"
            )
        more, fewer = {*new.names} - {*self.names}, {*self.names} - {*new.names}
        if len(more) + len(fewer) > 1:
            adds, removes = (", ".join(sorted(each)) or "none" for each in (more, fewer))
            raise UnsafeChangeError(
                f"voters: version {new.version} adds {adds} and removes {removes}: "
                "one of both at a time"
            )
        there = sorted(name for name in self.names if told.get(name) == (self.version, self.mark))
        if len(there) < self.majority:
            raise UnsafeChangeError(
                f"voters: version {self.version} is told by {', '.join(there) or 'nobody'}, and "
                f"{self.majority} of {len(self.names)} have to, before version {new.version}"
            )


class Span:
    """What follows from a lease, its bound on drift and its margin; all in tenths of a millisecond, on clocks
    that count from the machine's boot. Assumed: no such clock gains or loses more than `drift` of the true
    time.

    A voter keeps a grant for `granted`, so in true time for no less than the lease; a holder believes in it
    for `held`, so in true time for no more than the lease, less a margin for what lies between a look at the
    clock and the act's arrival.

    >>> span = Span(30_000, 0.01, 1_000)
    >>> span.granted, span.held, span.each, span.reply
    (30300, 28700, 3750, 3750)
    """

    def __init__(self, lease: int, drift: float, margin: int, longest: int = 0) -> None:
        self.lease, self.drift, self.margin = lease, drift, margin
        self.granted = int(lease * (1 + drift)) + (lease * drift % 1 > 0)
        # Voters that may have forgotten are silent for as long as the longest lease that was ever granted.
        self.silent = int(max(longest, lease) * (1 + drift)) + 1
        self.held = int(lease * (1 - drift)) - margin
        if self.held < lease // 2:
            raise UnsafeChangeError(
                f"a lease of {lease / 10_000:g} s leaves {max(self.held, 0) / 10_000:g} s of use"
            )
        self.each = max(lease // 8, 1)  # between two renewals: some may be lost
        self.reply = max(lease // 8, 1)  # that voters have for an answer, until it is asked again
        self.stagger = min(600, max(lease // 40, 10))  # between candidates, as they rank


def ballot_of(round_: int, name: str) -> int:
    """A number that only one gateway proposes: rounds grow, the rest tells names apart.

    >>> ballot_of(5, "n1") >> 8, ballot_of(6, "n1") > ballot_of(5, "n2")
    (5, True)
    """
    return round_ << 8 | crc32(name.encode()) & 255


def round_of(ballot: int) -> int:
    return ballot >> 8

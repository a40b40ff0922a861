"""The voter configuration: who votes, which change is safe; and the times that follow from a lease.

Owns the numbers that leases are worked out with. Free of I/O. Must never let two configurations
count whose majorities need not meet.

Why a change adds or removes one voter only: majorities of two configurations that differ by one
always share a voter, and that voter remembers what it granted. Why a change waits until most voters
of the configuration in force report it, and why a voter is silent for a longest lease after it:
else two changes in a row may leave two voters in the configuration before the last, enough for a
holder, while two others are in the new one, enough for another.
"""

from collections.abc import Iterable, Mapping
from zlib import crc32

MIN_VOTERS = 1
MAX_VOTERS = 7  # 3, 5 or 7 are of use
BALLOT_LIMIT = 2**60  # ballots are below this
RENEWALS_PER_LEASE = 8  # some may be lost
MIN_STAGGER_TICKS = 10
MAX_STAGGER_TICKS = 600
TICKS_PER_SECOND = 10_000  # all times are tenths of a millisecond
NAME_BITS = 8  # of a ballot, below its round


class UnsafeChangeError(ValueError):
    """One line: why a voter configuration is not taken."""


class VoterConfiguration:
    """One version of the list of voters, with the lease that they grant.

    `lease_ticks` is tenths of a millisecond. Raises UnsafeChangeError for too few or too many
    voters.

    >>> three, four = VoterConfiguration(1, "cab"), VoterConfiguration(2, "abcd")
    >>> three.names, three.majority, four.majority
    (('a', 'b', 'c'), 2, 3)
    """

    def __init__(self, version: int, names: Iterable[str], lease_ticks: int = 0) -> None:
        self.version = version
        self.names = tuple(sorted({*names}))
        self.lease_ticks = lease_ticks
        if not MIN_VOTERS <= len(self.names) <= MAX_VOTERS:
            raise UnsafeChangeError(
                f"expected {MIN_VOTERS} to {MAX_VOTERS} voters, found {len(self.names)}"
            )
        self.majority = len(self.names) // 2 + 1
        # The lease is part of it: a voter that grants a shorter one than a holder counts on would
        # let two hold the lease at once.
        self.fingerprint = crc32(f"{version} {lease_ticks} {' '.join(self.names)}".encode())

    def __eq__(self, other: object) -> bool:
        return isinstance(other, VoterConfiguration) and (
            self.version,
            self.names,
            self.lease_ticks,
        ) == (other.version, other.names, other.lease_ticks)

    __hash__ = None  # type: ignore[assignment]

    def check_change_to(
        self, new: "VoterConfiguration", reported: Mapping[str, tuple[int, int]]
    ) -> None:
        """Check that an instance that runs under this configuration may take the new one.

        `reported` holds version and fingerprint that voters, this instance among them, last sent.
        Raises UnsafeChangeError if it may not.

        >>> one, two = VoterConfiguration(1, "abc"), VoterConfiguration(2, "abcd")
        >>> one.check_change_to(two, {"a": (1, one.fingerprint), "b": (1, one.fingerprint)})
        >>> one.check_change_to(VoterConfiguration(2, "abd"), {})
        Traceback (most recent call last):
        corkgauge.leases.voter_configuration.UnsafeChangeError: voters: version 2 adds d and removes c: one of both at a time
        >>> two.check_change_to(VoterConfiguration(3, "abd"), {"b": (2, two.fingerprint), "d": (2, two.fingerprint), "c": (1, one.fingerprint)})
        Traceback (most recent call last):
        corkgauge.leases.voter_configuration.UnsafeChangeError: voters: version 2 is told by b, d, and 3 of 4 have to, before version 3
        """  # noqa: E501
        if new == self:
            return
        if new.version != self.version + 1:
            raise UnsafeChangeError(
                f"voters: expected version {self.version + 1}, as {self.version} is in force, "
                f"found {new.version}"
            )
        added = {*new.names} - {*self.names}
        removed = {*self.names} - {*new.names}
        if len(added) + len(removed) > 1:
            raise UnsafeChangeError(
                f"voters: version {new.version} adds {_format_names(added)} and removes "
                f"{_format_names(removed)}: one of both at a time"
            )
        current = self.version, self.fingerprint
        confirming = sorted(name for name in self.names if reported.get(name) == current)
        if len(confirming) < self.majority:
            raise UnsafeChangeError(
                f"voters: version {self.version} is told by {', '.join(confirming) or 'nobody'}, "
                f"and {self.majority} of {len(self.names)} have to, before version {new.version}"
            )


def _format_names(names: Iterable[str]) -> str:
    return ", ".join(sorted(names)) or "none"


class LeaseTiming:
    """What follows from a lease, its bound on drift and its margin, in tenths of a millisecond.

    Clocks count from the machine's boot. Assumed: no such clock gains or loses more than `drift` of
    the true time. A voter keeps a grant for `grant_ticks`, so in true time for no less than the
    lease; a holder believes in it for `hold_ticks`, so in true time for no more than the lease,
    less a margin for what lies between a look at the clock and the act's arrival. Raises
    UnsafeChangeError where less than half of the lease is left.

    >>> timing = LeaseTiming(30_000, 0.01, 1_000)
    >>> timing.grant_ticks, timing.hold_ticks, timing.renewal_ticks, timing.reply_ticks
    (30300, 28700, 3750, 3750)
    """

    def __init__(
        self, lease_ticks: int, drift: float, margin_ticks: int, longest_lease_ticks: int = 0
    ) -> None:
        self.lease_ticks = lease_ticks
        self.drift = drift
        self.margin_ticks = margin_ticks
        is_fraction_left = lease_ticks * drift % 1 > 0
        self.grant_ticks = int(lease_ticks * (1 + drift)) + is_fraction_left
        # Voters that may have forgotten are silent for as long as the longest lease that was ever
        # granted.
        self.silence_ticks = int(max(longest_lease_ticks, lease_ticks) * (1 + drift)) + 1
        self.hold_ticks = int(lease_ticks * (1 - drift)) - margin_ticks
        if self.hold_ticks < lease_ticks // 2:
            lease_seconds = lease_ticks / TICKS_PER_SECOND
            usable_seconds = max(self.hold_ticks, 0) / TICKS_PER_SECOND
            raise UnsafeChangeError(
                f"a lease of {lease_seconds:g} s leaves {usable_seconds:g} s of use"
            )
        self.renewal_ticks = max(lease_ticks // RENEWALS_PER_LEASE, 1)
        # What voters have for a reply, until they are asked again.
        self.reply_ticks = max(lease_ticks // RENEWALS_PER_LEASE, 1)
        # Between the first attempts of two candidates, as they rank.
        self.stagger_ticks = min(MAX_STAGGER_TICKS, max(lease_ticks // 40, MIN_STAGGER_TICKS))


def make_ballot(round_number: int, name: str) -> int:
    """Return a number that only one instance proposes.

    Rounds grow, the rest tells names apart.

    >>> make_ballot(5, "n1") >> 8, make_ballot(6, "n1") > make_ballot(5, "n2")
    (5, True)
    """
    return round_number << NAME_BITS | crc32(name.encode()) & 255


def get_ballot_round(ballot: int) -> int:
    """Return the round that a ballot belongs to."""
    return ballot >> NAME_BITS

"""Voter configurations, the check of configuration changes, and the lease timing.

Owns the times, ballots and majorities that leases are calculated from. Free of I/O. Two
configurations whose majorities may be disjoint must never be in force at the same time.

A change adds or removes only one voter, because majorities of two configurations that differ by one
voter always share a voter, and that voter remembers its grants. A change waits until a majority of
the current voters report the current configuration, and a voter is silent for the longest lease
after a change. Without these two rules, two changes in quick succession could leave two voters in
the configuration before the previous one, enough to grant a lease, while two other voters already
use the newest one, enough to grant the same lease to another holder.
"""

from collections.abc import Iterable, Mapping
from zlib import crc32

MIN_VOTERS = 1
MAX_VOTERS = 7  # useful counts are 3, 5 and 7
BALLOT_LIMIT = 2**60  # exclusive upper limit of ballots
RENEWALS_PER_LEASE = 8  # allows for lost renewals
MIN_STAGGER_TICKS = 10
MAX_STAGGER_TICKS = 600
TICKS_PER_SECOND = 10_000  # a tick is a tenth of a millisecond
NAME_BITS = 8  # low bits of a ballot, below the round; `make_ballot` masks them with 255


class UnsafeChangeError(ValueError):
    """An unsafe change of the voters, or an invalid list of voters or lease duration.

    The one-line message gives the reason.
    """


class VoterConfiguration:
    """One version of the list of voters, with the duration of the leases that they grant.

    `lease_ticks` is in ticks (tenths of a millisecond). Raises UnsafeChangeError for too few or too
    many voters.

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
        # The fingerprint includes the lease duration. A voter with a shorter lease duration than
        # the holder assumes could grant the lease to a second holder while the first holder still
        # holds the lease.
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
        """Check that an instance may change from this configuration to `new`.

        `reported` holds the version and fingerprint that each voter, including this instance, last
        sent. Raises UnsafeChangeError if the change is unsafe.

        >>> one, two = VoterConfiguration(1, "abc"), VoterConfiguration(2, "abcd")
        >>> one.check_change_to(two, {"a": (1, one.fingerprint), "b": (1, one.fingerprint)})
        >>> one.check_change_to(VoterConfiguration(2, "abd"), {})
        Traceback (most recent call last):
        corkgauge.leases.voter_configuration.UnsafeChangeError: voters: version 2 adds d and removes c; add or remove one voter at a time
        >>> two.check_change_to(VoterConfiguration(3, "abd"), {"b": (2, two.fingerprint), "d": (2, two.fingerprint), "c": (1, one.fingerprint)})
        Traceback (most recent call last):
        corkgauge.leases.voter_configuration.UnsafeChangeError: voters: version 2 is reported by b, d; 3 of 4 voters must report it before version 3 is applied
        """  # noqa: E501
        if new == self:
            return
        if new.version != self.version + 1:
            raise UnsafeChangeError(
                f"voters: expected version {self.version + 1}, because {self.version} is in force, "
                f"found {new.version}"
            )
        added = {*new.names} - {*self.names}
        removed = {*self.names} - {*new.names}
        if len(added) + len(removed) > 1:
            raise UnsafeChangeError(
                f"voters: version {new.version} adds {_format_names(added)} and removes "
                f"{_format_names(removed)}; add or remove one voter at a time"
            )
        current = self.version, self.fingerprint
        confirming = sorted(name for name in self.names if reported.get(name) == current)
        if len(confirming) < self.majority:
            raise UnsafeChangeError(
                f"voters: version {self.version} is reported by "
                f"{', '.join(confirming) or 'nobody'}; {self.majority} of {len(self.names)} voters "
                f"must report it before version {new.version} is applied"
            )


def _format_names(names: Iterable[str]) -> str:
    return ", ".join(sorted(names)) or "none"


class LeaseTiming:
    """Times derived from the lease duration, the clock drift bound and the margin, in ticks.

    A tick is a tenth of a millisecond, and clocks count ticks from the boot of the machine. The
    assumption is that no clock gains or loses more than the fraction `drift` of true time. A voter
    keeps a grant for `grant_ticks` on its own clock, which is at least the lease duration in true
    time. A holder uses the lease for `hold_ticks` on its own clock, which is at most the lease
    duration in true time, less a margin. The margin covers the time from the clock reading in
    `may_act` until the act arrives. Raises UnsafeChangeError if less than half of the lease
    would be usable.

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
        # Rounded up, so that no grant ends early.
        is_fraction_left = lease_ticks * drift % 1 > 0
        self.grant_ticks = int(lease_ticks * (1 + drift)) + is_fraction_left
        # Voters that may have lost their votes are silent for the longest lease ever granted.
        self.silence_ticks = int(max(longest_lease_ticks, lease_ticks) * (1 + drift)) + 1
        self.hold_ticks = int(lease_ticks * (1 - drift)) - margin_ticks
        if self.hold_ticks < lease_ticks // 2:
            lease_seconds = lease_ticks / TICKS_PER_SECOND
            usable_seconds = max(self.hold_ticks, 0) / TICKS_PER_SECOND
            raise UnsafeChangeError(
                f"a lease of {lease_seconds:g} s leaves {usable_seconds:g} s usable, expected at "
                "least half; lower the margin or drift, or use a longer lease"
            )
        self.renewal_ticks = max(lease_ticks // RENEWALS_PER_LEASE, 1)
        # A round without a majority times out after one to three reply times (see RoundPacing).
        self.reply_ticks = max(lease_ticks // RENEWALS_PER_LEASE, 1)
        # Delay between the first attempts of two candidates with successive ranks.
        self.stagger_ticks = min(MAX_STAGGER_TICKS, max(lease_ticks // 40, MIN_STAGGER_TICKS))


def make_ballot(round_number: int, name: str) -> int:
    """Return the ballot that an instance proposes in a round.

    Later rounds give higher ballots. The low bits are a hash of the name, which usually differs
    between two instances in the same round. Equal ballots are safe, because a voter promises a
    ballot only once, so at most one of the instances gets a majority of promises.

    >>> make_ballot(5, "n1") >> 8, make_ballot(6, "n1") > make_ballot(5, "n2")
    (5, True)
    """
    return round_number << NAME_BITS | crc32(name.encode()) & 255


def get_ballot_round(ballot: int) -> int:
    """Return the round of a ballot."""
    return ballot >> NAME_BITS

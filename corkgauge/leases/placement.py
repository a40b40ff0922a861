"""Decides where leases should be held: spread over zones and away from overloaded instances.

Owns the order of candidates, which all instances calculate alike from the same information, and the
assessment of the local load. Free of I/O. The order only suggests which candidate tries first. The
order must never take a lease from a holder that keeps the lease.
"""

from collections import deque
from collections.abc import Mapping, Sequence
from zlib import crc32

# Highest rank. All later candidates get this rank too, so they first try after the same delay;
# random delays separate their retries.
MAX_RANK = 6
LOAD_SAMPLE_COUNT = 8  # latest load checks that count
LATE_SAMPLE_COUNT = 2  # late checks among them that mean overload
RECOVERY_TICKS = 100_000  # time without a late check until the overload ends


def preferred_order(
    lease: str, members: Sequence[tuple[str, str]], holders: Mapping[str, str]
) -> list[str]:
    """Return the names of the candidates, in the order in which they should try.

    `members` holds the name and zone of each candidate, and `holders` the known holder of each
    lease. Candidates are ordered by the number of other leases held in their zone, then by the
    number of other leases they hold, then by a hash.

    >>> members = [("n1", "a"), ("n2", "a"), ("n3", "b")]
    >>> preferred_order("books", members, {"works": "n1"})[0]
    'n3'
    >>> preferred_order("books", members, {"works": "n3"})[0] in ("n1", "n2")
    True
    """
    zones = dict(members)
    busy = [name for held, name in holders.items() if held != lease and name in zones]

    def preference(member: tuple[str, str]) -> tuple[int, int, int, str]:
        name, zone = member
        held_in_zone = sum(zones[other] == zone for other in busy)
        return held_in_zone, busy.count(name), crc32(f"{lease} {name}".encode()), name

    return [name for name, _ in sorted(members, key=preference)]


def rank_of(
    lease: str, name: str, members: Sequence[tuple[str, str]], holders: Mapping[str, str]
) -> int:
    """Return how many candidates should try before this one, at most MAX_RANK."""
    names = preferred_order(lease, members, holders)
    return min(names.index(name), MAX_RANK) if name in names else MAX_RANK


class LoadSampler:
    """Detects overload of an instance from repeated late checks of its event loop.

    >>> load = LoadSampler(100)
    >>> checks = (0, 0), (500, 130), (1000, 0), (1500, 150), (2000, 0)
    >>> [load.record_check(now, late) for now, late in checks]
    [False, False, False, True, True]
    >>> load.record_check(1500 + RECOVERY_TICKS, 0)
    False
    """

    def __init__(self, late_threshold_ticks: int) -> None:
        self.late_threshold_ticks = late_threshold_ticks  # a check this late counts as late
        self.samples: deque[bool] = deque(maxlen=LOAD_SAMPLE_COUNT)
        self.overloaded_until = -1

    def record_check(self, now: int, late_by: int) -> bool:
        """Record a check that was `late_by` ticks late; return whether there is overload."""
        is_late = late_by >= self.late_threshold_ticks
        self.samples.append(is_late)
        if is_late and sum(self.samples) >= LATE_SAMPLE_COUNT:
            self.overloaded_until = now + RECOVERY_TICKS
        return now < self.overloaded_until

"""Where leases should be held: spread over zones, and away from instances that are overloaded.

Owns an order among candidates that all work out alike from what they know, and an instance's
judgement of its own load. Free of I/O. Must never take a lease from a holder that keeps it: this is
a hint on who tries first.
"""

from collections import deque
from collections.abc import Mapping, Sequence
from zlib import crc32

MAX_RANK = 6  # later ones try together, with chance between them
LOAD_SAMPLE_COUNT = 8  # last checks of our own load that count
LATE_SAMPLE_COUNT = 2  # of these late: overloaded
RECOVERY_TICKS = 100_000  # tenths of a millisecond without a late check, before it stands again


def preferred_order(
    lease: str, members: Sequence[tuple[str, str]], holders: Mapping[str, str]
) -> list[str]:
    """Return names of the candidates, the first to try first.

    `members` are name and zone of those alive, `holders` says who holds which lease. Zones that
    hold fewer other leases come first, then instances that hold fewer, then by hash.

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
    """Return how many should try before this one, at most MAX_RANK."""
    names = preferred_order(lease, members, holders)
    return min(names.index(name), MAX_RANK) if name in names else MAX_RANK


class LoadSampler:
    """An instance's judgement of itself: whether its loop is late again and again.

    >>> load = LoadSampler(100)
    >>> checks = (0, 0), (500, 130), (1000, 0), (1500, 150), (2000, 0)
    >>> [load.record_check(now, late) for now, late in checks]
    [False, False, False, True, True]
    >>> load.record_check(1500 + RECOVERY_TICKS, 0)
    False
    """

    def __init__(self, late_threshold_ticks: int) -> None:
        self.late_threshold_ticks = late_threshold_ticks  # a check this late counts
        self.samples: deque[bool] = deque(maxlen=LOAD_SAMPLE_COUNT)
        self.overloaded_until = -1

    def record_check(self, now: int, late_by: int) -> bool:
        """Return whether we are overloaded, after a timer that was `late_by` late."""
        is_late = late_by >= self.late_threshold_ticks
        self.samples.append(is_late)
        if is_late and sum(self.samples) >= LATE_SAMPLE_COUNT:
            self.overloaded_until = now + RECOVERY_TICKS
        return now < self.overloaded_until

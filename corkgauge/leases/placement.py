"""Where duties should be: spread over halls, and away from gateways that are overloaded.

Owns an order among candidates that all work out alike from what they know, and a gateway's word on its own
load. Free of I/O. Must never take a duty from a holder that keeps it: this is a hint on who tries first.
"""

from collections import deque
from collections.abc import Mapping, Sequence
from zlib import crc32

MOST_RANK = 6  # later ones try together, with chance between them
LOOKS = 8  # last ones, of our own load
LATE_LOOKS = 2  # of these late: overloaded
RECOVERED = 100_000  # tenths of a millisecond without a late look, before it stands again


def order(duty: str, members: Sequence[tuple[str, str]], held: Mapping[str, str]) -> list[str]:
    """Names of the candidates, the first to try first. `fellows` are (name, hall) of those alive, `held` says
    who holds which other duty. Halls that hold less first, then gateways that hold less, then by hash.

    >>> members = [("n1", "a"), ("n2", "a"), ("n3", "b")]
    >>> order("books", members, {"works": "n1"})[0]
    'n3'
    >>> order("books", members, {"works": "n3"})[0] in ("n1", "n2")
    True
    """
    zones = dict(members)
    busy = [name for each, name in held.items() if each != duty and name in zones]
    return [
        name
        for *_, name in sorted(
            (
                sum(zones[each] == zone for each in busy),
                busy.count(name),
                crc32(f"{duty} {name}".encode()),
                name,
            )
            for name, zone in members
        )
    ]


def rank(duty: str, name: str, members: Sequence[tuple[str, str]], held: Mapping[str, str]) -> int:
    """How many should try before this one, at most MOST_RANK."""
    names = order(duty, members, held)
    return min(names.index(name), MOST_RANK) if name in names else MOST_RANK


class Load:
    """A gateway's word on itself: is its loop late, again and again?

    >>> load = Load(100)
    >>> [load.looked(now, late) for now, late in ((0, 0), (500, 130), (1000, 0), (1500, 150), (2000, 0))]
    [False, False, False, True, True]
    >>> load.looked(1500 + RECOVERED, 0)
    False
    """

    def __init__(self, late: int) -> None:
        self.late = late  # tenths of a millisecond, from which a look counts as late
        self.looks: deque[bool] = deque(maxlen=LOOKS)
        self.until = -1

    def looked(self, now: int, late: int) -> bool:
        """A timer that was due `late` ago: are we overloaded?"""
        self.looks.append(late >= self.late)
        if late >= self.late and sum(self.looks) >= LATE_LOOKS:
            self.until = now + RECOVERED
        return now < self.until

"""Turns at cold engines, passed on: who is in turn and needs it not gives it to a fellow that does.

Owns which turns were passed on by us, and to whom they go. Free of I/O. Must never pass a turn twice, use one that was
passed on, or let one outlive its window: the sum over all gateways is what it is without any passing.

A turn is one submission's worth of work at one engine in one window of the cold rule. It is spent here before it is
written to the other (escrow: O'Neil, 1986), so a letter that is lost costs a turn and never makes one. How long it may
be used counts from a telling of the receiver's own, which the giver answers: on the receiver's clock from when it wrote
that, and by what the giver had let pass since it heard it; so neither clocks that differ nor letters that are late
lengthen it. A giver that restarts has forgotten what it passed on, and by the rule on cold engines it sends nothing
there for a window after its start, when every turn that it may have passed on is over.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

SENT = 64  # tellings whose time of writing is remembered
LEAST_LEFT = 0.15  # of a window, that has to be left for a turn to be worth passing
KEPT = 0.3  # of a window, that a turn is kept for what may still come here


@dataclass(slots=True)
class Need:
    """What a fellow last told: submissions it could not place a second, and the serial of that telling."""

    at: int
    start: int
    serial: int
    want: float


class PermitTransfer:
    """`window` is the span of the cold rule, tenths of a millisecond.

    >>> turns = PermitTransfer(10_000)
    >>> turns.needs("n2", 100, 1, 7, 3.0)
    >>> turns.pass_on(5_000, "e1", 4_000, 0)        # a third of a window has gone by, at most; and it is not needed
    ('n2', 7, 4900, 4000)
    >>> turns.pass_on(5_100, "e1", 3_900, 0) is None    # passed on already, in this window
    True
    """

    def __init__(self, window: int) -> None:
        self.window = window
        self.members: dict[str, Need] = {}
        self.passed: dict[str, int] = {}  # by engine: in which window, by its end
        self.sent: dict[int, int] = {}  # by serial of a telling of ours: when it was written
        self.counts = Counter[str]()

    # Giving.

    def needs(self, gateway: str, now: int, start: int, serial: int, want: float) -> None:
        self.members[gateway] = Need(now, start, serial, min(max(want, 0.0), 1e6))

    def pass_on(
        self, now: int, engine: str, left: int, chance: int
    ) -> tuple[str, int, int, int] | None:
        """To whom our turn at an engine goes, or None. `left` is what is left of the window, `chance` a draw below
        2 ** 32. Returns the fellow, the serial of its telling that is answered, how long that has been known here,
        and what is left. The caller spends it here before it writes."""
        end = (now + left) // 100  # a window's end, as far as rounding of its start goes
        if (
            not LEAST_LEFT * self.window <= left <= (1 - KEPT) * self.window
            or abs(self.passed.get(engine, -(10**9)) - end) * 100 < self.window // 2
        ):
            return None
        able = [
            (name, need)
            for name, need in sorted(self.members.items())
            if need.want > 0 and now < need.at + self.window // 2
        ]
        total = sum(need.want for _, need in able)
        ticket = chance / 2**32 * total
        for name, need in able:
            ticket -= need.want
            if ticket < 0:
                need.want = max(
                    need.want - 1, 0.0
                )  # the next goes to another, until it tells again
                self.passed[engine] = end
                self.counts["turns passed on"] += 1
                return name, need.serial, now - need.at, left
        return None

    # Receiving.

    def telling(self, now: int, serial: int) -> None:
        """We wrote a telling, just now."""
        self.sent[serial] = now
        while len(self.sent) > SENT:
            del self.sent[next(iter(self.sent))]

    def received(self, now: int, serial: int, known_for: int, left: int) -> int:
        """Until when a turn that came may be used; 0: not at all. Each telling is answered with one turn at most for
        each engine, which the letters' own windows see to."""
        written = self.sent.get(serial)
        if written is None or known_for < 0 or not 0 < left <= self.window:
            self.counts["turns of no telling"] += 1
            return 0
        until = written + known_for + left
        if until <= now:
            self.counts["turns too late"] += 1
            return 0
        self.counts["turns received"] += 1
        return until

    def forget(self, named: Mapping[str, object]) -> None:
        self.members = {name: need for name, need in self.members.items() if name in named}
        if len(self.passed) > 4_096:
            self.passed.clear()

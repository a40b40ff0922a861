"""Transfer of slow-start permits that a gateway does not need to one that does.

Free of I/O. A permit is never transferred twice, never used by its giver once it was given away,
and never outlives its window: the sum over all gateways is what it is without any transfer.

A permit is one request's worth of work at one engine in one window of the slow-start rule. The
giver spends it before it writes the datagram (escrow: O'Neil, 1986), so a lost datagram costs a
permit and never makes one. How long it may be used counts from a status update of the receiver's,
which the giver answers: on the receiver's clock from when it wrote that update, plus what the giver
had let pass since that came. So neither clocks that differ nor datagrams that are late lengthen it.
A giver that restarts has forgotten what it gave away; by the slow-start rule it sends nothing to a
new engine for a window after its own start, when every permit that it may have given is over.
Times are ticks, tenths of a millisecond since the boot of the machine.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

MAX_REMEMBERED_UPDATES = 64  # status updates of ours whose time of writing is kept
MIN_REMAINING_FRACTION = 0.15  # of a window: with less left a permit is not worth a datagram
RESERVED_FRACTION = 0.3  # of a window, in which a permit is kept for requests still to come here
MAX_REMEMBERED_TRANSFERS = 4_096  # engines whose last transfer is kept
MAX_DEMAND = 1e6  # requests a second: a wild figure would take every permit
# Ends of windows are compared in hundredths of a second, as their starts are known rounded.
WINDOW_END_TICKS = 100
NEVER = -(10**9)  # a window end that is far from any other


@dataclass(slots=True)
class PermitDemand:
    """What a member last told: the requests a second that it could not place.

    `serial` is of the status update that told it, `incarnation` the member's.
    """

    reported_at: int
    incarnation: int
    serial: int
    unplaced_per_second: float


class PermitGrant(NamedTuple):
    """A permit on its way to `member`, in answer to its status update `serial`."""

    member: str
    serial: int
    known_ticks: int  # how long that update has been known to the giver
    remaining_ticks: int  # of the window


class PermitTransfer:
    """Which permits were given away, to whom, and until when one that came may be used.

    `window_ticks` is the window of the slow-start rule.

    >>> permits = PermitTransfer(10_000)
    >>> permits.record_demand("n2", 100, 1, 7, 3.0)
    >>> permits.grant_permit(5_000, "e1", 4_000, 0)     # over a third of the window is over
    PermitGrant(member='n2', serial=7, known_ticks=4900, remaining_ticks=4000)
    >>> permits.grant_permit(5_100, "e1", 3_900, 0) is None    # given away already, in this window
    True
    """

    def __init__(self, window_ticks: int) -> None:
        self.window_ticks = window_ticks
        self.demand_by_member: dict[str, PermitDemand] = {}
        # By engine: the end of the window whose permit was given, in units of WINDOW_END_TICKS.
        self.granted_window_end: dict[str, int] = {}
        self.update_sent_at: dict[int, int] = {}  # by serial of a status update of ours
        self.counts = Counter[str]()  # names are shown to operators

    def record_demand(
        self, member: str, now: int, incarnation: int, serial: int, unplaced_per_second: float
    ) -> None:
        """Keep what a member's status update tells of its demand."""
        unplaced = min(max(unplaced_per_second, 0.0), MAX_DEMAND)
        self.demand_by_member[member] = PermitDemand(now, incarnation, serial, unplaced)

    def grant_permit(
        self, now: int, engine: str, remaining_ticks: int, random_draw: int
    ) -> PermitGrant | None:
        """Choose who gets our permit at an engine; None where it is kept.

        `random_draw` is below 2 ** 32. The caller has to spend the permit here before it writes.
        """
        window_end = (now + remaining_ticks) // WINDOW_END_TICKS
        if not self._can_grant(engine, remaining_ticks, window_end):
            return None
        candidates = [
            (member, demand)
            for member, demand in sorted(self.demand_by_member.items())
            if demand.unplaced_per_second > 0 and now < demand.reported_at + self.window_ticks // 2
        ]
        total = sum(demand.unplaced_per_second for _, demand in candidates)
        ticket = random_draw / 2**32 * total
        for member, demand in candidates:
            ticket -= demand.unplaced_per_second
            if ticket < 0:
                # The next permit goes to another, until this member's next update.
                demand.unplaced_per_second = max(demand.unplaced_per_second - 1, 0.0)
                self.granted_window_end[engine] = window_end
                self.counts["turns passed on"] += 1
                known_ticks = now - demand.reported_at
                return PermitGrant(member, demand.serial, known_ticks, remaining_ticks)
        return None

    def _can_grant(self, engine: str, remaining_ticks: int, window_end: int) -> bool:
        """Whether it is time to give, and this window's permit was not given yet."""
        earliest = (1 - RESERVED_FRACTION) * self.window_ticks
        if not MIN_REMAINING_FRACTION * self.window_ticks <= remaining_ticks <= earliest:
            return False
        distance = abs(self.granted_window_end.get(engine, NEVER) - window_end)
        return distance * WINDOW_END_TICKS >= self.window_ticks // 2

    def record_update_sent(self, now: int, serial: int) -> None:
        """Keep when a status update of ours was written: now."""
        self.update_sent_at[serial] = now
        while len(self.update_sent_at) > MAX_REMEMBERED_UPDATES:
            del self.update_sent_at[next(iter(self.update_sent_at))]

    def accept_permit(self, now: int, serial: int, known_ticks: int, remaining_ticks: int) -> int:
        """Until when a permit that came may be used; 0: not at all.

        An update may be answered by one permit for each engine. A datagram that comes twice is
        stopped before, by the window of serials that the membership service keeps.
        """
        written_at = self.update_sent_at.get(serial)
        if written_at is None or known_ticks < 0 or not 0 < remaining_ticks <= self.window_ticks:
            self.counts["turns of no telling"] += 1
            return 0
        usable_until = written_at + known_ticks + remaining_ticks
        if usable_until <= now:
            self.counts["turns too late"] += 1
            return 0
        self.counts["turns received"] += 1
        return usable_until

    def retain_members(self, members: Mapping[str, object]) -> None:
        """Drop the demand of gateways that are no members any more, and bound what is kept."""
        self.demand_by_member = {
            name: demand for name, demand in self.demand_by_member.items() if name in members
        }
        if len(self.granted_window_end) > MAX_REMEMBERED_TRANSFERS:
            self.granted_window_end.clear()

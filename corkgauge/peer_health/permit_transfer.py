"""Transfers slow-start permits from a gateway that does not need them to one that does.

Performs no I/O. A permit is never transferred twice, never used by its granter after the transfer,
and never valid beyond its window. The number of permits over all gateways is therefore the same as
without transfers.

A permit is the work of one request at one engine in one window of the slow-start rule. The granter
spends the permit before it sends the datagram (escrow: O'Neil, 1986), so a lost datagram loses a
permit and never creates one.

A granted permit answers a status update of the receiver, and its validity counts from that update:
from the time at which the receiver sent the update, by the receiver's clock, plus the time since
the granter received the update, plus the remainder of the window. Neither differing clocks nor late
datagrams can lengthen the validity.

A granter that restarts has no record of the permits it granted. By the slow-start rule it sends
nothing to a new engine for one window after its own start, and every permit that it may have
granted has expired by the end of that window.

Times are ticks, tenths of a millisecond since the boot of the machine.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

MAX_REMEMBERED_UPDATES = 64  # sent status updates whose send times are kept
# Fraction of a window; with less of the window remaining, a permit is not worth a datagram.
MIN_REMAINING_FRACTION = 0.15
RESERVED_FRACTION = 0.3  # initial part of a window, in which permits are kept for local requests
MAX_REMEMBERED_TRANSFERS = 4_096  # engines whose last transfer is kept; above, all are dropped
MAX_DEMAND = 1e6  # requests per second; a larger reported value would attract every permit
# Window ends are compared in units of 10 ms, because gateways know the start dates of engines, from
# which windows count, only rounded.
WINDOW_END_UNIT_TICKS = 100
NEVER = -(10**9)  # a window end that is far from any actual one


@dataclass(slots=True)
class PermitDemand:
    """The latest demand of a member: requests per second that found no engine.

    `serial` is the serial of the status update that reported the demand, `incarnation` the member's
    incarnation, and `reported_at` the local time of receipt.
    """

    reported_at: int
    incarnation: int
    serial: int
    unplaced_per_second: float


class PermitGrant(NamedTuple):
    """A permit granted to `member`, in answer to its status update `serial`."""

    member: str
    serial: int
    known_ticks: int  # time since the granter received the status update
    remaining_ticks: int  # of the window


class PermitTransfer:
    """Grants permits to members with demand, and computes the validity of received permits.

    `window_ticks` is the window length of the slow-start rule.

    >>> permits = PermitTransfer(10_000)
    >>> permits.record_demand("n2", 100, 1, 7, 3.0)
    >>> permits.grant_permit(5_000, "e1", 4_000, 0)     # the reserved part has passed
    PermitGrant(member='n2', serial=7, known_ticks=4900, remaining_ticks=4000)
    >>> permits.grant_permit(5_100, "e1", 3_900, 0) is None    # granted before, in this window
    True
    """

    def __init__(self, window_ticks: int) -> None:
        self.window_ticks = window_ticks
        self.demand_by_member: dict[str, PermitDemand] = {}
        # By engine: the end of the window whose permit was granted, in WINDOW_END_UNIT_TICKS.
        self.granted_window_end: dict[str, int] = {}
        self.update_sent_at: dict[int, int] = {}  # by serial of a sent status update
        self.counts = Counter[str]()  # the keys are shown to operators

    def record_demand(
        self, member: str, now: int, incarnation: int, serial: int, unplaced_per_second: float
    ) -> None:
        """Record the demand that a member's status update reports."""
        unplaced = min(max(unplaced_per_second, 0.0), MAX_DEMAND)
        self.demand_by_member[member] = PermitDemand(now, incarnation, serial, unplaced)

    def grant_permit(
        self, now: int, engine: str, remaining_ticks: int, random_draw: int
    ) -> PermitGrant | None:
        """Choose a member for the local permit at an engine; return None to keep the permit.

        Members are drawn with a probability in proportion to their demand. The caller has to spend
        the permit locally before it sends the grant.

        Args:
            now: Current time.
            engine: Host reference of the engine.
            remaining_ticks: Remainder of the engine's current window.
            random_draw: Random number from 0 to 2**32 - 1.
        """
        window_end = (now + remaining_ticks) // WINDOW_END_UNIT_TICKS
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
                # The grant lowers the demand until the member's next update, so that the next
                # permits go to other members.
                demand.unplaced_per_second = max(demand.unplaced_per_second - 1, 0.0)
                self.granted_window_end[engine] = window_end
                self.counts["turns passed on"] += 1
                known_ticks = now - demand.reported_at
                return PermitGrant(member, demand.serial, known_ticks, remaining_ticks)
        return None

    def _can_grant(self, engine: str, remaining_ticks: int, window_end: int) -> bool:
        """Return whether enough, but not too much, of the window remains and no grant was made."""
        max_remaining_ticks = (1 - RESERVED_FRACTION) * self.window_ticks
        if not MIN_REMAINING_FRACTION * self.window_ticks <= remaining_ticks <= max_remaining_ticks:
            return False
        distance = abs(self.granted_window_end.get(engine, NEVER) - window_end)
        return distance * WINDOW_END_UNIT_TICKS >= self.window_ticks // 2

    def record_update_sent(self, now: int, serial: int) -> None:
        """Record `now` as the time at which the status update `serial` is sent."""
        self.update_sent_at[serial] = now
        while len(self.update_sent_at) > MAX_REMEMBERED_UPDATES:
            del self.update_sent_at[next(iter(self.update_sent_at))]

    def accept_permit(self, now: int, serial: int, known_ticks: int, remaining_ticks: int) -> int:
        """Return the time until which a received permit may be used; 0 if it may not be used.

        A status update may be answered by one permit for each engine. Duplicate datagrams do not
        reach this method: the membership service rejects them by its replay window.
        """
        sent_at = self.update_sent_at.get(serial)
        if sent_at is None or known_ticks < 0 or not 0 < remaining_ticks <= self.window_ticks:
            self.counts["turns of no telling"] += 1
            return 0
        usable_until = sent_at + known_ticks + remaining_ticks
        if usable_until <= now:
            self.counts["turns too late"] += 1
            return 0
        self.counts["turns received"] += 1
        return usable_until

    def retain_members(self, members: Mapping[str, object]) -> None:
        """Drop the demand of former members, and bound the record of granted windows."""
        self.demand_by_member = {
            name: demand for name, demand in self.demand_by_member.items() if name in members
        }
        if len(self.granted_window_end) > MAX_REMEMBERED_TRANSFERS:
            self.granted_window_end.clear()

"""The duty *fleet's books* at one gateway: asking all others while it is held, answering whoever holds it.

Owns the rounds of asking and this gateway's copy of the history. Must never ask, sum or tell without a look
at the holder's `may` immediately before, and never answer under a lower fence than it has seen.
"""

from typing import Any

from corkgauge.accounting.snapshot import take_snapshot
from corkgauge.leases.fleet_accounts import FleetAccounts, History, account_of

SHOWN = 20  # entries that operators are shown


class FleetAccountsCollector:
    """`office` is the driver of duties; `each` tenths of a millisecond between two rounds."""

    def __init__(self, office: Any, duty: str, each: int) -> None:
        self.office, self.duty, self.each = office, duty, each
        self.books, self.history, self.number, self.fence = FleetAccounts(), History(), 0, 0
        self.epoch = str(office.member_list.codec.incarnation)

    def gained(self) -> None:
        """Held from now on: rounds begin, under this fence alone."""
        self.number, self.fence = 0, self.office.holders[self.duty].fence
        self.begin(self.fence)

    def begin(self, fence: int) -> None:
        """Ask all that are alive."""
        office = self.office
        if not self._may(fence):
            return
        self.books.begin()
        self.number += 1
        for member in office.member_list.alive():
            if not self._may(fence):  # before each act, not once a round
                return
            office.member_list.call(member.name, "books", ["ask", self.duty, fence, self.number])
        self.books.tells(office.name, self.account())
        office.event_loop.call_later(max(self.each // 2, 1), self.sum, fence)
        office.event_loop.call_later(self.each, self.begin, fence)

    def sum(self, fence: int) -> None:
        """What was answered goes into the history, here and at all others."""
        office = self.office
        if not self._may(fence):
            return
        alive = [member.name for member in office.member_list.alive()]
        entry = self.books.entry(fence, self.number, office.event_loop.now // 10, alive)
        self._add(entry)
        if entry["wrong"]:
            # Loud: what one gateway counts right may still not add up for all.
            office.log(f"fleet out of balance: {'; '.join(entry['wrong'])}"[:300])
        for name in alive:
            if not self._may(fence):
                return
            office.member_list.call(name, "books", ["entry", self.duty, fence, entry])

    def heard(self, sender: str, what: str, rest: list[Any]) -> None:
        """A holder that asks or tells, or a fellow's answer. What makes no sense raises."""
        office = self.office
        if what == "account":
            number, account = rest
            if number == self.number and self._may(self.fence):
                self.books.tells(sender, account)
            return
        fence = int(rest[0])
        if not office.guard.admits(self.duty, fence):
            office.member_list.call(
                sender, "books", ["no", self.duty, office.guard.highest[self.duty]]
            )
        elif what == "ask":
            office.member_list.call(
                sender, "books", ["account", self.duty, int(rest[1]), self.account()]
            )
        elif what == "entry":
            self._add(dict(rest[1]))

    def account(self) -> dict[str, Any]:
        socket_host = self.office.socket_host
        cut = take_snapshot(
            socket_host.ledger, socket_host.event_loop.now, self.office.name, {"id": self.epoch}
        )
        return account_of(self.epoch, cut["offerings"].values(), cut["engines"].counts.values())

    def told(self) -> dict[str, Any]:
        return {"entries": [*self.history.entries][-SHOWN:], "refused": self.history.refused}

    def _may(self, fence: int) -> bool:
        holder = self.office.holders.get(self.duty)
        return holder is not None and holder.may() and holder.fence == fence

    def _add(self, entry: dict[str, Any]) -> None:
        self.history.add(entry)

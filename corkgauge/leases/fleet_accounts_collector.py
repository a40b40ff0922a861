"""Collects the fleet accounts while this instance holds the lease, and replies to other holders.

Owns the rounds of requests and this instance's copy of the history. The collector must call the
candidate's `may_act` immediately before every request, sum or notice. It must never reply to a
holder under a lower fencing token than the highest one seen.
"""

from typing import TYPE_CHECKING, Any

from corkgauge.accounting.snapshot import take_snapshot
from corkgauge.leases.accounts_messages import (
    AccountReply,
    AccountsDatagram,
    AccountsKind,
    AskAccount,
    EntryNotice,
    TokenRefused,
)
from corkgauge.leases.fleet_accounts import AccountsHistory, FleetAccounts, build_account
from corkgauge.leases.messages import ACCOUNTS_SUBJECT

if TYPE_CHECKING:
    from corkgauge.leases.service import LeaseService

MAX_SHOWN_ENTRIES = 20  # history entries shown to operators
MAX_LOG_LINE_CHARS = 300


class FleetAccountsCollector:
    """The collector of one fleet accounts lease; `period_ticks` separates two rounds."""

    def __init__(self, service: "LeaseService", lease: str, period_ticks: int) -> None:
        self.service = service
        self.lease = lease
        self.period_ticks = period_ticks
        self.accounts = FleetAccounts()
        self.history = AccountsHistory()
        self.round_number = 0  # round under the current fencing token
        # Rounds of this instance under all its fencing tokens; a reply repeats the number of its
        # request. With `round_number`, a reply that is delayed beyond the loss of the lease would
        # count as one to the same round under a later token.
        self.request_number = 0
        self.fencing_token = 0
        self.epoch = str(service.member_list.codec.incarnation)

    def on_lease_gained(self) -> None:
        """Begin rounds under the new fencing token; rounds under an earlier token end."""
        self.round_number = 0
        self.fencing_token = self.service.candidates[self.lease].fencing_token
        self.begin_round(self.fencing_token)

    def begin_round(self, fencing_token: int) -> None:
        """Request the accounts of all other instances that are alive or suspected."""
        if not self._may_act(fencing_token):
            return
        self.accounts.begin_round()
        self.round_number += 1
        self.request_number += 1
        for member in self.service.member_list.list_present_members():
            if not self._may_act(fencing_token):  # check before each act, not once per round
                return
            self._send(member.name, AskAccount(self.lease, fencing_token, self.request_number))
        self.accounts.record_account(self.service.name, self.build_own_account())
        event_loop = self.service.event_loop
        event_loop.call_later(max(self.period_ticks // 2, 1), self.finish_round, fencing_token)
        event_loop.call_later(self.period_ticks, self.begin_round, fencing_token)

    def finish_round(self, fencing_token: int) -> None:
        """Add the sum of the accounts to the history, here and at all members that are present."""
        service = self.service
        if not self._may_act(fencing_token):
            return
        names = [member.name for member in service.member_list.list_present_members()]
        now_ms = service.event_loop.now // 10
        entry = self.accounts.build_entry(fencing_token, self.round_number, now_ms, names)
        self.history.append(entry)
        if entry["wrong"]:
            # Log the discrepancies: accounts that balance at each instance may still not balance
            # across the fleet.
            line = f"fleet out of balance: {'; '.join(entry['wrong'])}"
            service.log(line[:MAX_LOG_LINE_CHARS])
        for name in names:
            if not self._may_act(fencing_token):
                return
            self._send(name, EntryNotice(self.lease, fencing_token, entry))

    def on_datagram(self, sender: str, datagram: AccountsDatagram) -> None:
        """Handle a holder's request or entry, or an instance's reply.

        Raises ProtocolError, ValueError or KeyError for a malformed datagram.
        """
        if datagram.kind == AccountsKind.ACCOUNT:
            self._on_account(sender, datagram.reply)
            return
        guard = self.service.fencing_guard
        if not guard.admits(self.lease, datagram.fencing_token):
            self._send(sender, TokenRefused(self.lease, guard.highest[self.lease]))
        elif datagram.kind == AccountsKind.ASK:
            round_number = datagram.round_number
            account = self.build_own_account()
            self._send(sender, AccountReply(self.lease, round_number, account))
        elif datagram.kind == AccountsKind.ENTRY:
            self.history.append(datagram.entry)

    def _on_account(self, sender: str, reply: AccountReply) -> None:
        if reply.round_number == self.request_number and self._may_act(self.fencing_token):
            self.accounts.record_account(sender, reply.account)

    def build_own_account(self) -> dict[str, Any]:
        """Return the current account of this instance."""
        socket_host = self.service.socket_host
        snapshot = take_snapshot(
            socket_host.ledger, socket_host.event_loop.now, self.service.name, {"id": self.epoch}
        )
        return build_account(
            self.epoch, snapshot["offerings"].values(), snapshot["engines"].counts.values()
        )

    def report_status(self) -> dict[str, Any]:
        """Return the latest history entries, for operators."""
        entries = [*self.history.entries][-MAX_SHOWN_ENTRIES:]
        return {"entries": entries, "refused": self.history.refused}

    def _may_act(self, fencing_token: int) -> bool:
        candidate = self.service.candidates.get(self.lease)
        if candidate is None or not candidate.may_act():
            return False
        return candidate.fencing_token == fencing_token

    def _send(
        self, name: str, message: AskAccount | AccountReply | EntryNotice | TokenRefused
    ) -> None:
        self.service.member_list.call(name, ACCOUNTS_SUBJECT, message.encode())

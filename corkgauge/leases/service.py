"""Leases of one process: its vote, the leases it stands for and holds, and who acts under each.

Owns the I/O: datagrams, timers, the helper that writes votes, and the HTTP routes of operators.
Must never decide who holds what: voter and candidates do. Must never do an act under a lease
without a look at `may_act` immediately before it.
"""

from collections.abc import Callable
from typing import Any

from corkgauge.config.operator_file import LeaseConfig
from corkgauge.config.platform import PlatformConfig
from corkgauge.eventloop.clock import ticks_since_boot
from corkgauge.leases import messages, reconfiguration
from corkgauge.leases.accounts_messages import AccountsDatagram, AccountsKind
from corkgauge.leases.candidate import CandidateState, LeaseCandidate
from corkgauge.leases.candidate_ranking import CandidateRanking
from corkgauge.leases.command_loans import CommandLoans
from corkgauge.leases.durable_record import DurableRecord
from corkgauge.leases.fencing import FencingGuard
from corkgauge.leases.fleet_accounts_collector import FleetAccountsCollector
from corkgauge.leases.interfaces import LeaseOwner, SocketHost
from corkgauge.leases.load_monitor import LoadMonitor
from corkgauge.leases.messages import (
    ACCOUNTS_SUBJECT,
    LEASE_SUBJECT,
    YIELD_SUBJECT,
    LeaseVacant,
)
from corkgauge.leases.operator_commands import OperatorCommands
from corkgauge.leases.voter import Voter

ACCOUNTS_KIND = "books"  # of a lease in the operator file: the fleet accounts
MAX_CHANGES = 50  # of leases that operators can look back at
PAUSE_LEASES = 2  # that this instance does not stand for a lease after it handed it over


class LeaseService:
    """The leases of one instance. `membership` is the membership service that carries datagrams.

    Raises ConfigurationError where the lease's times or the voters make no sense.
    """

    def __init__(
        self,
        socket_host: SocketHost,
        platform_config: PlatformConfig,
        settings: LeaseConfig,
        membership: Any,
    ) -> None:
        self.socket_host = socket_host
        self.event_loop = socket_host.event_loop
        self.name: str = platform_config.name
        self.settings = settings
        self.membership = membership
        self.member_list = membership.member_list
        self.configuration, self.timing = reconfiguration.read_terms(settings)
        # By instance: version and fingerprint of its voter configuration, as last heard.
        self.reported_configurations: dict[str, tuple[int, int]] = {}
        self.durable_record = DurableRecord(
            self.event_loop,
            socket_host.log,
            settings.folder,
            f"{self.name}.votes",
            "duties: kept votes are torn, silent at first",
            "duties: votes are not written, no vote until a restart",
        )
        self.fencing_guard = FencingGuard()
        self.voter = Voter(
            self, self.name, self.configuration, self.timing, self.durable_record.stored
        )
        # By lease: its candidate, and whoever acts under it; commands are known to `command_loans`.
        self.candidates: dict[str, LeaseCandidate] = {}
        self.collectors: dict[str, FleetAccountsCollector] = {}
        self.owners: dict[str, LeaseOwner] = {}
        self.changes: list[dict[str, Any]] = []
        self.is_leaving = False
        self.is_cordoned = False
        self.ranking = CandidateRanking(self)
        self.command_loans = CommandLoans(self)
        self.operator_commands = OperatorCommands(self)
        self.load_monitor = LoadMonitor(self)
        for name, kind, period_ticks in settings.leases:
            self.add_named_lease(name, kind, period_ticks)
        self._subscribe()
        self.load_monitor.check(ticks_since_boot())

    def _subscribe(self) -> None:
        self.member_list.calls[LEASE_SUBJECT] = self.on_lease_datagram
        self.member_list.calls[ACCOUNTS_SUBJECT] = self.on_accounts_datagram
        self.member_list.calls[YIELD_SUBJECT] = self.on_yield_datagram
        routes = self.socket_host.routes
        routes[b"GET", b"/duties"] = self.operator_commands.report_status
        routes[b"POST", b"/duties"] = self.operator_commands.handle_request

    # Leases.

    def add_named_lease(self, name: str, kind: str, period_ticks: int) -> None:
        """Add a lease of the operator file; `period_ticks` is between two rounds of accounts.

        An instance that holds a lease for commands while no command waits here would keep it from
        those where one does: it stands for such a lease only while a command asks.
        """
        is_accounts = kind == ACCOUNTS_KIND
        self.candidates[name] = LeaseCandidate(
            self, name, self.name, self.configuration, self.timing, is_accounts
        )
        if is_accounts:
            self.collectors[name] = FleetAccountsCollector(self, name, period_ticks)

    def add_candidate(self, lease: str, owner: LeaseOwner) -> None:
        """Stand for a lease of another subsystem, which is notified when it is gained or lost."""
        self.owners[lease] = owner
        self.candidates[lease] = LeaseCandidate(
            self, lease, self.name, self.configuration, self.timing, self.is_wanted(lease)
        )

    def is_wanted(self, lease: str) -> bool:
        """Return whether this instance stands for the lease at the moment."""
        if self.is_leaving or self.is_cordoned:
            return False
        has_owner = lease in self.collectors or lease in self.owners
        return has_owner or self.command_loans.has_demand(lease)

    def set_cordoned(self, is_cordoned: bool) -> None:
        """Take this instance out: it gives up its leases, and stands for none until it is back."""
        if is_cordoned == self.is_cordoned:
            return
        self.is_cordoned = is_cordoned
        for name, candidate in self.candidates.items():
            candidate.set_wanted(self.is_wanted(name))
            if is_cordoned:
                self.hand_over(name, "set aside for work")

    @property
    def is_idle(self) -> bool:
        """Whether it holds nothing, and stands for nothing."""
        return not any(
            candidate.state is CandidateState.HOLDING or candidate.is_wanted
            for candidate in self.candidates.values()
        )

    @property
    def is_overloaded(self) -> bool:
        """Whether our loop is late, again and again."""
        return self.load_monitor.is_overloaded

    def hand_over(self, lease: str, reason: str) -> None:
        """Give a lease up if it is held: at once, or as soon as no command runs under it."""
        candidate = self.candidates[lease]
        if candidate.state is not CandidateState.HOLDING:
            return
        if self.command_loans.is_lent(lease):
            self.command_loans.release_when_returned(lease, reason)
        else:
            self.release(lease, reason)

    def release(self, lease: str, reason: str) -> None:
        """Give a lease up now, and leave it to others for a while."""
        self.candidates[lease].release(reason, PAUSE_LEASES * self.timing.lease_ticks)

    # The process's life.

    def reload(self, settings: LeaseConfig) -> None:
        """Take another voter configuration, or other leases.

        Raises ConfigurationError, and changes nothing, where that is not safe.
        """
        reconfiguration.reload_settings(self, settings)

    def leave(self) -> None:
        """Begin a planned end: leases are handed over, one lent to a command once that ends."""
        self.is_leaving = True
        for name, candidate in self.candidates.items():
            candidate.set_wanted(False)
            self.hand_over(name, "leaving")

    def end(self) -> None:
        """Give back what no command runs under, and end the helper."""
        for name, candidate in self.candidates.items():
            is_held = candidate.state is CandidateState.HOLDING
            if is_held and not self.command_loans.is_lent(name):
                candidate.release("ended")
        self.durable_record.close()

    # What voter and candidates need of their host.

    @property
    def now(self) -> int:
        """Tenths of a millisecond since boot, read anew each time."""
        return ticks_since_boot()

    @property
    def date(self) -> int:
        """The system's time in milliseconds."""
        return self.event_loop.date() // 10

    def send(self, name: str, body: list[Any]) -> None:
        """Send a datagram on leases; one to ourselves arrives in the loop's next turn."""
        if name == self.name:
            self.event_loop.call_later(0, self.on_lease_datagram, name, body)
        else:
            self.member_list.call(name, LEASE_SUBJECT, body)

    def call_later(self, delay: int, method: Callable[..., None], *arguments: Any) -> None:
        """Call a method after so many tenths of a millisecond."""
        self.event_loop.call_later(delay, method, *arguments)

    def random_below(self, limit: int) -> int:
        """Return a number from 0 to `limit` - 1; 0 for limits below 1."""
        number: int = self.membership.chance(max(limit, 1))
        return number

    def log(self, line: str) -> None:
        """Write a line to the log."""
        self.socket_host.log(line)

    def persist(self, record: dict[str, Any], then: Callable[..., None], *arguments: Any) -> None:
        """Call `then` once the votes are safe on disk."""
        self.durable_record.write(record, then, *arguments)

    def rank_of(self, lease: str) -> int:
        """Return how many others should try first."""
        return self.ranking.rank_of(lease)

    def on_lease_gained(self, candidate: LeaseCandidate) -> None:
        """Notify whoever acts under the lease."""
        lease = candidate.lease
        self.socket_host.log(f"duty {lease} held under fence {candidate.fencing_token}")
        self._record_change(candidate, "held", candidate.last_reason)
        owner = self.collectors.get(lease) or self.owners.get(lease)
        if owner is not None:
            owner.on_lease_gained()
        if self.is_leaving:
            self.hand_over(lease, "leaving")
        elif self.is_cordoned:
            self.hand_over(lease, "set aside for work")

    def on_lease_lost(self, candidate: LeaseCandidate, reason: str) -> None:
        """Notify whoever acted under the lease."""
        lease = candidate.lease
        token = candidate.fencing_token
        self.socket_host.log(f"duty {lease} given up under fence {token}: {reason}")
        self._record_change(candidate, "given up", reason)
        self.command_loans.forget(lease)
        if lease in self.owners:
            self.owners[lease].on_lease_lost()

    def on_lease_released(self, candidate: LeaseCandidate) -> None:
        """Notify the next candidates of a lease given back, so that nobody waits for its end."""
        configuration = self.configuration
        notice = LeaseVacant(
            candidate.lease, configuration.version, configuration.fingerprint
        ).encode()
        for name in self.ranking.successors(candidate.lease):
            self.send(name, notice)

    # Datagrams.

    def on_lease_datagram(self, sender: str, body: Any) -> None:
        """Hand a datagram to the voter, or to the candidate of its lease."""
        address = messages.decode_address(body)
        self.reported_configurations[sender] = address.version, address.fingerprint
        if not address.is_for_candidate:
            codec = self.member_list.codec
            incarnation = codec.incarnation
            if sender != self.name:
                incarnation = codec.peers[sender].incarnation
            self.voter.on_datagram(sender, incarnation, body)
            return
        candidate = self.candidates.get(address.lease)
        if candidate is not None:
            candidate.on_datagram(sender, body)

    def on_accounts_datagram(self, sender: str, body: Any) -> None:
        """Hand a datagram on fleet accounts to its collector; a refusal preempts the candidate."""
        datagram = AccountsDatagram.decode(body)
        collector = self.collectors.get(datagram.lease)
        if datagram.kind == AccountsKind.REFUSED and datagram.lease in self.candidates:
            self.candidates[datagram.lease].on_preempted(datagram.fencing_token)
        elif collector is not None:
            collector.on_datagram(sender, datagram)

    def on_yield_datagram(self, sender: str, body: Any) -> None:
        """Give a lease up that an operator asked another instance for."""
        if body in self.candidates:
            self.hand_over(body, f"told at {sender}")

    def _record_change(self, candidate: LeaseCandidate, change: str, reason: str) -> None:
        self.changes.append(
            {
                "at": self.event_loop.now // 10,
                "duty": candidate.lease,
                "what": change,
                "why": reason,
                "fence": candidate.fencing_token,
            }
        )
        del self.changes[:-MAX_CHANGES]

"""Runs the leases of one process: the voter, the candidates, and the owners of each lease.

Owns the I/O: datagrams, timers, the helper process that writes votes to disk, and the HTTP routes
for operators. The voter and the candidates decide who holds a lease; this module must never decide
that. It must never perform an act under a lease without calling `may_act` immediately before the
act.
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

ACCOUNTS_KIND = "books"  # the operator file's kind for leases on fleet accounts
MAX_CHANGES = 50  # lease changes kept for operators
# Pause before the next round for a lease that was handed over, in lease durations. A vacancy notice
# or `LeaseCandidate.set_wanted` ends the pause early.
RELEASE_PAUSE_LEASES = 2


class LeaseService:
    """Manages the leases of one instance; `membership` is the membership service for datagrams.

    Raises ConfigurationError if the lease times or the list of voters are invalid.
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
        self.configuration, self.timing = reconfiguration.read_lease_settings(settings)
        # Last reported version and fingerprint of the voter configuration, by instance.
        self.reported_configurations: dict[str, tuple[int, int]] = {}
        self.durable_record = DurableRecord(
            self.event_loop,
            socket_host.log,
            settings.folder,
            f"{self.name}.votes",
            "duties: kept votes are torn, no vote until the longest lease has passed",
            "duties: votes are not written, no vote until a restart; check the disk, then restart",
        )
        self.fencing_guard = FencingGuard()
        self.voter = Voter(
            self, self.name, self.configuration, self.timing, self.durable_record.stored
        )
        # Candidates, collectors and owners by lease name. `command_loans` tracks the commands that
        # run under a lease.
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
            self.add_configured_lease(name, kind, period_ticks)
        self._subscribe()
        self.load_monitor.check(ticks_since_boot())

    def _subscribe(self) -> None:
        self.member_list.call_handlers[LEASE_SUBJECT] = self.on_lease_datagram
        self.member_list.call_handlers[ACCOUNTS_SUBJECT] = self.on_accounts_datagram
        self.member_list.call_handlers[YIELD_SUBJECT] = self.on_yield_datagram
        routes = self.socket_host.routes
        routes[b"GET", b"/duties"] = self.operator_commands.report_status
        routes[b"POST", b"/duties"] = self.operator_commands.handle_request

    # Leases.

    def add_configured_lease(self, name: str, kind: str, period_ticks: int) -> None:
        """Add a lease of the operator file; `period_ticks` separates two rounds of fleet accounts.

        An instance that held a command lease without a waiting command would block commands on
        other instances. The instance therefore competes for such a lease only while a command
        requests the lease.
        """
        is_accounts = kind == ACCOUNTS_KIND
        self.candidates[name] = LeaseCandidate(
            self, name, self.name, self.configuration, self.timing, is_accounts
        )
        if is_accounts:
            self.collectors[name] = FleetAccountsCollector(self, name, period_ticks)

    def add_candidate(self, lease: str, owner: LeaseOwner) -> None:
        """Add another subsystem's lease, and notify `owner` of each gain and loss."""
        self.owners[lease] = owner
        self.candidates[lease] = LeaseCandidate(
            self, lease, self.name, self.configuration, self.timing, self.is_wanted(lease)
        )

    def is_wanted(self, lease: str) -> bool:
        """Return whether this instance should currently begin rounds for the lease."""
        if self.is_leaving or self.is_cordoned:
            return False
        has_owner = lease in self.collectors or lease in self.owners
        return has_owner or self.command_loans.has_demand(lease)

    def set_cordoned(self, is_cordoned: bool) -> None:
        """Cordon or uncordon this instance.

        A cordoned instance hands over its leases and wants none.
        """
        if is_cordoned == self.is_cordoned:
            return
        self.is_cordoned = is_cordoned
        for name, candidate in self.candidates.items():
            candidate.set_wanted(self.is_wanted(name))
            if is_cordoned:
                self.hand_over(name, "cordoned for maintenance")

    @property
    def is_idle(self) -> bool:
        """Whether this instance neither holds nor wants any lease."""
        return not any(
            candidate.state is CandidateState.HOLDING or candidate.is_wanted
            for candidate in self.candidates.values()
        )

    @property
    def is_overloaded(self) -> bool:
        """Whether the event loop of this instance has been late repeatedly."""
        return self.load_monitor.is_overloaded

    def hand_over(self, lease: str, reason: str) -> None:
        """Release a held lease at once, or after the command under the lease has ended."""
        candidate = self.candidates[lease]
        if candidate.state is not CandidateState.HOLDING:
            return
        if self.command_loans.is_lent(lease):
            self.command_loans.release_when_returned(lease, reason)
        else:
            self.release(lease, reason)

    def release(self, lease: str, reason: str) -> None:
        """Release a lease now, and pause so that other instances can acquire the lease first."""
        self.candidates[lease].release(reason, RELEASE_PAUSE_LEASES * self.timing.lease_ticks)
        # A lease that a reload could not remove while it was lent.
        self.event_loop.call_later(0, reconfiguration.remove_unconfigured_leases, self)

    # Process lifecycle.

    def reload(self, settings: LeaseConfig) -> None:
        """Apply a changed voter configuration, changed lease times, or a changed set of leases.

        Raises ConfigurationError, and changes nothing, if the change is unsafe.
        """
        reconfiguration.reload_settings(self, settings)

    def leave(self) -> None:
        """Begin a planned shutdown by handing over all leases.

        A lease lent to a command is handed over once that command has ended.
        """
        self.is_leaving = True
        for name, candidate in self.candidates.items():
            candidate.set_wanted(False)
            self.hand_over(name, "leaving")

    def end(self) -> None:
        """Release all leases under which no command runs, and stop the helper process."""
        for name, candidate in self.candidates.items():
            is_held = candidate.state is CandidateState.HOLDING
            if is_held and not self.command_loans.is_lent(name):
                candidate.release("ended")
        self.durable_record.close()

    # Implementation of VoterHost and CandidateHost.

    @property
    def now(self) -> int:
        """Ticks (tenths of a millisecond) since boot, read from the clock on each access."""
        return ticks_since_boot()

    @property
    def date(self) -> int:
        """The system time in milliseconds."""
        return self.event_loop.date() // 10

    def send(self, name: str, body: list[Any]) -> None:
        """Send a lease datagram.

        A datagram to this instance is delivered in the next turn of the event loop.
        """
        if name == self.name:
            self.event_loop.call_later(0, self.on_lease_datagram, name, body)
        else:
            self.member_list.call(name, LEASE_SUBJECT, body)

    def call_later(self, delay: int, method: Callable[..., None], *arguments: Any) -> None:
        """Call a method after `delay` ticks (tenths of a millisecond)."""
        self.event_loop.call_later(delay, method, *arguments)

    def random_below(self, limit: int) -> int:
        """Return a random number from 0 to `limit` - 1, or 0 for limits below 1."""
        number: int = self.membership.random_below(max(limit, 1))
        return number

    def log(self, line: str) -> None:
        """Write a line to the log."""
        self.socket_host.log(line)

    def persist(
        self, record: dict[str, Any], callback: Callable[..., None], *arguments: Any
    ) -> None:
        """Call `callback` once the votes are durable on disk."""
        self.durable_record.write(record, callback, *arguments)

    def rank_of(self, lease: str) -> int:
        """Return this instance's rank for the lease: 0 for the one that should try first."""
        return self.ranking.rank_of(lease)

    def on_lease_gained(self, candidate: LeaseCandidate) -> None:
        """Notify the collector or owner, and hand the lease over if leaving or cordoned."""
        lease = candidate.lease
        self.socket_host.log(f"duty {lease} held under fence {candidate.fencing_token}")
        self._record_change(candidate, "held", candidate.last_reason)
        owner = self.collectors.get(lease) or self.owners.get(lease)
        if owner is not None:
            owner.on_lease_gained()
        if self.is_leaving:
            self.hand_over(lease, "leaving")
        elif self.is_cordoned:
            self.hand_over(lease, "cordoned for maintenance")

    def on_lease_lost(self, candidate: LeaseCandidate, reason: str) -> None:
        """Notify the owner of the lease and drop the lease's loan."""
        lease = candidate.lease
        token = candidate.fencing_token
        self.socket_host.log(f"duty {lease} given up under fence {token}: {reason}")
        self._record_change(candidate, "given up", reason)
        self.command_loans.forget(lease)
        if lease in self.owners:
            self.owners[lease].on_lease_lost()

    def on_lease_released(self, candidate: LeaseCandidate) -> None:
        """Notify the next candidates of a released lease, so that they do not wait for expiry."""
        configuration = self.configuration
        notice = LeaseVacant(
            candidate.lease, configuration.version, configuration.fingerprint
        ).encode()
        for name in self.ranking.list_successors(candidate.lease):
            self.send(name, notice)

    # Datagrams.

    def on_lease_datagram(self, sender: str, body: Any) -> None:
        """Pass a datagram to the voter, or to the candidate for the datagram's lease."""
        routing = messages.decode_routing(body)
        self.reported_configurations[sender] = routing.version, routing.fingerprint
        if not routing.is_for_candidate:
            codec = self.member_list.codec
            incarnation = codec.incarnation
            if sender != self.name:
                incarnation = codec.peers[sender].incarnation
            self.voter.on_datagram(sender, incarnation, body)
            return
        candidate = self.candidates.get(routing.lease)
        if candidate is not None:
            candidate.on_datagram(sender, body)

    def on_accounts_datagram(self, sender: str, body: Any) -> None:
        """Pass a fleet accounts datagram to its collector.

        A refused fencing token preempts the candidate.
        """
        datagram = AccountsDatagram.decode(body)
        collector = self.collectors.get(datagram.lease)
        if datagram.kind == AccountsKind.REFUSED and datagram.lease in self.candidates:
            self.candidates[datagram.lease].on_preempted(datagram.fencing_token)
        elif collector is not None:
            collector.on_datagram(sender, datagram)

    def on_yield_datagram(self, sender: str, body: Any) -> None:
        """Hand over a lease, as an operator requested at the instance `sender`."""
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

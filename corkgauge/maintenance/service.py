"""The maintenance service of one gateway: datagrams, timers, the file, HTTP, the host.

Carries between the state machines of this package (plan replica, plan proposer, planner,
participant) and the membership service, the lease service, the disk and the host; decides nothing.
What another gateway or an operator sends is checked by the machines, and raises ValueError,
TypeError and the like to whoever called.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from corkgauge.config.operator_file import MaintenanceConfig
from corkgauge.config.platform import PlatformConfig
from corkgauge.eventloop.clock import ticks_since_boot
from corkgauge.eventloop.loop import SECOND
from corkgauge.leases.durable_record import DurableRecord
from corkgauge.maintenance import messages
from corkgauge.maintenance.capacity import DisruptionLimits
from corkgauge.maintenance.commands import CommandExecutor, PendingCommands
from corkgauge.maintenance.fleet_view import FleetView, format_address
from corkgauge.maintenance.participant import Participant
from corkgauge.maintenance.plan_display import PlanDisplay
from corkgauge.maintenance.plan_messages import REPLICA_ANSWERS, MessageKind
from corkgauge.maintenance.plan_proposer import PlanProposer, ProposerState
from corkgauge.maintenance.plan_replica import PlanReplica
from corkgauge.maintenance.planner import Planner
from corkgauge.maintenance.serving_host import ServingHost
from corkgauge.policy.records import Cordon

LEASE = "works"  # the lease's name, as voters and the operator file know it
HTTP_PATH = b"/works"
SAMPLE_TICKS = SECOND  # between two samples of the demand


class MaintenanceService:
    """Built once a process, on top of the membership service and the lease service (`office`)."""

    def __init__(
        self,
        socket_host: ServingHost,
        platform_config: PlatformConfig,
        config: MaintenanceConfig,
        membership: Any,
        office: Any,
    ) -> None:
        self.socket_host = socket_host
        self.event_loop = socket_host.event_loop
        self.name = platform_config.name
        self.config = config
        self.member_list = membership.member_list
        self.office = office
        self.fleet = FleetView(socket_host, self.member_list, self.name)
        self.pending_commands = PendingCommands(self)
        self.is_built = False  # the participant calls back while it is built
        self.safe = self._open_record()
        replica_record, participant_record = self.safe.stored or (None, None)
        silent_ticks = 0 if office.settings.folder else office.timing.silence_ticks
        self.plan_replica = PlanReplica(self, replica_record, silent_ticks)
        self.plan_proposer = PlanProposer(self)
        self.planner = self._build_planner()
        self.plan_display = PlanDisplay(
            self, self.plan_proposer, self.planner, self.plan_replica.counts
        )
        self.command_executor = CommandExecutor(self, self.planner, self.plan_proposer)
        self._register()
        self.participant = Participant(self, self.name, config.grant_ticks, participant_record)
        self.is_built = True
        self.refresh_cordons()  # what was remembered holds from the first request on
        self._sample_demand()

    def _open_record(self) -> DurableRecord:
        return DurableRecord(
            self.event_loop,
            self.socket_host.log,
            self.office.settings.folder,
            f"{self.name}.works",
            "works: what was kept is torn, blank at first",
            "works: nothing is written, nothing is confirmed until a restart",
        )

    def _build_planner(self) -> Planner:
        settings = self.socket_host.settings
        drift_factor = 1 + 2 * self.office.timing.drift
        longest_deadline = max(each.time_to_deadline for each in settings.request_classes)
        return Planner(
            self,
            self.fleet,
            self.plan_proposer,
            DisruptionLimits(*self.config.bounds),
            self.config.period_ticks,
            int(self.config.grant_ticks * drift_factor) + 1,
            int(longest_deadline * drift_factor) + settings.gateway.options.settle_ticks,
            settings.gateway.slow_start.warm_up_ticks,
        )

    def _register(self) -> None:
        """Be called for datagrams, HTTP requests, the lease and the host's notifications."""
        self.socket_host.works = self
        self.member_list.call_handlers["plan"] = self.on_plan_message
        self.member_list.call_handlers["works"] = self.on_message
        self.member_list.call_handlers["copy"] = self.plan_display.on_datagram
        self.socket_host.routes[b"GET", HTTP_PATH] = self.report_status
        self.socket_host.routes[b"POST", HTTP_PATH] = self.pending_commands.handle_http
        self.office.add_candidate(LEASE, self)

    def reload(self, config: MaintenanceConfig) -> None:
        """Take a new configuration.

        The span of a grant stays until a restart: the grants under way count with it.
        """
        self.config = config
        self.planner.set_limits(DisruptionLimits(*config.bounds), config.period_ticks)
        if config.grant_ticks != self.participant.grant_ticks:
            self.socket_host.log("operator file: works grant changed, in force after a restart")

    def end(self) -> None:
        """Close the file; the host is attached to nothing any more."""
        self.safe.close()
        self.socket_host.works = None

    def waiting(self) -> bool:
        """Whether it is too early after the start to accept clients."""
        leader = self.leader_name()
        other_leader = "" if leader == self.name else leader
        return self.participant.must_wait(
            self.config.startup_wait_ticks, self.member_list.has_joined, other_leader
        )

    # The lease.

    def on_lease_gained(self) -> None:
        """Begin to lead: the lease service calls it when the lease is gained."""
        self.planner.on_lease_gained(self.office.candidates[LEASE].fencing_token)

    def on_lease_lost(self) -> None:
        """Stop leading: the lease service calls it when the lease is lost."""
        self.command_executor.clear()
        self.planner.on_lease_lost()

    def may_act(self, fence: int) -> bool:
        """Whether the lease is held under this fence, now."""
        holder = self.office.candidates[LEASE]
        is_held: bool = holder.may_act() and holder.fencing_token == fence
        return is_held

    def leader_name(self) -> str:
        """Name who is known to hold the lease; empty: nobody."""
        holder = self.office.candidates[LEASE]
        return self.name if holder.may_act() else holder.known_holder

    def hand_over_lease(self, reason: str) -> None:
        """Give the lease up, so that another gateway takes it."""
        self.office.hand_over(LEASE, reason)

    def on_preempted(self, fence: int) -> None:
        """Give way: somebody has promised to heed a higher fence than ours."""
        self.office.candidates[LEASE].on_preempted(fence)

    # What the machines need: clock, timers, log, file, datagrams.

    @property
    def now(self) -> int:
        """Tenths of a millisecond since boot."""
        return ticks_since_boot()

    @property
    def loop_time(self) -> int:
        """Tenths of a millisecond on the event loop's clock."""
        return self.event_loop.now

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """Call the method after `delay` ticks, one at least."""
        self.event_loop.call_later(max(int(delay), 1), method, *what)

    def log(self, line: str) -> None:
        """Write one line to the program's log."""
        self.socket_host.log(line)

    def write_record(self, record: Any, then: Callable[..., None], *what: Any) -> None:
        """Write, then call `then`.

        Replica and participant share a file: each write holds both as they are now.
        """
        participant_record = None if self.participant.is_blank else self.participant.record()
        self.safe.write([self.plan_replica.record(), participant_record], then, *what)

    def send(self, name: str, body: list[Any]) -> None:
        """Send a message about the plan, to a replica or a proposer."""
        if name == self.name:
            self.event_loop.call_later(1, self.on_plan_message, name, body)
        else:
            self.member_list.call(name, "plan", body)

    def send_copy(self, name: str, body: list[Any]) -> None:
        """Send a message about a copy of the plan."""
        self.member_list.call(name, "copy", body)

    def _send(self, name: str, body: list[Any]) -> None:
        if name == self.name:
            self.event_loop.call_later(1, self.on_message, name, body)
        else:
            self.member_list.call(name, "works", body)

    def voters(self) -> Sequence[str]:
        """Name the gateways that have a plan replica."""
        names: Sequence[str] = self.office.configuration.names
        return names

    # What the plan proposer notifies of.

    def on_plan_led(self) -> None:
        """Pass on that the plan is taken over."""
        self.planner.on_plan_led()

    def on_changes_agreed(self, changes: Sequence[Any]) -> None:
        """Pass on that a majority of replicas has these changes."""
        self.planner.on_changes_agreed(changes)
        self.command_executor.on_changes_agreed()

    def on_plan_forgotten(self) -> None:
        """Pass on that no majority of replicas remembers the plan."""
        self.planner.on_plan_forgotten()

    # What the planner needs.

    def machines(self) -> Mapping[str, Sequence[str]]:
        """Return engines by the machine that they share, as the operator file has them."""
        return dict(self.config.machines)

    def send_orders(self, name: str, body: list[Any]) -> None:
        """Send one part of the orders to a gateway."""
        self._send(name, [messages.ORDERS, *body])

    def request_report(self, name: str) -> None:
        """Ask a gateway to report at once."""
        self._send(name, [messages.REPORT_REQUEST, self.plan_proposer.fence])

    # What the participant needs.

    def refresh_cordons(self) -> None:
        """Tell the policy which engines take nothing new, and the lease service whether we do."""
        for engine_pool in [*self.socket_host.engine_pools.values()]:
            engine = engine_pool.engine
            cordon = self.cordon_for(engine.host_reference, engine_pool.address)
            if engine.cordon != cordon:
                self.socket_host.gateway.on_engine_cordon(engine, cordon)
        self.office.set_cordoned(self.cordon_for(self.name) > 0)

    def is_quiet(self, tag: str) -> bool:
        """Whether nothing of ours is open at the engine; for our own name: no lease is held."""
        if tag == self.name:
            holds_no_lease: bool = self.office.is_idle
            return holds_no_lease
        return self.fleet.is_engine_quiet(tag)

    def address_of(self, tag: str) -> str:
        """Return the engine's `host:port` as listed last; empty for one that is not listed."""
        return self.fleet.address_of(tag)

    def on_engines_closed(self) -> None:
        """Report at once that engines are closed here: a step of the plan may wait for it."""
        leader = self.office.candidates[LEASE].known_holder
        if leader:
            self._send_report(leader)

    # What the host notifies of and asks.

    def cordon_for(self, tag: str, address: tuple[str, int] = ("", 0)) -> Cordon:
        """Return the cordon of an engine that the list names, perhaps anew."""
        if not self.is_built:
            return Cordon.OFF
        return self.participant.cordon_of(tag, format_address(address))

    def on_attempt_finished(self, tag: str, outcome: int) -> None:
        """Note that an attempt at the engine has ended."""
        self.fleet.record_attempt_end(tag, outcome)

    # Datagrams.

    def on_plan_message(self, sender: str, body: Any) -> None:
        """Pass a message about the plan to the replica or the proposer here."""
        kind, fence = body[:2]
        proposer = self.plan_proposer
        is_leading = proposer.state == ProposerState.LEADING and fence == proposer.fence
        if kind == MessageKind.CHUNK and proposer.is_fetching_from(sender):
            proposer.on_chunk_datagram(sender, body)
        elif kind in REPLICA_ANSWERS or (kind == MessageKind.FETCH and is_leading):
            proposer.on_datagram(sender, body)
        else:
            self.plan_replica.on_datagram(sender, body)

    def on_message(self, sender: str, body: Any) -> None:
        """Decode a maintenance message and apply it."""
        message = messages.decode(body)
        match message:
            case messages.Orders():
                self._on_orders(sender, message)
            case messages.ReportRequest():
                self.participant.was_asked = True
                self._send_report(sender)
            case messages.Report():
                self._on_report(sender, message)
            case messages.Preempted():
                self.on_preempted(message.fence)
            case messages.Command():
                self.command_executor.on_command(sender, message.key, message.text)
            case messages.Answer():
                self.pending_commands.on_answer(message.key, message.answer, message.error)

    def _on_orders(self, sender: str, orders: messages.Orders) -> None:
        is_heeded = self.participant.on_orders(orders)
        if is_heeded:
            self._send_report(sender)
        else:
            self._send(sender, [messages.PREEMPTED, self.participant.stamp[0]])

    def _on_report(self, sender: str, report: messages.Report) -> None:
        if self.plan_proposer.state == ProposerState.IDLE:
            return
        datagram_codec = self.member_list.codec
        if sender == self.name:
            incarnation = datagram_codec.incarnation
        else:
            incarnation = datagram_codec.peers[sender].incarnation
        self.planner.on_report(sender, incarnation, report)

    def _send_report(self, to: str) -> None:
        loads = self.fleet.demand_cores()
        ejected = self.fleet.ejected_engines()
        body = messages.encode_report(
            self.participant.report_fields(), loads, ejected, self.office.is_idle
        )
        self._send(to, body)

    def forward_command(self, leader: str, key: str, text: str) -> None:
        """Send an operator's command to the leader."""
        self._send(leader, [messages.COMMAND, key, text])

    def send_answer(self, to: str, key: str, answer: str, error: str) -> None:
        """Answer a command that a gateway forwarded."""
        self._send(to, [messages.ANSWER, key, answer, error])

    # Timers.

    def _sample_demand(self) -> None:
        self.fleet.sample_demand()
        self.fleet.engines()  # an engine that leaves the list is noticed even where nobody plans
        self.event_loop.call_later(SAMPLE_TICKS, self._sample_demand)

    # What operators see.

    def report_status(self, body: bytes = b"") -> dict[str, Any]:
        """Answer `GET /works`."""
        return self.plan_display.report(self.participant)

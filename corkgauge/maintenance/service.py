"""Runs the maintenance state machines of one gateway and performs their I/O.

The state machines are the plan replica, the plan proposer, the planner and the participant. This
module connects them to the membership service, the lease service, the disk, HTTP and the socket
host, and makes no maintenance decision. The state machines check what other gateways and operators
send; for invalid input they raise ValueError, TypeError or similar to the caller of this module.
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

LEASE_NAME = "works"  # name of the maintenance lease at voters and in the operator file
HTTP_PATH = b"/works"
DEMAND_SAMPLE_INTERVAL_TICKS = SECOND  # between two samples of the demand of this gateway


class MaintenanceService:
    """Manages maintenance on one gateway; built once per process.

    `membership` is the membership service, `lease_service` the lease service of the same process.
    """

    def __init__(
        self,
        socket_host: ServingHost,
        platform_config: PlatformConfig,
        config: MaintenanceConfig,
        membership: Any,
        lease_service: Any,
    ) -> None:
        self.socket_host = socket_host
        self.event_loop = socket_host.event_loop
        self.name = platform_config.name
        self.config = config
        self.member_list = membership.member_list
        self.lease_service = lease_service
        self.fleet = FleetView(socket_host, self.member_list, self.name)
        self.pending_commands = PendingCommands(self)
        # The constructor of Participant already calls `refresh_cordons`, which needs
        # `self.participant`; until then `cordon_for` returns no cordon.
        self.is_initialized = False
        self.durable_record = self._open_record()
        replica_record, participant_record = self.durable_record.stored or (None, None)
        silent_ticks = 0 if lease_service.settings.folder else lease_service.timing.silence_ticks
        self.plan_replica = PlanReplica(self, replica_record, silent_ticks)
        self.plan_proposer = PlanProposer(self)
        self.planner = self._build_planner()
        self.plan_display = PlanDisplay(
            self, self.plan_proposer, self.planner, self.plan_replica.counts
        )
        self.command_executor = CommandExecutor(self, self.planner, self.plan_proposer)
        self._register()
        self.participant = Participant(self, self.name, config.grant_ticks, participant_record)
        self.is_initialized = True
        # Apply the cordons read from disk before the first request is dispatched.
        self.refresh_cordons()
        self._sample_demand()

    def _open_record(self) -> DurableRecord:
        return DurableRecord(
            self.event_loop,
            self.socket_host.log,
            self.lease_service.settings.folder,
            f"{self.name}.works",
            "works: what was kept is torn: the record file is damaged; "
            "starting blank until the leader sends plan and orders",
            "works: nothing is written: the record file failed; "
            "no promise and no closed engine is confirmed until a restart; "
            "check the disk, then restart",
        )

    def _build_planner(self) -> Planner:
        settings = self.socket_host.settings
        drift_factor = 1 + 2 * self.lease_service.timing.drift
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
        """Register for datagrams, HTTP requests, the maintenance lease and host notifications."""
        self.socket_host.maintenance = self
        self.member_list.call_handlers["plan"] = self.on_plan_message
        self.member_list.call_handlers["works"] = self.on_message
        self.member_list.call_handlers["copy"] = self.plan_display.on_datagram
        self.socket_host.routes[b"GET", HTTP_PATH] = self.report_status
        self.socket_host.routes[b"POST", HTTP_PATH] = self.pending_commands.handle_http
        self.lease_service.add_candidate(LEASE_NAME, self)

    def reload(self, config: MaintenanceConfig) -> None:
        """Apply a new configuration.

        The grant duration stays in force until a restart, because running grants were issued with
        the previous duration.
        """
        self.config = config
        self.planner.set_limits(DisruptionLimits(*config.bounds), config.period_ticks)
        if config.grant_ticks != self.participant.grant_ticks:
            self.socket_host.log("operator file: works grant changed, in force after a restart")

    def end(self) -> None:
        """Close the record file and detach from the socket host."""
        self.durable_record.close()
        self.socket_host.maintenance = None

    def waiting(self) -> bool:
        """Whether the gateway still waits for maintenance orders before it accepts clients."""
        leader = self.leader_name()
        other_leader = "" if leader == self.name else leader
        return self.participant.must_wait(
            self.config.startup_wait_ticks, self.member_list.has_joined, other_leader
        )

    # The lease.

    def on_lease_gained(self) -> None:
        """Start leading maintenance; called by the lease service when the lease is gained."""
        self.planner.on_lease_gained(self.lease_service.candidates[LEASE_NAME].fencing_token)

    def on_lease_lost(self) -> None:
        """Stop leading maintenance; called by the lease service when the lease is lost."""
        self.command_executor.clear()
        self.planner.on_lease_lost()

    def may_act(self, fence: int) -> bool:
        """Whether this gateway holds the lease under the fencing token `fence` now."""
        holder = self.lease_service.candidates[LEASE_NAME]
        is_held: bool = holder.may_act() and holder.fencing_token == fence
        return is_held

    def leader_name(self) -> str:
        """Return the name of the known lease holder; empty if none is known."""
        holder = self.lease_service.candidates[LEASE_NAME]
        return self.name if holder.may_act() else holder.known_holder

    def hand_over_lease(self, reason: str) -> None:
        """Release the lease so that another gateway can gain it."""
        self.lease_service.hand_over(LEASE_NAME, reason)

    def on_preempted(self, fence: int) -> None:
        """Give up leading, since a replica has promised the higher fencing token `fence`."""
        self.lease_service.candidates[LEASE_NAME].on_preempted(fence)

    # Clock, timers, log, disk and datagrams for the state machines.

    @property
    def now(self) -> int:
        """Return the ticks (tenths of a millisecond) since boot."""
        return ticks_since_boot()

    @property
    def loop_time(self) -> int:
        """Return the event loop's clock in ticks (tenths of a millisecond)."""
        return self.event_loop.now

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """Call the method after `delay` ticks, but after one tick at least."""
        self.event_loop.call_later(max(int(delay), 1), method, *what)

    def log(self, line: str) -> None:
        """Write one line to the program's log."""
        self.socket_host.log(line)

    def write_record(self, record: Any, then: Callable[..., None], *what: Any) -> None:
        """Write the records of this gateway to disk, then call `then`; `record` is ignored.

        The plan replica and the participant share one file; each write stores the current state of
        both.
        """
        participant_record = None if self.participant.is_blank else self.participant.record()
        self.durable_record.write([self.plan_replica.record(), participant_record], then, *what)

    def send(self, name: str, body: list[Any]) -> None:
        """Send a plan message to the replica or the proposer of a gateway."""
        if name == self.name:
            self.event_loop.call_later(1, self.on_plan_message, name, body)
        else:
            self.member_list.call(name, "plan", body)

    def send_copy(self, name: str, body: list[Any]) -> None:
        """Send a message that requests or carries a copy of the plan."""
        self.member_list.call(name, "copy", body)

    def _send(self, name: str, body: list[Any]) -> None:
        if name == self.name:
            self.event_loop.call_later(1, self.on_message, name, body)
        else:
            self.member_list.call(name, "works", body)

    def voters(self) -> Sequence[str]:
        """Return the names of the gateways that have a plan replica."""
        names: Sequence[str] = self.lease_service.configuration.names
        return names

    # Notifications from the plan proposer.

    def on_plan_taken_over(self) -> None:
        """Notify the planner that the plan is taken over."""
        self.planner.on_plan_taken_over()

    def on_changes_agreed(self, changes: Sequence[Any]) -> None:
        """Notify the planner and the command executor of changes that a majority accepted."""
        self.planner.on_changes_agreed(changes)
        self.command_executor.on_changes_agreed()

    def on_plan_lost(self) -> None:
        """Notify the planner that no majority of replicas has the plan any more."""
        self.planner.on_plan_lost()

    # Interface for the planner.

    def machines(self) -> Mapping[str, Sequence[str]]:
        """Return the engines on each machine, as configured in the operator file."""
        return dict(self.config.machines)

    def send_orders(self, name: str, body: list[Any]) -> None:
        """Send one part of a set of orders to a gateway."""
        self._send(name, [messages.ORDERS, *body])

    def request_report(self, name: str) -> None:
        """Request an immediate report from a gateway."""
        self._send(name, [messages.REPORT_REQUEST, self.plan_proposer.fence])

    # Interface for the participant.

    def refresh_cordons(self) -> None:
        """Apply the current cordons to each engine of the policy and to the lease service."""
        for engine_pool in [*self.socket_host.engine_pools.values()]:
            engine = engine_pool.engine
            cordon = self.cordon_for(engine.host_reference, engine_pool.address)
            if engine.cordon != cordon:
                self.socket_host.gateway.on_engine_cordon(engine, cordon)
        self.lease_service.set_cordoned(self.cordon_for(self.name) > 0)

    def has_nothing_open(self, tag: str) -> bool:
        """Whether this gateway has no open attempt at engine `tag`.

        If `tag` names this gateway: whether this gateway holds no lease and competes for none.
        """
        if tag == self.name:
            holds_no_lease: bool = self.lease_service.is_idle
            return holds_no_lease
        return self.fleet.is_engine_quiescent(tag)

    def address_of(self, tag: str) -> str:
        """Return the engine's `host:port` from the endpoint list; empty if it is not listed."""
        return self.fleet.address_of(tag)

    def on_record_written(self) -> None:
        """Report to the leader what is on disk now, since a step may wait for the confirmation."""
        leader = self.lease_service.candidates[LEASE_NAME].known_holder
        if leader:
            self._send_report(leader)

    # Interface for the socket host.

    def cordon_for(self, tag: str, address: tuple[str, int] = ("", 0)) -> Cordon:
        """Return the cordon of the engine or gateway `tag`.

        `address` identifies an engine that is listed under a new name.
        """
        if not self.is_initialized:
            return Cordon.OFF
        return self.participant.cordon_of(tag, format_address(address))

    def on_attempt_finished(self, tag: str, outcome: int) -> None:
        """Record the end of an attempt at the engine."""
        self.fleet.record_attempt_end(tag, outcome)

    # Datagrams.

    def on_plan_message(self, sender: str, body: Any) -> None:
        """Dispatch a plan message to the plan replica or the plan proposer of this gateway."""
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
                self.participant.report_was_requested = True
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
        are_current = self.participant.on_orders(orders)
        if are_current:
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
            self.participant.report_fields(), loads, ejected, self.lease_service.is_idle
        )
        self._send(to, body)

    def forward_command(self, leader: str, key: str, text: str) -> None:
        """Forward an operator's command to the leader."""
        self._send(leader, [messages.COMMAND, key, text])

    def send_answer(self, to: str, key: str, answer: str, error: str) -> None:
        """Send the answer of a command back to the gateway that forwarded the command."""
        self._send(to, [messages.ANSWER, key, answer, error])

    # Timers.

    def _sample_demand(self) -> None:
        self.fleet.sample_demand()
        # Called for its side effect: it records that an engine has left the endpoint list. On
        # gateways that do not lead nothing else calls it.
        self.fleet.engines()
        self.event_loop.call_later(DEMAND_SAMPLE_INTERVAL_TICKS, self._sample_demand)

    # Status for operators.

    def report_status(self, body: bytes = b"") -> dict[str, Any]:
        """Answer `GET /works`."""
        return self.plan_display.report(self.participant)

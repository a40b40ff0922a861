"""Measures flows and creates their records (the metering process of RFC 5470, 5.1).

Keeps a flow for each connection, with the octets reported so far, and its timeouts in a timer
wheel. Performs no I/O and receives the current time in ticks, tenths of a millisecond. Each octet
is counted exactly once: whatever caused a record, it covers the octets since the previous record.
"""

from collections.abc import Callable, Iterator
from typing import Protocol

from corkgauge.flow_export.counter_deltas import Delta
from corkgauge.flow_export.elements import FlowDirection, FlowEndReason
from corkgauge.flow_export.endpoints import Endpoints
from corkgauge.flow_export.timer_wheel import TimerWheel

MAX_FLOWS_PER_CALL = 500
SLOT_COUNT = 512
SLOT_TICKS = 1_250  # an eighth of a second; one turn of 512 slots takes 64 s
TICKS_PER_MS = 10


class MeteredConnection(Protocol):
    """A connection with counters of the octets received and sent since it was opened."""

    bytes_received: int
    bytes_sent: int


class Flow:
    """A connection and the octets that records have reported for this connection."""

    __slots__ = (
        "connection",
        "direction",
        "due",
        "endpoints",
        "engine",
        "flow_id",
        "octets_at_last_check",
        "record_start",
        "reported_received",
        "reported_sent",
        "zone",
    )

    def __init__(
        self,
        connection: MeteredConnection,
        direction: int,
        endpoints: Endpoints,
        engine: str,
        zone: str,
        flow_id: int,
        now: int,
    ) -> None:
        self.connection = connection
        self.direction = direction
        self.endpoints = endpoints
        self.engine = engine
        self.zone = zone
        self.flow_id = flow_id
        self.record_start = now  # ticks; end of the previous record
        self.reported_received = 0
        self.reported_sent = 0
        self.octets_at_last_check = 0
        self.due = 0  # ticks; set by the timer wheel

    @property
    def octets(self) -> int:
        """Octets in both directions since the connection was opened."""
        return self.connection.bytes_received + self.connection.bytes_sent

    @property
    def unreported_octets(self) -> int:
        """Octets that no record has reported yet."""
        return self.octets - self.reported_received - self.reported_sent


class Meter:
    """Creates the records of all connections.

    Args:
        on_delta: called with each flow record, a `Delta`.
        active_ticks: active timeout, after which a continuing flow is reported.
        idle_ticks: idle timeout, the longest scheduled time between two checks of a flow. A flow
            with unreported octets, but without octets since the previous check, is reported as
            ended (IDLE). This timeout does not end a flow whose octets were all reported.
        now: the current time, in ticks.
    """

    def __init__(
        self, on_delta: Callable[[Delta], None], active_ticks: int, idle_ticks: int, now: int
    ) -> None:
        self.on_delta = on_delta
        self.active_ticks = active_ticks
        self.idle_ticks = idle_ticks
        self.wheel = TimerWheel(SLOT_COUNT, SLOT_TICKS, now)
        self.due_flows: Iterator[Flow] = iter(())
        self.flows: dict[Flow, None] = {}
        self.last_flow_id = 0
        self.record_count = 0
        self.measured_octets = 0  # sum over all records

    def start_flow(
        self,
        connection: MeteredConnection,
        direction: int,
        endpoints: Endpoints,
        engine: str,
        zone: str,
        now: int,
    ) -> Flow:
        """Start metering a connection."""
        flow = Flow(connection, direction, endpoints, engine, zone, self._next_flow_id(), now)
        self.flows[flow] = None
        self.wheel.put(flow, now + min(self.active_ticks, self.idle_ticks))
        return flow

    def end_flow(self, flow: Flow, reason: FlowEndReason, now: int) -> None:
        """Report the octets since the last record and stop metering; repeated calls do nothing."""
        if flow in self.flows:
            del self.flows[flow]
            self.wheel.remove(flow)
            self._report(flow, reason, now)

    def advance(self, now: int) -> None:
        """Check a bounded number of the flows that are due.

        Ten thousand connections opened at the same time are due at the same time and would block
        the event loop, so the next call continues where this call stops.
        """
        for count, flow in enumerate(self.due_flows, start=1):
            self._check(flow, now)
            if count >= MAX_FLOWS_PER_CALL:
                return
        self.due_flows = self.wheel.advance(now)

    def unreported_octets(self) -> int:
        """Return the octets of open connections that no record has reported yet."""
        return sum(flow.unreported_octets for flow in self.flows)

    def _next_flow_id(self) -> int:
        self.last_flow_id += 1
        return self.last_flow_id

    def _check(self, flow: Flow, now: int) -> None:
        octets = flow.octets
        if now >= flow.record_start + self.active_ticks:
            self._report(flow, FlowEndReason.ACTIVE, now)
        elif octets == flow.octets_at_last_check and flow.unreported_octets > 0:
            self._report(flow, FlowEndReason.IDLE, now)
            flow.flow_id = self._next_flow_id()  # later octets belong to a new flow
        flow.octets_at_last_check = octets
        active_due = max(flow.record_start + self.active_ticks, now + 1)
        self.wheel.put(flow, min(now + self.idle_ticks, active_due))

    def _report(self, flow: Flow, reason: FlowEndReason, now: int) -> None:
        """Create a record of the octets since the last record, if there are any."""
        received = flow.connection.bytes_received - flow.reported_received
        sent = flow.connection.bytes_sent - flow.reported_sent
        start = flow.record_start
        flow.record_start = now
        flow.reported_received += received
        flow.reported_sent += sent
        if not received + sent:
            return
        self.record_count += 1
        self.measured_octets += received + sent
        # Clients initiate their connections; the gateway initiates the connections to engines.
        forward = sent
        reverse = received
        if flow.direction == FlowDirection.INGRESS:
            forward = received
            reverse = sent
        self.on_delta(
            Delta(
                flow.flow_id,
                flow.direction,
                *flow.endpoints,
                engine=flow.engine,
                zone=flow.zone,
                start_ms=start // TICKS_PER_MS,
                end_ms=now // TICKS_PER_MS,
                forward_octets=forward,
                reverse_octets=reverse,
                end_reason=reason,
            )
        )

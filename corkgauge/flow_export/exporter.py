"""Flow export of one program: the meter, the export buffers and their connections, put together.

Decides which connections are metered and how often things are checked. Never stalls what is served:
nothing here waits, and what a tick does is bounded.
"""

import dataclasses
import socket
from typing import Any, NamedTuple, Protocol
from zlib import crc32

from corkgauge.config.operator_file import FlowExportConfig
from corkgauge.eventloop.loop import EventLoop
from corkgauge.flow_export.codec import Layout
from corkgauge.flow_export.collector_peer import CollectorPeer
from corkgauge.flow_export.configured_collectors import (
    ConfiguredCollector,
    make_peer,
    read_collectors,
)
from corkgauge.flow_export.counter_deltas import Delta
from corkgauge.flow_export.elements import FlowEndReason
from corkgauge.flow_export.endpoints import read_endpoints
from corkgauge.flow_export.export_buffer import ExportBuffer
from corkgauge.flow_export.meter import Flow, Meter, MeteredConnection
from corkgauge.flow_export.pending_records import PendingRecords
from corkgauge.flow_export.transports import (
    DatagramTransport,
    StreamTransport,
    Transport,
)

CHECK_PERIOD_TICKS = 500
# Why a connection ended by itself, and not by us.
REMOTE_CLOSE_REASONS = ("closed", "Connection reset by peer", "Broken pipe", "broken")


class ExportHost(Protocol):
    """What flow export needs of the host on sockets."""

    event_loop: EventLoop
    flows: Any  # where the exporter registers
    ledger: Any
    records: Any
    auditor: Any

    def log(self, line: str) -> None:
        """Write a line to the program's log."""


class HostConnection(MeteredConnection, Protocol):
    """A connection of the host."""

    sock: socket.socket
    close_reason: str


class BalanceCheck(NamedTuple):
    """One equation of export, for the auditor: anything but 0 is a fault."""

    name: str
    difference: int  # octets
    formula: str


class Exporter:
    """Meters the connections of a host and exports their records.

    One buffer exports to the first collector that is up; or, in mode `all`, each collector has one
    of its own.
    """

    def __init__(
        self, socket_host: ExportHost, gateway: str, seed: int, settings: FlowExportConfig
    ) -> None:
        self.socket_host = socket_host
        self.event_loop = socket_host.event_loop
        self.gateway = gateway
        self.seed = seed
        self.settings = settings
        self.started_at = self.event_loop.now
        self.domain = crc32(gateway.encode())  # the same after each restart
        self.meter = Meter(
            self._on_delta,
            settings.active_timeout_ticks,
            settings.idle_timeout_ticks,
            self.started_at,
        )
        self.flows: dict[HostConnection, Flow] = {}

        # Collectors.
        self.collectors: dict[CollectorPeer, ConfiguredCollector] = {}
        self.transports: dict[CollectorPeer, Transport] = {}
        self.buffers: dict[str, ExportBuffer] = {}

        self._configure(settings, read_collectors(settings))
        socket_host.flows = self
        socket_host.auditor.equations.append(self.balance_checks)
        self.event_loop.call_later(CHECK_PERIOD_TICKS, self.on_timer)

    # What the host notifies of.

    def on_connection_opened(
        self, connection: HostConnection, direction: int, engine: str = "", zone: str = ""
    ) -> None:
        """Meter a connection from now on: a client's, or one to an engine of a zone."""
        endpoints = read_endpoints(connection.sock, direction)
        self.flows[connection] = self.meter.start_flow(
            connection, direction, endpoints, engine, zone, self.event_loop.now
        )

    def on_connection_closed(self, connection: HostConnection) -> None:
        """Report the rest of a connection that has ended."""
        flow = self.flows.pop(connection, None)
        if flow is not None:
            reason = FlowEndReason.FORCED
            if connection.close_reason in REMOTE_CLOSE_REASONS:
                reason = FlowEndReason.ENDED
            self.meter.end_flow(flow, reason, self.event_loop.now)

    def on_timer(self) -> None:
        """Check timeouts, transports and buffers; and again a while later."""
        now = self.event_loop.now
        self.meter.advance(now)
        for transport in [*self.transports.values()]:
            transport.report_progress()
        for buffer in [*self.buffers.values()]:
            buffer.on_timer(now)
        self.event_loop.call_later(CHECK_PERIOD_TICKS, self.on_timer)

    def reload(self, settings: FlowExportConfig) -> None:
        """Go on with other collectors, or another layout; what is pending stays so.

        Raises:
            ConfigurationError: a TLS file is faulty; nothing is changed.
        """
        collectors = read_collectors(settings)
        self.meter.active_ticks = settings.active_timeout_ticks
        self.meter.idle_ticks = settings.idle_timeout_ticks
        if settings.memory_bytes != self.settings.memory_bytes:
            self.socket_host.log("operator file: flows memory changed, in force after a restart")
        self._configure(settings, collectors)
        self.settings = settings

    def end(self) -> None:
        """Report open connections as far as they went, and send what can go at once."""
        now = self.event_loop.now
        for connection in [*self.flows]:
            self.meter.end_flow(self.flows.pop(connection), FlowEndReason.FORCED, now)
        for buffer in self.buffers.values():
            buffer.flush(self.event_loop.now)
        for transport in self.transports.values():
            transport.flush()
        for name, buffer in self.buffers.items():
            buffer.disconnect_all(self.event_loop.now)
            octets = buffer.pending.octets
            if octets:
                self.socket_host.log(f"collector {name}: {octets} octets were held at the end")

    def _on_delta(self, delta: Delta) -> None:
        """Queue a record in each buffer; each has a copy of its own, which it merges in place."""
        first, *others = self.buffers.values()
        for buffer in others:
            buffer.add(dataclasses.replace(delta))
        first.add(delta)

    # Collectors.

    def _configure(self, settings: FlowExportConfig, collectors: list[ConfiguredCollector]) -> None:
        """Let buffers that are named still go on with their queue; the others drop theirs."""
        layout = Layout(settings.layout, self.gateway)
        peers = [make_peer(collector.settings) for collector in collectors]
        self.collectors.update(zip(peers, collectors, strict=True))
        groups = {"first": peers}
        if settings.mode == "all":
            groups = {peer.name: [peer] for peer in peers}
        previous = self.buffers
        self.buffers = {}
        memory_bytes = settings.memory_bytes // len(groups)
        for name, group in groups.items():
            buffer = previous.pop(name, None)
            if buffer is None:
                buffer = self._new_buffer(layout, group, memory_bytes)
            else:
                buffer.reconfigure(group, layout, self.event_loop.now)
            self.buffers[name] = buffer
        for name, buffer in previous.items():
            self._remove_buffer(name, buffer, layout)
        self.collectors = {peer: self.collectors[peer] for peer in peers}

    def _new_buffer(
        self, layout: Layout, peers: list[CollectorPeer], memory_bytes: int
    ) -> ExportBuffer:
        pending = PendingRecords(memory_bytes)
        return ExportBuffer(self, layout, self.domain, peers, pending, self.seed, self.started_at)

    def _remove_buffer(self, name: str, buffer: ExportBuffer, layout: Layout) -> None:
        """Leave a collector that is no longer named, and drop what was pending for it."""
        buffer.reconfigure([], layout, self.event_loop.now)
        self.socket_host.log(
            f"collector {name} left, {buffer.pending.octets} octets were held for it"
        )
        buffer.pending.drop_all()

    # What a buffer asks for (`CollectorTransports`).

    def open(self, peer: CollectorPeer) -> None:
        """Begin to connect to a collector."""
        collector = self.collectors[peer]
        address = collector.settings.address
        buffer = next(buffer for buffer in self.buffers.values() if peer in buffer.peers)
        if peer.is_datagram:
            self.transports[peer] = DatagramTransport(self.event_loop, buffer, peer, address)
        else:
            self.transports[peer] = StreamTransport(
                self.event_loop, buffer, peer, address, collector.tls
            )

    def send(self, peer: CollectorPeer, data: bytes) -> bool:
        """Hand over a whole message; False, with nothing of it sent, where there is no room."""
        transport = self.transports.get(peer)
        return transport is not None and transport.send(data)

    def close(self, peer: CollectorPeer) -> None:
        """Close the connection to a collector, if there is one."""
        transport = self.transports.pop(peer, None)
        if transport is not None:
            transport.close()

    def log(self, line: str) -> None:
        """Write a line to the program's log."""
        self.socket_host.log(line)

    # Totals.

    def balance_checks(self) -> list[BalanceCheck]:
        """The equations of export, for the auditor."""
        checks = [
            BalanceCheck(
                "flows measured",
                self._carried_octets()
                - self.meter.measured_octets
                - self.meter.unreported_octets(),
                "octets of connections - measured - not yet told",
            )
        ]
        for name, buffer in self.buffers.items():
            difference = buffer.unaccounted_octets()
            formula = "measured - told - held - dropped"
            checks.append(BalanceCheck(f"flows to {name}", difference, formula))
            difference = buffer.held_octets - buffer.recounted_octets()
            formula = "counted - recounted"
            checks.append(BalanceCheck(f"flows held for {name}", difference, formula))
        return checks

    def _carried_octets(self) -> int:
        """Octets of all connections, by the ledger (ended) and the live records (open)."""
        ended = sum(row.received_bytes + row.sent_bytes for row in self.socket_host.ledger.sides)
        live = sum(got + sent for got, sent, _ in self.socket_host.records.live_bytes())
        return int(ended + live)

    def status_report(self) -> dict[str, Any]:
        """The totals of each buffer, as the accounting snapshot has them (JSON)."""
        return {name: self._buffer_report(buffer) for name, buffer in self.buffers.items()}

    def _buffer_report(self, buffer: ExportBuffer) -> dict[str, Any]:
        totals = buffer.totals
        pending = buffer.pending
        return {
            "measured": pending.measured_octets,
            "told": totals.exported_octets,
            "held": buffer.held_octets,
            "dropped": pending.dropped_octets,
            "unsure": totals.uncertain_octets,
            "repeated": totals.repeated_octets,
            "merged": pending.merged_flows,
            "messages": totals.sent_messages,
            "records": totals.exported_records,
            "flows": len(self.meter.flows),
            "collectors": {peer.name: peer.state.value for peer in buffer.peers},
        }

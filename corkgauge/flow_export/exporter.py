"""Meters the connections of a gateway process and exports their flow records to collectors.

Combines the meter, the export buffers and their transports: receives the opened and closed
connections, and schedules the periodic checks. Flow export must not delay requests: no function
waits, and the work of each check is bounded.
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
# Close reasons of connections that the peer closed or that broke; the gateway closed all others.
REMOTE_CLOSE_REASONS = ("closed", "Connection reset by peer", "Broken pipe", "broken")


class ExportHost(Protocol):
    """Interface of the socket host that flow export uses."""

    event_loop: EventLoop
    flow_export: Any  # the exporter, which registers here
    ledger: Any
    records: Any
    auditor: Any

    def log(self, line: str) -> None:
        """Write a line to the program's log."""


class HostConnection(MeteredConnection, Protocol):
    """A connection of the socket host."""

    sock: socket.socket
    close_reason: str


class BalanceCheck(NamedTuple):
    """An equation of flow export for the auditor, violated if `difference` is not 0."""

    name: str
    difference: int  # octets
    formula: str


class Exporter:
    """Meters the connections of a socket host and exports their flow records.

    A single export buffer sends to the first collector that is up. In the mode `all`, each
    collector has a separate export buffer.
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
        self.domain = crc32(gateway.encode())  # observation domain, unchanged by a restart
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
        # By the address of the collector. In the mode `first`, the only buffer is named "first",
        # and log lines then show that name as the name of the collector.
        self.buffers: dict[str, ExportBuffer] = {}

        self._configure(settings, read_collectors(settings))
        socket_host.flow_export = self
        socket_host.auditor.equations.append(self.get_balance_checks)
        self.event_loop.call_later(CHECK_PERIOD_TICKS, self.on_timer)

    # Callbacks of the socket host and of the event loop.

    def on_connection_opened(
        self, connection: HostConnection, direction: int, engine: str = "", zone: str = ""
    ) -> None:
        """Start metering a connection from a client, or a connection to an engine in a zone."""
        endpoints = read_endpoints(connection.sock, direction)
        self.flows[connection] = self.meter.start_flow(
            connection, direction, endpoints, engine, zone, self.event_loop.now
        )

    def on_connection_closed(self, connection: HostConnection) -> None:
        """Stop metering a connection and report its remaining octets."""
        flow = self.flows.pop(connection, None)
        if flow is not None:
            reason = FlowEndReason.FORCED
            if connection.close_reason in REMOTE_CLOSE_REASONS:
                reason = FlowEndReason.ENDED
            self.meter.end_flow(flow, reason, self.event_loop.now)

    def on_timer(self) -> None:
        """Check timeouts, transports and buffers, and schedule the next check."""
        now = self.event_loop.now
        self.meter.advance(now)
        for transport in [*self.transports.values()]:
            transport.report_progress()
        for buffer in [*self.buffers.values()]:
            buffer.on_timer(now)
        self.event_loop.call_later(CHECK_PERIOD_TICKS, self.on_timer)

    def reload(self, settings: FlowExportConfig) -> None:
        """Apply changed collectors, timeouts and layout; remaining buffers keep pending records.

        Raises:
            ConfigurationError: a TLS file is invalid; nothing was changed.
        """
        collectors = read_collectors(settings)
        self.meter.active_ticks = settings.active_timeout_ticks
        self.meter.idle_ticks = settings.idle_timeout_ticks
        if settings.memory_bytes != self.settings.memory_bytes:
            self.socket_host.log("operator file: flows memory changed, in force after a restart")
        self._configure(settings, collectors)
        self.settings = settings

    def end(self) -> None:
        """Report all open connections and send as much as possible without waiting."""
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
        """Queue a record in all buffers, as separate copies: buffers merge records in place."""
        first, *others = self.buffers.values()
        for buffer in others:
            buffer.add(dataclasses.replace(delta))
        first.add(delta)

    # Collectors.

    def _configure(self, settings: FlowExportConfig, collectors: list[ConfiguredCollector]) -> None:
        """Create, reconfigure and remove buffers; remaining buffers keep their pending records."""
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
        """Disconnect the collectors of a buffer and drop its pending records.

        A buffer is removed if its collector is no longer configured or if the mode changed.
        """
        buffer.reconfigure([], layout, self.event_loop.now)
        self.socket_host.log(
            f"collector {name} left, {buffer.pending.octets} octets were held for it"
        )
        buffer.pending.drop_all()

    # Interface of the buffers (`CollectorTransports`).

    def open(self, peer: CollectorPeer) -> None:
        """Start connecting to a collector."""
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
        """Send a whole message; returns False, with nothing sent, if there is no room for it."""
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

    def get_balance_checks(self) -> list[BalanceCheck]:
        """Return the equations of flow export for the auditor."""
        checks = [
            BalanceCheck(
                "flows measured",
                self._carried_octets()
                - self.meter.measured_octets
                - self.meter.unreported_octets(),
                "octets of connections - measured - not yet reported",
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
        """Return the octets of closed connections (ledger) and open ones (live records)."""
        ended = sum(row.received_bytes + row.sent_bytes for row in self.socket_host.ledger.sides)
        live = sum(received + sent for received, sent, _ in self.socket_host.records.live_bytes())
        return int(ended + live)

    def status_report(self) -> dict[str, Any]:
        """Return the totals of each buffer as JSON values for the accounting snapshot."""
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
            "merged": pending.merged_record_count,
            "messages": totals.sent_messages,
            "records": totals.exported_records,
            "flows": len(self.meter.flows),
            "collectors": {peer.name: peer.state.value for peer in buffer.peers},
        }

"""Flow export of one program: the meter, the keepers and their connections, put together.

Owns which connections are metered and how often things are looked at. Must never stall what is
served: nothing here waits, and what a tick does is bounded.
"""

import socket
from typing import Any
from zlib import crc32

from corkgauge.config.operator_file import CollectorConfig, FlowExportConfig
from corkgauge.config.platform import ConfigurationError
from corkgauge.flow_export.codec import Layout
from corkgauge.flow_export.counter_deltas import Delta
from corkgauge.flow_export.elements import ENDED, FORCED, INGRESS
from corkgauge.flow_export.export_buffer import STATES, ExportBuffer, Peer
from corkgauge.flow_export.meter import Flow, Meter
from corkgauge.flow_export.pending_records import PendingRecords
from corkgauge.flow_export.tls import Untrusted, context_of
from corkgauge.flow_export.transports import Datagrams, Stream

TICK = 500  # tenths of a millisecond
# Why a connection ended by itself, and not by us.
BY_ITSELF = "closed", "Connection reset by peer", "Broken pipe", "broken"


class Exporter:
    """`house` has `hub`, `log`, `ledger`, `records` and `auditor`. One keeper tells the first collector that
    is well; or, in mode `all`, each collector has one of its own."""

    def __init__(self, socket_host: Any, gateway: str, seed: int, said: FlowExportConfig) -> None:
        self.socket_host, self.event_loop, self.gateway, self.seed, self.said = (
            socket_host,
            socket_host.event_loop,
            gateway,
            seed,
            said,
        )
        self.began = self.event_loop.now
        self.domain = crc32(gateway.encode())  # the same after each restart
        self.flows: dict[Any, Flow] = {}
        self.peers: dict[Peer, tuple[CollectorConfig, Any]] = {}  # with its TLS context
        self.lines: dict[Peer, Any] = {}
        self.keepers: dict[str, ExportBuffer] = {}
        self.meter = Meter(
            self._told, said.active_timeout_ticks, said.idle_timeout_ticks, self.event_loop.now
        )
        self._arrange(said, self._contexts(said))
        socket_host.flows = self
        socket_host.auditor.equations.append(self.differences)
        self.event_loop.call_later(TICK, self.tick)

    # What the host tells.

    def up(self, link: Any, side: int, engine: str = "", hall: str = "") -> None:
        """A connection: a client's, or one to an engine."""
        self.flows[link] = self.meter.up(
            link, side, ends_of(link.sock, side), engine, hall, self.event_loop.now
        )

    def over(self, link: Any) -> None:
        if flow := self.flows.pop(link, None):
            self.meter.over(flow, ENDED if link.why in BY_ITSELF else FORCED, self.event_loop.now)

    def tick(self) -> None:
        now = self.event_loop.now
        self.meter.advance(now)
        for line in [*self.lines.values()]:
            line.look()
        for keeper in [*self.keepers.values()]:
            keeper.tick(now)
        self.event_loop.call_later(TICK, self.tick)

    def reload(self, said: FlowExportConfig) -> None:
        """Other collectors, or another layout; what is held stays held. `Faulty`, and nothing is changed."""
        contexts = self._contexts(said)
        self.meter.active, self.meter.idle = said.active_timeout_ticks, said.idle_timeout_ticks
        if said.memory_bytes != self.said.memory_bytes:
            self.socket_host.log("operator file: flows memory changed, in force after a restart")
        self._arrange(said, contexts)
        self.said = said

    def end(self) -> None:
        """The program ends: what is open is told as far as it went, and what can go goes."""
        for link in [*self.flows]:
            self.meter.over(self.flows.pop(link), FORCED, self.event_loop.now)
        for keeper in self.keepers.values():
            keeper.last(self.event_loop.now)
        for line in self.lines.values():
            line.flush()
        for name, keeper in self.keepers.items():
            keeper.part(self.event_loop.now)
            if keeper.held.octets:
                self.socket_host.log(
                    f"collector {name}: {keeper.held.octets} octets were held at the end"
                )

    def _told(self, delta: Delta) -> None:
        first, *others = self.keepers.values()
        for keeper in others:  # each merges its own
            keeper.add(Delta(*(getattr(delta, name) for name in Delta.__slots__)))
        first.add(delta)

    # Collectors.

    def _contexts(self, said: FlowExportConfig) -> list[Any]:
        try:
            return [
                context_of(each.tls.ca_file, each.tls.certificate_file, each.tls.key_file)
                if each.tls
                else None
                for each in said.collectors
            ]
        except Untrusted as problem:
            raise ConfigurationError(f"flows: {problem}") from None

    def _arrange(self, said: FlowExportConfig, contexts: list[Any]) -> None:
        layout = Layout(said.layout, self.gateway)
        old, self.keepers = self.keepers, {}
        peers = []
        for each, context in zip(said.collectors, contexts):
            peer = Peer(
                "%s:%d" % each.address,
                each.transport == "udp",
                each.max_message_bytes,
                each.template_refresh_ticks,
                each.template_refresh_messages,
            )
            self.peers[peer] = each, context
            peers.append(peer)
        groups = {peer.name: [peer] for peer in peers} if said.mode == "all" else {"first": peers}
        for name, group in groups.items():
            keeper = old.pop(name, None)
            if keeper is None:
                held = PendingRecords(said.memory_bytes // len(groups))
                keeper = ExportBuffer(self, layout, self.domain, group, held, self.seed, self.began)
            else:
                keeper.renew(group, layout, self.event_loop.now)
            self.keepers[name] = keeper
        for name, keeper in old.items():
            keeper.renew([], layout, self.event_loop.now)
            self.socket_host.log(
                f"collector {name} left, {keeper.held.octets} octets were held for it"
            )
            keeper.held.drop()
        kept = {peer for keeper in self.keepers.values() for peer in keeper.peers}
        self.peers = {peer: what for peer, what in self.peers.items() if peer in kept}

    # What a keeper may do.

    def open(self, peer: Peer) -> None:
        (collector, context), keeper = self.peers[peer], self._keeper_of(peer)
        if collector.transport == "udp":
            self.lines[peer] = Datagrams(self.event_loop, keeper, peer, collector.address)
        else:
            self.lines[peer] = Stream(
                self.event_loop,
                keeper,
                peer,
                collector.address,
                context,
                collector.tls.server_name if collector.tls else "",
            )

    def send(self, peer: Peer, data: bytes) -> bool:
        line = self.lines.get(peer)
        return line is not None and line.send(data)

    def close(self, peer: Peer) -> None:
        if line := self.lines.pop(peer, None):
            line.close()

    def log(self, line: str) -> None:
        self.socket_host.log(line)

    def _keeper_of(self, peer: Peer) -> ExportBuffer:
        return next(keeper for keeper in self.keepers.values() if peer in keeper.peers)

    # Figures.

    def differences(self) -> list[tuple[str, int, str]]:
        """The equations of export, for the auditor."""
        socket_host = self.socket_host
        carried = sum(row.received_bytes + row.sent_bytes for row in socket_host.ledger.sides)
        carried += sum(got + sent for got, sent, _ in socket_host.records.live_bytes())
        found = [
            (
                "flows measured",
                carried - self.meter.octets - self.meter.untold(),
                "octets of connections - measured - not yet told",
            )
        ]
        for name, keeper in self.keepers.items():
            found.append(
                (f"flows to {name}", keeper.difference(), "measured - told - held - dropped")
            )
            found.append(
                (f"flows held for {name}", keeper.holding - keeper.recount(), "counted - recounted")
            )
        return found

    def told(self) -> dict[str, Any]:
        """For the cut."""
        return {
            name: {
                "measured": keeper.held.measured,
                "told": keeper.told,
                "held": keeper.holding,
                "dropped": keeper.held.dropped,
                "unsure": keeper.unsure,
                "repeated": keeper.repeated,
                "merged": keeper.held.merged,
                "messages": keeper.messages,
                "records": keeper.told_records,
                "flows": len(self.meter.flows),
                "collectors": {peer.name: STATES[peer.state] for peer in keeper.peers},
            }
            for name, keeper in self.keepers.items()
        }


def ends_of(sock: Any, side: int) -> tuple[int, bytes, int, bytes, int]:
    """Family, the initiator's address and port, and the other's; family 0 where the socket has no such."""
    try:
        here, there = sock.getsockname(), sock.getpeername()
    except OSError:
        return 0, b"", 0, b"", 0
    if sock.family not in (socket.AF_INET, socket.AF_INET6):
        return 0, b"", 0, b"", 0
    source, target = (there, here) if side == INGRESS else (here, there)
    family = 4 if sock.family == socket.AF_INET else 6
    packed = [socket.inet_pton(sock.family, end[0].partition("%")[0]) for end in (source, target)]
    return family, packed[0], source[1], packed[1], target[1]

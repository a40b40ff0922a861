"""Emulates a flow collector on loopback that decodes the messages, and misbehaves on request.

Owns one address and the messages received there. Must never listen on an address outside of
127.0.0.0/8.
"""

import socket
import ssl
from collections.abc import Callable
from typing import Any

from corkgauge.eventloop.loop import READ, EventLoop
from corkgauge.eventloop.memory_budget import MemoryBudget
from corkgauge.eventloop.ring_buffer import RingBuffer
from corkgauge.flow_export.decoder import (
    DecodedMessage,
    Decoder,
    MalformedMessageError,
    MessageStream,
)
from corkgauge.testkit.emulators.listener import RESET_ON_CLOSE, Listener, make_connection


class EmulatedCollector:
    """Receives flow messages over UDP, TCP or TLS, and passes each one to `on_message`.

    `transport` is udp, tcp or tls; tls needs the TLS context of a server. Tests may set
    `ignores_input`, so that the collector accepts connections but never reads from them, and
    `resets_on_template`, so that it resets a connection on which it receives a template.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        transport: str,
        on_message: Callable[[DecodedMessage, bytes], None] = lambda *_: None,
        address: tuple[str, int] = ("127.0.0.1", 0),
        context: ssl.SSLContext | None = None,
    ) -> None:
        self.event_loop, self.transport, self.on_message, self.context = (
            event_loop,
            transport,
            on_message,
            context,
        )
        self.errors, self.session_count = list[str](), 0
        self.ignores_input = self.resets_on_template = False
        self.listener: Listener | None = None
        self.sock: socket.socket | None = None
        if transport == "udp":
            self.address = address
            self.open()
        else:
            self.listener = Listener(
                event_loop, lambda sock: CollectorConnection(self, sock), address
            )
            self.address = self.listener.address

    def open(self) -> None:
        """Listen, on the same address as before."""
        if self.listener is not None:
            return self.listener.open()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 2**20)
        self.sock.bind(self.address)
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        self.event_loop.spawn(self._receive_datagrams, self.sock)

    def close(self) -> None:
        """Stop listening: reset the connections, and let datagrams be refused."""
        if self.listener is not None:
            return self.listener.close(abort=True)
        sock, self.sock = self.sock, None
        self.event_loop.wake(sock.fileno())
        sock.close()

    def _receive_datagrams(self, sock: socket.socket) -> None:
        decoders: dict[Any, Decoder] = {}
        while self.sock is sock:
            self.event_loop.wait(sock.fileno(), READ)
            while self.sock is sock:
                try:
                    data, source = sock.recvfrom(65_536)
                except OSError:
                    break
                if source not in decoders:
                    self.session_count += 1
                    decoders[source] = Decoder()
                self.handle_message(decoders[source], data)

    def handle_message(self, decoder: Decoder, data: bytes) -> bool:
        """Decode one message; return False if the session of the message must be reset."""
        try:
            message = decoder.decode(data)
        except MalformedMessageError as problem:
            self.errors.append(str(problem))
            return True
        if message.unknown_set_count:
            self.errors.append(f"{message.unknown_set_count} sets before their template")
        self.on_message(message, data)
        return not (self.resets_on_template and message.template_count)


class CollectorConnection:
    """Reads messages from one connection of a flow exporter."""

    def __init__(self, collector: EmulatedCollector, sock: Any) -> None:
        self.collector = collector
        collector.session_count += 1
        self.stream, self.decoder = MessageStream(), Decoder()
        protocol = (
            PlainProtocol(self, collector.ignores_input)
            if collector.context is None
            else TlsProtocol(self, collector.context)
        )
        self.connection = make_connection(collector.event_loop, sock, protocol, self)

    def on_input(self, data: bytes) -> str:
        """Handle received bytes; return the reason for closing, or an empty string."""
        try:
            for message in self.stream.feed(data):
                if not self.collector.handle_message(self.decoder, message):
                    self.connection.sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                    )
                    return "reset at a template"
        except MalformedMessageError as problem:
            self.collector.errors.append(str(problem))
            return str(problem)
        return ""

    def on_output_drained(self) -> None:
        """Do nothing: the collector never waits for its output."""

    def on_closed(self, why: str) -> None:
        """Remove the connection from the listener."""
        self.collector.listener.remove_connection(self)


class PlainProtocol:
    """Reads a stream without TLS; with `ignores_input`, the input ring is full from the start."""

    def __init__(self, owner: CollectorConnection, ignores_input: bool) -> None:
        self.owner, self.complete_frame_count, self.ignores_input = owner, 0, ignores_input
        budget = MemoryBudget(2**24)
        self.inward, self.outward = RingBuffer(65_536, budget), RingBuffer(4096, budget)
        if ignores_input:
            self.inward.put(bytes(self.inward.free_bytes))

    def parse_input(self) -> str:
        """Pass all received bytes on; return the reason for closing, or an empty string."""
        return "" if self.ignores_input else self.owner.on_input(self.inward.take(len(self.inward)))


class TlsProtocol:
    """Reads a stream under TLS, as its server."""

    def __init__(self, owner: CollectorConnection, context: ssl.SSLContext) -> None:
        self.owner, self.complete_frame_count, self.handshake_done = owner, 0, False
        budget = MemoryBudget(2**24)
        self.inward, self.outward = RingBuffer(65_536, budget), RingBuffer(65_536, budget)
        self.incoming, self.outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.session = context.wrap_bio(self.incoming, self.outgoing, server_side=True)

    def parse_input(self) -> str:
        """Decrypt all received bytes and pass them on; return the reason for closing, or empty."""
        self.incoming.write(self.inward.take(len(self.inward)))
        why = ""
        try:
            if not self.handshake_done:
                self.session.do_handshake()
                self.handshake_done = True
            while not why:
                data = self.session.read(16_384)
                why = self.owner.on_input(data) if data else "closed"
        except ssl.SSLWantReadError:
            pass
        except (ssl.SSLError, OSError) as problem:
            why = str(problem)
            self.owner.collector.errors.append(f"tls: {getattr(problem, 'reason', problem)}")
        if output := self.outgoing.read():
            self.owner.connection.send(output)
        return why

"""A collector on loopback: it decodes what it is sent, and misbehaves where it is told to.

Owns one address and what came there. Must never listen anywhere but on 127.0.0.0/8.
"""

import socket
import ssl
from collections.abc import Callable
from typing import Any

from corkgauge.eventloop.loop import READ, EventLoop
from corkgauge.eventloop.ring_buffer import MemoryBudget, RingBuffer
from corkgauge.flow_export.decoder import (
    DecodedMessage,
    Decoder,
    MalformedMessageError,
    MessageStream,
)
from corkgauge.testkit.emulators.listener import ABORTED, Listener, linked


class EmulatedCollector:
    """`transport` is udp, tcp or tls (with a server's `context`); `heard(message, bytes)` gets each one."""

    def __init__(
        self,
        event_loop: EventLoop,
        transport: str,
        heard: Callable[[DecodedMessage, bytes], None] = lambda *_: None,
        address: tuple[str, int] = ("127.0.0.1", 0),
        context: ssl.SSLContext | None = None,
    ) -> None:
        self.event_loop, self.transport, self.heard, self.context = (
            event_loop,
            transport,
            heard,
            context,
        )
        self.wrong, self.sessions = list[str](), 0
        self.deaf = self.resets_templates = False
        self.listener: Listener | None = None
        self.sock: socket.socket | None = None
        if transport == "udp":
            self.address = address
            self.open()
        else:
            self.listener = Listener(event_loop, lambda sock: Guest(self, sock), address)
            self.address = self.listener.address

    def open(self) -> None:
        """Listen, at the same address as before."""
        if self.listener is not None:
            return self.listener.open()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 2**20)
        self.sock.bind(self.address)
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        self.event_loop.spawn(self._datagrams, self.sock)

    def close(self) -> None:
        """Gone: connections are reset, datagrams refused."""
        if self.listener is not None:
            return self.listener.close(abort=True)
        sock, self.sock = self.sock, None
        self.event_loop.wake(sock.fileno())
        sock.close()

    def _datagrams(self, sock: socket.socket) -> None:
        decoders: dict[Any, Decoder] = {}
        while self.sock is sock:
            self.event_loop.wait(sock.fileno(), READ)
            while self.sock is sock:
                try:
                    data, source = sock.recvfrom(65_536)
                except OSError:
                    break
                if source not in decoders:
                    self.sessions += 1
                    decoders[source] = Decoder()
                self.take(decoders[source], data)

    def take(self, decoder: Decoder, data: bytes) -> bool:
        """One message; False where its session is to be reset."""
        try:
            heard = decoder.decode(data)
        except MalformedMessageError as problem:
            self.wrong.append(str(problem))
            return True
        if heard.unknown_set_count:
            self.wrong.append(f"{heard.unknown_set_count} sets before their template")
        self.heard(heard, data)
        return not (self.resets_templates and heard.template_count)


class Guest:
    """One connection to it."""

    def __init__(self, collector: EmulatedCollector, sock: Any) -> None:
        self.collector = collector
        collector.sessions += 1
        self.stream, self.decoder = MessageStream(), Decoder()
        machine = (
            Plain(self, collector.deaf)
            if collector.context is None
            else Sealed(self, collector.context)
        )
        self.link = linked(collector.event_loop, sock, machine, self)

    def came(self, data: bytes) -> str:
        try:
            for message in self.stream.feed(data):
                if not self.collector.take(self.decoder, message):
                    self.link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORTED)
                    return "reset at a template"
        except MalformedMessageError as problem:
            self.collector.wrong.append(str(problem))
            return str(problem)
        return ""

    def on_output_drained(self) -> None:
        pass

    def on_closed(self, why: str) -> None:
        self.collector.listener.left(self)


class Plain:
    """A stream as it comes; a deaf one never takes what its ring holds."""

    def __init__(self, owner: Guest, deaf: bool) -> None:
        self.owner, self.complete_frame_count, self.deaf = owner, 0, deaf
        allowance = MemoryBudget(2**24)
        self.inward, self.outward = RingBuffer(65_536, allowance), RingBuffer(4096, allowance)
        if deaf:
            self.inward.put(bytes(self.inward.free_bytes))

    def parse_input(self) -> str:
        return "" if self.deaf else self.owner.came(self.inward.take(len(self.inward)))


class Sealed:
    """A stream under TLS, from the server's side."""

    def __init__(self, owner: Guest, context: ssl.SSLContext) -> None:
        self.owner, self.complete_frame_count, self.shaken = owner, 0, False
        allowance = MemoryBudget(2**24)
        self.inward, self.outward = RingBuffer(65_536, allowance), RingBuffer(65_536, allowance)
        self.into, self.out = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.session = context.wrap_bio(self.into, self.out, server_side=True)

    def parse_input(self) -> str:
        self.into.write(self.inward.take(len(self.inward)))
        why = ""
        try:
            if not self.shaken:
                self.session.do_handshake()
                self.shaken = True
            while not why:
                data = self.session.read(16_384)
                why = self.owner.came(data) if data else "closed"
        except ssl.SSLWantReadError:
            pass
        except (ssl.SSLError, OSError) as problem:
            why = str(problem)
            self.owner.collector.wrong.append(f"tls: {getattr(problem, 'reason', problem)}")
        if said := self.out.read():
            self.owner.link.send(said)
        return why

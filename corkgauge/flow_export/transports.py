"""The connections to collectors: datagrams, streams, streams under TLS.

Owns one socket each, and tells the keeper what becomes of it. Must never block, never send a part
of a message, and never look at what a message says.
"""

import errno
import socket
import struct
import termios
from fcntl import ioctl
from typing import Any

from corkgauge.eventloop.connection import StreamConnection, dial
from corkgauge.eventloop.loop import READ, EventLoop
from corkgauge.eventloop.ring_buffer import MemoryBudget, RingBuffer
from corkgauge.flow_export.export_buffer import SECOND, ExportBuffer, Peer
from corkgauge.flow_export.tls import TlsWire

ROOM = 131_072  # of a stream's messages that wait for the socket


class Datagrams:
    """A connected UDP socket: an ICMP refusal comes back as an error of the next call."""

    def __init__(
        self, event_loop: EventLoop, keeper: ExportBuffer, peer: Peer, address: tuple[str, int]
    ) -> None:
        self.event_loop, self.keeper, self.peer, self.closed = event_loop, keeper, peer, False
        self.sock = socket.socket(
            socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM
        )
        self.sock.setblocking(False)
        try:
            self.sock.connect(address)
        except OSError as problem:
            event_loop.call_later(0, self._lost, problem.strerror or "error")
            return
        event_loop.spawn(self._listen)
        event_loop.call_later(0, self._opened)

    def _opened(self) -> None:
        if not self.closed:
            self.keeper.opened(self.peer, self.event_loop.now)

    def _listen(self) -> None:
        while not self.closed:
            self.event_loop.wait(self.sock.fileno(), READ)
            if self.closed:
                break
            try:
                self.sock.recv(2048)  # nothing that a collector says to us counts
            except BlockingIOError:
                continue
            except OSError as problem:
                self._lost(problem.strerror or "error")
        self.sock.close()

    def _lost(self, why: str) -> None:
        if not self.closed:
            self.keeper.lost(self.peer, why, self.event_loop.now)

    def send(self, data: bytes) -> bool:
        try:
            return self.sock.send(data) == len(data)
        except OSError as problem:
            if problem.errno not in (errno.EAGAIN, errno.ENOBUFS):
                # Danger: the keeper is in the middle of a message; it hears of this after that.
                self.event_loop.call_later(0, self._lost, problem.strerror or "error")
            return False

    def look(self) -> None:
        pass

    def flush(self) -> None:
        pass

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            if self.sock.fileno() in self.event_loop.parked:
                self.event_loop.wake(self.sock.fileno())
            else:
                self.sock.close()


class Deaf:
    """A machine for a peer that has nothing to say: what comes is dropped."""

    def __init__(self, allowance: MemoryBudget) -> None:
        self.whole = 0
        self.inward, self.outward = RingBuffer(4096, allowance), RingBuffer(ROOM, allowance)

    def advance(self) -> str:
        self.inward.drop(len(self.inward))
        return ""


class Stream:
    """A TCP connection, plain or under TLS."""

    def __init__(
        self,
        event_loop: EventLoop,
        keeper: ExportBuffer,
        peer: Peer,
        address: tuple[str, int],
        context: Any = None,
        name: str = "",
    ) -> None:
        self.event_loop, self.keeper, self.peer, self.address = event_loop, keeper, peer, address
        self.context, self.name, self.allowance = context, name, MemoryBudget(4 * ROOM)
        self.link: StreamConnection | None = None
        self.closed, self.put_whole = False, 0  # octets of whole messages, before any encryption
        # in the system's hands at the last look, and what was sent then
        self.queued, self.queued_at = 0, 0
        event_loop.spawn(self._run)

    def _run(self) -> None:
        sock, why = dial(self.event_loop, self.address, 2 * SECOND)
        if sock is None:
            return self._lost(why)
        if self.closed:
            return sock.close()
        machine = (
            TlsWire(self, self.context, self.name, self.allowance)
            if self.context
            else Deaf(self.allowance)
        )
        self.link = StreamConnection(self.event_loop, sock, machine, self)
        if self.context:
            machine.advance()  # says the first word
        else:
            self.up()
        self.link.run()

    def _lost(self, why: str) -> None:
        if not self.closed:
            self.closed = True
            self.keeper.lost(self.peer, why, self.event_loop.now, self.in_system())

    # What the machine and the link tell.

    def up(self) -> None:
        if not self.closed:
            self.keeper.opened(self.peer, self.event_loop.now)

    def put(self, data: bytes) -> None:
        self.link.send(data)

    def drained(self) -> None:
        """All that was put is in the system's hands."""
        if not self.closed:
            self.keeper.wrote(self.peer, self.put_whole, self.event_loop.now)

    def ended(self, why: str) -> None:
        self._lost(why)

    # What the keeper wants.

    def send(self, data: bytes) -> bool:
        if self.link is None or self.link.why:
            return False
        machine = self.link.machine
        if not (machine.write(data) if self.context else self.link.send(data)):
            return False
        self.put_whole += len(data)
        return True

    def look(self) -> None:
        """How much the system holds of it. Danger: that may never arrive, if the connection breaks."""
        link = self.link
        if link is not None and not link.why:
            if not self.context:
                self.keeper.wrote(self.peer, link.sent, self.event_loop.now)
            try:
                self.queued = struct.unpack("i", ioctl(link.fd, termios.TIOCOUTQ, b"\0" * 4))[0]
                self.queued_at = link.sent
            except OSError:
                pass

    def flush(self) -> None:
        """Write what the socket takes now; the program ends."""
        if self.link is not None and not self.link.why:
            self.link.flush()
            self.look()

    def in_system(self) -> int:
        """At the most: what was there at the last look, and all that was written since."""
        return 0 if self.link is None else self.queued + self.link.sent - self.queued_at

    def close(self) -> None:
        """Danger: a close at once would cut off what the ring still holds; that has a while to leave."""
        if self.closed:
            return
        self.closed = True
        if self.link is not None:
            self.event_loop.call_later(1, self._end, self.event_loop.now + SECOND)

    def _end(self, until: int) -> None:
        link = self.link
        if len(link.machine.outward) and not link.why and self.event_loop.now < until:
            return self.event_loop.call_later(50, self._end, until)
        link.end("left")

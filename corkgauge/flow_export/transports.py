"""The connections to collectors: datagrams, streams, streams under TLS.

Each owns one socket, and notifies the export buffer of what becomes of it. Never blocks, never
sends a part of a message, and does not look at what a message says.
"""

import contextlib
import errno
import socket
import struct
import termios
from fcntl import ioctl
from typing import Protocol

from corkgauge.eventloop.connection import StreamConnection, dial
from corkgauge.eventloop.loop import READ, EventLoop
from corkgauge.eventloop.ring_buffer import MemoryBudget, RingBuffer
from corkgauge.flow_export.collector_peer import CollectorPeer
from corkgauge.flow_export.export_buffer import TICKS_PER_SECOND, ExportBuffer
from corkgauge.flow_export.tls import TlsMachine, TlsTarget

OUTWARD_BUFFER_BYTES = 131_072  # of a stream's messages that wait for the socket
DISCARD_BUFFER_BYTES = 4096  # of what a collector sends, before it is dropped
STREAM_MEMORY_BYTES = 4 * OUTWARD_BUFFER_BYTES
DIAL_TIMEOUT_TICKS = 2 * TICKS_PER_SECOND
CLOSE_TIMEOUT_TICKS = TICKS_PER_SECOND  # that a stream's ring has to leave, at a close
CLOSE_CHECK_TICKS = 50


class Transport(Protocol):
    """A connection to a collector."""

    def send(self, data: bytes) -> bool:
        """Take a whole message; False, with nothing of it taken, where there is no room."""

    def report_progress(self) -> None:
        """Notify the export buffer of how much was written."""

    def flush(self) -> None:
        """Write what the socket takes now, as the program ends."""

    def close(self) -> None:
        """Leave; the export buffer is notified of nothing more."""


class DatagramTransport:
    """A connected UDP socket: an ICMP refusal comes back as an error of the next call."""

    def __init__(
        self,
        event_loop: EventLoop,
        export_buffer: ExportBuffer,
        peer: CollectorPeer,
        address: tuple[str, int],
    ) -> None:
        self.event_loop = event_loop
        self.export_buffer = export_buffer
        self.peer = peer
        self.is_closed = False
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.sock = socket.socket(family, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        try:
            self.sock.connect(address)
        except OSError as problem:
            event_loop.call_later(0, self._on_lost, problem.strerror or "error")
            return
        event_loop.spawn(self._listen)
        event_loop.call_later(0, self._on_opened)

    def _on_opened(self) -> None:
        if not self.is_closed:
            self.export_buffer.on_opened(self.peer, self.event_loop.now)

    def _listen(self) -> None:
        """Wait for refusals; what a collector sends is dropped. Closes the socket at the end."""
        while not self.is_closed:
            self.event_loop.wait(self.sock.fileno(), READ)
            if self.is_closed:
                break
            try:
                self.sock.recv(2048)
            except BlockingIOError:
                continue
            except OSError as problem:
                self._on_lost(problem.strerror or "error")
        self.sock.close()

    def _on_lost(self, reason: str) -> None:
        if not self.is_closed:
            self.export_buffer.on_lost(self.peer, reason, self.event_loop.now)

    def send(self, data: bytes) -> bool:
        """Send a datagram; False if the system did not take it."""
        try:
            return self.sock.send(data) == len(data)
        except OSError as problem:
            if problem.errno not in (errno.EAGAIN, errno.ENOBUFS):
                # The buffer is in the middle of sending: notified at once it would drop the
                # session that it is using.
                self.event_loop.call_later(0, self._on_lost, problem.strerror or "error")
            return False

    def report_progress(self) -> None:
        """Nothing to report: datagrams are confirmed by time."""

    def flush(self) -> None:
        """Nothing to write: a datagram has left, or was not taken."""

    def close(self) -> None:
        """Close the socket, by the task that waits for it if there is one."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.sock.fileno() in self.event_loop.parked:
            self.event_loop.wake(self.sock.fileno())
        else:
            self.sock.close()


class DiscardingMachine:
    """A protocol machine for a peer that has nothing to say: what comes is dropped."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.complete_frame_count = 0
        self.inward = RingBuffer(DISCARD_BUFFER_BYTES, budget)
        self.outward = RingBuffer(OUTWARD_BUFFER_BYTES, budget)

    def parse_input(self) -> str:
        """Drop what came."""
        self.inward.drop(len(self.inward))
        return ""


class StreamTransport:
    """A TCP connection, plain or (with `tls`) under TLS."""

    def __init__(
        self,
        event_loop: EventLoop,
        export_buffer: ExportBuffer,
        peer: CollectorPeer,
        address: tuple[str, int],
        tls: TlsTarget | None = None,
    ) -> None:
        self.event_loop = event_loop
        self.export_buffer = export_buffer
        self.peer = peer
        self.address = address
        self.tls = tls
        self.budget = MemoryBudget(STREAM_MEMORY_BYTES)
        self.link: StreamConnection | None = None
        self.is_closed = False
        self.message_bytes = 0  # of whole messages, before any encryption

        # At the last look: unacknowledged bytes in the system's hands, and what was sent by then.
        self.send_queue_bytes = 0
        self.sent_at_check_bytes = 0
        event_loop.spawn(self._run)

    def _run(self) -> None:
        sock, reason = dial(self.event_loop, self.address, DIAL_TIMEOUT_TICKS)
        if sock is None:
            self._on_lost(reason)
            return
        if self.is_closed:
            sock.close()
            return
        if self.tls is None:
            self.link = StreamConnection(
                self.event_loop, sock, DiscardingMachine(self.budget), self
            )
            self.on_established()
        else:
            machine = TlsMachine(self, self.tls.context, self.tls.server_name, self.budget)
            self.link = StreamConnection(self.event_loop, sock, machine, self)
            machine.parse_input()  # the client begins the handshake
        self.link.run()

    def _on_lost(self, reason: str) -> None:
        if not self.is_closed:
            self.is_closed = True
            unacknowledged = self._unacknowledged_bytes()
            self.export_buffer.on_lost(self.peer, reason, self.event_loop.now, unacknowledged)

    # What the machine and the connection notify of.

    def on_established(self) -> None:
        """Begin the session: the collector is connected, and is who it should be."""
        if not self.is_closed:
            self.export_buffer.on_opened(self.peer, self.event_loop.now)

    def send_encrypted(self, data: bytes) -> None:
        """Send bytes of the TLS session."""
        assert self.link is not None, "a TLS session without its connection"
        self.link.send(data)

    def on_output_drained(self) -> None:
        """Confirm all messages: all that was put is in the system's hands."""
        if not self.is_closed:
            self.export_buffer.on_written(self.peer, self.message_bytes, self.event_loop.now)

    def on_closed(self, reason: str) -> None:
        """The connection is over."""
        self._on_lost(reason)

    # What the export buffer asks for.

    def send(self, data: bytes) -> bool:
        """Take a whole message; False, with nothing of it taken, where there is no room."""
        link = self.link
        if link is None or link.close_reason:
            return False
        is_taken = link.send(data) if self.tls is None else link.machine.write(data)
        if is_taken:
            self.message_bytes += len(data)
        return bool(is_taken)

    def report_progress(self) -> None:
        """Notify the buffer of what was written, and note how much the system still holds.

        What it holds may never arrive, if the connection breaks.
        """
        link = self.link
        if link is None or link.close_reason:
            return
        if self.tls is None:
            self.export_buffer.on_written(self.peer, link.bytes_sent, self.event_loop.now)
        with contextlib.suppress(OSError):
            answer = ioctl(link.fd, termios.TIOCOUTQ, b"\0" * 4)
            self.send_queue_bytes = struct.unpack("i", answer)[0]
            self.sent_at_check_bytes = link.bytes_sent

    def flush(self) -> None:
        """Write what the socket takes now, as the program ends."""
        if self.link is not None and not self.link.close_reason:
            self.link.flush()
            self.report_progress()

    def _unacknowledged_bytes(self) -> int:
        """At the most: what the system held at the last look, and all that was written since."""
        if self.link is None:
            return 0
        return self.send_queue_bytes + self.link.bytes_sent - self.sent_at_check_bytes

    def close(self) -> None:
        """Close once the ring is empty, or after a while: at once would cut off what it holds."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.link is not None:
            until = self.event_loop.now + CLOSE_TIMEOUT_TICKS
            self.event_loop.call_later(1, self._close_when_drained, self.link, until)

    def _close_when_drained(self, link: StreamConnection, until: int) -> None:
        if len(link.machine.outward) and not link.close_reason and self.event_loop.now < until:
            self.event_loop.call_later(CLOSE_CHECK_TICKS, self._close_when_drained, link, until)
            return
        link.close("left")

"""Connections to collectors over UDP, TCP and TLS.

Each transport owns one socket and notifies the export buffer when the connection is opened, writes
data or is lost. A transport never blocks, accepts only whole messages, and does not interpret them.
"""

import contextlib
import errno
import socket
import struct
import termios
from fcntl import ioctl
from typing import Protocol

from corkgauge.eventloop.connection import StreamConnection
from corkgauge.eventloop.dial import dial
from corkgauge.eventloop.loop import READ, EventLoop
from corkgauge.eventloop.memory_budget import MemoryBudget
from corkgauge.eventloop.ring_buffer import RingBuffer
from corkgauge.flow_export.collector_peer import CollectorPeer
from corkgauge.flow_export.export_buffer import TICKS_PER_SECOND, ExportBuffer
from corkgauge.flow_export.tls import TlsMachine, TlsTarget

OUTWARD_BUFFER_BYTES = 131_072  # for messages of a stream that wait for the socket
DISCARD_BUFFER_BYTES = 4096  # for input from a collector, which is discarded
# For both ring buffers of a stream; under TLS they are larger (see `tls`).
STREAM_MEMORY_BYTES = 4 * OUTWARD_BUFFER_BYTES
DIAL_TIMEOUT_TICKS = 2 * TICKS_PER_SECOND  # times the peer's `timeout_factor`
CLOSE_TIMEOUT_TICKS = TICKS_PER_SECOND  # limit for writing the ring buffer of a closing stream
CLOSE_CHECK_TICKS = 50  # 5 ms between checks of the ring buffer of a closing stream


class Transport(Protocol):
    """A connection to a collector."""

    def send(self, data: bytes) -> bool:
        """Accept a whole message; returns False, with nothing accepted, if there is no room."""

    def report_progress(self) -> None:
        """Notify the export buffer of the number of bytes written."""

    def flush(self) -> None:
        """Write as much as the socket accepts without waiting, at shutdown."""

    def close(self) -> None:
        """Close the connection; the export buffer is not notified any more."""


class DatagramTransport:
    """A connected UDP socket; the next system call on the socket reports a received ICMP error."""

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
        """Wait for ICMP errors and discard all input; close the socket at the end."""
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
        """Send a datagram; returns False if the operating system did not accept it."""
        try:
            return self.sock.send(data) == len(data)
        except OSError as problem:
            if problem.errno not in (errno.EAGAIN, errno.ENOBUFS):
                # The export buffer is sending now: an immediate notification would drop the
                # session in use.
                self.event_loop.call_later(0, self._on_lost, problem.strerror or "error")
            return False

    def report_progress(self) -> None:
        """Do nothing: datagrams are confirmed after a fixed time."""

    def flush(self) -> None:
        """Do nothing: a datagram was sent at once or was not accepted."""

    def close(self) -> None:
        """Close the socket; if a task waits for the socket, that task closes it."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.sock.fileno() in self.event_loop.parked:
            self.event_loop.wake(self.sock.fileno())
        else:
            self.sock.close()


class DiscardingMachine:
    """A protocol machine that discards all input, as collectors send no messages."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.complete_frame_count = 0
        self.inward = RingBuffer(DISCARD_BUFFER_BYTES, budget)
        self.outward = RingBuffer(OUTWARD_BUFFER_BYTES, budget)

    def parse_input(self) -> str:
        """Discard the received bytes."""
        self.inward.drop(len(self.inward))
        return ""


class StreamTransport:
    """A TCP connection, with TLS if `tls` is given."""

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
        self.connection: StreamConnection | None = None
        self.is_closed = False
        self.message_bytes = 0  # of whole messages, before encryption

        # At the last check: unacknowledged bytes in the send queue of the operating system, and
        # bytes sent until then.
        self.send_queue_bytes = 0
        self.bytes_sent_at_check = 0
        event_loop.spawn(self._run)

    def _run(self) -> None:
        timeout_ticks = self.peer.timeout_factor * DIAL_TIMEOUT_TICKS
        sock, reason = dial(self.event_loop, self.address, timeout_ticks)
        if sock is None:
            self._on_lost(reason)
            return
        if self.is_closed:
            sock.close()
            return
        if self.tls is None:
            self.connection = StreamConnection(
                self.event_loop, sock, DiscardingMachine(self.budget), self
            )
            self.on_established()
        else:
            machine = TlsMachine(self, self.tls.context, self.tls.server_name, self.budget)
            self.connection = StreamConnection(self.event_loop, sock, machine, self)
            machine.parse_input()  # starts the handshake, as the client must
        self.connection.run()

    def _on_lost(self, reason: str) -> None:
        if not self.is_closed:
            self.is_closed = True
            unacknowledged = self._unacknowledged_bytes()
            self.export_buffer.on_lost(self.peer, reason, self.event_loop.now, unacknowledged)

    # Callbacks of the protocol machine and of the connection.

    def on_established(self) -> None:
        """Start the session: the collector is connected and, under TLS, authenticated."""
        if not self.is_closed:
            self.export_buffer.on_opened(self.peer, self.event_loop.now)

    def send_encrypted(self, data: bytes) -> None:
        """Send encrypted bytes of the TLS session."""
        assert self.connection is not None, (
            "expected a connection under the TLS session, found none"
        )
        self.connection.send(data)

    def on_output_drained(self) -> None:
        """Confirm all messages, as all output was written to the operating system."""
        if not self.is_closed:
            self.export_buffer.on_written(self.peer, self.message_bytes, self.event_loop.now)

    def on_closed(self, reason: str) -> None:
        """Handle the end of the connection."""
        self._on_lost(reason)

    # Interface of the export buffer.

    def send(self, data: bytes) -> bool:
        """Accept a whole message; returns False, with nothing accepted, if there is no room."""
        connection = self.connection
        if connection is None or connection.close_reason:
            return False
        is_accepted = connection.send(data) if self.tls is None else connection.machine.write(data)
        if is_accepted:
            self.message_bytes += len(data)
        return bool(is_accepted)

    def report_progress(self) -> None:
        """Notify the buffer of the bytes written, and store the length of the send queue.

        Under TLS, the buffer is not notified here: only `on_output_drained` confirms messages.
        Bytes in the send queue of the operating system may be lost if the connection breaks.
        """
        connection = self.connection
        if connection is None or connection.close_reason:
            return
        if self.tls is None:
            self.export_buffer.on_written(self.peer, connection.bytes_sent, self.event_loop.now)
        with contextlib.suppress(OSError):
            answer = ioctl(connection.fd, termios.TIOCOUTQ, b"\0" * 4)
            self.send_queue_bytes = struct.unpack("i", answer)[0]
            self.bytes_sent_at_check = connection.bytes_sent

    def flush(self) -> None:
        """Write as much as the socket accepts without waiting, at shutdown."""
        if self.connection is not None and not self.connection.close_reason:
            self.connection.flush()
            self.report_progress()

    def _unacknowledged_bytes(self) -> int:
        """Return an upper bound: the send queue at the last check and all bytes sent since."""
        if self.connection is None:
            return 0
        return self.send_queue_bytes + self.connection.bytes_sent - self.bytes_sent_at_check

    def close(self) -> None:
        """Close once the ring buffer is empty or after a timeout, so as not to lose its content."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.connection is not None:
            deadline = self.event_loop.now + CLOSE_TIMEOUT_TICKS
            self.event_loop.call_later(1, self._close_when_drained, self.connection, deadline)

    def _close_when_drained(self, connection: StreamConnection, deadline: int) -> None:
        if (
            len(connection.machine.outward)
            and not connection.close_reason
            and self.event_loop.now < deadline
        ):
            self.event_loop.call_later(
                CLOSE_CHECK_TICKS, self._close_when_drained, connection, deadline
            )
            return
        connection.close("left")

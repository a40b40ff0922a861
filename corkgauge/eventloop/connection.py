"""Stream connections: move bytes between a socket, two ring buffers and a protocol state machine.

A connection does not interpret the bytes, never blocks the event loop, and raises no exception out
of its task: any failure closes this connection, and its owner is notified once. All times are
ticks, tenths of a millisecond.
"""

import contextlib
import socket
from typing import Any, Protocol

from corkgauge.eventloop.arrival import ArrivalTime, UnreadInput
from corkgauge.eventloop.dismissal import Dismissal
from corkgauge.eventloop.frame_time_limit import FrameTimeLimit
from corkgauge.eventloop.hidden_end import HiddenEnd
from corkgauge.eventloop.lingering import RETRYABLE_ERRNOS, linger
from corkgauge.eventloop.loop import BROKEN, GONE, READ, WRITE, EventLoop
from corkgauge.eventloop.ring_buffer import RingBuffer

MAX_CONSECUTIVE_READS = 2  # reads of one task before other tasks run
MAX_READ_BYTES = 16_384  # size limit of one read
# No further read follows once a task has taken this time: all other tasks wait meanwhile.
MAX_READING_TICKS = 50
# Longest time for which a client's frame waits for memory; then it is refused. A request that has
# expired meanwhile still gets that answer within the half second that the platform allows.
MAX_MEMORY_WAIT_TICKS = 5_000
LINGER_TICKS = 10_000  # time that a rejected peer has for reading the reason
# Time for which input that the peer sent before it noticed the close is still read and discarded.
IN_TRANSIT_TICKS = 500
MAX_READS_PER_CHECK = 8  # bounds a check of whether a peer that writes without pause is connected
NEVER = 2**62  # a time in ticks that no clock reaches


class ProtocolMachine(Protocol):
    """Interface of the state machine that parses the protocol of a connection."""

    inward: RingBuffer
    outward: RingBuffer
    complete_frame_count: int  # frames parsed so far

    def parse_input(self) -> str:
        """Parse the complete frames in `inward`, and reserve room for an incomplete one.

        Returns the reason for which the connection must be closed, or an empty string. The machine
        of a client's connection also has `discard_frame()`, which gives up the incomplete frame.
        """
        ...


class StreamConnection:
    """One connected socket.

    The owner's `on_output_drained()` is called when all queued output has been written, and its
    `on_closed(reason)` once, at the end. `frame_timeout_ticks` limits the time for receiving one
    frame (0: no limit), or for each `frame_progress_bytes` of it (0: for all of it). The limit runs
    from the first byte of the frame; the limit of the first frame from a client (`peer_is_client`)
    runs from the start of the connection. It is the peer's time alone: it does not run while the
    connection is not read for lack of memory, and does not end while input is unread. A client is
    informed why it is rejected: the owner's `on_connection_rejected(reason)` is called first and
    may send the reason. A client may also be dismissed, that is, rejected once it has its answers:
    the owner's `on_dismissed()` is called at once. `is_answered()` tells whether the owner of a
    client's connection has queued all answers.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        sock: socket.socket,
        machine: ProtocolMachine,
        owner: Any,
        frame_timeout_ticks: int = 0,
        peer_is_client: bool = False,
        frame_progress_bytes: int = 0,
    ) -> None:
        sock.setblocking(False)
        if sock.family in (socket.AF_INET, socket.AF_INET6):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.event_loop = event_loop
        self.sock = sock
        self.fd = sock.fileno()
        # Typed as Any because owners call further methods of their machines through it.
        self.machine: Any = machine
        self.owner = owner

        # State of the connection.
        self.close_reason = ""  # empty while the connection is open
        self.dismissal: Dismissal | None = None
        self.is_lingering = False  # the peer still has time for reading the output
        self.linger_ticks = LINGER_TICKS
        self.is_parsing = False  # the machine is running and may call the owner
        self.is_write_blocked = False  # the send buffer of the socket is full
        self.is_flush_scheduled = False  # `flush` is one of the loop's deferred callbacks

        # Time limit for one frame.
        self.has_frame_limit = frame_timeout_ticks > 0
        self.frame_limit = FrameTimeLimit(frame_timeout_ticks, event_loop.now, frame_progress_bytes)
        self.peer_is_client = peer_is_client
        self.paused_since = NEVER  # tick since which no input is read for lack of memory
        self.unread_input = UnreadInput(event_loop, sock)
        self.hidden_end = HiddenEnd(event_loop, sock)
        self.input_drained_at = NEVER  # tick of the last check that found no unread input

        # Byte counts of the connection, and the times of its last read and write.
        self.bytes_queued = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.last_read_at = event_loop.now
        self.last_written_at = event_loop.now

    def run(self) -> None:
        """Serve the connection until it is closed; this is its task in the event loop."""
        try:
            while not self.close_reason:
                self._run_once()
                self._close_if_dismissed()
            if self.is_lingering:
                linger(self)
        except Exception as problem:
            self.close_reason = f"{type(problem).__name__}: {problem}"
            self.event_loop.on_exception()
        self.fd = -1
        self.sock.close()
        self.owner.on_closed(self.close_reason)
        self.machine.inward.close()
        self.machine.outward.close()
        # Garbage collection is off: the reference cycles would keep thousands of short connections.
        self.owner = None
        self.machine.owner = None

    def _run_once(self) -> None:
        """Wait for the next events of the socket and handle them."""
        if not self.machine.inward.free_bytes:
            self._make_room()
            if self.close_reason:
                return
        events = self.event_loop.wait(self.fd, self._event_mask(), self._next_deadline())
        if events & WRITE:
            self.flush()
        if self.peer_is_client and events & GONE and not self.close_reason:
            # Reading would not detect that the client has closed while no input is read for lack of
            # room, or while much input is unread. The unread input of a closed client is useless.
            self.close_reason = "closed"
        if events & (READ | BROKEN) and not self.close_reason:
            self._read(bool(events & BROKEN))
        if not self.close_reason and self._is_frame_overdue():
            self._end_overdue_frame()

    def _next_deadline(self) -> int | None:
        """Return the tick at which the connection acts without an event; None if there is none."""
        if self.dismissal is not None:
            return self.dismissal.deadline
        if self.paused_since != NEVER:
            return self.paused_since + MAX_MEMORY_WAIT_TICKS if self.peer_is_client else None
        if self._is_mid_frame():
            return self.frame_limit.deadline
        return None

    def _is_mid_frame(self) -> bool:
        """Return whether the time limit for receiving one frame is running."""
        return self.has_frame_limit and (
            self.has_partial_frame()
            or (self.peer_is_client and not self.machine.complete_frame_count)
        )

    def has_partial_frame(self) -> bool:
        """Return whether part of a frame has been read."""
        ring = self.machine.inward
        return len(ring) > 0 or ring.discard_bytes_left > 0

    def _is_frame_overdue(self) -> bool:
        return (
            self.paused_since == NEVER
            and self._is_mid_frame()
            and self.event_loop.now >= self.frame_limit.deadline
        )

    def _end_overdue_frame(self) -> None:
        """Reject the peer, or read on if more of its frame has arrived and was not read yet."""
        if self.has_unread_input():
            self._read(False)
            return
        # A frame that arrives byte by byte or never would occupy memory and a file descriptor.
        self.reject("a frame that does not end" if self.has_partial_frame() else "nothing said")

    def has_unread_input(self) -> bool:
        """Return whether the socket holds input that this connection has not read yet."""
        (events,) = self.event_loop.poll_now(self.fd)
        return bool(events & READ)

    def _make_room(self) -> None:
        """Find room for the rest of the frame that fills the input buffer, or pause reading.

        A client's frame that has waited too long for memory is discarded.
        """
        ring = self.machine.inward
        now = self.event_loop.now
        if self.paused_since == NEVER:
            self.paused_since = now
        self._parse_input()
        if self.close_reason:
            return
        is_wait_over = self.dismissal is not None or (
            now >= self.paused_since + MAX_MEMORY_WAIT_TICKS
        )
        if not ring.free_bytes and self.peer_is_client and is_wait_over:
            self.machine.discard_frame()
        if not ring.free_bytes:
            ring.notify_when_free(lambda: self.event_loop.wake(self.fd))
            return
        ring.stop_waiting()
        # While this program did not read, the time limit for the frame did not run.
        self.frame_limit.extend(now - self.paused_since)
        self.paused_since = NEVER
        self.unread_input.on_resumed()
        if self.peer_is_client and not self.owner.is_answered():
            self.hidden_end.on_resumed(self.bytes_received)

    def is_peer_connected(self) -> bool:
        """Return whether the peer is still connected, by the state of the socket now.

        Pending input is read and parsed first, as it may change what the owner is about to do for
        the peer. Must not be called from a callback of this connection.
        """
        for _ in range(MAX_READS_PER_CHECK):
            if self.close_reason or self.is_parsing:
                break
            (events,) = self.event_loop.poll_now(self.fd)
            self.input_drained_at = NEVER if events & READ else self.event_loop.now
            if events & (GONE | BROKEN):
                self.close("closed")
            elif events & READ and self.machine.inward.free_bytes:
                self._read(False)
                if self.close_reason:  # the parked task has to run to close the socket
                    self.event_loop.wake(self.fd)
            else:
                break
        return not self.close_reason

    def may_hide_end(self) -> bool:
        """Return whether the peer may have closed behind so much input that its end is unseen.

        The kernel reports an end only once all input before it has arrived, and a full receive
        buffer keeps that back at the peer.
        """
        if self.close_reason:
            return False
        # A check in this tick has seen no unread input; asking the kernel again costs a call.
        is_drained = self.input_drained_at == self.event_loop.now
        if is_drained and not self.hidden_end.is_suspected:
            return False
        return self.hidden_end.is_possible(self.bytes_received)

    def _parse_input(self) -> None:
        """Run the machine on the input; each complete frame restarts the time limit."""
        count_before = self.machine.complete_frame_count
        self.is_parsing = True
        try:
            reason = self.machine.parse_input()
            if reason:
                self.reject(reason)
        finally:
            self.is_parsing = False
        if count_before != self.machine.complete_frame_count:
            self.frame_limit.restart(self.event_loop.now, self.bytes_received)

    def _event_mask(self) -> int:
        return (
            (READ if self.machine.inward.free_bytes else 0)
            | (WRITE if self.is_write_blocked else 0)
            | (GONE if self.peer_is_client else 0)
        )

    def _read(self, is_broken: bool) -> None:
        """Read the available input, in a few reads at most, and pass it to the machine."""
        ring = self.machine.inward
        self.unread_input.before_read()
        for _ in range(MAX_CONSECUTIVE_READS):
            free_space = ring.writable_view()[:MAX_READ_BYTES]
            if not len(free_space):
                if is_broken:  # no more input can be read, and poll would return at once forever
                    self.close_reason = "broken"
                return
            try:
                size = self.sock.recv_into(free_space)
            except OSError as problem:
                self.unread_input.is_drained = True
                if problem.errno not in RETRYABLE_ERRNOS:
                    self.close_reason = problem.strerror or "error"
                return
            if not size:
                self.close_reason = "closed"
                return
            self.last_read_at = self.event_loop.now
            self.unread_input.is_drained = size < len(free_space)
            self.bytes_received += size
            if not self._is_mid_frame():
                self.frame_limit.restart(self.event_loop.now, self.bytes_received)
            else:
                self.frame_limit.on_bytes_received(self.event_loop.now, self.bytes_received)
            ring.mark_written(size)
            self._parse_input()
            if self.close_reason or self.unread_input.is_drained:
                return
            if self.event_loop.clock() > self.last_read_at + MAX_READING_TICKS:
                return

    def arrival_time(self) -> ArrivalTime:
        """Return when the frame that has been read last may have arrived whole."""
        return self.unread_input.arrival_time(is_end_of_input=not len(self.machine.inward))

    def send(self, *buffers: bytes) -> bool:
        """Queue all buffers for writing.

        Returns False and queues nothing if there is no room or the connection is closed.
        """
        if not self._queue(buffers):
            return False
        # One write after the current task covers all output that the task queued: each system call
        # is expensive.
        if not (self.is_flush_scheduled or self.is_write_blocked):
            self.is_flush_scheduled = True
            self.event_loop.deferred_callbacks.append(self.flush)
        return True

    def _queue(self, buffers: tuple[bytes, ...]) -> bool:
        ring = self.machine.outward
        size = sum(map(len, buffers))
        if self.close_reason or not ring.reserve(len(ring) + size):
            return False
        for buffer in buffers:
            ring.put(buffer)
        self.bytes_queued += size
        return True

    def flush(self) -> None:
        """Write as much of the queued output as the socket accepts."""
        ring = self.machine.outward
        self.is_flush_scheduled = False
        self.is_write_blocked = False
        if self.close_reason:
            return
        try:
            while len(ring):
                size = self.sock.send(ring.readable_view())
                self.bytes_sent += size
                self.last_written_at = self.event_loop.now
                ring.drop(size)
        except OSError as problem:
            if problem.errno not in RETRYABLE_ERRNOS:
                self.close(problem.strerror or "error")
                return
            self.is_write_blocked = True
        self.event_loop.set_event_mask(self.fd, self._event_mask())
        if not len(ring):
            self.owner.on_output_drained()
            if self.dismissal is not None:
                self.event_loop.wake(self.fd)

    def send_now(self, *buffers: bytes) -> bool:
        """Queue all buffers and write them at once, after the output queued before.

        Returns False if no byte of them was written; they are then removed and will not be written.
        """
        if len(self.machine.outward):
            self.flush()
        if self.is_write_blocked or not self._queue(buffers):
            return False
        size = sum(map(len, buffers))
        queued_before = self.bytes_queued - size
        self.flush()
        if self.bytes_sent > queued_before:
            return True
        if not self.close_reason:
            self.machine.outward.drop_last(size)
            self.bytes_queued = queued_before
        return False

    def close(self, reason: str) -> None:
        """Close the connection; a reason given before is kept."""
        self.close_reason = self.close_reason or reason
        self.event_loop.wake(self.fd)

    def reject(self, reason: str) -> None:
        """Close the connection because the peer violated the protocol or a time limit.

        A client receives the reason first.
        """
        if self.peer_is_client and not self.close_reason:
            self.is_lingering = True
            self.owner.on_connection_rejected(reason)
        self.close(reason)

    def dismiss(self, reason: str) -> None:
        """Close a client's connection once all that the client has sent is answered.

        Until then its frames are still passed to the owner, which gives each request an answer.
        """
        if self.close_reason or self.dismissal is not None:
            return
        self.dismissal = Dismissal(reason, self)
        self.owner.on_dismissed()
        self.event_loop.wake(self.fd)

    def _close_if_dismissed(self) -> None:
        if self.dismissal is not None and not self.close_reason and self.dismissal.is_over(self):
            self.reject(self.dismissal.reason)

    def close_if_input_read(self, reason: str) -> bool:
        """Close the connection, unless input of a peer that may send more is still unread.

        Returns False, and does nothing, in that case and if the connection is closed already. A
        connection whose peer has shut down writing is closed even with unread input.
        """
        (events,) = self.event_loop.poll_now(self.fd)
        if self.close_reason or (events & READ and not events & GONE):
            return False
        self.is_lingering = True
        self.linger_ticks = IN_TRANSIT_TICKS
        self.close(reason)
        # More input could arrive before the task runs; a client that sees the shutdown sends none.
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
        return True

    def stop_lingering(self) -> None:
        """End the time that the peer has for reading the last output."""
        self.is_lingering = False
        self.event_loop.wake(self.fd)

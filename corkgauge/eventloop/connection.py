"""Stream connection: the driver between a socket, its two ring buffers and its protocol's machine.

Does not look at what bytes mean, never blocks, and lets no exception out: whatever breaks here ends
this connection, and its owner is notified once. Times are ticks, tenths of a millisecond.
"""

import contextlib
import errno
import socket
from typing import Any, Protocol

from corkgauge.eventloop.loop import BROKEN, GONE, READ, WRITE, EventLoop
from corkgauge.eventloop.ring_buffer import RingBuffer

MAX_CONSECUTIVE_READS = 2  # before other tasks have their turn
MAX_READ_BYTES = 16_384  # of one read
MEMORY_RETRY_TICKS = 500  # until a connection that found no room in memory asks again
LINGER_TICKS = 10_000  # that a peer which is turned out has for reading why
IN_TRANSIT_TICKS = 500  # for input that the peer wrote before it saw our end; it is dropped
MAX_READS_PER_CHECK = 8  # at a peer that writes without end
DISCARD_BUFFER = bytearray(65_536)  # input of all rejected peers is read into it
NEVER = 2**62
RETRYABLE_ERRNOS = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)


class ProtocolMachine(Protocol):
    """What a connection needs of its protocol's machine."""

    inward: RingBuffer
    outward: RingBuffer
    complete_frame_count: int  # complete frames so far

    def parse_input(self) -> str:
        """Take the complete frames out of `inward`; why the peer must go, or an empty string."""
        ...


class StreamConnection:
    """One connected socket, until its end.

    The owner's `drained()` is called when all that was put has left, `ended(why)` at the end. Where
    a frame has a time limit (`stuck` ticks; 0: none), that begins with the frame's first byte; for
    the first frame of a peer that `greets`, with the connection. A peer that `greets` is told why
    it is turned out: the owner's `parting(why)` is called first.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        sock: socket.socket,
        machine: ProtocolMachine,
        owner: Any,
        frame_timeout_ticks: int = 0,
        peer_is_client: bool = False,
    ) -> None:
        sock.setblocking(False)
        if sock.family in (socket.AF_INET, socket.AF_INET6):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.event_loop = event_loop
        self.sock = sock
        self.fd = sock.fileno()
        # The owner uses its own machine's further methods through here.
        self.machine: Any = machine
        self.owner = owner

        # State.
        self.close_reason = ""  # the reason of the end; empty while the connection is open
        self.is_lingering = False  # the peer is turned out, and has time for reading why
        self.linger_ticks = LINGER_TICKS
        self.is_parsing = False  # the machine is at work, and calls the owner
        self.is_write_blocked = False  # the socket takes no more
        self.is_flush_scheduled = False  # a write is due at the end of this turn

        # Time limit of a frame.
        self.frame_timeout_ticks = frame_timeout_ticks
        self.peer_is_client = peer_is_client
        self.frame_timeout_since = event_loop.now

        # Bytes since it came up, and when the last of them were read and written.
        self.bytes_queued = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.last_read_at = event_loop.now
        self.last_written_at = event_loop.now

    def run(self) -> None:
        """Be the task of this connection; it ends with it."""
        try:
            while not self.close_reason:
                self._run_once()
            if self.is_lingering:
                self._linger()
        except Exception as problem:
            self.close_reason = f"{type(problem).__name__}: {problem}"
            self.event_loop.on_exception()
        self.fd = -1
        self.sock.close()
        self.owner.on_closed(self.close_reason)
        self.machine.inward.close()
        self.machine.outward.close()
        # Nothing collects what points to each other: thousands of short connections would stay.
        self.owner = None
        self.machine.owner = None

    def _run_once(self) -> None:
        """Wait for the next events of the socket and handle them."""
        ring = self.machine.inward
        has_room = bool(ring.free_bytes)
        until = None if has_room else self.event_loop.now + MEMORY_RETRY_TICKS
        if self._is_mid_frame():
            until = min(until or NEVER, self.frame_timeout_since + self.frame_timeout_ticks)
        events = self.event_loop.wait(self.fd, self._event_mask(), until)
        if events & WRITE:
            self.flush()
        if self.peer_is_client and events & GONE and not self.close_reason:
            # A client that has gone while its input is paused, or behind much that lies unread,
            # would not be seen to go. What it left unread is for nobody.
            self.close_reason = "closed"
        if not has_room and not self.close_reason:
            self._parse_input()
        if events & (READ | BROKEN) and not self.close_reason:
            self._read(bool(events & BROKEN))
        if (
            not self.close_reason
            and self._is_mid_frame()
            and self.event_loop.now >= self.frame_timeout_since + self.frame_timeout_ticks
        ):
            # Frames that never end, byte by byte or not at all, would hold memory and a descriptor.
            self.reject("a frame that does not end" if len(ring) else "nothing said")

    def _is_mid_frame(self) -> bool:
        """Whether a frame that has a time limit has begun and is not complete."""
        return bool(self.frame_timeout_ticks) and (
            len(self.machine.inward) > 0
            or (self.peer_is_client and not self.machine.complete_frame_count)
        )

    def is_peer_connected(self) -> bool:
        """Whether the peer is still there, by what the socket tells at this moment.

        What it has written by now is read first, as its owner may be about to act for it.
        Must not be called from within what this connection calls.
        """
        for _ in range(MAX_READS_PER_CHECK):
            if self.close_reason or self.is_parsing:
                break
            (events,) = self.event_loop.poll_now(self.fd)
            if events & (GONE | BROKEN):
                self.close("closed")
            elif events & READ and self.machine.inward.free_bytes:
                self._read(False)
                if self.close_reason:  # its task is parked, and has to end it
                    self.event_loop.wake(self.fd)
            else:
                break
        return not self.close_reason

    def _parse_input(self) -> None:
        """Let the machine take what came; a complete frame begins a new time limit."""
        count_before = self.machine.complete_frame_count
        self.is_parsing = True
        try:
            why = self.machine.parse_input()
            if why:
                self.reject(why)
        finally:
            self.is_parsing = False
        if count_before != self.machine.complete_frame_count:
            self.frame_timeout_since = self.event_loop.now

    def _event_mask(self) -> int:
        return (
            (READ if self.machine.inward.free_bytes else 0)
            | (WRITE if self.is_write_blocked else 0)
            | (GONE if self.peer_is_client else 0)
        )

    def _read(self, broken: bool) -> None:
        """Read what is there, a few times at most, and hand it to the machine."""
        ring = self.machine.inward
        for _ in range(MAX_CONSECUTIVE_READS):
            gap = ring.writable_view()[:MAX_READ_BYTES]
            if not len(gap):
                if broken:  # nothing more can be read, and poll would come back at once for ever
                    self.close_reason = "broken"
                return
            try:
                size = self.sock.recv_into(gap)
            except OSError as problem:
                if problem.errno not in RETRYABLE_ERRNOS:
                    self.close_reason = problem.strerror or "error"
                return
            if not size:
                self.close_reason = "closed"
                return
            self.last_read_at = self.event_loop.now
            self.bytes_received += size
            if not len(ring) and (self.machine.complete_frame_count or not self.peer_is_client):
                self.frame_timeout_since = self.event_loop.now
            ring.mark_written(size)
            self._parse_input()
            if self.close_reason or size < len(gap):
                return

    def send(self, *pieces: bytes) -> bool:
        """Put all pieces, to be written soon; False, with nothing put, where there is no room."""
        if not self._queue(pieces):
            return False
        # Written with what else this turn puts, as each write is a costly call.
        if not (self.is_flush_scheduled or self.is_write_blocked):
            self.is_flush_scheduled = True
            self.event_loop.end_of_turn_callbacks.append(self.flush)
        return True

    def _queue(self, pieces: tuple[bytes, ...]) -> bool:
        ring = self.machine.outward
        size = sum(map(len, pieces))
        if self.close_reason or not ring.reserve(len(ring) + size):
            return False
        for piece in pieces:
            ring.put(piece)
        self.bytes_queued += size
        return True

    def flush(self) -> None:
        """Write what the socket takes."""
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

    def send_now(self, *pieces: bytes) -> bool:
        """Put all pieces and write them at once, behind what was put before.

        False where not one byte of them could leave; then none of them ever does.
        """
        if len(self.machine.outward):
            self.flush()
        if self.is_write_blocked or not self._queue(pieces):
            return False
        size = sum(map(len, pieces))
        begin = self.bytes_queued - size
        self.flush()
        if self.bytes_sent > begin:
            return True
        if not self.close_reason:
            self.machine.outward.drop_last(size)
            self.bytes_queued = begin
        return False

    def close(self, why: str) -> None:
        """Close, for this reason; the first one given stays."""
        self.close_reason = self.close_reason or why
        self.event_loop.wake(self.fd)

    def reject(self, why: str) -> None:
        """Turn the peer out; one that greets is told why first."""
        if self.peer_is_client and not self.close_reason:
            self.is_lingering = True
            self.owner.on_rejected(why)
        self.close(why)

    def close_if_input_read(self, why: str) -> bool:
        """Close of our own accord; False, and nothing done, where something came that is unread."""
        (events,) = self.event_loop.poll_now(self.fd)
        if self.close_reason or (events & READ and not events & GONE):
            return False
        self.is_lingering = True
        self.linger_ticks = IN_TRANSIT_TICKS
        self.close(why)
        # Until its task runs more could come; a client writes that only where it sees no end.
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
        return True

    def stop_lingering(self) -> None:
        """Give no more time for the farewell."""
        self.is_lingering = False
        self.event_loop.wake(self.fd)

    def _linger(self) -> None:
        """Show the peer the end, and drop what it still sends, for a while.

        A close with unread input is a reset, and takes what was written last with it.
        """
        ring = self.machine.outward
        until = self.event_loop.now + self.linger_ticks
        is_shut = False
        while self.is_lingering and self.event_loop.now < until:
            try:
                while len(ring):
                    size = self.sock.send(ring.readable_view())
                    self.bytes_sent += size
                    ring.drop(size)
                if not is_shut:
                    self.sock.shutdown(socket.SHUT_WR)
                    is_shut = True
                if not self.sock.recv_into(DISCARD_BUFFER):
                    return
                # A peer that sends without end would keep the loop: the others have their turn.
                self.event_loop.sleep(1)
            except OSError as problem:
                if problem.errno not in RETRYABLE_ERRNOS:
                    return
                mask = READ | WRITE if len(ring) else READ
                self.event_loop.wait(self.fd, mask, until)


def dial(
    event_loop: EventLoop, address: tuple[str, int], timeout_ticks: int
) -> tuple[socket.socket | None, str]:
    """Connect to an address within `timeout_ticks`, from within a task.

    Returns the socket and an empty string, or None and the name of the error, as `ECONNREFUSED`.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = None
    try:  # the making of the socket too, which fails where no descriptor is left
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        code = sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            if not event_loop.wait(sock.fileno(), WRITE, event_loop.now + timeout_ticks):
                code = errno.ETIMEDOUT
            else:
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except OSError as problem:
        code = problem.errno or errno.EIO
    if not code:
        return sock, ""
    if sock is not None:
        sock.close()
    return None, errno.errorcode.get(code, str(code))

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

MAX_READS_IN_A_ROW = 2  # before other tasks have their turn
MAX_READ_BYTES = 16_384  # of one read
MEMORY_RETRY_TICKS = 500  # until a connection that found no room in memory asks again
FAREWELL_TICKS = 10_000  # that a peer which is turned out has for reading why
CROSSING = 500  # that what a peer had written before it saw our end may take; it is dropped
MAX_READS_OF_A_LOOK = 8  # at a peer that writes without end
DISCARD = bytearray(65_536)  # where what peers that are turned out still send goes, of all of them
NEVER = 2**62
RETRY = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)


class ProtocolMachine(Protocol):
    """What a connection needs of its protocol's machine."""

    inward: RingBuffer
    outward: RingBuffer
    whole: int  # complete frames so far

    def advance(self) -> str:
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
        stuck: int = 0,
        greets: bool = False,
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
        self.why = ""  # the reason of the end; empty while the connection is open
        self.parting = False  # the peer is turned out, and has time for reading why
        self.farewell = FAREWELL_TICKS
        self.advancing = False  # the machine is at work, and calls the owner
        self.blocked = False  # the socket takes no more
        self.unsent = False  # a write is due at the end of this turn

        # Time limit of a frame.
        self.stuck = stuck
        self.greets = greets
        self.since = event_loop.now

        # Bytes since it came up, and when the last of them were read and written.
        self.put = 0
        self.sent = 0
        self.got = 0
        self.heard = event_loop.now
        self.wrote = event_loop.now

    def run(self) -> None:
        """Be the task of this connection; it ends with it."""
        try:
            while not self.why:
                self._run_once()
            if self.parting:
                self._say_farewell()
        except Exception as problem:
            self.why = f"{type(problem).__name__}: {problem}"
            self.event_loop.troubled()
        self.fd = -1
        self.sock.close()
        self.owner.ended(self.why)
        self.machine.inward.close()
        self.machine.outward.close()
        # Nothing collects what points to each other: thousands of short connections would stay.
        self.owner = None
        self.machine.owner = None

    def _run_once(self) -> None:
        """Wait for the next events of the socket and handle them."""
        ring = self.machine.inward
        has_room = bool(ring.free)
        until = None if has_room else self.event_loop.now + MEMORY_RETRY_TICKS
        if self._is_mid_frame():
            until = min(until or NEVER, self.since + self.stuck)
        events = self.event_loop.wait(self.fd, self._event_mask(), until)
        if events & WRITE:
            self.flush()
        if self.greets and events & GONE and not self.why:
            # A client that has gone while its input is paused, or behind much that lies unread,
            # would not be seen to go. What it left unread is for nobody.
            self.why = "closed"
        if not has_room and not self.why:
            self._advance()
        if events & (READ | BROKEN) and not self.why:
            self._read(bool(events & BROKEN))
        if not self.why and self._is_mid_frame() and self.event_loop.now >= self.since + self.stuck:
            # Frames that never end, byte by byte or not at all, would hold memory and a descriptor.
            self.part("a frame that does not end" if len(ring) else "nothing said")

    def _is_mid_frame(self) -> bool:
        """Whether a frame that has a time limit has begun and is not complete."""
        return bool(self.stuck) and (
            len(self.machine.inward) > 0 or (self.greets and not self.machine.whole)
        )

    def look(self) -> bool:
        """Whether the peer is still there, by what the socket tells at this moment.

        What it has written by now is read first, as its owner may be about to act for it.
        Must not be called from within what this connection calls.
        """
        for _ in range(MAX_READS_OF_A_LOOK):
            if self.why or self.advancing:
                break
            (events,) = self.event_loop.look(self.fd)
            if events & (GONE | BROKEN):
                self.end("closed")
            elif events & READ and self.machine.inward.free:
                self._read(False)
                if self.why:  # its task is parked, and has to end it
                    self.event_loop.wake(self.fd)
            else:
                break
        return not self.why

    def _advance(self) -> None:
        """Let the machine take what came; a complete frame begins a new time limit."""
        whole_before = self.machine.whole
        self.advancing = True
        try:
            why = self.machine.advance()
            if why:
                self.part(why)
        finally:
            self.advancing = False
        if whole_before != self.machine.whole:
            self.since = self.event_loop.now

    def _event_mask(self) -> int:
        return (
            (READ if self.machine.inward.free else 0)
            | (WRITE if self.blocked else 0)
            | (GONE if self.greets else 0)
        )

    def _read(self, broken: bool) -> None:
        """Read what is there, a few times at most, and hand it to the machine."""
        ring = self.machine.inward
        for _ in range(MAX_READS_IN_A_ROW):
            gap = ring.gap()[:MAX_READ_BYTES]
            if not len(gap):
                if broken:  # nothing more can be read, and poll would come back at once for ever
                    self.why = "broken"
                return
            try:
                size = self.sock.recv_into(gap)
            except OSError as problem:
                if problem.errno not in RETRY:
                    self.why = problem.strerror or "error"
                return
            if not size:
                self.why = "closed"
                return
            self.heard = self.event_loop.now
            self.got += size
            if not len(ring) and (self.machine.whole or not self.greets):
                self.since = self.event_loop.now
            ring.filled(size)
            self._advance()
            if self.why or size < len(gap):
                return

    def send(self, *pieces: bytes) -> bool:
        """Put all pieces, to be written soon; False, with nothing put, where there is no room."""
        if not self._put(pieces):
            return False
        # Written with what else this turn puts, as each write is a costly call.
        if not (self.unsent or self.blocked):
            self.unsent = True
            self.event_loop.unsent.append(self.flush)
        return True

    def _put(self, pieces: tuple[bytes, ...]) -> bool:
        ring = self.machine.outward
        size = sum(map(len, pieces))
        if self.why or not ring.reserve(len(ring) + size):
            return False
        for piece in pieces:
            ring.put(piece)
        self.put += size
        return True

    def flush(self) -> None:
        """Write what the socket takes."""
        ring = self.machine.outward
        self.unsent = False
        self.blocked = False
        if self.why:
            return
        try:
            while len(ring):
                size = self.sock.send(ring.stretch())
                self.sent += size
                self.wrote = self.event_loop.now
                ring.drop(size)
        except OSError as problem:
            if problem.errno not in RETRY:
                self.end(problem.strerror or "error")
                return
            self.blocked = True
        self.event_loop.interest(self.fd, self._event_mask())
        if not len(ring):
            self.owner.drained()

    def send_now(self, *pieces: bytes) -> bool:
        """Put all pieces and write them at once, behind what was put before.

        False where not one byte of them could leave; then none of them ever does.
        """
        if len(self.machine.outward):
            self.flush()
        if self.blocked or not self._put(pieces):
            return False
        size = sum(map(len, pieces))
        begin = self.put - size
        self.flush()
        if self.sent > begin:
            return True
        if not self.why:
            self.machine.outward.cut(size)
            self.put = begin
        return False

    def end(self, why: str) -> None:
        """Close, for this reason; the first one given stays."""
        self.why = self.why or why
        self.event_loop.wake(self.fd)

    def part(self, why: str) -> None:
        """Turn the peer out; one that greets is told why first."""
        if self.greets and not self.why:
            self.parting = True
            self.owner.parting(why)
        self.end(why)

    def give_way(self, why: str) -> bool:
        """Close of our own accord; False, and nothing done, where something came that is unread."""
        (events,) = self.event_loop.look(self.fd)
        if self.why or (events & READ and not events & GONE):
            return False
        self.parting = True
        self.farewell = CROSSING
        self.end(why)
        # Until its task runs more could come; a client writes that only where it sees no end.
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
        return True

    def cut(self) -> None:
        """Give no more time for the farewell."""
        self.parting = False
        self.event_loop.wake(self.fd)

    def _say_farewell(self) -> None:
        """Show the peer the end, and drop what it still sends, for a while.

        A close with unread input is a reset, and takes what was written last with it.
        """
        ring = self.machine.outward
        until = self.event_loop.now + self.farewell
        is_shut = False
        while self.parting and self.event_loop.now < until:
            try:
                while len(ring):
                    size = self.sock.send(ring.stretch())
                    self.sent += size
                    ring.drop(size)
                if not is_shut:
                    self.sock.shutdown(socket.SHUT_WR)
                    is_shut = True
                if not self.sock.recv_into(DISCARD):
                    return
                # A peer that sends without end would keep the loop: the others have their turn.
                self.event_loop.sleep(1)
            except OSError as problem:
                if problem.errno not in RETRY:
                    return
                mask = READ | WRITE if len(ring) else READ
                self.event_loop.wait(self.fd, mask, until)


def dial(
    event_loop: EventLoop, address: tuple[str, int], span: int
) -> tuple[socket.socket | None, str]:
    """Connect to an address within `span` ticks, from within a task.

    Returns the socket and an empty string, or None and the name of the error, as `ECONNREFUSED`.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = None
    try:  # the making of the socket too, which fails where no descriptor is left
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        code = sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            if not event_loop.wait(sock.fileno(), WRITE, event_loop.now + span):
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

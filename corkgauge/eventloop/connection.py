"""The thin driver between a socket, its two rings and its protocol's machine.

Owns one socket and its rings' life. Must never look at what bytes mean, never block, and never let an
exception out: all that breaks here ends this connection and is told to its owner, once.
"""

import errno
import socket
from typing import Any

from corkgauge.eventloop.loop import BROKEN, GONE, READ, WRITE, EventLoop

ROUNDS = 2  # reads in a row, before others have their turn
MOST_READ = 16_384  # bytes of one
STALLED = 500  # until a link that found no room in memory asks again
FAREWELL = 10_000  # that a peer which is turned out has for reading why
CROSSING = 500  # that what a peer had written before it saw our end may take; it is dropped
MOST_LOOK = 8  # reads of one look at a peer that writes without end
UNREAD = bytearray(65_536)  # where what it still sends goes, of all of them
NEVER = 2**62
RETRY = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)


class StreamConnection:
    """Calls its owner's `drained` when all that was put has left, and `ended(why)` at the end.

    Where a frame may take a time only (`stuck`), it begins with its first byte; the first one, where
    `greets`, with the connection. A peer that `greets` is told why it is turned out: `parting(why)` first.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        sock: socket.socket,
        machine: Any,
        owner: Any,
        stuck: int = 0,
        greets: bool = False,
    ) -> None:
        sock.setblocking(False)
        if sock.family in (socket.AF_INET, socket.AF_INET6):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.event_loop, self.sock, self.machine, self.owner = event_loop, sock, machine, owner
        self.fd, self.why, self.stuck = (
            sock.fileno(),
            "",
            stuck,
        )  # that one frame may take; 0: any time
        self.greets, self.parting, self.since = greets, False, event_loop.now
        self.farewell, self.advancing = FAREWELL, False
        self.put = self.sent = self.got = 0  # bytes, since it came up
        self.blocked = self.unsent = (
            False  # the socket takes no more; a write is due at the end of this turn
        )
        self.heard = self.wrote = event_loop.now

    def run(self) -> None:
        """The task of this connection; it ends with it."""
        try:
            while not self.why:
                self._once()
            if self.parting:
                self._farewell()
        except Exception as problem:
            self.why = f"{type(problem).__name__}: {problem}"
            self.event_loop.troubled()
        self.fd = -1
        self.sock.close()
        self.owner.ended(self.why)
        self.machine.inward.close()
        self.machine.outward.close()
        # Danger: nothing collects what points to each other; thousands of short connections would stay.
        self.owner = self.machine.owner = None

    def _once(self) -> None:
        ring = self.machine.inward
        room = bool(ring.free)
        until = None if room else self.event_loop.now + STALLED
        if self._unfinished():
            until = min(until or NEVER, self.since + self.stuck)
        events = self.event_loop.wait(self.fd, self._mask(), until)
        if events & WRITE:
            self.flush()
        if self.greets and events & GONE and not self.why:
            # Danger: a client that has gone while its input is paused, or behind much that lies unread, would
            # not be seen to go. What it left unread is for nobody.
            self.why = "closed"
        if not room and not self.why:
            self._advance()
        if events & (READ | BROKEN) and not self.why:
            self._read(bool(events & BROKEN))
        if not self.why and self._unfinished() and self.event_loop.now >= self.since + self.stuck:
            # Danger: frames that never end, byte by byte or not at all, would hold memory and a descriptor.
            self.part("a frame that does not end" if len(ring) else "nothing said")

    def _unfinished(self) -> bool:
        return bool(self.stuck) and (
            len(self.machine.inward) > 0 or (self.greets and not self.machine.whole)
        )

    def look(self) -> bool:
        """Is the peer still there? What it has written by now is read first, so an owner that is about to act for it
        knows. Never called from within what this link tells its owner."""
        for _ in range(MOST_LOOK):
            if self.why or self.advancing:
                break
            (events,) = self.event_loop.look(self.fd)
            if events & (GONE | BROKEN):
                self.end("closed")
            elif events & READ and self.machine.inward.free:
                self._read(False)
                if self.why:  # its task is parked, and ends it
                    self.event_loop.wake(self.fd)
            else:
                break
        return not self.why

    def _advance(self) -> None:
        whole, self.advancing = self.machine.whole, True
        try:
            if why := self.machine.advance():
                self.part(why)
        finally:
            self.advancing = False
        if whole != self.machine.whole:
            self.since = self.event_loop.now

    def _mask(self) -> int:
        return (
            (READ if self.machine.inward.free else 0)
            | (WRITE if self.blocked else 0)
            | (GONE if self.greets else 0)
        )

    def _read(self, broken: bool) -> None:
        ring = self.machine.inward
        for _ in range(ROUNDS):
            gap = ring.gap()[:MOST_READ]
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
            self.heard, self.got = self.event_loop.now, self.got + size
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
        if not (
            self.unsent or self.blocked
        ):  # written with what else this turn puts: a write costs much
            self.unsent = True
            self.event_loop.unsent.append(self.flush)
        return True

    def _put(self, pieces: tuple[bytes, ...]) -> bool:
        ring, size = self.machine.outward, sum(map(len, pieces))
        if self.why or not ring.reserve(len(ring) + size):
            return False
        for piece in pieces:
            ring.put(piece)
        self.put += size
        return True

    def flush(self) -> None:
        """Write what the socket takes."""
        ring, self.unsent, self.blocked = self.machine.outward, False, False
        if self.why:
            return
        try:
            while len(ring):
                size = self.sock.send(ring.stretch())
                self.sent, self.wrote = self.sent + size, self.event_loop.now
                ring.drop(size)
        except OSError as problem:
            if problem.errno not in RETRY:
                return self.end(problem.strerror or "error")
            self.blocked = True
        self.event_loop.interest(self.fd, self._mask())
        if not len(ring):
            self.owner.drained()

    def send_now(self, *pieces: bytes) -> bool:
        """Put all pieces and write them at once, behind what was put before; False where not one byte of them could
        leave, and then none of them ever does."""
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
        """Close, for this reason."""
        self.why = self.why or why
        self.event_loop.wake(self.fd)

    def part(self, why: str) -> None:
        """Turn the peer out; one that greets is told first."""
        if self.greets and not self.why:
            self.parting = True
            self.owner.parting(why)
        self.end(why)

    def give_way(self, why: str) -> bool:
        """Close of our own accord, unless something has come that was not read: then it stays."""
        (events,) = self.event_loop.look(self.fd)
        if self.why or events & READ and not events & GONE:
            return False
        self.parting, self.farewell = True, CROSSING
        self.end(why)
        try:  # Danger: until its task runs more could come, which a client writes only where it sees no end
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        return True

    def cut(self) -> None:
        """No more time for the farewell."""
        self.parting = False
        self.event_loop.wake(self.fd)

    def _farewell(self) -> None:
        """Danger: a close with unread input is a reset, and takes what was said last with it. So the peer is
        shown the end, and what it still sends is dropped, for a while."""
        ring, until, shut = self.machine.outward, self.event_loop.now + self.farewell, False
        while self.parting and self.event_loop.now < until:
            try:
                while len(ring):
                    size = self.sock.send(ring.stretch())
                    self.sent += size
                    ring.drop(size)
                if not shut:
                    self.sock.shutdown(socket.SHUT_WR)
                    shut = True
                if not self.sock.recv_into(UNREAD):
                    return
                self.event_loop.sleep(
                    1
                )  # Danger: one that sends without end; the others have their turn
            except OSError as problem:
                if problem.errno not in RETRY:
                    return
                self.event_loop.wait(self.fd, READ | (WRITE if len(ring) else 0), until)


def dial(
    event_loop: EventLoop, address: tuple[str, int], span: int
) -> tuple[socket.socket | None, str]:
    """A connected socket, or why not; only for tasks."""
    sock = None
    try:  # Danger: without a descriptor there is no socket either
        sock = socket.socket(
            socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM
        )
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

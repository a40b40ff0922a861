"""The door that clients come in by: the listener, who is let in, and when it is shut.

Owns the listening socket. Must never read a byte of a client, and never leave one at the door that the machine has
accepted before it was shut.
"""

import errno
import socket
from collections.abc import Callable
from typing import Any

from corkgauge.eventloop.loop import READ, EventLoop

BACKLOG = 4096
AT_ONCE = 64  # that are let in before others have their turn
BUSY = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Acceptor:
    """Listens at one address; `bar`, while it is true, keeps everybody waiting."""

    def __init__(
        self,
        event_loop: EventLoop,
        socket_host: Any,
        where: tuple[str, int],
        bar: Callable[[], bool] = lambda: False,
    ) -> None:
        """Raises OSError where the address cannot be had."""
        self.event_loop, self.socket_host, self.bar, self.open = event_loop, socket_host, bar, True
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind(where)
            self.sock.listen(BACKLOG)
        except OSError:
            self.sock.close()
            raise
        self.sock.setblocking(False)

    def run(self) -> None:
        """The task that lets clients in."""
        while self.open and self.bar():
            self.event_loop.sleep(100)
        while self.open:
            self.event_loop.wait(self.sock.fileno(), READ)
            for _ in range(AT_ONCE):
                while (
                    self.open
                    and len(self.socket_host.client_connections) >= self.socket_host.most_callers
                ):
                    self.event_loop.sleep(
                        1 if self.socket_host.make_room() else 50
                    )  # more wait at the door
                if not (self.open and self._let_in()):
                    break

    def _let_in(self) -> bool:
        """One client, if there is any and a descriptor for it."""
        try:
            sock, _ = self.sock.accept()
        except OSError as problem:
            if problem.errno in BUSY:
                self.socket_host.make_room()
                self.event_loop.sleep(50)
            return False
        try:
            self.socket_host.accepted(sock)
        except Exception:  # Danger: one bad connection would leave nobody at the door
            self.event_loop.troubled()
            sock.close()
        return True

    def shut(self) -> int:
        """Let in all that wait, then nobody any more; how many those were. Danger: what a client wrote to a connection
        that the machine has accepted is taken, whether or not we had looked at it."""
        if not self.open:
            return 0
        self.open, found = False, 0
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                break
            found += 1
            self.socket_host.accepted(sock)
        fd = self.sock.fileno()
        self.sock.close()
        self.event_loop.wake(fd)
        return found

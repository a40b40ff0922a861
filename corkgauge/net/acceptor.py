"""Accepts client connections, and closes the listening socket at shutdown.

Owns the listening socket. Reads no bytes from clients. At shutdown, accepts the connections that
the operating system has already established.
"""

import errno
import socket
from collections.abc import Callable
from typing import Any

from corkgauge.eventloop.loop import READ, EventLoop

BACKLOG = 4096
MAX_ACCEPTS_IN_A_ROW = 64  # before other tasks run
NO_CONNECTION = (errno.EAGAIN, errno.EWOULDBLOCK)
OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# Errors of one connection that Linux passes on when it is accepted (accept(2)); others may wait.
FAILED_CONNECTION = (
    errno.ECONNABORTED,
    errno.EHOSTDOWN,
    errno.EHOSTUNREACH,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.ENONET,
    errno.ENOPROTOOPT,
    errno.EOPNOTSUPP,
    errno.EPERM,
    errno.EPROTO,
)
BARRED_PAUSE_TICKS = 100  # until `is_barred` is called again
FULL_PAUSE_TICKS = 50  # after no connection could be closed, or no descriptor was free
ROOM_MADE_PAUSE_TICKS = 1  # lets the tasks of the closed connections end


class Acceptor:
    """Listens at one address; accepts no client until `is_barred` has returned False."""

    def __init__(
        self,
        event_loop: EventLoop,
        socket_host: Any,
        address: tuple[str, int],
        is_barred: Callable[[], bool] = lambda: False,
    ) -> None:
        """Listen at `address`; raises OSError if the address cannot be bound."""
        self.event_loop = event_loop
        self.socket_host = socket_host
        self.is_barred = is_barred
        self.is_open = True
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind(address)
            self.sock.listen(BACKLOG)
        except OSError:
            self.sock.close()
            raise
        self.sock.setblocking(False)
        # Earliest tick at which a connection that is accepted now may have been established.
        self._waiting_since = event_loop.now
        self._is_drained = False  # no connection was left when the last one was accepted

    def run(self) -> None:
        """Accept clients until the acceptor is shut; runs as a task."""
        while self.is_open and self.is_barred():
            self.event_loop.sleep(BARRED_PAUSE_TICKS)
        while self.is_open:
            self.event_loop.wait(self.sock.fileno(), READ)
            if self._is_drained:
                self._waiting_since = self.event_loop.now - self.event_loop.max_unread_ticks
            for _ in range(MAX_ACCEPTS_IN_A_ROW):
                self._wait_for_room()
                if not (self.is_open and self._accept_one()):
                    break

    def _wait_for_room(self) -> None:
        """Wait while the number of client connections is at its limit."""
        host = self.socket_host
        while self.is_open and len(host.client_connections) >= host.max_client_connections:
            has_made_room = host.make_room()
            self.event_loop.sleep(ROOM_MADE_PAUSE_TICKS if has_made_room else FULL_PAUSE_TICKS)

    def _accept_one(self) -> bool:
        """Accept one client; return False if accepting failed.

        Usually no connection waits. Without free descriptors or memory, idle client connections are
        closed, and the task pauses.
        """
        try:
            sock, _ = self.sock.accept()
        except OSError as problem:
            self._is_drained = problem.errno in NO_CONNECTION
            if problem.errno in OUT_OF_RESOURCES:
                self.socket_host.make_room()
                self.event_loop.sleep(FULL_PAUSE_TICKS)
            return False
        self._is_drained = False
        try:
            self.socket_host.add_client(sock, self._waiting_since)
        except Exception:  # One faulty connection must not end the task that accepts all others.
            self.event_loop.on_exception()
            sock.close()
        return True

    def shut(self) -> int:
        """Accept all waiting connections, as far as there are resources; then stop listening.

        Returns the number of accepted connections. Requests on a connection that the operating
        system has established count as received, whether or not this program has accepted the
        connection. Connections that are left when no descriptor or memory is free are reset.
        """
        if not self.is_open:
            return 0
        self.is_open = False
        found = 0
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError as problem:
                if problem.errno in FAILED_CONNECTION:
                    continue
                break
            found += 1
            self.socket_host.add_client(sock, self._waiting_since)
        descriptor = self.sock.fileno()
        self.sock.close()
        self.event_loop.wake(descriptor)
        return found

"""The listener for clients: who is accepted, and when it is shut.

Owns the listening socket. It reads no byte of a client, and leaves no connection behind that the
system had accepted before it was shut.
"""

import errno
import socket
from collections.abc import Callable
from typing import Any

from corkgauge.eventloop.loop import READ, EventLoop

BACKLOG = 4096
MAX_ACCEPTS_IN_A_ROW = 64  # before other tasks have their turn
OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
BARRED_PAUSE_TICKS = 100
FULL_PAUSE_TICKS = 50
ROOM_MADE_PAUSE_TICKS = 1


class Acceptor:
    """Listens at one address; while `is_barred` is true, everybody waits."""

    def __init__(
        self,
        event_loop: EventLoop,
        socket_host: Any,
        address: tuple[str, int],
        is_barred: Callable[[], bool] = lambda: False,
    ) -> None:
        """Listen at `address`; raises OSError where it cannot be had."""
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

    def run(self) -> None:
        """The task that accepts clients."""
        while self.is_open and self.is_barred():
            self.event_loop.sleep(BARRED_PAUSE_TICKS)
        while self.is_open:
            self.event_loop.wait(self.sock.fileno(), READ)
            for _ in range(MAX_ACCEPTS_IN_A_ROW):
                self._wait_for_room()
                if not (self.is_open and self._accept_one()):
                    break

    def _wait_for_room(self) -> None:
        """Wait while all connections that clients may have are taken."""
        host = self.socket_host
        while self.is_open and len(host.client_connections) >= host.most_callers:
            made = host.make_room()
            self.event_loop.sleep(ROOM_MADE_PAUSE_TICKS if made else FULL_PAUSE_TICKS)

    def _accept_one(self) -> bool:
        """Accept one client, if there is any and a descriptor for it."""
        try:
            sock, _ = self.sock.accept()
        except OSError as problem:
            if problem.errno in OUT_OF_RESOURCES:
                self.socket_host.make_room()
                self.event_loop.sleep(FULL_PAUSE_TICKS)
            return False
        try:
            self.socket_host.accepted(sock)
        except Exception:  # One bad connection would end the task that accepts all others.
            self.event_loop.on_exception()
            sock.close()
        return True

    def shut(self) -> int:
        """Accept all that wait, then nobody any more; how many those were.

        What a client wrote to a connection that the system has accepted counts as received, whether
        or not the program had looked at it.
        """
        if not self.is_open:
            return 0
        self.is_open = False
        found = 0
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                break
            found += 1
            self.socket_host.accepted(sock)
        descriptor = self.sock.fileno()
        self.sock.close()
        self.event_loop.wake(descriptor)
        return found

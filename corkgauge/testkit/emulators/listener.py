"""Accepts connections for the emulators on loopback.

Owns the listening socket and its connections. Must never listen on an address outside of
127.0.0.0/8.
"""

import socket
import struct
from collections.abc import Callable
from typing import Any

from corkgauge.eventloop.connection import StreamConnection
from corkgauge.eventloop.loop import READ, EventLoop

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0: close sends a reset


class Listener:
    """Listens on an address and runs its connections.

    `make_owner(sock)` returns an owner with an attribute `connection` for each accepted socket.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        make_owner: Callable[[Any], Any],
        address: tuple[str, int] = ("127.0.0.1", 0),
    ) -> None:
        self.event_loop, self.make_owner, self.address = event_loop, make_owner, address
        self.connections: dict[Any, None] = {}
        self.sock: socket.socket | None = None
        self.open()

    def open(self) -> None:
        """Listen, on the same address as before."""
        if self.sock is None:
            self.sock = socket.socket()
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.bind(self.address)
            self.sock.listen(512)
            self.sock.setblocking(False)
            self.address = self.sock.getsockname()
            self.event_loop.spawn(self._accept, self.sock)

    def close(self, abort: bool = False) -> None:
        """Refuse new connections, and close the open ones."""
        if self.sock is not None:
            sock, self.sock = self.sock, None
            self.event_loop.wake(sock.fileno())
        self.close_connections(abort)

    def close_connections(self, abort: bool = False) -> None:
        """Close all open connections; with `abort`, send a reset instead of an end of stream."""
        for owner in [*self.connections]:
            if abort:
                owner.connection.sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            owner.connection.close("dropped")

    def remove_connection(self, owner: Any) -> None:
        """Forget a connection that has closed."""
        self.connections.pop(owner, None)

    def _accept(self, sock: socket.socket) -> None:
        while self.sock is sock:
            self.event_loop.wait(sock.fileno(), READ)
            while self.sock is sock:
                try:
                    accepted, _ = sock.accept()
                except OSError:
                    break
                owner = self.make_owner(accepted)
                self.connections[owner] = None
                self.event_loop.spawn(owner.connection.run)
        sock.close()


def make_connection(
    event_loop: EventLoop, sock: Any, protocol: Any, owner: Any
) -> StreamConnection:
    """Return the connection of an accepted or dialed socket; its `run` is the body of a task."""
    return StreamConnection(event_loop, sock, protocol, owner)

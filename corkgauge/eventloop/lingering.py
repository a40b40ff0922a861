"""Lets a peer read the last output of a connection before its socket is closed."""

from __future__ import annotations

import errno
import socket
from typing import TYPE_CHECKING

from corkgauge.eventloop.loop import READ, WRITE

if TYPE_CHECKING:
    from corkgauge.eventloop.connection import StreamConnection

RETRYABLE_ERRNOS = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)
DISCARD_BUFFER = bytearray(65_536)  # shared by all closing connections for input to discard


def linger(connection: StreamConnection) -> None:
    """Write the remaining output, shut down writing, and discard input.

    Ends when the peer closes, when the connection's `linger_ticks` have passed, or once its
    `is_lingering` is unset. Runs in the task of the connection.

    Closing a socket with unread input resets the connection, which would discard the last output
    before the peer reads it.
    """
    event_loop = connection.event_loop
    ring = connection.machine.outward
    deadline = event_loop.now + connection.linger_ticks
    is_shut = False
    while connection.is_lingering and event_loop.now < deadline:
        try:
            while len(ring):
                size = connection.sock.send(ring.readable_view())
                connection.bytes_sent += size
                ring.drop(size)
            if not is_shut:
                connection.sock.shutdown(socket.SHUT_WR)
                is_shut = True
            if not connection.sock.recv_into(DISCARD_BUFFER):
                return
            # Lets other tasks run; a peer that sends without pause would block them.
            event_loop.sleep(1)
        except OSError as problem:
            if problem.errno not in RETRYABLE_ERRNOS:
                return
            mask = READ | WRITE if len(ring) else READ
            event_loop.wait(connection.fd, mask, deadline)

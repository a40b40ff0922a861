"""Opens a TCP connection without blocking the event loop."""

import errno
import socket

from corkgauge.eventloop.loop import WRITE, EventLoop


def dial(
    event_loop: EventLoop, address: tuple[str, int], timeout_ticks: int
) -> tuple[socket.socket | None, str]:
    """Connect to an address within `timeout_ticks`; must be called from a task.

    Returns the socket and an empty string, or None and the name of the error, such as
    `ECONNREFUSED`.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = None
    try:  # covers the creation of the socket, which fails if no file descriptor is free
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

"""Signals as bytes at a socket: caught from the first moment, answered once the program serves."""

import signal
import socket
from collections.abc import Callable

from corkgauge.eventloop.loop import READ, EventLoop

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
MAX_SIGNALS_READ = 64

_wakeup_sockets: list[socket.socket] = []  # a closed one would lose what signals write to it


def catch_signals() -> socket.socket:
    """Return the socket at which each signal is a byte from now on.

    Called before the configuration is read: a signal that comes during the start would otherwise
    end the program, and a configuration that changes just then would be missed.
    """
    receiver, wakeup = socket.socketpair()
    receiver.setblocking(False)
    wakeup.setblocking(False)
    signal.set_wakeup_fd(wakeup.fileno(), warn_on_full_buffer=False)
    _wakeup_sockets.append(wakeup)
    for number in HANDLED:
        signal.signal(number, lambda *_: None)
    return receiver


def dispatch_signals(
    event_loop: EventLoop, receiver: socket.socket, on_signal: Callable[[int], None]
) -> None:
    """Hand on the number of each signal, for as long as the loop runs; a task of the event loop."""
    while True:
        event_loop.wait(receiver.fileno(), READ)
        for number in receiver.recv(MAX_SIGNALS_READ):
            on_signal(number)

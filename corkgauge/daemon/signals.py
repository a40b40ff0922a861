"""Receives signals at a socket from the program's start; dispatches them once it serves."""

import signal
import socket
from collections.abc import Callable

from corkgauge.eventloop.loop import READ, EventLoop

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
MAX_SIGNALS_PER_READ = 64

_wakeup_sockets: list[socket.socket] = []  # kept open: signals write to them


def catch_signals() -> socket.socket:
    """Return a socket that receives a byte with the number of each signal from now on.

    Must be called before the configuration is read. Otherwise a signal during the start would end
    the program, and a SIGHUP for a configuration that changes at that time would be lost.
    """
    receiver, wakeup = socket.socketpair()
    receiver.setblocking(False)
    wakeup.setblocking(False)
    signal.set_wakeup_fd(wakeup.fileno(), warn_on_full_buffer=False)
    _wakeup_sockets.append(wakeup)
    for number in HANDLED_SIGNALS:
        signal.signal(number, lambda *_: None)
    return receiver


def dispatch_signals(
    event_loop: EventLoop, receiver: socket.socket, on_signal: Callable[[int], None]
) -> None:
    """Pass the number of each signal to `on_signal`; runs as a task until the event loop stops."""
    while True:
        event_loop.wait(receiver.fileno(), READ)
        for number in receiver.recv(MAX_SIGNALS_PER_READ):
            on_signal(number)

"""Relays between processes on loopback: each way between two fellows has one, and each gateway's way to an
engine.

Owns what happens to a datagram or a connection on its way: lost, late, doubled, out of order, cut
one way or both. Must never make up a datagram: what it sends again it has carried before.
"""

import socket
from collections import deque
from typing import Any

from corkgauge.eventloop.connection import dial
from corkgauge.eventloop.loop import READ, WRITE, EventLoop
from corkgauge.testkit.seeded_random import SeededRandom

KEPT = 200  # datagrams that may be played again
PIECE = 65_536


class Way:
    """One way, from one fellow to another. `loss` and `doubled` are parts of 1, `delay` tenths of a
    millisecond at most: so what is sent later may come earlier.
    """

    def __init__(
        self, event_loop: EventLoop, target: tuple[str, int], chance: SeededRandom
    ) -> None:
        self.event_loop, self.target, self.chance = event_loop, target, chance
        self.loss = self.doubled = 0.0
        self.delay = 0
        self.cut_until = 0
        self.carried = self.lost = 0
        self.kept: deque[bytes] = deque(maxlen=KEPT)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        event_loop.spawn(self._run)

    def _run(self) -> None:
        while True:
            self.event_loop.wait(self.sock.fileno(), READ)
            for _ in range(64):
                try:
                    data = self.sock.recv(PIECE)
                except BlockingIOError:
                    break
                except OSError:
                    continue
                self._carry(data)

    def _carry(self, data: bytes) -> None:
        self.kept.append(data)
        if self.event_loop.now < self.cut_until or self.chance.within(self.loss):
            self.lost += 1
            return
        for _ in range(2 if self.chance.within(self.doubled) else 1):
            if self.delay:
                self.event_loop.call_later(self.chance.below(self.delay), self.send, data)
            else:
                self.send(data)

    def send(self, data: bytes) -> None:
        self.carried += 1
        try:
            self.sock.sendto(data, self.target)
        except OSError:
            self.lost += 1

    def again(self) -> None:
        """All that is remembered, as it was, once more."""
        for data in [*self.kept]:
            self.send(data)


def _ended(sock: Any) -> bool:
    """Has the other end closed?"""
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False


class Passage:
    """Connections to one address, carried on to another. While `cut`, nothing passes and nothing is told."""

    def __init__(self, event_loop: EventLoop, target: tuple[str, int]) -> None:
        self.event_loop, self.target, self.cut = event_loop, target, False
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(64)
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        event_loop.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            self.event_loop.wait(self.sock.fileno(), READ)
            try:
                near, _ = self.sock.accept()
            except OSError:
                continue
            near.setblocking(False)
            self.event_loop.spawn(self._join, near)

    def _join(self, near: Any) -> None:
        far, _ = dial(self.event_loop, self.target, 10_000)
        if far is None:
            return near.close()
        ends = [near, far]
        for source, sink in ((near, far), (far, near)):
            # Each direction waits on a descriptor of its own, as one task parks at one descriptor.
            self.event_loop.spawn(
                self._carry,
                socket.socket(fileno=socket.dup(source.fileno())),
                socket.socket(fileno=socket.dup(sink.fileno())),
                ends,
            )

    def _carry(self, source: Any, sink: Any, ends: list[Any]) -> None:
        try:
            while True:
                self.event_loop.wait(source.fileno(), READ)
                was_cut = self.cut
                while self.cut:
                    self.event_loop.sleep(200)
                try:
                    data = memoryview(source.recv(PIECE))
                except BlockingIOError:
                    continue
                # What was written into the cut by one that gave up meanwhile is lost with its
                # connection.
                if not data or (was_cut and _ended(source)):
                    return
                while data:
                    try:
                        data = data[sink.send(data) :]
                    except BlockingIOError:
                        self.event_loop.wait(sink.fileno(), WRITE)
        except OSError:
            pass
        finally:
            source.close()
            sink.close()
            for end in ends:
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
                end.close()
            ends.clear()

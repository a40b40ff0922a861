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

REPLAYED_DATAGRAM_COUNT = 200  # datagrams that may be played again
RECEIVE_BYTES = 65_536


class DatagramRelay:
    """One way, from one fellow to another. `loss_share` and `duplicate_share` are parts of 1, `max_delay_ticks` tenths of a
    millisecond at most: so what is sent later may come earlier.
    """

    def __init__(
        self, event_loop: EventLoop, target: tuple[str, int], chance: SeededRandom
    ) -> None:
        self.event_loop, self.target, self.chance = event_loop, target, chance
        self.loss_share = self.duplicate_share = 0.0
        self.max_delay_ticks = 0
        self.cut_until = 0
        self.sent_count = self.lost_count = 0
        self.recent: deque[bytes] = deque(maxlen=REPLAYED_DATAGRAM_COUNT)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        event_loop.spawn(self._relay_datagrams)

    def _relay_datagrams(self) -> None:
        while True:
            self.event_loop.wait(self.sock.fileno(), READ)
            for _ in range(64):
                try:
                    data = self.sock.recv(RECEIVE_BYTES)
                except BlockingIOError:
                    break
                except OSError:
                    continue
                self._carry(data)

    def _carry(self, data: bytes) -> None:
        self.recent.append(data)
        if self.event_loop.now < self.cut_until or self.chance.happens(self.loss_share):
            self.lost_count += 1
            return
        for _ in range(2 if self.chance.happens(self.duplicate_share) else 1):
            if self.max_delay_ticks:
                self.event_loop.call_later(self.chance.below(self.max_delay_ticks), self.send, data)
            else:
                self.send(data)

    def send(self, data: bytes) -> None:
        self.sent_count += 1
        try:
            self.sock.sendto(data, self.target)
        except OSError:
            self.lost_count += 1

    def replay(self) -> None:
        """All that is remembered, as it was, once more."""
        for data in [*self.recent]:
            self.send(data)


def _is_closed_by_peer(sock: Any) -> bool:
    """Has the other end closed?"""
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False


class ConnectionRelay:
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
                    data = memoryview(source.recv(RECEIVE_BYTES))
                except BlockingIOError:
                    continue
                # What was written into the cut by one that gave up meanwhile is lost with its
                # connection.
                if not data or (was_cut and _is_closed_by_peer(source)):
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

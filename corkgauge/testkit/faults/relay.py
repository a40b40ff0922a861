"""Relays datagrams and connections between processes on loopback, and injects network faults.

There is one relay for each direction between two members, and one for the connections of each
gateway to an engine. Owns the loss, delay, duplication and reordering of datagrams, and the
interruption of either direction. Must never invent a datagram: only relayed ones are sent again.
"""

import socket
from collections import deque
from typing import Any

from corkgauge.eventloop.dial import dial
from corkgauge.eventloop.loop import READ, WRITE, EventLoop
from corkgauge.testkit.seeded_random import SeededRandom

REPLAYED_DATAGRAM_COUNT = 200  # most recent datagrams, kept for a replay
RECEIVE_BYTES = 65_536


class DatagramRelay:
    """Relays datagrams in one direction, from one member to another.

    `loss_share` and `duplicate_share` are fractions of the datagrams. Each datagram is delayed by
    at most `max_delay_ticks`, so that a later datagram may arrive earlier. All datagrams are lost
    until the time `cut_until`.
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
        """Send a datagram to the target; a datagram that cannot be sent counts as lost."""
        self.sent_count += 1
        try:
            self.sock.sendto(data, self.target)
        except OSError:
            self.lost_count += 1

    def replay(self) -> None:
        """Send the most recent datagrams again, unchanged."""
        for data in [*self.recent]:
            self.send(data)


def _is_closed_by_peer(sock: Any) -> bool:
    """Return whether the other end has closed the connection."""
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False


class ConnectionRelay:
    """Relays connections to its address to the target.

    While `cut` is set, no data is relayed, and neither end learns of the interruption.
    """

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
            # Each direction gets its own descriptors, because only one task may wait at a
            # descriptor.
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
                # Data sent during the cut is lost if its sender closed the connection meanwhile.
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

"""The control feed's side: kept connected, asked again from the last whole event.

Owns the connection to one address, until that is left for another. Must never read an event: the house does.
"""

from typing import Any

from corkgauge.eventloop.connection import StreamConnection, dial
from corkgauge.eventloop.loop import SECOND
from corkgauge.net import discovery_protocol as feed_wire

LEAST_PAUSE, MOST_PAUSE = (
    SECOND // 20,
    SECOND // 2,
)  # between two dials of a feed that does not come up
FEED_SILENT = 15_000  # a comment comes each second
FEED_STUCK = 30_000  # that a line may take, with all that is before the first; told counts as heard 7 s later


class DiscoveryWatch:
    """Keeps the control feed at one address connected, until it is left for another."""

    def __init__(self, socket_host: Any, where: tuple[str, int]) -> None:
        self.socket_host, self.where, self.link = socket_host, where, None
        self.pause, self.lost, self.left = 0, False, False

    def run(self) -> None:
        event_loop = self.socket_host.event_loop
        while not (event_loop.stopped or self.left):
            begun = event_loop.now
            sock, why = dial(event_loop, self.where, SECOND)
            if self.left:
                if sock is not None:
                    sock.close()
                return
            if sock is not None:
                machine = feed_wire.DiscoveryProtocol(self, self.socket_host.lines)
                self.link = StreamConnection(event_loop, sock, machine, self)
                self.link.send(feed_wire.request("%s:%d" % self.where, self.socket_host.last_event))
                self.watch(self.link)
                self.link.run()
                why = self.link.why
            if not (self.lost or self.left):
                self.lost = True
                self.socket_host.log(f"feed lost: {why}")
            # Danger: what it tells holds soon after a break, heard or not. So the first try is at once, and
            # only those that end at once again wait, each longer.
            if event_loop.now - begun > SECOND:
                self.pause = 0
            if self.pause and not self.left:
                event_loop.sleep(self.pause)
            self.pause = min(max(2 * self.pause, LEAST_PAUSE), MOST_PAUSE)

    def leave(self) -> None:
        """Another address holds from now on."""
        self.left = True
        if self.link is not None:
            self.link.end("left for another")

    def event(self, number: str, data: str) -> str:
        self.pause = 0
        if self.lost:
            self.lost = False
            self.socket_host.log(f"feed back at {self.socket_host.last_event}")
        return self.socket_host.event(number, data)

    def watch(self, link: StreamConnection, whole: int = -1, since: int = 0) -> None:
        """Danger: a feed that stops keeps its connection open. A comment comes each second; without any sign
        for half a second more it is dead. One that drips, or never says how it answers, gives signs and no line."""
        if link is self.link and not link.why:
            now = self.socket_host.now
            if link.machine.whole != whole:
                whole, since = link.machine.whole, now
            if now - link.heard > FEED_SILENT or now - since > FEED_STUCK:
                return link.end(
                    "silent" if now - link.heard > FEED_SILENT else "a line that does not end"
                )
            self.socket_host.event_loop.call_later(FEED_SILENT // 8, self.watch, link, whole, since)

    def drained(self) -> None:
        pass

    def ended(self, why: str) -> None:
        pass

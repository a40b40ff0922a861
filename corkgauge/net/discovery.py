"""The watch on endpoint discovery: kept connected, asked again from the last whole event.

Owns the connection to one address, until that is left for another. It reads no event itself: the
host does.
"""

from typing import Any

from corkgauge.eventloop.connection import StreamConnection, dial
from corkgauge.eventloop.loop import SECOND
from corkgauge.net import discovery_protocol

MIN_BACKOFF_TICKS = SECOND // 20  # between two dials of an address that does not come up
MAX_BACKOFF_TICKS = SECOND // 2
MAX_SILENCE_TICKS = 15_000  # a comment comes each second
# That a line may take, with all that is before the first; notified counts as heard 7 s later.
MAX_LINE_TICKS = 30_000
LOOK_TICKS = MAX_SILENCE_TICKS // 8  # between two looks whether it is still alive


class DiscoveryWatch:
    """Keeps discovery at one address connected, until it is left for another."""

    def __init__(self, socket_host: Any, address: tuple[str, int]) -> None:
        self.socket_host = socket_host
        self.address = address
        self.link: StreamConnection | None = None
        self.backoff = 0  # ticks until the next dial
        self.is_lost = False
        self.is_left = False

    def run(self) -> None:
        """The task of this watch; it ends with the loop, or once the address is left."""
        event_loop = self.socket_host.event_loop
        while not (event_loop.stopped or self.is_left):
            begun = event_loop.now
            sock, why = dial(event_loop, self.address, SECOND)
            if self.is_left:
                if sock is not None:
                    sock.close()
                return
            if sock is not None:
                why = self._watch_connection(sock)
            if not (self.is_lost or self.is_left):
                self.is_lost = True
                self.socket_host.log(f"feed lost: {why}")
            self._back_off(event_loop.now - begun)

    def _watch_connection(self, sock: Any) -> str:
        """Read events until the connection ends; why it did."""
        event_loop = self.socket_host.event_loop
        protocol = discovery_protocol.DiscoveryProtocol(self, self.socket_host.lines)
        link = self.link = StreamConnection(event_loop, sock, protocol, self)
        host = f"{self.address[0]}:{self.address[1]}"
        link.send(discovery_protocol.request(host, self.socket_host.last_event))
        self.check_alive(link)
        link.run()
        why: str = link.close_reason
        return why

    def _back_off(self, lasted: int) -> None:
        """Wait before the next dial.

        What discovery says holds soon after a break, heard or not: so the first dial is at once,
        and only those after a connection that ended at once wait, each longer.
        """
        if lasted > SECOND:
            self.backoff = 0
        if self.backoff and not self.is_left:
            self.socket_host.event_loop.sleep(self.backoff)
        self.backoff = min(max(2 * self.backoff, MIN_BACKOFF_TICKS), MAX_BACKOFF_TICKS)

    def leave(self) -> None:
        """End the watch: another address holds from now on."""
        self.is_left = True
        if self.link is not None:
            self.link.close("left for another")

    def event(self, number: str, data: str) -> str:
        """Pass one event on to the host; what is wrong with it, or an empty string."""
        self.backoff = 0
        if self.is_lost:
            self.is_lost = False
            self.socket_host.log(f"feed back at {self.socket_host.last_event}")
        wrong: str = self.socket_host.event(number, data)
        return wrong

    def check_alive(
        self, link: StreamConnection, known_lines: int = -1, line_since: int = 0
    ) -> None:
        """End a connection that is silent or stuck in a line, and look again later.

        A server that stops keeps its connection open. A comment comes each second; without any sign
        for half a second more it is dead. One that drips, or never says how it answers, gives signs
        and no line.
        """
        if link is not self.link or link.close_reason:
            return
        now = self.socket_host.now
        if link.machine.complete_frame_count != known_lines:
            known_lines = link.machine.complete_frame_count
            line_since = now
        if now - link.last_read_at > MAX_SILENCE_TICKS:
            link.close("silent")
        elif now - line_since > MAX_LINE_TICKS:
            link.close("a line that does not end")
        else:
            self.socket_host.event_loop.call_later(
                LOOK_TICKS, self.check_alive, link, known_lines, line_since
            )

    def on_output_drained(self) -> None:
        """All that was sent has left; nothing more is to be sent."""

    def on_closed(self, why: str) -> None:
        """The connection has ended; `run` goes on from there."""

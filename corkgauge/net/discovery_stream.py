"""One connection to endpoint discovery: asks for events, and measures how the answer progresses.

The watch owns the stream, opens further ones, and decides which of them stay open.
"""

import socket
from typing import Any, Protocol

from corkgauge.eventloop.connection import StreamConnection
from corkgauge.eventloop.loop import SECOND
from corkgauge.net import discovery_protocol

# A pending dial, a silence and an incomplete line of these lengths are stalls. The server sends a
# comment each second.
MAX_DIAL_TICKS = SECOND
MAX_SILENCE_TICKS = 15_000
MAX_LINE_TICKS = 30_000  # also for the status and headers before the first line
# The platform treats a gateway as informed of a change this long after the announcement.
NOTIFICATION_TICKS = 7 * SECOND
# With more bytes than this since its last complete line, a stream is receiving a long list. A
# second copy of the list beside it would delay both.
MIN_BULK_BYTES = 32_768


class StreamOwner(Protocol):
    """Interface of the object that owns a stream."""

    def on_stream_event(self, stream: "DiscoveryStream", number: str, data: str) -> str:
        """Handle one event; return why it is invalid, or an empty string."""


class DiscoveryStream:
    """One connection from its dial to its end; `opened_at` is the tick of the dial.

    A stream is established once it has passed on an event, or has lasted for `NOTIFICATION_TICKS`
    and completed a line: only then is it known to send all that it has to.
    """

    def __init__(self, socket_host: Any, owner: StreamOwner) -> None:
        self.socket_host = socket_host
        self.owner = owner
        self.opened_at: int = socket_host.now
        self.link: StreamConnection | None = None  # None until the dial has succeeded
        self.is_established = False
        self.is_dropped = False  # closed by the owner, which needs no replacement
        self._line_count = 0  # complete lines at the last call of `observe`
        self._line_at = self.opened_at  # tick of the call that found the last complete line
        self._bytes_at_line = 0  # received by then

    def run(self, sock: socket.socket, host: str) -> str:
        """Ask for events and read them until the connection closes; return why it closed."""
        event_loop = self.socket_host.event_loop
        protocol = discovery_protocol.DiscoveryProtocol(self, self.socket_host.server_ring_memory)
        link = self.link = StreamConnection(event_loop, sock, protocol, self)
        self._line_at = self.socket_host.now
        link.send(discovery_protocol.request(host, self.socket_host.last_event))
        # Where one poll reports events of the list and requests, as after a standstill, no request
        # may go to an engine of which the list says by then that it drains.
        fd = link.fd
        event_loop.set_priority(fd, True)
        link.run()
        event_loop.set_priority(fd, False)
        return link.close_reason

    def observe(self) -> None:
        """Take note of the lines completed since the last call; called several times a second."""
        if self.link is None or self.link.close_reason:
            return
        line_count = self.link.machine.complete_frame_count
        if line_count != self._line_count:
            self._line_count = line_count
            self._line_at = self.socket_host.now
            self._bytes_at_line = self.link.bytes_received
            if self._line_at - self.opened_at >= NOTIFICATION_TICKS:
                self.is_established = True

    def stall_reason(self) -> str:
        """Return why an answer may be found sooner on another connection, or an empty string.

        A server that hangs keeps its connections open, so silence is limited. A server that sends
        single bytes, or no complete status line, is never silent, so the time for each line is
        limited as well. What has arrived and was not read yet, as after a standstill, came in time.
        """
        now = self.socket_host.now
        if self.link is None:
            return "no connection for 1 s" if now - self.opened_at > MAX_DIAL_TICKS else ""
        max_line_ticks = NOTIFICATION_TICKS if self.is_bulk() else MAX_LINE_TICKS
        reason = ""
        if self.is_silent():
            reason = "no byte received for 1.5 s"
        elif self.ticks_without_line() > max_line_ticks:
            reason = f"no complete line received for {max_line_ticks // SECOND} s"
        return "" if reason and self.link.has_unread_input() else reason

    def is_silent(self) -> bool:
        """Return whether no byte has been received for longer than a healthy server is silent."""
        return (
            self.link is not None
            and self.socket_host.now - self.link.last_read_at > MAX_SILENCE_TICKS
        )

    def is_bulk(self) -> bool:
        """Return whether the stream is receiving a line longer than `MIN_BULK_BYTES`."""
        return (
            self.link is not None
            and self.link.bytes_received - self._bytes_at_line > MIN_BULK_BYTES
            and not self.is_silent()
        )

    def ticks_without_line(self) -> int:
        """Return how long ago the last line was completed, or the stream was opened."""
        return int(self.socket_host.now - self._line_at)

    def close(self, reason: str) -> None:
        """Close the connection; a pending dial ends by itself, and its socket is closed then."""
        if self.link is not None:
            self.link.close(reason)

    def drop(self, reason: str) -> None:
        """Close the connection, as it is no longer needed."""
        self.is_dropped = True
        self.close(reason)

    def on_event(self, number: str, data: str) -> str:
        """Pass one event to the owner; return why the event is invalid, or an empty string."""
        wrong = self.owner.on_stream_event(self, number, data)
        if not wrong:
            self.is_established = True
        return wrong

    def on_output_drained(self) -> None:
        """Do nothing: after the request there is nothing more to send."""

    def on_closed(self, reason: str) -> None:
        """Do nothing: `run` returns after the connection has closed."""

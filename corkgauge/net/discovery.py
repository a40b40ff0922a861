"""Watches endpoint discovery: stays connected, and resumes after the last event that was applied.

Owns the connections to one discovery address, until the address changes. The host applies the
events.

While a connection makes no progress, further ones are opened beside it, and it stays open: a server
that answers late would never be heard if each connection ended before its answer. Each asks for
what follows the last event that was applied, and events that come twice are applied once. The first
that passes on an event remains, and the others are closed.
"""

from typing import Any

from corkgauge.eventloop.dial import dial
from corkgauge.eventloop.loop import SECOND
from corkgauge.net.discovery_stream import (
    MAX_SILENCE_TICKS,
    NOTIFICATION_TICKS,
    DiscoveryStream,
)

# Pauses between two dials of an address that refuses or drops the connection.
MIN_BACKOFF_TICKS = SECOND // 20
MAX_BACKOFF_TICKS = SECOND // 2
CHECK_INTERVAL_TICKS = MAX_SILENCE_TICKS // 8  # between two checks of the connections
# Further ones are opened a second apart, so each has the time in which the platform expects a
# change to be known.
MAX_STREAM_COUNT = 8
MAX_BULK_STREAM_COUNT = 2  # that receive copies of the same long list
# Time without a complete line after which even the oldest connection is closed.
MAX_LINE_WAIT_TICKS = 30 * SECOND
DROPPED = "another connection to discovery is ahead"


class DiscoveryWatch:
    """Keeps a connection to discovery at one address until `leave` is called."""

    def __init__(self, socket_host: Any, address: tuple[str, int]) -> None:
        self.socket_host = socket_host
        self.address = address
        self.streams: list[DiscoveryStream] = []  # open ones and pending dials, oldest first
        self.backoff_ticks = 0  # pause before the next dial after a loss
        self.is_dial_due = False  # a dial is scheduled
        self.is_lost = False  # from a logged loss of the connection until the next event
        self.is_replaced = False  # another address has replaced this one

    def run(self) -> None:
        """Connect, and reconnect until the loop stops or the address changes; runs as a task."""
        self._check_streams()
        self._run_stream()

    def leave(self) -> None:
        """End the watch, as another discovery address has been configured."""
        self.is_replaced = True
        for stream in [*self.streams]:
            self._drop(stream, "replaced by another discovery address")

    def on_stream_event(self, stream: DiscoveryStream, number: str, data: str) -> str:
        """Pass one event to the host; return why the event is invalid, or an empty string."""
        self.backoff_ticks = 0
        if self.is_lost:
            self.is_lost = False
            self.socket_host.log(f"feed back at {self.socket_host.last_event}")
        wrong: str = self.socket_host.on_discovery_event(number, data)
        if not wrong:
            self._keep_only(stream)
        return wrong

    def _is_over(self) -> bool:
        return bool(self.socket_host.event_loop.stopped or self.is_replaced)

    def _is_served(self) -> bool:
        """Return whether an established stream makes progress, so that no other is needed."""
        return any(each.is_established and not each.stall_reason() for each in self.streams)

    def _run_stream(self) -> None:
        """Dial, and read events until the connection closes; runs as a task."""
        self.is_dial_due = False
        if self._is_over() or self._is_served():
            return
        event_loop = self.socket_host.event_loop
        stream = DiscoveryStream(self.socket_host, self)
        self.streams.append(stream)
        sock, why = dial(event_loop, self.address, NOTIFICATION_TICKS)
        if sock is not None and stream.is_dropped:
            sock.close()
        elif sock is not None:
            why = stream.run(sock, f"{self.address[0]}:{self.address[1]}")
        self._on_stream_ended(stream, why)

    def _on_stream_ended(self, stream: DiscoveryStream, why: str) -> None:
        """Replace a stream that was the newest, or the one that events came from."""
        if self._is_over() or stream.is_dropped:
            return
        is_newest = stream is self.streams[-1]
        self.streams.remove(stream)
        self._log_loss(why)
        if is_newest or stream.is_established:
            self._dial_after_loss(self.socket_host.now - stream.opened_at)

    def _dial_after_loss(self, lasted_ticks: int) -> None:
        """Dial again, after a pause if earlier dials or connections failed soon.

        The fleet acts on announced changes soon, even if this gateway has not received them. So the
        first dial after a loss follows at once. The pause before each further dial doubles, from
        `MIN_BACKOFF_TICKS` to `MAX_BACKOFF_TICKS`. The pause is reset by an event, and if the dial
        and its connection lasted for more than a second (`lasted_ticks`).
        """
        if lasted_ticks > SECOND:
            self.backoff_ticks = 0
        pause_ticks = self.backoff_ticks
        self.backoff_ticks = min(max(2 * self.backoff_ticks, MIN_BACKOFF_TICKS), MAX_BACKOFF_TICKS)
        if self.is_dial_due:
            return
        self.is_dial_due = True
        if pause_ticks:
            self.socket_host.event_loop.call_later(pause_ticks, self._spawn_stream)
        else:
            self._spawn_stream()

    def _spawn_stream(self) -> None:
        self.socket_host.event_loop.spawn(self._run_stream)

    def _check_streams(self) -> None:
        """Close dead streams, and open one beside those that stall; called again by timer."""
        if self._is_over():
            return
        for stream in self.streams:
            stream.observe()
        self._close_dead_streams()
        live = [each for each in self.streams if not each.stall_reason()]
        established = next((each for each in live if each.is_established), None)
        if established is not None:
            self._keep_only(established)
        elif not live and self.streams and not self.is_dial_due:
            self._open_beside()
        self.socket_host.event_loop.call_later(CHECK_INTERVAL_TICKS, self._check_streams)

    def _close_dead_streams(self) -> None:
        """Close streams of which nothing more is expected.

        An established stream carries a comment each second, so one that is silent has died.
        """
        for stream in self.streams:
            reason = stream.stall_reason()
            is_overdue = stream.ticks_without_line() > MAX_LINE_WAIT_TICKS
            if reason and (is_overdue or (stream.is_established and stream.is_silent())):
                stream.close(reason)

    def _open_beside(self) -> None:
        """Open a further stream, as all others stall."""
        if sum(each.is_bulk() for each in self.streams) >= MAX_BULK_STREAM_COUNT:
            return
        newest = self.streams[-1]
        if newest.link is not None and newest.link.close_reason:
            return  # replaced as soon as it has ended
        self._log_loss(newest.stall_reason())
        self.socket_host.counters["discovery dialled beside"] += 1
        if len(self.streams) >= MAX_STREAM_COUNT:
            # The oldest remains, as a server may need longer than all others are kept.
            self._drop(self.streams[1], DROPPED)
        self.is_dial_due = True
        self._spawn_stream()

    def _keep_only(self, stream: DiscoveryStream) -> None:
        """Close all other streams."""
        for each in [*self.streams]:
            if each is not stream:
                self._drop(each, DROPPED)

    def _drop(self, stream: DiscoveryStream, reason: str) -> None:
        """Close a stream that needs no replacement."""
        self.streams.remove(stream)
        stream.drop(reason)

    def _log_loss(self, why: str) -> None:
        if not self.is_lost:
            self.is_lost = True
            self.socket_host.log(f"feed lost: {why}")

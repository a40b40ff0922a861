"""The state of one collector, its session, and the messages in flight to the collector.

The export buffer changes this state; the transports only read it.
"""

from collections import deque
from enum import Enum
from typing import NamedTuple, Protocol

from corkgauge.flow_export.counter_deltas import Delta
from corkgauge.flow_export.session import Session

# Written messages of a stream that are kept, as the operating system may still hold their bytes.
MAX_WRITTEN_MESSAGES = 1024
STALL_TIMEOUT_TICKS = 50_000  # 5 s for which a stream may accept no byte
TICKS_PER_MS = 10
# The limits of the next attempt to connect double with each failure, up to this many times. A
# collector that takes longer than a fixed limit would never be connected to.
MAX_TIMEOUT_DOUBLINGS = 3


class CollectorState(Enum):
    """DOWN -> OPENING -> TRIAL -> UP; each state may change to DOWN.

    The values are part of status reports.
    """

    DOWN = "down"
    OPENING = "opening"
    TRIAL = "trial"
    UP = "up"


class InFlightMessage(NamedTuple):
    """A message that the transport accepted and that is not confirmed yet."""

    sent_at: int  # ticks
    end_offset: int  # bytes of the session up to the end of the message
    deltas: list[Delta]

    @property
    def octets(self) -> int:
        """Octets of the flows that the message reports."""
        return sum(delta.octets for delta in self.deltas)


class WrittenMessage(NamedTuple):
    """A message of a stream that was written to the operating system."""

    end_offset: int  # bytes of the session up to the end of the message
    octets: int  # of the flows that the message reports


class CollectorPeer:
    """A collector and the messages in flight. Times are ticks, tenths of a millisecond.

    Args:
        name: the address, as logged.
        is_datagram: whether messages are sent as datagrams rather than in a stream.
        max_message_bytes: size limit of one message.
        refresh_ticks: time after which templates are sent again (datagrams).
        refresh_messages: number of messages after which templates are sent again (datagrams).
    """

    def __init__(
        self,
        name: str,
        is_datagram: bool,
        max_message_bytes: int,
        refresh_ticks: int,
        refresh_messages: int,
    ) -> None:
        self.name = name
        self.is_datagram = is_datagram
        self.max_message_bytes = max_message_bytes
        self.refresh_ticks = refresh_ticks
        self.refresh_messages = refresh_messages

        # State.
        self.state = CollectorState.DOWN
        self.state_since = 0
        self.retry_at = 0
        self.failure_count = 0
        self.down_reason = ""
        self.session: Session | None = None

        # Messages in flight, and bytes of the session accepted by the transport and written.
        self.in_flight: deque[InFlightMessage] = deque()
        self.in_flight_octets = 0
        self.sent_bytes = 0
        self.written_bytes = 0
        self.last_progress_at = 0  # last time that a byte was written or none was outstanding
        # Of streams only.
        self.written_messages: deque[WrittenMessage] = deque(maxlen=MAX_WRITTEN_MESSAGES)

    @property
    def has_session(self) -> bool:
        """Whether messages may be sent to the collector."""
        return self.state in (CollectorState.TRIAL, CollectorState.UP)

    def current_session(self) -> Session:
        """Return the session, which must exist."""
        assert self.session is not None, f"collector {self.name} has no session"
        return self.session

    @property
    def timeout_factor(self) -> int:
        """Factor for the time limits of an attempt to connect; grows with failed attempts."""
        return 1 << min(self.failure_count, MAX_TIMEOUT_DOUBLINGS)

    def is_retry_due(self, now: int) -> bool:
        """Return whether the collector is down and its backoff is over."""
        return self.state is CollectorState.DOWN and now >= self.retry_at

    def is_stalled(self, now: int) -> bool:
        """Return whether a stream with outstanding bytes has made no progress for too long."""
        if self.is_datagram or self.sent_bytes <= self.written_bytes:
            return False
        return now > self.last_progress_at + STALL_TIMEOUT_TICKS

    def is_refresh_due(self, now: int) -> bool:
        """Return whether to send templates again, as datagrams may be lost (RFC 7011, 8.4)."""
        if not self.is_datagram:
            return False
        session = self.current_session()
        return (
            now >= TICKS_PER_MS * session.templates_sent_ms + self.refresh_ticks
            or session.messages_since_templates >= self.refresh_messages
        )

    def clear_in_flight(self) -> None:
        """Remove all messages in flight."""
        self.in_flight.clear()
        self.in_flight_octets = 0


class CollectorTransports(Protocol):
    """Interface of the owner of the connections, which the export buffer calls."""

    def open(self, peer: CollectorPeer) -> None:
        """Start connecting; the buffer is notified by `on_opened` or `on_lost`."""

    def send(self, peer: CollectorPeer, data: bytes) -> bool:
        """Send a whole message; returns False, with nothing sent, if there is no room for it."""

    def close(self, peer: CollectorPeer) -> None:
        """Close the connection, if there is one."""

    def log(self, line: str) -> None:
        """Write a line to the program's log."""


def should_connect(peer: CollectorPeer, peers: list[CollectorPeer]) -> bool:
    """Return whether to connect to a collector.

    A connection to the first collector is always allowed. A connection to any other collector is
    allowed only if no collector earlier in the list has a session or is in its first attempt to
    connect. The state of the collector itself is not checked.
    """
    for preferred in peers:
        if preferred is peer:
            return True
        is_opening = preferred.state is CollectorState.OPENING and not preferred.failure_count
        if preferred.has_session or is_opening:
            return False
    return False

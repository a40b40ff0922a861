"""One collector: its state, its session, and the messages in flight to it.

The export buffer changes what is here; the transports read it.
"""

from collections import deque
from enum import Enum
from typing import NamedTuple, Protocol

from corkgauge.flow_export.counter_deltas import Delta
from corkgauge.flow_export.session import Session

# Messages of a stream that are remembered for what the system may still hold of them.
MAX_WRITTEN_MESSAGES = 1024
STALL_TIMEOUT_TICKS = 50_000  # 5 s that a stream may take no byte
TICKS_PER_MS = 10


class CollectorState(Enum):
    """DOWN -> OPENING -> TRIAL -> UP; from each back to DOWN. The values go into status reports."""

    DOWN = "down"
    OPENING = "opening"
    TRIAL = "trial"
    UP = "up"


class InFlightMessage(NamedTuple):
    """A message handed to the transport and not yet confirmed."""

    sent_at: int  # ticks
    end_offset: int  # bytes of the session up to its end
    deltas: list[Delta]

    @property
    def octets(self) -> int:
        """Octets of the flows that it reports."""
        return sum(delta.octets for delta in self.deltas)


class WrittenMessage(NamedTuple):
    """A message of a stream that the system has taken."""

    end_offset: int  # bytes of the session up to its end
    octets: int  # of the flows that it reports


class CollectorPeer:
    """One collector, and what is in flight to it. Times are ticks, tenths of a millisecond.

    Args:
        name: its address, as logged.
        is_datagram: whether messages go as datagrams, else in a stream.
        max_message_bytes: octets of one message.
        refresh_ticks: time after which templates are sent again (datagrams).
        refresh_messages: messages after which templates are sent again (datagrams).
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

        # In flight, with bytes of the session handed over and written.
        self.in_flight: deque[InFlightMessage] = deque()
        self.in_flight_octets = 0
        self.sent_bytes = 0
        self.written_bytes = 0
        self.last_progress_at = 0  # when it last took a byte, or had none to take
        self.written_messages: deque[WrittenMessage] = deque(
            maxlen=MAX_WRITTEN_MESSAGES
        )  # streams only

    @property
    def has_session(self) -> bool:
        """Whether messages may be sent to it."""
        return self.state in (CollectorState.TRIAL, CollectorState.UP)

    def current_session(self) -> Session:
        """The session; only while there is one."""
        assert self.session is not None, f"collector {self.name} has no session"
        return self.session

    def is_retry_due(self, now: int) -> bool:
        """Whether it is down, and has been left alone for long enough."""
        return self.state is CollectorState.DOWN and now >= self.retry_at

    def is_stalled(self, now: int) -> bool:
        """Whether a stream has had bytes to take for too long, and took none."""
        if self.is_datagram or self.sent_bytes <= self.written_bytes:
            return False
        return now > self.last_progress_at + STALL_TIMEOUT_TICKS

    def is_refresh_due(self, now: int) -> bool:
        """Whether templates go again, as datagrams may be lost (RFC 7011, 8.4)."""
        if not self.is_datagram:
            return False
        session = self.current_session()
        return (
            now >= TICKS_PER_MS * session.templates_sent_ms + self.refresh_ticks
            or session.messages_since_templates >= self.refresh_messages
        )

    def clear_in_flight(self) -> None:
        """Hold nothing in flight any more."""
        self.in_flight.clear()
        self.in_flight_octets = 0


class CollectorTransports(Protocol):
    """What the export buffer needs of whoever owns the connections to collectors."""

    def open(self, peer: CollectorPeer) -> None:
        """Begin to connect; the buffer is notified by `on_opened` or `on_lost`."""

    def send(self, peer: CollectorPeer, data: bytes) -> bool:
        """Hand over a whole message; False, with nothing of it sent, where there is no room."""

    def close(self, peer: CollectorPeer) -> None:
        """Close the connection, if there is one."""

    def log(self, line: str) -> None:
        """Write a line to the program's log."""


def should_connect(peer: CollectorPeer, peers: list[CollectorPeer]) -> bool:
    """Whether to connect: the first always; a later one where none before it does well."""
    for preferred in peers:
        if preferred is peer:
            return True
        is_opening = preferred.state is CollectorState.OPENING and not preferred.failure_count
        if preferred.has_session or is_opening:
            return False
    return False

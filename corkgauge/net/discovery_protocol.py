"""The protocol of endpoint discovery: HTTP with server-sent events, as a machine fed with bytes.

Owns the request and the reading of its reply: status, headers, chunks, events. Knows no socket and
no clock, and never raises on bad bytes.
"""

from collections.abc import Callable
from typing import Protocol

from corkgauge.eventloop.ring_buffer import MemoryBudget, RingBuffer

MAX_UNREAD_BYTES = 262_144
MAX_HEADER_LINE_BYTES = 16_384
REQUEST_BYTES = 4096
# A line, so an event with the whole list. One that is refused is asked for again without end, and
# the gateway goes on with an old list; 1,800 engines with ids of 36 characters take 300,000.
MAX_LINE_BYTES = 2**20
NEED_MORE = "more"  # what a reader returns until more bytes have come


class EventOwner(Protocol):
    """Who the events are for."""

    def event(self, number: str, data: str) -> str:
        """Take one event; what is wrong with it, or an empty string."""


def request(host: str, last_event: int) -> bytes:
    """The request for all events after `last_event`."""
    return (
        f"GET /v1/events HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\n"
        f"Last-Event-ID: {last_event}\r\nCache-Control: no-cache\r\n\r\n"
    ).encode()


class DiscoveryProtocol:
    """Reads the stream of events and passes each on to its owner.

    `complete_frame_count` counts the lines of the stream that have come whole, comments among them.
    """

    def __init__(self, owner: EventOwner, memory_budget: MemoryBudget) -> None:
        self.owner = owner
        self.complete_frame_count = 0
        self.inward = RingBuffer(MAX_UNREAD_BYTES, memory_budget)
        self.outward = RingBuffer(REQUEST_BYTES, memory_budget)
        # What comes next: a line, which `_on_line` takes, or a stretch of the event stream.
        self._read: Callable[[], str] = self._read_line
        self._on_line: Callable[[bytes], str] = self._on_status
        self._is_chunked = False
        self._chunk_bytes_left = 0
        self._partial_line = bytearray()
        self._event_number = ""
        self._event_data: list[str] = []

    def parse_input(self) -> str:
        """Take what has come; what is wrong, or an empty string."""
        while (wrong := self._read()) == "":
            pass
        return "" if wrong == NEED_MORE else wrong

    def _read_line(self) -> str:
        data = self.inward.peek(len(self.inward))
        end = data.find(b"\n")
        if end >= 0:
            return self._on_line(self.inward.take(end + 1).rstrip(b"\r\n"))
        if len(self.inward) >= MAX_HEADER_LINE_BYTES:
            return "a line that is too long"
        self.inward.reserve(2 * len(self.inward))
        return NEED_MORE

    def _on_status(self, line: bytes) -> str:
        parts = line.split()
        if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or parts[1] != b"200":
            return f"status {line[:40]!r}"
        self._on_line = self._on_header
        return ""

    def _on_header(self, line: bytes) -> str:
        if not line and self._is_chunked:
            self._on_line = self._on_chunk_size
        elif not line:
            self._read = self._read_plain
        elif line.lower().startswith(b"transfer-encoding:") and b"chunked" in line.lower():
            self._is_chunked = True
        return ""

    def _on_chunk_size(self, line: bytes) -> str:
        if not line:
            return ""  # the end of the chunk before
        try:
            self._chunk_bytes_left = int(line.split(b";")[0], 16)
        except ValueError:
            return f"a chunk of size {line[:20]!r}"
        if self._chunk_bytes_left <= 0:
            return "the end of the stream"
        self._read = self._read_chunk
        return ""

    def _read_chunk(self) -> str:
        if not len(self.inward):
            return NEED_MORE
        data = self.inward.take(min(self._chunk_bytes_left, len(self.inward)))
        self._chunk_bytes_left -= len(data)
        if not self._chunk_bytes_left:
            self._read = self._read_line
        return self._on_stream(data)

    def _read_plain(self) -> str:
        if not len(self.inward):
            return NEED_MORE
        return self._on_stream(self.inward.take(len(self.inward)))

    def _on_stream(self, data: bytes) -> str:
        self._partial_line += data
        while (end := self._partial_line.find(b"\n")) >= 0:
            line = bytes(self._partial_line[:end]).rstrip(b"\r")
            del self._partial_line[: end + 1]
            try:
                text = line.decode()
            except UnicodeDecodeError:
                return "an event that is not text"
            if wrong := self._on_event_line(text):
                return wrong
        if len(self._partial_line) > MAX_LINE_BYTES:
            return "a line that is too long"
        return ""

    def _on_event_line(self, line: str) -> str:
        self.complete_frame_count += 1  # a comment counts as well
        if not line:
            return self._finish_event()
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            self._event_number = value
        elif name == "data":
            self._event_data.append(value)
            if sum(map(len, self._event_data)) > MAX_LINE_BYTES:
                return "an event that is too long"
        return ""

    def _finish_event(self) -> str:
        number = self._event_number
        data = self._event_data
        self._event_number = ""
        self._event_data = []
        return self.owner.event(number, "\n".join(data)) if data else ""

"""Parses the protocol of endpoint discovery: server-sent events over HTTP.

Owns the request, and the parsing of the response: status, headers, chunks, events. Works on bytes
alone, without a socket or a clock, and never raises an exception on malformed input.
"""

from collections.abc import Callable
from typing import Protocol

from corkgauge.eventloop.memory_budget import MemoryBudget
from corkgauge.eventloop.ring_buffer import RingBuffer

MAX_UNREAD_BYTES = 262_144
MAX_HEADER_LINE_BYTES = 16_384
REQUEST_BYTES = 4096
# Limit for one line, and for the data of one event. An event over the limit closes the connection,
# and would be requested again without end while the gateway keeps an outdated list. A complete list
# of 1,800 engines with ids of 36 characters takes 300,000 bytes.
MAX_LINE_BYTES = 2**20
NEED_MORE = "more"  # returned by a reader of input that needs more bytes


class EventOwner(Protocol):
    """Interface of the object that handles the events."""

    def on_event(self, number: str, data: str) -> str:
        """Handle one event: its id and its data; return why it is invalid, or an empty string."""


def request(host: str, last_event: int) -> bytes:
    """Return the HTTP request for all events after `last_event`."""
    return (
        f"GET /v1/events HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\n"
        f"Last-Event-ID: {last_event}\r\nCache-Control: no-cache\r\n\r\n"
    ).encode()


class DiscoveryProtocol:
    """Parses the event stream and passes each event to its owner.

    `complete_frame_count` counts the complete lines of the stream, including comments.
    """

    def __init__(self, owner: EventOwner, memory_budget: MemoryBudget) -> None:
        self.owner = owner
        self.complete_frame_count = 0
        self.inward = RingBuffer(MAX_UNREAD_BYTES, memory_budget)
        self.outward = RingBuffer(REQUEST_BYTES, memory_budget)
        # Reads the next bytes: a line of the HTTP response, which is passed to `_on_line`, or part
        # of the event stream. Both are functions of the class, as automatic garbage collection is
        # off: a bound method would keep this object, and what it has received, for good.
        self._read: Callable[[DiscoveryProtocol], str] = DiscoveryProtocol._read_line
        self._on_line: Callable[[DiscoveryProtocol, bytes], str] = DiscoveryProtocol._on_status
        self._is_chunked = False
        self._chunk_bytes_left = 0
        self._partial_line = bytearray()
        self._event_number = ""
        self._event_data: list[str] = []
        self._event_bytes = 0  # of `_event_data`, with a line feed for each line

    def parse_input(self) -> str:
        """Handle all received bytes; return what is wrong with them, or an empty string."""
        while (wrong := self._read(self)) == "":
            pass
        return "" if wrong == NEED_MORE else wrong

    def _read_line(self) -> str:
        data = self.inward.peek(len(self.inward))
        end = data.find(b"\n")
        if end >= 0:
            return self._on_line(self, self.inward.take(end + 1).rstrip(b"\r\n"))
        if len(self.inward) >= MAX_HEADER_LINE_BYTES:
            return "line of the HTTP response exceeds 16,384 bytes"
        self.inward.reserve(2 * len(self.inward))
        return NEED_MORE

    def _on_status(self, line: bytes) -> str:
        parts = line.split()
        if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or parts[1] != b"200":
            return f"expected HTTP status 200, found {line[:40]!r}"
        self._on_line = DiscoveryProtocol._on_header
        return ""

    def _on_header(self, line: bytes) -> str:
        if not line and self._is_chunked:
            self._on_line = DiscoveryProtocol._on_chunk_size
        elif not line:
            self._read = DiscoveryProtocol._read_plain
        elif line.lower().startswith(b"transfer-encoding:") and b"chunked" in line.lower():
            self._is_chunked = True
        return ""

    def _on_chunk_size(self, line: bytes) -> str:
        if not line:
            return ""  # end of the previous chunk
        try:
            self._chunk_bytes_left = int(line.split(b";")[0], 16)
        except ValueError:
            return f"expected a chunk size in hexadecimal, found {line[:20]!r}"
        if self._chunk_bytes_left <= 0:
            return "server ended the event stream"
        self._read = DiscoveryProtocol._read_chunk
        return ""

    def _read_chunk(self) -> str:
        if not len(self.inward):
            return NEED_MORE
        data = self.inward.take(min(self._chunk_bytes_left, len(self.inward)))
        self._chunk_bytes_left -= len(data)
        if not self._chunk_bytes_left:
            self._read = DiscoveryProtocol._read_line
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
                return "event is not UTF-8 text"
            if wrong := self._on_event_line(text):
                return wrong
        if len(self._partial_line) > MAX_LINE_BYTES:
            return "line of an event exceeds 1,048,576 bytes"
        return ""

    def _on_event_line(self, line: str) -> str:
        self.complete_frame_count += 1  # comments included
        if not line:
            return self._finish_event()
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            self._event_number = value
        elif name == "data":
            self._event_data.append(value)
            # Empty lines count too: without end, they would take memory and processor time.
            self._event_bytes += len(value) + 1
            if self._event_bytes > MAX_LINE_BYTES:
                return "event exceeds 1,048,576 bytes"
        return ""

    def _finish_event(self) -> str:
        number = self._event_number
        data = self._event_data
        self._event_number = ""
        self._event_data = []
        self._event_bytes = 0
        return self.owner.on_event(number, "\n".join(data)) if data else ""

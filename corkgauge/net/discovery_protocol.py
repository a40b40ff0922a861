"""The control feed's HTTP and server-sent events.

Owns the request to the feed and the reading of its reply: status, headers, chunks, events. Fed from a ring;
must know no socket and no clock, and must never raise on bad bytes.
"""

from typing import Any

from corkgauge.eventloop.ring_buffer import MemoryBudget, RingBuffer

LARGEST = 262_144  # of what lies unread
# A line, so an event with the whole list. Danger: one that is refused is asked for again without end, and the gateway
# goes on with an old list; 1,800 engines with ids of 36 characters take 300,000.
LONGEST = 2**20


def request(host: str, last: int) -> bytes:
    return (
        f"GET /v1/events HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\n"
        f"Last-Event-ID: {last}\r\nCache-Control: no-cache\r\n\r\n"
    ).encode()


class DiscoveryProtocol:
    """Reads the stream and calls its owner: `event(id, data)`, which says what is wrong."""

    def __init__(self, owner: Any, allowance: MemoryBudget) -> None:
        self.owner, self.whole = owner, 0  # whole lines of the stream so far
        self.inward, self.outward = RingBuffer(LARGEST, allowance), RingBuffer(4096, allowance)
        # What comes next: a line, which `heard` takes, or a stretch of events.
        self.state, self.heard, self.chunked = self._line, self._status, False
        self.left = 0  # of a chunk
        self.text = bytearray()  # a part of a line of events
        self.number, self.data = "", list[str]()

    def advance(self) -> str:
        while (wrong := self.state()) == "":
            pass
        return "" if wrong == "more" else wrong

    def _line(self) -> str:
        data = self.inward.peek(len(self.inward))
        end = data.find(b"\n")
        if end >= 0:
            return self.heard(self.inward.take(end + 1).rstrip(b"\r\n"))
        if len(self.inward) >= 16_384:
            return "a line that is too long"
        self.inward.reserve(2 * len(self.inward))
        return "more"

    def _status(self, line: bytes) -> str:
        parts = line.split()
        if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or parts[1] != b"200":
            return f"status {line[:40]!r}"
        self.heard = self._headers
        return ""

    def _headers(self, line: bytes) -> str:
        if not line and self.chunked:
            self.heard = self._chunk_size
        elif not line:
            self.state = self._plain
        elif line.lower().startswith(b"transfer-encoding:") and b"chunked" in line.lower():
            self.chunked = True
        return ""

    def _chunk_size(self, line: bytes) -> str:
        if not line:
            return ""  # the end of the chunk before
        try:
            self.left = int(line.split(b";")[0], 16)
        except ValueError:
            return f"a chunk of size {line[:20]!r}"
        if self.left <= 0:
            return "the end of the stream"
        self.state = self._chunk
        return ""

    def _chunk(self) -> str:
        if not len(self.inward):
            return "more"
        data = self.inward.take(min(self.left, len(self.inward)))
        self.left -= len(data)
        if not self.left:
            self.state = self._line
        return self._events(data)

    def _plain(self) -> str:
        return self._events(self.inward.take(len(self.inward))) if len(self.inward) else "more"

    def _events(self, data: bytes) -> str:
        self.text += data
        while (end := self.text.find(b"\n")) >= 0:
            line = bytes(self.text[:end]).rstrip(b"\r")
            del self.text[: end + 1]
            try:
                if wrong := self._event_line(line.decode()):
                    return wrong
            except UnicodeDecodeError:
                return "an event that is not text"
        return "a line that is too long" if len(self.text) > LONGEST else ""

    def _event_line(self, line: str) -> str:
        self.whole += 1  # a comment counts as well
        if not line:
            number, data = self.number, self.data
            self.number, self.data = "", []
            return self.owner.event(number, "\n".join(data)) if data else ""
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            self.number = value
        elif name == "data":
            self.data.append(value)
            if sum(map(len, self.data)) > LONGEST:
                return "an event that is too long"
        return ""

"""The protocol of clients: binary frames, both ways, as a machine fed with bytes.

Owns framing and field decoding of one client connection, and the order of its streams. Knows no
socket and no clock, never raises on bad bytes, and decides nothing but what a frame says.
"""

from struct import Struct
from typing import Protocol

from corkgauge.eventloop.ring_buffer import MemoryBudget, RingBuffer

MAX_FRAME_BYTES = 262_144  # in the length field, which counts all that follows it
LENGTH_BYTES = 4
MIN_FRAME_BYTES = 5  # kind and stream
HEADER = Struct("<IBI")  # length, kind, stream
STREAM = Struct("<BI")  # kind, stream
NAME = Struct("<B")  # length of a field's name
VALUE = Struct("<H")  # length of a field's value

# Kinds of frames.
REQUEST = 2
ANSWER = 4
WITHDRAWN = 8
READY_ASKED = 16
READY = 32
LEAVING = 64

# Codes of answers.
SERVED = 1
REFUSED = 2
FAILED = 3


class FrameOwner(Protocol):
    """Who the frames are for. Each method says what is wrong with the connection, if anything."""

    def requested(self, stream: int, fields: dict[str, str], body: bytes) -> str:
        """Take a request."""

    def withdrawn(self, stream: int) -> str:
        """Cancel the request of a stream."""

    def ready_asked(self, stream: int) -> str:
        """Answer a readiness check."""

    def unreadable(self, stream: int, wrong: str) -> str:
        """Take note of a frame that makes no sense; stream 0: it belongs to none."""


class ClientProtocol:
    """Reads frames and passes each on to its owner.

    `complete_frame_count` counts the frames that have come whole.
    """

    def __init__(self, owner: FrameOwner, memory_budget: MemoryBudget) -> None:
        self.owner = owner
        self.last_stream = 0
        self.complete_frame_count = 0
        self.inward = RingBuffer(MAX_FRAME_BYTES + LENGTH_BYTES, memory_budget)
        self.outward = RingBuffer(MAX_FRAME_BYTES + LENGTH_BYTES, memory_budget)

    def parse_input(self) -> str:
        """Take what is whole; what is wrong with the framing, or an empty string."""
        ring = self.inward
        while len(ring) >= LENGTH_BYTES:
            length = int.from_bytes(ring.peek(LENGTH_BYTES), "little")
            if not MIN_FRAME_BYTES <= length <= MAX_FRAME_BYTES:
                return f"a frame of length {length}"
            size = length + LENGTH_BYTES
            if len(ring) < size:
                # A length is only a claim: memory is held for what has come, not for what is
                # announced.
                if not ring.free_bytes:
                    ring.reserve(min(size, 2 * len(ring)))
                break
            kind, stream = STREAM.unpack(ring.peek(STREAM.size, LENGTH_BYTES))
            payload = ring.take(size)[HEADER.size :]
            self.complete_frame_count += 1
            if wrong := self._on_frame(kind, stream, payload):
                return wrong
        return ""

    def _on_frame(self, kind: int, stream: int, payload: bytes) -> str:
        if kind == REQUEST:
            # With a number used twice nobody could say whose answer comes under it.
            if stream <= self.last_stream:
                return f"stream {stream} is not new"
            self.last_stream = stream
            fields, body, wrong = fields_of(payload)
            if wrong:
                return self.owner.unreadable(stream, wrong)
            return self.owner.requested(stream, fields, body)
        if kind == WITHDRAWN:
            return self.owner.withdrawn(stream)
        if kind == READY_ASKED:
            return self.owner.ready_asked(stream)
        return self.owner.unreadable(0, f"a frame of type {kind}")


def fields_of(payload: bytes) -> tuple[dict[str, str], bytes, str]:
    r"""Return fields and body, or what is wrong with them.

    >>> fields_of(b"\1\5route\3\0abcselect 1")
    ({'route': 'abc'}, b'select 1', '')
    >>> fields_of(b"\2\5route\3\0abc")[2], fields_of(b"\1\1\xff\0\0")[2], fields_of(b"")[2]
    ('a field cut short', 'a field that is not text', 'no count of fields')
    """
    if not payload:
        return {}, b"", "no count of fields"
    fields: dict[str, str] = {}
    at = 1
    for _ in range(payload[0]):
        begin = at + 1
        middle = begin + (payload[at] if at < len(payload) else 0)
        if middle + 2 > len(payload):
            return {}, b"", "a field cut short"
        at = middle + 2 + VALUE.unpack_from(payload, middle)[0]
        if at > len(payload):
            return {}, b"", "a field cut short"
        try:
            name = payload[begin:middle].decode()
            value = payload[middle + 2 : at].decode()
        except UnicodeDecodeError:
            return {}, b"", "a field that is not text"
        if name in fields:
            return {}, b"", "a field told twice"
        fields[name] = value
    return fields, payload[at:], ""


def frame_head(kind: int, stream: int, code: int, body: int) -> bytes:
    """Return all of an answer but its body, which has `body` bytes; no fields are needed.

    >>> frame_head(ANSWER, 7, SERVED, 2).hex()
    '0900000004070000000100'
    """
    return HEADER.pack(7 + body, kind, stream) + bytes((code, 0))


def leaving() -> bytes:
    """Return the frame that says that this gateway takes no new requests."""
    return HEADER.pack(5, LEAVING, 0)

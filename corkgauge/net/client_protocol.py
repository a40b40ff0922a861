"""Parses and writes the client protocol: binary frames in both directions.

Owns the framing and the field decoding of one client connection, and the order of its stream
numbers. Works on bytes alone, without a socket or a clock, never raises an exception on malformed
input, and leaves all decisions about requests to the `FrameOwner`.
"""

from struct import Struct
from typing import NamedTuple, Protocol

from corkgauge.eventloop.memory_budget import MemoryBudget
from corkgauge.eventloop.ring_buffer import RingBuffer

MAX_FRAME_BYTES = 262_144  # largest value of the length field, which counts the bytes after it
LENGTH_BYTES = 4
MIN_FRAME_BYTES = 5  # least value of the length field: kind and stream
HEADER = Struct("<IBI")  # length, kind, stream
STREAM = Struct("<BI")  # kind, stream
NAME = Struct("<B")  # length of a field's name
VALUE = Struct("<H")  # length of a field's value

# Kinds of frames.
REQUEST = 2  # from the client
ANSWER = 4  # from the gateway, to a request
WITHDRAWN = 8  # from the client: cancels a request
READY_ASKED = 16  # from the client: readiness check
READY = 32  # from the gateway, to a readiness check
LEAVING = 64  # from the gateway: asks the client to send no new requests

# Codes of answers.
SERVED = 1
REFUSED = 2
FAILED = 3


class FrameOwner(Protocol):
    """Interface of the object that handles the frames of one connection.

    Each method returns why the connection must be closed, or an empty string. The client is sent
    that reason.
    """

    def on_request_frame(self, stream: int, fields: dict[str, str], body: bytes) -> str:
        """Handle a request."""

    def on_request_discarded(self, stream: int) -> str:
        """Handle a request that was received whole, and discarded for lack of memory."""

    def on_cancel_frame(self, stream: int) -> str:
        """Cancel the request of a stream."""

    def on_ready_check(self, stream: int) -> str:
        """Answer a readiness check."""

    def on_unusable_frame(self, stream: int, reason: str) -> str:
        """Handle an unusable frame; stream 0 means that the frame belongs to no stream."""


class FrameHeader(NamedTuple):
    """What precedes the payload of a frame; `size` is that of the whole frame in bytes."""

    size: int
    kind: int
    stream: int


class ClientProtocol:
    """Parses frames and passes each of them to its owner.

    `complete_frame_count` counts the complete frames.
    """

    def __init__(
        self, owner: FrameOwner, input_memory: MemoryBudget, output_memory: MemoryBudget
    ) -> None:
        self.owner = owner
        self.last_stream = 0
        self.complete_frame_count = 0
        self.inward = RingBuffer(MAX_FRAME_BYTES + LENGTH_BYTES, input_memory)
        self.outward = RingBuffer(MAX_FRAME_BYTES + LENGTH_BYTES, output_memory)
        # Frame of which the rest is discarded on arrival, None if there is none.
        self._discarded: FrameHeader | None = None

    def parse_input(self) -> str:
        """Handle all complete frames; return why to close the connection, or an empty string."""
        if self._discarded is not None:
            if self.inward.discard_bytes_left:
                return ""
            if wrong := self._on_frame_discarded(self._discarded):
                return wrong
        return self._parse_frames()

    def _parse_frames(self) -> str:
        ring = self.inward
        while len(ring) >= LENGTH_BYTES:
            length = int.from_bytes(ring.peek(LENGTH_BYTES), "little")
            if not MIN_FRAME_BYTES <= length <= MAX_FRAME_BYTES:
                return f"a frame of length {length}"
            size = length + LENGTH_BYTES
            if len(ring) < size:
                # The announced length is not trusted until the initial buffer is full. Memory is
                # then reserved for the whole frame: connections that hold part of what they need
                # could all wait for each other.
                if not ring.free_bytes:
                    ring.reserve(size)
                break
            kind, stream = STREAM.unpack(ring.peek(STREAM.size, LENGTH_BYTES))
            payload = ring.take(size)[HEADER.size :]
            self.complete_frame_count += 1
            if wrong := self._on_frame(kind, stream, payload):
                return wrong
        return ""

    def discard_frame(self) -> None:
        """Give up the incomplete frame in `inward`, of which at least the header is there.

        What is there is removed, and the rest is removed on arrival. The owner is notified once all
        of it has arrived: a request is not complete before, and may still be abandoned.
        """
        length, kind, stream = HEADER.unpack(self.inward.peek(HEADER.size))
        self._discarded = FrameHeader(length + LENGTH_BYTES, kind, stream)
        self.inward.discard(self._discarded.size)

    def _on_frame_discarded(self, header: FrameHeader) -> str:
        self._discarded = None
        self.complete_frame_count += 1
        if header.kind != REQUEST:
            return self._on_frame(header.kind, header.stream, b"")
        return self._open_stream(header.stream) or self.owner.on_request_discarded(header.stream)

    def _open_stream(self, stream: int) -> str:
        # If a stream number were used twice, its answers could not be told apart.
        if stream <= self.last_stream:
            return f"stream {stream} is not new"
        self.last_stream = stream
        return ""

    def _on_frame(self, kind: int, stream: int, payload: bytes) -> str:
        if kind == REQUEST:
            if wrong := self._open_stream(stream):
                return wrong
            fields, body, wrong = read_payload(payload)
            if wrong:
                return self.owner.on_unusable_frame(stream, wrong)
            return self.owner.on_request_frame(stream, fields, body)
        if kind == WITHDRAWN:
            return self.owner.on_cancel_frame(stream)
        if kind == READY_ASKED:
            return self.owner.on_ready_check(stream)
        return self.owner.on_unusable_frame(0, f"a frame of type {kind}")


def read_payload(payload: bytes) -> tuple[dict[str, str], bytes, str]:
    r"""Return the fields and the body of a request, and why they are invalid (empty if valid).

    >>> read_payload(b"\1\5route\3\0abcselect 1")
    ({'route': 'abc'}, b'select 1', '')
    >>> read_payload(b"\2\5route\3\0abc")[2], read_payload(b"\1\1\xff\0\0")[2], read_payload(b"")[2]
    ('a field cut short', 'a field that is not text', 'no count of fields')
    """
    if not payload:
        return {}, b"", "no count of fields"
    fields: dict[str, str] = {}
    position = 1
    for _ in range(payload[0]):
        name_begin = position + 1
        name_end = name_begin + (payload[position] if position < len(payload) else 0)
        if name_end + 2 > len(payload):
            return {}, b"", "a field cut short"
        position = name_end + 2 + VALUE.unpack_from(payload, name_end)[0]
        if position > len(payload):
            return {}, b"", "a field cut short"
        try:
            name = payload[name_begin:name_end].decode()
            value = payload[name_end + 2 : position].decode()
        except UnicodeDecodeError:
            return {}, b"", "a field that is not text"
        if name in fields:
            return {}, b"", "a field told twice"
        fields[name] = value
    return fields, payload[position:], ""


def frame_head(kind: int, stream: int, code: int, body_bytes: int) -> bytes:
    """Return the head of an answer frame without fields, which a body of `body_bytes` follows.

    >>> frame_head(ANSWER, 7, SERVED, 2).hex()
    '0900000004070000000100'
    """
    return HEADER.pack(7 + body_bytes, kind, stream) + bytes((code, 0))


def leaving_frame() -> bytes:
    """Return the frame that asks a client to send no new requests on this connection.

    The gateway still accepts requests until its shutdown ends.
    """
    return HEADER.pack(5, LEAVING, 0)

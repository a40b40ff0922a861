"""The clients' binary frames, both ways.

Owns framing and field decoding of one client connection, and the numbers of its streams. Fed from a ring;
must know no socket and no clock, must never raise on bad bytes, and decides nothing but what a frame says.
"""

from struct import Struct
from typing import Any

from corkgauge.eventloop.ring_buffer import MemoryBudget, RingBuffer

LARGEST = 262_144  # a frame's length field at most; it counts all that follows it
HEADER, STREAM, NAME, VALUE = Struct("<IBI"), Struct("<BI"), Struct("<B"), Struct("<H")
REQUEST, ANSWER, WITHDRAWN, READY_ASKED, READY, LEAVING = 2, 4, 8, 16, 32, 64
SERVED, REFUSED, FAILED = 1, 2, 3


class ClientProtocol:
    """Reads frames and calls its owner: `requested`, `withdrawn`, `ready_asked`, `unreadable`. Each says what
    is wrong with the connection as a whole, if anything; so does `advance`."""

    def __init__(self, owner: Any, allowance: MemoryBudget) -> None:
        self.owner, self.last_stream, self.whole = owner, 0, 0
        self.inward, self.outward = (RingBuffer(LARGEST + 4, allowance) for _ in "io")

    def advance(self) -> str:
        """Take what is whole; what is wrong with the framing, if anything."""
        ring = self.inward
        while len(ring) >= 4:
            length = int.from_bytes(ring.peek(4), "little")
            if not 5 <= length <= LARGEST:
                return f"a frame of length {length}"
            if len(ring) < length + 4:
                if (
                    not ring.free
                ):  # Danger: a length is only a claim; memory is held for what has come
                    ring.reserve(min(length + 4, 2 * len(ring)))
                break
            kind, stream = STREAM.unpack(ring.peek(5, 4))
            payload = ring.take(length + 4)[9:]
            self.whole += 1
            if wrong := self._frame(kind, stream, payload):
                return wrong
        return ""

    def _frame(self, kind: int, stream: int, payload: bytes) -> str:
        if kind == REQUEST:
            if (
                stream <= self.last_stream
            ):  # Danger: whose answer is it that comes under this number?
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
    """Fields and body, or what is wrong with them.

    >>> fields_of(b"\\1\\5route\\3\\0abcselect 1")
    ({'route': 'abc'}, b'select 1', '')
    >>> fields_of(b"\\2\\5route\\3\\0abc")[2], fields_of(b"\\1\\1\\xff\\0\\0")[2], fields_of(b"")[2]
    ('a field cut short', 'a field that is not text', 'no count of fields')
    """
    if not payload:
        return {}, b"", "no count of fields"
    fields, at = {}, 1
    for _ in range(payload[0]):
        begin = at + 1
        middle = begin + (payload[at] if at < len(payload) else 0)
        if middle + 2 > len(payload):
            return {}, b"", "a field cut short"
        at = middle + 2 + VALUE.unpack_from(payload, middle)[0]
        if at > len(payload):
            return {}, b"", "a field cut short"
        try:
            name, value = payload[begin:middle].decode(), payload[middle + 2 : at].decode()
        except UnicodeDecodeError:
            return {}, b"", "a field that is not text"
        if name in fields:
            return {}, b"", "a field told twice"
        fields[name] = value
    return fields, payload[at:], ""


def frame_head(kind: int, stream: int, code: int, body: int) -> bytes:
    """All of an answer but its body, which has so many bytes; no fields are needed.

    >>> frame_head(ANSWER, 7, SERVED, 2).hex()
    '0900000004070000000100'
    """
    return HEADER.pack(7 + body, kind, stream) + bytes((code, 0))


def leaving() -> bytes:
    return HEADER.pack(5, LEAVING, 0)

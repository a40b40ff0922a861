"""Framing of the simulator protocol: reads frames of records and writes replies."""

import struct
from typing import Any, BinaryIO

HEADER = struct.Struct("<IQII")  # size of the rest, clock, record count, frame number
REPLY = struct.Struct("<III")  # record count, size of the rest, frame number


class ProtocolError(Exception):
    """The input violates the protocol; later bytes cannot be interpreted."""


class Cursor:
    """Reads fields sequentially from the records of a frame."""

    def __init__(self, body: bytes) -> None:
        self.body, self.offset = body, 0

    def take(self, field_format: struct.Struct) -> tuple[Any, ...]:
        """Return the next fields, in the given format."""
        offset = self.offset
        if offset + field_format.size > len(self.body):
            raise ProtocolError(
                f"record truncated at byte {offset} of a frame of {len(self.body)} bytes"
            )
        self.offset = offset + field_format.size
        return field_format.unpack_from(self.body, offset)

    def take_bytes(self, size: int) -> bytes:
        """Return the next `size` bytes."""
        offset = self.offset
        if offset + size > len(self.body):
            raise ProtocolError(
                f"expected {size} bytes at byte {offset}, found {len(self.body) - offset}"
            )
        self.offset = offset + size
        return self.body[offset : offset + size]


def read_frame(source: BinaryIO) -> tuple[int, int, int, Cursor] | None:
    r"""Return the next frame, or None at the end of the input.

    A frame is returned as clock (microseconds), record count, frame number and records. The input
    may end only between two frames.

    >>> import io
    >>> clock, count, number, cursor = read_frame(io.BytesIO(bytes.fromhex(
    ...     "10000000" "5a5c800000000000" "00000000" "01000000")))
    >>> clock, count, number
    (8412250, 0, 1)
    >>> read_frame(io.BytesIO(b"")) is None
    True
    >>> read_frame(io.BytesIO(b"\x10\0"))
    Traceback (most recent call last):
    corkgauge.simulator.protocol.ProtocolError: input ended inside a frame's length
    """
    head = source.read(4)
    if not head:
        return None
    if len(head) < 4:
        raise ProtocolError("input ended inside a frame's length")
    size = int.from_bytes(head, "little")
    if size < HEADER.size - 4:
        raise ProtocolError(
            f"expected at least the size of a frame header, found frame length {size}"
        )
    body = source.read(size)
    if len(body) < size:
        raise ProtocolError(f"input ended inside a frame: {len(body)} of {size} bytes")
    _, clock, count, number = HEADER.unpack(head + body[: HEADER.size - 4])
    return clock, count, number, Cursor(body[HEADER.size - 4 :])


def write_frame(sink: BinaryIO, number: int, records: list[bytes]) -> None:
    """Write the reply to the frame `number`, and flush the output.

    >>> import io
    >>> out = io.BytesIO(); write_frame(out, 1, []); out.getvalue().hex()
    '000000000400000001000000'
    """
    body = b"".join(records)
    sink.write(REPLY.pack(len(records), len(body) + 4, number) + body)
    sink.flush()

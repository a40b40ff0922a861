"""Framing of the simulator's wire: bytes in, fields out, and back."""

import struct
from typing import Any, BinaryIO

HEADER = struct.Struct("<IQII")
REPLY = struct.Struct("<III")


class ProtocolError(Exception):
    """The peer broke the framing; nothing sensible can follow."""


class Cursor:
    """Reads fields one after the other from the records of a frame."""

    def __init__(self, body: bytes) -> None:
        self.body, self.at = body, 0

    def take(self, shape: struct.Struct) -> tuple[Any, ...]:
        """The next fields of this shape."""
        at = self.at
        if at + shape.size > len(self.body):
            raise ProtocolError(f"record cut short at byte {at} of {len(self.body)}")
        self.at = at + shape.size
        return shape.unpack_from(self.body, at)

    def run(self, size: int) -> bytes:
        """The next bytes, so many."""
        at = self.at
        if at + size > len(self.body):
            raise ProtocolError(f"{size} bytes announced at byte {at}, {len(self.body) - at} there")
        self.at = at + size
        return self.body[at : at + size]


def read_frame(source: BinaryIO) -> tuple[int, int, int, Cursor] | None:
    r"""Clock, record count, number and records of the next frame; None at a clean end.

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
        raise ProtocolError(f"impossible frame length {size}")
    body = source.read(size)
    if len(body) < size:
        raise ProtocolError(f"input ended inside a frame: {len(body)} of {size} bytes")
    _, clock, count, number = HEADER.unpack(head + body[: HEADER.size - 4])
    return clock, count, number, Cursor(body[HEADER.size - 4 :])


def write_frame(sink: BinaryIO, number: int, records: list[bytes]) -> None:
    """One reply, flushed.

    >>> import io
    >>> out = io.BytesIO(); write_frame(out, 1, []); out.getvalue().hex()
    '000000000400000001000000'
    """
    body = b"".join(records)
    sink.write(REPLY.pack(len(records), len(body) + 4, number) + body)
    sink.flush()

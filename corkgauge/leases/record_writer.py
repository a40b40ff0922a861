"""Writes a record to a file atomically, in a helper process that waits for the disk.

Owns the file format and the helper process `python record_writer.py PATH`. The instance writes a
frame to the helper's input, and the helper answers with the frame's number once the record is
durable; only then does the voter reply. Each frame includes the content of all earlier frames, so
after a busy disk the helper writes only the last frame received and confirms all of them (group
commit). The helper exits when its parent exits, because the pipe to its input is then closed.

A file consists of the magic, the length and CRC-32 of the body, and the body. A frame consists of
its number, the length of the body, and the body. Numbers are 32-bit little-endian integers.
"""

import os
import struct
import sys
import zlib
from typing import NamedTuple

MAGIC = b"CKGVOTE1"
FILE_HEADER = struct.Struct("<8sII")  # magic, length, CRC-32 of the body
FRAME_HEADER = struct.Struct("<II")  # number, length
FRAME_NUMBER = struct.Struct("<I")
MAX_RECORD_BYTES = 2**20


def pack_record(body: bytes) -> bytes:
    """Return the content of a file with this body."""
    return FILE_HEADER.pack(MAGIC, len(body), zlib.crc32(body)) + body


def unpack_record(data: bytes) -> bytes | None:
    """Return the body, or None for an incomplete, foreign or empty file.

    >>> unpack_record(pack_record(b"x")), unpack_record(pack_record(b"x")[:-1]), unpack_record(b"")
    (b'x', None, None)
    """
    if len(data) < FILE_HEADER.size:
        return None
    magic, length, checksum = FILE_HEADER.unpack_from(data)
    body = data[FILE_HEADER.size :]
    is_whole = magic == MAGIC and len(body) == length and zlib.crc32(body) == checksum
    return body if is_whole else None


def write_file(path: str, data: bytes) -> None:
    """Write a file atomically: write a temporary file, sync, rename, and sync the folder.

    Raises OSError if the disk rejects the write.
    """
    temporary_path = f"{path}.new"
    descriptor = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o640)
    try:
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(temporary_path, path)
    folder = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class Frames(NamedTuple):
    """The complete frames at the start of the input."""

    numbers: list[int]
    last_body: bytes
    remainder: bytes  # input after the complete frames
    is_too_large: bool = False  # the next frame's length exceeds MAX_RECORD_BYTES


def split_frames(data: bytes) -> Frames:
    r"""Split the input into complete frames and the remainder.

    >>> split_frames(FRAME_HEADER.pack(1, 1) + b"x" + FRAME_HEADER.pack(2, 2) + b"y")[:3]
    ([1], b'x', b'\x02\x00\x00\x00\x02\x00\x00\x00y')
    """
    numbers: list[int] = []
    body = b""
    position = 0
    while len(data) >= position + FRAME_HEADER.size:
        number, length = FRAME_HEADER.unpack_from(data, position)
        end = position + FRAME_HEADER.size + length
        if length > MAX_RECORD_BYTES:
            return Frames(numbers, body, data[position:], is_too_large=True)
        if len(data) < end:
            break
        numbers.append(number)
        body = data[position + FRAME_HEADER.size : end]
        position = end
    return Frames(numbers, body, data[position:])


def main() -> int:
    """Write records until the input ends, the output closes or a frame is too large."""
    path = sys.argv[1]
    remainder = b""
    while data := os.read(0, FRAME_HEADER.size + MAX_RECORD_BYTES):
        frames = split_frames(remainder + data)
        if frames.is_too_large:
            return 0
        remainder = frames.remainder
        if not frames.numbers:
            continue
        try:
            # Write only the last record: a slow disk that wrote every record would fall further and
            # further behind the repeated requests.
            write_file(path, pack_record(frames.last_body))
        except OSError:
            continue  # no confirmation: the voter does not reply, which is safe
        try:
            os.write(1, b"".join(FRAME_NUMBER.pack(number) for number in frames.numbers))
        except OSError:
            return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""A record as a file, written whole or not at all, and the helper process that waits for the disk.

Owns the file's form and the helper `python record_writer.py PATH`. The instance writes a frame to
its input, and the helper answers with the frame's number once it is safe; only then does the voter
answer anybody. Each frame holds all that those before it did, so of those that came while the disk
was busy the last alone is written, and all are answered (group commit). The helper ends with its
parent: the pipe's end is its own.

A file is the magic, the body's length and its CRC-32, and the body; a frame is its number, the
body's length, and the body. Numbers are 32 bits, little-endian.
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
    """Return the file's bytes."""
    return FILE_HEADER.pack(MAGIC, len(body), zlib.crc32(body)) + body


def unpack_record(data: bytes) -> bytes | None:
    """Return the body, or None: torn, foreign, empty.

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
    """Write aside, sync, rename, sync the folder. OSError where the disk does not take it."""
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
    """The whole frames at the front of the input."""

    numbers: list[int]
    last_body: bytes
    remainder: bytes  # of the input, behind them
    is_too_large: bool = False  # the next one announces more than a record may have


def split_frames(data: bytes) -> Frames:
    r"""Part the input into its whole frames and what is left.

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
    """Write records until the input ends, or a frame is too large to be one of ours."""
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
            # The last one alone: a slow disk that writes each in turn falls ever further behind
            # those who ask again.
            write_file(path, pack_record(frames.last_body))
        except OSError:
            continue  # no answer: the voter says nothing, which is safe
        try:
            os.write(1, b"".join(FRAME_NUMBER.pack(number) for number in frames.numbers))
        except OSError:
            return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())

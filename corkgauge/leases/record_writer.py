"""What a voter has promised and granted, as a file: written whole or not at all, by a helper that waits for
the disk.

Owns the file's form and the helper process `python store.py PATH`. The gateway writes a frame to its input,
and the helper answers with the frame's number once it is safe; only then does the voter say anything. Each frame
holds all that those before it did, so of those that came while the disk was busy the last alone is written, and all
are answered (group commit). The helper ends with its parent: the pipe's end is its own.
"""

import os
import struct
import sys
import zlib

MAGIC = b"CKGVOTE1"
HEAD = struct.Struct("<8sII")  # magic, length, CRC-32 of the body
FRAME = struct.Struct("<II")  # number, length
LARGEST = 2**20


def packed(body: bytes) -> bytes:
    return HEAD.pack(MAGIC, len(body), zlib.crc32(body)) + body


def unpacked(data: bytes) -> bytes | None:
    """The body, or None: torn, foreign, empty.

    >>> unpacked(packed(b"x")), unpacked(packed(b"x")[:-1]), unpacked(b"")
    (b'x', None, None)
    """
    if len(data) < HEAD.size:
        return None
    magic, length, mark = HEAD.unpack_from(data)
    body = data[HEAD.size :]
    return body if magic == MAGIC and len(body) == length and zlib.crc32(body) == mark else None


def write(path: str, data: bytes) -> None:
    """Aside, synced, renamed, the folder synced. OSError where the disk does not take it."""
    aside = f"{path}.new"
    descriptor = os.open(aside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o640)
    try:
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(aside, path)
    folder = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def main() -> int:
    path, rest = sys.argv[1], b""
    while data := os.read(0, FRAME.size + LARGEST):
        rest += data
        numbers, body, at = list[int](), b"", 0
        while len(rest) >= at + FRAME.size:
            number, length = FRAME.unpack_from(rest, at)
            if length > LARGEST:
                return 0
            if len(rest) < at + FRAME.size + length:
                break
            numbers.append(number)
            body, at = rest[at + FRAME.size : at + FRAME.size + length], at + FRAME.size + length
        if not numbers:
            continue
        rest = rest[at:]
        try:
            # Danger: a slow disk that writes each of them in turn falls ever further behind those who ask again.
            write(path, packed(body))
        except OSError:
            continue  # no answer: the voter says nothing, which is safe
        try:
            os.write(1, b"".join(struct.pack("<I", each) for each in numbers))
        except OSError:
            return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())

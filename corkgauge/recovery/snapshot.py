"""Codec of a snapshot of the learned state.

A file consists of the magic (8 bytes), the format version (2), the length of the body (4), the
xxHash64 of header and body (8) and the body in msgpack; numbers are little-endian. The module does
no I/O. Whatever the bytes, decoding raises no error except UnusableSnapshotError.
"""

from struct import Struct
from typing import Any

import msgpack
import xxhash

from corkgauge.errors import CorruptedFileError

MAGIC = b"CKGRECL\n"
FORMAT_VERSION = 1
FILE_HEADER = Struct("<8sHI")  # magic, format version, length of the body
CHECKSUM_FORMAT = Struct("<Q")
OVERHEAD_BYTES = FILE_HEADER.size + CHECKSUM_FORMAT.size
MAX_SNAPSHOT_BYTES = 16 * 2**20


class UnusableSnapshotError(CorruptedFileError):
    """A snapshot file cannot be used; the message is a short phrase that says why."""


def encode(body: dict[str, Any]) -> bytes:
    """Encode the content of a snapshot file."""
    data: bytes = msgpack.packb(body)
    header = FILE_HEADER.pack(MAGIC, FORMAT_VERSION, len(data))
    return header + CHECKSUM_FORMAT.pack(_checksum(header, data)) + data


def _checksum(header: bytes, body: bytes) -> int:
    return int(xxhash.xxh64_intdigest(body, xxhash.xxh64_intdigest(header)))


def decode(data: bytes, gateway: str = "", settings_checksum: int = 0) -> dict[str, Any]:
    """Return the body of a snapshot.

    With a `gateway`, the snapshot has to be of this gateway under settings with this checksum.

    Raises UnusableSnapshotError if the file is torn, of another format ("foreign"), too large, of a
    newer format version, of another gateway or of other settings.

    >>> decode(encode({"gateway": "n1", "mark": 7, "at": 1}), "n1", 7)["at"]
    1
    >>> decode(encode({"gateway": "n1", "mark": 7, "at": 1}), "n2", 7)
    Traceback (most recent call last):
    corkgauge.recovery.snapshot.UnusableSnapshotError: of another gateway
    """
    body = _decode_body(_verify_body(data))
    if gateway and body.get("gateway") != gateway:
        raise UnusableSnapshotError("of another gateway")
    if gateway and body.get("mark") != settings_checksum:
        raise UnusableSnapshotError("of other settings")
    return body


def _verify_body(data: bytes) -> bytes:
    if len(data) > MAX_SNAPSHOT_BYTES:
        raise UnusableSnapshotError("too large")
    if len(data) < OVERHEAD_BYTES or not data.startswith(MAGIC):
        raise UnusableSnapshotError("foreign")
    _, version, length = FILE_HEADER.unpack_from(data)
    if version > FORMAT_VERSION:
        raise UnusableSnapshotError(f"of version {version}, newer than {FORMAT_VERSION}")
    body = data[OVERHEAD_BYTES:]
    (checksum,) = CHECKSUM_FORMAT.unpack_from(data, FILE_HEADER.size)
    if len(body) != length or checksum != _checksum(data[: FILE_HEADER.size], body):
        raise UnusableSnapshotError("torn")
    return body


def _decode_body(packed: bytes) -> dict[str, Any]:
    try:
        body = msgpack.unpackb(packed, strict_map_key=False)
    except (ValueError, msgpack.UnpackException):
        raise UnusableSnapshotError("torn") from None
    if not isinstance(body, dict) or not isinstance(body.get("at"), int):
        raise UnusableSnapshotError("foreign")
    return body

"""Codec of a snapshot of the learned state.

A file is magic (8 bytes), version (2), length (4), xxHash64 of head and body (8) and the body in
msgpack, all little-endian. Free of I/O; whatever the bytes, the only error is
UnusableSnapshotError.
"""

from struct import Struct
from typing import Any

import msgpack
import xxhash

from corkgauge.errors import CorruptedFileError

MAGIC = b"CKGRECL\n"
FORMAT_VERSION = 1
FILE_HEADER = Struct("<8sHI")
CHECKSUM_FORMAT = Struct("<Q")
OVERHEAD_BYTES = FILE_HEADER.size + CHECKSUM_FORMAT.size
MAX_SNAPSHOT_BYTES = 16 * 2**20


class UnusableSnapshotError(CorruptedFileError):
    """A snapshot does not count; the message is a word or two that say why."""


def encode(body: dict[str, Any]) -> bytes:
    """Return the bytes of a snapshot file."""
    data: bytes = msgpack.packb(body)
    head = FILE_HEADER.pack(MAGIC, FORMAT_VERSION, len(data))
    return head + CHECKSUM_FORMAT.pack(_checksum(head, data)) + data


def _checksum(head: bytes, body: bytes) -> int:
    return int(xxhash.xxh64_intdigest(body, xxhash.xxh64_intdigest(head)))


def decode(data: bytes, gateway: str = "", settings_checksum: int = 0) -> dict[str, Any]:
    """Return the body of a snapshot; with a gateway named, only of this one under these settings.

    Raises UnusableSnapshotError for a file that is torn, foreign, too large or of a newer version.

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

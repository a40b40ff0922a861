"""A snapshot of what was learned, as bytes.

Owns the form of a file and why one does not count. Free of I/O. Must never raise on any bytes, nor take a
file of another deployment, other settings or a newer version.

Magic (8), version (2), length (4), xxHash64 of head and body (8), the body in msgpack. Little-endian.
"""

from struct import Struct
from typing import Any

import msgpack
import xxhash

MAGIC, VERSION = b"CKGRECL\n", 1
HEAD, SUM = Struct("<8sHI"), Struct("<Q")
OVERHEAD = HEAD.size + SUM.size
LARGEST = 16 * 2**20


class UnusableSnapshotError(ValueError):
    """One word or two: why a snapshot does not count."""


def packed(body: dict[str, Any]) -> bytes:
    data = msgpack.packb(body)
    head = HEAD.pack(MAGIC, VERSION, len(data))
    return head + SUM.pack(xxhash.xxh64_intdigest(data, xxhash.xxh64_intdigest(head))) + data


def read(data: bytes, gateway: str = "", mark: int = 0) -> dict[str, Any]:
    """The body of a snapshot; of this gateway under these settings, where they are named.

    >>> read(packed({"gateway": "n1", "mark": 7, "at": 1}), "n1", 7)["at"]
    1
    >>> read(packed({"gateway": "n1", "mark": 7, "at": 1}), "n2", 7)
    Traceback (most recent call last):
    corkgauge.recovery.snapshot.UnusableSnapshotError: of another gateway
    """
    if len(data) > LARGEST:
        raise UnusableSnapshotError("too large")
    if len(data) < OVERHEAD or not data.startswith(MAGIC):
        raise UnusableSnapshotError("foreign")
    _, version, length = HEAD.unpack_from(data)
    if version > VERSION:
        raise UnusableSnapshotError(f"of version {version}, newer than {VERSION}")
    body = data[OVERHEAD:]
    if len(body) != length or SUM.unpack_from(data, HEAD.size)[0] != xxhash.xxh64_intdigest(
        body, xxhash.xxh64_intdigest(data[: HEAD.size])
    ):
        raise UnusableSnapshotError("torn")
    try:
        said = msgpack.unpackb(body, strict_map_key=False)
    except (ValueError, msgpack.UnpackException):
        raise UnusableSnapshotError("torn") from None
    if not isinstance(said, dict) or not isinstance(said.get("at"), int):
        raise UnusableSnapshotError("foreign")
    if gateway and said.get("gateway") != gateway:
        raise UnusableSnapshotError("of another gateway")
    if gateway and said.get("mark") != mark:
        raise UnusableSnapshotError("of other settings")
    return said

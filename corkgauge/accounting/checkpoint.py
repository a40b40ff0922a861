"""The file that keeps figures through a kill: its two slots, as bytes.

Owns the form of a slot, which of two counts, and why one does not. Free of I/O. Must never raise on any
bytes, and never take a slot that is torn, foreign or from a newer version for a good one.

A slot: magic (8 bytes), version (2), length of the body (4), generation (8), xxHash64 (8) of all that
precedes it and the body, then the body in msgpack. Little-endian. Slots are written in turn, so that one
which is written while the power fails, or the program is killed, leaves the other whole.
"""

from struct import Struct
from typing import Any

import msgpack
import xxhash

MAGIC, VERSION = b"CKGFIGS\n", 1
HEAD, SUM = Struct("<8sHIQ"), Struct("<Q")
OVERHEAD = HEAD.size + SUM.size
SLOT = 256 * 1024  # bytes of one slot
FILE = 2 * SLOT
EARLIER = 8  # epochs kept beside the present one
FOLDED = "(all)"  # the row of all engines, where each for itself would not fit
TORN, FOREIGN, NEWER, EMPTY = "torn", "foreign", "newer", "empty"


def slot(generation: int, body: Any) -> bytes:
    """A slot's bytes; ValueError where the body is too large for one."""
    packed = msgpack.packb(body)
    if len(packed) + OVERHEAD > SLOT:
        raise ValueError(f"{len(packed)} bytes")
    head = HEAD.pack(MAGIC, VERSION, len(packed), generation)
    return head + SUM.pack(xxhash.xxh64_intdigest(packed, xxhash.xxh64_intdigest(head))) + packed


def read(data: bytes) -> tuple[int, Any, str]:
    """Generation, body, and what is wrong with a slot, if anything.

    >>> read(slot(3, {"a": 1}))
    (3, {'a': 1}, '')
    >>> read(bytes(64))[2], read(b"something else, of some length")[2], read(slot(3, {"a": 1})[:-1])[2]
    ('empty', 'foreign', 'torn')
    """
    if not data.strip(b"\0"):
        return 0, None, EMPTY
    if len(data) < OVERHEAD or not data.startswith(MAGIC):
        return 0, None, FOREIGN
    _, version, length, generation = HEAD.unpack_from(data)
    packed = data[OVERHEAD : OVERHEAD + length]
    if version > VERSION:
        return 0, None, NEWER
    # Danger: a length is only a claim; the sum is asked before anything is unpacked.
    if len(packed) != length or SUM.unpack_from(data, HEAD.size)[0] != xxhash.xxh64_intdigest(
        packed, xxhash.xxh64_intdigest(data[: HEAD.size])
    ):
        return 0, None, TORN
    try:
        body = msgpack.unpackb(packed, strict_map_key=False)
    except (ValueError, TypeError, msgpack.UnpackException):
        return 0, None, TORN
    return generation, body, "" if isinstance(body, dict) else FOREIGN


def latest(data: bytes) -> tuple[int, Any, str]:
    """The newer good slot of a file; where there is none, why."""
    found = [read(data[at : at + SLOT]) for at in (0, SLOT)]
    good = [each for each in found if not each[2]]
    if good:
        return max(good, key=lambda each: each[0])
    whys = {why for _, _, why in found}
    return 0, None, next(why for why in (NEWER, TORN, FOREIGN, EMPTY) if why in whys)


def folded(cut: dict[str, Any]) -> dict[str, Any]:
    """A cut with all its engines in one row, where they would not fit a slot."""
    from corkgauge.accounting.snapshot import together

    rows = [
        {**cut, "offerings": {}, "connections": {}, "engines": {FOLDED: row}}
        for row in cut["engines"].values()
    ]
    return {**cut, "engines": together(rows)["engines"]}

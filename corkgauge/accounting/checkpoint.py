"""Encodes and decodes the checkpoint file, which preserves the counts if the process is killed.

Owns the format of a slot, the choice between the two slots, and the reasons for rejecting a slot.
Free of I/O. Decoding a slot must not raise for any bytes and must never accept a slot that is torn,
foreign or of a newer version.

A slot is magic (8 bytes), version (2), length of the body (4), generation (8), xxHash64 (8) of the
preceding fields and the body, and then the body in msgpack; little-endian. The slots are written
alternately, so that the other slot remains complete if the process is killed during a write. After
a power failure both slots can be torn, because the operating system may write any part of the
mapped file to the disk at any time.
"""

from collections.abc import Sequence
from enum import StrEnum
from struct import Struct
from typing import Any, NamedTuple

import msgpack
import xxhash

from corkgauge.accounting.snapshot import LazyEngineRows, Snapshot, as_plain_dict
from corkgauge.accounting.snapshot_merge import sum_rows

MAGIC = b"CKGFIGS\n"
VERSION = 1
HEADER = Struct("<8sHIQ")  # magic, version, length of the body, generation
CHECKSUM = Struct("<Q")
OVERHEAD_BYTES = HEADER.size + CHECKSUM.size
SLOT_BYTES = 256 * 1024
FILE_BYTES = 2 * SLOT_BYTES
MAX_EARLIER_EPOCHS = 8  # kept in addition to the current epoch
ALL_ENGINES_ROW = "(all)"  # the row of all engines, if one row per engine does not fit


class SlotProblem(StrEnum):
    """Reason for rejecting a slot; the values appear in log lines and errors."""

    NEWER = "newer"
    """Written by a newer version."""
    TORN = "torn"
    """Not written completely, or altered."""
    FOREIGN = "foreign"
    """Not a slot, or one whose body is not a checkpoint."""
    EMPTY = "empty"
    """Never written."""


# If both slots are rejected, the first of their problems in this order is reported, because that
# problem says the most about the file.
_PROBLEMS_BY_PRIORITY = (
    SlotProblem.NEWER,
    SlotProblem.TORN,
    SlotProblem.FOREIGN,
    SlotProblem.EMPTY,
)


class CheckpointError(ValueError):
    """Raised for a checkpoint that cannot be written or read.

    The message is the size of a body that does not fit into a slot ("12345 bytes"), or the
    `SlotProblem` of a file without a valid slot. Log lines and errors of the callers contain it.
    """


class Slot(NamedTuple):
    """A decoded slot; the body is None if a problem prevents its decoding."""

    generation: int
    body: Any
    problem: SlotProblem | None


def encode_slot(generation: int, body: Any) -> bytes:
    """Return the bytes of a slot; raise CheckpointError if the body is too large."""
    packed: bytes = msgpack.packb(body)
    if len(packed) + OVERHEAD_BYTES > SLOT_BYTES:
        raise CheckpointError(f"{len(packed)} bytes")
    header = HEADER.pack(MAGIC, VERSION, len(packed), generation)
    return header + CHECKSUM.pack(_checksum(header, packed)) + packed


def decode_slot(data: bytes) -> Slot:
    """Decode a slot from arbitrary bytes.

    >>> decode_slot(encode_slot(3, {"a": 1}))
    Slot(generation=3, body={'a': 1}, problem=None)
    >>> torn = encode_slot(3, {"a": 1})[:-1]
    >>> [str(decode_slot(each).problem) for each in (bytes(64), b"x" * 40, torn)]
    ['empty', 'foreign', 'torn']
    """
    if not data.strip(b"\0"):
        return Slot(0, None, SlotProblem.EMPTY)
    if len(data) < OVERHEAD_BYTES or not data.startswith(MAGIC):
        return Slot(0, None, SlotProblem.FOREIGN)
    _, version, length, generation = HEADER.unpack_from(data)
    if version > VERSION:
        return Slot(0, None, SlotProblem.NEWER)
    packed = data[OVERHEAD_BYTES : OVERHEAD_BYTES + length]
    # A torn slot can have an arbitrary length and body, so neither is trusted, and nothing is
    # unpacked, before the checksum matches.
    (checksum,) = CHECKSUM.unpack_from(data, HEADER.size)
    if len(packed) != length or checksum != _checksum(data[: HEADER.size], packed):
        return Slot(0, None, SlotProblem.TORN)
    try:
        body = msgpack.unpackb(packed, strict_map_key=False)
    except (ValueError, TypeError, msgpack.UnpackException):
        return Slot(0, None, SlotProblem.TORN)
    problem = None if isinstance(body, dict) else SlotProblem.FOREIGN
    return Slot(generation, body, problem)


def find_latest_slot(data: bytes) -> Slot:
    """Return the newer valid slot of a file, or a slot with the problem if none is valid."""
    slots = [decode_slot(data[at : at + SLOT_BYTES]) for at in (0, SLOT_BYTES)]
    valid = [slot for slot in slots if slot.problem is None]
    if valid:
        return max(valid, key=lambda slot: slot.generation)
    problems = {slot.problem for slot in slots}
    return Slot(0, None, next(each for each in _PROBLEMS_BY_PRIORITY if each in problems))


def encode_checkpoint(
    generation: int, snapshot: Snapshot, earlier_epochs: Sequence[dict[str, Any]]
) -> bytes:
    """Return a slot of a snapshot and earlier epochs; raise CheckpointError if it is too large."""
    body = {
        "cut": {**snapshot, "engines": snapshot["engines"].counts},
        "earlier": earlier_epochs,
    }
    return encode_slot(generation, body)


def encode_folded_checkpoint(
    generation: int, snapshot: Snapshot, earlier_epochs: Sequence[dict[str, Any]]
) -> bytes:
    """Return a slot like `encode_checkpoint`, but with all engines summed into one row.

    Raises CheckpointError if even this slot is too large.
    """
    engines = sum_rows([{ALL_ENGINES_ROW: row} for row in snapshot["engines"].values()])
    body = {"cut": {**snapshot, "engines": engines}, "earlier": earlier_epochs}
    return encode_slot(generation, body)


def decode_checkpoint(data: bytes) -> dict[str, Any]:
    """Return the content of a checkpoint file: `{"cut", "earlier"}`, where `cut` is a snapshot.

    Raises CheckpointError with the problem if there is no valid slot, and KeyError, TypeError or
    ValueError if the body has another structure.
    """
    slot = find_latest_slot(data)
    if slot.problem is not None:
        raise CheckpointError(slot.problem)
    snapshot = slot.body["cut"]
    if ALL_ENGINES_ROW not in snapshot["engines"]:
        snapshot = as_plain_dict({**snapshot, "engines": LazyEngineRows(snapshot["engines"])})
    return {**slot.body, "cut": snapshot}


def _checksum(header: bytes, packed: bytes) -> int:
    return xxhash.xxh64_intdigest(packed, xxhash.xxh64_intdigest(header))

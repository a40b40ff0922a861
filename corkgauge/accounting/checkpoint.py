"""Checkpoints: the bytes of the file that keeps the accounts through a kill.

Owns the form of a slot, and the decision which of the two slots counts, and why one does not. Free
of I/O. Decoding raises on no bytes whatever, and takes no slot for a good one that is torn, foreign
or of a newer version.

A slot is magic (8 bytes), version (2), length of the body (4), generation (8), xxHash64 (8) of all
that precedes it and the body, and then the body in msgpack; little-endian. Slots are written in
turn, so that one which is written while the power fails, or the program is killed, leaves the other
one complete.
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
MAX_EARLIER_EPOCHS = 8  # kept beside the present one
ALL_ENGINES = "(all)"  # the row of all engines, where each for itself would not fit


class SlotProblem(StrEnum):
    """Why a slot does not count; the values stand in log lines and errors."""

    NEWER = "newer"
    """Written by a newer version."""
    TORN = "torn"
    """Not written completely, or altered."""
    FOREIGN = "foreign"
    """Not a slot, or one whose body is not a checkpoint."""
    EMPTY = "empty"
    """Never written."""


# Of two slots that do not count, the problem that says most about the file is reported.
_PROBLEMS_BY_WEIGHT = (
    SlotProblem.NEWER,
    SlotProblem.TORN,
    SlotProblem.FOREIGN,
    SlotProblem.EMPTY,
)


class CheckpointError(ValueError):
    """A checkpoint that cannot be written or read."""


class Slot(NamedTuple):
    """A decoded slot; its body is None where there is a problem that hides it."""

    generation: int
    body: Any
    problem: SlotProblem | None


def encode_slot(generation: int, body: Any) -> bytes:
    """Return the bytes of a slot; CheckpointError if the body is too large for one."""
    packed: bytes = msgpack.packb(body)
    if len(packed) + OVERHEAD_BYTES > SLOT_BYTES:
        raise CheckpointError(f"{len(packed)} bytes")
    header = HEADER.pack(MAGIC, VERSION, len(packed), generation)
    return header + CHECKSUM.pack(_checksum(header, packed)) + packed


def decode_slot(data: bytes) -> Slot:
    """Decode a slot, whatever the bytes are.

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
    # The length may be anything in a torn header, and the body too, so neither is believed, and
    # nothing is unpacked, before the checksum fits.
    (checksum,) = CHECKSUM.unpack_from(data, HEADER.size)
    if len(packed) != length or checksum != _checksum(data[: HEADER.size], packed):
        return Slot(0, None, SlotProblem.TORN)
    try:
        body = msgpack.unpackb(packed, strict_map_key=False)
    except (ValueError, TypeError, msgpack.UnpackException):
        return Slot(0, None, SlotProblem.TORN)
    problem = None if isinstance(body, dict) else SlotProblem.FOREIGN
    return Slot(generation, body, problem)


def latest_slot(data: bytes) -> Slot:
    """Return the newer good slot of a file; where there is none, one with the problem."""
    slots = [decode_slot(data[at : at + SLOT_BYTES]) for at in (0, SLOT_BYTES)]
    good = [slot for slot in slots if slot.problem is None]
    if good:
        return max(good, key=lambda slot: slot.generation)
    problems = {slot.problem for slot in slots}
    return Slot(0, None, next(each for each in _PROBLEMS_BY_WEIGHT if each in problems))


def encode_checkpoint(
    generation: int, snapshot: Snapshot, earlier_epochs: Sequence[dict[str, Any]]
) -> bytes:
    """Return the slot of a snapshot and the epochs before; CheckpointError if it is too large."""
    body = {
        "cut": {**snapshot, "engines": snapshot["engines"].counts},
        "earlier": earlier_epochs,
    }
    return encode_slot(generation, body)


def encode_folded_checkpoint(
    generation: int, snapshot: Snapshot, earlier_epochs: Sequence[dict[str, Any]]
) -> bytes:
    """Return the same with all engines in one row; CheckpointError if even that is too large."""
    engines = sum_rows([{ALL_ENGINES: row} for row in snapshot["engines"].values()])
    body = {"cut": {**snapshot, "engines": engines}, "earlier": earlier_epochs}
    return encode_slot(generation, body)


def decode_checkpoint(data: bytes) -> dict[str, Any]:
    """Return what a checkpoint file holds: `{"cut", "earlier"}`, the first a snapshot.

    CheckpointError says why it holds nothing; KeyError, TypeError or ValueError is raised for a
    body of another meaning.
    """
    slot = latest_slot(data)
    if slot.problem is not None:
        raise CheckpointError(slot.problem)
    snapshot = slot.body["cut"]
    if ALL_ENGINES not in snapshot["engines"]:
        snapshot = as_plain_dict({**snapshot, "engines": LazyEngineRows(snapshot["engines"])})
    return {**slot.body, "cut": snapshot}


def _checksum(header: bytes, packed: bytes) -> int:
    return xxhash.xxh64_intdigest(packed, xxhash.xxh64_intdigest(header))

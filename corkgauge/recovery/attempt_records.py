"""Codec of the attempt log: a write-ahead log of attempts that may have run.

A record consists of the length of its body (4 bytes), the xxHash32 of the body (4 bytes) and the
body in msgpack; numbers are little-endian. A body is a list: `[1, serial, idempotency key, request
class, order key, engine, zone, cell, sent at, deduplicated until]` for an attempt that is about to
be sent, `[2, serial, may have run]` for a finished attempt. The module does no I/O.
`read_records` never raises, whatever the bytes; `decode_body` raises CorruptedFileError.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from struct import Struct
from typing import Any, NamedTuple

import msgpack
import xxhash

from corkgauge.errors import CorruptedFileError

RECORD_HEADER = Struct("<II")  # length and xxHash32 of the body
MAX_RECORD_BYTES = 4096
MIN_BODY_FIELD_COUNT = 3
SENT_FIELD_COUNT = 9  # after the record type: the fields of LoggedAttempt without the last
SENT_STRING_INDEXES = (1, 2, 4)  # idempotency key, request class, engine
SENT_INTEGER_INDEXES = (0, 3, 5, 6, 7, 8)


class RecordType(IntEnum):
    """Type of a record: the first field of its body."""

    SENT = 1
    FINISHED = 2


class LogDamage(StrEnum):
    """Kind of damage that ends the readable part of a log segment."""

    NONE = ""
    TORN_END = "a torn end"
    CORRUPT_MIDDLE = "damage in the middle"


@dataclass(slots=True)
class LoggedAttempt:
    """An attempt that may have run; times are in ticks (tenths of a millisecond) since 1970."""

    serial: int
    idempotency_key: str
    request_class: str
    order_key: int
    engine: str
    zone: int
    cell: int
    sent_at: int
    deduplicated_until: int  # engines remember the idempotency key until this time
    is_in_doubt: bool = True  # the outcome is unknown


@dataclass(frozen=True, slots=True)
class FinishedAttempt:
    """Outcome of a logged attempt: whether the attempt may have run."""

    serial: int
    may_have_run: bool


class LogRecord(NamedTuple):
    """Body of a record and the offset of its end; the last entry has no body, only the damage."""

    body: list[Any] | None
    end: int
    damage: LogDamage


def encode_sent(attempt: LoggedAttempt) -> bytes:
    """Encode the record of an attempt that is about to be sent."""
    return _encode_record(
        [
            int(RecordType.SENT),
            attempt.serial,
            attempt.idempotency_key,
            attempt.request_class,
            attempt.order_key,
            attempt.engine,
            attempt.zone,
            attempt.cell,
            attempt.sent_at,
            attempt.deduplicated_until,
        ]
    )


def encode_finished(serial: int, may_have_run: bool) -> bytes:
    """Encode the record of the outcome of an attempt."""
    return _encode_record([int(RecordType.FINISHED), serial, may_have_run])


def _encode_record(body: list[Any]) -> bytes:
    packed: bytes = msgpack.packb(body)
    return RECORD_HEADER.pack(len(packed), xxhash.xxh32_intdigest(packed)) + packed


def read_records(data: bytes) -> Iterator[LogRecord]:
    """Yield the records before the first damage, then an entry with the damage and no body.

    >>> log = encode_finished(7, True) + encode_finished(8, False)
    >>> [record.body for record in read_records(log)]
    [[2, 7, True], [2, 8, False], None]
    >>> [(record.end, str(record.damage)) for record in read_records(log[:-1])]
    [(12, ''), (12, 'a torn end')]
    """
    position = 0
    while position < len(data):
        packed = _read_verified_body(data, position)
        if packed is None:
            yield LogRecord(None, position, _classify_damage(data, position))
            return
        body = _unpack_body(packed)
        if body is None:
            # A valid checksum with an invalid body counts as damage in the middle, also in the
            # last record.
            yield LogRecord(None, position, LogDamage.CORRUPT_MIDDLE)
            return
        position += RECORD_HEADER.size + len(packed)
        yield LogRecord(body, position, LogDamage.NONE)
    yield LogRecord(None, position, LogDamage.NONE)


def _read_verified_body(data: bytes, position: int) -> bytes | None:
    """Return the packed body of the record at a position, or None if incomplete or corrupted."""
    if len(data) - position < RECORD_HEADER.size:
        return None
    length, checksum = RECORD_HEADER.unpack_from(data, position)
    begin = position + RECORD_HEADER.size
    body = data[begin : begin + length]
    if length > MAX_RECORD_BYTES or len(body) < length:
        return None
    return body if xxhash.xxh32_intdigest(body) == checksum else None


def _unpack_body(packed: bytes) -> list[Any] | None:
    try:
        body = msgpack.unpackb(packed)
    except (ValueError, msgpack.UnpackException):
        return None
    if not isinstance(body, list) or len(body) < MIN_BODY_FIELD_COUNT:
        return None
    return body if body[0] in (RecordType.SENT, RecordType.FINISHED) else None


def _classify_damage(data: bytes, position: int) -> LogDamage:
    """Classify the damage at a record that is incomplete or corrupted.

    A torn write at the end of a log is normal after a kill. Valid records after the damaged one
    show that the file was corrupted. They are searched only in the next 2 * MAX_RECORD_BYTES bytes,
    the size of two records.
    """
    if len(data) - position < RECORD_HEADER.size:
        return LogDamage.TORN_END
    search_end = min(len(data) - RECORD_HEADER.size, position + 1 + 2 * MAX_RECORD_BYTES)
    for begin in range(position + 1, search_end):
        if _read_verified_body(data, begin):
            return LogDamage.CORRUPT_MIDDLE
    return LogDamage.TORN_END


def decode_body(body: list[Any]) -> LoggedAttempt | FinishedAttempt:
    """Decode the body of a record; raise CorruptedFileError if the body is invalid."""
    fields = body[1:]
    if body[0] == RecordType.FINISHED:
        if not isinstance(fields[0], int):
            raise CorruptedFileError(
                f"a finished record has serial {fields[0]!r}, expected an integer"
            )
        return FinishedAttempt(fields[0], bool(fields[1]))
    if len(fields) != SENT_FIELD_COUNT:
        raise CorruptedFileError(
            f"a sent record has {len(fields)} fields, expected {SENT_FIELD_COUNT}"
        )
    if not all(isinstance(fields[index], str) for index in SENT_STRING_INDEXES):
        raise CorruptedFileError("a sent record has another type where a string is expected")
    if not all(isinstance(fields[index], int) for index in SENT_INTEGER_INDEXES):
        raise CorruptedFileError("a sent record has another type where an integer is expected")
    return LoggedAttempt(*fields)

"""Codec of the three datagram bodies of peer health: status, reconciliation, permit.

Bodies are lists of fixed length, as instances of other versions send them; the subjects are part of
the wire too. Decoding parts a body and raises ValueError or TypeError where its length is wrong.
What the elements hold is checked where they are used: the membership service counts a body that
raises there as malformed and goes on, and what stood before the bad element has been applied then.
"""

from typing import Any, NamedTuple

from corkgauge.peer_health.health_report import Row
from corkgauge.peer_health.reports import DigestEntry

STATUS_SUBJECT = "findings"
RECONCILIATION_SUBJECT = "repair"
PERMIT_SUBJECT = "turn"

UNPLACED_SCALE = 10  # requests a second that found no place travel in tenths

BODY_BYTES = 60  # of a body without its rows, on the high side
ROW_BYTES = 70  # of one row


class StatusUpdate(NamedTuple):
    """What a gateway tells a few others each period."""

    serial: int
    succeeded: int
    retries: int
    unplaced_tenths: int  # requests that found no place, in tenths a second
    rows: list[Row]


class Reconciliation(NamedTuple):
    """One step of comparing reports: question (stage 0), answer (1), what that lacked (2)."""

    stage: int
    digest: Any  # by reporter: a DigestEntry; unchecked where it came from the wire
    rows: list[Row]


class PermitMessage(NamedTuple):
    """A slow-start permit for `work` at one incarnation of an engine."""

    engine: str
    engine_incarnation: int
    serial: int
    known_ticks: int
    remaining_ticks: int
    work: float


def encode_status(update: StatusUpdate) -> list[Any]:
    """Make the body of a status update."""
    return [*update]


def decode_status(body: Any) -> StatusUpdate:
    """Part the body of a status update."""
    serial, succeeded, retries, unplaced_tenths, rows = body
    return StatusUpdate(serial, succeeded, retries, unplaced_tenths, rows)


def encode_reconciliation(stage: int, digest: dict[str, DigestEntry], rows: list[Row]) -> list[Any]:
    """Make the body of a reconciliation step."""
    return [stage, {name: [*mark] for name, mark in digest.items()}, rows]


def decode_reconciliation(body: Any) -> Reconciliation:
    """Part the body of a reconciliation step."""
    stage, digest, rows = body
    return Reconciliation(stage, digest, rows)


def encode_permit(permit: PermitMessage) -> list[Any]:
    """Make the body that carries a permit."""
    return [*permit]


def decode_permit(body: Any) -> PermitMessage:
    """Part the body that carries a permit."""
    engine, engine_incarnation, serial, known_ticks, remaining_ticks, work = body
    return PermitMessage(engine, engine_incarnation, serial, known_ticks, remaining_ticks, work)


def body_bytes(row_count: int) -> int:
    """Bytes that a body with so many rows takes, on the high side."""
    return BODY_BYTES + ROW_BYTES * row_count

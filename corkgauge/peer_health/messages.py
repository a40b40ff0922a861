"""Encodes and decodes the three datagram bodies of peer health: status, reconciliation, permit.

Bodies are lists of fixed length and, like the subjects, part of the wire format between versions.
Decoding raises ValueError or TypeError if a body has the wrong length, but does not check the
elements. An element is checked where it is used. An exception there makes the member list count the
body as malformed and continue; the elements before the malformed one have then been applied.
"""

from typing import Any, NamedTuple

from corkgauge.peer_health.health_report import Row
from corkgauge.peer_health.reports import DigestEntry

STATUS_SUBJECT = "findings"
RECONCILIATION_SUBJECT = "repair"
PERMIT_SUBJECT = "turn"

UNPLACED_SCALE = 10  # unplaced requests per second are sent in tenths

BODY_BYTES = 60  # assumed size of a body without its rows and its digest
ROW_BYTES = 70  # assumed size of one row; `HealthReport.row_bytes` may be larger


class StatusUpdate(NamedTuple):
    """Retry usage, permit demand and reports, sent to a few members each period."""

    serial: int
    succeeded: int
    retries: int
    unplaced_tenths: int  # requests that found no engine, in tenths per second
    rows: list[Row]


class Reconciliation(NamedTuple):
    """One step of a digest exchange.

    Stage 0 sends a digest. Stage 1 answers with the rows missing from that digest and with the
    receiver's own digest. Stage 2 sends the rows missing from the digest of stage 1.
    """

    stage: int
    digest: Any  # DigestEntry by reporter; unchecked if received
    rows: list[Row]


class PermitMessage(NamedTuple):
    """A slow-start permit for `work` at one incarnation of an engine; times are ticks."""

    engine: str
    engine_incarnation: int
    serial: int
    known_ticks: int
    remaining_ticks: int
    work: float


def encode_status(update: StatusUpdate) -> list[Any]:
    """Encode the body of a status update."""
    return [*update]


def decode_status(body: Any) -> StatusUpdate:
    """Decode the body of a status update."""
    serial, succeeded, retries, unplaced_tenths, rows = body
    return StatusUpdate(serial, succeeded, retries, unplaced_tenths, rows)


def encode_reconciliation(stage: int, digest: dict[str, DigestEntry], rows: list[Row]) -> list[Any]:
    """Encode the body of a reconciliation step."""
    return [stage, {name: [*entry] for name, entry in digest.items()}, rows]


def decode_reconciliation(body: Any) -> Reconciliation:
    """Decode the body of a reconciliation step."""
    stage, digest, rows = body
    return Reconciliation(stage, digest, rows)


def encode_permit(permit: PermitMessage) -> list[Any]:
    """Encode the body of a permit message."""
    return [*permit]


def decode_permit(body: Any) -> PermitMessage:
    """Decode the body of a permit message."""
    engine, engine_incarnation, serial, known_ticks, remaining_ticks, work = body
    return PermitMessage(engine, engine_incarnation, serial, known_ticks, remaining_ticks, work)


def body_bytes(row_count: int) -> int:
    """Return an assumed size of a body with `row_count` rows; a digest is not counted."""
    return BODY_BYTES + ROW_BYTES * row_count

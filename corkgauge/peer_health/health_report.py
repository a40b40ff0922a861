"""One gateway's report on one engine, and its row in a datagram.

The row is part of the wire between gateways of different versions: the order and the meaning of its
nine elements are fixed here and nowhere else. Times are ticks, tenths of a millisecond.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

REPORT_LIFETIME_TICKS = 100_000  # at this age a report has no weight left, and is dropped
MAX_ENGINE_CHARS = 64  # longest engine reference that is taken from another gateway
WIRE_INTEGER_LIMIT = 2**62  # no number of a row may be this large
ROW_OVERHEAD_BYTES = 40  # of a row beside its two names, on the high side


class Fault(IntEnum):
    """What a reporter found wrong with an engine; the values are the ones on the wire."""

    NONE = 0
    ERROR = 1
    RESET = 2
    UNREACHABLE = 3
    SILENT = 4


FAULT_BY_CODE = tuple(Fault)
# By the name that an engine's fault history has for it.
FAULT_BY_NAME = {
    "error": Fault.ERROR,
    "reset": Fault.RESET,
    "unreached": Fault.UNREACHABLE,
    "silent": Fault.SILENT,
}

# [reporter, reporter incarnation, serial, age in ticks, engine, engine incarnation, fault,
#  slowness in percent of the usual, samples]
Row = list[Any]
ROW_LENGTH = 9
ROW_ENGINE = 4  # place of the engine reference in a row


@dataclass(slots=True)
class HealthReport:
    """The last report of one reporter on one engine.

    `found_at` is in ticks of this gateway's clock; `slowness_percent` is the median response time
    in percent of what is usual, 0 where there are too few samples. All stay as they were made, but
    for `found_at`, which may be corrected downwards, and `times_sent`, which counts our gossip.
    """

    reporter: str
    reporter_incarnation: int
    serial: int
    found_at: int
    engine: str
    engine_incarnation: int
    fault: Fault
    slowness_percent: int
    sample_count: int
    times_sent: int = 0

    @property
    def version(self) -> tuple[int, int]:
        """What orders the reports of one reporter: its incarnation, then its serial."""
        return self.reporter_incarnation, self.serial

    def is_expired(self, now: int) -> bool:
        """Whether the report is too old to count at `now`, in ticks."""
        return now >= self.found_at + REPORT_LIFETIME_TICKS

    def row_bytes(self) -> int:
        """Bytes that the row takes in a datagram, on the high side."""
        return ROW_OVERHEAD_BYTES + len(self.reporter) + len(self.engine)


def encode_row(report: HealthReport, now: int) -> Row:
    """Make the row of a report; its time is sent as an age, as clocks of gateways differ."""
    return [
        report.reporter,
        report.reporter_incarnation,
        report.serial,
        max(now - report.found_at, 0),
        report.engine,
        report.engine_incarnation,
        int(report.fault),
        report.slowness_percent,
        report.sample_count,
    ]


def decode_row(row: Sequence[Any], now: int) -> HealthReport | None:
    """Read a row that came at `now`, in ticks; None for one that breaks the format.

    >>> decode_row(["n1", 1, 1, 0, "e1", 0, 9, 0, 0], 5) is None, decode_row([], 5) is None
    (True, True)
    """
    if not isinstance(row, (list, tuple)) or len(row) != ROW_LENGTH:
        return None
    reporter, incarnation, serial, age, engine, engine_incarnation, fault, slowness, samples = row
    numbers = incarnation, serial, age, engine_incarnation, slowness, samples
    if not isinstance(reporter, str) or not _is_engine_reference(engine):
        return None
    # A bool is an int too, and would come back as another row than was sent: hence no isinstance.
    if type(fault) is not int or not Fault.NONE <= fault <= Fault.SILENT:
        return None
    if not all(type(number) is int and 0 <= number < WIRE_INTEGER_LIMIT for number in numbers):
        return None
    return HealthReport(
        reporter,
        incarnation,
        serial,
        now - age,
        engine,
        engine_incarnation,
        FAULT_BY_CODE[fault],
        slowness,
        samples,
    )


def last_fault(fault_history: Sequence[str]) -> Fault:
    """Find the latest fault in a history; answers without one are empty strings there.

    >>> last_fault(["reset", "error", ""]).name, last_fault([""]).name
    ('ERROR', 'NONE')
    """
    for name in reversed(fault_history):
        if name:
            return FAULT_BY_NAME[name]
    return Fault.NONE


def _is_engine_reference(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_ENGINE_CHARS

"""Defines the health report of one gateway on one engine, and its row in a datagram.

The row is part of the wire format between gateways of different versions. This module alone defines
the order and the meaning of its nine elements. Times are ticks, tenths of a millisecond.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

REPORT_LIFETIME_TICKS = 100_000  # age at which the weight is 0 and a report is dropped
MAX_ENGINE_CHARS = 64  # longest engine reference accepted from another gateway
WIRE_INTEGER_LIMIT = 2**62  # exclusive upper limit of the numbers in a row
ROW_OVERHEAD_BYTES = 40  # estimate of a row without its two names, for numbers of usual size


class Fault(IntEnum):
    """Fault of an engine in a report; the values are part of the wire format."""

    NONE = 0
    ERROR = 1
    RESET = 2
    UNREACHABLE = 3
    SILENT = 4


FAULT_BY_CODE = tuple(Fault)
# By the fault's name in the fault history of an engine.
FAULT_BY_NAME = {
    "error": Fault.ERROR,
    "reset": Fault.RESET,
    "unreached": Fault.UNREACHABLE,
    "silent": Fault.SILENT,
}

# [reporter, reporter incarnation, serial, age in ticks, engine, engine incarnation, fault,
#  slowness in percent of the usual response time, sample count]
Row = list[Any]
ROW_LENGTH = 9
ROW_ENGINE = 4  # index of the engine reference in a row


@dataclass(slots=True)
class HealthReport:
    """The latest report of one reporter on one engine.

    `found_at` is when the reporter made the observation, by the local clock. `slowness_percent` is
    the median response time in percent of the usual one, 0 if there are too few samples. Only two
    fields change: `found_at` may be corrected to an earlier time, and `times_sent` counts how often
    the local gateway gossiped the report.
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
        """Sort key among the reports of one reporter: incarnation, then serial."""
        return self.reporter_incarnation, self.serial

    def is_expired(self, now: int) -> bool:
        """Return whether the report has reached the end of its lifetime at `now`."""
        return now >= self.found_at + REPORT_LIFETIME_TICKS

    def row_bytes(self) -> int:
        """Return an upper estimate of the row's size in a datagram, for numbers of usual size."""
        return ROW_OVERHEAD_BYTES + len(self.reporter) + len(self.engine)


def encode_row(report: HealthReport, now: int) -> Row:
    """Return the row of a report; time is sent as an age, as clocks of gateways differ."""
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
    """Decode a row received at `now`; return None if the row is malformed.

    >>> decode_row(["n1", 1, 1, 0, "e1", 0, 9, 0, 0], 5) is None, decode_row([], 5) is None
    (True, True)
    """
    if not isinstance(row, (list, tuple)) or len(row) != ROW_LENGTH:
        return None
    reporter, incarnation, serial, age, engine, engine_incarnation, fault, slowness, samples = row
    numbers = incarnation, serial, age, engine_incarnation, slowness, samples
    if not isinstance(reporter, str) or not is_engine_reference(engine):
        return None
    # `type` instead of `isinstance`: a bool is an int too, and would be encoded as a different row
    # when the report is gossiped on.
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


def named_engines(rows: Sequence[Any]) -> set[str]:
    """Return the engines that the rows of a received datagram name; malformed rows name none.

    >>> named_engines([["n1", 1, 1, 0, "e1", 0, 4, 0, 0], ["n1", 1, 1, 0, 7, 0, 4, 0, 0], None])
    {'e1'}
    """
    return {
        row[ROW_ENGINE]
        for row in rows
        if isinstance(row, list) and len(row) == ROW_LENGTH and is_engine_reference(row[ROW_ENGINE])
    }


def last_fault(fault_history: Sequence[str]) -> Fault:
    """Return the latest fault in a history, where an empty string is an answer without a fault.

    >>> last_fault(["reset", "error", ""]).name, last_fault([""]).name
    ('ERROR', 'NONE')
    """
    for name in reversed(fault_history):
        if name:
            return FAULT_BY_NAME[name]
    return Fault.NONE


def is_engine_reference(value: Any) -> bool:
    """Return whether a received value can be the reference of an engine."""
    return isinstance(value, str) and 0 < len(value) <= MAX_ENGINE_CHARS

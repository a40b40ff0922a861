"""Tallies live records by row, and copies the counts of the ledger to compare with."""

from collections.abc import Callable, Hashable, Iterable, Iterator
from dataclasses import dataclass
from itertools import islice
from typing import Any, TypeVar

from corkgauge.accounting.ledger_rows import RequestClassRow, Row

T = TypeVar("T")


@dataclass(slots=True)
class Tally:
    """The number of records of a row, and the sum of their serial numbers."""

    count: int = 0
    serial_sum: int = 0


Tallies = dict[Hashable, Tally]


ExpectedTally = tuple[Row, int, int]
"""A row, and the count and the sum of serial numbers that the ledger held of it at one moment.

A plain tuple, because the counts of a whole fleet are copied in one uninterrupted step, and named
tuples would make that step half a millisecond longer.
"""


def copy_open_counts(rows: Iterable[RequestClassRow]) -> list[ExpectedTally]:
    """Return the count and the sum of serial numbers of open requests, for each row."""
    return [(row, row.open, row.open_serial_sum) for row in rows]


def copy_in_flight_counts(rows: Iterable[Row]) -> list[ExpectedTally]:
    """Return the count and the sum of serial numbers of attempts in flight, for each row."""
    return [(row, row.in_flight, row.in_flight_serial_sum) for row in rows]


def tally_records(records: Iterable[Any], get_row: Callable[[Any], Row], tallies: Tallies) -> None:
    """Add each record to the tally of its row."""
    for record in records:
        row = get_row(record)
        tally = tallies.get(row)
        if tally is None:
            tally = tallies[row] = Tally()
        tally.count += 1
        # A request or attempt that ended after the records were copied has a negated serial number.
        tally.serial_sum += abs(record.serial)


def split_into_slices(records: Iterable[T], size: int) -> Iterator[list[T]]:
    """Split records into lists of at most `size` records.

    >>> [*split_into_slices(range(5), 2)]
    [[0, 1], [2, 3], [4]]
    """
    remaining = iter(records)
    while part := [*islice(remaining, size)]:
        yield part

"""Tallies of live records by row, and what the ledger held of the rows meanwhile."""

from collections.abc import Callable, Hashable, Iterable, Iterator
from dataclasses import dataclass
from itertools import islice
from typing import Any, TypeVar

from corkgauge.accounting.ledger_rows import RequestClassRow, Row

T = TypeVar("T")


@dataclass(slots=True)
class Tally:
    """How many records there are of a row, and the sum of their serial numbers."""

    count: int = 0
    serials: int = 0


Tallies = dict[Hashable, Tally]


Expected = tuple[Row, int, int]
"""A row, and the number and the sum of serials that the ledger held of it at some moment.

A bare tuple: those of a whole fleet are copied in one step, which nothing may interrupt, and
records with names would make that step longer by half a millisecond.
"""


def copy_open(rows: Iterable[RequestClassRow]) -> list[Expected]:
    """Return how many requests of each row are open, by the ledger."""
    return [(row, row.open, row.open_serials) for row in rows]


def copy_in_flight(rows: Iterable[Row]) -> list[Expected]:
    """Return how many attempts of each row are in flight, by the ledger."""
    return [(row, row.in_flight, row.in_flight_serials) for row in rows]


def tally_records(records: Iterable[Any], row_of: Callable[[Any], Row], tallies: Tallies) -> None:
    """Add records to the tallies of their rows."""
    for record in records:
        row = row_of(record)
        tally = tallies.get(row)
        if tally is None:
            tally = tallies[row] = Tally()
        tally.count += 1
        # The serial number of what has ended since the part of the pass began is negated.
        tally.serials += abs(record.serial)


def in_slices(records: Iterable[T], size: int) -> Iterator[list[T]]:
    """Cut records into lists of a size, the last one shorter.

    >>> [*in_slices(range(5), 2)]
    [[0, 1], [2, 3], [4]]
    """
    remaining = iter(records)
    while part := [*islice(remaining, size)]:
        yield part

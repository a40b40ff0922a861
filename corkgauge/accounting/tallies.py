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


@dataclass(frozen=True, slots=True)
class Expected:
    """What the ledger held of a row when a part of a pass began."""

    row: Row
    count: int
    serials: int


def expected_open(row: RequestClassRow) -> Expected:
    """Return how many requests of a row are open, by the ledger."""
    return Expected(row, row.open, row.open_serials)


def expected_in_flight(row: Row) -> Expected:
    """Return how many attempts of a row are in flight, by the ledger."""
    return Expected(row, row.in_flight, row.in_flight_serials)


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

"""Queues the records that wait for a collector, with a limit on memory.

If the queue is full, records are merged in a way that keeps the totals of octets. Performs no I/O
and uses no clock.

Deltas of the same flow are always merged into one. Above the limit, flows that have ended are
aggregated by direction, zone and engine, the first queued first, and then flows that continue. If
there are still too many records, engines are merged within their zone, and then zones into one.
Octets are therefore dropped only with the whole queue, when its export buffer is removed: the
collector is no longer configured, or the mode (`first` or `all`) has changed.
"""

from typing import NamedTuple

from corkgauge.flow_export.counter_deltas import Delta

DELTA_MEMORY_BYTES = 480  # memory of one delta and its table entry
MIN_RECORDS = 16
MERGED_NAME = "(others)"  # exported name of the merged engines of a zone, and of merged zones


class AggregateKey(NamedTuple):
    """The common properties of the flows of an aggregate."""

    direction: int
    zone: str
    engine: str


class PendingRecords:
    """A queue of deltas that use at most `memory_bytes` of memory.

    `measured_octets` = exported + pending in this queue or in flight + `dropped_octets`; the export
    buffer counts the exported octets.
    """

    def __init__(self, memory_bytes: int) -> None:
        self.max_records = max(memory_bytes // DELTA_MEMORY_BYTES, MIN_RECORDS)
        # By flow id, in the order of queueing; requeued and merged records are last.
        self.ended: dict[int, Delta] = {}
        self.ongoing: dict[int, Delta] = {}
        self.aggregates: dict[AggregateKey, Delta] = {}
        self.octets = 0  # pending in this queue
        self.measured_octets = 0
        self.dropped_octets = 0
        self.dropped_flows = 0  # sum of `flow_count` of the dropped records
        self.merged_record_count = 0  # merged into aggregates; one flow may count several times

    def __len__(self) -> int:
        return len(self.ended) + len(self.ongoing) + len(self.aggregates)

    def add(self, delta: Delta) -> None:
        """Queue a newly measured delta."""
        self.measured_octets += delta.octets
        self._put(delta)

    def requeue(self, deltas: list[Delta]) -> None:
        """Queue deltas again that were in flight and were not delivered."""
        for delta in deltas:
            self._put(delta)

    def pop_next(self) -> Delta | None:
        """Remove and return the next delta to export, or None if the queue is empty.

        The order is: ended flows, first queued first, because no later record will report them;
        then aggregates; then continuing flows, whose next record would also report their octets.
        """
        if self.ended:
            delta = self.ended.pop(next(iter(self.ended)))
        elif self.aggregates:
            delta = self.aggregates.pop(next(iter(self.aggregates)))
        elif self.ongoing:
            delta = self.ongoing.pop(next(iter(self.ongoing)))
        else:
            return None
        self.octets -= delta.octets
        return delta

    def drop_all(self) -> None:
        """Drop and count all records, because the export buffer of this queue is removed."""
        delta = self.pop_next()
        while delta is not None:
            self.dropped_octets += delta.octets
            self.dropped_flows += delta.flow_count
            delta = self.pop_next()

    def recounted_octets(self) -> int:
        """Return the sum of octets over all records in this queue."""
        tables = (self.ended.values(), self.ongoing.values(), self.aggregates.values())
        return sum(delta.octets for table in tables for delta in table)

    def _put(self, delta: Delta) -> None:
        self.octets += delta.octets
        if delta.family:
            self._put_flow(delta)
        else:
            self._put_aggregate(delta)
        while len(self) > self.max_records:
            self._make_room()

    def _put_flow(self, delta: Delta) -> None:
        for table in (self.ended, self.ongoing):
            existing = table.pop(delta.flow_id, None)
            if existing is not None:
                delta = _merge_in_order(existing, delta)
        table = self.ended if delta.has_ended else self.ongoing
        table[delta.flow_id] = delta

    def _put_aggregate(self, delta: Delta) -> None:
        key = AggregateKey(delta.direction, delta.zone, delta.engine)
        existing = self.aggregates.get(key)
        if existing is None:
            self.aggregates[key] = delta
        else:
            existing.merge(delta)
            existing.flow_count += delta.flow_count

    def _make_room(self) -> None:
        """Merge one record into an aggregate, or one aggregate into a wider aggregate.

        Otherwise a collector that is down for hours, or a night of short connections, would fill
        the memory.
        """
        table = self.ended or self.ongoing
        if table:
            self.merged_record_count += 1
            first_queued = table.pop(next(iter(table)))
            self._put_aggregate(first_queued.to_aggregate())
        elif not self._merge_engine_into_zone():
            self._merge_zone_into_others()

    def _merge_engine_into_zone(self) -> bool:
        """Merge the first aggregate of an engine into its zone; returns False if there is none."""
        for key, delta in self.aggregates.items():
            if key.engine != MERGED_NAME:
                del self.aggregates[key]
                delta.engine = MERGED_NAME
                self._put_aggregate(delta)
                return True
        return False

    def _merge_zone_into_others(self) -> None:
        """Merge the first aggregate of a zone into that of all zones."""
        for key, delta in self.aggregates.items():
            if key.zone != MERGED_NAME:
                del self.aggregates[key]
                delta.engine = MERGED_NAME
                delta.zone = MERGED_NAME
                self._put_aggregate(delta)
                return


def _merge_in_order(existing: Delta, delta: Delta) -> Delta:
    """Merge two deltas of a flow; a requeued delta may be older than the existing one."""
    if delta.start_ms < existing.start_ms:
        delta.merge(existing)
        return delta
    existing.merge(delta)
    return existing

"""The records that wait for a collector, within a bound on memory.

Holds the deltas and decides what becomes of them where there is no room: as long as the totals can
be kept in another form, no octet is lost. Free of I/O and time.

First, deltas of one flow merge into one. Beyond the bound, flows that have ended are aggregated by
direction, zone and engine, the oldest first, then those that go on. Where even those are too many,
engines merge within their zone, and zones into one. So octets are dropped only with the whole
queue, when its collector is no longer named.
"""

from typing import NamedTuple

from corkgauge.flow_export.counter_deltas import Delta

DELTA_MEMORY_BYTES = 480  # that a delta takes, with its place in a table
MIN_RECORDS = 16
MERGED_NAME = "(others)"  # exported as the name of engines of a zone, or zones, that were merged


class AggregateKey(NamedTuple):
    """What the flows of one aggregate have in common."""

    direction: int
    zone: str
    engine: str


class PendingRecords:
    """Room for `memory_bytes` of deltas.

    `measured_octets` = exported + pending here or in flight + `dropped_octets`; the export buffer
    counts what was exported.
    """

    def __init__(self, memory_bytes: int) -> None:
        self.max_records = max(memory_bytes // DELTA_MEMORY_BYTES, MIN_RECORDS)
        # By flow id, the oldest first.
        self.ended: dict[int, Delta] = {}
        self.ongoing: dict[int, Delta] = {}
        self.aggregates: dict[AggregateKey, Delta] = {}
        self.octets = 0  # pending here
        self.measured_octets = 0
        self.dropped_octets = 0
        self.dropped_flows = 0
        self.merged_flows = 0  # into aggregates

    def __len__(self) -> int:
        return len(self.ended) + len(self.ongoing) + len(self.aggregates)

    def add(self, delta: Delta) -> None:
        """Take a delta that was measured now."""
        self.measured_octets += delta.octets
        self._put(delta)

    def requeue(self, deltas: list[Delta]) -> None:
        """Take back deltas that were in flight and did not arrive."""
        for delta in deltas:
            self._put(delta)

    def pop_next(self) -> Delta | None:
        """Remove and return the next delta to be exported, or None.

        What has ended comes first, the oldest ahead, since nothing more will be reported of it;
        then aggregates; then flows that go on, whose next record would report it as well.
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
        """Drop and count everything: no collector is left for it."""
        delta = self.pop_next()
        while delta is not None:
            self.dropped_octets += delta.octets
            self.dropped_flows += delta.flow_count
            delta = self.pop_next()

    def recounted_octets(self) -> int:
        """Octets pending here, added up from the records themselves."""
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
            before = table.pop(delta.flow_id, None)
            if before is not None:
                delta = _merge_in_order(before, delta)
        table = self.ended if delta.has_ended else self.ongoing
        table[delta.flow_id] = delta

    def _put_aggregate(self, delta: Delta) -> None:
        key = AggregateKey(delta.direction, delta.zone, delta.engine)
        before = self.aggregates.get(key)
        if before is None:
            self.aggregates[key] = delta
        else:
            before.merge(delta)
            before.flow_count += delta.flow_count

    def _make_room(self) -> None:
        """Merge one record into an aggregate, or one aggregate into a wider one.

        Without it a collector down for hours, and a night of short connections, would fill the
        memory.
        """
        table = self.ended or self.ongoing
        if table:
            self.merged_flows += 1
            oldest = table.pop(next(iter(table)))
            self._put_aggregate(oldest.to_aggregate())
        elif not self._merge_engine_into_zone():
            self._merge_zone_into_others()

    def _merge_engine_into_zone(self) -> bool:
        """Let the oldest aggregate of one engine be one of its zone; False if there is none."""
        for key, delta in self.aggregates.items():
            if key.engine != MERGED_NAME:
                del self.aggregates[key]
                delta.engine = MERGED_NAME
                self._put_aggregate(delta)
                return True
        return False

    def _merge_zone_into_others(self) -> None:
        """Let the oldest aggregate of one zone be one of all zones."""
        for key, delta in self.aggregates.items():
            if key.zone != MERGED_NAME:
                del self.aggregates[key]
                delta.engine = MERGED_NAME
                delta.zone = MERGED_NAME
                self._put_aggregate(delta)
                return


def _merge_in_order(before: Delta, delta: Delta) -> Delta:
    """One delta of both; what is put back may be older than what has come meanwhile."""
    if delta.start_ms < before.start_ms:
        delta.merge(before)
        return delta
    before.merge(delta)
    return before

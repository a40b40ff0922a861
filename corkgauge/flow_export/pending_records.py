"""What collectors have yet to be told, within a bound.

Owns the deltas that wait, and what becomes of them where there is no room: nothing of the totals is
lost as long as it can be told in another form. Free of I/O and time.

First, deltas of one flow merge into one. Beyond the bound, flows that have ended merge by side,
hall and engine, the oldest first, then those that go on. Where even those are too many, engines
merge within their hall, and halls into one. So octets are dropped only with the whole queue, when
its collector is no longer named.
"""

from corkgauge.flow_export.counter_deltas import Delta

RECORD = 480  # octets of memory that a delta takes, with its place in a table
LEAST = 16
OTHERS = "(others)"  # engines of a hall, or halls, that are told of in one record


class PendingRecords:
    """Room for `memory` octets of deltas.

    `measured` = `told` + what is held here or under way + `dropped`, in octets; the keeper enters
    `told`.
    """

    def __init__(self, memory: int) -> None:
        self.most = max(memory // RECORD, LEAST)
        self.ended: dict[int, Delta] = {}  # by flow
        self.live: dict[int, Delta] = {}
        self.gathered: dict[tuple[int, str, str], Delta] = {}
        self.octets = 0  # held here
        self.measured = self.dropped = self.dropped_flows = self.merged = 0

    def __len__(self) -> int:
        return len(self.ended) + len(self.live) + len(self.gathered)

    def add(self, delta: Delta) -> None:
        """A new one."""
        self.measured += delta.octets
        self._put(delta)

    def give_back(self, deltas: list[Delta]) -> None:
        """What was under way and did not arrive."""
        for delta in deltas:
            self._put(delta)

    def _put(self, delta: Delta) -> None:
        self.octets += delta.octets
        if not delta.family:
            self._gather(delta)
        else:
            self._keep(delta)
        while len(self) > self.most:
            self._squeeze()

    def _keep(self, delta: Delta) -> None:
        for table in self.ended, self.live:
            if before := table.pop(delta.flow, None):
                if delta.first < before.first:  # given back after a later one had come
                    before, delta = delta, before
                before.merge(delta)
                delta = before
        (self.ended if delta.ended else self.live)[delta.flow] = delta

    def _squeeze(self) -> None:
        """Danger: a collector down for hours, and a night of short connections, would fill the memory."""
        table = self.ended or self.live
        if table:
            self.merged += 1
            return self._gather(table.pop(next(iter(table))).gathered())
        for whole, part in ((None, OTHERS), (OTHERS, OTHERS)):
            for (side, hall, engine), delta in self.gathered.items():
                if engine != OTHERS or (whole and hall != OTHERS):
                    del self.gathered[side, hall, engine]
                    delta.engine, delta.hall = part, whole or hall
                    return self._gather(delta)

    def drop(self) -> None:
        """Nobody is to be told any more."""
        while (delta := self.next()) is not None:
            self.dropped += delta.octets
            self.dropped_flows += delta.flows

    def _gather(self, delta: Delta) -> None:
        key = delta.side, delta.hall, delta.engine
        if before := self.gathered.get(key):
            before.merge(delta)
            before.flows += delta.flows
        else:
            self.gathered[key] = delta

    def next(self) -> Delta | None:
        """The next to be told: what has ended, the oldest first, since nothing more will be said of it; then
        what was merged; then flows that go on, whose next record would tell of it as well."""
        for table in self.ended, self.gathered, self.live:
            if table:
                delta = table.pop(next(iter(table)))
                self.octets -= delta.octets
                return delta
        return None

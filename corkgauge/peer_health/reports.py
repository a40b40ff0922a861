"""Latest health report of each gateway on each engine, merged in any order, spread by gossip.

Free of I/O: the owner brings the clock and the datagrams. Three bounds hold. Passing a report on
never makes it younger; of a reporter there is one report an engine, and a limited number in all;
every report expires.

A map from (reporter, engine) to the latest report, where latest is the greater (incarnation,
serial) of the reporter itself: a last-writer-wins map (Shapiro, Preguica, Baquero and Zawirski,
2011), so merging is commutative, associative and idempotent. Reports spread as rumours (Demers et
al., 1987): each is sent a number of times that grows with the logarithm of the members, and a
comparison of digests (anti-entropy) repairs what gossip missed. Ages are spans, not dates, so a
clock that is a day ahead changes nothing. Times are ticks, tenths of a millisecond.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from math import ceil, log2
from typing import Any, NamedTuple
from zlib import crc32

from corkgauge.peer_health.health_report import (
    REPORT_LIFETIME_TICKS,
    Fault,
    HealthReport,
    Row,
    decode_row,
    encode_row,
)

# Between two of our reports on an engine that differ in its slowness alone.
MIN_REPORT_INTERVAL_TICKS = 20_000
GOSSIP_FACTOR = 2  # a report is sent this often, times the logarithm of the number of members
# Held of one reporter: a flood of reports from one must not push out those of the others.
MAX_REPORTS_PER_REPORTER = 2_000
MAX_GOSSIP_CANDIDATES = 64  # reports looked at for one datagram
DIGEST_ENTRY_BYTES = 22  # of a digest's entry beside the name, on the high side


class DigestEntry(NamedTuple):
    """What is held of one reporter, in a digest: its latest version and a checksum of all of it."""

    incarnation: int
    serial: int
    checksum: int


class HealthReports:
    """The reports that the gateway `name` holds in its present `incarnation`, its own among them.

    >>> one, other = HealthReports("n1", 1), HealthReports("n2", 1)
    >>> one.record_own(0, "e1", 5, Fault.SILENT, 0, 0)
    True
    >>> rows = one.next_gossip(100, 3, 900)
    >>> other.merge(150, rows), other.merge(150, rows)      # the same again changes nothing
    (1, 0)
    >>> [(each.reporter, int(each.fault), 150 - each.found_at) for each in other.reports_on("e1")]
    [('n1', 4, 100)]
    """

    def __init__(self, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.serial = 0
        self.by_engine: dict[str, dict[str, HealthReport]] = {}
        self.by_reporter: dict[str, dict[str, HealthReport]] = {}
        # By (reporter, engine): still to be sent on, in the order in which they came.
        self.pending_gossip: dict[tuple[str, str], HealthReport] = {}
        self.rejected_count = 0

    def __len__(self) -> int:
        return sum(len(held) for held in self.by_reporter.values())

    def record_own(
        self,
        now: int,
        engine: str,
        engine_incarnation: int,
        fault: Fault,
        slowness_percent: int,
        sample_count: int,
    ) -> bool:
        """Take an observation of our own as a report; False where it would add nothing.

        It adds something where it differs from the last report, or keeps that from expiring.
        """
        before = self.by_engine.get(engine, {}).get(self.name)
        if before is not None and not self._is_worth_reporting(
            before, now, engine_incarnation, fault, slowness_percent
        ):
            return False
        self.serial += 1
        report = HealthReport(
            self.name,
            self.incarnation,
            self.serial,
            now,
            engine,
            engine_incarnation,
            fault,
            slowness_percent,
            sample_count,
        )
        self._store(report)
        return True

    @staticmethod
    def _is_worth_reporting(
        before: HealthReport, now: int, engine_incarnation: int, fault: Fault, slowness_percent: int
    ) -> bool:
        if (before.engine_incarnation, before.fault) != (engine_incarnation, fault):
            return True
        # A slowness that wavers would be reported without end: it has to move by half, and a
        # report without news waits until half of the lifetime has passed.
        change = abs(before.slowness_percent - slowness_percent)
        has_moved = change > max(before.slowness_percent, 100) // 2
        pause = MIN_REPORT_INTERVAL_TICKS if has_moved else REPORT_LIFETIME_TICKS // 2
        return now >= before.found_at + pause

    def merge(self, now: int, rows: Iterable[Sequence[Any]]) -> int:
        """Take the rows of another gateway's datagram; the number of reports that were new.

        Malformed rows, and those beyond a reporter's limit, are passed over and counted in
        `rejected_count`.
        """
        return sum(self._merge_row(now, row) for row in rows)

    def _merge_row(self, now: int, row: Sequence[Any]) -> bool:
        report = decode_row(row, now)
        if report is None:
            self.rejected_count += 1
            return False
        if report.reporter == self.name:
            return False  # nobody else may speak for us
        before = self.by_engine.get(report.engine, {}).get(report.reporter)
        if before is not None and before.version >= report.version:
            if before.version == report.version:
                # The older of two copies is right, whichever came first: transit only adds age.
                before.found_at = min(before.found_at, report.found_at)
            return False
        if report.is_expired(now):
            return False
        held_of_reporter = self.by_reporter.get(report.reporter, ())
        if before is None and len(held_of_reporter) >= MAX_REPORTS_PER_REPORTER:
            self.rejected_count += 1
            return False
        self._store(report)
        return True

    def reports_on(self, engine: str) -> Iterable[HealthReport]:
        """Every report held on an engine, our own among them."""
        return self.by_engine.get(engine, {}).values()

    def is_disputed(self, engine: str, slowness_limit_percent: float) -> bool:
        """Whether any report held says that the engine has a fault or is slower than the limit."""
        return any(
            report.fault != Fault.NONE or report.slowness_percent > slowness_limit_percent
            for report in self.reports_on(engine)
        )

    def drop_expired(self, now: int, members: Iterable[str]) -> None:
        """Drop reports that are too old, and those of gateways that are no members any more."""
        known_reporters = {*members, self.name}
        for reporter, held in [*self.by_reporter.items()]:
            for report in [*held.values()]:
                if report.is_expired(now) or reporter not in known_reporters:
                    self._drop(report)

    def next_gossip(self, now: int, member_count: int, room_bytes: int) -> list[Row]:
        """Choose the next rows to send, within so many bytes: first what was sent least often."""
        send_limit = GOSSIP_FACTOR * ceil(log2(max(member_count, 2) + 1))
        by_times_sent = sorted(self.pending_gossip.items(), key=lambda item: item[1].times_sent)
        rows: list[Row] = []
        size = 0
        for key, report in by_times_sent[:MAX_GOSSIP_CANDIDATES]:
            if report.is_expired(now):
                del self.pending_gossip[key]
                continue
            size += report.row_bytes()
            if size > room_bytes:
                break
            rows.append(encode_row(report, now))
            report.times_sent += 1
            if report.times_sent >= send_limit:
                del self.pending_gossip[key]
        return rows

    def digest(self, room_bytes: int, rotation: int) -> dict[str, DigestEntry]:
        """Make the marks of as many reporters as fit, beginning with the `rotation`th."""
        names = sorted(self.by_reporter)
        marks: dict[str, DigestEntry] = {}
        for n in range(len(names)):
            name = names[(rotation + n) % len(names)]
            room_bytes -= len(name) + DIGEST_ENTRY_BYTES
            if room_bytes < 0:
                break
            marks[name] = self._digest_entry(name)
        return marks

    def missing_rows(
        self,
        now: int,
        digest: Mapping[str, Sequence[int]],
        room_bytes: int,
        include_unlisted: bool,
        rotation: int,
    ) -> list[Row]:
        """Choose the rows that the sender of this digest lacks, within so many bytes.

        `include_unlisted` adds reporters that the digest does not name. A digest as it comes from
        the wire is unchecked: one that breaks the format raises TypeError or IndexError.
        """
        rows: list[Row] = []
        for report in self._missing_reports(digest, include_unlisted, rotation):
            if report.is_expired(now):
                continue
            room_bytes -= report.row_bytes()
            if room_bytes < 0:
                break
            rows.append(encode_row(report, now))
        return rows

    def _missing_reports(
        self, digest: Mapping[str, Sequence[int]], include_unlisted: bool, rotation: int
    ) -> Iterator[HealthReport]:
        for reporter, held in sorted(self.by_reporter.items()):
            known = digest.get(reporter)
            if known is None:
                if not include_unlisted:
                    continue
                known_version = (0, 0)
            elif [*known] == [*self._digest_entry(reporter)]:
                continue
            else:
                known_version = (known[0], known[1])
            in_order = sorted(held.values(), key=lambda report: report.version)
            later = [report for report in in_order if report.version > known_version]
            if later:
                yield from later
                continue
            # Of two serials the earlier may be the lost one. So where the checksums differ and
            # nothing is later, all that is held is sent in time, from the `rotation`th on.
            first = rotation % len(in_order)
            yield from in_order[first:]
            yield from in_order[:first]

    def _digest_entry(self, reporter: str) -> DigestEntry:
        held = self.by_reporter[reporter].values()
        checksum = 0
        for report in held:
            identity = f"{report.engine} {report.reporter_incarnation} {report.serial}"
            checksum ^= crc32(identity.encode())
        incarnation, serial = max(report.version for report in held)
        return DigestEntry(incarnation, serial, checksum)

    def _store(self, report: HealthReport) -> None:
        self.by_engine.setdefault(report.engine, {})[report.reporter] = report
        self.by_reporter.setdefault(report.reporter, {})[report.engine] = report
        # Taken out first, so that it goes to the end of the order.
        self.pending_gossip.pop((report.reporter, report.engine), None)
        self.pending_gossip[report.reporter, report.engine] = report

    def _drop(self, report: HealthReport) -> None:
        _drop_entry(self.by_engine, report.engine, report.reporter)
        _drop_entry(self.by_reporter, report.reporter, report.engine)
        self.pending_gossip.pop((report.reporter, report.engine), None)


def _drop_entry(index: dict[str, dict[str, HealthReport]], outer: str, inner: str) -> None:
    """Drop an entry, and with the last one its inner dictionary, which would stay for ever."""
    index[outer].pop(inner, None)
    if not index[outer]:
        del index[outer]

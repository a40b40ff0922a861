"""Stores the latest health report of each gateway on each engine, and spreads reports by gossip.

Performs no I/O: the caller provides the time and exchanges the datagrams. Three invariants hold:
forwarding makes a report younger by no more than the time in transit; a reporter has at most one
report per engine, and a limited number in total; every report expires.

The store is a last-writer-wins map (Shapiro, Preguica, Baquero and Zawirski, 2011) from (reporter,
engine) to the report with the greatest (incarnation, serial) of that reporter, so merging is
commutative, associative and idempotent. Reports spread by rumor mongering (Demers et al., 1987):
each is sent a number of times that grows with the logarithm of the number of members. Comparing
digests (anti-entropy) repairs gaps that gossip leaves. Reports carry ages instead of dates, so a
clock that is a day ahead has no effect; an age does not include the time in transit. Times are
ticks, tenths of a millisecond.
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

# Minimum time between two local reports on an engine that differ only in the slowness.
MIN_REPORT_INTERVAL_TICKS = 20_000
# A report is gossiped this many times the base-2 logarithm of the number of members, rounded up.
GOSSIP_FACTOR = 2
# Limits one reporter, so that a flood of its reports does not displace those of other reporters.
MAX_REPORTS_PER_REPORTER = 2_000
MAX_GOSSIP_CANDIDATES = 64  # reports considered for one datagram
DIGEST_ENTRY_BYTES = 22  # upper estimate of a digest entry without the name


class DigestEntry(NamedTuple):
    """One reporter in a digest: its latest version, and a checksum over all its reports."""

    incarnation: int
    serial: int
    checksum: int


class HealthReports:
    """The reports stored by the gateway `name` in its current `incarnation`, local ones included.

    >>> one, other = HealthReports("n1", 1), HealthReports("n2", 1)
    >>> one.record_own(0, "e1", 5, Fault.SILENT, 0, 0)
    True
    >>> rows = one.next_gossip(100, 3, 900)
    >>> other.merge(150, rows), other.merge(150, rows)      # idempotent
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
        # By (reporter, engine): reports to gossip, in the order of arrival.
        self.pending_gossip: dict[tuple[str, str], HealthReport] = {}
        self.rejected_count = 0

    def __len__(self) -> int:
        return sum(len(stored) for stored in self.by_reporter.values())

    def record_own(
        self,
        now: int,
        engine: str,
        engine_incarnation: int,
        fault: Fault,
        slowness_percent: int,
        sample_count: int,
    ) -> bool:
        """Record a local observation as a report; return False if the report is not needed.

        A report is needed if there is no local report on the engine; if the fault or the engine's
        incarnation has changed; if the slowness has changed notably and the last report is older
        than MIN_REPORT_INTERVAL_TICKS; or if half of the last report's lifetime has passed.
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
        # A fluctuating slowness would cause a report in every period. So a slowness is reported
        # early only if it changed by more than half of the last one, and by more than half of the
        # usual one. Otherwise a report is repeated only after half of its lifetime.
        change = abs(before.slowness_percent - slowness_percent)
        has_changed = change > max(before.slowness_percent, 100) // 2
        interval_ticks = MIN_REPORT_INTERVAL_TICKS if has_changed else REPORT_LIFETIME_TICKS // 2
        return now >= before.found_at + interval_ticks

    def merge(self, now: int, rows: Iterable[Sequence[Any]]) -> int:
        """Merge the rows of a received datagram; return the number of new reports.

        Malformed rows and rows beyond a reporter's limit are skipped and counted in
        `rejected_count`.
        """
        return sum(self._merge_row(now, row) for row in rows)

    def _merge_row(self, now: int, row: Sequence[Any]) -> bool:
        report = decode_row(row, now)
        if report is None:
            self.rejected_count += 1
            return False
        if report.reporter == self.name:
            return False  # no other gateway may report in the local gateway's name
        before = self.by_engine.get(report.engine, {}).get(report.reporter)
        if before is not None and before.version >= report.version:
            if before.version == report.version:
                # Of two copies of a report, the copy with the greater age is more accurate: ages
                # omit the time in transit, so a copy can only appear too young.
                before.found_at = min(before.found_at, report.found_at)
            return False
        if report.is_expired(now):
            return False
        reports_of_reporter = self.by_reporter.get(report.reporter, ())
        if before is None and len(reports_of_reporter) >= MAX_REPORTS_PER_REPORTER:
            self.rejected_count += 1
            return False
        self._store(report)
        return True

    def reports_on(self, engine: str) -> Iterable[HealthReport]:
        """Return all stored reports on an engine, including the local one."""
        return self.by_engine.get(engine, {}).values()

    def has_notable_report(self, engine: str, slowness_limit_percent: float) -> bool:
        """Return whether any stored report, the local one included, has a fault or is notable.

        A report is notable if its slowness is above the limit.
        """
        return any(
            report.fault != Fault.NONE or report.slowness_percent > slowness_limit_percent
            for report in self.reports_on(engine)
        )

    def drop_expired(self, now: int, members: Iterable[str]) -> None:
        """Drop expired reports and the reports of former members."""
        known_reporters = {*members, self.name}
        for reporter, stored in [*self.by_reporter.items()]:
            for report in [*stored.values()]:
                if report.is_expired(now) or reporter not in known_reporters:
                    self._drop(report)

    def next_gossip(self, now: int, member_count: int, room_bytes: int) -> list[Row]:
        """Return rows to gossip, at most `room_bytes` by estimate, least often sent first."""
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
        """Return the digest entries of as many reporters as fit, from the `rotation`th on."""
        names = sorted(self.by_reporter)
        entries: dict[str, DigestEntry] = {}
        for n in range(len(names)):
            name = names[(rotation + n) % len(names)]
            room_bytes -= len(name) + DIGEST_ENTRY_BYTES
            if room_bytes < 0:
                break
            entries[name] = self._digest_entry(name)
        return entries

    def missing_rows(
        self,
        now: int,
        digest: Mapping[str, Sequence[int]],
        room_bytes: int,
        include_unlisted: bool,
        rotation: int,
    ) -> list[Row]:
        """Return rows that the sender of the digest may lack, at most `room_bytes` by estimate.

        Args:
            now: Current time.
            digest: The received digest, not validated.
            room_bytes: Maximum size of the rows, by the estimate of `HealthReport.row_bytes`.
            include_unlisted: Whether to add reporters that the digest does not list.
            rotation: Where to start among a reporter's reports if all of them are sent.

        Raises:
            TypeError: The digest is malformed.
            IndexError: The digest is malformed.
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
        for reporter, stored in sorted(self.by_reporter.items()):
            known = digest.get(reporter)
            if known is None:
                if not include_unlisted:
                    continue
                known_version = (0, 0)
            elif [*known] == [*self._digest_entry(reporter)]:
                continue
            else:
                known_version = (known[0], known[1])
            in_order = sorted(stored.values(), key=lambda report: report.version)
            later = [report for report in in_order if report.version > known_version]
            if later:
                yield from later
                continue
            # Gossip may have lost an earlier report while a later one arrived. So if the checksums
            # differ and no report is later, all reports of the reporter are candidates, starting
            # with the `rotation`th; the rotation covers all of them over several exchanges.
            first = rotation % len(in_order)
            yield from in_order[first:]
            yield from in_order[:first]

    def _digest_entry(self, reporter: str) -> DigestEntry:
        stored = self.by_reporter[reporter].values()
        checksum = 0
        for report in stored:
            identity = f"{report.engine} {report.reporter_incarnation} {report.serial}"
            checksum ^= crc32(identity.encode())
        incarnation, serial = max(report.version for report in stored)
        return DigestEntry(incarnation, serial, checksum)

    def _store(self, report: HealthReport) -> None:
        self.by_engine.setdefault(report.engine, {})[report.reporter] = report
        self.by_reporter.setdefault(report.reporter, {})[report.engine] = report
        # The report is removed first, so that the report moves to the end of the insertion order.
        self.pending_gossip.pop((report.reporter, report.engine), None)
        self.pending_gossip[report.reporter, report.engine] = report

    def _drop(self, report: HealthReport) -> None:
        _drop_entry(self.by_engine, report.engine, report.reporter)
        _drop_entry(self.by_reporter, report.reporter, report.engine)
        self.pending_gossip.pop((report.reporter, report.engine), None)


def _drop_entry(index: dict[str, dict[str, HealthReport]], outer: str, inner: str) -> None:
    """Drop an entry, and its inner dictionary once empty; an empty one would leak memory."""
    index[outer].pop(inner, None)
    if not index[outer]:
        del index[outer]

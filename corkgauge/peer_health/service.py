"""Peer health in one process: timers, datagrams, what the gateway is told, what operators see.

Owns the way between this package's state machines, the membership service and the host. It decides
nothing itself, and tells the gateway only a slowness, a suspicion and a fraction of its own retry
budget. Datagrams a period do not grow with the number of members. Times are ticks, tenths of a
millisecond.
"""

from collections.abc import Mapping
from statistics import median
from typing import Any, NamedTuple

from corkgauge.config.operator_file import PeerHealthConfig
from corkgauge.config.platform import PlatformConfig
from corkgauge.eventloop.clock import ticks_since_boot
from corkgauge.eventloop.loop import SECOND
from corkgauge.peer_health.aggregation import (
    NO_ASSESSMENT,
    OWN_OBSERVATION_TICKS,
    Assessment,
    assess,
)
from corkgauge.peer_health.health_report import ROW_ENGINE, ROW_LENGTH, Fault, last_fault
from corkgauge.peer_health.messages import (
    RECONCILIATION_SUBJECT,
    STATUS_SUBJECT,
    UNPLACED_SCALE,
    StatusUpdate,
    body_bytes,
    decode_reconciliation,
    decode_status,
    encode_reconciliation,
    encode_status,
)
from corkgauge.peer_health.permit_exchange import PermitExchange
from corkgauge.peer_health.reports import HealthReports, ReporterMark
from corkgauge.peer_health.retry_throttle import RetryThrottle
from corkgauge.peer_health.status_view import status_report
from corkgauge.peer_health.trials import suspicion_level
from corkgauge.policy.outlier_detection import is_trusted
from corkgauge.policy.records import EngineState

NOTABLE_SLOWNESS = 2.0  # times the usual one: from there on it is worth a report
MIN_SLOWNESS_SAMPLES = 3  # of our own, for a report to tell a slowness
DATAGRAM_ROOM_BYTES = 1_000  # for reports, or for a digest, in one datagram
DIGEST_BYTES_PER_ROW = 90  # that a reconciliation's digest leaves for each row beside it
GOSSIP_FANOUT = 2  # members that get a status update, each period
RECONCILIATION_PERIODS = 6  # between two comparisons with a member
LAST_STAGE = 2  # of a reconciliation: it is not answered


class Observation(NamedTuple):
    """What this gateway found out about an engine itself; slowness is in percent of the usual."""

    fault: Fault
    slowness_percent: int
    sample_count: int


class PeerHealthService:
    """Exchanges reports with a few members each period, and tells the gateway what they come to.

    `socket_host` has `event_loop`, `log`, `gateway`, `engine_pools`, `ledger`, `settings` and
    `routes`; `membership` has the member list, which carries the datagrams.
    """

    def __init__(
        self,
        socket_host: Any,
        platform_config: PlatformConfig,
        options: PeerHealthConfig,
        membership: Any,
    ) -> None:
        self.socket_host = socket_host
        self.event_loop = socket_host.event_loop
        self.name = platform_config.name
        self.options = options
        self.membership = membership
        self.member_list = membership.member_list

        self.reports = HealthReports(self.name, self.member_list.codec.incarnation)
        self.retry_throttle = RetryThrottle(self.name)
        self.permits = PermitExchange(socket_host, membership)
        self.assessments: dict[str, Assessment] = {}
        self.updated_engines: set[str] = set()  # on which reports came since the last assessment

        self.status_serial = 0
        self.period_count = 0
        self.sent_bytes = 0
        self.byte_budget = 0  # that may still be sent; refilled each period

        self.member_list.calls[STATUS_SUBJECT] = self.on_status_update
        self.member_list.calls[RECONCILIATION_SUBJECT] = self.on_reconciliation
        socket_host.routes[b"GET", b"/shared"] = self.report_status
        self.event_loop.call_later(options.report_interval_ticks, self.run_period)
        self.permits.start()

    def reload(self, options: PeerHealthConfig) -> None:
        """Use the operator file's new values from the next period on."""
        self.options = options

    def end(self) -> None:
        """Nothing to do: what is held expires with the process."""

    # Periods.

    def run_period(self) -> None:
        """Record what we observed, send some of what we know to a few members, assess all of it."""
        options = self.options
        now = self.event_loop.now
        self.event_loop.call_later(options.report_interval_ticks, self.run_period)
        self.period_count += 1
        self._record_own_observations(now)
        self._update_retry_throttle(now)
        self.permits.measure_demand(options.report_interval_ticks)
        members = self.member_list.alive()
        self._retain_members(now)
        # What there is to send in a bad second would fill every link: hence a budget a second.
        refill = options.max_bytes_per_second * options.report_interval_ticks // SECOND
        self.byte_budget = min(self.byte_budget + refill, 2 * options.max_bytes_per_second)
        for member in self._sample_members(members, GOSSIP_FANOUT):
            if self.byte_budget > 0:
                self._send_status_update(member.name, now, len(members))
        is_reconciliation_due = not self.period_count % RECONCILIATION_PERIODS
        if is_reconciliation_due and members and self.byte_budget > 0:
            for member in self._sample_members(members, 1):
                digest = self.reports.digest(DATAGRAM_ROOM_BYTES, self.period_count)
                self._send_reconciliation(member.name, 0, digest, [])
        self._update_assessments(now)

    def _retain_members(self, now: int) -> None:
        members = self.member_list.members
        self.reports.drop_expired(now, [member.name for member in members.values()])
        self.retry_throttle.retain_members(members)
        self.permits.transfers.retain_members(members)

    def _sample_members(self, members: list[Any], count: int) -> list[Any]:
        """Up to `count` different members, by chance."""
        remaining = [*members]
        chosen: list[Any] = []
        while remaining and len(chosen) < count:
            chosen.append(remaining.pop(self.membership.chance(len(remaining))))
        return chosen

    def _record_own_observations(self, now: int) -> None:
        """Report on each engine of which this gateway knows something fresh and worth telling."""
        notable_percent = NOTABLE_SLOWNESS * 100 * self.socket_host.gateway.slowness.usual()
        for engine_pool in self.socket_host.engine_pools.values():
            engine = engine_pool.engine
            observation = self._observe(engine, now)
            if observation is None:
                continue
            # Hundreds of gateways telling of hundreds of engines that they are as usual would leave
            # no room for what is not. So that is told only where a report says otherwise.
            if (
                observation.fault != Fault.NONE
                or observation.slowness_percent > notable_percent
                or self.reports.is_disputed(engine.host_reference, notable_percent)
            ):
                self.reports.record_own(
                    now, engine.host_reference, engine_pool.started, *observation
                )

    def _observe(self, engine: Any, now: int) -> Observation | None:
        """Sum up what this gateway knows of an engine; None where nothing of it is fresh."""
        stats = engine.stats
        if engine.state != EngineState.READY or stats is None:
            return None
        fault = Fault.NONE
        if stats.ejected_until > now:
            fault = last_fault(stats.fault_history)
        elif stats.last_heard_at < now - OWN_OBSERVATION_TICKS or not is_trusted(stats):
            return None
        sample_count = len(stats.slowness_samples)
        slowness_percent = 0
        if sample_count >= MIN_SLOWNESS_SAMPLES:
            slowness_percent = int(100 * median(stats.slowness_samples))
        return Observation(fault, slowness_percent, sample_count)

    def _update_retry_throttle(self, now: int) -> None:
        budget = self.socket_host.gateway.retry_budget
        budget.throttle = self.retry_throttle.update(
            now, len(budget.success_times), len(budget.retry_times), budget.floor, budget.share
        )

    # Datagrams out.

    def _send_status_update(self, member: str, now: int, member_count: int) -> None:
        gateway = self.socket_host.gateway
        self.status_serial += 1
        self.permits.transfers.record_update_written(ticks_since_boot(), self.status_serial)
        update = StatusUpdate(
            self.status_serial,
            len(gateway.retry_budget.success_times),
            len(gateway.retry_budget.retry_times),
            int(self.permits.unplaced_per_second * UNPLACED_SCALE),
            self.reports.next_gossip(now, member_count, DATAGRAM_ROOM_BYTES),
        )
        self._send(member, STATUS_SUBJECT, encode_status(update), len(update.rows))

    def _send_reconciliation(
        self, member: str, stage: int, digest: dict[str, ReporterMark], rows: list[Any]
    ) -> None:
        body = encode_reconciliation(stage, digest, rows)
        self._send(member, RECONCILIATION_SUBJECT, body, len(rows))

    def _send(self, member: str, subject: str, body: list[Any], row_count: int) -> None:
        size = body_bytes(row_count)
        self.byte_budget -= size
        self.sent_bytes += size
        self.member_list.call(member, subject, body)

    # Datagrams in.

    def on_status_update(self, sender: str, body: Any) -> None:
        """Take a member's reports, its use of retries and its demand for permits."""
        update = decode_status(body)
        now = self.event_loop.now
        self._merge(now, update.rows)
        self.retry_throttle.record_usage(sender, now, int(update.succeeded), int(update.retries))
        self.permits.transfers.record_demand(
            sender,
            ticks_since_boot(),
            self.member_list.codec.peers[sender].incarnation,
            int(update.serial),
            update.unplaced_tenths / UNPLACED_SCALE,
        )

    def on_reconciliation(self, sender: str, body: Any) -> None:
        """Take what a member sends, send what its digest lacks, and our digest where it began."""
        message = decode_reconciliation(body)
        now = self.event_loop.now
        self._merge(now, message.rows)
        if not (message.stage < LAST_STAGE and self.byte_budget > 0):
            return
        rotation = self.period_count
        missing = self.reports.missing_rows(
            now, message.digest, DATAGRAM_ROOM_BYTES, True, rotation
        )
        digest: dict[str, ReporterMark] = {}
        if message.stage == 0:
            room_bytes = DATAGRAM_ROOM_BYTES - DIGEST_BYTES_PER_ROW * len(missing)
            digest = self.reports.digest(room_bytes, rotation)
        if missing or message.stage == 0:
            self._send_reconciliation(sender, message.stage + 1, digest, missing)

    def _merge(self, now: int, rows: Any) -> None:
        engines = {
            row[ROW_ENGINE] for row in rows if isinstance(row, list) and len(row) == ROW_LENGTH
        }
        if self.reports.merge(now, rows):
            self.updated_engines.update(engines)

    # What the gateway is told.

    def _update_assessments(self, now: int) -> None:
        """Assess each engine on which reports came, or which had an assessment."""
        zones = {member.name: member.zone for member in self.member_list.members.values()}
        zones[self.name] = self.member_list.zone
        for engine in dict.fromkeys([*self.assessments, *sorted(self.updated_engines)]):
            self._update_assessment(engine, now, zones)
        self.updated_engines.clear()

    def _update_assessment(self, engine: str, now: int, zones: Mapping[str, str]) -> None:
        engine_pool = self.socket_host.engine_pools.get(engine)
        assessment = NO_ASSESSMENT
        if engine_pool is not None:
            reports = self.reports.reports_on(engine)
            last_heard_at = engine_pool.engine.stats.last_heard_at
            assessment = assess(reports, now, engine_pool.started, self.name, zones, last_heard_at)
        before = self.assessments.get(engine, NO_ASSESSMENT)
        if assessment == NO_ASSESSMENT:
            self.assessments.pop(engine, None)
        else:
            self.assessments[engine] = assessment
        if assessment.is_suspected and not before.is_suspected:
            self.socket_host.log(f"shared: {engine} doubted, {assessment.reporters}")
        elif before.is_suspected and not assessment.is_suspected:
            self.socket_host.log(f"shared: {engine} doubted no more")
        if engine_pool is not None:
            gateway = self.socket_host.gateway
            level = suspicion_level(
                assessment.is_suspected,
                gateway.options.gateway_number,
                gateway.options.gateway_count,
                self.period_count,
            )
            gateway.on_peer_health(engine_pool.engine, assessment.slowness, level.value)

    # What operators see.

    def report_status(self, asked: bytes = b"") -> dict[str, Any]:
        """Answer `GET /shared`; the request's body is not looked at."""
        return status_report(self, self.event_loop.now)

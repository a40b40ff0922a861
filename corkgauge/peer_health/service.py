"""Runs peer health in one process: timers, datagrams, calls to the gateway, the status report.

Connects the state machines of this package with the membership service and the host, and makes no
decisions. Passes to the gateway only a slowness, a suspicion level and a fraction of its retry
budget. The number of datagrams per period does not grow with the number of members. Times are
ticks, tenths of a millisecond.
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
from corkgauge.peer_health.health_report import Fault, last_fault, named_engines
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
from corkgauge.peer_health.reports import DigestEntry, HealthReports
from corkgauge.peer_health.retry_throttle import RetryThrottle
from corkgauge.peer_health.status_view import status_report
from corkgauge.peer_health.trials import suspicion_level
from corkgauge.policy.outlier_detection import is_trusted
from corkgauge.policy.records import EngineState

NOTABLE_SLOWNESS = 2.0  # multiple of the usual slowness above which an engine is reported
MIN_SLOWNESS_SAMPLE_COUNT = 3  # local samples needed to report a slowness
DATAGRAM_ROOM_BYTES = 1_000  # for reports or a digest in one datagram
DIGEST_BYTES_PER_ROW = 90  # each row reduces the room for a digest in the same datagram by this
GOSSIP_FANOUT = 2  # members that get a status update per period
RECONCILIATION_PERIODS = 6  # periods between two reconciliations that the local gateway starts
LAST_RECONCILIATION_STAGE = 2  # a message of this stage is not answered


class Observation(NamedTuple):
    """A local observation of an engine; slowness is in percent of the usual response time."""

    fault: Fault
    slowness_percent: int
    sample_count: int


class PeerHealthService:
    """Exchanges reports with a few members each period and passes the assessments to the gateway.

    `socket_host` provides `event_loop`, `log`, `gateway`, `engine_pools`, `ledger`, `settings` and
    `routes`. `membership` provides the member list, which sends the datagrams.
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
        self.updated_engines: set[str] = set()  # with new reports since the last assessment

        self.status_serial = 0
        self.period_count = 0
        self.sent_bytes = 0  # by the assumed sizes of `body_bytes`
        self.byte_budget = 0  # remaining budget for sending; refilled each period

        self.member_list.call_handlers[STATUS_SUBJECT] = self.on_status_update
        self.member_list.call_handlers[RECONCILIATION_SUBJECT] = self.on_reconciliation
        socket_host.routes[b"GET", b"/shared"] = self.report_status
        self.event_loop.call_later(options.report_interval_ticks, self.run_period)
        self.permits.start()

    def reload(self, options: PeerHealthConfig) -> None:
        """Apply changed options from the next period on."""
        self.options = options

    def end(self) -> None:
        """Do nothing: no state outlives the process."""

    # Periods.

    def run_period(self) -> None:
        """Record local observations, send reports to a few members, and update the assessments."""
        options = self.options
        now = self.event_loop.now
        self.event_loop.call_later(options.report_interval_ticks, self.run_period)
        self.period_count += 1
        self._record_own_observations(now)
        self._update_retry_throttle(now)
        self.permits.measure_demand(options.report_interval_ticks)
        members = self.member_list.list_present_members()
        self._retain_members(now)
        # A burst of faults produces more reports than the links can carry, so the bytes sent per
        # second are limited, by the assumed sizes of `body_bytes`.
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
        """Return up to `count` different random members."""
        remaining = [*members]
        chosen: list[Any] = []
        while remaining and len(chosen) < count:
            chosen.append(remaining.pop(self.membership.random_below(len(remaining))))
        return chosen

    def _record_own_observations(self, now: int) -> None:
        """Record a report on each engine with a recent and notable local observation."""
        notable_percent = (
            NOTABLE_SLOWNESS * 100 * self.socket_host.gateway.slowness.median_of_engines()
        )
        for engine_pool in self.socket_host.engine_pools.values():
            engine = engine_pool.engine
            observation = self._observe(engine, now)
            if observation is None:
                continue
            # Reports that an engine is as usual, from hundreds of gateways on hundreds of engines,
            # would leave no room for reports of faults. So such a report is made only if a stored
            # report on the engine, possibly the local gateway's own, has a fault or a notable
            # slowness.
            if (
                observation.fault != Fault.NONE
                or observation.slowness_percent > notable_percent
                or self.reports.has_notable_report(engine.host_reference, notable_percent)
            ):
                self.reports.record_own(
                    now, engine.host_reference, engine_pool.started_ms, *observation
                )

    def _observe(self, engine: Any, now: int) -> Observation | None:
        """Return the local observation of an engine, or None without a recent and trusted one."""
        stats = engine.stats
        if engine.state != EngineState.READY or stats is None:
            return None
        fault = Fault.NONE
        if stats.ejected_until > now:
            fault = last_fault(stats.fault_history)
        elif stats.last_activity_at < now - OWN_OBSERVATION_TICKS or not is_trusted(stats):
            return None
        sample_count = len(stats.slowness_samples)
        slowness_percent = 0
        if sample_count >= MIN_SLOWNESS_SAMPLE_COUNT:
            slowness_percent = int(100 * median(stats.slowness_samples))
        return Observation(fault, slowness_percent, sample_count)

    def _update_retry_throttle(self, now: int) -> None:
        budget = self.socket_host.gateway.retry_budget
        budget.throttle = self.retry_throttle.update(
            now, len(budget.success_times), len(budget.retry_times), budget.floor, budget.share
        )

    # Sending datagrams.

    def _send_status_update(self, member: str, now: int, member_count: int) -> None:
        gateway = self.socket_host.gateway
        self.status_serial += 1
        self.permits.transfers.record_update_sent(ticks_since_boot(), self.status_serial)
        update = StatusUpdate(
            self.status_serial,
            len(gateway.retry_budget.success_times),
            len(gateway.retry_budget.retry_times),
            int(self.permits.unplaced_per_second * UNPLACED_SCALE),
            self.reports.next_gossip(now, member_count, DATAGRAM_ROOM_BYTES),
        )
        self._send(member, STATUS_SUBJECT, encode_status(update), len(update.rows))

    def _send_reconciliation(
        self, member: str, stage: int, digest: dict[str, DigestEntry], rows: list[Any]
    ) -> None:
        body = encode_reconciliation(stage, digest, rows)
        self._send(member, RECONCILIATION_SUBJECT, body, len(rows))

    def _send(self, member: str, subject: str, body: list[Any], row_count: int) -> None:
        size = body_bytes(row_count)
        self.byte_budget -= size
        self.sent_bytes += size
        self.member_list.call(member, subject, body)

    # Handling datagrams.

    def on_status_update(self, sender: str, body: Any) -> None:
        """Merge a member's reports; record its retry usage and its demand for permits."""
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
        """Merge received rows, and answer with the rows that the sender's digest lacks.

        The answer to stage 0 also contains the local digest.
        """
        message = decode_reconciliation(body)
        now = self.event_loop.now
        self._merge(now, message.rows)
        if not (message.stage < LAST_RECONCILIATION_STAGE and self.byte_budget > 0):
            return
        rotation = self.period_count
        missing = self.reports.missing_rows(
            now, message.digest, DATAGRAM_ROOM_BYTES, True, rotation
        )
        digest: dict[str, DigestEntry] = {}
        if message.stage == 0:
            room_bytes = DATAGRAM_ROOM_BYTES - DIGEST_BYTES_PER_ROW * len(missing)
            digest = self.reports.digest(room_bytes, rotation)
        if missing or message.stage == 0:
            self._send_reconciliation(sender, message.stage + 1, digest, missing)

    def _merge(self, now: int, rows: Any) -> None:
        if self.reports.merge(now, rows):
            self.updated_engines |= named_engines(rows)

    # Updating the gateway.

    def _update_assessments(self, now: int) -> None:
        """Assess each engine that has new reports or has an assessment."""
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
            last_activity_at = engine_pool.engine.stats.last_activity_at
            assessment = assess(
                reports, now, engine_pool.started_ms, self.name, zones, last_activity_at
            )
        previous = self.assessments.get(engine, NO_ASSESSMENT)
        if assessment == NO_ASSESSMENT:
            self.assessments.pop(engine, None)
        else:
            self.assessments[engine] = assessment
        if assessment.is_suspected and not previous.is_suspected:
            self.socket_host.log(f"shared: {engine} doubted, {assessment.reporters}")
        elif previous.is_suspected and not assessment.is_suspected:
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

    # Status report for operators.

    def report_status(self, request: bytes = b"") -> dict[str, Any]:
        """Answer `GET /shared`; the request is ignored."""
        return status_report(self, self.event_loop.now)

"""Simulates the spread of peer health reports in fleets too large for sockets.

The reports are those of the program; the clock is simulated. Owns the simulated outcomes of
attempts, and the network between the members. A member must know only what its own attempts showed
and what it received in reports.
"""

import time
from typing import Any

from corkgauge.eventloop.loop import SECOND
from corkgauge.peer_health.aggregation import assess
from corkgauge.peer_health.health_report import Fault
from corkgauge.peer_health.reports import HealthReports
from corkgauge.peer_health.service import (
    DATAGRAM_ROOM_BYTES,
    GOSSIP_FANOUT,
    RECONCILIATION_PERIODS,
)
from corkgauge.testkit.seeded_random import SeededRandom

PERIOD_TICKS = SECOND // 4  # a tick is a tenth of a millisecond
BYTES_PER_SECOND = 8_000  # limit of the traffic that a member sends as reports
ROW_BYTES = 70  # an upper estimate of an encoded report
DATAGRAM_BYTES = 60  # of a datagram, without its reports
RECONCILIATION_BYTES = 300  # of a reconciliation, without its reports
LATENCY_TICKS = 20
ZONES = 4
FAILURES_TO_DETECT = 3  # failed attempts after which a member reports a silent engine
SMALL_FLEET_MEMBER_COUNT = 500  # smaller fleets run for SMALL_FLEET_SECONDS
SMALL_FLEET_SECONDS = 12
LARGE_FLEET_SECONDS = 6


class Spread:
    """Simulates a fleet in four zones, in which `silent_count` engines become silent at time 0.

    Each member sends `rate` attempts per second, to random engines. The fraction `loss` of all
    datagrams is lost. If `sharing` is false, members send no reports.
    """

    def __init__(
        self,
        member_count: int,
        engine_count: int,
        silent_count: int,
        rate: float = 20.0,
        loss: float = 0.0,
        sharing: bool = True,
    ) -> None:
        self.random = SeededRandom(member_count * 7 + silent_count)
        self.engine_count = engine_count
        self.silent_count = silent_count
        self.rate = rate
        self.loss = loss
        self.sharing = sharing
        self.now = 0  # ticks
        self.period_count = 0
        self.zones = {f"n{number}": f"hall-{number % ZONES}" for number in range(member_count)}
        self.names = [*self.zones]
        self.reports = {name: HealthReports(name, 1) for name in self.names}
        self.failures = {name: [0] * silent_count for name in self.names}
        self.known_since: dict[tuple[str, int], int] = {}  # tick, by member and silent engine
        self.lost_attempt_count = 0
        self.sent_bytes = 0
        self.sent_datagram_count = 0

    def run(self, seconds: float) -> None:
        """Simulate this many seconds, period by period."""
        for _ in range(int(seconds * SECOND / PERIOD_TICKS)):
            self.now += PERIOD_TICKS
            self.period_count += 1
            for name in self.names:
                self._send_attempts(name)
            if self.sharing:
                for name in self.names:
                    self._push_reports(name)
                    self._reconcile(name)
            for name in self.names:
                self._evaluate_reports(name)

    def seconds_until_known(self, fraction: float) -> float:
        """Return the seconds until this fraction of all (member, silent engine) pairs was detected.

        -1: not reached yet.
        """
        known_ticks = sorted(self.known_since.values())
        required_count = int(fraction * len(self.reports) * self.silent_count)
        return (
            known_ticks[required_count - 1] / SECOND
            if len(known_ticks) >= required_count > 0
            else -1.0
        )

    def _send_attempts(self, name: str) -> None:
        attempts = int(self.rate * PERIOD_TICKS / SECOND + self.random.uniform())
        for _ in range(attempts):
            engine = self.random.below(self.engine_count)
            if engine < self.silent_count and (name, engine) not in self.known_since:
                self._fail_attempt(name, engine)

    def _fail_attempt(self, name: str, engine: int) -> None:
        self.lost_attempt_count += 1
        self.failures[name][engine] += 1
        if self.failures[name][engine] >= FAILURES_TO_DETECT:
            self.known_since[name, engine] = self.now
            self.reports[name].record_own(self.now, f"e{engine}", 1, Fault.SILENT, 0, 0)

    def _push_reports(self, name: str) -> None:
        room_bytes = BYTES_PER_SECOND * PERIOD_TICKS // SECOND
        for _ in range(GOSSIP_FANOUT):
            receiver = self._draw_member()
            if receiver == name:
                continue
            rows = self.reports[name].next_gossip(
                self.now, len(self.names), min(DATAGRAM_ROOM_BYTES, room_bytes)
            )
            if not rows:
                continue
            size_bytes = DATAGRAM_BYTES + ROW_BYTES * len(rows)
            room_bytes -= size_bytes
            self.sent_bytes += size_bytes
            self.sent_datagram_count += 1
            if not self.random.happens(self.loss):
                self.reports[receiver].merge(self.now + LATENCY_TICKS, rows)

    def _reconcile(self, name: str) -> None:
        """Reconcile with one random member, which sends the reports that this member lacks."""
        if self.period_count % RECONCILIATION_PERIODS:
            return
        reports = self.reports[name]
        other = self.reports[self._draw_member()]
        if len(reports) or len(other):
            digest = reports.digest(DATAGRAM_ROOM_BYTES, self.period_count)
            rows = other.missing_rows(
                self.now, digest, DATAGRAM_ROOM_BYTES, True, self.period_count
            )
            self.sent_bytes += RECONCILIATION_BYTES + ROW_BYTES * len(rows)
            reports.merge(self.now + LATENCY_TICKS, rows)

    def _evaluate_reports(self, name: str) -> None:
        """Record the silent engines that the reports of other members reveal."""
        for engine in range(self.silent_count):
            if (name, engine) in self.known_since:
                continue
            reports = self.reports[name].reports_on(f"e{engine}")
            if assess(reports, self.now, 1, name, self.zones, -1).is_suspected:
                self.known_since[name, engine] = self.now

    def _draw_member(self) -> str:
        return self.names[self.random.below(len(self.names))]


def measure_report_spread(
    member_count: int,
    engine_count: int,
    silent_count: int,
    loss: float = 0.0,
    sharing: bool = True,
) -> dict[str, Any]:
    """Simulate one fleet; return detection times, lost attempts and octets per second and member.

    All times are simulated, except `took_s`, the real duration of the simulation.
    """
    started_at = time.time()
    spread = Spread(member_count, engine_count, silent_count, loss=loss, sharing=sharing)
    spread.run(
        SMALL_FLEET_SECONDS if member_count < SMALL_FLEET_MEMBER_COUNT else LARGE_FLEET_SECONDS
    )
    simulated_seconds = spread.now / SECOND
    return {
        "gateways": member_count,
        "engines": engine_count,
        "bad": silent_count,
        "loss": loss,
        "sharing": sharing,
        "half_know_s": spread.seconds_until_known(0.5),
        "nine_in_ten_know_s": spread.seconds_until_known(0.9),
        "lost_hand_offs": spread.lost_attempt_count,
        "octets_a_second": round(spread.sent_bytes / member_count / simulated_seconds),
        "took_s": round(time.time() - started_at, 1),
    }

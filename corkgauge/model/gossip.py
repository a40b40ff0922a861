"""Simulates how peer health reports spread, at sizes beyond sockets: real reports, simulated clock.

Owns the simulated members' experience of engines, and the network between them. No member knows
what it has neither met nor been told.
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
BYTES_PER_SECOND = 8_000  # that a member may spend on reports
ROW_BYTES = 70  # of a report on its way, on the high side
DATAGRAM_BYTES = 60  # of a datagram beside its rows
REPAIR_BYTES = 300  # of a comparison beside its rows
LATENCY_TICKS = 20
ZONES = 4
FAILURES_TO_FIND = 3  # attempts lost at a silent engine before a member finds that by itself
SMALL_FLEET = 500  # members below which a run takes longer
SMALL_FLEET_SECONDS = 12
LARGE_FLEET_SECONDS = 6


class Spread:
    """Members in four zones, and engines of which some fall silent at once.

    Each member sends `rate` attempts a second, to engines by chance. The share `loss` of all
    datagrams is lost; without `sharing` nobody reports to anybody.
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
        self.periods = 0
        self.zones = {f"n{number}": f"hall-{number % ZONES}" for number in range(member_count)}
        self.names = [*self.zones]
        self.reports = {name: HealthReports(name, 1) for name in self.names}
        self.failures = {name: [0] * silent_count for name in self.names}
        self.known_since: dict[tuple[str, int], int] = {}  # by member and silent engine
        self.lost_attempts = 0
        self.sent_bytes = 0
        self.sent_datagrams = 0

    def run(self, seconds: float) -> None:
        """Let the clock go on, period by period."""
        for _ in range(int(seconds * SECOND / PERIOD_TICKS)):
            self.now += PERIOD_TICKS
            self.periods += 1
            for name in self.names:
                self._serve(name)
            if self.sharing:
                for name in self.names:
                    self._push(name)
                    self._repair(name)
            for name in self.names:
                self._judge(name)

    def known_by(self, part: float) -> float:
        """Return the seconds until this part of all pairs of member and silent engine is known.

        -1: not yet.
        """
        moments = sorted(self.known_since.values())
        wanted = int(part * len(self.reports) * self.silent_count)
        return moments[wanted - 1] / SECOND if len(moments) >= wanted > 0 else -1.0

    def _serve(self, name: str) -> None:
        attempts = int(self.rate * PERIOD_TICKS / SECOND + self.random.part())
        for _ in range(attempts):
            engine = self.random.below(self.engine_count)
            if engine < self.silent_count and (name, engine) not in self.known_since:
                self._lose_attempt(name, engine)

    def _lose_attempt(self, name: str, engine: int) -> None:
        self.lost_attempts += 1
        self.failures[name][engine] += 1
        if self.failures[name][engine] >= FAILURES_TO_FIND:
            self.known_since[name, engine] = self.now
            self.reports[name].record_own(self.now, f"e{engine}", 1, Fault.SILENT, 0, 0)

    def _push(self, name: str) -> None:
        room_bytes = BYTES_PER_SECOND * PERIOD_TICKS // SECOND
        for _ in range(GOSSIP_FANOUT):
            receiver = self._draw_name()
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
            self.sent_datagrams += 1
            if not self.random.within(self.loss):
                self.reports[receiver].merge(self.now + LATENCY_TICKS, rows)

    def _repair(self, name: str) -> None:
        """Compare with one other, which sends what this member lacks."""
        if self.periods % RECONCILIATION_PERIODS:
            return
        reports = self.reports[name]
        other = self.reports[self._draw_name()]
        if len(reports) or len(other):
            digest = reports.digest(DATAGRAM_ROOM_BYTES, self.periods)
            rows = other.missing_rows(self.now, digest, DATAGRAM_ROOM_BYTES, True, self.periods)
            self.sent_bytes += REPAIR_BYTES + ROW_BYTES * len(rows)
            reports.merge(self.now + LATENCY_TICKS, rows)

    def _judge(self, name: str) -> None:
        """Take an engine for silent by the reports of others."""
        for engine in range(self.silent_count):
            if (name, engine) in self.known_since:
                continue
            reports = self.reports[name].reports_on(f"e{engine}")
            if assess(reports, self.now, 1, name, self.zones, -1).is_suspected:
                self.known_since[name, engine] = self.now

    def _draw_name(self) -> str:
        return self.names[self.random.below(len(self.names))]


def measure_report_spread(
    member_count: int,
    engine_count: int,
    silent_count: int,
    loss: float = 0.0,
    sharing: bool = True,
) -> dict[str, Any]:
    """Run once, and return the time until nine in ten know, attempts lost, octets a second.

    Octets are those of one member. Seconds are simulated, but for `took_s`.
    """
    started_at = time.time()
    spread = Spread(member_count, engine_count, silent_count, loss=loss, sharing=sharing)
    spread.run(SMALL_FLEET_SECONDS if member_count < SMALL_FLEET else LARGE_FLEET_SECONDS)
    simulated_seconds = spread.now / SECOND
    return {
        "gateways": member_count,
        "engines": engine_count,
        "bad": silent_count,
        "loss": loss,
        "sharing": sharing,
        "half_know_s": spread.known_by(0.5),
        "nine_in_ten_know_s": spread.known_by(0.9),
        "lost_hand_offs": spread.lost_attempts,
        "octets_a_second": round(spread.sent_bytes / member_count / simulated_seconds),
        "took_s": round(time.time() - started_at, 1),
    }

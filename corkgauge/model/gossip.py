"""How findings spread at sizes that sockets do not reach: the real findings and the real rule on one simulated clock.

Owns the simulated gateways' experience of engines, and the way between them. Must never let a gateway know what it has
neither met nor heard.
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

EACH, OCTETS = SECOND // 4, 8_000
ROW = 70  # octets of a finding on its way, on the high side
FOUND_AFTER = 3  # hand-offs that a gateway loses at a silent engine before it finds that by itself


class Spread:
    """`many` gateways in four halls, `engines`, of which `bad` fall silent at once. Each gateway hands off `rate`
    submissions a second, to engines by chance. `loss` of all letters are lost; `sharing` False: nobody tells."""

    def __init__(
        self,
        many: int,
        engines: int,
        bad: int,
        rate: float = 20.0,
        loss: float = 0.0,
        sharing: bool = True,
    ) -> None:
        self.chance, self.engines, self.bad, self.rate, self.loss = (
            SeededRandom(many * 7 + bad),
            engines,
            bad,
            rate,
            loss,
        )
        self.sharing, self.now, self.turn = sharing, 0, 0
        self.zones = {f"n{n}": f"hall-{n % 4}" for n in range(many)}
        self.nodes = {name: HealthReports(name, 1) for name in self.zones}
        self.lost = {name: [0] * bad for name in self.zones}
        self.knows: dict[
            tuple[str, int], int
        ] = {}  # gateway and engine: since when it leaves that alone
        self.wasted = self.octets = self.letters = 0

    def run(self, seconds: float) -> None:
        names = [*self.nodes]
        for _ in range(int(seconds * SECOND / EACH)):
            self.now += EACH
            self.turn += 1
            for name in names:
                self._serve(name)
            if self.sharing:
                for name in names:
                    self._tell(name, names)
            for name in names:
                self._weigh(name)

    def _serve(self, name: str) -> None:
        for _ in range(int(self.rate * EACH / SECOND + self.chance.part())):
            engine = self.chance.below(self.engines)
            if engine < self.bad and (name, engine) not in self.knows:
                self.wasted += 1
                self.lost[name][engine] += 1
                if self.lost[name][engine] >= FOUND_AFTER:
                    self.knows[name, engine] = self.now
                    self.nodes[name].record_own(self.now, f"e{engine}", 1, Fault.SILENT, 0, 0)

    def _tell(self, name: str, names: list[str]) -> None:
        mine, room = self.nodes[name], OCTETS * EACH // SECOND
        for _ in range(GOSSIP_FANOUT):
            to = names[self.chance.below(len(names))]
            rows = (
                mine.next_gossip(self.now, len(names), min(DATAGRAM_ROOM_BYTES, room))
                if to != name
                else []
            )
            if rows:
                room -= 60 + ROW * len(rows)
                self.octets += 60 + ROW * len(rows)
                self.letters += 1
                if not self.chance.within(self.loss):
                    self.nodes[to].merge(self.now + 20, rows)
        if not self.turn % RECONCILIATION_PERIODS:
            to = self.nodes[names[self.chance.below(len(names))]]
            if len(mine) or len(to):
                rows = to.missing_rows(
                    self.now,
                    mine.digest(DATAGRAM_ROOM_BYTES, self.turn),
                    DATAGRAM_ROOM_BYTES,
                    True,
                    self.turn,
                )
                self.octets += 300 + ROW * len(rows)
                mine.merge(self.now + 20, rows)

    def _weigh(self, name: str) -> None:
        for engine in range(self.bad):
            if (name, engine) not in self.knows and assess(
                self.nodes[name].reports_on(f"e{engine}"), self.now, 1, name, self.zones, -1
            ).is_suspected:
                self.knows[name, engine] = self.now

    def known_by(self, part: float) -> float:
        """Seconds until so many of all pairs of gateway and bad engine are known; -1: not yet."""
        moments, wanted = sorted(self.knows.values()), int(part * len(self.nodes) * self.bad)
        return moments[wanted - 1] / SECOND if len(moments) >= wanted > 0 else -1.0


def measured(
    many: int, engines: int, bad: int, loss: float = 0.0, sharing: bool = True
) -> dict[str, Any]:
    """Time until nine in ten know, hand-offs lost, octets a second and gateway; simulated seconds but `took`."""
    begun = time.time()
    spread = Spread(many, engines, bad, loss=loss, sharing=sharing)
    spread.run(12 if many < 500 else 6)
    return {
        "gateways": many,
        "engines": engines,
        "bad": bad,
        "loss": loss,
        "sharing": sharing,
        "half_know_s": spread.known_by(0.5),
        "nine_in_ten_know_s": spread.known_by(0.9),
        "lost_hand_offs": spread.wasted,
        "octets_a_second": round(spread.octets / many / (spread.now / SECOND)),
        "took_s": round(time.time() - begun, 1),
    }

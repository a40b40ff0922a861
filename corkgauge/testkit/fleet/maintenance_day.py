"""A day of works under faults: several processes of the program, a crew that asks and works, an inspector outside.

Owns what is asked and when, by a seed. Must never tell a gateway anything but at its door.
"""

import signal
from typing import Any

from corkgauge.eventloop.loop import SECOND
from corkgauge.testkit.checkers.maintenance import MaintenanceLimits, find_maintenance_violations
from corkgauge.testkit.fleet.maintenance_crew import MaintenanceCrew
from corkgauge.testkit.fleet.processes import Fault, Fleet, drawn
from corkgauge.testkit.seeded_random import SeededRandom

MOST = 3
SLACK = (
    1_000  # tenths of a millisecond that a hand-off may have been on its way when a door told `out`
)


class MaintenanceDay:
    """`fleet` plays; asks come about every `each` seconds, some are cancelled."""

    def __init__(
        self,
        seed: int,
        gateways: int = 3,
        engines: int = 12,
        seconds: float = 30.0,
        gap: float = 0.6,
        longest: float = 2.0,
        each: float = 1.5,
        off: str = "none",
        clients: int = 4,
        rate: float = 80.0,
        faults: list[Fault] | None = None,
        cancels: float = 0.2,
        **more: Any,
    ) -> None:
        names = [f"n{n}" for n in range(1, gateways + 1)]
        if faults is None:
            faults = drawn(seed, names, seconds, gap, longest)
        works = {
            "each": 0.2,
            "grant": 1.0,
            "patience": 0.5,
            "most": MOST,
            "share": 0.5,
            "room": 0.9,
        }
        self.fleet = Fleet(
            seed,
            gateways,
            faults=faults,
            engines=engines,
            off=off,
            clients=clients,
            rate=rate,
            **{"lease": 0.8, "cold": 0.5, "disk": True, "works": works, **more},
        )
        self.crew = MaintenanceCrew(self.fleet, lasting=0.3, seed=seed)
        self.chance, self.seconds, self.each, self.cancels = (
            SeededRandom(seed + 7),
            seconds,
            each,
            cancels,
        )
        self.limits = MaintenanceLimits(MOST, 0.5, 0.5, 0.5, {"c12": 1})
        self.ended = False
        self.overruled: set[str] = set()

    def run(self) -> dict[str, Any]:
        """What the day came to."""
        fleet = self.fleet
        try:
            fleet.start()
            self.crew.wish({"do": "known", "out": []})
            fleet.event_loop.call_later(2 * SECOND, self._ask)
            fleet.until(self.seconds)
            self.ended = True
            # Once nothing befalls anybody, all that was asked goes through.
            calm = fleet.until(40, lambda: bool(self.crew.seen.get("units", [1])))
            self.crew.stopped = True
            fleet.settle()
            return self.report(calm)
        finally:
            fleet.close()

    def _ask(self) -> None:
        if self.ended:
            return
        self.fleet.event_loop.call_later(
            int(self.chance.exponential(self.each * SECOND)) + 1, self._ask
        )
        names = [*self.fleet.engines]
        if self.chance.happens(0.1):
            id_ = self.crew.ask("hall", ("hall-a", "hall-b")[self.chance.below(2)])
        else:
            some = dict.fromkeys(
                names[self.chance.below(len(names))] for _ in range(1 + self.chance.below(3))
            )
            id_ = self.crew.ask("engine", *some)
        if self.chance.happens(self.cancels):
            self.fleet.event_loop.call_later(
                self.chance.below(SECOND) + 1, self.crew.wish, {"do": "cancel", "id": id_}
            )

    def report(self, calm: bool) -> dict[str, Any]:
        fleet, crew, names = self.fleet, self.crew, [*self.fleet.gateways]
        # What a gateway sent that an operator overruled is his word, not the works'.
        excused = {
            ask.trace
            for n, client in enumerate(fleet.clients)
            if names[n % len(names)] in self.overruled
            for ask in client.requests
        }
        engines = {
            name: (each.zone, each.kind, float(each.cores)) for name, each in fleet.engines.items()
        }
        runs = [
            (run.received_at, run.engine, f"{run.request_class} {run.trace}")
            for each in fleet.engines.values()
            for run in each.attempts
            if run.trace not in excused
        ]
        found = find_maintenance_violations(crew.book, runs, engines, self.limits, SLACK)
        logs = fleet.logs()
        tally: dict[str, int] = {}
        for client in fleet.clients:
            for name, count in client.count_outcomes().items():
                tally[name] = tally.get(name, 0) + count
        waits = sorted(work.begun - crew.asked[work.request_id] for work in crew.book)
        return {
            "faults": fleet.befallen,
            "works": len(crew.book),
            "asks": len(crew.asked),
            "most_at_once": most_at_once(crew.book),
            "calm_at_the_end": calm,
            "to_out_s": [waits[int(part * (len(waits) - 1))] / SECOND for part in (0.5, 0.99)]
            if waits
            else [],
            "exceptions": sum("exceptions stopped" in line for line in logs),
            "clients": tally,
            "rules": fleet.broken(2_500),
            "wrong": found,
            "duties": fleet.wrong(),
        }


def most_at_once(book: list[Any]) -> int:
    """Members of units that were at work at one moment."""
    return max(
        (
            sum(
                len(each.members)
                for each in book
                if each.begun <= work.begun and not (0 <= each.ended <= work.begun)
            )
            for work in book
        ),
        default=0,
    )


AIMS = "agreement", "confirmation", "orders"


def aimed(at: str, off: bool, seed: int = 4, rounds: int = 5) -> list[str]:
    """A day made to show what one defence is for, with it or with it left out: what the inspector found."""
    spoilt = [at] * off + ["midorder"] * (at == "orders")
    works = {"each": 0.5, "grant": 2.0, "patience": 0.5, "most": MOST, "share": 0.5, "room": 0.9}
    day = MaintenanceDay(
        seed,
        engines=6,
        off=",".join(spoilt) or "none",
        faults=[],
        clients=3,
        rate=150.0,
        works=works,
    )
    fleet, crew = day.fleet, day.crew
    crew.lasting = (4 if at == "orders" else 2) * SECOND
    try:
        fleet.start()
        crew.wish({"do": "known", "out": []})
        fleet.until(10, lambda: not crew.seen.get("known"))
        for n in range(rounds):
            {
                "agreement": _steps_are_lost,
                "confirmation": _one_hears_nothing,
                "orders": _an_order_comes_late,
            }[at](day, f"e{1 + n % 6}")
        crew.stopped = True
        return day.report(True)["wrong"]
    finally:
        fleet.close()


def _asked(day: MaintenanceDay, engine: str, seconds: float) -> bool:
    """Has the crew begun to work on it?"""
    before = len(day.crew.book)
    day.crew.ask("engine", engine)
    return day.fleet.until(seconds, lambda: len(day.crew.book) == before)


def _one_hears_nothing(day: MaintenanceDay, engine: str) -> None:
    """A gateway is cut off from its fellows, and sends on: until the work has begun without it, and some time more;
    or, as it must not begin, for all that time.
    """
    day.fleet.until(10, lambda: not day.crew.seen.get("holder"))
    planner = day.crew.seen.get("holder") or "n1"
    other = next(name for name in day.fleet.gateways if name != planner)
    day.fleet.befall(Fault(0, 60 * SECOND, "cut", (other,)))
    day.fleet.until(0.05)
    _asked(day, engine, 6)
    day.fleet.until(1)
    for way in day.fleet.ways.values():
        way.cut_until = 0
    day.fleet.until(3)


def _steps_are_lost(day: MaintenanceDay, engine: str) -> None:
    """Steps are lost on their way to keepers, while orders are told again; then the planner stands still."""
    day.fleet.weather("lose", 0.6)
    if _asked(day, engine, 10):
        day.fleet.befall(Fault(0, 2 * SECOND, "stop", (day.crew.seen.get("holder") or "n1",)))
    day.fleet.weather("lose", 0.0)
    day.fleet.until(3)


def _an_order_comes_late(day: MaintenanceDay, engine: str) -> None:
    """The planner stands still between its look at the clock and the writing of an order, and goes on once its
    successor has taken a machine out.
    """
    fleet = day.fleet
    if not fleet.until(12, lambda: not fleet.halted()):
        return
    for name in fleet.halted():
        fleet.gateways[name].troubled.append(fleet.event_loop.now)
        fleet.gateways[name].spells.append(
            (fleet.event_loop.now, fleet.event_loop.now + 20 * SECOND)
        )
    # It cannot confirm while it stands still: an operator saw to that.
    stopped = fleet.halted()
    day.crew.ask("engine", engine)
    fleet.until(
        12,
        lambda: day.crew.seen.get("holder") in stopped
        or not any(
            unit["unit"] == engine and unit["state"] == "draining"
            for unit in day.crew.seen.get("units", ())
        ),
    )
    before = len(day.crew.book)
    day.overruled.update(stopped)
    for name in stopped:
        day.crew.wish({"do": "overrule", "unit": engine, "gateway": name})
    fleet.until(8, lambda: len(day.crew.book) == before)
    fleet.until(0.3)
    # Else whoever took it would be told better within milliseconds.
    fleet.weather("late", 900.0)
    for name in stopped:
        fleet.gateways[name].program.tell(signal.SIGCONT)
    fleet.until(3)
    fleet.weather("late", 0.0)

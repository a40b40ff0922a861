"""A day of works under faults: several processes of the program, a crew that asks and works, an inspector outside.

Owns what is asked and when, by a seed. Must never tell a gateway anything but at its door.
"""

import signal
from typing import Any

from corkgauge.eventloop.loop import SECOND
from corkgauge.testkit.checkers.maintenance import Limits, wrong
from corkgauge.testkit.fleet.maintenance_crew import MaintenanceCrew
from corkgauge.testkit.fleet.processes import Fault, Fleet, draw_random_faults
from corkgauge.testkit.seeded_random import SeededRandom

MAX_ENGINES_OUT = 3
HANDOFF_SLACK_TICKS = (
    1_000  # tenths of a millisecond that a hand-off may have been on its way when a door told `out`
)


class MaintenanceScenario:
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
            faults = draw_random_faults(seed, names, seconds, gap, longest)
        works = {
            "each": 0.2,
            "grant": 1.0,
            "patience": 0.5,
            "most": MAX_ENGINES_OUT,
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
        self.crew = MaintenanceCrew(self.fleet, work_seconds=0.3, seed=seed)
        self.chance, self.seconds, self.each, self.cancels = (
            SeededRandom(seed + 7),
            seconds,
            each,
            cancels,
        )
        self.limits = Limits(MAX_ENGINES_OUT, 0.5, 0.5, 0.5, {"c12": 1})
        self.ended = False
        self.overruled: set[str] = set()

    def run(self) -> dict[str, Any]:
        """What the day came to."""
        fleet = self.fleet
        try:
            fleet.start()
            self.crew.send_command({"do": "known", "out": []})
            fleet.event_loop.call_later(2 * SECOND, self._ask)
            fleet.until(self.seconds)
            self.ended = True
            # Once nothing befalls anybody, all that was asked goes through.
            calm = fleet.until(40, lambda: bool(self.crew.last_plan.get("units", [1])))
            self.crew.stopped = True
            fleet.settle()
            return self.report(calm)
        finally:
            fleet.close()

    def _ask(self) -> None:
        if self.ended:
            return
        self.fleet.event_loop.call_later(int(self.chance.wait(self.each * SECOND)) + 1, self._ask)
        names = [*self.fleet.engines]
        if self.chance.within(0.1):
            id_ = self.crew.request_maintenance("hall", ("hall-a", "hall-b")[self.chance.below(2)])
        else:
            some = dict.fromkeys(
                names[self.chance.below(len(names))] for _ in range(1 + self.chance.below(3))
            )
            id_ = self.crew.request_maintenance("engine", *some)
        if self.chance.within(self.cancels):
            self.fleet.event_loop.call_later(
                self.chance.below(SECOND) + 1, self.crew.send_command, {"do": "cancel", "id": id_}
            )

    def report(self, calm: bool) -> dict[str, Any]:
        fleet, crew, names = self.fleet, self.crew, [*self.fleet.gateways]
        # What a gateway sent that an operator overruled is his word, not the works'.
        excused = {
            ask.trace
            for n, client in enumerate(fleet.clients)
            if names[n % len(names)] in self.overruled
            for ask in client.book
        }
        engines = {
            name: (each.zone, each.kind, float(each.cores)) for name, each in fleet.engines.items()
        }
        runs = [
            (run.came, run.engine, f"{run.request_class} {run.trace}")
            for each in fleet.engines.values()
            for run in each.book
            if run.trace not in excused
        ]
        found = wrong(crew.book, runs, engines, self.limits, HANDOFF_SLACK_TICKS)
        logs = fleet.logs()
        tally: dict[str, int] = {}
        for client in fleet.clients:
            for name, count in client.tally().items():
                tally[name] = tally.get(name, 0) + count
        waits = sorted(work.begun - crew.requested_at[work.ask] for work in crew.book)
        return {
            "faults": fleet.applied_fault_count,
            "works": len(crew.book),
            "asks": len(crew.requested_at),
            "most_at_once": most_at_once(crew.book),
            "calm_at_the_end": calm,
            "to_out_s": [waits[int(part * (len(waits) - 1))] / SECOND for part in (0.5, 0.99)]
            if waits
            else [],
            "exceptions": sum("exceptions stopped" in line for line in logs),
            "clients": tally,
            "rules": fleet.find_rule_violations(2_500),
            "wrong": found,
            "duties": fleet.find_lease_violations(),
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


SAFEGUARDS = "agreement", "confirmation", "orders"


def run_safeguard_scenario(at: str, off: bool, seed: int = 4, rounds: int = 5) -> list[str]:
    """A day made to show what one defence is for, with it or with it left out: what the inspector found."""
    spoilt = [at] * off + ["midorder"] * (at == "orders")
    works = {
        "each": 0.5,
        "grant": 2.0,
        "patience": 0.5,
        "most": MAX_ENGINES_OUT,
        "share": 0.5,
        "room": 0.9,
    }
    day = MaintenanceScenario(
        seed,
        engines=6,
        off=",".join(spoilt) or "none",
        faults=[],
        clients=3,
        rate=150.0,
        works=works,
    )
    fleet, crew = day.fleet, day.crew
    crew.work_ticks = (4 if at == "orders" else 2) * SECOND
    try:
        fleet.start()
        crew.send_command({"do": "known", "out": []})
        fleet.until(10, lambda: not crew.last_plan.get("known"))
        for n in range(rounds):
            {
                "agreement": _lose_plan_steps,
                "confirmation": _isolate_one_gateway,
                "orders": _delay_an_order,
            }[at](day, f"e{1 + n % 6}")
        crew.stopped = True
        return day.report(True)["wrong"]
    finally:
        fleet.close()


def _request_engine(day: MaintenanceScenario, engine: str, seconds: float) -> bool:
    """Has the crew begun to work on it?"""
    before = len(day.crew.book)
    day.crew.request_maintenance("engine", engine)
    return day.fleet.until(seconds, lambda: len(day.crew.book) == before)


def _isolate_one_gateway(day: MaintenanceScenario, engine: str) -> None:
    """A gateway is cut off from its fellows, and sends on: until the work has begun without it, and some time more;
    or, as it must not begin, for all that time.
    """
    day.fleet.until(10, lambda: not day.crew.last_plan.get("holder"))
    planner = day.crew.last_plan.get("holder") or "n1"
    other = next(name for name in day.fleet.gateways if name != planner)
    day.fleet.apply_fault(Fault(0, 60 * SECOND, "cut", (other,)))
    day.fleet.until(0.05)
    _request_engine(day, engine, 6)
    day.fleet.until(1)
    for way in day.fleet.datagram_relays.values():
        way.cut_until = 0
    day.fleet.until(3)


def _lose_plan_steps(day: MaintenanceScenario, engine: str) -> None:
    """Steps are lost on their way to keepers, while orders are told again; then the planner stands still."""
    day.fleet.set_network_fault("lose", 0.6)
    if _request_engine(day, engine, 10):
        day.fleet.apply_fault(
            Fault(0, 2 * SECOND, "stop", (day.crew.last_plan.get("holder") or "n1",))
        )
    day.fleet.set_network_fault("lose", 0.0)
    day.fleet.until(3)


def _delay_an_order(day: MaintenanceScenario, engine: str) -> None:
    """The planner stands still between its look at the clock and the writing of an order, and goes on once its
    successor has taken a machine out.
    """
    fleet = day.fleet
    if not fleet.until(12, lambda: not fleet.find_suspended_gateways()):
        return
    for name in fleet.find_suspended_gateways():
        fleet.gateways[name].disturbed_at.append(fleet.event_loop.now)
        fleet.gateways[name].unresponsive_spans.append(
            (fleet.event_loop.now, fleet.event_loop.now + 20 * SECOND)
        )
    # It cannot confirm while it stands still: an operator saw to that.
    stopped = fleet.find_suspended_gateways()
    day.crew.request_maintenance("engine", engine)
    fleet.until(
        12,
        lambda: day.crew.last_plan.get("holder") in stopped
        or not any(
            unit["unit"] == engine and unit["state"] == "draining"
            for unit in day.crew.last_plan.get("units", ())
        ),
    )
    before = len(day.crew.book)
    day.overruled.update(stopped)
    for name in stopped:
        day.crew.send_command({"do": "overrule", "unit": engine, "gateway": name})
    fleet.until(8, lambda: len(day.crew.book) == before)
    fleet.until(0.3)
    # Else whoever took it would be told better within milliseconds.
    fleet.set_network_fault("late", 900.0)
    for name in stopped:
        fleet.gateways[name].program.send_signal(signal.SIGCONT)
    fleet.until(3)
    fleet.set_network_fault("late", 0.0)

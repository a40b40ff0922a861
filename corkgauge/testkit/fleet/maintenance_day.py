"""Runs rolling maintenance on a fleet under faults, and checks it with the maintenance checker.

Owns the times and units of the maintenance requests, drawn by a seed. Sends commands to gateways
through their operator sockets only.
"""

import signal
from typing import Any

from corkgauge.eventloop.loop import SECOND
from corkgauge.testkit.checkers.maintenance import MaintenanceLimits, find_maintenance_violations
from corkgauge.testkit.fleet.maintenance_crew import MaintenanceCrew
from corkgauge.testkit.fleet.processes import Fault, Fleet, draw_random_faults
from corkgauge.testkit.seeded_random import SeededRandom

MAX_ENGINES_OUT = 3
# An attempt that was sent before a gateway reported an engine as out may arrive this much later.
HANDOFF_SLACK_TICKS = 1_000


class MaintenanceScenario:
    """Runs a fleet and a crew that requests maintenance at random times, under random faults.

    Args:
        seed: The seed of all random numbers.
        gateways: The number of gateway processes.
        engines: The number of emulated engines.
        seconds: The time during which maintenance is requested and faults are injected.
        gap: The mean time between two faults, in seconds.
        longest: The longest duration of a fault, in seconds.
        each: The mean time between two requests, in seconds.
        off: The safeguards that the gateways disable, separated by commas.
        clients: The number of emulated clients.
        rate: Requests per second of all clients together.
        faults: Faults to inject, instead of random ones.
        cancels: The fraction of maintenance requests that the crew cancels.
        **more: Further parameters of the fleet.
    """

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
        self.limits = MaintenanceLimits(MAX_ENGINES_OUT, 0.5, 0.5, 0.5, {"c12": 1})
        self.ended = False
        self.overruled: set[str] = set()

    def run(self) -> dict[str, Any]:
        """Run the scenario, close the fleet and return the report."""
        fleet = self.fleet
        try:
            fleet.start()
            self.crew.send_command({"do": "known", "out": []})
            fleet.event_loop.call_later(2 * SECOND, self._ask)
            fleet.until(self.seconds)
            self.ended = True
            # Without faults, all requested maintenance must finish.
            plan_is_empty = fleet.until(40, lambda: bool(self.crew.last_plan.get("units", [1])))
            self.crew.stopped = True
            fleet.settle()
            return self.report(plan_is_empty)
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
            request_id = self.crew.request_maintenance(
                "hall", ("hall-a", "hall-b")[self.chance.below(2)]
            )
        else:
            engine_names = dict.fromkeys(
                names[self.chance.below(len(names))] for _ in range(1 + self.chance.below(3))
            )
            request_id = self.crew.request_maintenance("engine", *engine_names)
        if self.chance.happens(self.cancels):
            self.fleet.event_loop.call_later(
                self.chance.below(SECOND) + 1,
                self.crew.send_command,
                {"do": "cancel", "id": request_id},
            )

    def report(self, plan_is_empty: bool) -> dict[str, Any]:
        """Check the rules and return the counts of the run and all violations."""
        fleet, crew, names = self.fleet, self.crew, [*self.fleet.gateways]
        # An operator who overruled the missing proof of a gateway vouched for its attempts.
        excused_traces = {
            request.trace
            for n, client in enumerate(fleet.clients)
            if names[n % len(names)] in self.overruled
            for request in client.requests
        }
        engines = {
            name: (each.zone, each.kind, float(each.cores)) for name, each in fleet.engines.items()
        }
        attempts = [
            (attempt.received_at, attempt.engine, f"{attempt.request_class} {attempt.trace}")
            for each in fleet.engines.values()
            for attempt in each.attempts
            if attempt.trace not in excused_traces
        ]
        violations = find_maintenance_violations(
            crew.book, attempts, engines, self.limits, HANDOFF_SLACK_TICKS
        )
        logs = fleet.logs()
        tally: dict[str, int] = {}
        for client in fleet.clients:
            for name, count in client.count_outcomes().items():
                tally[name] = tally.get(name, 0) + count
        wait_ticks = sorted(work.begun - crew.requested_at[work.request_id] for work in crew.book)
        return {
            "faults": fleet.applied_fault_count,
            "works": len(crew.book),
            "asks": len(crew.requested_at),
            "most_at_once": most_at_once(crew.book),
            "calm_at_the_end": plan_is_empty,
            "to_out_s": [
                wait_ticks[int(quantile * (len(wait_ticks) - 1))] / SECOND
                for quantile in (0.5, 0.99)
            ]
            if wait_ticks
            else [],
            "exceptions": sum("exceptions stopped" in line for line in logs),
            "clients": tally,
            "rules": fleet.find_rule_violations(2_500),
            "wrong": violations,
            "duties": fleet.find_lease_violations(),
        }


def most_at_once(book: list[Any]) -> int:
    """Return the largest number of members whose units were out at the same time."""
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
    """Run a scenario that needs the safeguard `at`; return the checker's findings.

    With `off` the safeguard is disabled, and the checker should find violations.
    """
    disabled = [at] * off + ["midorder"] * (at == "orders")
    works = {
        "each": 0.5,
        "grant": 2.0,
        "patience": 0.5,
        "most": MAX_ENGINES_OUT,
        "share": 0.5,
        "room": 0.9,
    }
    scenario = MaintenanceScenario(
        seed,
        engines=6,
        off=",".join(disabled) or "none",
        faults=[],
        clients=3,
        rate=150.0,
        works=works,
    )
    fleet, crew = scenario.fleet, scenario.crew
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
            }[at](scenario, f"e{1 + n % 6}")
        crew.stopped = True
        return scenario.report(True)["wrong"]
    finally:
        fleet.close()


def _request_engine(scenario: MaintenanceScenario, engine: str, seconds: float) -> bool:
    """Request maintenance of an engine; return whether the work begins within a time."""
    count_before = len(scenario.crew.book)
    scenario.crew.request_maintenance("engine", engine)
    return scenario.fleet.until(seconds, lambda: len(scenario.crew.book) == count_before)


def _isolate_one_gateway(scenario: MaintenanceScenario, engine: str) -> None:
    """Cut a gateway, which keeps sending attempts, off from the other members.

    The cut lasts until shortly after the work has begun without that gateway. With the safeguard
    the work must not begin, and the cut lasts the whole time.
    """
    scenario.fleet.until(10, lambda: not scenario.crew.last_plan.get("holder"))
    leader = scenario.crew.last_plan.get("holder") or "n1"
    isolated = next(name for name in scenario.fleet.gateways if name != leader)
    scenario.fleet.apply_fault(Fault(0, 60 * SECOND, "cut", (isolated,)))
    scenario.fleet.until(0.05)
    _request_engine(scenario, engine, 6)
    scenario.fleet.until(1)
    for relay in scenario.fleet.datagram_relays.values():
        relay.cut_until = 0
    scenario.fleet.until(3)


def _lose_plan_steps(scenario: MaintenanceScenario, engine: str) -> None:
    """Lose plan changes on the way to replicas while orders are repeated; suspend the leader."""
    scenario.fleet.set_network_fault("lose", 0.6)
    if _request_engine(scenario, engine, 10):
        scenario.fleet.apply_fault(
            Fault(0, 2 * SECOND, "stop", (scenario.crew.last_plan.get("holder") or "n1",))
        )
    scenario.fleet.set_network_fault("lose", 0.0)
    scenario.fleet.until(3)


def _delay_an_order(scenario: MaintenanceScenario, engine: str) -> None:
    """Delay an order of a leader beyond the end of its lease.

    The leader is suspended between its reading of the clock and the writing of an order, and
    resumed once its successor has taken the unit out.
    """
    fleet = scenario.fleet
    if not fleet.until(12, lambda: not fleet.find_suspended_gateways()):
        return
    for name in fleet.find_suspended_gateways():
        fleet.gateways[name].disturbed_at.append(fleet.event_loop.now)
        fleet.gateways[name].unresponsive_spans.append(
            (fleet.event_loop.now, fleet.event_loop.now + 20 * SECOND)
        )
    # A suspended gateway cannot confirm that it sends nothing, so an operator overrules it below.
    stopped = fleet.find_suspended_gateways()
    scenario.crew.request_maintenance("engine", engine)
    fleet.until(
        12,
        lambda: scenario.crew.last_plan.get("holder") in stopped
        or not any(
            unit["unit"] == engine and unit["state"] == "draining"
            for unit in scenario.crew.last_plan.get("units", ())
        ),
    )
    count_before = len(scenario.crew.book)
    scenario.overruled.update(stopped)
    for name in stopped:
        scenario.crew.send_command({"do": "overrule", "unit": engine, "gateway": name})
    fleet.until(8, lambda: len(scenario.crew.book) == count_before)
    fleet.until(0.3)
    # Without this delay, the gateway that took the late order would be corrected within ms.
    fleet.set_network_fault("late", 900.0)
    for name in stopped:
        fleet.gateways[name].program.send_signal(signal.SIGCONT)
    fleet.until(3)
    fleet.set_network_fault("late", 0.0)

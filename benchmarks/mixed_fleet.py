"""Tests a fleet of two versions: membership, lease handover and maintenance between them.

    python benchmarks/mixed_fleet.py --tree ../landed
        half of the gateways run from that checkout

Starts gateways as processes on this machine, with relays between them. Half of the gateways run
this version, and half the version in the other checkout. The lease holder is cut off, gateways are
killed, and two maintenance requests are completed while the planner of each is cut off. The lease
checker, the maintenance checker and the rule checker run outside of the gateways. The violations
that they find, exceptions in logs, and counts of unusable datagrams are printed. The exit code is 0
if there are none, and 1 otherwise.
"""

import argparse
import os
import sys
from typing import Any

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from corkgauge.eventloop.loop import SECOND
from corkgauge.testkit.checkers.maintenance import MaintenanceLimits, find_maintenance_violations
from corkgauge.testkit.fleet.maintenance_crew import MaintenanceCrew
from corkgauge.testkit.fleet.processes import Fault, Fleet

LEASE_SECONDS = 1.0
MAINTENANCE_LIMITS = {
    "each": 0.2,
    "grant": 1.0,
    "patience": 0.5,
    "most": 2,
    "share": 0.5,
    "room": 0.9,
}
CUT_TICKS = int(1.6 * LEASE_SECONDS * SECOND)  # longer than a lease
RULE_TOLERANCE_TICKS = 2_500  # of the rule checker, for the delays of real processes
# Counters of expected datagrams: decrypted ones, and those to a gateway before it was killed.
EXPECTED_COUNTERS = ("letters taken", "letters to an earlier start")


class MixedFleet:
    """Four gateways, two of which run the other version, and a maintenance crew."""

    def __init__(self, tree: str) -> None:
        self.fleet = Fleet(
            seed=3,
            gateways=4,
            engines=6,
            lease=LEASE_SECONDS,
            cold=0.4,
            clients=4,
            rate=60.0,
            disk=True,
            works=MAINTENANCE_LIMITS,
        )
        self.other_version = [*self.fleet.gateways][1::2]
        for name in self.other_version:
            self.fleet.gateways[name].program.tree = tree
        self.crew = MaintenanceCrew(self.fleet, work_seconds=0.3)
        self.fleet.start()

    def declare_known(self) -> None:
        """Declare that no engine is out, as an operator does after the first start of a fleet."""
        command = self.crew.send_command({"do": "known", "out": []}, "")
        self._wait_for("the answer to the declaration", lambda: command in self.crew.answers)

    def hand_over_lease(self) -> None:
        """Cut the lease holder off until another gateway holds the lease, four times."""
        for _ in range(4):
            before = self.fleet.holder()
            version = "other" if before in self.other_version else "this"
            self.fleet.apply_fault(Fault(0, CUT_TICKS, "cut", (before,)))
            self._wait_for("another holder", lambda was=before: self.fleet.holder() != was)
            print(f"lease: from {before} ({version} version) to {self.fleet.holder()}")
            self.fleet.until(3 * LEASE_SECONDS)

    def complete_maintenance(self, engine: str, number: int) -> None:
        """Complete one maintenance request, while its planner is cut off."""
        self.crew.request_maintenance("engine", engine)
        self._wait_for("a planner", lambda: bool(self.crew.last_plan.get("holder")))
        planner = self.crew.last_plan["holder"]
        self.fleet.apply_fault(Fault(0, CUT_TICKS, "cut", (planner,)))
        self._wait_for(
            "the end of the maintenance", lambda: bool(self.crew.has_finished(number)), 60
        )
        print(f"maintenance: {engine} completed while its planner {planner} was cut off")

    def kill_one_of_each(self) -> None:
        """Kill one gateway of each version; the test fleet restarts them."""
        for name in (self.other_version[0], [*self.fleet.gateways][0]):
            self.fleet.apply_fault(Fault(0, 0, "kill", (name,)))
            self.fleet.until(3 * LEASE_SECONDS)
            print(f"killed and restarted: {name}")

    def unusable_datagrams(self) -> list[str]:
        """Return the counts of datagrams that gateways could not use."""
        return [
            f"{name}: {counter} {count}"
            for name in self.fleet.gateways
            for counter, count in self.fleet.query_gateway(name, "/fellows")["counters"].items()
            if counter.startswith("letters ") and counter not in EXPECTED_COUNTERS
        ]

    def find_violations(self) -> list[str]:
        """Stop the fleet; return the violations that the checkers and the logs show."""
        self.crew.stopped = True
        self.fleet.settle()
        logs = self.fleet.logs()
        self.fleet.close()
        runs = [
            (run.received_at, run.engine, run.trace)
            for each in self.fleet.engines.values()
            for run in each.attempts
        ]
        engines = {
            name: (each.zone, each.kind, float(each.cores))
            for name, each in self.fleet.engines.items()
        }
        limits = MaintenanceLimits(
            MAINTENANCE_LIMITS["most"], MAINTENANCE_LIMITS["share"], 0.5, 0.5, {"c12": 1}
        )
        error_texts = ("exceptions stopped", "Traceback", "unreadable", "not read")
        return [
            *find_maintenance_violations(self.crew.book, runs, engines, limits, 1_000),
            *self.fleet.find_rule_violations(RULE_TOLERANCE_TICKS),
            *self.fleet.find_lease_violations(),
            *[line for line in logs if any(text in line for text in error_texts)],
        ]

    def _wait_for(self, description: str, is_done: Any, seconds: float = 30) -> None:
        if not self.fleet.until(seconds, lambda: not is_done()):
            raise SystemExit(
                f"timed out waiting for {description}; last log lines: {self.fleet.logs()[-10:]}"
            )


def main() -> int:
    """Run the test; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--tree", required=True, help="a checkout of the other version")
    mixed = MixedFleet(os.path.abspath(parser.parse_args().tree))
    try:
        mixed.declare_known()
        mixed.hand_over_lease()
        mixed.complete_maintenance("e2", 1)
        mixed.kill_one_of_each()
        mixed.complete_maintenance("e3", 2)
        unusable_counts = mixed.unusable_datagrams()
        violations = [*unusable_counts, *mixed.find_violations()]
    finally:
        mixed.fleet.close()
    print("\n".join(violations) if violations else "no violations")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())

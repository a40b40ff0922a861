"""A fleet of two versions side by side: membership, lease hand-over and maintenance between them.

    python benchmarks/mixed_fleet.py --tree ../landed      half of the gateways run from that checkout

Real processes on this machine with relays between them. Half of the gateways run this version, half
the one in the other checkout. The lease holder is cut off, gateways are killed, and two maintenance
requests are worked off while the planner of each is cut off. The lease checker, the maintenance
checker and the rule checker stand outside; what they object to, exceptions in logs and datagrams
that could not be read are printed. Exit code 0 when there is nothing of it, 1 otherwise.
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

LEASE = 1.0  # seconds
LIMITS = {"each": 0.2, "grant": 1.0, "patience": 0.5, "most": 2, "share": 0.5, "room": 0.9}
CUT = int(1.6 * LEASE * SECOND)  # ticks: longer than a lease
RULE_SLACK = 2_500  # ticks that the rule checker allows for real processes
# Counters of datagrams that are expected: opened, or meant for a process that was killed.
EXPECTED_COUNTERS = ("letters taken", "letters to an earlier start")


class MixedFleet:
    """Four gateways, two of them of another version, and a maintenance crew."""

    def __init__(self, tree: str) -> None:
        self.fleet = Fleet(
            seed=3,
            gateways=4,
            engines=6,
            lease=LEASE,
            cold=0.4,
            clients=4,
            rate=60.0,
            disk=True,
            works=LIMITS,
        )
        self.other_version = [*self.fleet.gateways][1::2]
        for name in self.other_version:
            self.fleet.gateways[name].program.tree = tree
        self.crew = MaintenanceCrew(self.fleet, work_seconds=0.3)
        self.fleet.start()

    def declare_known(self) -> None:
        """Tell the fleet that nothing is out, as an operator does after a first start."""
        command = self.crew.send_command({"do": "known", "out": []}, "")
        self._wait_for("the first answer", lambda: command in self.crew.answers)

    def hand_over_lease(self) -> None:
        """Cut the holder off until somebody else holds the lease, for a holder of each version."""
        for _ in range(4):
            before = self.fleet.holder()
            version = "other" if before in self.other_version else "this"
            self.fleet.apply_fault(Fault(0, CUT, "cut", (before,)))
            self._wait_for("another holder", lambda was=before: self.fleet.holder() != was)
            print(f"lease: from {before} ({version} version) to {self.fleet.holder()}")
            self.fleet.until(3 * LEASE)

    def work_off(self, engine: str, number: int) -> None:
        """One maintenance request, while its planner is cut off."""
        self.crew.request_maintenance("engine", engine)
        self._wait_for("a planner", lambda: bool(self.crew.last_plan.get("holder")))
        planner = self.crew.last_plan["holder"]
        self.fleet.apply_fault(Fault(0, CUT, "cut", (planner,)))
        self._wait_for("the work's end", lambda: bool(self.crew.has_finished(number)), 60)
        print(f"maintenance: {engine} worked off, its planner {planner} cut off meanwhile")

    def kill_one_of_each(self) -> None:
        """Kill a gateway of each version; the fleet's rig starts them again."""
        for name in (self.other_version[0], [*self.fleet.gateways][0]):
            self.fleet.apply_fault(Fault(0, 0, "kill", (name,)))
            self.fleet.until(3 * LEASE)
            print(f"killed and started again: {name}")

    def unusable_datagrams(self) -> list[str]:
        """What gateways counted of datagrams that they could not use."""
        return [
            f"{name}: {counter} {count}"
            for name in self.fleet.gateways
            for counter, count in self.fleet.query_gateway(name, "/fellows")["counters"].items()
            if counter.startswith("letters ") and counter not in EXPECTED_COUNTERS
        ]

    def objections(self) -> list[str]:
        """What the checkers and the logs object to, once all is over."""
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
        limits = MaintenanceLimits(LIMITS["most"], LIMITS["share"], 0.5, 0.5, {"c12": 1})
        bad_lines = ("exceptions stopped", "Traceback", "unreadable", "not read")
        return [
            *find_maintenance_violations(self.crew.book, runs, engines, limits, 1_000),
            *self.fleet.find_rule_violations(RULE_SLACK),
            *self.fleet.find_lease_violations(),
            *[line for line in logs if any(bad in line for bad in bad_lines)],
        ]

    def _wait_for(self, what: str, done: Any, seconds: float = 30) -> None:
        if not self.fleet.until(seconds, lambda: not done()):
            raise SystemExit(f"{what} did not come; last lines: {self.fleet.logs()[-10:]}")


def main() -> int:
    """Play the scene; the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--tree", required=True, help="a checkout of the other version")
    mixed = MixedFleet(os.path.abspath(parser.parse_args().tree))
    try:
        mixed.declare_known()
        mixed.hand_over_lease()
        mixed.work_off("e2", 1)
        mixed.kill_one_of_each()
        mixed.work_off("e3", 2)
        unusable = mixed.unusable_datagrams()
        objections = [*unusable, *mixed.objections()]
    finally:
        mixed.fleet.close()
    print("\n".join(objections) if objections else "no objections")
    return 1 if objections else 0


if __name__ == "__main__":
    sys.exit(main())

"""Maintenance in fleets of real processes with injected faults, judged by a checker outside."""

import json
import os
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor

import pytest

from corkgauge.eventloop.loop import SECOND
from corkgauge.testkit.checkers.maintenance import MaintenanceLimits, find_maintenance_violations
from corkgauge.testkit.fleet.maintenance_crew import MaintenanceCrew
from corkgauge.testkit.fleet.maintenance_day import (
    MaintenanceScenario,
    most_at_once,
    run_safeguard_scenario,
)
from corkgauge.testkit.fleet.parent_process import kill_with_parent
from corkgauge.testkit.fleet.processes import Fault, Fleet

LEASE_SECONDS = 0.8
MAINTENANCE_SETTINGS = {
    "each": 0.2,
    "grant": 1.0,
    "patience": 0.5,
    "most": 2,
    "share": 0.5,
    "room": 0.9,
}

OPEN_SCENARIOS = []  # closed by `run_scenario`, also after a failure


class Scenario:
    """A fleet and a maintenance crew.

    `close` ends the fleet; it returns all violations, which must be none, and the logs.
    """

    def __init__(self, declares_known=True, lasting=0.3, works=None, **fleet_options):
        self.works = {**MAINTENANCE_SETTINGS, **(works or {})}
        self.fleet = Fleet(
            **{
                "seed": 3,
                "gateways": 3,
                "engines": 6,
                "lease": LEASE_SECONDS,
                "cold": 0.4,
                "clients": 3,
                "rate": 60.0,
                "disk": True,
                "works": self.works,
                **fleet_options,
            }
        )
        self.crew = MaintenanceCrew(self.fleet, work_seconds=lasting)
        OPEN_SCENARIOS.append(self)
        self.fleet.start()
        if declares_known:
            self.run_command({"do": "known", "out": []})

    def run_command(self, command, at="", seconds=20):
        """Send an operator's command and return its (answer, error)."""
        key = self.crew.send_command(command, at)
        assert self.fleet.until(seconds, lambda: key not in self.crew.answers), (
            command,
            self.fleet.logs()[-20:],
        )
        return self.crew.answers[key]

    def leader(self, seconds=15):
        """Return the name of the maintenance leader, as soon as a gateway reports it."""
        assert self.fleet.until(seconds, lambda: not self.crew.last_plan.get("holder")), (
            self.fleet.logs()[-20:]
        )
        return self.crew.last_plan["holder"]

    def units(self):
        return {unit["unit"]: unit for unit in self.crew.last_plan.get("units", ())}

    def reaches_state(self, unit, state, seconds=15):
        return self.fleet.until(seconds, lambda: self.units().get(unit, {}).get("state") != state)

    def wait_for_finished_work(self, count, seconds=30):
        assert self.fleet.until(seconds, lambda: not self.crew.has_finished(count)), (
            [(work.unit, work.request_id, work.ended) for work in self.crew.book],
            self.crew.last_plan,
            self.fleet.logs()[-60:],
        )

    def count_logged(self, line):
        return sum(line in logged for logged in self.fleet.logs())

    def wait_for_log(self, line, seconds=15, times=1):
        assert self.fleet.until(seconds, lambda: self.count_logged(line) < times), (
            line,
            self.fleet.logs()[-40:],
        )

    def close(self):
        fleet, crew = self.fleet, self.crew
        crew.stopped = True
        fleet.settle()
        logs = fleet.logs()
        fleet.close()
        runs = [
            (run.received_at, run.engine, run.trace)
            for engine in fleet.engines.values()
            for run in engine.attempts
        ]
        engines = {
            name: (engine.zone, engine.kind, float(engine.cores))
            for name, engine in fleet.engines.items()
        }
        limits = MaintenanceLimits(
            self.works["most"], self.works["share"], self.works.get("hall", 0.5), 0.5, {"c12": 1}
        )
        unanswered = (
            sum(client.count_outcomes()["none"] for client in fleet.clients)
            if not any(gateway.unresponsive_spans for gateway in fleet.gateways.values())
            else 0
        )
        return [
            *find_maintenance_violations(crew.book, runs, engines, limits, 1_000),
            *fleet.find_rule_violations(2_500),
            *fleet.find_lease_violations(),
            *[line for line in logs if "exceptions stopped" in line or "Traceback" in line],
            *([f"{unanswered} without an answer"] if unanswered else []),
        ], logs


def leader_faults(fault_kind):
    """The leader suffers this fault at each step of a unit in turn."""
    scenario, finished = Scenario(engines=4), 0
    for number, step in enumerate(("granted", "draining", "out", "returning", "back")):
        engine = scenario.fleet.engines["e2"]
        engine.begin_fault("slow", 12)  # slow attempts keep the engine draining for a while
        request_id = scenario.crew.request_maintenance("engine", "e2")
        scenario.wait_for_log(
            f"works: e2 {step}", times=1 + scenario.count_logged(f"works: e2 {step}")
        )
        scenario.fleet.apply_fault(
            Fault(0, int(1.6 * LEASE_SECONDS * SECOND), fault_kind, (scenario.leader(),))
        )
        engine.end_fault()
        scenario.wait_for_finished_work(number + 1, 40)
        finished += scenario.crew.book[-1].request_id == request_id
        scenario.fleet.until(2 * LEASE_SECONDS)
    return finished, scenario.close()


def conflicting_requests():
    """Each of two requests, on both sides of a partition, takes the other's last c12 engine."""
    scenario = Scenario(engines=4, gateways=3, works={"most": 3})
    scenario.fleet.apply_fault(Fault(0, 4 * SECOND, "part", ("n1",)))
    # The isolated gateway cannot lead, and forwards the request until a leader is reachable.
    scenario.crew.request_maintenance("engine", "e1", at="n1")
    scenario.crew.request_maintenance("engine", "e3", at="n2")
    scenario.fleet.until(3.5)
    during = [work.unit for work in scenario.crew.book]
    scenario.wait_for_finished_work(2)
    return during, [work.unit for work in scenario.crew.book], scenario.close()


def engine_death():
    """An engine dies outside of maintenance while another is granted, and counts in the limits."""
    scenario = Scenario(lasting=2.0)
    scenario.crew.request_maintenance("engine", "e2")
    scenario.wait_for_log("works: e2 granted")
    scenario.fleet.apply_fault(Fault(0, 6 * SECOND, "engine", ("e3",)))
    scenario.fleet.publish_engines(["e3"], "DELETED")
    scenario.fleet.until(1)
    scenario.crew.request_maintenance("engine", "e5")
    assert scenario.reaches_state("e5", "asked")
    scenario.fleet.until(5, lambda: not scenario.units().get("e5", {}).get("against"))
    objection = scenario.units()["e5"]["against"]
    scenario.fleet.until(3)
    scenario.fleet.publish_engines(["e3"])
    scenario.wait_for_finished_work(2)
    return objection, scenario.close()


def endpoint_list_changes():
    """While an engine drains, the endpoint list removes, renames (same address) or restarts it."""
    scenario, attempts_during_work = Scenario(lasting=2.5), {}
    for change in "removed", "renamed", "restarted":
        fleet, engine = scenario.fleet, scenario.fleet.engines["e4"]
        engine.begin_fault("slow", 12)
        scenario.crew.request_maintenance("engine", "e4")
        scenario.wait_for_log("works: e4 draining", times=1 + len(attempts_during_work))
        if change == "restarted":
            engine.started_ms = fleet.event_loop.now // 10
            fleet.publish_engines(["e4"])
        else:
            fleet.publish_engines(["e4"], "DELETED")
        if change == "renamed":
            for name, feed in fleet.feeds.items():
                other = fleet.engine_for_gateway(name, "e4")
                other.name = "e4b"
                feed.publish([other])
        engine.end_fault()
        count = len(attempts_during_work) + 1
        assert fleet.until(20, lambda: len(scenario.crew.book) < count), fleet.logs()[-20:]
        before = len(engine.attempts)
        fleet.until(2)  # the crew is at work
        attempts_during_work[change] = len(engine.attempts) - before
        if change == "renamed":
            for name, feed in fleet.feeds.items():
                other = fleet.engine_for_gateway(name, "e4")
                other.name = "e4b"
                feed.publish([other], "DELETED")
        fleet.publish_engines(["e4"])
        scenario.wait_for_finished_work(count)
        with open(f"{scenario.fleet.folder}/log-{change}", "w") as file:
            file.write(change)
    return attempts_during_work, scenario.close()


def unreachable_gateway():
    """One gateway never confirms.

    If it is cut off before it learns of the maintenance, only an operator's command begins the
    work. If it is cut off afterwards, the work begins once its grant has expired and its longest
    request deadline has passed.
    """
    scenario = Scenario(gateways=4)
    leader = scenario.leader()
    isolated = next(name for name in ("n4", "n3") if name != leader)
    scenario.fleet.apply_fault(Fault(0, 60 * SECOND, "cut", (isolated,)))
    scenario.fleet.until(0.1)
    scenario.crew.request_maintenance("engine", "e2", at=leader)
    assert scenario.reaches_state("e2", "draining"), scenario.units()
    scenario.fleet.until(7)
    objection, begun = scenario.units().get("e2", {}).get("against", ""), len(scenario.crew.book)
    outcome = scenario.run_command({"do": "overrule", "unit": "e2", "gateway": isolated}, leader)
    scenario.fleet.until(8, lambda: not scenario.crew.book)
    overruled = len(scenario.crew.book)
    for way in scenario.fleet.datagram_relays.values():
        way.cut_until = 0
    scenario.wait_for_finished_work(1)
    scenario.fleet.until(2)
    # This time the gateway learns of the maintenance before it is cut off. Slow attempts keep it
    # from confirming.
    for engine in scenario.fleet.engines.values():
        engine.begin_fault("slow", 6)
    scenario.crew.request_maintenance("engine", "e4", at=leader)
    scenario.wait_for_log("works: e4 granted")
    scenario.fleet.until(5, lambda: not scenario.count_logged("works: e4 draining"))
    scenario.fleet.apply_fault(Fault(0, 60 * SECOND, "cut", (isolated,)))
    for engine in scenario.fleet.engines.values():
        engine.end_fault()
    scenario.fleet.until(14, lambda: len(scenario.crew.book) < 2)
    later = len(scenario.crew.book)
    for way in scenario.fleet.datagram_relays.values():
        way.cut_until = 0
    scenario.wait_for_finished_work(2)
    return objection, begun, outcome, overruled, later, scenario.close()


def confirmed_gateway_restart():
    """A gateway that confirmed is killed and restarted while work is in progress.

    Without a disk, it can reach the other members. With a disk, it is cut off from all of them.
    """
    outcomes = []
    for disk in False, True:
        scenario = Scenario(disk=disk, lasting=6.0)
        scenario.crew.request_maintenance("engine", "e2")
        assert scenario.fleet.until(15, lambda: not scenario.crew.book)
        name = next(gateway for gateway in ("n1", "n2", "n3") if gateway != scenario.leader())
        if disk:
            scenario.fleet.apply_fault(Fault(0, 4 * SECOND, "cut", (name,)))
        scenario.fleet.apply_fault(Fault(0, 500, "kill", (name,)))
        scenario.fleet.until(4)
        served = sum(
            run.received_at > scenario.crew.book[0].begun + 2 * SECOND
            for engine in scenario.fleet.engines.values()
            for run in engine.attempts
        )
        scenario.wait_for_finished_work(1)
        outcomes.append((served, scenario.close()))
    return outcomes


def cancelled_requests():
    """A unit cancelled while it drains is not worked on; one cancelled while out needs `done`."""
    scenario = Scenario(lasting=2.0)
    scenario.fleet.engines["e2"].begin_fault("slow", 40)
    scenario.crew.request_maintenance("engine", "e2", id_="first")
    scenario.wait_for_log("works: e2 draining")
    first_cancel = scenario.run_command({"do": "cancel", "id": "first"})
    scenario.fleet.engines["e2"].end_fault()
    scenario.fleet.until(2)
    worked = len(scenario.crew.book)
    scenario.crew.request_maintenance("engine", "e2", id_="second")
    assert scenario.fleet.until(10, lambda: not scenario.crew.book)
    second_cancel = scenario.run_command({"do": "cancel", "id": "second"})
    state = scenario.units().get("e2", {}).get("state")
    repeated = scenario.run_command(
        {"do": "ask", "id": "second", "kind": "engine", "names": ["e2"], "lasting": 60 * SECOND}
    )
    refused = scenario.run_command(
        {"do": "ask", "id": "third", "kind": "machine", "names": ["m9"], "lasting": 60 * SECOND}
    )
    scenario.wait_for_finished_work(1)
    return first_cancel, worked, second_cancel, state, repeated, refused, scenario.close()


def growing_load():
    """Maintenance of half of the fleet is requested under load, which grows while engines are out.

    The engines stay out until the leader's objections name the load. The load grows by more
    requests and by more work per request; the latter costs the test machine nothing.
    """
    scenario = Scenario(
        engines=12, lasting=60.0, works={"most": 6, "share": 0.5, "room": 0.03}, rate=150.0
    )
    scenario.fleet.until(6)
    scenario.crew.request_maintenance("hall", "hall-a")
    scenario.fleet.until(10, lambda: not scenario.crew.book)
    scenario.fleet.until(1.0)
    at_once = most_at_once(scenario.crew.book)
    usual = [(engine, engine.mean_work_ms) for engine in scenario.fleet.engines.values()]
    for client in scenario.fleet.clients:
        client.rate *= 3
    for engine, mean in usual:
        engine.mean_work_ms = {name: 3 * work for name, work in mean.items()}
    scenario.fleet.until(
        15,
        lambda: not any(is_load_objection(unit["against"]) for unit in scenario.units().values()),
    )
    before, objections = (
        len(scenario.crew.book),
        {unit["against"] for unit in scenario.units().values()},
    )
    scenario.fleet.until(5)
    begun = len(scenario.crew.book)
    for client in scenario.fleet.clients:
        client.rate /= 6
    for engine, mean in usual:
        engine.mean_work_ms = mean
    scenario.crew.work_ticks = int(1.5 * SECOND)
    for work in [*scenario.crew.book]:
        scenario.crew.end(work)
    scenario.wait_for_finished_work(6, 60)
    return at_once, before, begun, sorted(objections), scenario.close()


def is_load_objection(objection):
    """Return whether the objection to a unit is the load."""
    return "cores needed" in objection or "load has grown" in objection


def rolling_maintenance():
    """Maintenance of all engines and all gateways, including the leader."""
    scenario = Scenario(works={"most": 2})
    scenario.crew.request_maintenance("hall", "hall-a")
    scenario.crew.request_maintenance("hall", "hall-b")
    scenario.crew.request_maintenance("gateway", "n1", "n2", "n3")
    scenario.wait_for_finished_work(9, 60)
    units = [work.unit for work in scenario.crew.book]
    history = scenario.crew.last_plan["history"]
    return units, history, scenario.close()


def restart_of_all_gateways():
    """Every gateway is killed while two engines are out.

    With disks the engines stay out. Without disks no unit is granted until an operator declares
    what is out.
    """
    results = []
    for disk in True, False:
        scenario = Scenario(disk=disk, lasting=60.0)
        scenario.crew.request_maintenance("engine", "e1", "e2")
        assert scenario.fleet.until(15, lambda: len(scenario.crew.book) < 2)
        scenario.fleet.apply_fault(Fault(0, 800, "kill", ("n1", "n2", "n3")))
        scenario.crew.last_plan = {}
        scenario.fleet.until(6)
        if not disk:
            forgotten = any("the plan is forgotten" in line for line in scenario.fleet.logs()[5:])
            scenario.run_command({"do": "known", "out": ["e1", "e2"]})
            results.append(forgotten)
        scenario.fleet.until(10, lambda: len(scenario.units()) < 2)
        results.append(sorted((unit["unit"], unit["state"]) for unit in scenario.units().values()))
        for work in [*scenario.crew.book]:
            work.ended = scenario.fleet.event_loop.now
            scenario.run_command({"do": "done", "names": [work.unit]})
        scenario.fleet.until(10, lambda: bool(scenario.units()))
        results.append(len(scenario.units()))
        violations, _ = scenario.close()
        # Without disks, a restarted gateway may send to an engine that is out until it has orders.
        results.append([line for line in violations if disk or "its work had begun" not in line])
    return results


def clock_set_back():
    """The wall clock of each gateway is set back by an hour during maintenance."""
    scenario = Scenario(off="hour")
    scenario.fleet.until(3)
    for name in "e1", "e2", "e3", "e4":
        scenario.crew.request_maintenance("engine", name)
    scenario.wait_for_finished_work(4)
    scenario.fleet.until(2)
    late_requests = [
        request
        for client in scenario.fleet.clients
        for request in client.requests
        if request.sent_at > scenario.fleet.begun + 6 * SECOND
    ]
    return len(late_requests), scenario.close()


def slow_disks():
    """Each disk write takes 0.1 s, and the leader is killed between two requests.

    0.1 s is also how long the first round of an election waits for answers.
    """
    scenario = Scenario(off="slowdisk")
    scenario.crew.request_maintenance("engine", "e1")
    scenario.wait_for_log("works: e1 draining")
    scenario.fleet.apply_fault(
        Fault(0, int(1.6 * LEASE_SECONDS * SECOND), "kill", (scenario.leader(),))
    )
    scenario.wait_for_finished_work(1, 40)
    scenario.crew.request_maintenance("engine", "e2")
    scenario.wait_for_finished_work(2, 40)
    return [work.unit for work in scenario.crew.book], scenario.close()


def day_of_random_faults():
    return MaintenanceScenario(4, seconds=20).run()


SCENARIOS = {
    "kill": (leader_faults, "kill"),
    "stop": (leader_faults, "stop"),
    "cut": (leader_faults, "cut"),
    "conflicting_requests": (conflicting_requests,),
    "engine_death": (engine_death,),
    "endpoint_list_changes": (endpoint_list_changes,),
    "unreachable_gateway": (unreachable_gateway,),
    "confirmed_gateway_restart": (confirmed_gateway_restart,),
    "cancelled_requests": (cancelled_requests,),
    "growing_load": (growing_load,),
    "rolling_maintenance": (rolling_maintenance,),
    "restart_of_all_gateways": (restart_of_all_gateways,),
    "clock_set_back": (clock_set_back,),
    "slow_disks": (slow_disks,),
}


# The checker always detects a disabled confirmation here. It detects the other two safeguards, if
# disabled, only by chance: `benchmarks/maintenance.py faults` repeats scenarios until it does.
SCENARIOS |= {
    ("confirmation", off): (run_safeguard_scenario, "confirmation", off, 4, 2)
    for off in (True, False)
}
SCENARIOS["day"] = (day_of_random_faults,)


def run_scenario(method, *arguments):
    """Run a scenario, and end its processes also if it fails."""
    try:
        return method(*arguments)
    finally:
        while OPEN_SCENARIOS:
            OPEN_SCENARIOS.pop().fleet.close()


@pytest.fixture(scope="module")
def scenario_futures():
    """Run the scenarios in parallel.

    Not more than there are cores: the processes mostly wait, but are busy while they start.
    """
    with ProcessPoolExecutor(
        min(len(os.sched_getaffinity(0)), 6), initializer=kill_with_parent(os.getpid())
    ) as pool:
        yield {name: pool.submit(run_scenario, *scenario) for name, scenario in SCENARIOS.items()}


@pytest.mark.parametrize("fault_kind", ["kill", "stop", "cut"])
def test_maintenance_finishes_after_leader_fault_at_each_step(scenario_futures, fault_kind):
    finished, (violations, _) = scenario_futures[fault_kind].result()
    assert violations == [] and finished == 5


def test_conflicting_requests_across_a_partition_run_one_after_the_other(scenario_futures):
    during, units, (violations, _) = scenario_futures["conflicting_requests"].result()
    # During the partition neither side can prove that the other sends nothing to its engine.
    assert violations == [] and during == [] and sorted(units) == ["e1", "e3"]


def test_dead_engine_counts_as_out(scenario_futures):
    objection, (violations, _) = scenario_futures["engine_death"].result()
    assert violations == [] and "would be out" in objection


def test_draining_engine_gets_no_attempts_when_the_endpoint_list_changes(scenario_futures):
    attempts, (violations, _) = scenario_futures["endpoint_list_changes"].result()
    assert violations == [] and attempts == {"removed": 0, "renamed": 0, "restarted": 0}


def test_work_waits_for_unreachable_gateway_until_overruled_or_its_grant_expired(scenario_futures):
    objection, begun, outcome, overruled, later, (violations, _) = scenario_futures[
        "unreachable_gateway"
    ].result()
    assert "does not know of the work" in objection or "never heard" in objection
    assert begun == 0 and outcome == ("overruled", "") and overruled == 1 and later == 2
    assert [line for line in violations if "its work had begun" not in line] == []


def test_confirmed_gateway_sends_nothing_to_the_engine_after_restart(scenario_futures):
    for served, (violations, _) in scenario_futures["confirmed_gateway_restart"].result():
        assert violations == [] and served > 50


def test_request_is_cancelled_while_draining_and_while_out(scenario_futures):
    first_cancel, worked, second_cancel, state, repeated, refused, (violations, _) = (
        scenario_futures["cancelled_requests"].result()
    )
    assert violations == [] and first_cancel == ("cancelled", "") and worked == 0
    assert second_cancel[0].startswith("cancelled, but for what is out: e2") and state == "out"
    assert repeated[0] == "known" and refused[1] == "no machine 'm9'"


def test_growing_load_delays_further_maintenance(scenario_futures):
    at_once, before, begun, objections, (violations, _) = scenario_futures["growing_load"].result()
    assert violations == [] and 1 <= at_once < 6 and before == begun < 6
    assert any(is_load_objection(objection) for objection in objections)


def test_rolling_maintenance_covers_all_engines_and_gateways(scenario_futures):
    units, history, (violations, _) = scenario_futures["rolling_maintenance"].result()
    assert violations == [] and sorted(units) == [
        "e1",
        "e2",
        "e3",
        "e4",
        "e5",
        "e6",
        "n1",
        "n2",
        "n3",
    ]
    from corkgauge.maintenance.plan_history import find_history_errors

    assert find_history_errors(history) == []


def test_engines_stay_out_after_all_gateways_restart(scenario_futures):
    out = [("e1", "out"), ("e2", "out")]
    assert scenario_futures["restart_of_all_gateways"].result() == [out, 0, [], True, out, 0, []]


def test_clock_set_back_by_an_hour_does_not_disturb_maintenance(scenario_futures):
    late_requests, (violations, _) = scenario_futures["clock_set_back"].result()
    assert violations == [] and late_requests > 100


def test_maintenance_finishes_with_disk_writes_of_a_tenth_of_a_second(scenario_futures):
    units, (violations, _) = scenario_futures["slow_disks"].result()
    assert violations == [] and units == ["e1", "e2"]


def test_checker_detects_disabled_confirmation(scenario_futures):
    assert (
        scenario_futures["confirmation", False].result() == []
        and scenario_futures["confirmation", True].result()
    )


def test_short_day_of_random_faults_has_no_violations(scenario_futures):
    report = scenario_futures["day"].result()
    assert (
        report["wrong"] == report["rules"] == report["duties"] == [] and report["exceptions"] == 0
    )
    # How much maintenance falls into the day is random, so the test requires none.
    assert report["faults"] > 20 and report["calm_at_the_end"]


def test_command_line_requests_shows_and_finishes_maintenance(tmp_path):
    run_scenario(command_line, tmp_path)


def command_line(tmp_path):
    scenario = Scenario(lasting=2.0)
    socket_path = f"{scenario.fleet.gateways['n2'].folder}/figures.sock"

    def command(*words):
        process = subprocess.Popen(
            [sys.executable, "-m", "corkgauge", *words],
            stdout=subprocess.PIPE,
            text=True,
            preexec_fn=kill_with_parent(os.getpid()),
        )
        scenario.fleet.until(20, lambda: process.poll() is None)
        return process.communicate()[0], process.returncode

    asked = command(
        "maintenance",
        "ask",
        socket_path,
        "engine",
        "e2",
        "--owner",
        "ada",
        "--within",
        "2h",
        "--id",
        "x1",
    )
    assert asked == ("x1: asked\n", 0)
    scenario.fleet.until(5, lambda: scenario.units().get("e2", {}).get("state") != "out")
    shown, code = command("maintenance", "show", socket_path)
    assert "e2" in shown and "out" in shown and "ada" in shown and code == 0
    assert command("maintenance", "done", socket_path, "e2", "--owner", "ada") == (
        "returning: e2\n",
        0,
    )
    assert command("maintenance", "done", socket_path, "e9", "--owner", "ada")[1] == 1
    out, code = command("maintenance", "show", socket_path, "--json")
    (tmp_path / "history").write_text(out)
    assert code == 0 and json.loads(out)["fresh"]
    assert command("audit", str(tmp_path / "history")) == ("1 records of 0 epochs, 0 errors\n", 0)
    assert scenario.close()[0] == []

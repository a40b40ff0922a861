"""Measures the benefit and the cost of recovery after a restart; run on an idle machine.

Usage:

    python benchmarks/recovery.py kills --count 500
        kills of the gateway under load, while it writes files
    python benchmarks/recovery.py keyed
        keyed requests that were sent outside their table group after kills, with the attempt log
        and without
    python benchmarks/recovery.py gain --runs 10
        a restart while one engine is ten times slower and one is silent
    python benchmarks/recovery.py stale --runs 10
        the same, with a snapshot that is wrong for all engines
    python benchmarks/recovery.py overhead --runs 4
        serving without recovery, with it, and with writes that survive a power failure
    python benchmarks/recovery.py fleet --runs 10
        a restart of one of three gateways, or of all with replaced engines: cold against recovered,
        paired by seed
    python benchmarks/recovery.py start
        duration of a start with a snapshot of 1,000 engines

The results are measured on sockets, with emulated clients and engines on the same machine.
"""

import argparse
import statistics
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from corkgauge.eventloop.loop import SECOND  # noqa: E402
from corkgauge.testkit.emulators.clients import RequestProfile  # noqa: E402
from corkgauge.testkit.faults.script import parse_script  # noqa: E402
from corkgauge.testkit.fleet.day import GatewayScenario  # noqa: E402
from corkgauge.testkit.fleet.processes import Fault, Fleet  # noqa: E402

ENGINE_NAMES = [f"e{n}" for n in range(1, 7)]
OPERATOR_FILE = '<operator version="1">{recall}</operator>'
RECOVERY_ELEMENT = '<recall folder="{folder}/recall" each="0.1" durability="%s"/>'
REQUEST_TYPES = [
    RequestProfile("load", 0.7, 2_000, 15.0, has_idempotency_key=True, has_order_key=True),
    RequestProfile("lookup", 0.3, 1_500, 8.0),
]
VALUE_BY_CLASS = {"lookup": 1.0, "report": 8.0, "load": 2.0, "once": 2.0}
OBJECTIVE_MS_BY_CLASS = {"lookup": 200, "report": 500, "load": 400, "once": 300}


def operator_file(with_recovery, durability="process"):
    return OPERATOR_FILE.replace("{recall}", RECOVERY_ELEMENT % durability if with_recovery else "")


def run_kills(count, seed):
    """Run one scenario that kills the gateway every 0.5 s.

    Returns:
        The number of kills, of starts, of starts with a valid snapshot and of starts with logged
        attempts, the log lines that report unusable files, and the rule violations.
    """
    script = "".join(f"at {1 + 0.5 * n:.2f}: program kill\n" for n in range(count))
    scenario = GatewayScenario(
        seed,
        parse_script(script, ENGINE_NAMES),
        engines=6,
        rate=150,
        scrapes=0,
        operator=operator_file(True),
    )
    try:
        scenario.run(1.5 + 0.5 * count, drain=1.0)
        log, killed, broken = (
            scenario.program.log(),
            len(scenario.program.kills),
            scenario.find_rule_violations(2500),
        )
    finally:
        scenario.close()
    return (
        killed,
        sum("serving as" in line for line in log),
        sum("recall: engines=" in line for line in log),
        sum("recall: effects=" in line for line in log),
        [line for line in log if "passed over" in line or "has " in line or "exceptions" in line],
        broken,
    )


def measure_kills(count, process_count=4):
    with ProcessPoolExecutor(process_count) as pool:
        results = [
            *pool.map(
                run_kills, [count // process_count] * process_count, range(1, process_count + 1)
            )
        ]
    for n, name in enumerate(
        ("kills", "starts", "starts with a valid snapshot", "starts with logged attempts")
    ):
        print(f"{name:30} {sum(each[n] for each in results)}")
    unusable_lines, violations = ([line for each in results for line in each[n]] for n in (4, 5))
    print(f"log lines on unusable files    {len(unusable_lines)}", *unusable_lines[:5], sep="\n")
    print(f"rule violations                {len(violations)}", *violations[:5], sep="\n")


def run_keyed_requests(with_recovery, seed):
    script = "at 0.1 for 20: all slow 12\n" + "".join(
        f"at {n}: program kill\n" for n in range(1, 11)
    )
    scenario = GatewayScenario(
        seed,
        parse_script(script, ENGINE_NAMES),
        engines=6,
        rate=200,
        scrapes=0,
        operator=operator_file(with_recovery),
        group="zone",
        retries=True,
        request_types=REQUEST_TYPES,
        clients=12,
    )
    try:
        scenario.run(11, drain=3.0)
        broken = scenario.find_rule_violations(2500)
        repeated_count = sum(len(requests) > 1 for requests in requests_by_key(scenario).values())
    finally:
        scenario.close()
    return (
        repeated_count,
        [line for line in broken if line.startswith("effect")],
        [line for line in broken if not line.startswith("effect")],
    )


def requests_by_key(scenario):
    by_key = {}
    for client in scenario.clients:
        for ask in client.requests:
            if ask.idempotency_key:
                by_key.setdefault(ask.idempotency_key, []).append(ask)
    return by_key


def measure_keyed_requests(runs):
    for with_recovery in True, False:
        with ProcessPoolExecutor(4) as pool:
            results = [*pool.map(run_keyed_requests, [with_recovery] * runs, range(1, runs + 1))]
        print(
            f"attempt log {'on ' if with_recovery else 'off'}: "
            f"{sum(each[0] for each in results)} keyed requests "
            f"repeated after kills, {sum(len(each[1]) for each in results)} executed outside "
            f"their table group, "
            f"{sum(len(each[2]) for each in results)} other rule violations"
        )


def run_restart(with_recovery, seed, is_stale, rate):
    """Return the lost part of the value of the requests in the 10 s after a restart."""
    fault_script = "at 0.1 for 30: e1 slow 10\nat 0.1 for 30: e4 silent\n"
    if is_stale:  # the faults end at the restart, so that the snapshot is wrong
        fault_script = "at 0.1 for 7.9: e1 slow 10\nat 0.1 for 7.9: e4 silent\n"
    scenario = GatewayScenario(
        seed,
        parse_script(fault_script + "at 8: program kill", ENGINE_NAMES),
        engines=6,
        rate=250,
        scrapes=0,
        hangs_up=0.0,
        gives_up=0.0,
        operator=operator_file(with_recovery),
    )
    started_at = scenario.event_loop.now
    try:
        scenario.run(18.5, drain=2.0)
    finally:
        scenario.close()
    total_value = served_value = 0.0
    for client in scenario.clients:
        for ask in client.requests:
            if started_at + 8.2 * SECOND <= ask.sent_at < started_at + 18.2 * SECOND:
                value = VALUE_BY_CLASS[ask.profile.request_class]
                total_value += value
                if ask.answers and ask.answers[0][1] == 1:
                    objective_ticks = 10 * (
                        OBJECTIVE_MS_BY_CLASS[ask.profile.request_class] + 2 * ask.profile.work_ms
                    )
                    served_value += value * (
                        1.0 if ask.answers[0][0] - ask.sent_at <= objective_ticks else 0.3
                    )
    return 1 - served_value / max(total_value, 1e-9)


def measure_gain(runs, rate, is_stale=False):
    with ProcessPoolExecutor(4) as pool:
        seeds = range(1, runs + 1)
        cold = [*pool.map(run_restart, [False] * runs, seeds, [is_stale] * runs, [rate] * runs)]
        recovered = [*pool.map(run_restart, [True] * runs, seeds, [is_stale] * runs, [rate] * runs)]
    for name, results in ("cold", cold), ("recovered", recovered):
        print(
            f"{name:9} lost in the 10 s after the restart: median "
            f"{100 * statistics.median(results):.2f}% "
            f"({100 * min(results):.2f} to {100 * max(results):.2f})"
        )
    pairs = sorted(a - b for a, b in zip(cold, recovered))
    print(
        f"cold minus recovered, by pair: median {100 * statistics.median(pairs):+.2f} "
        f"({100 * pairs[0]:+.2f} to {100 * pairs[-1]:+.2f}) percentage points"
    )


def run_load(durability):
    scenario = GatewayScenario(
        5,
        (),
        engines=6,
        rate=300,
        scrapes=0,
        gives_up=0.0,
        hangs_up=0.0,
        request_types=REQUEST_TYPES,
        clients=24,
        operator=operator_file(durability != "off", durability),
    )
    cpu_seconds = []
    scenario.event_loop.call_later(
        int(7.5 * SECOND), lambda: cpu_seconds.append(scenario.program.processor_time())
    )
    try:
        scenario.run(8, drain=1.0)
        log, tally = scenario.program.log()[-1], scenario.tally()
    finally:
        scenario.close()
    latencies = sorted(
        ask.answers[0][0] - ask.sent_at
        for client in scenario.clients
        for ask in client.requests
        if ask.answers
    )
    return (
        tally["served"] / 8,
        cpu_seconds[0] / tally["served"] * 1e6,
        latencies[int(0.99 * len(latencies))] / 10,
        int(log.rpartition("worst_turn=")[2]) / 10,
    )


def measure_overhead(runs):
    results = {"off": [], "process": [], "machine": []}
    for _ in range(runs):
        for durability, measurements in results.items():
            measurements.append(run_load(durability))
    print(f"{runs} runs of 8 s, in turn, 70% keyed requests; medians")
    print("durability  served per s      us per request   99th percentile ms  longest turn ms")
    for durability, measurements in results.items():
        columns = [statistics.median(each[n] for each in measurements) for n in range(4)]
        print(
            f"{durability:10} {columns[0]:16.1f} {columns[1]:16.0f} {columns[2]:19.1f} "
            f"{columns[3]:16.1f}"
        )
    for durability in "process", "machine":
        ratios = sorted(each[1] / was[1] for each, was in zip(results[durability], results["off"]))
        print(
            f"{durability}: processor time over off, by pair: {statistics.median(ratios):.3f} "
            f"({ratios[0]:.3f} to {ratios[-1]:.3f})"
        )


def run_fleet_restart(job):
    """Return the lost part of the value in the seconds after a restart, with two faulty engines.

    One engine is ten times slower, and one is silent.
    """
    seed, variant, is_recovered = job
    fleet = Fleet(
        seed,
        3,
        engines=8,
        lease=2.0,
        clients=12,
        rate=420.0,
        recall={"each": "0.2"} if is_recovered else None,
    )
    try:
        fleet.start()
        fleet.until(3)
        fleet.engines["e2"].begin_fault("slow", 10.0)
        fleet.engines["e5"].begin_fault("silent", 0.0)
        fleet.until(5)
        targets = ("n1",) if variant == "one of three" else ("n1", "n2", "n3")
        if variant == "replaced":
            # The endpoint list gets new ids for the same engines.
            for name in ("e1", "e3", "e4", "e6"):
                for gateway, feed in fleet.feeds.items():
                    replacement = fleet.engine_for_gateway(gateway, name)
                    replacement.name = name + "b"
                    feed.publish([replacement])
                    feed.publish([fleet.engine_for_gateway(gateway, name)], "DELETED")
        started_at = fleet.event_loop.now
        fleet.apply_fault(Fault(0, 500, "kill", targets))
        fleet.until(6)
        finished_at = fleet.event_loop.now
        fleet.settle()
        served_value = total_value = 0.0
        for n, client in enumerate(fleet.clients):
            if f"n{1 + n % 3}" in targets:
                for ask in client.requests:
                    if started_at + 4_000 <= ask.sent_at < finished_at:
                        total_value += VALUE_BY_CLASS[ask.profile.request_class]
                        served = bool(ask.answers) and ask.answers[0][1] == 1
                        served_value += (
                            VALUE_BY_CLASS[ask.profile.request_class]
                            * served
                            * (
                                ask.answers[0][0] - ask.sent_at
                                <= 10 * OBJECTIVE_MS_BY_CLASS[ask.profile.request_class]
                                if served
                                else 0
                            )
                        )
        return variant, is_recovered, 1 - served_value / total_value
    finally:
        fleet.close()


def measure_fleet(runs):
    rows = {}
    for variant in "one of three", "replaced":
        jobs = [
            (seed, variant, is_recovered) for seed in range(runs) for is_recovered in (False, True)
        ]
        with ProcessPoolExecutor(3) as pool:
            for _, is_recovered, lost in pool.map(run_fleet_restart, jobs):
                rows.setdefault((variant, is_recovered), []).append(lost)
        pairs = sorted(
            cold - recovered for cold, recovered in zip(rows[variant, False], rows[variant, True])
        )
        cold, recovered = (
            100 * statistics.median(rows[variant, is_recovered]) for is_recovered in (False, True)
        )
        print(
            f"{variant}: value lost after the restart, cold {cold:.2f}%, recovered "
            f"{recovered:.2f}%; "
            f"cold minus recovered, by pair, median {100 * statistics.median(pairs):.2f} "
            f"({100 * pairs[0]:.2f} to {100 * pairs[-1]:.2f})",
            flush=True,
        )


def measure_start():
    from corkgauge.recovery import learned_state, snapshot
    from tests.harness import HostHarness, endpoint_list_event

    rows = [{"id": f"e{n}", "addr": f"127.0.{n // 250}.9:{n % 250 + 1}"} for n in range(1000)]
    socket_host = HostHarness(events=[endpoint_list_event(1, *rows)]).socket_host
    for engine in socket_host.gateway.engines:
        engine.stats.slowness_samples.extend([1.5] * 8)
        engine.stats.fault_history.extend([""] * 8)
    started_at = time.perf_counter()
    copy = learned_state.copy_learned_state(socket_host.gateway)
    copied_at = time.perf_counter()
    encoded_records = learned_state.encode_learned_state(copy)
    converted_at = time.perf_counter()
    data = snapshot.encode({"gateway": "n", "mark": 1, "at": socket_host.now, **encoded_records})
    encoded_at = time.perf_counter()
    with tempfile.NamedTemporaryFile() as file:
        file.write(data)
        file.flush()
        restored_host = HostHarness(events=[endpoint_list_event(1, *rows)]).socket_host
        restore_started_at = time.perf_counter()
        with open(file.name, "rb") as source:
            records = snapshot.decode(source.read(), "n", 1)
        restored_counts = learned_state.restore_learned_state(
            records, restored_host.gateway, restored_host.request_classes, restored_host.now, 0
        )
        restored_at = time.perf_counter()
    steps = ", ".join(
        f"{1000 * duration:.1f}"
        for duration in (
            copied_at - started_at,
            converted_at - copied_at,
            encoded_at - converted_at,
        )
    )
    print(
        f"{len(data)} octets; copied, converted and encoded in {steps} ms, one turn each; "
        f"decoded and restored in {1000 * (restored_at - restore_started_at):.1f} ms: "
        f"{restored_counts}"
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "what", choices=["kills", "keyed", "gain", "stale", "overhead", "fleet", "start"]
    )
    parser.add_argument("--count", type=int, default=500)
    parser.add_argument("--runs", type=int, default=10)
    parser.add_argument("--rate", type=float, default=250.0)
    options = parser.parse_args()
    {
        "kills": lambda: measure_kills(options.count),
        "keyed": lambda: measure_keyed_requests(options.runs),
        "gain": lambda: measure_gain(options.runs, options.rate),
        "fleet": lambda: measure_fleet(options.runs),
        "stale": lambda: measure_gain(options.runs, options.rate, True),
        "overhead": lambda: measure_overhead(options.runs),
        "start": measure_start,
    }[options.what]()

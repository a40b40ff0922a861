"""Measures peer health reports: their benefit, how fast they spread and their cost.

Usage:

    python benchmarks/peer_health.py failures [--times 3]
        engine failures on sockets, paired by seed: with reports, without reports, and announced to
        all gateways at once
    python benchmarks/peer_health.py spread
        simulations of 3 to 200 gateways with the reports of the program
    python benchmarks/peer_health.py false-reports
        gateways that send false reports, and network partitions, on sockets, against no reports
    python benchmarks/peer_health.py merge
        a merge of 1,000 reports, against a plain list
    python benchmarks/peer_health.py slow-start [--faults 200]
        work sent to cold engines under faults, against the slow start rule
"""

import argparse
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from corkgauge.eventloop.loop import SECOND
from corkgauge.model.gossip import measure_report_spread
from corkgauge.peer_health.reports import HealthReports
from corkgauge.testkit.fleet.processes import Fault, Fleet, draw_random_faults
from corkgauge.testkit.seeded_random import SeededRandom

VALUE_BY_CLASS = {"lookup": 1.0, "report": 8.0, "load": 2.0, "once": 2.0}
REPORT_SETTINGS = {"each": 0.2, "octets": 8000}
FAULT_AMOUNTS = {"silent": 0.0, "slow": 8.0, "error": 1.0}


def quantile(values, fraction):
    values = sorted(values)
    return values[min(int(fraction * len(values)), len(values) - 1)] if values else float("nan")


def served_fraction(fleet, from_time, to_time):
    served_value = total_value = 0.0
    for client in fleet.clients:
        for ask in client.requests:
            if from_time <= ask.sent_at < to_time:
                value = VALUE_BY_CLASS[ask.profile.request_class]
                total_value += value
                served_value += value * (bool(ask.answers) and ask.answers[0][1] == 1)
    return served_value / total_value


def run_failures(job):
    """Return the lost part of the value while engines fail.

    `variant` is "shared" (with reports), "apart" (without reports) or "known" (the endpoint list
    announces the failures to all gateways).
    """
    seed, variant, fault_kind, failing_count = job
    fleet = Fleet(
        seed,
        5,
        engines=12,
        lease=2.0,
        clients=15,
        rate=150.0,
        shared=REPORT_SETTINGS if variant == "shared" else None,
    )
    failing_engines = [f"e{1 + (5 * n + seed) % 12}" for n in range(failing_count)]
    try:
        fleet.start()
        fleet.until(6)
        started_at = fleet.event_loop.now
        for name in failing_engines:
            fleet.engines[name].begin_fault(fault_kind, FAULT_AMOUNTS[fault_kind])
        if variant == "known":
            fleet.publish_engines(failing_engines, "DELETED")
        fleet.until(8)
        for name in failing_engines:
            fleet.engines[name].end_fault()
        if variant == "known":
            fleet.publish_engines(failing_engines)
        fleet.until(4)
        finished_at = fleet.event_loop.now
        fleet.settle()
        attempt_count = sum(
            started_at < run.received_at < started_at + 8 * SECOND
            for name in failing_engines
            for run in fleet.engines[name].attempts
        )
        return (
            variant,
            fault_kind,
            failing_count,
            1 - served_fraction(fleet, started_at, finished_at),
            attempt_count,
            fleet.find_rule_violations(2_500)[:2],
        )
    finally:
        fleet.close()


def measure_failures(options):
    rows = {}
    jobs = [
        (seed, variant, fault_kind, failing_count)
        for fault_kind in FAULT_AMOUNTS
        for failing_count in (1, 3, 6)
        for seed in range(options.times)
        for variant in ("shared", "apart", "known")
    ]
    with ProcessPoolExecutor(options.workers) as pool:
        for variant, fault_kind, failing_count, lost, attempt_count, rules in pool.map(
            run_failures, jobs
        ):
            rows.setdefault((fault_kind, failing_count, variant), []).append((lost, attempt_count))
            if rules:
                print(fault_kind, failing_count, variant, rules)
    for fault_kind in FAULT_AMOUNTS:
        for failing_count in (1, 3, 6):
            print(
                f"{fault_kind}, {failing_count} of 12: "
                + "; ".join(
                    f"{variant} lost "
                    f"{100 * quantile([lost for lost, _ in rows[fault_kind, failing_count, variant]], 0.5):.2f}%, "
                    f"{quantile([attempt_count for _, attempt_count in rows[fault_kind, failing_count, variant]], 0.5)} attempts at failed engines"
                    for variant in ("apart", "shared", "known")
                ),
                flush=True,
            )


def measure_spread(options):
    jobs = [
        (gateway_count, engine_count, silent_count, loss, sharing)
        for gateway_count, engine_count in ((3, 24), (30, 80), (80, 80), (200, 80))
        for silent_count in (1, engine_count // 2)
        for loss in (0.0, 0.3)
        for sharing in (True, False)
        if sharing or not loss
    ]
    jobs.append((200, 1000, 50, 0.0, True))
    with ProcessPoolExecutor(options.workers) as pool:
        for row in pool.map(_measure_spread, jobs):
            print(row, flush=True)


def _measure_spread(job):
    return measure_report_spread(*job)


def run_false_reports(job):
    seed, variant = job
    report_settings = None if variant == "apart" else REPORT_SETTINGS
    fleet = Fleet(seed, 5, engines=12, lease=2.0, clients=15, rate=150.0, shared=report_settings)
    if variant == "liars":
        for name in "n1", "n3":
            fleet.gateways[name].program.python_arguments = (
                "-m",
                "corkgauge.testkit.faults.disabled_safeguards",
                "liar",
                "1.0",
            )
    try:
        fleet.start()
        fleet.until(5)
        started_at = fleet.event_loop.now
        if variant == "cut":
            fleet.apply_fault(Fault(0, 6 * SECOND, "part", ("n1", "n2")))
        fleet.until(12)
        finished_at = fleet.event_loop.now
        fleet.settle()
        return (
            variant,
            1 - served_fraction(fleet, started_at, finished_at),
            fleet.find_rule_violations(2_500)[:2],
        )
    finally:
        fleet.close()


def measure_false_reports(options):
    rows = {}
    jobs = [
        (seed, variant)
        for seed in range(options.times)
        for variant in ("apart", "shared", "liars", "cut")
    ]
    with ProcessPoolExecutor(options.workers) as pool:
        for variant, lost, rules in pool.map(run_false_reports, jobs):
            rows.setdefault(variant, []).append(lost)
            if rules:
                print(variant, rules)
    for variant, lost in rows.items():
        print(
            f"{variant}: lost {100 * quantile(lost, 0.5):.2f}% ({100 * min(lost):.2f} to "
            f"{100 * max(lost):.2f})"
        )


def measure_merge(options):
    """Merge and look up 1,000 reports of 200 gateways on 1,000 engines; compare with a list."""
    random = SeededRandom(3)
    rows = [
        [f"n{random.below(200)}", 1, n + 1, 0, f"e{random.below(1000)}", 1, 4, 0, 0]
        for n in range(1000)
    ]

    def merge_indexed():
        reports = HealthReports("me", 1)
        reports.merge(0, rows)
        return sum(len([*reports.reports_on(f"e{n}")]) for n in range(1000))

    def merge_in_list():
        merged = []
        for row in rows:
            position = next(
                (n for n, each in enumerate(merged) if (each[0], each[4]) == (row[0], row[4])), -1
            )
            if position < 0:
                merged.append(row)
            elif merged[position][1:3] < row[1:3]:
                merged[position] = row
        return sum(len([each for each in merged if each[4] == f"e{n}"]) for n in range(1000))

    assert merge_indexed() == merge_in_list()
    for name, method in (("indexed", merge_indexed), ("plain list", merge_in_list)):
        times = []
        for _ in range(5):
            started_at = time.perf_counter()
            method()
            times.append(time.perf_counter() - started_at)
        print(f"{name}: {1000 * min(times):.2f} ms for 1,000 merged reports and 1,000 lookups")


def run_slow_start(job):
    """Measure the work that all gateways send to engines that restart under faults.

    Returns:
        The work in the worst interval, over the work that makes a cold engine fail.
    """
    seed, leases_ignored, seconds = job
    names = [f"n{n}" for n in range(1, 6)]
    fleet = Fleet(
        seed,
        5,
        engines=12,
        lease=1.0,
        cold=4.0,
        clients=6,
        rate=250.0,
        shared=REPORT_SETTINGS,
        faults=draw_random_faults(seed, names, seconds, 0.4, 2.0),
        off="leases" if leases_ignored else "none",
    )
    random, worst_ratio = SeededRandom(seed), 0.0
    restarts = []

    def restart_engines():
        restarted = [f"e{1 + random.below(12)}" for _ in range(4)]
        restarted = [*dict.fromkeys(restarted)]
        fleet.restart_engines(restarted)
        restarts.append((fleet.event_loop.now, restarted))
        fleet.event_loop.call_later(5 * SECOND, restart_engines)

    try:
        fleet.start()
        fleet.event_loop.call_later(4 * SECOND, restart_engines)
        fleet.until(seconds)
        share, window_ticks, multiple, failure_ticks = fleet.rule_expectations.slow_start
        for started_at, restarted in restarts:
            for name in restarted:
                sent = [
                    (run.received_at, run.work)
                    for run in fleet.engines[name].attempts
                    if started_at <= run.received_at < started_at + window_ticks
                ]
                for came, _ in sent:
                    work = sum(each for when, each in sent if came <= when < came + failure_ticks)
                    worst_ratio = max(
                        worst_ratio,
                        work / (multiple * share * fleet.engines[name].cores * failure_ticks / 10),
                    )
        passed_permit_count = 0
        for name in names:
            try:
                passed_permit_count += fleet.query_gateway(name, "/shared")["counters"].get(
                    "turns passed on", 0
                )
            except OSError:
                pass
        return leases_ignored, fleet.applied_fault_count, worst_ratio, passed_permit_count
    finally:
        fleet.close()


def measure_slow_start(options):
    seconds = options.faults / 4 * 0.4 + 5
    jobs = [(seed, False, seconds) for seed in (1, 2, 3, 4)] + [
        (seed, True, min(seconds, 40)) for seed in (1, 2)
    ]
    with ProcessPoolExecutor(len(jobs)) as pool:
        for leases_ignored, faults, worst_ratio, passed_permit_count in pool.map(
            run_slow_start, jobs
        ):
            print(
                f"{'leases ignored' if leases_ignored else 'with leases'}: {faults} faults, "
                f"{passed_permit_count} permits passed on, at most "
                f"{worst_ratio:.2f} of the work that makes a cold engine fail: "
                f"{'VIOLATION' if worst_ratio > 1 else 'ok'}",
                flush=True,
            )


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "what", choices=["failures", "spread", "false-reports", "merge", "slow-start"]
    )
    parser.add_argument("--times", type=int, default=3)
    parser.add_argument("--faults", type=int, default=1000)
    parser.add_argument("--workers", type=int, default=4)
    options = parser.parse_args()
    {
        "failures": measure_failures,
        "spread": measure_spread,
        "false-reports": measure_false_reports,
        "merge": measure_merge,
        "slow-start": measure_slow_start,
    }[options.what](options)


if __name__ == "__main__":
    main()

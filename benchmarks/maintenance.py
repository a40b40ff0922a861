"""Measures maintenance under faults, with gateway processes and in simulations.

Usage:

    python benchmarks/maintenance.py faults [--faults 1000]
        random faults at 3, 5 and 9 processes, 12 to 24 engines; then without safeguards
    python benchmarks/maintenance.py fleet [--plot FILE]
        maintenance of a whole fleet by policy, on sockets, paired by seed
    python benchmarks/maintenance.py simulate [--plot FILE]
        the same, simulated at 24, 80, 200 and 1,000 engines
    python benchmarks/maintenance.py overhead
        serving with maintenance, with all members lost, and without maintenance, paired
    python benchmarks/maintenance.py latency
        from request to out and to back, and after the death of the planner
    python benchmarks/maintenance.py cold
        work sent to four engines that return at once, summed over all gateways
    python benchmarks/maintenance.py consensus [--runs 20000]
        simulations of the consensus on the plan
    python benchmarks/maintenance.py schedule
        the order of grants against the best of all orders, on small fleets
"""

import argparse
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from itertools import permutations

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from corkgauge.eventloop.loop import SECOND
from corkgauge.maintenance.capacity import (
    CapacitySnapshot,
    DisruptionLimits,
    EngineFact,
    WaitingUnit,
)
from corkgauge.maintenance.schedule import select_grants
from corkgauge.model.plan_consensus import PlanWorld, draw_plan_scenario
from corkgauge.model.rolling_maintenance import POLICIES, MaintenanceRun
from corkgauge.testkit.fleet.maintenance_crew import MaintenanceCrew
from corkgauge.testkit.fleet.maintenance_day import (
    SAFEGUARDS,
    MaintenanceScenario,
    run_safeguard_scenario,
)
from corkgauge.testkit.fleet.processes import Fault, Fleet
from corkgauge.testkit.seeded_random import SeededRandom

VALUE_BY_CLASS = {"lookup": 1.0, "report": 8.0, "load": 2.0, "once": 2.0}


def quantile(values, fraction):
    values = sorted(values)
    return values[min(int(fraction * len(values)), len(values) - 1)] if values else float("nan")


def run_scenario(job):
    gateways, engines, seconds, seed = job
    return MaintenanceScenario(seed, gateways, engines, seconds, gap=0.4, each=1.0).run()


def run_faults(options):
    """Run random faults, at least the requested number, and each safeguard disabled in turn.

    The fleets run in parallel, since their processes are mostly idle.
    """
    seconds = options.faults / 6 * 0.4 + 5
    jobs = [
        (3, 12, seconds, 201),
        (3, 18, seconds, 202),
        (5, 18, seconds, 203),
        (5, 24, seconds, 204),
        (9, 24, seconds, 205),
        (9, 12, seconds, 206),
    ]
    with ProcessPoolExecutor(len(jobs)) as pool:
        found = [*pool.map(run_scenario, jobs)]
    for job, result in zip(jobs, found):
        print(f"{job[0]} processes, {job[1]} engines: {result}", flush=True)
    print(
        f"{sum(result['faults'] for result in found)} faults, {sum(r['works'] for r in found)} "
        f"completed maintenances, "
        f"violations {sum(len(r['wrong']) + len(r['rules']) + len(r['duties']) for r in found)}",
        flush=True,
    )
    with ProcessPoolExecutor(6) as pool:
        jobs = [
            (safeguard, is_disabled) for safeguard in SAFEGUARDS for is_disabled in (False, True)
        ]
        for (safeguard, is_disabled), wrong in zip(jobs, pool.map(_run_aimed, jobs)):
            print(
                f"{'without' if is_disabled else 'with'} {safeguard}: {len(wrong)} "
                f"violations{': ' + wrong[0] if wrong else ''}"
            )


def _run_aimed(job):
    return run_safeguard_scenario(*job, 5, 3)


class UnreachableEnginesCrew(MaintenanceCrew):
    """A crew whose engines refuse connections during maintenance."""

    def work(self, work):
        for tag in work.members:
            if tag in self.fleet.engines:
                self.fleet.engines[tag].begin_fault("refuse", 0.0)
        super().work(work)

    def end(self, work):
        for tag in work.members:
            if tag in self.fleet.engines:
                self.fleet.engines[tag].end_fault()
        super().end(work)


def maintain_fleet(job):
    """Maintain each of 24 engines once, with 5 gateways under load.

    Returns:
        The lost part of the value, the time, and the worst second of each request class.
    """
    seed, policy = job
    works = {"each": 0.2, "grant": 1.0, "patience": 0.5, "most": 6, "share": 0.3, "room": 0.6}
    fleet = Fleet(
        seed, 5, engines=24, lease=1.0, cold=1.0, clients=15, rate=900.0, disk=False, works=works
    )
    crew = UnreachableEnginesCrew(fleet, work_seconds=1.5, seed=seed)
    names = [*fleet.engines]
    try:
        fleet.start()
        crew.send_command({"do": "known", "out": []})
        fleet.until(6)
        started_at = fleet.event_loop.now
        if policy == "scheduled":
            for zone in "hall-a", "hall-b":
                crew.request_maintenance("hall", zone)
            fleet.until(90, lambda: not crew.has_finished(24))
        elif policy != "none":
            from corkgauge.testkit.checkers.maintenance import MaintenanceRecord

            queues = {
                "alone": [names[n::4] for n in range(4)],
                "fixed": [names[n::3] for n in range(3)],
                "at once": [names[n::8] for n in range(8)],
            }[policy]

            def next_of(queue):
                if queue:
                    work = MaintenanceRecord(queue[0], "x", (queue.pop(0),), fleet.event_loop.now)
                    crew.send_command = lambda *_: fleet.event_loop.call_later(
                        int(0.2 * SECOND), next_of, queue
                    )
                    crew.work(work)

            for queue in queues:
                next_of(queue)
            fleet.until(90, lambda: len([each for each in crew.book if each.ended >= 0]) < 24)
        else:
            fleet.until(20)
        finished_at = fleet.event_loop.now
        fleet.until(1.5)
        crew.stopped = True
        fleet.settle()
        served_value = total_value = 0.0
        seconds: dict[tuple[str, int], list[int]] = {}
        for client in fleet.clients:
            for ask in client.requests:
                if started_at <= ask.sent_at < finished_at:
                    value, succeeded = (
                        VALUE_BY_CLASS[ask.profile.request_class],
                        bool(ask.answers) and ask.answers[0][1] == 1,
                    )
                    total_value += value
                    served_value += value * succeeded
                    row = seconds.setdefault(
                        (ask.profile.request_class, (ask.sent_at - started_at) // SECOND), [0, 0]
                    )
                    row[0] += 1
                    row[1] += succeeded
        worst = {}
        for (request_class, _), (request_count, succeeded) in seconds.items():
            if request_count >= 5:
                worst[request_class] = max(
                    worst.get(request_class, 0.0), 1 - succeeded / request_count
                )
        return {
            "policy": policy,
            "seed": seed,
            "lost": 1 - served_value / total_value,
            "seconds": (finished_at - started_at) / SECOND,
            "worst": worst,
            "rules": fleet.find_rule_violations(2_500)[:3],
            "works": len(crew.book),
        }
    finally:
        fleet.close()


def compare_policies(options):
    policies, rows = ("scheduled", "alone", "fixed", "at once"), []
    jobs = [(seed, policy) for seed in range(options.times) for policy in policies]
    with ProcessPoolExecutor(2) as pool:
        for row in pool.map(maintain_fleet, jobs):
            rows.append(row)
            print(
                {
                    name: round(value, 4) if isinstance(value, float) else value
                    for name, value in row.items()
                },
                flush=True,
            )
    for policy in policies:
        policy_rows = [row for row in rows if row["policy"] == policy]
        worst = {
            name: round(quantile([row["worst"].get(name, 0.0) for row in policy_rows], 0.5), 2)
            for name in VALUE_BY_CLASS
        }
        print(
            f"{policy}: value lost {quantile([row['lost'] for row in policy_rows], 0.5):.4f} "
            f"({min(row['lost'] for row in policy_rows):.4f} to "
            f"{max(row['lost'] for row in policy_rows):.4f}), "
            f"{quantile([row['seconds'] for row in policy_rows], 0.5):.1f} s, worst second by "
            f"request class {worst}"
        )
    if options.plot:
        plot(
            {
                policy: [(row["seconds"], row["lost"]) for row in rows if row["policy"] == policy]
                for policy in policies
            },
            options.plot,
            "seconds for the whole fleet",
            "on sockets, 24 engines, 5 gateways",
        )


def run_simulation(job):
    engines, policy, seed = job
    return engines, seed, MaintenanceRun(seed, engines, policy).run()


def simulate_policies(options):
    rows = []
    jobs = [
        (engines, policy, seed)
        for engines in (24, 80, 200, 1000)
        for policy in POLICIES
        for seed in range(options.times if engines < 1000 else 2)
    ]
    with ProcessPoolExecutor(options.workers) as pool:
        rows = [*pool.map(run_simulation, jobs)]
    for engines in (24, 80, 200, 1000):
        for policy in POLICIES:
            policy_rows = [
                row for size, _, row in rows if size == engines and row["policy"] == policy
            ]
            worst = {
                name: round(quantile([row["worst_by"][name] for row in policy_rows], 0.5), 2)
                for name in policy_rows[0]["worst_by"]
            }
            print(
                f"{engines} engines, {policy}: lost "
                f"{quantile([row['lost'] for row in policy_rows], 0.5):.4f} "
                f"(most {max(row['lost'] for row in policy_rows):.4f}), "
                f"{quantile([r['hours'] for r in policy_rows], 0.5):.1f} h, "
                f"worst step {quantile([row['worst'] for row in policy_rows], 0.5):.3f}, by "
                f"request class {worst}",
                flush=True,
            )
    if options.plot:
        plot(
            {
                policy: [
                    (row["hours"], row["lost"])
                    for size, _, row in rows
                    if size == 200 and row["policy"] == policy
                ]
                for policy in POLICIES
            },
            options.plot,
            "hours for the whole fleet",
            "simulated, 200 engines",
        )


def plot(rows, path, what, title):
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axis = pyplot.subplots(figsize=(6, 4))
    for n, (name, points) in enumerate(rows.items()):
        axis.scatter(
            [x for x, _ in points],
            [100 * y for _, y in points],
            label=name,
            marker="os^x"[n % 4],
            color=f"C{n}",
        )
    axis.set_xlabel(what)
    axis.set_ylabel("value lost, percent")
    axis.set_title(title)
    axis.grid(alpha=0.3)
    axis.legend()
    figure.tight_layout()
    figure.savefig(path)


def measure_serving(job):
    """Measure serving with maintenance, with all members lost, or without both subsystems."""
    seed, kind, seconds = job
    works = {"each": 0.5, "grant": 2.0, "patience": 0.5}
    fleet = Fleet(seed, 3, engines=6, lease=1.0, clients=9, rate=300.0, works=works)
    if kind == "without":
        for gateway in fleet.gateways.values():
            path = f"{gateway.folder}/operator.xml"
            with open(path) as file:
                text = file.read()
            with open(path, "w") as file:
                file.write(text[: text.index("<fellows")] + "</operator>\n")
    try:
        fleet.start()
        fleet.until(3)
        if kind == "lost":
            fleet.apply_fault(Fault(0, 3600 * SECOND, "cut", (*fleet.gateways,)))
            for way in fleet.checker_relays.values():
                way.cut_until = fleet.event_loop.now + 3600 * SECOND
        started_at, before = (
            fleet.event_loop.now,
            sum(each.program.processor_time() for each in fleet.gateways.values()),
        )
        fleet.until(seconds)
        used = sum(each.program.processor_time() for each in fleet.gateways.values()) - before
        fleet.settle()
        latencies = [
            ask.answers[0][0] - ask.sent_at
            for client in fleet.clients
            for ask in client.requests
            if ask.answers and ask.sent_at >= started_at
        ]
        succeeded = [
            bool(ask.answers) and ask.answers[0][1] == 1
            for client in fleet.clients
            for ask in client.requests
            if ask.sent_at >= started_at
        ]
        return (
            kind,
            sum(succeeded) / len(succeeded),
            quantile(latencies, 0.99) / 10,
            used / len(succeeded) * 1000,
            fleet.find_rule_violations(2_500),
        )
    finally:
        fleet.close()


def measure_overhead(options):
    rows = {}
    for seed in range(options.times):
        for kind in ("without", "lost", "with") if seed % 2 else ("with", "lost", "without"):
            name, succeeded, latency, used, rules = measure_serving((seed, kind, options.seconds))
            rows.setdefault(name, []).append((succeeded, latency, used))
            print(
                f"{name}: succeeded {succeeded:.4f}, 99th percentile {latency:.1f} ms, processor "
                f"{used:.3f} ms per request, "
                f"rule violations {rules[:2]}",
                flush=True,
            )
    for name in "lost", "with":
        for n, what in enumerate(("succeeded", "99th percentile", "processor")):
            ratios = sorted(one[n] / other[n] for one, other in zip(rows[name], rows["without"]))
            print(
                f"{what}, {name} over without: median {quantile(ratios, 0.5):.3f} "
                f"({ratios[0]:.3f} to {ratios[-1]:.3f})"
            )


def measure_times(job):
    """Measure the times from request to out, from done to back, and until a new planner leads."""
    seed, repetitions = job
    works = {"each": 0.5, "grant": 2.0, "patience": 0.5, "most": 2, "share": 0.5, "room": 0.9}
    fleet = Fleet(
        seed,
        3,
        engines=6,
        lease=1.0,
        cold=0.2,
        clients=3,
        rate=60.0,
        disk=bool(seed % 2),
        works=works,
    )
    crew = MaintenanceCrew(fleet, work_seconds=0.1, seed=seed)
    out, back, failovers = [], [], []
    try:
        fleet.start()
        crew.send_command({"do": "known", "out": []})
        fleet.until(4)
        for n in range(repetitions):
            finished_count = len(crew.book)
            request_id = crew.request_maintenance("engine", f"e{1 + n % 6}")
            if not fleet.until(20, lambda: len(crew.book) == finished_count):
                continue
            out.append((crew.book[-1].begun - crew.requested_at[request_id]) / SECOND)
            fleet.until(20, lambda: crew.book[-1].ended < 0)
            fleet.until(20, lambda: bool(crew.last_plan.get("units", [1])))
            back.append((fleet.event_loop.now - crew.book[-1].ended) / SECOND)
            if n % 3 == 2:
                planner, started_at = crew.last_plan["holder"], fleet.event_loop.now
                fleet.apply_fault(Fault(0, 3 * SECOND, "kill", (planner,)))
                crew.last_plan = {}
                fleet.until(
                    15,
                    lambda: crew.last_plan.get("state") != "leading"
                    and not crew.last_plan.get("fresh"),
                )
                failovers.append((fleet.event_loop.now - started_at) / SECOND)
                fleet.until(4)
        return out, back, failovers
    finally:
        fleet.close()


def measure_latency(options):
    with ProcessPoolExecutor(4) as pool:
        found = [*pool.map(measure_times, [(seed, options.times) for seed in range(8)])]
    for name, n in (
        ("request to out", 0),
        ("done to back (cold 0.2 s)", 1),
        ("death of the planner to a new leader", 2),
    ):
        values = [value for each in found for value in each[n]]
        print(
            f"{name}: n={len(values)} median {quantile(values, 0.5):.2f} s, 99th percentile "
            f"{quantile(values, 0.99):.2f} s, longest {max(values, default=0):.2f} s"
        )


def measure_return(job):
    """Measure the work that all gateways send to four engines that return together.

    Returns:
        The work in the worst interval, over the work that makes a cold engine fail.
    """
    seed, together = job
    works = {
        "each": 0.2,
        "grant": 1.0,
        "patience": 0.5,
        "most": 4,
        "share": 0.5,
        "room": 0.9,
        "hall": 1.0,
        "kind": 1.0,
    }
    fleet = Fleet(seed, 5, engines=12, lease=1.0, cold=8.0, clients=15, rate=700.0, works=works)
    crew = UnreachableEnginesCrew(fleet, work_seconds=1.0, seed=seed)
    names = ["e1", "e2", "e3", "e4"]
    try:
        fleet.start()
        crew.send_command({"do": "known", "out": []})
        fleet.until(5)
        if together == "scheduled":
            crew.request_maintenance("engine", *names)
            fleet.until(20, lambda: len([work for work in crew.book if work.ended >= 0]) < 4)
        else:
            for name in names:
                fleet.engines[name].begin_fault("refuse", 0.0)
            fleet.until(1.0)
            for name in names:
                fleet.engines[name].end_fault()
            fleet.restart_engines(names)
        started_at = fleet.event_loop.now
        fleet.until(9)
        crew.stopped = True
        fleet.settle()
        share, _, multiple, fall = fleet.rule_expectations.slow_start
        worst = 0.0
        for name in names:
            sent = [
                (run.received_at, run.work)
                for run in fleet.engines[name].attempts
                if started_at <= run.received_at < started_at + 8 * SECOND
            ]
            for came, _ in sent:
                work = sum(each for when, each in sent if came <= when < came + fall)
                worst = max(
                    worst, work / (multiple * share * fleet.engines[name].cores * fall / 10)
                )
        return together, worst, fleet.find_rule_violations(2_500)
    finally:
        fleet.close()


def measure_cold_returns(options):
    jobs = [(seed, kind) for seed in range(options.times) for kind in ("scheduled", "each alone")]
    with ProcessPoolExecutor(2) as pool:
        for kind, worst, rules in pool.map(measure_return, jobs):
            print(
                f"{kind}: at most {worst:.3f} of the work that makes a cold engine fail; rule "
                f"violations {rules[:2]}",
                flush=True,
            )


def run_simulations(first, count):
    violations, steps, takeovers, late_notices = [], 0, 0, 0
    for seed in range(first, first + count):
        world = PlanWorld(draw_plan_scenario(seed))
        violations += [(seed, line) for line in world.run()]
        steps, takeovers, late_notices = (
            steps + world.agreed_step_count,
            takeovers + world.takeover_count,
            late_notices + world.late_notice_count,
        )
    return violations, steps, takeovers, late_notices


def simulate_consensus(options):
    started_at, step = time.time(), 250
    with ProcessPoolExecutor(options.workers) as pool:
        found = [
            *pool.map(
                run_simulations, range(0, options.runs, step), [step] * (options.runs // step)
            )
        ]
    print(
        f"{options.runs} simulations, {time.time() - started_at:.0f} s: "
        f"{sum(each[1] for each in found)} steps agreed, "
        f"plan taken over {sum(each[2] for each in found)} times, late notices to replaced leaders "
        f"{sum(each[3] for each in found)}, violations "
        f"{sum((each[0] for each in found), [])[:3] or 0}"
    )


def schedule_in_order(order, capacity_without, durations):
    """Start the units in this order, each as soon as it fits; return their end times."""
    now, out, waiting, end_times = 0, [], [*order], {}
    while waiting or out:
        started = True
        while started:
            started = False
            for unit in waiting:
                if not capacity_without({tag for _, tags in out for tag in tags}).find_wait_reason(
                    unit, with_load=False
                ):
                    out.append((now + durations[unit.name], unit.members))
                    end_times[unit.name] = now + durations[unit.name]
                    waiting.remove(unit)
                    started = True
                    break
        now = min(end for end, _ in out)
        out = [each for each in out if each[0] > now]
    return end_times


def compare_orders(options):
    """Compare the order of grants with the best permutation, by lateness and total time."""
    excesses = []
    for seed in range(options.times * 10):
        chance = SeededRandom(seed)
        engines = {
            f"e{n}": EngineFact(f"e{n}", "ab"[n % 2], "c8", None, (8.0, 12.0)[chance.below(2)])
            for n in range(6)
        }
        units = [
            WaitingUnit(
                f"e{n}",
                (f"e{n}",),
                10 + chance.below(50),
                due_ticks=(60 + chance.below(120)) if chance.happens(0.4) else 2**62,
                queue_position=n,
            )
            for n in range(6)
        ]
        durations = {unit.name: unit.duration_ticks for unit in units}

        def capacity_without(away):
            return CapacitySnapshot(DisruptionLimits(2, 0.5, 1.0, 1.0), engines, (), away)

        def cost(end_times):
            lateness = sum(
                max(end_times[unit.name] - unit.due_ticks, 0)
                for unit in units
                if unit.due_ticks < 2**62
            )
            return (
                lateness,
                max(end_times.values()),
                sum(end_times[unit.name] * engines[unit.name].cores for unit in units),
            )

        best = min(
            cost(schedule_in_order(each, capacity_without, durations))
            for each in permutations(units)
        )
        least = min(
            cost(schedule_in_order(each, capacity_without, durations))[1]
            for each in permutations(units)
        )
        from corkgauge.maintenance.schedule import grant_order

        actual = cost(
            schedule_in_order(
                grant_order(units, {tag: each.cores for tag, each in engines.items()}),
                capacity_without,
                durations,
            )
        )
        assert select_grants(capacity_without(set()), units).granted
        excesses.append((actual[0] - best[0], actual[1] / least))
    lateness = [each for each, _ in excesses]
    print(
        f"{len(excesses)} fleets of 6: lateness equal to the best order in "
        f"{sum(not each for each in lateness)}, median excess "
        f"lateness {quantile(lateness, 0.5)}, most {max(lateness)}; total time over the "
        f"shortest: median "
        f"{quantile([each for _, each in excesses], 0.5):.3f}, most "
        f"{max(each for _, each in excesses):.3f}"
    )


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "what",
        choices=[
            "faults",
            "fleet",
            "simulate",
            "overhead",
            "latency",
            "cold",
            "consensus",
            "schedule",
        ],
    )
    parser.add_argument("--faults", type=int, default=1000)
    parser.add_argument("--times", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--runs", type=int, default=20_000)
    parser.add_argument("--workers", type=int, default=os.cpu_count())
    parser.add_argument("--plot")
    options = parser.parse_args()
    {
        "faults": run_faults,
        "fleet": compare_policies,
        "simulate": simulate_policies,
        "overhead": measure_overhead,
        "latency": measure_latency,
        "cold": measure_cold_returns,
        "consensus": simulate_consensus,
        "schedule": compare_orders,
    }[options.what](options)


if __name__ == "__main__":
    main()

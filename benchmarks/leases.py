"""Measures leases under faults, with gateway processes and in simulations.

Usage:

    python benchmarks/leases.py faults [--faults 1000]
        random faults at 3, 5 and 9 processes; then each safeguard disabled
    python benchmarks/leases.py handover [--plot FILE]
        time without a holder after a kill, a stop, a cut and a planned end
    python benchmarks/leases.py spurious
        handovers without a fault, at 0, 10 and 30% of datagrams lost
    python benchmarks/leases.py overhead
        processor time and 99th percentile with leases and without, paired
    python benchmarks/leases.py simulate [--runs 100000]
        simulations with drifting clocks
    python benchmarks/leases.py explore [--depth 14]
        model checking of all orders of events, to a depth
    python benchmarks/leases.py membership
        simulations of membership by fleet size, with the member lists of the program
    python benchmarks/leases.py fleet
        membership and lease traffic of thirty processes, on sockets
"""

import argparse
import json
import os
import subprocess
import sys
import time
from concurrent.futures import ProcessPoolExecutor

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from corkgauge.eventloop.loop import SECOND
from corkgauge.model.leases import World, draw_scenario
from corkgauge.model.model_checker import explore
from corkgauge.testkit.fleet.processes import Fault, Fleet

ARGUMENTS_BY_SAFEGUARD = {
    "check": [],
    "silence": [],
    "margin": ["--rates", "1.1,0.9,1.1", "--drift", "0.2"],
    "busy": [],
    "fence": [],
}


def quantile(values, fraction):
    values = sorted(values)
    return values[min(int(fraction * len(values)), len(values) - 1)] if values else float("nan")


def run_chaos(gateways, seconds, seed, *arguments):
    process = subprocess.run(
        [
            sys.executable,
            "-m",
            "corkgauge",
            "chaos",
            "run",
            "--gateways",
            str(gateways),
            "--seconds",
            str(seconds),
            "--gap",
            "0.4",
            "--lease",
            "0.6",
            "--seed",
            str(seed),
            "--json",
            *arguments,
        ],
        capture_output=True,
        text=True,
    )
    return json.loads(process.stdout) if process.stdout else {"failed": process.stderr[-500:]}


def run_faults(options):
    """Run random faults, at least the requested number, and each safeguard disabled in turn.

    The fleets run in parallel, since their processes are mostly idle.
    """
    seconds = options.faults / 3 * 0.4 + 5
    with ProcessPoolExecutor(3) as pool:
        found = [*pool.map(run_chaos, (3, 5, 9), (seconds,) * 3, (101, 102, 103))]
    for gateways, result in zip((3, 5, 9), found):
        print(f"{gateways} processes: {result}")
    print(
        f"{sum(result['faults'] for result in found)} faults, "
        f"violations {sum(len(result['wrong']) for result in found)}"
    )
    for safeguard, arguments in ARGUMENTS_BY_SAFEGUARD.items():
        for seed in range(1, 13):
            result = run_chaos(3, 30, seed, "--without", safeguard, *arguments)
            if result.get("wrong"):
                break
        print(
            f"without {safeguard}: {len(result['wrong'])} violations, seed {seed}: "
            f"{(result['wrong'] or ['none'])[0]}"
        )


def run_handovers(job):
    """Measure the times without an act after one kind of fault, for one lease duration and loss.

    The holder performs an act every 50 ms.
    """
    lease, loss, kind, repetitions = job
    durations = []
    fleet = Fleet(7, 3, lease=lease, each=0.05, period=0.3)
    try:
        fleet.start()
        fleet.wait_for_lease_action(10)
        fleet.set_network_fault("lose", loss)
        for _ in range(repetitions):
            fleet.until(2.2 * lease + 0.5)
            if not fleet.wait_for_lease_action(10):
                break
            before, changes = fleet.holder(), len(fleet.find_holder_changes())
            fleet.apply_fault(Fault(0, int(2.5 * lease * SECOND), kind, (before,)))
            if fleet.until(8 * lease + 3, lambda: fleet.holder() == before):
                durations.append(fleet.find_holder_changes()[changes][1] / SECOND)
            fleet.until(2.5 * lease)
        return durations, fleet.find_lease_violations()
    finally:
        fleet.close()


def measure_handovers(options):
    """Measure handovers for several lease durations and losses.

    The fleets run in parallel, since their processes are mostly idle.
    """
    rows = {}
    jobs = [
        (lease, loss, kind, options.times)
        for lease, loss in ((0.5, 0.0), (1.0, 0.0), (2.0, 0.0), (1.0, 0.1), (1.0, 0.3))
        for kind in ("kill", "stop", "cut", "end")
    ]
    with ProcessPoolExecutor(10) as pool:
        for (lease, loss, kind, _), (durations, violations_found) in zip(
            jobs, pool.map(run_handovers, jobs)
        ):
            rows[lease, loss, kind] = durations
            print(
                f"lease {lease} s, loss {loss:3}: {kind:5} n={len(durations):3} median "
                f"{quantile(durations, 0.5):.3f} "
                f"longest {max(durations, default=0):.3f} s without a holder; violations "
                f"{len(violations_found)}",
                flush=True,
            )
    if options.plot:
        plot(rows, options.plot)


def plot(rows, path):
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4), sharey=True)
    for axis, chosen, label in (
        (axes[0], [key for key in rows if key[1] == 0.0], "lease {0} s"),
        (axes[1], [key for key in rows if key[0] == 1.0], "loss {1}"),
    ):
        for kind, mark in zip(("kill", "stop", "cut", "end"), "os^x"):
            for n, key in enumerate(key for key in chosen if key[2] == kind):
                axis.scatter(
                    [n + 0.12 * ["kill", "stop", "cut", "end"].index(kind)] * len(rows[key]),
                    rows[key],
                    marker=mark,
                    s=12,
                    color=f"C{['kill', 'stop', 'cut', 'end'].index(kind)}",
                    label=kind if not n else None,
                )
        names = [label.format(*key) for key in chosen if key[2] == "kill"]
        axis.set_xticks(range(len(names)), names)
        axis.grid(axis="y", alpha=0.3)
    axes[0].set_ylabel("seconds without a holder")
    axes[0].legend(title="after")
    figure.tight_layout()
    figure.savefig(path)


def run_undisturbed(job):
    loss, seconds = job
    fleet = Fleet(9, 5, lease=1.0, each=0.05)
    try:
        fleet.start()
        fleet.wait_for_lease_action(10)
        fleet.set_network_fault("lose", loss)
        before, started_at = len(fleet.find_holder_changes()), fleet.event_loop.now
        fleet.until(seconds)
        hours = (fleet.event_loop.now - started_at) / SECOND / 3600
        count = len(fleet.find_holder_changes()) - before
        gone = sum(" gone, was" in line for line in fleet.logs())
        return (
            f"loss {loss}: {count} handovers in {hours * 3600:.0f} s, {count / hours:.0f} per "
            f"hour with leases of "
            f"1 s; members considered gone {gone}; violations {len(fleet.find_lease_violations())}"
        )
    finally:
        fleet.close()


def count_spurious_handovers(options):
    with ProcessPoolExecutor(3) as pool:
        for line in pool.map(
            run_undisturbed, [(loss, options.seconds) for loss in (0.0, 0.1, 0.3)]
        ):
            print(line, flush=True)


def measure_overhead(options):
    """Compare three gateways under load, with membership and leases and without, in turn."""
    pairs = []
    for pair in range(options.times):
        row = {}
        for name in ("without", "with") if pair % 2 else ("with", "without"):
            fleet = Fleet(pair, 3, lease=5.0, each=5.0, period=0.5, clients=9, rate=300.0)
            if name == "without":
                for gateway in fleet.gateways.values():
                    path = f"{gateway.folder}/operator.xml"
                    text = open(path).read()
                    with open(path, "w") as file:
                        file.write(text[: text.index("<fellows")] + "</operator>\n")
            try:
                fleet.run(options.seconds)
                latencies = sorted(
                    ask.answers[0][0] - ask.sent_at
                    for client in fleet.clients
                    for ask in client.requests
                    if ask.answers
                )
                row[name] = (
                    sum(each.program.processor_time() for each in fleet.gateways.values()),
                    quantile(latencies, 0.99) / 10,
                    len(latencies),
                )
            finally:
                fleet.close()
        pairs.append(row)
        print(
            {name: tuple(round(value, 3) for value in values) for name, values in row.items()},
            flush=True,
        )
    for n, figure in enumerate(("processor", "99th percentile")):
        ratios = sorted(row["with"][n] / row["without"][n] for row in pairs)
        print(
            f"{figure}: with over without, median {quantile(ratios, 0.5):.3f} ({ratios[0]:.3f} "
            f"to {ratios[-1]:.3f})"
        )


def run_simulations(first, count):
    violations, handover_count, action_count, refused_count = [], 0, 0, 0
    for seed in range(first, first + count):
        scenario = draw_scenario(
            seed, (3, 5)[seed % 2], disk=seed % 3 == 0, drift=(0.01, 0.05)[seed % 5 == 0]
        )
        world = World(scenario)
        violations += [(seed, line) for line in world.run()]
        handover_count, action_count, refused_count = (
            handover_count + len(world.handovers),
            action_count + world.action_count,
            refused_count + world.refused_count,
        )
    return violations, handover_count, action_count, refused_count


def simulate_leases(options):
    started_at, step = time.time(), 500
    with ProcessPoolExecutor(options.workers) as pool:
        found = [
            *pool.map(
                run_simulations, range(0, options.runs, step), [step] * (options.runs // step)
            )
        ]
    print(
        f"{options.runs} simulations, {time.time() - started_at:.0f} s: "
        f"{sum(each[1] for each in found)} handovers, "
        f"{sum(each[2] for each in found)} acts, {sum(each[3] for each in found)} rejected by "
        f"fencing, "
        f"violations {sum((each[0] for each in found), [])[:3] or 0}"
    )


def run_exploration(job):
    depth, start_with_holder, safeguard, max_states = job
    started_at = time.time()
    return explore(depth, 1, safeguard, start_with_holder, max_states), time.time() - started_at


def explore_all(options):
    jobs = [
        (options.depth + 2, False, "", options.max_states),
        (options.depth - 4, True, "", options.max_states),
    ]
    jobs += [
        (options.depth - 2, True, safeguard, options.max_states)
        for safeguard in ("silence", "busy", "before")
    ]
    with ProcessPoolExecutor(options.workers) as pool:
        for (depth, start_with_holder, safeguard, _), (exploration, seconds) in zip(
            jobs, pool.map(run_exploration, jobs)
        ):
            print(
                f"from "
                f"{'a holder' if start_with_holder else 'the start'}"
                f"{', without ' + safeguard if safeguard else ''}: depth "
                f"{len(exploration.by_depth) - 1}, {exploration.state_count} states "
                f"({exploration.states_with_holder} with a holder), {seconds:.0f} s: "
                f"{'; '.join(exploration.counterexample) or 'no violation'}",
                flush=True,
            )


def simulate_membership(options):
    from corkgauge.model.membership import measure_membership

    for count in (3, 30, 200, 1000):
        print(measure_membership(count), flush=True)


def measure_fleet(options):
    """Measure the membership of thirty processes: time to a common view, traffic, and a failure."""
    import resource

    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8192), hard))
    fleet = Fleet(3, 30, lease=2.0, engines=1, period=0.5)
    names, killed = [*fleet.gateways], "n30"

    def count_members(name, state):
        return sum(
            each["state"] == state
            for each in fleet.query_gateway(name, "/fellows")["fellows"].values()
        )

    try:
        fleet.start()
        fleet.until(2)
        while any(count_members(name, "alive") < 30 for name in (names[0], names[14], names[29])):
            fleet.until(0.5)
        print(
            f"30 processes: all see 30 others (including the checker) "
            f"{(fleet.event_loop.now - fleet.begun) / SECOND:.1f} s "
            "after the first start"
        )
        before = [fleet.query_gateway(name, "/fellows")["counters"]["sent"] for name in names[:5]]
        started_at = fleet.event_loop.now
        fleet.until(10)
        after = [fleet.query_gateway(name, "/fellows")["counters"]["sent"] for name in names[:5]]
        print(
            f"membership and lease datagrams per second and gateway, for five gateways: "
            f"{[round((b - a) / ((fleet.event_loop.now - started_at) / SECOND), 1) for a, b in zip(before, after)]}"
        )
        fleet.apply_fault(Fault(0, 60 * SECOND, "kill", (killed,)))
        started_at = fleet.event_loop.now
        while any(
            fleet.query_gateway(name, "/fellows")["fellows"][killed]["state"] != "gone"
            for name in names[:3]
        ):
            fleet.until(0.2)
        print(
            f"three queried gateways consider a killed one gone after "
            f"{(fleet.event_loop.now - started_at) / SECOND:.1f} s"
        )
        print(f"violations {len(fleet.find_lease_violations())}, holder {fleet.holder()}")
    finally:
        fleet.close()


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "what",
        choices=[
            "faults",
            "handover",
            "spurious",
            "overhead",
            "simulate",
            "explore",
            "membership",
            "fleet",
        ],
    )
    parser.add_argument("--faults", type=int, default=1000)
    parser.add_argument("--times", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--runs", type=int, default=100_000)
    parser.add_argument("--depth", type=int, default=12)
    parser.add_argument("--max-states", type=int, default=400_000)
    parser.add_argument("--workers", type=int, default=os.cpu_count())
    parser.add_argument("--plot")
    options = parser.parse_args()
    {
        "faults": run_faults,
        "handover": measure_handovers,
        "spurious": count_spurious_handovers,
        "overhead": measure_overhead,
        "simulate": simulate_leases,
        "explore": explore_all,
        "membership": simulate_membership,
        "fleet": measure_fleet,
    }[options.what](options)


if __name__ == "__main__":
    main()

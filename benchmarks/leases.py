"""Duties under faults: two at once never, hand-overs, false ones, cost; on real processes, and simulated.

python benchmarks/leases.py drills [--faults 1000]      3, 5 and 9 processes; then each defence left
out python benchmarks/leases.py handover [--plot FILE]      time without a holder after a kill,
stop, cut, planned end python benchmarks/leases.py false                       hand-overs that
nothing caused, at 0, 10, 30 in 100 lost python benchmarks/leases.py cost
processor and 99th percentile with and without, paired python benchmarks/leases.py days [--runs
100000]        simulated days with drifting clocks python benchmarks/leases.py explore [--depth 14]
every order of events, to a depth python benchmarks/leases.py scale                       fellows:
simulated, the same objects python benchmarks/leases.py sockets                     thirty processes
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

DEFENCES = {
    "check": [],
    "silence": [],
    "margin": ["--rates", "1.1,0.9,1.1", "--drift", "0.2"],
    "busy": [],
    "fence": [],
}


def quantile(values, part):
    values = sorted(values)
    return values[min(int(part * len(values)), len(values) - 1)] if values else float("nan")


def drill(gateways, seconds, seed, *more):
    out = subprocess.run(
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
            *more,
        ],
        capture_output=True,
        text=True,
    )
    return json.loads(out.stdout) if out.stdout else {"failed": out.stderr[-500:]}


def drills(said):
    """At least so many faults; sizes side by side, as each is mostly idle."""
    each = said.faults / 3 * 0.4 + 5
    with ProcessPoolExecutor(3) as pool:
        found = [*pool.map(drill, (3, 5, 9), (each,) * 3, (101, 102, 103))]
    for gateways, result in zip((3, 5, 9), found):
        print(f"{gateways} processes: {result}")
    print(
        f"faults in all {sum(result['faults'] for result in found)}, "
        f"objections {sum(len(result['wrong']) for result in found)}"
    )
    for off, more in DEFENCES.items():
        for seed in range(1, 13):
            result = drill(3, 30, seed, "--without", off, *more)
            if result.get("wrong"):
                break
        print(
            f"without {off}: {len(result['wrong'])} objections, seed {seed}: {(result['wrong'] or ['none'])[0]}"
        )


def handed(job):
    """Times without an act after one sort of fault, at one lease and loss; an act comes each 50 ms."""
    lease, loss, sort, times = job
    spans = []
    fleet = Fleet(7, 3, lease=lease, each=0.05, period=0.3)
    try:
        fleet.start()
        fleet.held(10)
        fleet.weather("lose", loss)
        for _ in range(times):
            fleet.until(2.2 * lease + 0.5)
            if not fleet.held(10):
                break
            before, changes = fleet.holder(), len(fleet.changes())
            fleet.befall(Fault(0, int(2.5 * lease * SECOND), sort, (before,)))
            if fleet.until(8 * lease + 3, lambda: fleet.holder() == before):
                spans.append(fleet.changes()[changes][1] / SECOND)
            fleet.until(2.5 * lease)
        return spans, fleet.wrong()
    finally:
        fleet.close()


def handover(said):
    """Over lease lengths and loss. Fleets of mostly idle processes run side by side."""
    rows = {}
    jobs = [
        (lease, loss, sort, said.times)
        for lease, loss in ((0.5, 0.0), (1.0, 0.0), (2.0, 0.0), (1.0, 0.1), (1.0, 0.3))
        for sort in ("kill", "stop", "cut", "end")
    ]
    with ProcessPoolExecutor(10) as pool:
        for (lease, loss, sort, _), (spans, objections) in zip(jobs, pool.map(handed, jobs)):
            rows[lease, loss, sort] = spans
            print(
                f"lease {lease} s, loss {loss:3}: {sort:5} n={len(spans):3} median {quantile(spans, 0.5):.3f} "
                f"longest {max(spans, default=0):.3f} s without a holder; objections {len(objections)}",
                flush=True,
            )
    if said.plot:
        plot(rows, said.plot)


def plot(rows, path):
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4), sharey=True)
    for axis, chosen, label in (
        (axes[0], [key for key in rows if key[1] == 0.0], "lease {0} s"),
        (axes[1], [key for key in rows if key[0] == 1.0], "loss {1}"),
    ):
        for sort, mark in zip(("kill", "stop", "cut", "end"), "os^x"):
            for n, key in enumerate(key for key in chosen if key[2] == sort):
                axis.scatter(
                    [n + 0.12 * ["kill", "stop", "cut", "end"].index(sort)] * len(rows[key]),
                    rows[key],
                    marker=mark,
                    s=12,
                    color=f"C{['kill', 'stop', 'cut', 'end'].index(sort)}",
                    label=sort if not n else None,
                )
        names = [label.format(*key) for key in chosen if key[2] == "kill"]
        axis.set_xticks(range(len(names)), names)
        axis.grid(axis="y", alpha=0.3)
    axes[0].set_ylabel("seconds without a holder")
    axes[0].legend(title="after")
    figure.tight_layout()
    figure.savefig(path)


def undisturbed(job):
    loss, seconds = job
    fleet = Fleet(9, 5, lease=1.0, each=0.05)
    try:
        fleet.start()
        fleet.held(10)
        fleet.weather("lose", loss)
        before, begun = len(fleet.changes()), fleet.event_loop.now
        fleet.until(seconds)
        hours = (fleet.event_loop.now - begun) / SECOND / 3600
        many = len(fleet.changes()) - before
        gone = sum(" gone, was" in line for line in fleet.logs())
        return (
            f"loss {loss}: {many} hand-overs in {hours * 3600:.0f} s, {many / hours:.0f} an hour at a lease of "
            f"1 s; fellows held gone {gone}; objections {len(fleet.wrong())}"
        )
    finally:
        fleet.close()


def false(said):
    with ProcessPoolExecutor(3) as pool:
        for line in pool.map(undisturbed, [(loss, said.seconds) for loss in (0.0, 0.1, 0.3)]):
            print(line, flush=True)


def cost(said):
    """Three gateways under load, with fellows and duties and without, in turn."""
    pairs = []
    for pair in range(said.times):
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
                fleet.run(said.seconds)
                took = sorted(
                    ask.answers[0][0] - ask.sent
                    for client in fleet.clients
                    for ask in client.book
                    if ask.answers
                )
                row[name] = (
                    sum(each.program.processor_time() for each in fleet.gateways.values()),
                    quantile(took, 0.99) / 10,
                    len(took),
                )
            finally:
                fleet.close()
        pairs.append(row)
        print(
            {name: tuple(round(value, 3) for value in values) for name, values in row.items()},
            flush=True,
        )
    for n, what in enumerate(("processor", "99th percentile")):
        ratios = sorted(row["with"][n] / row["without"][n] for row in pairs)
        print(
            f"{what}: with over without, median {quantile(ratios, 0.5):.3f} ({ratios[0]:.3f} to {ratios[-1]:.3f})"
        )


def some_days(first, many):
    wrong, held, acts, refused = [], 0, 0, 0
    for seed in range(first, first + many):
        day = draw_scenario(
            seed, (3, 5)[seed % 2], disk=seed % 3 == 0, drift=(0.01, 0.05)[seed % 5 == 0]
        )
        world = World(day)
        wrong += [(seed, line) for line in world.run()]
        held, acts, refused = (
            held + len(world.handovers),
            acts + world.action_count,
            refused + world.refused_count,
        )
    return wrong, held, acts, refused


def days(said):
    begun, step = time.time(), 500
    with ProcessPoolExecutor(said.workers) as pool:
        found = [*pool.map(some_days, range(0, said.runs, step), [step] * (said.runs // step))]
    print(
        f"{said.runs} simulated days, {time.time() - begun:.0f} s: {sum(each[1] for each in found)} times in office, "
        f"{sum(each[2] for each in found)} acts, {sum(each[3] for each in found)} refused by their fence, "
        f"objections {sum((each[0] for each in found), [])[:3] or 0}"
    )


def explored(job):
    depth, held, off, most = job
    begun = time.time()
    return explore(depth, 1, off, held, most), time.time() - begun


def explored_all(said):
    jobs = [(said.depth + 2, False, "", said.most), (said.depth - 4, True, "", said.most)]
    jobs += [(said.depth - 2, True, off, said.most) for off in ("silence", "busy", "before")]
    with ProcessPoolExecutor(said.workers) as pool:
        for (depth, held, off, _), (one, took) in zip(jobs, pool.map(explored, jobs)):
            print(
                f"from {'a holder' if held else 'the start'}{', without ' + off if off else ''}: depth "
                f"{len(one.by_depth) - 1}, {one.state_count} states ({one.states_with_holder} with a holder), {took:.0f} s: "
                f"{'; '.join(one.counterexample) or 'nothing found'}",
                flush=True,
            )


def scale(said):
    from corkgauge.model.membership import measure_membership

    for many in (3, 30, 200, 1000):
        print(measure_membership(many), flush=True)


def sockets(said):
    """Thirty processes: time to a common view from the first start, letters a second, and after one is killed."""
    import resource

    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8192), hard))
    fleet = Fleet(3, 30, lease=2.0, engines=1, period=0.5)
    names, dead = [*fleet.gateways], "n30"

    def seen(name, state):
        return sum(
            each["state"] == state for each in fleet.asked(name, "/fellows")["fellows"].values()
        )

    try:
        fleet.start()
        fleet.until(2)
        while any(seen(name, "alive") < 30 for name in (names[0], names[14], names[29])):
            fleet.until(0.5)
        print(
            f"30 processes: all see 30 others (the judge among them) {(fleet.event_loop.now - fleet.begun) / SECOND:.1f} s "
            "after the first start"
        )
        before = [fleet.asked(name, "/fellows")["counters"]["sent"] for name in names[:5]]
        begun = fleet.event_loop.now
        fleet.until(10)
        after = [fleet.asked(name, "/fellows")["counters"]["sent"] for name in names[:5]]
        print(
            f"letters of fellows and duties a second and gateway, five of them: "
            f"{[round((b - a) / ((fleet.event_loop.now - begun) / SECOND), 1) for a, b in zip(before, after)]}"
        )
        fleet.befall(Fault(0, 60 * SECOND, "kill", (dead,)))
        begun = fleet.event_loop.now
        while any(
            fleet.asked(name, "/fellows")["fellows"][dead]["state"] != "gone" for name in names[:3]
        ):
            fleet.until(0.2)
        print(
            f"three that were asked all hold a killed one gone {(fleet.event_loop.now - begun) / SECOND:.1f} s after"
        )
        print(f"objections {len(fleet.wrong())}, holder {fleet.holder()}")
    finally:
        fleet.close()


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "what",
        choices=["drills", "handover", "false", "cost", "days", "explore", "scale", "sockets"],
    )
    parser.add_argument("--faults", type=int, default=1000)
    parser.add_argument("--times", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--runs", type=int, default=100_000)
    parser.add_argument("--depth", type=int, default=12)
    parser.add_argument("--most", type=int, default=400_000)
    parser.add_argument("--workers", type=int, default=os.cpu_count())
    parser.add_argument("--plot")
    said = parser.parse_args()
    {
        "drills": drills,
        "handover": handover,
        "false": false,
        "cost": cost,
        "days": days,
        "explore": explored_all,
        "scale": scale,
        "sockets": sockets,
    }[said.what](said)


if __name__ == "__main__":
    main()

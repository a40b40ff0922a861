"""Machines taken out for work, under faults: on real processes, and simulated with the same objects.

python benchmarks/maintenance.py drills [--faults 1000]   3, 5 and 9 processes, 12 to 24 engines; each
defence left out python benchmarks/maintenance.py night [--plot FILE]      a whole fleet taken through
work, on sockets, paired by seed python benchmarks/maintenance.py sizes [--plot FILE]      the same,
simulated at 24, 80, 200 and 1,000 engines python benchmarks/maintenance.py alone
serving with every fellow lost, and without works, paired python benchmarks/maintenance.py times
from ask to out and to back, and after the planner's death python benchmarks/maintenance.py cold
work sent to four engines that return at once, summed python benchmarks/maintenance.py days [--runs 20000]
simulated days of the agreement python benchmarks/maintenance.py order                    against the best
of all orders, on small fleets
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
from corkgauge.testkit.fleet.maintenance_day import AIMS, MaintenanceDay, aimed
from corkgauge.testkit.fleet.processes import Fault, Fleet
from corkgauge.testkit.seeded_random import SeededRandom

WORTH = {"lookup": 1.0, "report": 8.0, "load": 2.0, "once": 2.0}


def quantile(values, part):
    values = sorted(values)
    return values[min(int(part * len(values)), len(values) - 1)] if values else float("nan")


def day(job):
    gateways, engines, seconds, seed = job
    return MaintenanceDay(seed, gateways, engines, seconds, gap=0.4, each=1.0).run()


def drills(said):
    """At least so many faults; the sizes side by side, as their processes mostly wait."""
    seconds = said.faults / 6 * 0.4 + 5
    jobs = [
        (3, 12, seconds, 201),
        (3, 18, seconds, 202),
        (5, 18, seconds, 203),
        (5, 24, seconds, 204),
        (9, 24, seconds, 205),
        (9, 12, seconds, 206),
    ]
    with ProcessPoolExecutor(len(jobs)) as pool:
        found = [*pool.map(day, jobs)]
    for job, result in zip(jobs, found):
        print(f"{job[0]} processes, {job[1]} engines: {result}", flush=True)
    print(
        f"faults in all {sum(result['faults'] for result in found)}, works {sum(r['works'] for r in found)}, "
        f"objections {sum(len(r['wrong']) + len(r['rules']) + len(r['duties']) for r in found)}",
        flush=True,
    )
    with ProcessPoolExecutor(6) as pool:
        jobs = [(at, off) for at in AIMS for off in (False, True)]
        for (at, off), wrong in zip(jobs, pool.map(_aimed, jobs)):
            print(
                f"{'without' if off else 'with'} {at}: {len(wrong)} objections{': ' + wrong[0] if wrong else ''}"
            )


def _aimed(job):
    return aimed(*job, 5, 3)


class Hard(MaintenanceCrew):
    """Its machines are down while it works; by itself it asks nobody."""

    def work(self, work):
        for tag in work.members:
            if tag in self.fleet.engines:
                self.fleet.engines[tag].begin("refuse", 0.0)
        super().work(work)

    def end(self, work):
        for tag in work.members:
            if tag in self.fleet.engines:
                self.fleet.engines[tag].end()
        super().end(work)


def a_night(job):
    """24 engines and 5 gateways under load, every engine worked on once: earnings, time, worst second by offering."""
    seed, policy = job
    works = {"each": 0.2, "grant": 1.0, "patience": 0.5, "most": 6, "share": 0.3, "room": 0.6}
    fleet = Fleet(
        seed, 5, engines=24, lease=1.0, cold=1.0, clients=15, rate=900.0, disk=False, works=works
    )
    crew = Hard(fleet, lasting=1.5, seed=seed)
    names = [*fleet.engines]
    try:
        fleet.start()
        crew.wish({"do": "known", "out": []})
        fleet.until(6)
        begun = fleet.event_loop.now
        if policy == "works":
            for zone in "hall-a", "hall-b":
                crew.ask("hall", zone)
            fleet.until(90, lambda: not crew.over(24))
        elif policy != "none":
            from corkgauge.testkit.checkers.maintenance import Work

            queues = {
                "alone": [names[n::4] for n in range(4)],
                "fixed": [names[n::3] for n in range(3)],
                "at once": [names[n::8] for n in range(8)],
            }[policy]

            def next_of(queue):
                if queue:
                    work = Work(queue[0], "x", (queue.pop(0),), fleet.event_loop.now)
                    crew.wish = lambda *_: fleet.event_loop.call_later(
                        int(0.2 * SECOND), next_of, queue
                    )
                    crew.work(work)

            for queue in queues:
                next_of(queue)
            fleet.until(90, lambda: len([each for each in crew.book if each.ended >= 0]) < 24)
        else:
            fleet.until(20)
        over = fleet.event_loop.now
        fleet.until(1.5)
        crew.stopped = True
        fleet.settle()
        earned = possible = 0.0
        seconds: dict[tuple[str, int], list[int]] = {}
        for client in fleet.clients:
            for ask in client.book:
                if begun <= ask.sent < over:
                    worth, good = (
                        WORTH[ask.want.request_class],
                        bool(ask.answers) and ask.answers[0][1] == 1,
                    )
                    possible += worth
                    earned += worth * good
                    row = seconds.setdefault(
                        (ask.want.request_class, (ask.sent - begun) // SECOND), [0, 0]
                    )
                    row[0] += 1
                    row[1] += good
        worst = {}
        for (request_class, _), (many, good) in seconds.items():
            if many >= 5:
                worst[request_class] = max(worst.get(request_class, 0.0), 1 - good / many)
        return {
            "policy": policy,
            "seed": seed,
            "lost": 1 - earned / possible,
            "seconds": (over - begun) / SECOND,
            "worst": worst,
            "rules": fleet.broken(2_500)[:3],
            "works": len(crew.book),
        }
    finally:
        fleet.close()


def night(said):
    policies, rows = ("works", "alone", "fixed", "at once"), []
    jobs = [(seed, policy) for seed in range(said.times) for policy in policies]
    with ProcessPoolExecutor(2) as pool:
        for row in pool.map(a_night, jobs):
            rows.append(row)
            print(
                {
                    name: round(value, 4) if isinstance(value, float) else value
                    for name, value in row.items()
                },
                flush=True,
            )
    for policy in policies:
        mine = [row for row in rows if row["policy"] == policy]
        worst = {
            name: round(quantile([row["worst"].get(name, 0.0) for row in mine], 0.5), 2)
            for name in WORTH
        }
        print(
            f"{policy}: earnings lost {quantile([row['lost'] for row in mine], 0.5):.4f} "
            f"({min(row['lost'] for row in mine):.4f} to {max(row['lost'] for row in mine):.4f}), "
            f"{quantile([row['seconds'] for row in mine], 0.5):.1f} s, worst second by offering {worst}"
        )
    if said.plot:
        plot(
            {
                policy: [(row["seconds"], row["lost"]) for row in rows if row["policy"] == policy]
                for policy in policies
            },
            said.plot,
            "seconds for the whole fleet",
            "on sockets, 24 engines, 5 gateways",
        )


def simulated(job):
    engines, policy, seed = job
    return engines, seed, MaintenanceRun(seed, engines, policy).run()


def sizes(said):
    rows = []
    jobs = [
        (engines, policy, seed)
        for engines in (24, 80, 200, 1000)
        for policy in POLICIES
        for seed in range(said.times if engines < 1000 else 2)
    ]
    with ProcessPoolExecutor(said.workers) as pool:
        rows = [*pool.map(simulated, jobs)]
    for engines in (24, 80, 200, 1000):
        for policy in POLICIES:
            mine = [row for size, _, row in rows if size == engines and row["policy"] == policy]
            worst = {
                name: round(quantile([row["worst_by"][name] for row in mine], 0.5), 2)
                for name in mine[0]["worst_by"]
            }
            print(
                f"{engines} engines, {policy}: lost {quantile([row['lost'] for row in mine], 0.5):.4f} "
                f"(most {max(row['lost'] for row in mine):.4f}), {quantile([r['hours'] for r in mine], 0.5):.1f} h, "
                f"worst moment {quantile([row['worst'] for row in mine], 0.5):.3f}, by offering {worst}",
                flush=True,
            )
    if said.plot:
        plot(
            {
                policy: [
                    (row["hours"], row["lost"])
                    for size, _, row in rows
                    if size == 200 and row["policy"] == policy
                ]
                for policy in POLICIES
            },
            said.plot,
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
    axis.set_ylabel("earnings lost, in 100")
    axis.set_title(title)
    axis.grid(alpha=0.3)
    axis.legend()
    figure.tight_layout()
    figure.savefig(path)


def served_alone(job):
    """Serving while every fellow is lost, with works on; and without works and fellows."""
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
            fleet.befall(Fault(0, 3600 * SECOND, "cut", (*fleet.gateways,)))
            for way in fleet.to_judge.values():
                way.cut_until = fleet.event_loop.now + 3600 * SECOND
        begun, before = (
            fleet.event_loop.now,
            sum(each.program.processor_time() for each in fleet.gateways.values()),
        )
        fleet.until(seconds)
        used = sum(each.program.processor_time() for each in fleet.gateways.values()) - before
        fleet.settle()
        took = [
            ask.answers[0][0] - ask.sent
            for client in fleet.clients
            for ask in client.book
            if ask.answers and ask.sent >= begun
        ]
        good = [
            bool(ask.answers) and ask.answers[0][1] == 1
            for client in fleet.clients
            for ask in client.book
            if ask.sent >= begun
        ]
        return (
            kind,
            sum(good) / len(good),
            quantile(took, 0.99) / 10,
            used / len(good) * 1000,
            fleet.broken(2_500),
        )
    finally:
        fleet.close()


def alone(said):
    rows = {}
    for seed in range(said.times):
        for kind in ("without", "lost", "with") if seed % 2 else ("with", "lost", "without"):
            name, good, late, used, rules = served_alone((seed, kind, said.seconds))
            rows.setdefault(name, []).append((good, late, used))
            print(
                f"{name}: honoured {good:.4f}, 99th percentile {late:.1f} ms, processor {used:.3f} ms each, "
                f"rules {rules[:2]}",
                flush=True,
            )
    for name in "lost", "with":
        for n, what in enumerate(("honoured", "99th percentile", "processor")):
            ratios = sorted(one[n] / other[n] for one, other in zip(rows[name], rows["without"]))
            print(
                f"{what}, {name} over without: median {quantile(ratios, 0.5):.3f} "
                f"({ratios[0]:.3f} to {ratios[-1]:.3f})"
            )


def timed(job):
    """From ask to out, from done to back; and from the planner's death to a planner that leads."""
    seed, times = job
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
    crew = MaintenanceCrew(fleet, lasting=0.1, seed=seed)
    out, back, led = [], [], []
    try:
        fleet.start()
        crew.wish({"do": "known", "out": []})
        fleet.until(4)
        for n in range(times):
            many = len(crew.book)
            id_ = crew.ask("engine", f"e{1 + n % 6}")
            if not fleet.until(20, lambda: len(crew.book) == many):
                continue
            out.append((crew.book[-1].begun - crew.asked[id_]) / SECOND)
            fleet.until(20, lambda: crew.book[-1].ended < 0)
            fleet.until(20, lambda: bool(crew.seen.get("units", [1])))
            back.append((fleet.event_loop.now - crew.book[-1].ended) / SECOND)
            if n % 3 == 2:
                planner, begun = crew.seen["holder"], fleet.event_loop.now
                fleet.befall(Fault(0, 3 * SECOND, "kill", (planner,)))
                crew.seen = {}
                fleet.until(
                    15, lambda: crew.seen.get("state") != "leading" and not crew.seen.get("fresh")
                )
                led.append((fleet.event_loop.now - begun) / SECOND)
                fleet.until(4)
        return out, back, led
    finally:
        fleet.close()


def times(said):
    with ProcessPoolExecutor(4) as pool:
        found = [*pool.map(timed, [(seed, said.times) for seed in range(8)])]
    for name, n in (
        ("ask to out", 0),
        ("done to back (cold 0.2 s)", 1),
        ("planner's death to a plan told", 2),
    ):
        values = [value for each in found for value in each[n]]
        print(
            f"{name}: n={len(values)} median {quantile(values, 0.5):.2f} s, 99th percentile "
            f"{quantile(values, 0.99):.2f} s, longest {max(values, default=0):.2f} s"
        )


def returned(job):
    """Work sent to four engines that return together, by all gateways, against what they can do cold, over time."""
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
    crew = Hard(fleet, lasting=1.0, seed=seed)
    names = ["e1", "e2", "e3", "e4"]
    try:
        fleet.start()
        crew.wish({"do": "known", "out": []})
        fleet.until(5)
        if together == "works":
            crew.ask("engine", *names)
            fleet.until(20, lambda: len([work for work in crew.book if work.ended >= 0]) < 4)
        else:
            for name in names:
                fleet.engines[name].begin("refuse", 0.0)
            fleet.until(1.0)
            for name in names:
                fleet.engines[name].end()
            fleet.renewed(names)
        begun = fleet.event_loop.now
        fleet.until(9)
        crew.stopped = True
        fleet.settle()
        share, _, multiple, fall = fleet.stakes.cold
        worst = 0.0
        for name in names:
            sent = [
                (run.came, run.work)
                for run in fleet.engines[name].book
                if begun <= run.came < begun + 8 * SECOND
            ]
            for came, _ in sent:
                work = sum(each for when, each in sent if came <= when < came + fall)
                worst = max(
                    worst, work / (multiple * share * fleet.engines[name].cores * fall / 10)
                )
        return together, worst, fleet.broken(2_500)
    finally:
        fleet.close()


def cold(said):
    jobs = [(seed, kind) for seed in range(said.times) for kind in ("works", "each alone")]
    with ProcessPoolExecutor(2) as pool:
        for kind, worst, rules in pool.map(returned, jobs):
            print(
                f"{kind}: at most {worst:.3f} of what makes a cold engine fall; rules {rules[:2]}",
                flush=True,
            )


def some_days(first, many):
    bad, steps, over, late = [], 0, 0, 0
    for seed in range(first, first + many):
        world = PlanWorld(draw_plan_scenario(seed))
        bad += [(seed, line) for line in world.run()]
        steps, over, late = (
            steps + world.agreed_step_count,
            over + world.takeover_count,
            late + world.late_notice_count,
        )
    return bad, steps, over, late


def days(said):
    begun, step = time.time(), 250
    with ProcessPoolExecutor(said.workers) as pool:
        found = [*pool.map(some_days, range(0, said.runs, step), [step] * (said.runs // step))]
    print(
        f"{said.runs} simulated days, {time.time() - begun:.0f} s: {sum(each[1] for each in found)} steps agreed, "
        f"plan taken over {sum(each[2] for each in found)} times, heard late by one replaced "
        f"{sum(each[3] for each in found)}, objections {sum((each[0] for each in found), [])[:3] or 0}"
    )


def listed(order, ground_of, lasting):
    """Units one after the other as they fit, in this order: lateness and core-seconds are compared by the caller."""
    now, out, waiting, ends = 0, [], [*order], {}
    while waiting or out:
        started = True
        while started:
            started = False
            for unit in waiting:
                if not ground_of({tag for _, tags in out for tag in tags}).find_wait_reason(
                    unit, with_load=False
                ):
                    out.append((now + lasting[unit.name], unit.members))
                    ends[unit.name] = now + lasting[unit.name]
                    waiting.remove(unit)
                    started = True
                    break
        now = min(end for end, _ in out)
        out = [each for each in out if each[0] > now]
    return ends


def order(said):
    """Sum of lateness and time for all, against the best of all permutations."""
    worse = []
    for seed in range(said.times * 10):
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
                due_ticks=(60 + chance.below(120)) if chance.within(0.4) else 2**62,
                queue_position=n,
            )
            for n in range(6)
        ]
        lasting = {unit.name: unit.duration_ticks for unit in units}

        def ground_of(away):
            return CapacitySnapshot(DisruptionLimits(2, 0.5, 1.0, 1.0), engines, (), away)

        def cost(ends):
            late = sum(
                max(ends[unit.name] - unit.due_ticks, 0) for unit in units if unit.due_ticks < 2**62
            )
            return (
                late,
                max(ends.values()),
                sum(ends[unit.name] * engines[unit.name].cores for unit in units),
            )

        best = min(cost(listed(each, ground_of, lasting)) for each in permutations(units))
        least = min(cost(listed(each, ground_of, lasting))[1] for each in permutations(units))
        from corkgauge.maintenance.schedule import grant_order

        mine = cost(
            listed(
                grant_order(units, {tag: each.cores for tag, each in engines.items()}),
                ground_of,
                lasting,
            )
        )
        assert select_grants(ground_of(set()), units).granted
        worse.append((mine[0] - best[0], mine[1] / least))
    late = [each for each, _ in worse]
    print(
        f"{len(worse)} fleets of 6: no later than the best order in {sum(not each for each in late)}, median excess "
        f"lateness {quantile(late, 0.5)}, most {max(late)}; time for all over the shortest: median "
        f"{quantile([each for _, each in worse], 0.5):.3f}, most {max(each for _, each in worse):.3f}"
    )


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "what", choices=["drills", "night", "sizes", "alone", "times", "cold", "days", "order"]
    )
    parser.add_argument("--faults", type=int, default=1000)
    parser.add_argument("--times", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--runs", type=int, default=20_000)
    parser.add_argument("--workers", type=int, default=os.cpu_count())
    parser.add_argument("--plot")
    said = parser.parse_args()
    {
        "drills": drills,
        "night": night,
        "sizes": sizes,
        "alone": alone,
        "times": times,
        "cold": cold,
        "days": days,
        "order": order,
    }[said.what](said)


if __name__ == "__main__":
    main()

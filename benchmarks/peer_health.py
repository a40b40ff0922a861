"""Findings shared among gateways: what they earn, how fast they spread, what they cost.

python benchmarks/peer_health.py fail [--times 3]    engines fail, on sockets, paired by seed: shared,
not, known at once python benchmarks/peer_health.py spread              simulated with the same objects:
3 to 200 gateways python benchmarks/peer_health.py lies                liars, and cuts, on sockets,
against nothing shared python benchmarks/peer_health.py merge               a thousand findings merged,
against a plain list python benchmarks/peer_health.py sums [--faults 200] work sent to cold engines over
faults, against the rule
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
from corkgauge.testkit.fleet.processes import Fault, Fleet, drawn
from corkgauge.testkit.seeded_random import SeededRandom

WORTH = {"lookup": 1.0, "report": 8.0, "load": 2.0, "once": 2.0}
SHARED = {"each": 0.2, "octets": 8000}
TROUBLES = {"silent": 0.0, "slow": 8.0, "error": 1.0}


def quantile(values, part):
    values = sorted(values)
    return values[min(int(part * len(values)), len(values) - 1)] if values else float("nan")


def earned(fleet, since, until):
    good = possible = 0.0
    for client in fleet.clients:
        for ask in client.book:
            if since <= ask.sent < until:
                worth = WORTH[ask.want.request_class]
                possible += worth
                good += worth * (bool(ask.answers) and ask.answers[0][1] == 1)
    return good / possible


def failing(job):
    """Earnings lost while so many engines fail, with findings shared, without, or known to all at once by the list."""
    seed, how, trouble, many = job
    fleet = Fleet(
        seed,
        5,
        engines=12,
        lease=2.0,
        clients=15,
        rate=150.0,
        shared=SHARED if how == "shared" else None,
    )
    bad = [f"e{1 + (5 * n + seed) % 12}" for n in range(many)]
    try:
        fleet.start()
        fleet.until(6)
        begun = fleet.event_loop.now
        for name in bad:
            fleet.engines[name].begin(trouble, TROUBLES[trouble])
        if how == "known":
            fleet.listed(bad, "DELETED")
        fleet.until(8)
        for name in bad:
            fleet.engines[name].end()
        if how == "known":
            fleet.listed(bad)
        fleet.until(4)
        over = fleet.event_loop.now
        fleet.settle()
        tried = sum(
            begun < run.came < begun + 8 * SECOND
            for name in bad
            for run in fleet.engines[name].book
        )
        return how, trouble, many, 1 - earned(fleet, begun, over), tried, fleet.broken(2_500)[:2]
    finally:
        fleet.close()


def fail(said):
    rows = {}
    jobs = [
        (seed, how, trouble, many)
        for trouble in TROUBLES
        for many in (1, 3, 6)
        for seed in range(said.times)
        for how in ("shared", "apart", "known")
    ]
    with ProcessPoolExecutor(said.workers) as pool:
        for how, trouble, many, lost, tried, rules in pool.map(failing, jobs):
            rows.setdefault((trouble, many, how), []).append((lost, tried))
            if rules:
                print(trouble, many, how, rules)
    for trouble in TROUBLES:
        for many in (1, 3, 6):
            print(
                f"{trouble}, {many} of 12: "
                + "; ".join(
                    f"{how} lost {100 * quantile([lost for lost, _ in rows[trouble, many, how]], 0.5):.2f} in 100, "
                    f"{quantile([tried for _, tried in rows[trouble, many, how]], 0.5)} hand-offs there"
                    for how in ("apart", "shared", "known")
                ),
                flush=True,
            )


def spread(said):
    jobs = [
        (many, engines, bad, loss, sharing)
        for many, engines in ((3, 24), (30, 80), (80, 80), (200, 80))
        for bad in (1, engines // 2)
        for loss in (0.0, 0.3)
        for sharing in (True, False)
        if sharing or not loss
    ]
    jobs.append((200, 1000, 50, 0.0, True))
    with ProcessPoolExecutor(said.workers) as pool:
        for row in pool.map(_measured, jobs):
            print(row, flush=True)


def _measured(job):
    return measure_report_spread(*job)


def lying(job):
    seed, how = job
    shared = None if how == "apart" else SHARED
    fleet = Fleet(seed, 5, engines=12, lease=2.0, clients=15, rate=150.0, shared=shared)
    if how == "liars":
        for name in "n1", "n3":
            fleet.gateways[name].program.start_with = (
                "-m",
                "corkgauge.testkit.faults.disabled_safeguards",
                "liar",
                "1.0",
            )
    try:
        fleet.start()
        fleet.until(5)
        begun = fleet.event_loop.now
        if how == "cut":
            fleet.befall(Fault(0, 6 * SECOND, "part", ("n1", "n2")))
        fleet.until(12)
        over = fleet.event_loop.now
        fleet.settle()
        return how, 1 - earned(fleet, begun, over), fleet.broken(2_500)[:2]
    finally:
        fleet.close()


def lies(said):
    rows = {}
    jobs = [
        (seed, how) for seed in range(said.times) for how in ("apart", "shared", "liars", "cut")
    ]
    with ProcessPoolExecutor(said.workers) as pool:
        for how, lost, rules in pool.map(lying, jobs):
            rows.setdefault(how, []).append(lost)
            if rules:
                print(how, rules)
    for how, lost in rows.items():
        print(
            f"{how}: lost {100 * quantile(lost, 0.5):.2f} in 100 ({100 * min(lost):.2f} to {100 * max(lost):.2f})"
        )


def merge(said):
    """A thousand findings of 200 witnesses on 1,000 engines, merged and looked up, against a list that is searched."""
    chance = SeededRandom(3)
    rows = [
        [f"n{chance.below(200)}", 1, n + 1, 0, f"e{chance.below(1000)}", 1, 4, 0, 0]
        for n in range(1000)
    ]

    def ours():
        findings = HealthReports("me", 1)
        findings.merge(0, rows)
        return sum(len([*findings.reports_on(f"e{n}")]) for n in range(1000))

    def plain():
        held = []
        for row in rows:
            at = next(
                (n for n, each in enumerate(held) if (each[0], each[4]) == (row[0], row[4])), -1
            )
            if at < 0:
                held.append(row)
            elif held[at][1:3] < row[1:3]:
                held[at] = row
        return sum(len([each for each in held if each[4] == f"e{n}"]) for n in range(1000))

    assert ours() == plain()
    for name, method in (("indexed", ours), ("plain list", plain)):
        times = []
        for _ in range(5):
            begun = time.perf_counter()
            method()
            times.append(time.perf_counter() - begun)
        print(f"{name}: {1000 * min(times):.2f} ms for 1,000 merged and 1,000 engines looked up")


def summed(job):
    """Engines return cold again and again under faults; what all gateways send there, over what makes one fall."""
    seed, off, seconds = job
    names = [f"n{n}" for n in range(1, 6)]
    fleet = Fleet(
        seed,
        5,
        engines=12,
        lease=1.0,
        cold=4.0,
        clients=6,
        rate=250.0,
        shared=SHARED,
        faults=drawn(seed, names, seconds, 0.4, 2.0),
        off="leases" if off else "none",
    )
    chance, worst = SeededRandom(seed), 0.0
    renewals = []

    def renew():
        some = [f"e{1 + chance.below(12)}" for _ in range(4)]
        some = [*dict.fromkeys(some)]
        fleet.renewed(some)
        renewals.append((fleet.event_loop.now, some))
        fleet.event_loop.call_later(5 * SECOND, renew)

    try:
        fleet.start()
        fleet.event_loop.call_later(4 * SECOND, renew)
        fleet.until(seconds)
        share, span, multiple, fall = fleet.stakes.cold
        for begun, some in renewals:
            for name in some:
                sent = [
                    (run.came, run.work)
                    for run in fleet.engines[name].book
                    if begun <= run.came < begun + span
                ]
                for came, _ in sent:
                    work = sum(each for when, each in sent if came <= when < came + fall)
                    worst = max(
                        worst, work / (multiple * share * fleet.engines[name].cores * fall / 10)
                    )
        passed = 0
        for name in names:
            try:
                passed += fleet.asked(name, "/shared")["counters"].get("turns passed on", 0)
            except OSError:
                pass
        return off, fleet.befallen, worst, passed
    finally:
        fleet.close()


def sums(said):
    seconds = said.faults / 4 * 0.4 + 5
    jobs = [(seed, False, seconds) for seed in (1, 2, 3, 4)] + [
        (seed, True, min(seconds, 40)) for seed in (1, 2)
    ]
    with ProcessPoolExecutor(len(jobs)) as pool:
        for off, faults, worst, passed in pool.map(summed, jobs):
            print(
                f"{'leases ignored' if off else 'as it is'}: {faults} faults, turns passed on {passed}, at most "
                f"{worst:.2f} of what makes a cold engine fall: {'OBJECTION' if worst > 1 else 'kept'}",
                flush=True,
            )


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=["fail", "spread", "lies", "merge", "sums"])
    parser.add_argument("--times", type=int, default=3)
    parser.add_argument("--faults", type=int, default=1000)
    parser.add_argument("--workers", type=int, default=4)
    said = parser.parse_args()
    {"fail": fail, "spread": spread, "lies": lies, "merge": merge, "sums": sums}[said.what](said)


if __name__ == "__main__":
    main()

"""What memory over a restart is worth and costs: by hand, on an idle machine.

    python benchmarks/recovery.py kills --count 500     the real program killed so often mid-write, under load
    python benchmarks/recovery.py labels                labelled ones sent outside their group after kills, with
                                                      the log of open effects and without
    python benchmarks/recovery.py gain --runs 10        a restart while one engine is ten times slow, one silent
    python benchmarks/recovery.py wrong --runs 10       the same, where all that was remembered is wrong
    python benchmarks/recovery.py cost --runs 4         serving without it, with it, and synced for power cuts
    python benchmarks/recovery.py fleet --runs 10       one of three gateways restarts; all of a fleet whose engines were
                                                      replaced under new ids: cold against recalled, paired by seed
    python benchmarks/recovery.py start                 time of a start with 1,000 engines remembered

Socket figures of this machine against its own stand-ins.
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
from corkgauge.testkit.emulators.clients import Want  # noqa: E402
from corkgauge.testkit.faults.script import read  # noqa: E402
from corkgauge.testkit.fleet.day import Day  # noqa: E402
from corkgauge.testkit.fleet.processes import Fault, Fleet  # noqa: E402

NAMES = [f"e{n}" for n in range(1, 7)]
FILE = '<operator version="1">{recall}</operator>'
RECALL = '<recall folder="{folder}/recall" each="0.1" durability="%s"/>'
LOADS = [
    Want("load", 0.7, 2_000, 15.0, labelled=True, ordered=True),
    Want("lookup", 0.3, 1_500, 8.0),
]
EARNS = {"lookup": 1.0, "report": 8.0, "load": 2.0, "once": 2.0}
AIMS = {"lookup": 200, "report": 500, "load": 400, "once": 300}


def operator(recall, durability="process"):
    return FILE.replace("{recall}", RECALL % durability if recall else "")


def kills_of(count, seed):
    """One lane: killed each 0.5 s. Starts, those that recalled, and lines that should not be."""
    script = "".join(f"at {1 + 0.5 * n:.2f}: program kill\n" for n in range(count))
    play = Day(seed, read(script, NAMES), engines=6, rate=150, scrapes=0, operator=operator(True))
    try:
        play.run(1.5 + 0.5 * count, drain=1.0)
        log, killed, broken = play.program.log(), len(play.program.kills), play.broken(2500)
    finally:
        play.close()
    return (
        killed,
        sum("serving as" in line for line in log),
        sum("recall: engines=" in line for line in log),
        sum("recall: effects=" in line for line in log),
        [line for line in log if "passed over" in line or "has " in line or "exceptions" in line],
        broken,
    )


def kills(count, lanes=4):
    with ProcessPoolExecutor(lanes) as pool:
        found = [*pool.map(kills_of, [count // lanes] * lanes, range(1, lanes + 1))]
    for n, name in enumerate(
        ("kills", "starts", "starts with a valid snapshot", "starts with open effects")
    ):
        print(f"{name:30} {sum(each[n] for each in found)}")
    wrong, broken = ([line for each in found for line in each[n]] for n in (4, 5))
    print(f"files that were no use         {len(wrong)}", *wrong[:5], sep="\n")
    print(f"rules broken                   {len(broken)}", *broken[:5], sep="\n")


def labels_of(recall, seed):
    script = "at 0.1 for 20: all slow 12\n" + "".join(
        f"at {n}: program kill\n" for n in range(1, 11)
    )
    play = Day(
        seed,
        read(script, NAMES),
        engines=6,
        rate=200,
        scrapes=0,
        operator=operator(recall),
        group="zone",
        retries=True,
        wants=LOADS,
        clients=12,
    )
    try:
        play.run(11, drain=3.0)
        broken = play.broken(2500)
        again = sum(len(labels) > 1 for labels in retried(play).values())
    finally:
        play.close()
    return (
        again,
        [line for line in broken if line.startswith("effect")],
        [line for line in broken if not line.startswith("effect")],
    )


def retried(play):
    found = {}
    for client in play.clients:
        for ask in client.book:
            if ask.label:
                found.setdefault(ask.label, []).append(ask)
    return found


def labels(runs):
    for recall in True, False:
        with ProcessPoolExecutor(4) as pool:
            found = [*pool.map(labels_of, [recall] * runs, range(1, runs + 1))]
        print(
            f"log of effects {'on ' if recall else 'off'}: {sum(each[0] for each in found)} labels asked "
            f"again after kills, {sum(len(each[1]) for each in found)} ran outside their group, "
            f"{sum(len(each[2]) for each in found)} other rules broken"
        )


def gain_of(recall, seed, wrong, rate):
    """Earnings lost in the 10 s after a restart, of what was asked for then."""
    troubles = "at 0.1 for 30: e1 slow 10\nat 0.1 for 30: e4 silent\n"
    if wrong:  # until the restart only: then all engines are others
        troubles = "at 0.1 for 7.9: e1 slow 10\nat 0.1 for 7.9: e4 silent\n"
    play = Day(
        seed,
        read(troubles + "at 8: program kill", NAMES),
        engines=6,
        rate=250,
        scrapes=0,
        hangs_up=0.0,
        gives_up=0.0,
        operator=operator(recall),
    )
    begun = play.event_loop.now
    try:
        play.run(18.5, drain=2.0)
    finally:
        play.close()
    asked = earned = 0.0
    for client in play.clients:
        for ask in client.book:
            if begun + 8.2 * SECOND <= ask.sent < begun + 18.2 * SECOND:
                worth = EARNS[ask.want.request_class]
                asked += worth
                if ask.answers and ask.answers[0][1] == 1:
                    aim = 10 * (AIMS[ask.want.request_class] + 2 * ask.want.work)
                    earned += worth * (1.0 if ask.answers[0][0] - ask.sent <= aim else 0.3)
    return 1 - earned / max(asked, 1e-9)


def gain(runs, rate, wrong=False):
    with ProcessPoolExecutor(4) as pool:
        seeds = range(1, runs + 1)
        cold = [*pool.map(gain_of, [False] * runs, seeds, [wrong] * runs, [rate] * runs)]
        warm = [*pool.map(gain_of, [True] * runs, seeds, [wrong] * runs, [rate] * runs)]
    for name, found in ("cold", cold), ("recalled", warm):
        print(
            f"{name:9} lost in the 10 s after it: median {100 * statistics.median(found):.2f} in 100 "
            f"({100 * min(found):.2f} to {100 * max(found):.2f})"
        )
    pairs = sorted(a - b for a, b in zip(cold, warm))
    print(
        f"cold less recalled, pair by pair: median {100 * statistics.median(pairs):+.2f} "
        f"({100 * pairs[0]:+.2f} to {100 * pairs[-1]:+.2f}) in 100"
    )


def cost_of(sort):
    play = Day(
        5,
        (),
        engines=6,
        rate=300,
        scrapes=0,
        gives_up=0.0,
        hangs_up=0.0,
        wants=LOADS,
        clients=24,
        operator=operator(sort != "off", sort),
    )
    used = []
    play.event_loop.call_later(
        int(7.5 * SECOND), lambda: used.append(play.program.processor_time())
    )
    try:
        play.run(8, drain=1.0)
        log, tally = play.program.log()[-1], play.tally()
    finally:
        play.close()
    spans = sorted(
        ask.answers[0][0] - ask.sent
        for client in play.clients
        for ask in client.book
        if ask.answers
    )
    return (
        tally["served"] / 8,
        used[0] / tally["served"] * 1e6,
        spans[int(0.99 * len(spans))] / 10,
        int(log.rpartition("worst_turn=")[2]) / 10,
    )


def cost(runs):
    found = {"off": [], "process": [], "machine": []}
    for _ in range(runs):
        for sort, several in found.items():
            several.append(cost_of(sort))
    print(f"{runs} runs of 8 s, in turn, seven in ten labelled; medians")
    print("durability  served a second  us a submission  99th percentile ms  longest turn ms")
    for sort, several in found.items():
        columns = [statistics.median(each[n] for each in several) for n in range(4)]
        print(
            f"{sort:10} {columns[0]:16.1f} {columns[1]:16.0f} {columns[2]:19.1f} {columns[3]:16.1f}"
        )
    for sort in "process", "machine":
        ratios = sorted(each[1] / was[1] for each, was in zip(found[sort], found["off"]))
        print(
            f"{sort}: processor time over off, pair by pair: {statistics.median(ratios):.3f} "
            f"({ratios[0]:.3f} to {ratios[-1]:.3f})"
        )


def restarted(job):
    """Earnings lost in the seconds after a restart, with one engine ten times slow and one silent."""
    seed, which, recalled = job
    fleet = Fleet(
        seed,
        3,
        engines=8,
        lease=2.0,
        clients=12,
        rate=420.0,
        recall={"each": "0.2"} if recalled else None,
    )
    try:
        fleet.start()
        fleet.until(3)
        fleet.engines["e2"].begin("slow", 10.0)
        fleet.engines["e5"].begin("silent", 0.0)
        fleet.until(5)
        whom = ("n1",) if which == "one of three" else ("n1", "n2", "n3")
        if which == "replaced":
            for name in ("e1", "e3", "e4", "e6"):  # the list names the same machines anew
                for gateway, feed in fleet.feeds.items():
                    other = fleet.reached(gateway, name)
                    other.name = name + "b"
                    feed.told([other])
                    feed.told([fleet.reached(gateway, name)], "DELETED")
        begun = fleet.event_loop.now
        fleet.befall(Fault(0, 500, "kill", whom))
        fleet.until(6)
        over = fleet.event_loop.now
        fleet.settle()
        good = possible = 0.0
        for n, client in enumerate(fleet.clients):
            if f"n{1 + n % 3}" in whom:
                for ask in client.book:
                    if begun + 4_000 <= ask.sent < over:
                        possible += EARNS[ask.want.request_class]
                        served = bool(ask.answers) and ask.answers[0][1] == 1
                        good += (
                            EARNS[ask.want.request_class]
                            * served
                            * (
                                ask.answers[0][0] - ask.sent <= 10 * AIMS[ask.want.request_class]
                                if served
                                else 0
                            )
                        )
        return which, recalled, 1 - good / possible
    finally:
        fleet.close()


def fleet_of(runs):
    rows = {}
    for which in "one of three", "replaced":
        jobs = [(seed, which, recalled) for seed in range(runs) for recalled in (False, True)]
        with ProcessPoolExecutor(3) as pool:
            for _, recalled, lost in pool.map(restarted, jobs):
                rows.setdefault((which, recalled), []).append(lost)
        pairs = sorted(cold - warm for cold, warm in zip(rows[which, False], rows[which, True]))
        cold, warm = (100 * statistics.median(rows[which, recalled]) for recalled in (False, True))
        print(
            f"{which}: not in time after the restart, cold {cold:.2f} in 100 of earnings, recalled {warm:.2f}; "
            f"cold less recalled, pair by pair, median {100 * statistics.median(pairs):.2f} "
            f"({100 * pairs[0]:.2f} to {100 * pairs[-1]:.2f})",
            flush=True,
        )


def start():
    from corkgauge.recovery import learned_state, snapshot
    from tests.harness import HostHarness, endpoint_list_event

    rows = [{"id": f"e{n}", "addr": f"127.0.{n // 250}.9:{n % 250 + 1}"} for n in range(1000)]
    socket_host = HostHarness(events=[endpoint_list_event(1, *rows)]).socket_host
    for engine in socket_host.gateway.engines:
        engine.stats.slowness_samples.extend([1.5] * 8)
        engine.stats.fault_history.extend([""] * 8)
    begun = time.perf_counter()
    copies = learned_state.copy_learned_state(socket_host.gateway)
    copied = time.perf_counter()
    named = learned_state.encode_learned_state(copies)
    middle = time.perf_counter()
    data = snapshot.encode({"gateway": "n", "mark": 1, "at": socket_host.now, **named})
    made = time.perf_counter()
    with tempfile.NamedTemporaryFile() as file:
        file.write(data)
        file.flush()
        again = HostHarness(events=[endpoint_list_event(1, *rows)]).socket_host
        before = time.perf_counter()
        with open(file.name, "rb") as source:
            said = snapshot.decode(source.read(), "n", 1)
        counts = learned_state.restore_learned_state(
            said, again.gateway, again.request_classes, again.now, 0
        )
        read_ = time.perf_counter()
    steps = ", ".join(
        f"{1000 * span:.1f}" for span in (copied - begun, middle - copied, made - middle)
    )
    print(
        f"{len(data)} octets; copied, named and packed in {steps} ms, a turn each; read, aged, given to "
        f"the module in {1000 * (read_ - before):.1f} ms: {counts}"
    )


if __name__ == "__main__":
    said = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    said.add_argument(
        "what", choices=["kills", "labels", "gain", "wrong", "cost", "fleet", "start"]
    )
    said.add_argument("--count", type=int, default=500)
    said.add_argument("--runs", type=int, default=10)
    said.add_argument("--rate", type=float, default=250.0)
    asked = said.parse_args()
    {
        "kills": lambda: kills(asked.count),
        "labels": lambda: labels(asked.runs),
        "gain": lambda: gain(asked.runs, asked.rate),
        "fleet": lambda: fleet_of(asked.runs),
        "wrong": lambda: gain(asked.runs, asked.rate, True),
        "cost": lambda: cost(asked.runs),
        "start": start,
    }[asked.what]()

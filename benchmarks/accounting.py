"""What the figures cost: by hand, on an idle machine.

    python benchmarks/accounting.py pass                 the second book at 10,000 open, step by step
    python benchmarks/accounting.py scrape               a scrape of 1,000 engines, piece by piece
    python benchmarks/accounting.py sketches             sketches of the registry, by memory and cost of an entry
    python benchmarks/accounting.py load --base REV      the real program, now and as it was, in turn
    python benchmarks/accounting.py start --base REV     memory after the start

The figures of `load` and `start` are socket figures of this machine against its own stand-ins.
"""

import argparse
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path
from random import Random

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from corkgauge.accounting import counter_names  # noqa: E402
from corkgauge.accounting.auditor import SLICE_RECORD_COUNT  # noqa: E402
from tests.test_accounting import AuditedLedger, Record  # noqa: E402


def books(open_, engines):
    made = AuditedLedger(SLICE_RECORD_COUNT)
    made.engine_rows = [made.ledger.get_engine_row(f"e{n}") for n in range(engines)]
    for n in range(open_):
        made.send(made.accept(n % 2), n % engines)
    return made


def spans(steps):
    """Milliseconds of each step."""
    found, last = [], time.perf_counter()
    for _ in steps:
        now = time.perf_counter()
        found.append((now - last) * 1000)
        last = time.perf_counter()
    return found


def second_book():
    print("open   engines  steps  longest step ms  pass ms  all in one turn ms")
    for open_, engines in (100, 6), (1_000, 100), (10_000, 100), (10_000, 1_000), (20_000, 1_000):
        made, longest, whole, plain = books(open_, engines), [], [], []
        for _ in range(15):
            steps = spans(made.auditor._run_pass())
            longest.append(max(steps))
            whole.append(sum(steps))
            begun = time.perf_counter()
            made.auditor.run_whole_pass()
            plain.append((time.perf_counter() - begun) * 1000)
        assert not made.discrepancies.by_kind_and_row
        print(
            f"{open_:6} {engines:7} {len(steps):6} {statistics.median(longest):12.2f} "
            f"{statistics.median(whole):12.2f} {statistics.median(plain):12.2f}"
        )
    made, count = books(0, 6), 100_000
    entries = [Record(made.rows[0]) for _ in range(count)]
    hands = [Record(None, made.engine_rows[0], entry) for entry in entries]
    for name, act in (
        ("taken", lambda n: made.ledger.record_accepted(entries[n])),
        (
            "handed off",
            lambda n: made.ledger.record_attempt_sent(hands[n], counter_names.AttemptKind.FIRST),
        ),
        ("hand-off over", lambda n: made.ledger.record_attempt_finished(hands[n], 1)),
        (
            "closed",
            lambda n: made.ledger.record_closed(
                entries[n], counter_names.EndReason.WITHIN_OBJECTIVE
            ),
        ),
    ):
        begun = time.perf_counter()
        for n in range(count):
            act(n)
        print(f"{name:14} {(time.perf_counter() - begun) / count * 1e6:.2f} us an entry")


def scrape():
    from corkgauge.accounting import exposition
    from corkgauge.accounting.json_text import json_chunks
    from corkgauge.accounting.snapshot import add_audit, take_snapshot

    made = books(10_000, 1_000)
    begun = time.perf_counter()
    cut = add_audit(
        take_snapshot(made.ledger, 1, "n1", {"id": "x", "started": 1}), made.discrepancies, 1
    )
    print(f"cut of 1,000 engines      {(time.perf_counter() - begun) * 1000:.2f} ms")
    for name, pieces in (
        ("Prometheus text", exposition.text_chunks(cut)),
        ("JSON", json_chunks(cut)),
    ):
        steps, size = [], 0
        last = time.perf_counter()
        for piece in pieces:
            size += len(piece)
            steps.append((time.perf_counter() - last) * 1000)
            last = time.perf_counter()
        steps.sort()
        print(
            f"{name:16} {size:8} bytes in {len(steps)} pieces, the longest {steps[-1]:.2f} ms, "
            f"median {statistics.median(steps):.3f} ms, all {sum(steps):.1f} ms"
        )


def sketches():
    from ddsketch import DDSketch

    kinds = {
        "ddsketch, 1 in 100": lambda: DDSketch(0.01),
        "ddsketch, 2 in 100": lambda: DDSketch(0.02),
    }
    try:
        from hdrh.histogram import HdrHistogram

        kinds["hdrhistogram, 2 digits"] = lambda: HdrHistogram(1, 600_000, 2)
    except ImportError:
        print("hdrhistogram is not installed: left out")
    draw = Random(1)
    spans_ = [int(draw.lognormvariate(6, 1.2)) + 1 for _ in range(100_000)]
    true = sorted(spans_)[99_000]
    for name, make in kinds.items():
        tracemalloc.start()
        sketch = make()
        add = getattr(sketch, "record_value", None) or sketch.add
        for span in spans_[:5000]:
            add(span)
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        begun = time.perf_counter()
        for span in spans_:
            add(span)
        took = (time.perf_counter() - begun) / len(spans_) * 1e6
        found = (
            sketch.get_quantile_value(0.99)
            if hasattr(sketch, "get_quantile_value")
            else (sketch.get_value_at_percentile(99))
        )
        print(
            f"{name:24} {took:.2f} us an entry, {held} bytes, 99th percentile off by "
            f"{found / true - 1:+.3f}"
        )


def tree_of(base, folder):
    """A worktree of an earlier revision."""
    path = Path(folder) / "before"
    subprocess.run(
        ["git", "-C", ROOT, "worktree", "add", "--detach", path, base],
        check=True,
        capture_output=True,
    )
    return path


def one_load(tree, seconds, rate, operator):
    from corkgauge.testkit.fleet.day import Day

    play = Day(
        5,
        (),
        rate=rate,
        scrapes=10 if operator else 0,
        gives_up=0.0,
        hangs_up=0.0,
        **({} if operator else {"operator": ""}),
    )
    play.program.tree = str(tree)
    if tree != ROOT:
        play.program.arguments = ["serve"]
    used = []
    play.event_loop.call_later(
        int((seconds - 0.5) * 10_000), lambda: used.append(play.program.processor_time())
    )
    try:
        play.run(seconds, drain=1.0)
        log = play.program.log()[-1]
        tally = play.tally()
    finally:
        play.close()
    turn = int(log.rpartition("worst_turn=")[2]) / 10
    return used[0] / max(tally["served"], 1) * 1e6, turn, tally["served"] / max(tally["asked"], 1)


def load(base, runs, seconds, rate):
    with tempfile.TemporaryDirectory() as folder:
        before = tree_of(base, folder)
        try:
            found = {"before": [], "now": [], "now, scraped 10 a second": []}
            for _ in range(runs):
                found["before"].append(one_load(before, seconds, rate, False))
                found["now"].append(one_load(ROOT, seconds, rate, False))
                found["now, scraped 10 a second"].append(one_load(ROOT, seconds, rate, True))
        finally:
            subprocess.run(["git", "-C", ROOT, "worktree", "remove", "--force", before], check=True)
    print(f"{runs} runs of {seconds} s at {rate} a second, in turn; medians (least to most)")
    for name, several in found.items():
        columns = []
        for n, form in enumerate(
            ("{:.0f} us of processor a submission", "longest turn {:.1f} ms", "served {:.3f}")
        ):
            values = sorted(each[n] for each in several)
            columns.append(
                f"{form.format(statistics.median(values))} ({values[0]:.3g} to {values[-1]:.3g})"
            )
        print(f"{name:26} {'; '.join(columns)}")
    for name in [*found][1:]:
        ratios = sorted(each[0] / was[0] for each, was in zip(found[name], found["before"]))
        print(
            f"{name}: processor time over before, pair by pair: {statistics.median(ratios):.3f} "
            f"({ratios[0]:.3f} to {ratios[-1]:.3f})"
        )


def start(base, runs):
    from corkgauge.testkit.fleet.day import settings
    from corkgauge.testkit.fleet.gateway_process import GatewayProcess
    from corkgauge.testkit.fleet.ports import free_port

    with tempfile.TemporaryDirectory() as folder:
        before = tree_of(base, folder)
        try:
            for name, tree in ("before", before), ("now", ROOT):
                held = []
                for _ in range(runs):
                    program = GatewayProcess(
                        folder,
                        {
                            "name": "n",
                            "listen": f"127.0.0.1:{free_port()}",
                            "feed": "127.0.0.1:1",
                            "settings": settings(),
                        },
                        tree=str(tree),
                    )
                    if tree != ROOT:
                        program.arguments = ["serve"]
                    program.start()
                    time.sleep(1.0)
                    held.append(program.memory())
                    program.end()
                print(f"{name:8} {statistics.median(held) / 2**20:.2f} MB after the start")
        finally:
            subprocess.run(["git", "-C", ROOT, "worktree", "remove", "--force", before], check=True)


if __name__ == "__main__":
    said = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    said.add_argument("what", choices=["pass", "scrape", "sketches", "load", "start"])
    said.add_argument("--base", default="HEAD~1")
    said.add_argument("--runs", type=int, default=5)
    said.add_argument("--seconds", type=float, default=10.0)
    said.add_argument("--rate", type=float, default=300.0)
    asked = said.parse_args()
    {
        "pass": second_book,
        "scrape": scrape,
        "sketches": sketches,
        "load": lambda: load(asked.base, asked.runs, asked.seconds, asked.rate),
        "start": lambda: start(asked.base, asked.runs),
    }[asked.what]()

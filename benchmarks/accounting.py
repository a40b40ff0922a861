"""Measures the cost of accounting; run on an idle machine.

Usage:

    python benchmarks/accounting.py audit
        an audit pass over up to 20,000 open records, by step
    python benchmarks/accounting.py scrape
        a scrape of 1,000 engines, by chunk
    python benchmarks/accounting.py sketches
        memory and time per entry of quantile sketches
    python benchmarks/accounting.py load --base REV
        serving with this version and an earlier one, in turn
    python benchmarks/accounting.py memory --base REV
        memory after the start, in both versions

The results of `load` and `memory` are measured on sockets, with emulated clients and engines on the
same machine.
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


def make_ledger(record_count, engine_count):
    ledger_harness = AuditedLedger(SLICE_RECORD_COUNT)
    ledger_harness.engine_rows = [
        ledger_harness.ledger.get_engine_row(f"e{n}") for n in range(engine_count)
    ]
    for n in range(record_count):
        ledger_harness.send(ledger_harness.accept(n % 2), n % engine_count)
    return ledger_harness


def step_durations_ms(steps):
    """Return the milliseconds that each step takes."""
    durations, last = [], time.perf_counter()
    for _ in steps:
        now = time.perf_counter()
        durations.append((now - last) * 1000)
        last = time.perf_counter()
    return durations


def measure_audit():
    print("open   engines  steps  longest step ms  pass ms  in a single turn ms")
    for record_count, engine_count in (
        (100, 6),
        (1_000, 100),
        (10_000, 100),
        (10_000, 1_000),
        (20_000, 1_000),
    ):
        ledger_harness, longest_ms, pass_ms, single_turn_ms = (
            make_ledger(record_count, engine_count),
            [],
            [],
            [],
        )
        for _ in range(15):
            steps = step_durations_ms(ledger_harness.auditor._run_pass())
            longest_ms.append(max(steps))
            pass_ms.append(sum(steps))
            started_at = time.perf_counter()
            ledger_harness.auditor.run_whole_pass()
            single_turn_ms.append((time.perf_counter() - started_at) * 1000)
        assert not ledger_harness.discrepancies.by_kind_and_row
        print(
            f"{record_count:6} {engine_count:7} {len(steps):6} "
            f"{statistics.median(longest_ms):12.2f} "
            f"{statistics.median(pass_ms):12.2f} {statistics.median(single_turn_ms):12.2f}"
        )
    ledger_harness, count = make_ledger(0, 6), 100_000
    request_records = [Record(ledger_harness.rows[0]) for _ in range(count)]
    attempt_records = [
        Record(None, ledger_harness.engine_rows[0], entry) for entry in request_records
    ]
    for name, operation in (
        ("accepted", lambda n: ledger_harness.ledger.record_accepted(request_records[n])),
        (
            "sent",
            lambda n: ledger_harness.ledger.record_attempt_sent(
                attempt_records[n], counter_names.AttemptKind.FIRST
            ),
        ),
        (
            "finished",
            lambda n: ledger_harness.ledger.record_attempt_finished(attempt_records[n], 1),
        ),
        (
            "closed",
            lambda n: ledger_harness.ledger.record_closed(
                request_records[n], counter_names.EndReason.WITHIN_OBJECTIVE
            ),
        ),
    ):
        started_at = time.perf_counter()
        for n in range(count):
            operation(n)
        print(f"{name:14} {(time.perf_counter() - started_at) / count * 1e6:.2f} us per record")


def measure_scrape():
    from corkgauge.accounting import exposition
    from corkgauge.accounting.json_text import encode_json_chunks
    from corkgauge.accounting.snapshot import add_audit, take_snapshot

    ledger_harness = make_ledger(10_000, 1_000)
    started_at = time.perf_counter()
    snapshot = add_audit(
        take_snapshot(ledger_harness.ledger, 1, "n1", {"id": "x", "started": 1}),
        ledger_harness.discrepancies,
        1,
    )
    print(f"snapshot of 1,000 engines {(time.perf_counter() - started_at) * 1000:.2f} ms")
    for name, chunks in (
        ("Prometheus text", exposition.render_text_chunks(snapshot)),
        ("JSON", encode_json_chunks(snapshot)),
    ):
        steps, size = [], 0
        last = time.perf_counter()
        for chunk in chunks:
            size += len(chunk)
            steps.append((time.perf_counter() - last) * 1000)
            last = time.perf_counter()
        steps.sort()
        print(
            f"{name:16} {size:8} bytes in {len(steps)} chunks, longest {steps[-1]:.2f} ms, "
            f"median {statistics.median(steps):.3f} ms, total {sum(steps):.1f} ms"
        )


def compare_sketches():
    from ddsketch import DDSketch

    kinds = {
        "ddsketch, 1 in 100": lambda: DDSketch(0.01),
        "ddsketch, 2 in 100": lambda: DDSketch(0.02),
    }
    try:
        from hdrh.histogram import HdrHistogram

        kinds["hdrhistogram, 2 digits"] = lambda: HdrHistogram(1, 600_000, 2)
    except ImportError:
        print("hdrhistogram is not installed; skipping it")
    random = Random(1)
    latencies = [int(random.lognormvariate(6, 1.2)) + 1 for _ in range(100_000)]
    true_value = sorted(latencies)[99_000]
    for name, create in kinds.items():
        tracemalloc.start()
        sketch = create()
        add = getattr(sketch, "record_value", None) or sketch.add
        for latency in latencies[:5000]:
            add(latency)
        memory_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        started_at = time.perf_counter()
        for latency in latencies:
            add(latency)
        microseconds = (time.perf_counter() - started_at) / len(latencies) * 1e6
        estimate = (
            sketch.get_quantile_value(0.99)
            if hasattr(sketch, "get_quantile_value")
            else (sketch.get_value_at_percentile(99))
        )
        print(
            f"{name:24} {microseconds:.2f} us per entry, {memory_bytes} bytes, relative error of "
            f"the 99th percentile "
            f"{estimate / true_value - 1:+.3f}"
        )


def add_worktree(base, folder):
    """Create a worktree of an earlier revision; return its path."""
    path = Path(folder) / "before"
    subprocess.run(
        ["git", "-C", ROOT, "worktree", "add", "--detach", path, base],
        check=True,
        capture_output=True,
    )
    return path


def run_load(tree, seconds, rate, operator):
    from corkgauge.testkit.fleet.day import GatewayScenario

    scenario = GatewayScenario(
        5,
        (),
        rate=rate,
        scrapes=10 if operator else 0,
        gives_up=0.0,
        hangs_up=0.0,
        **({} if operator else {"operator": ""}),
    )
    scenario.program.tree = str(tree)
    if tree != ROOT:
        scenario.program.arguments = ["serve"]
    cpu_seconds = []
    scenario.event_loop.call_later(
        int((seconds - 0.5) * 10_000), lambda: cpu_seconds.append(scenario.program.processor_time())
    )
    try:
        scenario.run(seconds, drain=1.0)
        log = scenario.program.log()[-1]
        tally = scenario.tally()
    finally:
        scenario.close()
    longest_turn_ms = int(log.rpartition("worst_turn=")[2]) / 10
    return (
        cpu_seconds[0] / max(tally["served"], 1) * 1e6,
        longest_turn_ms,
        tally["served"] / max(tally["asked"], 1),
    )


def compare_load(base, runs, seconds, rate):
    with tempfile.TemporaryDirectory() as folder:
        before = add_worktree(base, folder)
        try:
            results = {"before": [], "now": [], "now, 10 scrapes per second": []}
            for _ in range(runs):
                results["before"].append(run_load(before, seconds, rate, False))
                results["now"].append(run_load(ROOT, seconds, rate, False))
                results["now, 10 scrapes per second"].append(run_load(ROOT, seconds, rate, True))
        finally:
            subprocess.run(["git", "-C", ROOT, "worktree", "remove", "--force", before], check=True)
    print(
        f"{runs} runs of {seconds} s at {rate} requests per second, in turn; medians (minimum to "
        f"maximum)"
    )
    for name, measurements in results.items():
        columns = []
        for n, template in enumerate(
            ("processor {:.0f} us per request", "longest turn {:.1f} ms", "served {:.3f}")
        ):
            values = sorted(measurement[n] for measurement in measurements)
            columns.append(
                f"{template.format(statistics.median(values))} ({values[0]:.3g} to "
                f"{values[-1]:.3g})"
            )
        print(f"{name:26} {'; '.join(columns)}")
    for name in [*results][1:]:
        ratios = sorted(
            measurement[0] / baseline[0]
            for measurement, baseline in zip(results[name], results["before"])
        )
        print(
            f"{name}: processor time over before, by pair: {statistics.median(ratios):.3f} "
            f"({ratios[0]:.3f} to {ratios[-1]:.3f})"
        )


def compare_memory(base, runs):
    from corkgauge.testkit.fleet.day import settings
    from corkgauge.testkit.fleet.gateway_process import GatewayProcess
    from corkgauge.testkit.fleet.ports import free_port

    with tempfile.TemporaryDirectory() as folder:
        before = add_worktree(base, folder)
        try:
            for name, tree in ("before", before), ("now", ROOT):
                memory_bytes = []
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
                    memory_bytes.append(program.memory())
                    program.end()
                print(f"{name:8} {statistics.median(memory_bytes) / 2**20:.2f} MB after the start")
        finally:
            subprocess.run(["git", "-C", ROOT, "worktree", "remove", "--force", before], check=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=["audit", "scrape", "sketches", "load", "memory"])
    parser.add_argument("--base", default="HEAD~1")
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rate", type=float, default=300.0)
    options = parser.parse_args()
    {
        "audit": measure_audit,
        "scrape": measure_scrape,
        "sketches": compare_sketches,
        "load": lambda: compare_load(options.base, options.runs, options.seconds, options.rate),
        "memory": lambda: compare_memory(options.base, options.runs),
    }[options.what]()

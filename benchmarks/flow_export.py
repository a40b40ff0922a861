"""Measures the cost of flow export; run on an idle machine.

Usage:

    python benchmarks/flow_export.py encode
        records per second and octets per record, against packing field by field
    python benchmarks/flow_export.py timers
        the timer wheel against a heap, at 10,000 and 100,000 flows
    python benchmarks/flow_export.py buffer
        pending records when 10,000 connections end within one second without a collector
    python benchmarks/flow_export.py load
        serving without export, and with a collector that is reachable, unreachable or does not read
    python benchmarks/flow_export.py zone FILE
        report rows of a scenario in which the engines of one zone are slow

The results of `load` are measured on sockets, with emulated clients and engines on the same
machine.
"""

import argparse
import heapq
import os
import statistics
import struct
import sys
import time
import tracemalloc
from collections import Counter
from pathlib import Path
from random import Random

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from corkgauge.eventloop.loop import SECOND  # noqa: E402
from corkgauge.flow_export import codec  # noqa: E402
from corkgauge.flow_export.counter_deltas import Delta  # noqa: E402
from corkgauge.flow_export.meter import SLOT_COUNT, SLOT_TICKS  # noqa: E402
from corkgauge.flow_export.pending_records import PendingRecords  # noqa: E402
from corkgauge.flow_export.session import Session  # noqa: E402
from corkgauge.flow_export.timer_wheel import TimerWheel  # noqa: E402


def make_deltas(count):
    return [
        Delta(
            n,
            n % 2,
            4,
            bytes((127, 0, n % 250, 1)),
            40_000 + n % 9999,
            bytes((127, 0, 0, 9)),
            9090,
            f"engine-{n % 300:04}",
            f"hall-{n % 3}",
            1_796_148_000_000 + n,
            1_796_148_060_000 + n,
            5000 + n,
            9000,
            2,
        )
        for n in range(count)
    ]


def encode_field_by_field(delta, gateway):
    """Encode one record field by field, for comparison."""
    data = b""
    for field_format, value in (
        ("4s", delta.source),
        ("4s", delta.destination),
        ("H", delta.source_port),
        ("H", delta.destination_port),
        ("B", 6),
        ("B", delta.direction),
        ("B", delta.end_reason),
        ("Q", delta.start_ms),
        ("Q", delta.end_ms),
        ("I", delta.forward_octets),
        ("I", delta.reverse_octets),
    ):
        data += struct.pack("!" + field_format, value)
    for text in gateway, delta.engine, delta.zone:
        data += bytes([len(text)]) + text.encode()
    return data


def measure_encoding():
    count = 50_000
    for kind in codec.LayoutKind:
        session, queue, size = (
            Session(codec.Layout(kind, "n1"), 7, 1400, 0),
            make_deltas(count)[::-1],
            0,
        )
        session.make_template_messages(0, Counter())
        started_at, longest = time.perf_counter(), 0.0
        while queue:
            last = time.perf_counter()
            data, _, remaining = session.make_data_message(
                0, lambda: queue.pop() if queue else None
            )
            if remaining:
                queue.append(remaining)
            longest = max(longest, time.perf_counter() - last)
            size += len(data)
        elapsed = time.perf_counter() - started_at
        print(
            f"{kind:10} {count / elapsed:9.0f} connections per second, {size / count:.1f} octets "
            f"each, "
            f"longest message {longest * 1000:.2f} ms"
        )
    items = make_deltas(count)
    started_at = time.perf_counter()
    size = sum(len(encode_field_by_field(item, "n1")) for item in items)
    elapsed = time.perf_counter() - started_at
    print(
        f"field by field, records only: {count / elapsed:.0f} per second, {size / count:.1f} "
        f"octets each"
    )


class TimerEntry:
    __slots__ = ("due", "is_removed")

    def __init__(self):
        self.due, self.is_removed = 0, False


def compare_timers():
    print("flows    type   add us  remove us   re-add us  longest advance ms")
    for count in 10_000, 100_000:
        for name in "wheel", "heap":
            random, entries = Random(1), [TimerEntry() for _ in range(count)]
            timers = TimerWheel(SLOT_COUNT, SLOT_TICKS) if name == "wheel" else []
            started_at = time.perf_counter()
            for n, item in enumerate(entries):
                due = random.randrange(60 * SECOND)
                if name == "wheel":
                    timers.put(item, due)
                else:
                    heapq.heappush(timers, (due, n, item))
            add_seconds = time.perf_counter() - started_at
            started_at = time.perf_counter()
            for item in entries[: count // 2]:
                if name == "wheel":
                    timers.remove(item)
                else:
                    item.is_removed = True  # a heap keeps removed entries until they are due
            remove_seconds = time.perf_counter() - started_at
            longest, re_add_seconds, re_added_count, serial = 0.0, 0.0, 0, count
            for now in range(0, 61 * SECOND, 500):
                started_at = time.perf_counter()
                due = []
                if name == "wheel":
                    due = [*timers.advance(now)]
                else:
                    while timers and timers[0][0] <= now:
                        _, _, item = heapq.heappop(timers)
                        if not item.is_removed:
                            due.append(item)
                advanced_at = time.perf_counter()
                for item in due:
                    if name == "wheel":
                        timers.put(item, now + 60 * SECOND)
                    else:
                        serial += 1
                        heapq.heappush(timers, (now + 60 * SECOND, serial, item))
                re_add_seconds += time.perf_counter() - advanced_at
                re_added_count += len(due)
                longest = max(longest, advanced_at - started_at)
            print(
                f"{count:7} {name:6} {add_seconds / count * 1e6:6.2f} "
                f"{remove_seconds / (count // 2) * 1e6:8.2f} "
                f"{re_add_seconds / max(re_added_count, 1) * 1e6:12.2f} {longest * 1000:14.2f}"
            )


def measure_buffer():
    for limit_bytes in 65_536, 1_048_576, 8_388_608:
        items = make_deltas(10_000)
        for item in items:
            item.end_reason = 3
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        pending, started_at = PendingRecords(limit_bytes), time.perf_counter()
        for item in items:
            pending.add(item)
        elapsed = (time.perf_counter() - started_at) / len(items) * 1e6
        used_octets = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        print(
            f"limit {limit_bytes:8}: {len(pending)} records for 10,000 connections, "
            f"{pending.merged_record_count} merged, "
            f"{pending.dropped_octets} octets dropped, {elapsed:.1f} us each (traced), "
            f"{used_octets} octets of memory"
        )


def run_load(variant, seconds, rate):
    from corkgauge.testkit.emulators.collector import EmulatedCollector
    from corkgauge.testkit.fleet.day import GatewayScenario

    scenario = GatewayScenario(
        5, (), rate=rate, scrapes=0, gives_up=0.0, hangs_up=0.01, operator=""
    )
    messages = []
    if variant != "none":
        transport = "tcp" if variant == "deaf" else "udp"
        collector = EmulatedCollector(
            scenario.event_loop, transport, lambda message, data: messages.append(message)
        )
        collector.ignores_input = variant == "deaf"
        path = os.path.join(scenario.folder, "operator.xml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(
                '<operator version="1"><flows active="0.25" idle="0.25" memory="262144"><collector '
                f'address="127.0.0.1:{collector.address[1]}" transport="{transport}"/></flows>'
                "</operator>"
            )
        scenario.program.arguments += ["--operator", path]
        if variant == "dead":
            collector.close()
    figures = []

    def record_usage():
        figures.extend((scenario.program.processor_time(), scenario.program.memory() / 2**20))

    scenario.event_loop.call_later(int((seconds - 0.5) * SECOND), record_usage)
    try:
        scenario.run(seconds, drain=1.0)
        log = scenario.program.log()[-1]
        tally = scenario.tally()
    finally:
        scenario.close()
    latencies = sorted(
        (ask.answers[0][0] - ask.sent_at) / 10
        for client in scenario.clients
        for ask in client.requests
        if ask.answers
    )
    return (
        figures[0] / max(tally["served"], 1) * 1e6,
        latencies[int(0.99 * len(latencies))],
        int(log.rpartition("worst_turn=")[2]) / 10,
        tally["served"] / max(tally["asked"] - tally["excused"], 1),
        figures[1],
        sum(len(message.records) for message in messages),
    )


def compare_load(runs, seconds, rate):
    results = {"none": [], "live": [], "dead": [], "deaf": []}
    for _ in range(runs):
        for variant, measurements in results.items():
            measurements.append(run_load(variant, seconds, rate))
    print(
        f"{runs} runs of {seconds} s at {rate} requests per second, in turn; a record every 0.25 "
        f"s; medians"
    )
    print(
        "collector   us per request  99th percentile ms  longest turn ms  served  memory MB  "
        "records"
    )
    for variant, measurements in results.items():
        columns = [statistics.median(item[n] for item in measurements) for n in range(6)]
        print(
            f"{variant:10} {columns[0]:15.0f} {columns[1]:19.1f} {columns[2]:16.1f} "
            f"{columns[3]:7.4f} "
            f"{columns[4]:10.1f} {columns[5]:8.0f}"
        )
    for variant in [*results][1:]:
        for n, name in (0, "processor time"), (1, "99th percentile"):
            ratios = sorted(
                item[n] / baseline[n] for item, baseline in zip(results[variant], results["none"])
            )
            print(
                f"{variant}: {name} over none, by pair: {statistics.median(ratios):.3f} "
                f"({ratios[0]:.3f} to {ratios[-1]:.3f})"
            )


def write_zone_rows(path):
    """Write report rows of 30 s in which the engines of one zone are slow from 10 s to 20 s."""
    import json

    from corkgauge.flow_export.report_rows import rows_from_message
    from corkgauge.testkit.emulators.collector import EmulatedCollector
    from corkgauge.testkit.faults.script import parse_script
    from corkgauge.testkit.fleet.day import GatewayScenario

    scenario = GatewayScenario(
        5,
        parse_script(
            "at 10 for 10: e1 slow 30\nat 10 for 10: e2 slow 30", ["e1", "e2", "e3", "e4"]
        ),
        rate=250,
        scrapes=0,
        operator="",
    )
    rows = []
    collector = EmulatedCollector(
        scenario.event_loop, "udp", lambda message, data: rows.extend(rows_from_message(message))
    )
    operator_path = os.path.join(scenario.folder, "operator.xml")
    with open(operator_path, "w", encoding="utf-8") as file:
        file.write(
            '<operator version="1"><flows active="1" idle="1"><collector transport="udp" '
            f'address="127.0.0.1:{collector.address[1]}"/></flows></operator>'
        )
    scenario.program.arguments += ["--operator", operator_path]
    try:
        scenario.run(30)
    finally:
        scenario.close()
    with open(path, "w", encoding="utf-8") as file:
        for row in rows:
            print(json.dumps(row), file=file)
    print(f"{len(rows)} rows in {path}; corkgauge flows report {path} --span 1 --plot FILE.svg")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=["encode", "timers", "buffer", "load", "zone"])
    parser.add_argument("file", nargs="?", default="rows.json")
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--rate", type=float, default=300.0)
    options = parser.parse_args()
    {
        "encode": measure_encoding,
        "timers": compare_timers,
        "buffer": measure_buffer,
        "zone": lambda: write_zone_rows(options.file),
        "load": lambda: compare_load(options.runs, options.seconds, options.rate),
    }[options.what]()

"""What flow export costs: by hand, on an idle machine.

    python benchmarks/flow_export.py encode     records a second and octets a record, beside a struct loop by field
    python benchmarks/flow_export.py wheel      the timing wheel beside a heap, at 10,000 and 100,000 flows
    python benchmarks/flow_export.py held       a collector down while 10,000 connections end in one second
    python benchmarks/flow_export.py load       the real program: no export; a live, a dead, a deaf collector
    python benchmarks/flow_export.py hall FILE  rows of a day on which one hall's engines slow down

The figures of `load` are socket figures of this machine against its own stand-ins.
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


def deltas(count):
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


def plain(delta, gateway):
    """One record as a loop by field makes it, for comparison."""
    data = b""
    for form, value in (
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
        data += struct.pack("!" + form, value)
    for text in gateway, delta.engine, delta.zone:
        data += bytes([len(text)]) + text.encode()
    return data


def encode():
    count = 50_000
    for kind in codec.LayoutKind:
        session, queue, size = Session(codec.Layout(kind, "n1"), 7, 1400, 0), deltas(count)[::-1], 0
        session.make_template_messages(0, Counter())
        begun, longest = time.perf_counter(), 0.0
        while queue:
            last = time.perf_counter()
            data, _, left = session.make_data_message(0, lambda: queue.pop() if queue else None)
            if left:
                queue.append(left)
            longest = max(longest, time.perf_counter() - last)
            size += len(data)
        took = time.perf_counter() - begun
        print(
            f"{kind:10} {count / took:9.0f} connections a second, {size / count:.1f} octets each, "
            f"the longest message {longest * 1000:.2f} ms"
        )
    some = deltas(count)
    begun = time.perf_counter()
    size = sum(len(plain(each, "n1")) for each in some)
    took = time.perf_counter() - begun
    print(
        f"struct by field, records alone: {count / took:.0f} a second, {size / count:.1f} octets each"
    )


class Entry:
    __slots__ = ("due", "gone")

    def __init__(self):
        self.due, self.gone = 0, False


def wheel():
    print("flows    what   put us  take us  put again us  longest advance ms")
    for count in 10_000, 100_000:
        for name in "wheel", "heap":
            draw, entries = Random(1), [Entry() for _ in range(count)]
            kept = TimerWheel(SLOT_COUNT, SLOT_TICKS) if name == "wheel" else []
            begun = time.perf_counter()
            for n, each in enumerate(entries):
                due = draw.randrange(60 * SECOND)
                if name == "wheel":
                    kept.put(each, due)
                else:
                    heapq.heappush(kept, (due, n, each))
            put = time.perf_counter() - begun
            begun = time.perf_counter()
            for each in entries[: count // 2]:
                if name == "wheel":
                    kept.remove(each)
                else:
                    each.gone = True  # a heap keeps what is gone until it is due
            take = time.perf_counter() - begun
            longest, again, moved, serial = 0.0, 0.0, 0, count
            for now in range(0, 61 * SECOND, 500):
                begun = time.perf_counter()
                due = []
                if name == "wheel":
                    due = [*kept.advance(now)]
                else:
                    while kept and kept[0][0] <= now:
                        _, _, each = heapq.heappop(kept)
                        if not each.gone:
                            due.append(each)
                middle = time.perf_counter()
                for each in due:
                    if name == "wheel":
                        kept.put(each, now + 60 * SECOND)
                    else:
                        serial += 1
                        heapq.heappush(kept, (now + 60 * SECOND, serial, each))
                again += time.perf_counter() - middle
                moved += len(due)
                longest = max(longest, middle - begun)
            print(
                f"{count:7} {name:6} {put / count * 1e6:6.2f} {take / (count // 2) * 1e6:8.2f} "
                f"{again / max(moved, 1) * 1e6:12.2f} {longest * 1000:14.2f}"
            )


def held():
    for memory in 65_536, 1_048_576, 8_388_608:
        some = deltas(10_000)
        for each in some:
            each.end_reason = 3
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        keeps, begun = PendingRecords(memory), time.perf_counter()
        for each in some:
            keeps.add(each)
        took = (time.perf_counter() - begun) / len(some) * 1e6
        table = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        print(
            f"bound {memory:8}: {len(keeps)} records for 10,000 connections, {keeps.merged_flows} merged, "
            f"{keeps.dropped_octets} octets dropped, {took:.1f} us each (traced), {table} octets of tables"
        )


def one_load(sort, seconds, rate):
    from corkgauge.testkit.emulators.collector import EmulatedCollector
    from corkgauge.testkit.fleet.day import Day

    play = Day(5, (), rate=rate, scrapes=0, gives_up=0.0, hangs_up=0.01, operator="")
    heard = []
    if sort != "none":
        transport = "tcp" if sort == "deaf" else "udp"
        collector = EmulatedCollector(
            play.event_loop, transport, lambda message, data: heard.append(message)
        )
        collector.deaf = sort == "deaf"
        path = os.path.join(play.folder, "operator.xml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(
                '<operator version="1"><flows active="0.25" idle="0.25" memory="262144"><collector '
                f'address="127.0.0.1:{collector.address[1]}" transport="{transport}"/></flows>'
                "</operator>"
            )
        play.program.arguments += ["--operator", path]
        if sort == "dead":
            collector.close()
    used = []

    def look():
        used.extend((play.program.processor_time(), play.program.memory() / 2**20))

    play.event_loop.call_later(int((seconds - 0.5) * SECOND), look)
    try:
        play.run(seconds, drain=1.0)
        log = play.program.log()[-1]
        tally = play.tally()
    finally:
        play.close()
    spans = sorted(
        (ask.answers[0][0] - ask.sent) / 10
        for client in play.clients
        for ask in client.book
        if ask.answers
    )
    return (
        used[0] / max(tally["served"], 1) * 1e6,
        spans[int(0.99 * len(spans))],
        int(log.rpartition("worst_turn=")[2]) / 10,
        tally["served"] / max(tally["asked"] - tally["excused"], 1),
        used[1],
        sum(len(message.records) for message in heard),
    )


def load(runs, seconds, rate):
    sorts = {"none": [], "live": [], "dead": [], "deaf": []}
    for _ in range(runs):
        for sort, found in sorts.items():
            found.append(one_load(sort, seconds, rate))
    print(f"{runs} runs of {seconds} s at {rate} a second, in turn; a record each 0.25 s; medians")
    print(
        "collector  us a submission  99th percentile ms  longest turn ms  served  memory MB  records"
    )
    for sort, found in sorts.items():
        columns = [statistics.median(each[n] for each in found) for n in range(6)]
        print(
            f"{sort:10} {columns[0]:15.0f} {columns[1]:19.1f} {columns[2]:16.1f} {columns[3]:7.4f} "
            f"{columns[4]:10.1f} {columns[5]:8.0f}"
        )
    for sort in [*sorts][1:]:
        for n, name in (0, "processor time"), (1, "99th percentile"):
            ratios = sorted(each[n] / was[n] for each, was in zip(sorts[sort], sorts["none"]))
            print(
                f"{sort}: {name} over none, pair by pair: {statistics.median(ratios):.3f} "
                f"({ratios[0]:.3f} to {ratios[-1]:.3f})"
            )


def zone(path):
    """Engines of one hall eight times as slow from the 10th second to the 20th, of 30."""
    import json

    from corkgauge.flow_export.report_rows import rows_from_message
    from corkgauge.testkit.emulators.collector import EmulatedCollector
    from corkgauge.testkit.faults.script import read
    from corkgauge.testkit.fleet.day import Day

    play = Day(
        5,
        read("at 10 for 10: e1 slow 30\nat 10 for 10: e2 slow 30", ["e1", "e2", "e3", "e4"]),
        rate=250,
        scrapes=0,
        operator="",
    )
    rows = []
    collector = EmulatedCollector(
        play.event_loop, "udp", lambda message, data: rows.extend(rows_from_message(message))
    )
    said = os.path.join(play.folder, "operator.xml")
    with open(said, "w", encoding="utf-8") as file:
        file.write(
            '<operator version="1"><flows active="1" idle="1"><collector transport="udp" '
            f'address="127.0.0.1:{collector.address[1]}"/></flows></operator>'
        )
    play.program.arguments += ["--operator", said]
    try:
        play.run(30)
    finally:
        play.close()
    with open(path, "w", encoding="utf-8") as file:
        for row in rows:
            print(json.dumps(row), file=file)
    print(f"{len(rows)} rows in {path}; corkgauge flows report {path} --span 1 --plot FILE.svg")


if __name__ == "__main__":
    said = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    said.add_argument("what", choices=["encode", "wheel", "held", "load", "hall"])
    said.add_argument("file", nargs="?", default="rows.json")
    said.add_argument("--runs", type=int, default=5)
    said.add_argument("--seconds", type=float, default=8.0)
    said.add_argument("--rate", type=float, default=300.0)
    asked = said.parse_args()
    {
        "encode": encode,
        "wheel": wheel,
        "held": held,
        "hall": lambda: zone(asked.file),
        "load": lambda: load(asked.runs, asked.seconds, asked.rate),
    }[asked.what]()

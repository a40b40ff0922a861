"""A hollow fleet in a few processes: it comes to agree, sees a cut and its end, and ends with whoever started it."""

import os
import subprocess
import sys
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from benchmarks.scale_fleet import command, rows_of
from benchmarks.scaling import TooLarge
from corkgauge.eventloop.loop import EventLoop
from corkgauge.testkit.fleet.hollow_fleet import Fleet
from corkgauge.testkit.fleet.hollow_node import CountingSocket

HOME = Path(__file__).resolve().parent.parent
MOST = 60  # seconds until something must have been seen; waited for, not slept


@pytest.fixture
def fleet():
    with Fleet(12, 2) as found:
        found.start()
        found.until_known(MOST)
        yield found


def test_a_hollow_fleet_comes_to_agree_and_sees_a_cut_and_its_end(fleet):
    assert fleet.known() == [15, 15]
    far = fleet.in_zone("z3", "z4")
    near = [name for name in fleet.ports if name not in far]
    assert len(far) == 4 and len(near) == 11
    fleet.cut(far)
    fleet.until_seen(far, False, MOST, of=near)
    fleet.until_seen(near, False, MOST, of=far)
    assert fleet.view(far, True, of=far) == [4, 4]  # those on the same side go on with each other
    assert fleet.view(near, True, of=near) == [11, 11]
    fleet.cut([])
    fleet.until_known(MOST)
    found = fleet.counters()
    assert sum(one["held_back"] for each in found for one in each["members"].values()) > 0
    assert [each["troubles"] for each in found] == [0] * 5


def test_voters_set_aside_vote_and_hold_nothing_and_a_lost_holder_is_replaced(fleet):
    first = fleet.holder("books", MOST)
    assert first in fleet.managers
    fleet.lose([first])
    second = fleet.holder("books", MOST)
    assert second in fleet.managers and second != first
    voters = [each["members"] for each in fleet.counters()[2:]]
    assert [[*each] for each in voters] == [[name] for name in fleet.voters]
    assert all(
        one["duties"] == [] and one["kinds_in"]["duty"] > 0
        for each in voters
        for one in each.values()
    )
    assert fleet.bursts() > 0


def test_a_member_that_ends_in_order_is_known_at_its_next_start_under_the_same_port(fleet):
    one = next(name for name in fleet.managers if name not in fleet.holders())
    fleet.end([one], again=0.5)
    fleet.until("it has ended", lambda: [15 - fleet.known()[1], 1], MOST)
    fleet.until("it is back", lambda: [fleet.known()[1], 15], MOST)
    assert fleet.until_known(MOST) < MOST


def test_the_processes_of_a_fleet_end_with_whoever_started_it():
    said = (
        "import os, signal\nfrom corkgauge.testkit.fleet.hollow_fleet import Fleet\n"
        "fleet = Fleet(2, 2).__enter__()\nfleet.start()\n"
        "print(*(hollow_process.process.pid for hollow_process in fleet.hollow_processes), flush=True)\nos.kill(os.getpid(), signal.SIGKILL)\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", said], cwd=HOME, capture_output=True, text=True, timeout=MOST
    )
    pids = [int(each) for each in done.stdout.split()]
    assert done.returncode == -9 and len(pids) == 5
    until = time.monotonic() + MOST
    while any(_runs(pid) for pid in pids) and time.monotonic() < until:
        os.sched_yield()
    assert [pid for pid in pids if _runs(pid)] == []


def _runs(pid: int) -> bool:
    try:
        with open(f"/proc/{pid}/stat") as file:
            return file.read().rpartition(")")[2].split()[0] not in "ZX"
    except FileNotFoundError:
        return False


def test_a_wire_counts_what_passes_and_holds_back_what_crosses_a_cut():
    one, other, event_loop = CountingSocket(), CountingSocket(), EventLoop()
    other.record_arrivals()
    one.sendto(b"four", ("127.0.0.1", other.port))
    one.sendto(b"more", ("127.0.0.1", other.port))
    one.groups = {other.port: 1}
    one.sendto(b"lost", ("127.0.0.1", other.port))
    assert (one.out, one.octets_out, one.withheld) == (2, 8, 1)
    assert [other.recv(99), other.recv(99)] == [b"four", b"more"]
    assert (other.got, other.octets_in) == (2, 8)
    assert (
        abs(other.arrival_times[0] - event_loop.clock()) < 600_000
    )  # tenths of a millisecond of the date, as a hub has it
    assert other.take_max_burst(600_000) == 2 and other.take_max_burst(600_000) == 0
    with pytest.raises(BlockingIOError):
        other.recv(99)
    one.sendto(b"kept", ("127.0.0.1", one.port + 0))
    one.discard_received()
    with pytest.raises(BlockingIOError):
        one.recv(99)


@pytest.mark.parametrize(
    "noted, most",
    [([], 0), ([5], 1), ([0, 99, 100], 2), ([0, 50, 99, 150, 199], 3), ([300, 0, 10], 2)],
)
def test_the_worst_span_of_arrivals(noted, most):
    wire = CountingSocket()
    wire.record_arrivals()
    wire.arrival_times.extend(noted)
    assert wire.take_max_burst(100) == most


def test_a_fleet_too_large_for_one_machine_is_refused_beforehand():
    done = CliRunner().invoke(command, ["--sizes", "30,5000"])
    assert isinstance(done.exception, TooLarge) and "fleet of 5000" in str(done.exception)


def test_rows_foretell_full_size_from_smaller_sizes_alone_and_tell_the_error():
    runs = [
        {
            "at": size,
            "processes": -(-size // 44),
            "elements": ["duties", "works", "shared"],
            "values": {"fleet.rest.octets": [each, 3 * each]},
        }
        for size, each in ((30, 30.0), (60, 60.0), (100, 100.0), (300, 300.0), (870, 580.0))
    ]
    (row,) = rows_of(runs, 870)
    assert [each["at"] for each in row["points"]] == [30, 60, 100, 300]
    assert abs(row["foretold"]["value"] - 1740) < 1e-6 and row["checked"]["value"] == 1160
    assert abs(row["checked"]["error"] - 0.5) < 1e-6
    assert (
        rows_of([{**each, "processes": 50} for each in runs], 870) == []
    )  # other processes: no part of a slope
    (row,) = rows_of(runs[:3] + runs[4:], 870)
    assert "fit" not in row and row["points"][0]["at"] == 870  # three sizes are no slope
    (row,) = rows_of([{**each, "elements": ["duties", "works"]} for each in runs], 870)
    assert row["key"] == "fleet.rest.octets.without-shared"

"""Fleets of hollow members: convergence, partition, voters, restarts, and the end of processes."""

import os
import subprocess
import sys
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from benchmarks.scale_fleet import build_rows, command
from benchmarks.scaling import TrialTooLargeError
from corkgauge.eventloop.loop import EventLoop
from corkgauge.testkit.fleet.hollow_fleet import Fleet
from corkgauge.testkit.fleet.hollow_node import CountingSocket

HOME = Path(__file__).resolve().parent.parent
TIMEOUT_SECONDS = 60  # of every wait for a state of the fleet


@pytest.fixture
def fleet():
    with Fleet(12, 2) as found:
        found.start()
        found.until_known(TIMEOUT_SECONDS)
        yield found


def test_a_fleet_converges_and_detects_a_partition_and_its_end(fleet):
    assert fleet.known() == [15, 15]
    second_region = fleet.in_zone("z3", "z4")
    first_region = [name for name in fleet.ports if name not in second_region]
    assert len(second_region) == 4 and len(first_region) == 11
    fleet.cut(second_region)
    fleet.until_seen(second_region, False, TIMEOUT_SECONDS, of=first_region)
    fleet.until_seen(first_region, False, TIMEOUT_SECONDS, of=second_region)
    # Members on the same side stay alive to each other.
    assert fleet.view(second_region, True, of=second_region) == [4, 4]
    assert fleet.view(first_region, True, of=first_region) == [11, 11]
    fleet.cut([])
    fleet.until_known(TIMEOUT_SECONDS)
    counters = fleet.counters()
    assert sum(member["held_back"] for each in counters for member in each["members"].values()) > 0
    assert [each["troubles"] for each in counters] == [0] * 5


def test_dedicated_voters_hold_no_lease_and_a_lost_holder_is_replaced(fleet):
    first = fleet.holder("books", TIMEOUT_SECONDS)
    assert first in fleet.managers
    fleet.lose([first])
    second = fleet.holder("books", TIMEOUT_SECONDS)
    assert second in fleet.managers and second != first
    voters = [each["members"] for each in fleet.counters()[2:]]
    assert [[*each] for each in voters] == [[name] for name in fleet.voters]
    assert all(
        member["duties"] == [] and member["kinds_in"]["duty"] > 0
        for each in voters
        for member in each.values()
    )
    assert fleet.bursts() > 0


def test_a_member_that_ended_in_order_rejoins_under_the_same_port(fleet):
    member = next(name for name in fleet.managers if name not in fleet.holders())
    fleet.end([member], again=0.5)
    fleet.until("it has ended", lambda: [15 - fleet.known()[1], 1], TIMEOUT_SECONDS)
    fleet.until("it is back", lambda: [fleet.known()[1], 15], TIMEOUT_SECONDS)
    assert fleet.until_known(TIMEOUT_SECONDS) < TIMEOUT_SECONDS


def test_the_processes_of_a_fleet_end_when_its_starter_is_killed():
    code = (
        "import os, signal\nfrom corkgauge.testkit.fleet.hollow_fleet import Fleet\n"
        "fleet = Fleet(2, 2).__enter__()\nfleet.start()\n"
        "print(*(each.process.pid for each in fleet.hollow_processes), flush=True)\n"
        "os.kill(os.getpid(), signal.SIGKILL)\n"
    )
    starter = subprocess.run(
        [sys.executable, "-c", code],
        cwd=HOME,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
    )
    process_ids = [int(each) for each in starter.stdout.split()]
    assert starter.returncode == -9 and len(process_ids) == 5
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while any(_runs(pid) for pid in process_ids) and time.monotonic() < deadline:
        os.sched_yield()
    assert [pid for pid in process_ids if _runs(pid)] == []


def _runs(pid: int) -> bool:
    try:
        with open(f"/proc/{pid}/stat") as file:
            return file.read().rpartition(")")[2].split()[0] not in "ZX"
    except FileNotFoundError:
        return False


def test_a_socket_counts_datagrams_and_withholds_those_to_other_groups():
    sender, receiver, event_loop = CountingSocket(), CountingSocket(), EventLoop()
    receiver.record_arrivals()
    sender.sendto(b"four", ("127.0.0.1", receiver.port))
    sender.sendto(b"more", ("127.0.0.1", receiver.port))
    sender.groups = {receiver.port: 1}
    sender.sendto(b"lost", ("127.0.0.1", receiver.port))
    assert (sender.out, sender.octets_out, sender.withheld) == (2, 8, 1)
    assert [receiver.recv(99), receiver.recv(99)] == [b"four", b"more"]
    assert (receiver.got, receiver.octets_in) == (2, 8)
    # Arrival times are ticks of the wall clock, as the event loop has them.
    assert abs(receiver.arrival_times[0] - event_loop.clock()) < 600_000
    assert receiver.take_max_burst(600_000) == 2 and receiver.take_max_burst(600_000) == 0
    with pytest.raises(BlockingIOError):
        receiver.recv(99)
    sender.sendto(b"kept", ("127.0.0.1", sender.port + 0))
    sender.discard_received()
    with pytest.raises(BlockingIOError):
        sender.recv(99)


@pytest.mark.parametrize(
    "arrivals, most",
    [([], 0), ([5], 1), ([0, 99, 100], 2), ([0, 50, 99, 150, 199], 3), ([300, 0, 10], 2)],
)
def test_the_largest_burst_of_arrivals(arrivals, most):
    counting_socket = CountingSocket()
    counting_socket.record_arrivals()
    counting_socket.arrival_times.extend(arrivals)
    assert counting_socket.take_max_burst(100) == most


def test_a_benchmark_of_a_fleet_too_large_for_the_machine_is_refused():
    result = CliRunner().invoke(command, ["--sizes", "30,5000"])
    assert isinstance(result.exception, TrialTooLargeError) and "fleet of 5000" in str(
        result.exception
    )


def test_rows_predict_the_full_size_from_smaller_sizes_and_state_the_error():
    runs = [
        {
            "at": size,
            "processes": -(-size // 44),
            "elements": ["duties", "works", "shared"],
            "values": {"fleet.rest.octets": [each, 3 * each]},
        }
        for size, each in ((30, 30.0), (60, 60.0), (100, 100.0), (300, 300.0), (870, 580.0))
    ]
    (row,) = build_rows(runs, 870)
    assert [each["at"] for each in row["points"]] == [30, 60, 100, 300]
    assert abs(row["foretold"]["value"] - 1740) < 1e-6 and row["checked"]["value"] == 1160
    assert abs(row["checked"]["error"] - 0.5) < 1e-6
    # Runs with a different number of members per process are not part of a fit.
    assert build_rows([{**each, "processes": 50} for each in runs], 870) == []
    (row,) = build_rows(runs[:3] + runs[4:], 870)
    assert "fit" not in row and row["points"][0]["at"] == 870  # three sizes are too few for a fit
    (row,) = build_rows([{**each, "elements": ["duties", "works"]} for each in runs], 870)
    assert row["key"] == "fleet.rest.octets.without-shared"

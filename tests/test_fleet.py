"""Several processes of the program on loopback, faults between them, and a judge outside: duties never held twice."""

import json
import os
import re
import signal
import subprocess
import sys

import pytest

from corkgauge.eventloop.loop import SECOND
from corkgauge.testkit.fleet.parent_process import kill_with_parent
from corkgauge.testkit.fleet.ports import free_port
from corkgauge.testkit.fleet.processes import (
    Fault,
    FaultScriptError,
    Fleet,
    draw_random_faults,
    find_memory_folder,
    parse_fault_script,
)

LEASE = 0.8
LONG = int(3 * LEASE * SECOND)


@pytest.fixture
def fleet_of():
    """Begins a fleet, which is closed at the end of its test, passed or failed: no process of it stays."""
    begun = []

    def begin(started=True, **more):
        fleet = Fleet(**{"lease": LEASE, **more})
        begun.append(fleet)
        if started:
            fleet.start()
        return fleet

    yield begin
    for fleet in begun:
        fleet.close()


def closing(fleet):
    """What must hold at the end of each: nobody objected, nothing raised, nothing was unreadable."""
    logs = fleet.logs()
    fleet.close()
    assert fleet.find_lease_violations() == []
    assert not [line for line in logs if "exceptions stopped" in line or "Traceback" in line]
    return logs


def replaced(fleet, patience=6.0):
    """Somebody else acts; how long there was no act, in leases."""
    before, changes = fleet.holder(), len(fleet.find_holder_changes())
    assert fleet.until(patience * LEASE, lambda: fleet.holder() == before), fleet.logs()[-30:]
    return max(span for _, span, *_ in fleet.find_holder_changes()[changes:]) / SECOND / LEASE


def test_a_holder_that_is_cut_off_deaf_or_mute_is_replaced_within_a_lease_and_clients_notice_nothing(
    fleet_of,
):
    fleet = fleet_of(gateways=5, clients=5, rate=60.0)
    assert fleet.wait_for_lease_action()
    fleet.until(1)
    for sort in "cut", "deaf", "mute":  # it reaches the judge all the while
        fleet.apply_fault(Fault(0, LONG, sort, (fleet.holder(),)))
        assert replaced(fleet) < 2.5
        fleet.until(2 * LEASE)
    fleet.apply_fault(Fault(0, 2 * SECOND, "part", ("n1", "n2")))
    fleet.apply_fault(Fault(0, 3 * SECOND, "lose", (), 0.3))
    fleet.apply_fault(Fault(0, 3 * SECOND, "late", (), 500.0))
    fleet.apply_fault(Fault(0, 0, "replay", (*fleet.gateways,)))
    fleet.until(4)
    fleet.apply_fault(Fault(0, 0, "replay", (*fleet.gateways,)))
    assert fleet.wait_for_lease_action()
    fleet.settle()
    books = fleet.query_gateway(fleet.holder())["books"]["books"]["entries"]
    served = sum(client.tally()["served"] for client in fleet.clients)
    assert fleet.find_rule_violations(2_500) == [] and served > 300
    assert (
        books[-1]["wrong"] == []
        and books[-1]["taken"] >= served
        and books[-1]["missing_count"] == 0
    )
    assert [entry["fence"] for entry in books] == sorted(entry["fence"] for entry in books)
    assert not [line for line in closing(fleet) if "out of balance" in line]


def test_a_holder_that_stands_still_is_replaced_and_does_nothing_more_when_it_goes_on(fleet_of):
    fleet = fleet_of(gateways=3)
    assert fleet.wait_for_lease_action()
    for sort in "stop", "stop", "busy":
        name, span = fleet.holder(), LONG
        fleet.apply_fault(Fault(0, span, sort, (name,)))
        if sort == "stop":
            assert replaced(fleet) < 2.5
        fleet.until(4 * LEASE)  # it goes on, with all its timers due at once
        assert fleet.wait_for_lease_action()
    closing(fleet)


def test_an_act_that_was_begun_before_a_stop_is_caught_by_its_fence_alone(fleet_of):
    for guarded in True, False:
        fleet = fleet_of(gateways=3, off="midact", guarded=guarded)
        stopped = {}

        def continued():
            """The rig sees a process stand still, and lets it go on after three leases."""
            for name, each in fleet.gateways.items():
                with open(f"/proc/{each.program.process.pid}/stat") as file:
                    if file.read().rsplit(")", 1)[1].split()[0] == "T" and name not in stopped:
                        stopped[name] = fleet.event_loop.now
                        each.disturbed_at.append(fleet.event_loop.now)
                        fleet.event_loop.call_later(LONG, each.program.send_signal, signal.SIGCONT)
            return len(stopped) < 2

        fleet.until(12, continued)
        fleet.until(4 * LEASE)
        found, late = (
            fleet.find_lease_violations(),
            [act for act in fleet.lease_checker.acts if not act.admitted],
        )
        assert len(stopped) >= 2
        if guarded:
            assert found == [] and late
        else:
            assert any("was taken" in line for line in found)  # without the fence the judge objects
        fleet.close()


def test_voters_that_all_forget_at_once_keep_silent_and_the_duty_comes_back(fleet_of):
    fleet = fleet_of(gateways=3)
    assert fleet.wait_for_lease_action()
    names = [*fleet.gateways]
    others = [name for name in names if name != fleet.holder()]
    fleet.apply_fault(Fault(0, 500, "kill", tuple(others)))  # a majority, back within a lease
    fleet.until(4 * LEASE)
    assert fleet.wait_for_lease_action()
    fleet.apply_fault(Fault(0, 500, "kill", tuple(names)))
    fleet.until(2 * LEASE)
    assert fleet.wait_for_lease_action()
    last = fleet.holder()
    fleet.apply_fault(Fault(0, 2 * SECOND, "cut", (last,)))
    fleet.apply_fault(Fault(0, 500, "end", (last,)))  # its planned end tells nobody
    assert replaced(fleet) < 2.5
    closing(fleet)


def test_a_planned_end_hands_over_at_once_and_so_does_an_operators_word(fleet_of):
    fleet = fleet_of(gateways=3, lease=3.0, each=0.05, period=0.3, disk=True)
    assert fleet.wait_for_lease_action()
    fleet.until(0.5)
    spans = []
    for sort in "yield", "end", "yield":
        before, changes = fleet.holder(), len(fleet.find_holder_changes())
        fleet.apply_fault(Fault(0, 500, sort, (before,)))
        assert fleet.until(2.0, lambda: fleet.holder() == before)
        spans.append(fleet.find_holder_changes()[changes][1] / SECOND)
        fleet.until(4.0 if sort == "end" else 1.0)
    assert sorted(spans)[1] < 0.5, spans  # of a lease of 3 s
    assert os.path.getsize(f"{fleet.folder}/n1/votes/n1.votes") > 20
    closing(fleet)


def test_files_that_differ_strangers_and_two_under_one_name(fleet_of, tmp_path):
    fleet = fleet_of(gateways=3)
    assert fleet.wait_for_lease_action()
    # Two processes under one name: the second gets no address, and ends.
    twin = fleet.gateways["n1"].program
    alike = tmp_path / "operator.xml"
    alike.write_text(
        re.sub("<figures>.*</figures>", "", fleet.render_operator_file(fleet.gateways["n1"]))
    )
    second = subprocess.run(
        [sys.executable, "-m", "corkgauge", "serve", "--operator", str(alike)],
        env={**os.environ, "EDGE_CONFIG": twin.config, "EDGE_LISTEN": "127.0.0.1:%d" % free_port()},
        capture_output=True,
        text=True,
        timeout=20,
        preexec_fn=kill_with_parent(os.getpid()),
    )
    assert second.returncode == 2 and "fellows" in second.stderr
    # One with a wrong key is alone, and the others go on.
    key = tmp_path / "key"
    key.touch(0o600)
    key.write_text("ab" * 32)
    rewrite(fleet, "n3", key=str(key))
    fleet.gateways["n3"].program.send_signal(signal.SIGHUP)
    fleet.until(3 * LEASE)
    assert fleet.wait_for_lease_action() and fleet.holder() in ("n1", "n2")
    assert fleet.query_gateway("n1", "/fellows")["counters"]["letters seal"] > 0
    rewrite(fleet, "n3")
    fleet.gateways["n3"].program.send_signal(signal.SIGHUP)
    # A step of the voters' list that is none is refused, the file stays what it was.
    rewrite(fleet, "n1", version=2, voters="n1 n2 judge")
    fleet.gateways["n1"].program.send_signal(signal.SIGHUP)
    fleet.until(LEASE)
    assert fleet.query_gateway("n1")["version"] == 1
    # One that has taken the next list is alone with it, until the others have; then it is in force.
    for names in ("n1",), ("n2", "n3"):
        for name in names:
            rewrite(fleet, name, version=2, voters="n1 n2")
            fleet.gateways[name].program.send_signal(signal.SIGHUP)
        fleet.until(LEASE)
    fleet.until(3 * LEASE)
    assert fleet.wait_for_lease_action() and all(
        fleet.query_gateway(name)["version"] == 2 for name in fleet.gateways
    )
    # One that comes up with the old file gives no vote, and says so.
    fleet.gateways["n2"].program.send_signal(signal.SIGKILL)
    fleet.until(1, lambda: fleet.gateways["n2"].program.is_running())
    rewrite(fleet, "n2", version=1, voters="n1 n2 n3")
    fleet.gateways["n2"].program.start()
    fleet.until(5 * LEASE)
    assert not fleet.query_gateway("n2")["voting"]
    logs = closing(fleet)
    assert any("not taken: duties: voters" in line for line in logs)
    assert any(line.startswith("n2") and "no vote" in line for line in logs)


def rewrite(fleet, name, **options):
    gateway = fleet.gateways[name]
    with open(f"{gateway.folder}/operator.xml", "w") as file:
        file.write(fleet.render_operator_file(gateway, **options))


RECORD = """
import os, signal, sys, time
signal.signal(signal.SIGTERM, lambda *_: None)      # it does not listen: SIGKILL must end it in time
while True:
    with open(sys.argv[1], "a") as file:
        print(os.environ["CORKGAUGE_FENCE"], time.clock_gettime(time.CLOCK_BOOTTIME), sys.argv[2], file=file)
    time.sleep(0.01)
"""


def test_a_command_runs_at_one_gateway_at_a_time_and_is_dead_when_the_duty_is_over(
    fleet_of, tmp_path
):
    fleet, out = fleet_of(gateways=3), tmp_path / "acts"
    assert fleet.wait_for_lease_action()
    out.touch()
    commands = [
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "corkgauge",
                "leases",
                "run",
                f"{fleet.gateways[name].folder}/figures.sock",
                "nightly",
                "--grace",
                "0.05",
                "--margin",
                "0.1",
                "--",
                sys.executable,
                "-c",
                RECORD,
                str(out),
                name,
            ],
            stdout=subprocess.PIPE,
            text=True,
            preexec_fn=kill_with_parent(os.getpid()),
        )
        for name in fleet.gateways
    ]
    try:

        def lines():
            return [line.split() for line in out.read_text().splitlines()]

        assert fleet.until(10, lambda: len(lines()) < 5)
        first = lines()[-1][2]
        fleet.apply_fault(Fault(0, LONG, "stop", (first,)))
        assert fleet.until(10, lambda: lines()[-1][2] == first)
        second = lines()[-1][2]
        fleet.until(LEASE)
        fleet.apply_fault(Fault(0, LONG, "cut", (second,)))
        assert fleet.until(10, lambda: lines()[-1][2] == second)
        said = lines()
        fences = [int(fence) for fence, *_ in said]
        assert fences == sorted(fences)  # in the order written, and in time: never two at once
        by_fence = {}
        for fence, moment, name in said:
            by_fence.setdefault((int(fence), name), []).append(float(moment))
        assert len({fence for fence, _ in by_fence}) == len(by_fence) >= 3
        spans = sorted((min(moments), max(moments)) for moments in by_fence.values())
        assert all(one[1] < other[0] for one, other in zip(spans, spans[1:]))
    finally:
        for command in commands:
            command.send_signal(signal.SIGTERM)
        fleet.until(2)
        for command in commands:
            command.kill()
        closing(fleet)
    ended = [command.communicate()[0] for command in commands]
    assert any("the command was ended" in each for each in ended)


@pytest.mark.parametrize("gateways, seconds", [(3, 12), (5, 10)])
def test_a_short_drill_of_faults_by_chance(fleet_of, gateways, seconds):
    names = [f"n{n}" for n in range(1, gateways + 1)]
    faults = draw_random_faults(11, names, seconds, 0.5, 2 * LEASE)
    fleet = fleet_of(started=False, seed=11, gateways=gateways, faults=faults)
    fleet.run(seconds + 1)
    assert fleet.applied_fault_count > 12
    assert fleet.wait_for_lease_action(15)  # and all is well again afterwards
    assert len(fleet.find_holder_changes()) >= 2
    closing(fleet)


def test_scripts_are_read_as_they_are_drawn_and_faults_in_them_named():
    names = ["n1", "n2", "n3"]
    faults = draw_random_faults(5, names, 60, 0.5, 2)
    again = parse_fault_script("\n".join(fault.line() for fault in faults), names, ["e1"])
    assert [(each.kind, each.targets) for each in again] == [
        (each.kind, each.targets) for each in faults
    ]
    for line in (
        "at 1 cut n1",
        "at 1: cut",
        "at 1: nap n1",
        "at -1: stop n1",
        "at 1: lose 3",
        "at 1 for x: stop n1",
        "at 1: engine n1",
    ):
        with pytest.raises(FaultScriptError):
            parse_fault_script(line, names, ["e1"])


def test_a_rig_keeps_its_files_in_memory_where_there_is_room_for_them(tmp_path):
    assert find_memory_folder(str(tmp_path), 1) == str(tmp_path)
    assert (
        find_memory_folder(str(tmp_path), 1 << 62) is None
        and find_memory_folder(str(tmp_path / "none"), 1) is None
    )


def test_drills_by_command_and_a_judge_that_objects(tmp_path):
    script = tmp_path / "day.txt"
    script.write_text(
        "".join(f"at {2 + 2 * n} for 1.9: cut n{n}\n" for n in (1, 2, 3))
    )  # one of them holds it
    run = [
        sys.executable,
        "-m",
        "corkgauge",
        "chaos",
        "run",
        str(script),
        "--seconds",
        "9",
        "--lease",
        "0.6",
        "--json",
    ]
    runs = [
        subprocess.Popen(
            [*run, *more],
            stdout=subprocess.PIPE,
            text=True,
            preexec_fn=kill_with_parent(os.getpid()),
        )
        for more in ([], ["--without", "check"])
    ]
    said = []
    for process in runs:
        out, _ = process.communicate(timeout=60)
        said.append((process.returncode, json.loads(out)))
    assert said[0][0] == 0 and said[0][1]["wrong"] == [] and said[0][1]["acts"] > 20
    assert said[1][0] == 1 and said[1][1]["wrong"]


def test_without_fellows_nothing_of_them_is_loaded():
    code = (
        "import sys; from corkgauge.commands.serve import command; from corkgauge.daemon import process as daemon; "
        "print([name for name in sys.modules if name.startswith(('corkgauge.membership', 'corkgauge.leases', "
        "'cryptography'))])"
    )
    assert (
        subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout
        == "[]\n"
    )

"""Short days of the real program on loopback: scrapes that balance, rules kept, damage found where it is."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections import Counter

import pytest
from click.testing import CliRunner
from netflow import parse_packet

from corkgauge.accounting.checkpoint_file import read_checkpoint_file
from corkgauge.commands import group
from corkgauge.commands.soak import SCRIPT, growth, scenes_of
from corkgauge.eventloop.loop import SECOND
from corkgauge.flow_export.codec import Layout
from corkgauge.flow_export.counter_deltas import Delta
from corkgauge.flow_export.elements import FlowDirection
from corkgauge.flow_export.session import Session
from corkgauge.testkit.checkers import rules
from corkgauge.testkit.emulators.clients import Ask
from corkgauge.testkit.emulators.collector import EmulatedCollector
from corkgauge.testkit.emulators.engines import Run
from corkgauge.testkit.faults.script import Unplayable, read
from corkgauge.testkit.fleet.day import REQUEST_TYPES, RULE_EXPECTATIONS, GatewayScenario, settings
from corkgauge.testkit.fleet.gateway_process import GatewayProcess
from corkgauge.testkit.fleet.parent_process import kill_with_parent
from corkgauge.testkit.fleet.ports import free_port
from tests.corrupted_files import ALL_FAULTS, CALL_FAULTS, RECORD_FAULTS

HERE = os.path.dirname(__file__)
SLACK = 2500  # a busy machine may keep any process from its processor for a while


def test_every_scrape_of_a_bad_day_balances_through_a_kill_and_a_restart():
    play = GatewayScenario(3, scenes_of(SCRIPT, 26, ["e1", "e2", "e3", "e4"]), rate=150, scrapes=12)
    try:
        play.run(26)
        log = play.program.log()
        end = [line for line in log if "ended; counters" in line]
    finally:
        play.close()
    assert play.snapshot_errors == [] and play.scrape_count > 200
    assert play.find_rule_violations(SLACK) == []
    assert not [line for line in log if "exceptions" in line or "out of balance" in line]
    closed = [line for line in log if "figures: epoch" in line and "closed" in line]
    assert len(closed) == 2 and "cut_off=0" in closed[1]  # killed, and restarted in order
    earlier = play.snapshots[-1]["earlier"]
    assert [epoch["epoch"]["id"] for epoch in earlier] == [
        line.split("epoch ")[1].split()[0] for line in reversed(closed)
    ]
    assert len(end) == 2 and play.tally()["served"] > 2000
    known = sum(
        row["taken"]
        for epoch in [play.snapshots[-1], *earlier]
        for row in epoch["offerings"].values()
    )
    written = sum(
        not ask.excused == "not written" for client in play.clients for ask in client.book
    )
    assert 0 <= written - known < 60  # what came in the last tenth of a second before the kill


@pytest.fixture(scope="module")
def damages():
    """Every damage, a few at once."""
    left, running, said = [*ALL_FAULTS], {}, {}
    while left or running:
        while left and len(running) < 5:
            what = left.pop()
            running[what] = subprocess.Popen(
                [sys.executable, f"{HERE}/corrupted_files.py", "play", what],
                stdout=subprocess.PIPE,
                text=True,
                preexec_fn=kill_with_parent(os.getpid()),
            )
        for what, process in [*running.items()]:
            if process.poll() is not None:
                said[what] = json.loads(running.pop(what).stdout.read())
        time.sleep(0.05)
    return said


def moment(line):
    return time.mktime(time.strptime(line[:19], "%Y-%m-%d %H:%M:%S")) + float(line[19:23])


@pytest.mark.parametrize("what", ALL_FAULTS)
def test_damage_to_any_entry_is_found_within_five_seconds_at_its_place(damages, what):
    kind = CALL_FAULTS[what][2] if what in CALL_FAULTS else RECORD_FAULTS[what]
    damaged = damages[what]["damaged"]
    assert len(damaged) == 1, damages[what]["log"]
    _, when, row = damaged[0].split(" ", 2)
    found = [line for line in damages[what]["found"] if f": {row} {kind} " in line]
    assert found, (row, kind, damages[what]["found"])
    assert -0.01 <= moment(found[0]) - float(when) < 5
    assert any(each["kind"] == kind and each["row"] == row for each in damages[what]["findings"])


def started(folder, *arguments, said=None, **more):
    port = free_port()
    program = GatewayProcess(
        str(folder),
        {
            "name": "n1",
            "listen": f"127.0.0.1:{port}",
            "feed": "127.0.0.1:1",
            "settings": settings(),
            **(said or {}),
        },
        **more,
    )
    program.start()
    return program


def heard(program, text, patience=5.0):
    until = time.time() + patience
    while time.time() < until:
        if any(text in line for line in program.log()):
            return True
        time.sleep(0.02)
    return False


def test_nothing_of_the_figures_door_is_loaded_without_an_operator_file(tmp_path):
    code = (
        "import sys; from corkgauge.commands.serve import command; from corkgauge.daemon import process as daemon; "
        "print([name for name in sys.modules if name.split('.')[0] in ('lxml', 'h11', 'xxhash', "
        "'msgpack', 'prometheus_client', 'ddsketch', 'rich') or name == 'corkgauge.config.operator_file'])"
    )
    assert (
        subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout
        == "[]\n"
    )


def test_an_operator_file_that_is_faulty_at_a_start_and_at_sighup(tmp_path):
    good = f'<operator version="1"><figures><listen unix="{tmp_path}/s"/></figures></operator>'
    program = started(tmp_path, operator=good, log_form="json")
    assert heard(program, '"event": "serving"')
    (tmp_path / "operator.xml").write_text("<operator")
    program.send_signal(signal.SIGHUP)
    assert heard(program, '"event": "operator_file_not_taken"') and program.is_running()
    assert program.end() == 0
    events = [json.loads(line) for line in program.log() if line.startswith("{")]
    assert events[-1]["event"] == "ended" and events[-1]["worst_lag"] >= 0
    program.start()
    assert program.process.wait(10) == 2 and "operator.xml:1:" in program.log()[-1]


def test_a_folder_that_cannot_be_had_costs_one_line(tmp_path):
    (tmp_path / "file").write_text("")
    operator = (
        f'<operator version="1"><figures><keep folder="{tmp_path}/file/x"/></figures></operator>'
    )
    program = started(tmp_path, operator=operator)
    assert heard(program, "figures not kept") and heard(program, "serving as n1")
    assert program.end() == 0


def test_the_soak_command_says_what_it_found(tmp_path):
    script = tmp_path / "script"
    script.write_text("at 1 for 1: e1 slow 3")
    said = CliRunner().invoke(group, ["soak", "--seconds", "3", "--script", str(script), "--json"])
    found = json.loads(said.stdout)
    assert said.exit_code == 0 and found["scrapes"] > 20 and found["clients"]["served"] > 100
    script.write_text("at 1: e9 silent")
    said = CliRunner().invoke(group, ["soak", "--script", str(script)])
    assert said.exit_code == 2 and "script: line 1: no engine 'e9'" in said.stderr


def test_growth_is_seen_within_the_last_epoch():
    assert growth([100] * 40 + [50] * 60) == 0 and growth([*range(1000, 1100)]) > 50


# The checker of the rules finds what breaks them.


def ask(trace, sent=0, want=0, answers=((100, 1),), key="", excused=""):
    said = [
        (when, code, f"{trace}\t0\te1\n".encode() if code == 1 else b"") for when, code in answers
    ]
    return Ask(trace, REQUEST_TYPES[want], key, sent, 0, 1, said, excused)


def run(
    trace,
    came=10,
    engine="e2",
    request_class="lookup",
    ended=90,
    kind="c12",
    work=5.0,
    ran=True,
    label="",
):
    return Run(engine, kind, trace, request_class, label, came, work, ended, ran)


FIRST = (0, "e2", "SERVING", 0)


@pytest.mark.parametrize(
    "rule, asks, runs, changes",
    [
        ("", [ask("t")], [run("t")], [FIRST]),
        ("lost", [ask("t", answers=())], [run("t")], [FIRST]),
        ("", [ask("t", answers=(), excused="withdrawn")], [run("t")], [FIRST]),
        ("lost", [ask("t", answers=((1, 2), (2, 2)))], [], [FIRST]),
        ("lost", [ask("t", answers=((30_000, 2),))], [], [FIRST]),
        ("lost", [ask("t")], [], [FIRST]),
        (
            "effect",
            [ask("t", want=3)],
            [run("t", request_class="once"), run("t", request_class="once")],
            [FIRST],
        ),
        (
            "",
            [ask("t", want=3)],
            [run("t", request_class="once", ran=False), run("t", request_class="once")],
            [FIRST],
        ),
        ("drain", [ask("t")], [run("t", came=9_000)], [FIRST, (100, "e2", "DRAINING", 0)]),
        (
            "cold",
            [ask("t", sent=1)],
            [run(f"t{n}" if n else "t", came=20 + n, work=4000.0) for n in range(9)],
            [FIRST, (10, "e2", "SERVING", 1)],
        ),
        (
            "order",
            [ask("a", want=2, key="k"), ask("b", sent=5, want=2, key="k")],
            [run("a", request_class="load"), run("b", came=50, request_class="load")],
            [FIRST],
        ),
        ("placement", [ask("t", want=1)], [run("t", request_class="report", kind="c8")], [FIRST]),
        (
            "budget",
            [ask(f"t{n}") for n in range(8)],
            [run(f"t{n}", came=n + k) for n in range(8) for k in (0, 50)],
            [FIRST],
        ),
    ],
)
def test_the_checker_of_the_rules(rule, asks, runs, changes):
    found = rules.broken(asks, runs, changes, {"e2": 12}, RULE_EXPECTATIONS)
    assert {line.partition(":")[0] for line in found} == ({rule} if rule else set()), found


def test_what_a_killed_gateway_held_is_not_owed():
    asks, runs = [ask("t", answers=())], [run("t")]
    assert (
        rules.broken(asks, runs, [FIRST], {"e2": 12}, RULE_EXPECTATIONS, killed=[5 * SECOND]) != []
    )
    assert rules.broken(asks, runs, [FIRST], {"e2": 12}, RULE_EXPECTATIONS, killed=[SECOND]) == []


@pytest.mark.parametrize(
    "line, wrong",
    [
        ("e1 silent", "expected 'at SECOND"),
        ("at x: e1 silent", "could not convert"),
        ("at -1: e1 silent", "a time"),
        ("at 1: e1 asleep", "expected one of slow"),
        ("at 1: e1 error 2", "makes no sense"),
        ("at 1: e1", "WHO"),
        ("at 1: list drain e7", "no engine 'e7'"),
        ("at 1: program sing", "no engine 'program'"),
    ],
)
def test_a_script_that_makes_no_sense_names_its_line(line, wrong):
    with pytest.raises(Unplayable) as said:
        read(f"# a comment\n{line}", ["e1"])
    assert "line 2: " in str(said.value) and wrong in str(said.value)


# Flow export of the real program.

FLOWS = """<operator version="1"><figures><listen unix="{folder}/figures.sock"/>
<keep folder="{folder}/kept" each="0.1"/></figures>
<flows layout="%s" active="2" idle="1"><collector address="127.0.0.1:%d" transport="%s"/></flows>
</operator>"""


@pytest.mark.parametrize("layout, transport", [("own", "tcp"), ("standard", "udp")])
def test_flows_of_a_bad_day_add_up_to_the_programs_own_counts(layout, transport):
    scenes = read(
        "at 1 for 2: e1 silent\nat 2: e2 reset\nat 3 for 2: e1 restart\nat 6: program restart",
        ["e1", "e2"],
    )
    play, heard = (
        GatewayScenario(4, scenes, engines=2, rate=80, scrapes=5, hangs_up=0.01, operator=""),
        [],
    )
    collector = EmulatedCollector(
        play.event_loop, transport, lambda message, data: heard.append((message, data))
    )
    path = os.path.join(play.folder, "operator.xml")
    with open(path, "w", encoding="utf-8") as file:
        file.write(
            (FLOWS % (layout, collector.address[1], transport)).replace("{folder}", play.folder)
        )
    play.program.arguments += ["--operator", path]
    play.event_loop.call_later(int(3.5 * SECOND), collector.close)
    play.event_loop.call_later(int(4.5 * SECOND), collector.open)
    try:
        play.run(9, drain=2)
        play.until(play.event_loop.now + SECOND // 5)
        kept, log = read_checkpoint_file(play.checkpoint_path()), play.program.log()
        last = play.snapshots[-1]["flows"]["first"]
    finally:
        play.close()
    assert (
        collector.wrong == []
        and play.snapshot_errors == []
        and not any("out of balance" in line for line in log)
    )
    carried = [
        sum(row["received"] + row["sent"] for row in epoch["connections"].values())
        for epoch in (*kept["earlier"], kept["cut"])
    ]
    told = sum(
        record["octetDeltaCount"] + record.get("reverseOctetDeltaCount", 0)
        for message, _ in heard
        for record in message.records
    )
    assert len(carried) == 2 and last["dropped"] == 0
    assert abs(told - sum(carried)) <= 0.01 * sum(carried)
    first = [message for message, _ in heard if message.sequence == 0 and message.templates]
    # at a start, after the outage
    assert len(first) >= 3 and len({message.domain for message, _ in heard}) == 1
    if layout == "standard":
        templates = {"netflow": {}, "ipfix": {}}
        theirs = sum(
            flow.data.get("octetDeltaCount", 0)
            for _, data in heard
            for flow in parse_packet(data.hex(), templates).flows
        )
        assert theirs == told


def test_a_collector_of_ones_own_writes_and_reports(tmp_path):
    rows = tmp_path / "rows.json"
    port = free_port()
    listener = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "corkgauge",
            "flows",
            "listen",
            "--port",
            str(port),
            "--seconds",
            "3",
            "--write",
            str(rows),
            "--capture",
            str(tmp_path / "capture"),
        ],
        stderr=subprocess.PIPE,
        text=True,
        cwd=os.path.dirname(HERE),
        preexec_fn=kill_with_parent(os.getpid()),
    )
    assert "listening" in listener.stderr.readline()
    session = Session(Layout("own", "n1"), 7, 1400, 0)
    queue = [
        Delta(
            n,
            FlowDirection.EGRESS,
            4,
            bytes(4),
            1,
            bytes(4),
            2,
            f"e{n % 2}",
            "hall-a",
            1000 * n,
            1000 * n + 900,
            10,
            5,
            3,
        )
        for n in range(20)
    ]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for data in (
            *session.introduction(0, Counter()),
            session.data_message(0, lambda: queue.pop(0) if queue else None)[0],
        ):
            sock.sendto(data, ("127.0.0.1", port))
    assert listener.wait(20) == 0
    run = CliRunner().invoke
    said = run(group, ["flows", "report", str(rows), "--json", "--span", "10"])
    assert [
        (each["engine"], sum(span["there"] for span in each["spans"]))
        for each in json.loads(said.output)
    ] == [("e0", 100), ("e1", 100)]
    assert run(group, ["flows", "report", str(rows)]).exit_code == 0
    dumped = run(group, ["flows", "dump", str(tmp_path / "capture")])
    assert dumped.exit_code == 0 and dumped.output.count("engineId=e1") == 10
    rows.write_text("{}\n")
    assert run(group, ["flows", "report", str(rows)]).exit_code == 2
    (tmp_path / "capture").write_bytes(b"\0\0\0\4nope")
    assert run(group, ["flows", "dump", str(tmp_path / "capture")]).exit_code == 1

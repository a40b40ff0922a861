"""One gateway process on loopback under faults: snapshots, rules, audits and flow export."""

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
from corkgauge.commands.soak import FAULT_SCRIPT, measure_memory_growth, repeat_fault_script
from corkgauge.eventloop.loop import SECOND
from corkgauge.flow_export.codec import Layout
from corkgauge.flow_export.counter_deltas import Delta
from corkgauge.flow_export.elements import FlowDirection
from corkgauge.flow_export.session import Session
from corkgauge.testkit.checkers import rules
from corkgauge.testkit.emulators.clients import SubmittedRequest
from corkgauge.testkit.emulators.collector import EmulatedCollector
from corkgauge.testkit.emulators.engines import ReceivedAttempt
from corkgauge.testkit.faults.script import ScriptError, parse_script
from corkgauge.testkit.fleet.day import REQUEST_TYPES, RULE_EXPECTATIONS, GatewayScenario, settings
from corkgauge.testkit.fleet.gateway_process import GatewayProcess
from corkgauge.testkit.fleet.parent_process import kill_with_parent
from corkgauge.testkit.fleet.ports import free_port
from tests.corrupted_files import ALL_FAULTS, CALL_FAULTS, RECORD_FAULTS

HERE = os.path.dirname(__file__)
SLACK_TICKS = 2500  # a busy machine may delay any process by this time


def test_all_snapshots_balance_under_faults_through_a_kill_and_a_restart():
    scenario = GatewayScenario(
        3, repeat_fault_script(FAULT_SCRIPT, 26, ["e1", "e2", "e3", "e4"]), rate=150, scrapes=12
    )
    try:
        scenario.run(26)
        log = scenario.program.log()
        end_lines = [line for line in log if "ended; counters" in line]
    finally:
        scenario.close()
    assert scenario.snapshot_errors == [] and scenario.scrape_count > 200
    assert scenario.find_rule_violations(SLACK_TICKS) == []
    assert not [line for line in log if "exceptions" in line or "out of balance" in line]
    closed_epoch_lines = [line for line in log if "figures: epoch" in line and "closed" in line]
    # The kill and the restart each closed an epoch.
    assert len(closed_epoch_lines) == 2 and "cut_off=0" in closed_epoch_lines[1]
    earlier = scenario.snapshots[-1]["earlier"]
    assert [epoch["epoch"]["id"] for epoch in earlier] == [
        line.split("epoch ")[1].split()[0] for line in reversed(closed_epoch_lines)
    ]
    assert len(end_lines) == 2 and scenario.tally()["served"] > 2000
    counted_requests = sum(
        row["taken"]
        for epoch in [scenario.snapshots[-1], *earlier]
        for row in epoch["offerings"].values()
    )
    sent_requests = sum(
        not request.excuse == "not written"
        for client in scenario.clients
        for request in client.requests
    )
    # Requests of the last 0.1 s before the kill are missing, as no checkpoint followed them.
    assert 0 <= sent_requests - counted_requests < 60


# A gateway gave up each connection to discovery that answered after more than 1.5 s.
@pytest.mark.parametrize("falls_silent", [False, True], ids=["slow", "slow and silent"])
def test_drained_engine_gets_no_request_after_seven_seconds_of_slow_discovery(falls_silent):
    scenario = GatewayScenario(4, parse_script("at 5: list drain e1", ["e1"]), rate=40, scrapes=0)
    scenario.feed.answer_delay_ticks = 2 * SECOND
    if falls_silent:
        scenario.event_loop.call_later(49 * SECOND // 10, scenario.feed.silence_connections)
    try:
        scenario.run(14)
    finally:
        scenario.close()
    attempts = scenario.engines["e1"].attempts
    # What discovery has to tell counts as told after 7 s; limits on sockets are 50 ms longer.
    max_ticks = RULE_EXPECTATIONS.drain_grace_ticks + 7 * SECOND + 500
    assert len(attempts) > 20
    assert rules.find_drain_violations(attempts, scenario.feed.changes, max_ticks) == []


@pytest.fixture(scope="module")
def corruption_results():
    """Inject every corruption into a gateway process of its own, five at a time."""
    left, running, results = [*ALL_FAULTS], {}, {}
    while left or running:
        while left and len(running) < 5:
            fault = left.pop()
            running[fault] = subprocess.Popen(
                [sys.executable, f"{HERE}/corrupted_files.py", "play", fault],
                stdout=subprocess.PIPE,
                text=True,
                preexec_fn=kill_with_parent(os.getpid()),
            )
        for fault, process in [*running.items()]:
            if process.poll() is not None:
                results[fault] = json.loads(running.pop(fault).stdout.read())
        time.sleep(0.05)
    return results


def log_time(line):
    """Return the Unix time of a log line."""
    return time.mktime(time.strptime(line[:19], "%Y-%m-%d %H:%M:%S")) + float(line[19:23])


@pytest.mark.parametrize("fault", ALL_FAULTS)
def test_a_corrupted_entry_is_reported_at_its_row_within_five_seconds(corruption_results, fault):
    kind = CALL_FAULTS[fault][2] if fault in CALL_FAULTS else RECORD_FAULTS[fault]
    damaged = corruption_results[fault]["damaged"]
    assert len(damaged) == 1, corruption_results[fault]["log"]
    _, corrupted_at, row = damaged[0].split(" ", 2)
    found = [line for line in corruption_results[fault]["found"] if f": {row} {kind} " in line]
    assert found, (row, kind, corruption_results[fault]["found"])
    assert -0.01 <= log_time(found[0]) - float(corrupted_at) < 5
    assert any(
        each["kind"] == kind and each["row"] == row
        for each in corruption_results[fault]["findings"]
    )


def start_gateway(folder, *arguments, configuration=None, **options):
    """Start a gateway process with a minimal configuration."""
    port = free_port()
    program = GatewayProcess(
        str(folder),
        {
            "name": "n1",
            "listen": f"127.0.0.1:{port}",
            "feed": "127.0.0.1:1",
            "settings": settings(),
            **(configuration or {}),
        },
        **options,
    )
    program.start()
    return program


def has_logged(program, text, timeout_seconds=5.0):
    """Wait until the program logs a line with this text; return whether it does."""
    deadline = time.time() + timeout_seconds
    while time.time() < deadline:
        if any(text in line for line in program.log()):
            return True
        time.sleep(0.02)
    return False


def test_operator_libraries_are_not_imported_without_an_operator_file(tmp_path):
    code = (
        "import sys; from corkgauge.commands.serve import command; from corkgauge.daemon import process as daemon; "
        "print([name for name in sys.modules if name.split('.')[0] in ('lxml', 'h11', 'xxhash', "
        "'msgpack', 'prometheus_client', 'ddsketch', 'rich') or name == 'corkgauge.config.operator_file'])"
    )
    assert (
        subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout
        == "[]\n"
    )


def test_an_invalid_operator_file_is_refused_at_sighup_and_at_start(tmp_path):
    valid_file = (
        f'<operator version="1"><figures><listen unix="{tmp_path}/s"/></figures></operator>'
    )
    program = start_gateway(tmp_path, operator=valid_file, log_form="json")
    assert has_logged(program, '"event": "serving"')
    (tmp_path / "operator.xml").write_text("<operator")
    program.send_signal(signal.SIGHUP)
    assert has_logged(program, '"event": "operator_file_not_taken"') and program.is_running()
    assert program.end() == 0
    events = [json.loads(line) for line in program.log() if line.startswith("{")]
    assert events[-1]["event"] == "ended" and events[-1]["worst_lag"] >= 0
    program.start()
    assert program.process.wait(10) == 2 and "operator.xml:1:" in program.log()[-1]


def test_a_checkpoint_folder_that_cannot_be_created_is_logged_and_not_fatal(tmp_path):
    (tmp_path / "file").write_text("")
    operator = (
        f'<operator version="1"><figures><keep folder="{tmp_path}/file/x"/></figures></operator>'
    )
    program = start_gateway(tmp_path, operator=operator)
    assert has_logged(program, "figures not kept") and has_logged(program, "serving as n1")
    assert program.end() == 0


def test_the_soak_command_reports_its_results_and_invalid_scripts(tmp_path):
    script = tmp_path / "script"
    script.write_text("at 1 for 1: e1 slow 3")
    result = CliRunner().invoke(
        group, ["soak", "--seconds", "3", "--script", str(script), "--json"]
    )
    report = json.loads(result.stdout)
    assert result.exit_code == 0 and report["scrapes"] > 20 and report["clients"]["served"] > 100
    script.write_text("at 1: e9 silent")
    result = CliRunner().invoke(group, ["soak", "--script", str(script)])
    assert result.exit_code == 2 and "script: line 1: no engine 'e9'" in result.stderr


def test_memory_growth_counts_the_last_epoch_only():
    assert (
        measure_memory_growth([100] * 40 + [50] * 60) == 0
        and measure_memory_growth([*range(1000, 1100)]) > 50
    )


# The rule checker reports violations.


def make_request(trace, sent=0, want=0, answers=((100, 1),), key="", excused=""):
    encoded_answers = [
        (when, code, f"{trace}\t0\te1\n".encode() if code == 1 else b"") for when, code in answers
    ]
    return SubmittedRequest(trace, REQUEST_TYPES[want], key, sent, 0, 1, encoded_answers, excused)


def make_attempt(
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
    return ReceivedAttempt(engine, kind, trace, request_class, label, came, work, ended, ran)


INITIAL_CHANGE = (0, "e2", "SERVING", 0)


@pytest.mark.parametrize(
    "rule, requests, attempts, changes",
    [
        ("", [make_request("t")], [make_attempt("t")], [INITIAL_CHANGE]),
        ("lost", [make_request("t", answers=())], [make_attempt("t")], [INITIAL_CHANGE]),
        (
            "",
            [make_request("t", answers=(), excused="withdrawn")],
            [make_attempt("t")],
            [INITIAL_CHANGE],
        ),
        ("lost", [make_request("t", answers=((1, 2), (2, 2)))], [], [INITIAL_CHANGE]),
        ("lost", [make_request("t", answers=((30_000, 2),))], [], [INITIAL_CHANGE]),
        ("lost", [make_request("t")], [], [INITIAL_CHANGE]),
        (
            "effect",
            [make_request("t", want=3)],
            [make_attempt("t", request_class="once"), make_attempt("t", request_class="once")],
            [INITIAL_CHANGE],
        ),
        (
            "",
            [make_request("t", want=3)],
            [
                make_attempt("t", request_class="once", ran=False),
                make_attempt("t", request_class="once"),
            ],
            [INITIAL_CHANGE],
        ),
        (
            "drain",
            [make_request("t")],
            [make_attempt("t", came=9_000)],
            [INITIAL_CHANGE, (100, "e2", "DRAINING", 0)],
        ),
        (
            "cold",
            [make_request("t", sent=1)],
            [make_attempt(f"t{n}" if n else "t", came=20 + n, work=4000.0) for n in range(9)],
            [INITIAL_CHANGE, (10, "e2", "SERVING", 1)],
        ),
        (
            "order",
            [make_request("a", want=2, key="k"), make_request("b", sent=5, want=2, key="k")],
            [
                make_attempt("a", request_class="load"),
                make_attempt("b", came=50, request_class="load"),
            ],
            [INITIAL_CHANGE],
        ),
        (
            "placement",
            [make_request("t", want=1)],
            [make_attempt("t", request_class="report", kind="c8")],
            [INITIAL_CHANGE],
        ),
        (
            "budget",
            [make_request(f"t{n}") for n in range(8)],
            [make_attempt(f"t{n}", came=n + k) for n in range(8) for k in (0, 50)],
            [INITIAL_CHANGE],
        ),
    ],
)
def test_the_rule_checker_reports_each_violated_rule(rule, requests, attempts, changes):
    found = rules.find_rule_violations(requests, attempts, changes, {"e2": 12}, RULE_EXPECTATIONS)
    assert {line.partition(":")[0] for line in found} == ({rule} if rule else set()), found


def test_requests_open_when_a_gateway_is_killed_need_no_answer():
    requests, attempts = [make_request("t", answers=())], [make_attempt("t")]
    assert (
        rules.find_rule_violations(
            requests, attempts, [INITIAL_CHANGE], {"e2": 12}, RULE_EXPECTATIONS, killed=[5 * SECOND]
        )
        != []
    )
    assert (
        rules.find_rule_violations(
            requests, attempts, [INITIAL_CHANGE], {"e2": 12}, RULE_EXPECTATIONS, killed=[SECOND]
        )
        == []
    )


@pytest.mark.parametrize(
    "line, message",
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
def test_an_invalid_script_is_rejected_with_its_line_number(line, message):
    with pytest.raises(ScriptError) as raised:
        parse_script(f"# a comment\n{line}", ["e1"])
    assert "line 2: " in str(raised.value) and message in str(raised.value)


# Flow export of the gateway process.

FLOW_OPERATOR_FILE = """<operator version="1"><figures><listen unix="{folder}/figures.sock"/>
<keep folder="{folder}/kept" each="0.1"/></figures>
<flows layout="%s" active="2" idle="1"><collector address="127.0.0.1:%d" transport="%s"/></flows>
</operator>"""


@pytest.mark.parametrize("layout, transport", [("own", "tcp"), ("standard", "udp")])
def test_exported_octets_match_the_counters_under_faults(layout, transport):
    scenes = parse_script(
        "at 1 for 2: e1 silent\nat 2: e2 reset\nat 3 for 2: e1 restart\nat 6: program restart",
        ["e1", "e2"],
    )
    scenario, received = (
        GatewayScenario(4, scenes, engines=2, rate=80, scrapes=5, hangs_up=0.01, operator=""),
        [],
    )
    collector = EmulatedCollector(
        scenario.event_loop, transport, lambda message, data: received.append((message, data))
    )
    path = os.path.join(scenario.folder, "operator.xml")
    with open(path, "w", encoding="utf-8") as file:
        file.write(
            (FLOW_OPERATOR_FILE % (layout, collector.address[1], transport)).replace(
                "{folder}", scenario.folder
            )
        )
    scenario.program.arguments += ["--operator", path]
    scenario.event_loop.call_later(int(3.5 * SECOND), collector.close)
    scenario.event_loop.call_later(int(4.5 * SECOND), collector.open)
    try:
        scenario.run(9, drain=2)
        scenario.until(scenario.event_loop.now + SECOND // 5)
        checkpoint, log = read_checkpoint_file(scenario.checkpoint_path()), scenario.program.log()
        last = scenario.snapshots[-1]["flows"]["first"]
    finally:
        scenario.close()
    assert (
        collector.errors == []
        and scenario.snapshot_errors == []
        and not any("out of balance" in line for line in log)
    )
    counted_octets = [
        sum(row["received"] + row["sent"] for row in epoch["connections"].values())
        for epoch in (*checkpoint["earlier"], checkpoint["cut"])
    ]
    exported_octets = sum(
        record["octetDeltaCount"] + record.get("reverseOctetDeltaCount", 0)
        for message, _ in received
        for record in message.records
    )
    assert len(counted_octets) == 2 and last["dropped"] == 0
    assert abs(exported_octets - sum(counted_octets)) <= 0.01 * sum(counted_octets)
    first_messages = [
        message for message, _ in received if message.sequence == 0 and message.template_count
    ]
    # Sessions begin at both starts and after the outage of the collector.
    assert len(first_messages) >= 3 and len({message.domain for message, _ in received}) == 1
    if layout == "standard":
        templates = {"netflow": {}, "ipfix": {}}
        octets_by_reference_decoder = sum(
            flow.data.get("octetDeltaCount", 0)
            for _, data in received
            for flow in parse_packet(data.hex(), templates).flows
        )
        assert octets_by_reference_decoder == exported_octets


def test_the_listen_command_writes_rows_that_the_report_command_reads(tmp_path):
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
            *session.make_template_messages(0, Counter()),
            session.make_data_message(0, lambda: queue.pop(0) if queue else None)[0],
        ):
            sock.sendto(data, ("127.0.0.1", port))
    assert listener.wait(20) == 0
    invoke_command = CliRunner().invoke
    report = invoke_command(group, ["flows", "report", str(rows), "--json", "--span", "10"])
    assert [
        (each["engine"], sum(span["there"] for span in each["spans"]))
        for each in json.loads(report.output)
    ] == [("e0", 100), ("e1", 100)]
    assert invoke_command(group, ["flows", "report", str(rows)]).exit_code == 0
    dump = invoke_command(group, ["flows", "dump", str(tmp_path / "capture")])
    assert dump.exit_code == 0 and dump.output.count("engineId=e1") == 10
    rows.write_text("{}\n")
    assert invoke_command(group, ["flows", "report", str(rows)]).exit_code == 2
    (tmp_path / "capture").write_bytes(b"\0\0\0\4nope")
    assert invoke_command(group, ["flows", "dump", str(tmp_path / "capture")]).exit_code == 1

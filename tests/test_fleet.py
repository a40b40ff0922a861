"""Leases in fleets of gateway processes under faults: no two gateways ever act under one lease.

An independent lease checker receives every act and dates the act by its arrival.
"""

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

LEASE_SECONDS = 0.8
FAULT_TICKS = int(3 * LEASE_SECONDS * SECOND)  # longer than a lease, so that the holder loses it


@pytest.fixture
def create_fleet():
    """Create fleets that are closed at the end of the test, so that no process stays."""
    fleets = []

    def create(started=True, **more):
        fleet = Fleet(**{"lease": LEASE_SECONDS, **more})
        fleets.append(fleet)
        if started:
            fleet.start()
        return fleet

    yield create
    for fleet in fleets:
        fleet.close()


def close_and_check(fleet):
    """Close a fleet; check that no lease rule was violated and no gateway logged an exception."""
    logs = fleet.logs()
    fleet.close()
    assert fleet.find_lease_violations() == []
    assert not [line for line in logs if "exceptions stopped" in line or "Traceback" in line]
    return logs


def wait_for_new_holder(fleet, timeout_leases=6.0):
    """Wait until another gateway acts; return the longest time without an act, in lease terms."""
    previous_holder, change_count = fleet.holder(), len(fleet.find_holder_changes())
    assert fleet.until(timeout_leases * LEASE_SECONDS, lambda: fleet.holder() == previous_holder), (
        fleet.logs()[-30:]
    )
    return (
        max(span for _, span, *_ in fleet.find_holder_changes()[change_count:])
        / SECOND
        / LEASE_SECONDS
    )


def test_an_isolated_lease_holder_is_replaced_without_effect_on_clients(create_fleet):
    fleet = create_fleet(gateways=5, clients=5, rate=60.0)
    assert fleet.wait_for_lease_action()
    fleet.until(1)
    for kind in "cut", "deaf", "mute":  # the relay to the lease checker stays open
        fleet.apply_fault(Fault(0, FAULT_TICKS, kind, (fleet.holder(),)))
        assert wait_for_new_holder(fleet) < 2.5
        fleet.until(2 * LEASE_SECONDS)
    fleet.apply_fault(Fault(0, 2 * SECOND, "part", ("n1", "n2")))
    fleet.apply_fault(Fault(0, 3 * SECOND, "lose", (), 0.3))
    fleet.apply_fault(Fault(0, 3 * SECOND, "late", (), 500.0))
    fleet.apply_fault(Fault(0, 0, "replay", (*fleet.gateways,)))
    fleet.until(4)
    fleet.apply_fault(Fault(0, 0, "replay", (*fleet.gateways,)))
    assert fleet.wait_for_lease_action()
    fleet.settle()
    accounts = fleet.query_gateway(fleet.holder())["books"]["books"]["entries"]
    served = sum(client.count_outcomes()["served"] for client in fleet.clients)
    assert fleet.find_rule_violations(2_500) == [] and served > 300
    assert (
        accounts[-1]["wrong"] == []
        and accounts[-1]["taken"] >= served
        and accounts[-1]["missing_count"] == 0
    )
    assert [entry["fence"] for entry in accounts] == sorted(entry["fence"] for entry in accounts)
    assert not [line for line in close_and_check(fleet) if "out of balance" in line]


def test_a_suspended_holder_is_replaced_and_does_not_act_after_resuming(create_fleet):
    fleet = create_fleet(gateways=3)
    assert fleet.wait_for_lease_action()
    for kind in "stop", "stop", "busy":
        name, duration = fleet.holder(), FAULT_TICKS
        fleet.apply_fault(Fault(0, duration, kind, (name,)))
        if kind == "stop":
            assert wait_for_new_holder(fleet) < 2.5
        fleet.until(4 * LEASE_SECONDS)  # the process runs again, with all its timers due at once
        assert fleet.wait_for_lease_action()
    close_and_check(fleet)


def test_only_the_fencing_token_rejects_an_act_begun_before_a_suspension(create_fleet):
    # The process suspends itself between the check of the lease and the act (fault `midact`).
    for guarded in True, False:
        fleet = create_fleet(gateways=3, off="midact", guarded=guarded)
        suspended_at = {}

        def fewer_than_two_suspended():
            """Schedule the resumption of each suspended process after three lease terms."""
            for name, each in fleet.gateways.items():
                with open(f"/proc/{each.program.process.pid}/stat") as file:
                    if file.read().rsplit(")", 1)[1].split()[0] == "T" and name not in suspended_at:
                        suspended_at[name] = fleet.event_loop.now
                        each.disturbed_at.append(fleet.event_loop.now)
                        fleet.event_loop.call_later(
                            FAULT_TICKS, each.program.send_signal, signal.SIGCONT
                        )
            return len(suspended_at) < 2

        fleet.until(12, fewer_than_two_suspended)
        fleet.until(4 * LEASE_SECONDS)
        violations, rejected_acts = (
            fleet.find_lease_violations(),
            [act for act in fleet.lease_checker.acts if not act.admitted],
        )
        assert len(suspended_at) >= 2
        if guarded:
            assert violations == [] and rejected_acts
        else:
            # Without fencing, the lease checker objects.
            assert any("was taken" in line for line in violations)
        fleet.close()


def test_the_lease_is_granted_again_after_all_voters_lost_their_records(create_fleet):
    # A restarted voter without a record grants nothing for a lease term, so no second holder
    # exists beside the one of before the restart.
    fleet = create_fleet(gateways=3)
    assert fleet.wait_for_lease_action()
    names = [*fleet.gateways]
    others = [name for name in names if name != fleet.holder()]
    # A majority of voters is restarted within a lease term.
    fleet.apply_fault(Fault(0, 500, "kill", tuple(others)))
    fleet.until(4 * LEASE_SECONDS)
    assert fleet.wait_for_lease_action()
    fleet.apply_fault(Fault(0, 500, "kill", tuple(names)))
    fleet.until(2 * LEASE_SECONDS)
    assert fleet.wait_for_lease_action()
    last = fleet.holder()
    fleet.apply_fault(Fault(0, 2 * SECOND, "cut", (last,)))
    fleet.apply_fault(Fault(0, 500, "end", (last,)))  # the hand-over datagrams are dropped
    assert wait_for_new_holder(fleet) < 2.5
    close_and_check(fleet)


def test_a_planned_end_or_an_operators_yield_hands_the_lease_over_at_once(create_fleet):
    fleet = create_fleet(gateways=3, lease=3.0, each=0.05, period=0.3, disk=True)
    assert fleet.wait_for_lease_action()
    fleet.until(0.5)
    gap_seconds = []
    for kind in "yield", "end", "yield":
        previous_holder, change_count = fleet.holder(), len(fleet.find_holder_changes())
        fleet.apply_fault(Fault(0, 500, kind, (previous_holder,)))
        assert fleet.until(2.0, lambda: fleet.holder() == previous_holder)
        gap_seconds.append(fleet.find_holder_changes()[change_count][1] / SECOND)
        fleet.until(4.0 if kind == "end" else 1.0)
    assert sorted(gap_seconds)[1] < 0.5, gap_seconds  # the lease term is 3 s
    assert os.path.getsize(f"{fleet.folder}/n1/votes/n1.votes") > 20
    close_and_check(fleet)


def test_duplicate_names_foreign_keys_and_old_voter_lists_are_refused(create_fleet, tmp_path):
    fleet = create_fleet(gateways=3)
    assert fleet.wait_for_lease_action()
    # A second process under the same name cannot bind the member's address, and ends.
    first_process = fleet.gateways["n1"].program
    operator_file = tmp_path / "operator.xml"
    operator_file.write_text(
        re.sub("<figures>.*</figures>", "", fleet.render_operator_file(fleet.gateways["n1"]))
    )
    second_process = subprocess.run(
        [sys.executable, "-m", "corkgauge", "serve", "--operator", str(operator_file)],
        env={
            **os.environ,
            "EDGE_CONFIG": first_process.config,
            "EDGE_LISTEN": "127.0.0.1:%d" % free_port(),
        },
        capture_output=True,
        text=True,
        timeout=20,
        preexec_fn=kill_with_parent(os.getpid()),
    )
    assert second_process.returncode == 2 and "fellows" in second_process.stderr
    # A gateway with a different key is isolated; the others keep the lease.
    key = tmp_path / "key"
    key.touch(0o600)
    key.write_text("ab" * 32)
    rewrite_operator_file(fleet, "n3", key=str(key))
    fleet.gateways["n3"].program.send_signal(signal.SIGHUP)
    fleet.until(3 * LEASE_SECONDS)
    assert fleet.wait_for_lease_action() and fleet.holder() in ("n1", "n2")
    assert fleet.query_gateway("n1", "/fellows")["counters"]["letters seal"] > 0
    rewrite_operator_file(fleet, "n3")
    fleet.gateways["n3"].program.send_signal(signal.SIGHUP)
    # An invalid next voter list is refused, and the previous operator file stays in force.
    rewrite_operator_file(fleet, "n1", version=2, voters="n1 n2 judge")
    fleet.gateways["n1"].program.send_signal(signal.SIGHUP)
    fleet.until(LEASE_SECONDS)
    assert fleet.query_gateway("n1")["version"] == 1
    # The next voter list takes effect once all gateways have it, not when only one does.
    for names in ("n1",), ("n2", "n3"):
        for name in names:
            rewrite_operator_file(fleet, name, version=2, voters="n1 n2")
            fleet.gateways[name].program.send_signal(signal.SIGHUP)
        fleet.until(LEASE_SECONDS)
    fleet.until(3 * LEASE_SECONDS)
    assert fleet.wait_for_lease_action() and all(
        fleet.query_gateway(name)["version"] == 2 for name in fleet.gateways
    )
    # A voter that starts with the old voter list does not vote, and logs that.
    fleet.gateways["n2"].program.send_signal(signal.SIGKILL)
    fleet.until(1, lambda: fleet.gateways["n2"].program.is_running())
    rewrite_operator_file(fleet, "n2", version=1, voters="n1 n2 n3")
    fleet.gateways["n2"].program.start()
    fleet.until(5 * LEASE_SECONDS)
    assert not fleet.query_gateway("n2")["voting"]
    logs = close_and_check(fleet)
    assert any("not taken: duties: voters" in line for line in logs)
    assert any(line.startswith("n2") and "no vote" in line for line in logs)


def rewrite_operator_file(fleet, name, **options):
    """Write the operator file of a gateway again, with other options."""
    gateway = fleet.gateways[name]
    with open(f"{gateway.folder}/operator.xml", "w") as file:
        file.write(fleet.render_operator_file(gateway, **options))


# Records its fencing token and the time until it is killed.
RECORDING_COMMAND = """
import os, signal, sys, time
signal.signal(signal.SIGTERM, lambda *_: None)      # ignored, so that only SIGKILL ends the command
while True:
    with open(sys.argv[1], "a") as file:
        print(os.environ["CORKGAUGE_FENCE"], time.clock_gettime(time.CLOCK_BOOTTIME), sys.argv[2], file=file)
    time.sleep(0.01)
"""


def test_a_leased_command_runs_at_one_gateway_and_ends_with_the_lease(create_fleet, tmp_path):
    fleet, record_path = create_fleet(gateways=3), tmp_path / "acts"
    assert fleet.wait_for_lease_action()
    record_path.touch()
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
                RECORDING_COMMAND,
                str(record_path),
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
            return [line.split() for line in record_path.read_text().splitlines()]

        assert fleet.until(10, lambda: len(lines()) < 5)
        first = lines()[-1][2]
        fleet.apply_fault(Fault(0, FAULT_TICKS, "stop", (first,)))
        assert fleet.until(10, lambda: lines()[-1][2] == first)
        second = lines()[-1][2]
        fleet.until(LEASE_SECONDS)
        fleet.apply_fault(Fault(0, FAULT_TICKS, "cut", (second,)))
        assert fleet.until(10, lambda: lines()[-1][2] == second)
        records = lines()
        tokens = [int(token) for token, *_ in records]
        assert tokens == sorted(tokens)  # no command writes after its successor has begun
        times_by_token = {}
        for token, time, name in records:
            times_by_token.setdefault((int(token), name), []).append(float(time))
        assert len({token for token, _ in times_by_token}) == len(times_by_token) >= 3
        intervals = sorted((min(times), max(times)) for times in times_by_token.values())
        assert all(earlier[1] < later[0] for earlier, later in zip(intervals, intervals[1:]))
    finally:
        for command in commands:
            command.send_signal(signal.SIGTERM)
        fleet.until(2)
        for command in commands:
            command.kill()
        close_and_check(fleet)
    outputs = [command.communicate()[0] for command in commands]
    assert any("the command was ended" in each for each in outputs)


@pytest.mark.parametrize("gateways, seconds", [(3, 12), (5, 10)])
def test_lease_rules_hold_under_random_faults(create_fleet, gateways, seconds):
    names = [f"n{n}" for n in range(1, gateways + 1)]
    faults = draw_random_faults(11, names, seconds, 0.5, 2 * LEASE_SECONDS)
    fleet = create_fleet(started=False, seed=11, gateways=gateways, faults=faults)
    fleet.run(seconds + 1)
    assert fleet.applied_fault_count > 12
    assert fleet.wait_for_lease_action(15)  # the lease is held again after the last fault
    assert len(fleet.find_holder_changes()) >= 2
    close_and_check(fleet)


def test_drawn_fault_scripts_parse_and_invalid_lines_are_rejected():
    names = ["n1", "n2", "n3"]
    faults = draw_random_faults(5, names, 60, 0.5, 2)
    parsed = parse_fault_script("\n".join(fault.line() for fault in faults), names, ["e1"])
    assert [(each.kind, each.targets) for each in parsed] == [
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


def test_fleet_files_are_kept_in_memory_where_enough_is_free(tmp_path):
    assert find_memory_folder(str(tmp_path), 1) == str(tmp_path)
    assert (
        find_memory_folder(str(tmp_path), 1 << 62) is None
        and find_memory_folder(str(tmp_path / "none"), 1) is None
    )


def test_chaos_run_reports_violations_once_a_safeguard_is_disabled(tmp_path):
    script = tmp_path / "day.txt"
    script.write_text(
        "".join(f"at {2 + 2 * n} for 1.9: cut n{n}\n" for n in (1, 2, 3))  # includes the holder
    )
    command = [
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
    processes = [
        subprocess.Popen(
            [*command, *options],
            stdout=subprocess.PIPE,
            text=True,
            preexec_fn=kill_with_parent(os.getpid()),
        )
        for options in ([], ["--without", "check"])
    ]
    results = []
    for process in processes:
        output, _ = process.communicate(timeout=60)
        results.append((process.returncode, json.loads(output)))
    assert results[0][0] == 0 and results[0][1]["wrong"] == [] and results[0][1]["acts"] > 20
    assert results[1][0] == 1 and results[1][1]["wrong"]


def test_fleet_modules_are_not_imported_without_an_operator_file():
    code = (
        "import sys; from corkgauge.commands.serve import command; from corkgauge.daemon import process as daemon; "
        "print([name for name in sys.modules if name.startswith(('corkgauge.membership', 'corkgauge.leases', "
        "'cryptography'))])"
    )
    assert (
        subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout
        == "[]\n"
    )

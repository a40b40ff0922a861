"""The ledger, its auditor, snapshots, checkpoint files, the HTTP listener and the operator file."""

import json
import os
import socket
import stat

import pytest
from click.testing import CliRunner
from hypothesis import given, settings, strategies
from prometheus_client.parser import text_string_to_metric_families

from corkgauge.accounting import checkpoint, counter_names, exposition, http_listener
from corkgauge.accounting.auditor import LedgerAuditor
from corkgauge.accounting.checkpoint_file import CheckpointFile, read_checkpoint_file
from corkgauge.accounting.discrepancies import Discrepancies
from corkgauge.accounting.http_listener import HttpListener
from corkgauge.accounting.latency_sketches import LatencySketches, quantile
from corkgauge.accounting.ledger import RequestLedger
from corkgauge.accounting.service import AccountingService
from corkgauge.accounting.snapshot import as_plain_dict, take_snapshot
from corkgauge.accounting.snapshot_checks import find_decreases, find_imbalances
from corkgauge.accounting.snapshot_merge import merge_snapshots
from corkgauge.commands import group
from corkgauge.config.operator_file import read as read_operator
from corkgauge.config.platform import ConfigurationError
from corkgauge.eventloop.logging import event_of
from corkgauge.policy.records import AttemptOutcome
from tests.harness import SECOND, HostHarness, endpoint_list_event, request_frame, request_id

REQUEST_ID = request_id(1)


class Record:
    """A request or an attempt with only the fields that the ledger uses."""

    def __init__(self, row, engine_row=None, client_request=None):
        self.row = row
        self.engine_row = engine_row
        self.client_request = client_request
        self.serial = 0


class AuditedLedger:
    """A ledger with matching live records, which tests can corrupt.

    Implements `AuditedRecords`.
    """

    def __init__(self, slice_records=3, **options):
        self.now = 1000
        self.logged = []
        self.open = []
        self.answering = []
        self.in_flight = []
        self.serials_on_streams = set()
        self.discrepancies = Discrepancies(lambda: self.now, self.logged.append)
        self.ledger = RequestLedger(
            ["a", "b"], lambda: self.now, on_mistake=self.record_mistake, **options
        )
        self.rows = [self.ledger.request_classes["a"], self.ledger.request_classes["b"]]
        self.engine_rows = [self.ledger.get_engine_row(f"e{n}") for n in range(2)]
        self.auditor = LedgerAuditor(self.ledger, self, self.discrepancies, slice_records)

    def record_mistake(self, kind, row, serial):
        self.discrepancies.record_mistake(kind, row.name, f"serial {serial}")

    def accept(self, row=0):
        record = Record(self.rows[row])
        self.ledger.record_accepted(record)
        self.open.append(record)
        return record

    def close(self, record, reason=counter_names.EndReason.WITHIN_OBJECTIVE):
        self.open.remove(record)
        self.ledger.record_closed(record, reason)

    def send(self, record, engine=0, attempt_kind=counter_names.AttemptKind.FIRST):
        attempt = Record(None, self.engine_rows[engine], record)
        self.ledger.record_attempt_sent(attempt, attempt_kind)
        self.in_flight.append(attempt)
        return attempt

    def finish(self, attempt, outcome=AttemptOutcome.SUCCEEDED):
        self.in_flight.remove(attempt)
        self.ledger.record_attempt_finished(attempt, outcome)

    def run_pass(self):
        """Run a whole pass; return the kind, row and difference of each finding."""
        self.auditor.run_whole_pass()
        return [
            (finding.kind, finding.row, finding.difference)
            for finding in self.discrepancies.by_kind_and_row.values()
        ]

    # The methods of AuditedRecords.

    def list_open_entries(self):
        return [*self.open]

    def list_answering_entries(self):
        return [*self.answering]

    def list_attempts_in_flight(self):
        return [*self.in_flight]

    def find_attempt_mismatch(self, attempt):
        return ""

    def list_engines(self):
        return [*self.engine_rows]

    def find_engine_mismatch(self, row):
        return row.name, ""

    def get_engine_name(self, row):
        return row.name

    def count_connections(self):
        return (0, 0), (0, 0)

    def find_other_reference(self, serial):
        return "stream 1" if serial in self.serials_on_streams else ""


@settings(max_examples=150, deadline=None)
@given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 5), strategies.integers(0, 999)), max_size=120
    ),
    strategies.integers(1, 7),
)
def test_pass_finds_nothing_when_counts_change_between_slices(steps, slice_records):
    accounts = AuditedLedger(slice_records)
    for action, choice in steps:
        accounts.now += 1
        if action == 0:
            accounts.accept(choice % 2)
        elif action == 1 and accounts.open:
            accounts.close(
                accounts.open[choice % len(accounts.open)], choice % len(counter_names.END_REASONS)
            )
        elif action == 2 and accounts.open:
            accounts.send(accounts.open[choice % len(accounts.open)], choice % 2, choice % 3)
        elif action == 3 and accounts.in_flight:
            accounts.finish(accounts.in_flight[choice % len(accounts.in_flight)], choice % 8)
        else:
            accounts.auditor.step()
    while not accounts.auditor.step():
        pass
    assert accounts.run_pass() == [] and accounts.logged == []
    assert find_imbalances(take_snapshot(accounts.ledger, accounts.now, "n", {"id": "x"})) == []


def close_request_twice(accounts):
    record = accounts.accept()
    accounts.close(record)
    accounts.ledger.record_closed(record, counter_names.EndReason.WITHIN_OBJECTIVE)


def keep_closed_request_in_table(accounts):
    record = accounts.accept()
    accounts.ledger.record_closed(record, counter_names.EndReason.WITHIN_OBJECTIVE)


def drop_open_request_with_stream(accounts):
    accounts.serials_on_streams.add(accounts.open.pop().serial)


def replace_open_record(accounts):
    accounts.accept()  # counted, but its record is lost
    accounts.open.pop()
    accounts.open.append(Record(accounts.rows[0]))  # has a record, but was never counted


@pytest.mark.parametrize(
    "corrupt, expected_finding",
    [
        (
            lambda accounts: accounts.ledger.record_accepted(accounts.open[0]),
            ("entered twice", "a", 1),
        ),
        (
            lambda accounts: accounts.open.append(Record(accounts.rows[1])),
            ("never entered", "b", -1),
        ),
        (lambda accounts: accounts.open.pop(), ("never closed", "a", 1)),
        (close_request_twice, ("closed twice", "a", -1)),
        (keep_closed_request_in_table, ("closed twice", "a", -1)),
        (drop_open_request_with_stream, ("lost from the table", "a", 1)),
        (replace_open_record, ("count altered", "a", 0)),
        (lambda accounts: accounts.in_flight.pop(), ("hand-off never closed", "e0", 1)),
        (
            lambda accounts: accounts.ledger.record_attempt_finished(accounts.in_flight[0], 1),
            ("hand-off closed twice", "e0", -1),
        ),
        (
            lambda accounts: accounts.ledger.record_attempt_sent(accounts.in_flight[0], 0),
            ("hand-off entered twice", "e0", 1),
        ),
        (
            lambda accounts: accounts.in_flight.append(
                Record(None, accounts.engine_rows[1], accounts.open[0])
            ),
            ("hand-off never entered", "e1", -1),
        ),
        (lambda accounts: accounts.rows[0].terms.__setitem__(2, 5), ("terms differ", "a", 5)),
        (
            lambda accounts: accounts.engine_rows[0].outcomes.__setitem__(3, 1),
            ("terms differ", "e0", -1),
        ),
        (
            lambda accounts: accounts.rows[1].sent_by_kind.__setitem__(1, 2),
            ("books differ", "further", 2),
        ),
        (
            lambda accounts: accounts.ledger.record_connection_opened(0),
            ("books differ", "client connections", 1),
        ),
        (lambda accounts: accounts.ledger.get_engine_row("e9"), ("engine out of step", "e9", 1)),
    ],
)
def test_finding_has_kind_row_and_difference_of_corruption(corrupt, expected_finding):
    accounts = AuditedLedger()
    accounts.send(accounts.accept())
    accounts.accept(0)
    assert accounts.run_pass() == []
    corrupt(accounts)
    assert expected_finding in accounts.run_pass() and expected_finding[1] in accounts.logged[0]


def test_finding_is_logged_once_per_change_and_kept_until_cleared():
    accounts = AuditedLedger()
    accounts.rows[0].open += 1
    for _ in range(5):
        accounts.run_pass()
    assert len(accounts.logged) == 2  # "count altered" and "terms differ"
    accounts.rows[0].open -= 1
    # The count is correct again, but the findings remain.
    assert len(accounts.run_pass()) == 2 and accounts.discrepancies.has_findings
    assert (
        accounts.discrepancies.clear() == 2
        and accounts.run_pass() == []
        and not accounts.discrepancies.has_findings
    )
    assert accounts.ledger.find_last_events(accounts.rows[0]) == []


def test_number_of_findings_is_limited():
    accounts = AuditedLedger()
    for n in range(2000):
        accounts.discrepancies.record_difference("count altered", f"r{n}", 1)
    assert (
        len(accounts.discrepancies.by_kind_and_row) == 256
        and accounts.discrepancies.omitted_count == 1744
    )


def test_retry_budget_check_counts_accepted_requests_in_window():
    accounts = AuditedLedger(budget=(1.0, 0.1, SECOND))
    requests = [accounts.accept() for _ in range(10)]
    for _ in range(2):
        accounts.send(requests[0], attempt_kind=counter_names.AttemptKind.RETRY)
    assert accounts.run_pass() == []
    accounts.send(requests[1], attempt_kind=counter_names.AttemptKind.HEDGE)
    assert ("over budget", "e0", 1) in accounts.run_pass()
    accounts.now += 2 * SECOND
    accounts.discrepancies.clear()
    accounts.send(requests[2], attempt_kind=counter_names.AttemptKind.RETRY)
    assert accounts.run_pass() == []


def test_removed_engines_are_merged_into_one_row():
    accounts = AuditedLedger()
    for n in range(300):
        row = accounts.ledger.get_engine_row(f"x{n}")
        attempt = Record(None, row, accounts.accept())
        accounts.ledger.record_attempt_sent(attempt, 0)
        accounts.ledger.record_engine_removed(row)  # with an attempt in flight
        again = accounts.ledger.get_engine_row(f"x{n}")
        assert again is not row  # a new engine with the same id
        accounts.ledger.record_engine_removed(again)
        accounts.ledger.record_attempt_finished(attempt, n % 8)
    assert (
        len(accounts.ledger.list_engine_rows()) == 3
        and sum(accounts.ledger.removed_row.outcomes) == 300
    )
    assert accounts.run_pass() == []


# The live records of the host, on a fake clock.


def audit_and_take_snapshot(harness):
    socket_host = harness.socket_host
    socket_host.auditor.run_whole_pass()
    assert not socket_host.discrepancies.by_kind_and_row, [
        finding.log_line() for finding in socket_host.discrepancies.by_kind_and_row.values()
    ]
    snapshot = take_snapshot(socket_host.ledger, socket_host.now, "n", {"id": "x"})
    assert find_imbalances(snapshot) == []
    return snapshot


def test_answers_of_engines_after_deadline_leave_no_imbalance():
    harness = HostHarness(events=[endpoint_list_event(1, {}, {"id": "e2", "addr": "127.0.0.9:2"})])
    client, engines = (
        harness.connect_client(),
        [harness.connect_engine(), harness.connect_engine("e2")],
    )
    harness.send(client, request_frame(1, patience="600"))
    harness.pass_time(7000)
    assert harness.receive_answers(client)[0][2] != b"\1"
    for engine in engines:
        harness.send_engine_command(
            engine, REQUEST_ID, "DONE", "chunks=1,spent=1,wanted=1", "a\t\t\n"
        )
    snapshot = audit_and_take_snapshot(harness)
    row = snapshot["offerings"]["quick"]
    assert (row["taken"], row["open"], row["out"], row["served"]) == (1, 0, 0, 0)


def test_hedged_attempt_and_original_both_answer_without_imbalance():
    harness = HostHarness(
        events=[endpoint_list_event(1, {}, {"id": "e2", "addr": "127.0.0.9:2"})],
        limits={"secondCopies": True, "mostTries": 3},
    )
    client, engines = (
        harness.connect_client(),
        [harness.connect_engine(), harness.connect_engine("e2")],
    )
    harness.send(client, request_frame(1))
    request = harness.socket_host.open_requests[REQUEST_ID]
    harness.socket_host.gateway.hedging.cancel_or_hedge(request.attempts[0])
    harness.socket_host.gateway.admission.fill_slots()
    harness.turn()
    assert (
        len(request.attempts) == 2
        and audit_and_take_snapshot(harness)["offerings"]["quick"]["copies"] == 1
    )
    for engine in engines:
        harness.send_engine_command(
            engine, REQUEST_ID, "DONE", "chunks=1,spent=1,wanted=1", "a\t\t\n"
        )
    row = audit_and_take_snapshot(harness)["offerings"]["quick"]
    assert (row["served"], row["firsts"], row["copies"], row["out"]) == (1, 1, 1, 0)
    assert [frame[2] for frame in harness.receive_answers(client)] == [b"\1"]


@pytest.mark.parametrize("hangs_up, reason", [(True, "cut_off"), (False, "in_time")])
def test_reason_shows_whether_client_disconnected_during_answer(hangs_up, reason):
    harness = HostHarness()
    client, engine = harness.connect_client(), harness.connect_engine()
    link = next(iter(harness.socket_host.client_connections)).link
    link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
    row, streams = "x" * 1800 + "\t\t\n", range(1, 5)
    for stream in streams:
        harness.send(client, request_frame(stream))
    for stream in streams:
        harness.send_engine_command(
            engine, request_id(stream), "DONE", "chunks=8,spent=1,wanted=1", row * 3
        )
        for n in range(1, 8):
            harness.send_engine_command(engine, request_id(stream), "MORE", f"at={n}", row * 3)
    snapshot = audit_and_take_snapshot(harness)
    assert (
        snapshot["offerings"]["quick"]["open"] > 0 and not harness.socket_host.open_requests
    )  # answered, but not completely sent
    if hangs_up:
        client.close()
    for _ in range(40):
        if not hangs_up:
            harness.receive(client)
        harness.turn()
    reasons = audit_and_take_snapshot(harness)["offerings"]["quick"]["reasons"]
    assert reasons[reason] > 0 and sum(reasons.values()) == 4 and not harness.socket_host.answering


def test_cancelled_unusable_and_rejected_requests_are_counted_by_reason():
    harness = HostHarness(limits={"openCap": 2, "streamsPerConn": 4})
    client, engine = harness.connect_client(), harness.connect_engine()
    harness.send(
        client,
        request_frame(1) + request_frame(2) + request_frame(3) + request_frame(4, route="none"),
    )
    harness.send(client, bytes.fromhex("050000000801000000"))
    snapshot = audit_and_take_snapshot(harness)
    row = snapshot["offerings"]["quick"]
    assert (
        row["reasons"]["withdrawn"] == 1 and row["reasons"]["at_the_door"] == 1 and row["open"] == 1
    )
    assert snapshot["offerings"]["(unusable)"]["reasons"]["unusable"] == 1
    client.close()
    harness.turn()
    harness.send_engine_command(engine, REQUEST_ID, "DONE", "chunks=1,spent=1,wanted=1", "a\t\t\n")
    assert audit_and_take_snapshot(harness)["offerings"]["quick"]["reasons"]["client_gone"] == 1


def test_shutdown_with_open_requests_and_relisted_engine_leaves_no_imbalance():
    harness = HostHarness()
    client = harness.connect_client()
    harness.connect_engine()
    harness.send(client, request_frame(1) + request_frame(2) + request_frame(3))
    harness.socket_host.on_discovery_event(
        "2", json.dumps(endpoint_list_event(2, {"state": "DELETED"}))
    )
    harness.turn()
    harness.socket_host.on_discovery_event(
        "3", json.dumps(endpoint_list_event(3, {"addr": "127.0.0.9:7"}))
    )
    harness.turn()
    audit_and_take_snapshot(harness)
    harness.socket_host.start_shutdown()
    harness.pass_time(4 * SECOND)
    row = audit_and_take_snapshot(harness)["offerings"]["quick"]
    assert (
        row["taken"] == 3 == row["served"] + row["refused"] + row["failed"]
        and harness.event_loop.stopped
    )


def test_thread_that_is_never_released_is_found():
    harness = HostHarness()
    client = harness.connect_client()
    harness.connect_engine()
    harness.send(client, request_frame(1))
    harness.socket_host.engine_pools["e1"].engine.threads_in_flight += 1
    harness.socket_host.auditor.run_whole_pass()
    assert [*harness.socket_host.discrepancies.by_kind_and_row] == [("engine out of step", "e1")]


# Snapshots.


def build_snapshot(**request_class):
    accounts = AuditedLedger()
    accounts.close(accounts.accept())
    snapshot = take_snapshot(accounts.ledger, 5, "n1", {"id": "x", "started": 1})
    snapshot["offerings"]["a"].update(request_class)
    return snapshot


@pytest.mark.parametrize(
    "changed_counts, decrease_count", [({}, 0), ({"taken": 0}, 1), ({"served": 0, "taken": 0}, 2)]
)
def test_decreased_counts_within_epoch_are_found(changed_counts, decrease_count):
    assert len(find_decreases(build_snapshot(), build_snapshot(**changed_counts))) == decrease_count
    assert (
        find_decreases(build_snapshot(), {**build_snapshot(**changed_counts), "epoch": {"id": "y"}})
        == []
    )


def test_merge_of_snapshots_sums_counts_and_sketches():
    snapshots = []
    for n in range(3):
        sketches = LatencySketches(0.02)
        for span in range(n + 1, 3000, 3):
            sketches.record_answered("a", span * 10)
        sketches.merge_engine("never", "(departed)")
        snapshots.append({**build_snapshot(), "gateway": f"n{n}", "waits": sketches.fields()})
    merged = merge_snapshots(snapshots)
    assert merged["offerings"]["a"]["served"] == 3 and find_imbalances(merged) == []
    assert (
        abs(quantile(merged["waits"][0], 0.99) - 2.97) < 0.07
        and merged["waits"][0]["count"] == 2999
    )


def test_accounts_and_audit_commands_report_imbalances(tmp_path):
    good, bad = tmp_path / "good.json", tmp_path / "bad.jsonl"
    good.write_text(json.dumps(as_plain_dict(build_snapshot())))
    bad.write_text(
        "\n".join(
            json.dumps(as_plain_dict(each))
            for each in (build_snapshot(), build_snapshot(served=0), build_snapshot(taken=0))
        )
    )
    run = CliRunner().invoke
    for command in "accounts", "audit":
        assert run(group, [command, str(good)]).exit_code == 0
    assert run(group, ["accounts", str(good), str(good), "--json"]).exit_code == 0
    result = run(group, ["audit", "--json", str(bad)])
    assert result.exit_code == 1 and len(json.loads(result.output)["wrong"]) == 5
    (tmp_path / "x").write_text("{}")
    result = run(group, ["audit", str(tmp_path / "x")])
    assert result.exit_code == 2 and "x:1: expected a snapshot" in result.output
    assert run(group, ["accounts", "/nowhere.sock"]).exit_code == 2


# The checkpoint file.


def open_checkpoint_file(folder, gateway="n1"):
    logged = []
    return CheckpointFile(str(folder), gateway, logged.append), logged


def test_next_start_closes_previous_epoch(tmp_path):
    accounts = AuditedLedger()
    accounts.close(accounts.accept())
    accounts.accept()
    first, _ = open_checkpoint_file(tmp_path)
    for now in range(5):
        first.write(take_snapshot(accounts.ledger, now, "n1", {"id": f"x{now}"}))
    second, logged = open_checkpoint_file(tmp_path)
    assert "in use by another" in logged[0] and second.mapping is None  # two programs in one folder
    second.write(build_snapshot())
    first.close()  # has the same effect as a kill
    third, logged = open_checkpoint_file(tmp_path)
    assert logged == ["figures: epoch x4 closed, taken=2 cut_off=1"]
    third.write(build_snapshot())
    third.close()
    content = read_checkpoint_file(third.path)
    assert (
        content["cut"]["gateway"] == "n1"
        and content["earlier"][0]["offerings"]["a"]["cut_off"] == 1
    )


def test_other_slot_is_used_if_one_is_torn_at_any_offset(tmp_path):
    old, new = (
        checkpoint.encode_slot(n, {"cut": as_plain_dict(build_snapshot()), "earlier": [], "n": n})
        for n in (4, 5)
    )
    assert checkpoint.find_latest_slot(old.ljust(checkpoint.SLOT_BYTES, b"\0") + new)[1]["n"] == 5
    for at in range(len(new)):
        torn = new[:at] + bytes(len(new) - at)
        assert (
            checkpoint.find_latest_slot(old.ljust(checkpoint.SLOT_BYTES, b"\0") + torn)[1]["n"] == 4
        )
        assert (
            checkpoint.find_latest_slot(old[:at] + bytes(9) + old[at + 9 :])[2] == "torn"
            or at >= len(old) - 9
            or at < 8
        )


@pytest.mark.parametrize(
    "data, reason",
    [
        (b"{}" * 40, "foreign"),
        (checkpoint.encode_slot(1, {})[:8] + b"\2\0" + checkpoint.encode_slot(1, {})[10:], "newer"),
        (checkpoint.encode_slot(1, {"a": 1})[:-1] + b"\7", "torn"),
        (checkpoint.encode_slot(1, {"cut": 3, "earlier": []}), "foreign"),
        (checkpoint.MAGIC + b"\1\0\xff\xff\xff\xff" + bytes(60), "torn"),
        (checkpoint.encode_slot(1, [1]), "foreign"),
    ],
)
def test_unusable_checkpoint_file_is_logged_and_replaced(tmp_path, data, reason):
    (tmp_path / "n1.figures").write_bytes(data)
    checkpoint_file, logged = open_checkpoint_file(tmp_path)
    assert len(logged) == 1 and reason in logged[0] and "a fresh epoch" in logged[0]
    checkpoint_file.write(build_snapshot())
    checkpoint_file.close()
    assert read_checkpoint_file(checkpoint_file.path)["cut"]["at"] == 5


@given(strategies.binary(max_size=300))
def test_arbitrary_bytes_are_no_valid_checkpoint(data):
    assert (
        checkpoint.find_latest_slot(data)[2]
        and checkpoint.find_latest_slot(checkpoint.MAGIC + data)[2]
    )


def test_unusable_folder_disables_checkpoints_and_is_logged(tmp_path, monkeypatch):
    (tmp_path / "file").write_text("")
    checkpoint_file, logged = open_checkpoint_file(tmp_path / "file" / "folder")
    checkpoint_file.write(build_snapshot())
    assert checkpoint_file.mapping is None and "Not a directory" in logged[0]

    def raise_disk_full(*_):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "posix_fallocate", raise_disk_full)
    checkpoint_file, logged = open_checkpoint_file(tmp_path / "full")
    checkpoint_file.write(build_snapshot())
    assert checkpoint_file.mapping is None and "No space left" in logged[0]


def test_engines_that_do_not_fit_are_written_in_one_row(tmp_path):
    accounts = AuditedLedger()
    for n in range(12_000):
        accounts.ledger.get_engine_row(f"engine-{n:05d}").outcomes[1] = 10**9
    checkpoint_file, logged = open_checkpoint_file(tmp_path)
    for _ in range(3):
        checkpoint_file.write(take_snapshot(accounts.ledger, 7, "n1", {"id": "x"}))
    checkpoint_file.close()
    assert len(logged) == 1 and "engines are kept in one row" in logged[0]
    assert (
        read_checkpoint_file(checkpoint_file.path)["cut"]["engines"]["(all)"]["outcomes"][
            "honoured"
        ]
        == 12_000 * 10**9
    )


# The HTTP listener.


def start_accounting_service(harness, path, elements="", max_readers=2):
    operator = path.parent / "operator.xml"
    operator.write_text(
        f'<operator version="1"><figures><listen unix="{path}" readers="{max_readers}"/>{elements}'
        "</figures></operator>"
    )
    return AccountingService(harness.socket_host, "n1", 7, read_operator(str(operator)).accounting)


def send_http_request(harness, path, request, turns=300):
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(str(path))
        sock.sendall(request)
        sock.setblocking(False)
        data = b""
        for _ in range(turns):
            harness.time += 20
            harness.turn(2)
            try:
                data += sock.recv(1 << 20)
            except BlockingIOError:
                continue
        return data


def http_request(target, method="GET"):
    return f"{method} {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


def test_listener_serves_counts_as_json_and_as_metrics(tmp_path):
    harness = HostHarness()
    path = tmp_path / "sock"
    service = start_accounting_service(harness, path, "<waits/>")
    client, engine = harness.connect_client(), harness.connect_engine()
    harness.send(client, request_frame(1))
    harness.send_engine_command(engine, REQUEST_ID, "DONE", "chunks=1,spent=1,wanted=1", "a\t\t\n")
    assert stat.S_ISSOCK(os.stat(path).st_mode)
    assert b'"served":1' in send_http_request(harness, path, http_request("/figures"))
    assert (
        b"404" in send_http_request(harness, path, http_request("/nothing"))
        and send_http_request(harness, path, b"\0\0\r\n\r\n") == b""
    )
    text = b"".join(exposition.render_text_chunks(service.take_snapshot())).decode()
    families = {family.name: family for family in text_string_to_metric_families(text)}
    samples = {
        (each.name, *sorted(each.labels.values())): each.value
        for family in families.values()
        for each in family.samples
    }
    assert samples["corkgauge_submissions_taken_total", "n1", "quick"] == 1
    assert samples["corkgauge_latency_seconds_bucket", "+Inf", "n1", "quick"] == 1
    assert len(families) == len(
        {line.split()[2] for line in text.splitlines() if line.startswith("# TYPE")}
    )
    harness.socket_host.ledger.request_classes["quick"].terms[0] += 1
    harness.socket_host.auditor.run_whole_pass()
    assert b'"kind": "terms differ"' in send_http_request(harness, path, http_request("/findings"))
    assert b'{"cleared": 1}' in send_http_request(harness, path, http_request("/clear", "POST"))
    assert not harness.socket_host.discrepancies.by_kind_and_row


def test_idle_reader_is_disconnected_and_does_not_block_others(tmp_path):
    harness = HostHarness(
        events=[
            endpoint_list_event(
                1, *({"id": f"e{n}", "addr": f"127.0.0.9:{n + 1}"} for n in range(900))
            )
        ]
    )
    path = tmp_path / "sock"
    service = start_accounting_service(harness, path, max_readers=4)
    idle = [socket.socket(socket.AF_UNIX) for _ in range(4)]
    for sock in idle:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
        sock.connect(str(path))
        sock.sendall(http_request("/metrics"))
        harness.turn()
    assert service.http_listener.reader_count == 4
    harness.pass_time(7 * SECOND, 500)
    assert service.http_listener.reader_count == 0 and b'"e899"' in send_http_request(
        harness, path, http_request("/figures")
    )
    for sock in idle:
        sock.close()


@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"POST /clear HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\nx",
        http_request("/x") * 500,
    ],
    ids=["silent", "unfinished", "at full speed"],
)
def test_readers_that_keep_all_places_do_not_shut_out_the_next_one(tmp_path, sent):
    """Guards against operators' commands that were turned away while others held the places."""
    harness = HostHarness()
    path = tmp_path / "sock"
    service = start_accounting_service(harness, path)
    busy = [socket.socket(socket.AF_UNIX) for _ in range(4)]
    for sock in busy:
        sock.connect(str(path))
        sock.sendall(sent)
        harness.turn()
    assert service.http_listener.reader_count == 2  # the limit; the others wait for a place
    assert b"HTTP/1.1 200" in send_http_request(harness, path, http_request("/figures"), 900)
    for sock in busy:
        sock.close()


def test_rendering_for_readers_pauses_for_longer_than_it_takes(tmp_path, monkeypatch):
    """Guards against requests that were refused while readers kept the process busy."""
    harness = HostHarness()
    path = tmp_path / "sock"
    service = start_accounting_service(harness, path)

    def slow_chunks(chunks):
        for _ in range(4):
            harness.time += 10
            yield b"x"

    monkeypatch.setattr(http_listener, "join_chunks", slow_chunks)
    sleeps = []
    monkeypatch.setattr(harness.event_loop, "sleep", sleeps.append)
    send_http_request(harness, path, http_request("/figures"))
    assert service.http_listener is not None and sleeps == [3 * 10] * 4


def test_pause_after_a_step_does_not_count_the_time_that_the_reader_took(tmp_path, monkeypatch):
    """Guards against a slow reader that holds its place in a pause of many times its delay."""
    harness = HostHarness()
    path = tmp_path / "sock"
    service = start_accounting_service(harness, path)
    monkeypatch.setattr(http_listener, "join_chunks", lambda chunks: [b"x"])
    original_send = service.http_listener._send

    def send_slowly(*arguments):
        harness.time += 4 * SECOND
        original_send(*arguments)

    monkeypatch.setattr(service.http_listener, "_send", send_slowly)
    sleeps = []
    monkeypatch.setattr(harness.event_loop, "sleep", sleeps.append)
    send_http_request(harness, path, http_request("/figures"))
    assert sleeps == [1]


def test_pause_after_a_standstill_is_bounded(tmp_path, monkeypatch):
    """Guards against a reader that keeps its place for long, as the process stood still."""
    harness = HostHarness()
    service = start_accounting_service(harness, tmp_path / "sock")
    sleeps = []
    monkeypatch.setattr(harness.event_loop, "sleep", sleeps.append)
    service.http_listener.reader_count = 4
    service.http_listener._pause(2 * SECOND)
    assert sleeps == [http_listener.MAX_PAUSE_TICKS]


def test_listener_moves_on_reload_and_replaces_only_dead_sockets(tmp_path):
    harness = HostHarness()
    first, second = tmp_path / "one", tmp_path / "two"
    dead = socket.socket(socket.AF_UNIX)
    dead.bind(str(first))
    dead.close()
    service = start_accounting_service(harness, first)
    (tmp_path / "file").write_text("kept")
    with pytest.raises(ConfigurationError):
        start_accounting_service(harness, tmp_path / "file")
    with pytest.raises(OSError):
        HttpListener(
            harness.event_loop, str(first), 1, dict, int, print, {}
        )  # another program listens on the path
    config = read_operator(str(tmp_path / "operator.xml")).accounting
    with pytest.raises(ConfigurationError):
        service.reload(config)  # the path is a regular file, so the old listener remains
    assert (
        b"200" in send_http_request(harness, first, http_request("/figures"))
        and (tmp_path / "file").read_text() == "kept"
    )
    (tmp_path / "operator.xml").write_text(
        f'<operator version="1"><figures><listen unix="{second}"/></figures></operator>'
    )
    service.reload(read_operator(str(tmp_path / "operator.xml")).accounting)
    assert (
        b"200" in send_http_request(harness, second, http_request("/figures"))
        and not first.exists()
    )
    service.end()
    assert not second.exists()


# The operator file and the log.


@pytest.mark.parametrize(
    "text, expected_message",
    [
        ("<operator", "operator.xml:1:"),
        ('<operator version="2"/>', "operator.xml:1: Element 'operator'"),
        ('<operator version="1">\n<figure/></operator>', "operator.xml:2: Element 'figure'"),
        (
            '<operator version="1">\n<figures>\n<listen/></figures></operator>',
            "3: element 'listen': expected one of",
        ),
        (
            '<operator version="1"><figures><listen address="10.0.0.1:80"/></figures></operator>',
            "'address'",
        ),
        (
            '<operator version="1"><figures><listen address="127.0.0.999:80"/>'
            "</figures></operator>",
            "loopback",
        ),
        ('<operator version="1"><figures><keep folder="rel"/></figures></operator>', "'folder'"),
        (
            '<operator version="1"><figures><keep folder="/x" each="0"/></figures></operator>',
            "'each'",
        ),
        ('<operator version="1"><figures><waits error="2"/></figures></operator>', "'error'"),
        (
            f'<operator version="1"><figures><listen unix="/{"x" * 200}"/></figures></operator>',
            "107 bytes",
        ),
        (
            '<!DOCTYPE x [<!ENTITY e SYSTEM "/etc/passwd">]><operator version="1">&e;</operator>',
            "no document type",
        ),
    ],
)
def test_error_of_invalid_operator_file_has_line_and_element(tmp_path, text, expected_message):
    path = tmp_path / "operator.xml"
    path.write_text(text)
    with pytest.raises(ConfigurationError) as raised:
        read_operator(str(path))
    assert expected_message in str(raised.value) and "\n" not in str(raised.value)


def test_operator_file_has_defaults(tmp_path):
    path = tmp_path / "operator.xml"
    path.write_text(
        '<operator version="1"><figures><listen address="[::1]:9"/><keep folder="/x"/></figures>'
        "</operator>"
    )
    config = read_operator(str(path)).accounting
    assert (config.listen, config.readers) == (("::1", 9), 4)
    assert (
        config.checkpoint_folder,
        config.checkpoint_interval_ticks,
        config.latency_relative_error,
    ) == ("/x", 2500, 0.0)
    path.write_text('<operator version="1"/>')
    assert read_operator(str(path)).accounting is None


def test_log_lines_of_findings_have_event_names():
    accounts = AuditedLedger()
    accounts.open.append(Record(accounts.rows[0]))
    accounts.rows[1].terms[0] += 1
    accounts.run_pass()
    accounts.discrepancies.clear()
    assert [event_of(line)[0] for line in accounts.logged] == [
        *["figures_finding"] * 2,
        "figures_cleared",
    ]
    assert event_of(accounts.logged[0])[1]["kind"] == "never entered"

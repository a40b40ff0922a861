"""Accounting: ledger, auditor, snapshots, checkpoint file, HTTP listener, operator file."""

import json
import os
import socket
import stat

import pytest
from click.testing import CliRunner
from hypothesis import given, settings, strategies
from prometheus_client.parser import text_string_to_metric_families

from corkgauge.accounting import checkpoint, counter_names, exposition
from corkgauge.accounting.auditor import LedgerAuditor
from corkgauge.accounting.checkpoint_file import CheckpointFile, read_checkpoint_file
from corkgauge.accounting.discrepancies import Discrepancies
from corkgauge.accounting.http_listener import HttpListener
from corkgauge.accounting.latency_sketches import LatencySketches, quantile
from corkgauge.accounting.ledger import RequestLedger
from corkgauge.accounting.service import AccountingService
from corkgauge.accounting.snapshot import as_plain, take_snapshot
from corkgauge.accounting.snapshot_checks import find_decreases, find_imbalances
from corkgauge.accounting.snapshot_merge import merge_snapshots
from corkgauge.commands import group
from corkgauge.config.operator_file import read as read_operator
from corkgauge.config.platform import ConfigurationError
from corkgauge.eventloop.logging import event_of
from tests.harness import SECOND, HostHarness, listing, name, request_frame

T1 = name(1)


class Record:
    """A request, or an attempt of one, without anything else."""

    def __init__(self, row, engine_row=None, order=None):
        self.row = row
        self.engine_row = engine_row
        self.client_request = order
        self.serial = 0


class AuditedLedger:
    """A ledger beside records that do what they should, unless a test meddles."""

    def __init__(self, slice_=3, **said):
        self.now = 1000
        self.logged = []
        self.open = []
        self.answering = []
        self.in_flight = []
        self.elsewhere = set()
        self.discrepancies = Discrepancies(lambda: self.now, self.logged.append)
        self.ledger = RequestLedger(["a", "b"], lambda: self.now, on_mistake=self.guard, **said)
        self.rows = [self.ledger.request_classes["a"], self.ledger.request_classes["b"]]
        self.engine_rows = [self.ledger.engine_row(f"e{n}") for n in range(2)]
        self.auditor = LedgerAuditor(self.ledger, self, self.discrepancies, slice_)

    def guard(self, kind, row, serial):
        self.discrepancies.record_mistake(kind, row.name, f"serial {serial}")

    def accept(self, row=0):
        record = Record(self.rows[row])
        self.ledger.record_accepted(record)
        self.open.append(record)
        return record

    def close(self, record, reason=counter_names.EndReason.WITHIN_OBJECTIVE):
        self.open.remove(record)
        self.ledger.record_closed(record, reason)

    def send(self, record, engine=0, sort=counter_names.AttemptSort.FIRST):
        attempt = Record(None, self.engine_rows[engine], record)
        self.ledger.record_attempt_sent(attempt, sort)
        self.in_flight.append(attempt)
        return attempt

    def finish(self, attempt, outcome=1):
        self.in_flight.remove(attempt)
        self.ledger.on_attempt_finished(attempt, outcome)

    def run_pass(self):
        """Run a whole pass; return kind, row and difference of all that was found."""
        self.auditor.run_whole_pass()
        return [
            (found.kind, found.row, found.difference)
            for found in self.discrepancies.by_place.values()
        ]

    # What the auditor asks.

    def open_entries(self):
        return [*self.open]

    def answering_entries(self):
        return [*self.answering]

    def attempts_in_flight(self):
        return [*self.in_flight]

    def attempt_mismatch(self, attempt):
        return ""

    def engines(self):
        return [*self.engine_rows]

    def engine_mismatch(self, row):
        return row.name, ""

    def engine_name(self, row):
        return row.name

    def connections(self):
        return (0, 0), (0, 0)

    def find_trace(self, serial):
        return "stream 1" if serial in self.elsewhere else ""


@settings(max_examples=150, deadline=None)
@given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 5), strategies.integers(0, 999)), max_size=120
    ),
    strategies.integers(1, 7),
)
def test_a_pass_in_slices_is_right_whatever_happens_between_them(steps, slice_):
    accounts = AuditedLedger(slice_)
    for what, which in steps:
        accounts.now += 1
        if what == 0:
            accounts.accept(which % 2)
        elif what == 1 and accounts.open:
            accounts.close(
                accounts.open[which % len(accounts.open)], which % len(counter_names.REASONS)
            )
        elif what == 2 and accounts.open:
            accounts.send(accounts.open[which % len(accounts.open)], which % 2, which % 3)
        elif what == 3 and accounts.in_flight:
            accounts.finish(accounts.in_flight[which % len(accounts.in_flight)], which % 8)
        else:
            accounts.auditor.step()
    while not accounts.auditor.step():
        pass
    assert accounts.run_pass() == [] and accounts.logged == []
    assert find_imbalances(take_snapshot(accounts.ledger, accounts.now, "n", {"id": "x"})) == []


def doubled_end(accounts):
    record = accounts.accept()
    accounts.close(record)
    accounts.ledger.record_closed(record, counter_names.EndReason.WITHIN_OBJECTIVE)


def left_in_the_table(accounts):
    record = accounts.accept()
    accounts.ledger.record_closed(record, counter_names.EndReason.WITHIN_OBJECTIVE)


def lost_from_the_table(accounts):
    accounts.elsewhere.add(accounts.open.pop().serial)


def swapped(accounts):
    accounts.accept()  # entered, and its record lost
    accounts.open.pop()
    accounts.open.append(Record(accounts.rows[0]))  # a record that was never entered


@pytest.mark.parametrize(
    "meddle, found",
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
        (doubled_end, ("closed twice", "a", -1)),
        (left_in_the_table, ("closed twice", "a", -1)),
        (lost_from_the_table, ("lost from the table", "a", 1)),
        (swapped, ("count altered", "a", 0)),
        (lambda accounts: accounts.in_flight.pop(), ("hand-off never closed", "e0", 1)),
        (
            lambda accounts: accounts.ledger.on_attempt_finished(accounts.in_flight[0], 1),
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
        (lambda accounts: accounts.rows[1].sorts.__setitem__(1, 2), ("books differ", "further", 2)),
        (
            lambda accounts: accounts.ledger.record_connection_opened(0),
            ("books differ", "client connections", 1),
        ),
        (lambda accounts: accounts.ledger.engine_row("e9"), ("engine out of step", "e9", 1)),
    ],
)
def test_an_imbalance_is_named_with_its_place(meddle, found):
    accounts = AuditedLedger()
    accounts.send(accounts.accept())
    accounts.accept(0)
    assert accounts.run_pass() == []
    meddle(accounts)
    assert found in accounts.run_pass() and found[1] in accounts.logged[0]


def test_a_finding_is_told_once_a_change_and_stays_until_it_is_cleared():
    accounts = AuditedLedger()
    accounts.rows[0].open += 1
    for _ in range(5):
        accounts.run_pass()
    assert len(accounts.logged) == 2  # that a count is altered, and that its row's terms differ
    accounts.rows[0].open -= 1
    # right again, and still held
    assert len(accounts.run_pass()) == 2 and accounts.discrepancies.alarm
    assert (
        accounts.discrepancies.clear() == 2
        and accounts.run_pass() == []
        and not accounts.discrepancies.alarm
    )
    assert accounts.ledger.last_events(accounts.rows[0]) == []


def test_damage_everywhere_is_bounded():
    accounts = AuditedLedger()
    for n in range(2000):
        accounts.discrepancies.record_difference("count altered", f"r{n}", 1)
    assert len(accounts.discrepancies.by_place) == 256 and accounts.discrepancies.omitted == 1744


def test_the_budget_is_counted_from_what_was_taken():
    accounts = AuditedLedger(budget=(1.0, 0.1, SECOND))
    requests = [accounts.accept() for _ in range(10)]
    for _ in range(2):
        accounts.send(requests[0], sort=counter_names.AttemptSort.RETRY)
    assert accounts.run_pass() == []
    accounts.send(requests[1], sort=counter_names.AttemptSort.HEDGE)
    assert ("over budget", "e0", 1) in accounts.run_pass()
    accounts.now += 2 * SECOND
    accounts.discrepancies.clear()
    accounts.send(requests[2], sort=counter_names.AttemptSort.RETRY)
    assert accounts.run_pass() == []


def test_engines_that_left_fold_into_one_row():
    accounts = AuditedLedger()
    for n in range(300):
        row = accounts.ledger.engine_row(f"x{n}")
        attempt = Record(None, row, accounts.accept())
        accounts.ledger.record_attempt_sent(attempt, 0)
        accounts.ledger.record_engine_removed(row)  # with an attempt in flight
        again = accounts.ledger.engine_row(f"x{n}")
        assert again is not row  # its id came back: another's account
        accounts.ledger.record_engine_removed(again)
        accounts.ledger.on_attempt_finished(attempt, n % 8)
    assert len(accounts.ledger.engine_rows()) == 3 and sum(accounts.ledger.departed.outcomes) == 300
    assert accounts.run_pass() == []


# The program's own records, on a fake clock.


def balanced(premises):
    socket_host = premises.socket_host
    socket_host.auditor.run_whole_pass()
    assert not socket_host.discrepancies.by_place, [
        found.log_line() for found in socket_host.discrepancies.by_place.values()
    ]
    cut = take_snapshot(socket_host.ledger, socket_host.now, "n", {"id": "x"})
    assert find_imbalances(cut) == []
    return cut


def test_answers_that_come_late_from_an_engine_that_was_silent():
    premises = HostHarness(events=[listing(1, {}, {"id": "e2", "addr": "127.0.0.9:2"})])
    client, engines = premises.client(), [premises.engine(), premises.engine("e2")]
    premises.ask(client, request_frame(1, patience="600"))
    premises.pass_time(7000)
    assert premises.answers(client)[0][2] != b"\1"
    for engine in engines:
        premises.engine_says(engine, T1, "DONE", "chunks=1,spent=1,wanted=1", "a\t\t\n")
    cut = balanced(premises)
    row = cut["offerings"]["quick"]
    assert (row["taken"], row["open"], row["out"], row["served"]) == (1, 0, 0, 0)


def test_a_copy_and_its_original_both_answer():
    premises = HostHarness(
        events=[listing(1, {}, {"id": "e2", "addr": "127.0.0.9:2"})],
        limits={"secondCopies": True, "mostTries": 3},
    )
    client, engines = premises.client(), [premises.engine(), premises.engine("e2")]
    premises.ask(client, request_frame(1))
    request = premises.socket_host.open_requests[T1]
    premises.socket_host.gateway.hedging.cancel_or_hedge(request.attempts[0])
    premises.socket_host.gateway.admission.fill_slots()
    premises.turn()
    assert len(request.attempts) == 2 and balanced(premises)["offerings"]["quick"]["copies"] == 1
    for engine in engines:
        premises.engine_says(engine, T1, "DONE", "chunks=1,spent=1,wanted=1", "a\t\t\n")
    row = balanced(premises)["offerings"]["quick"]
    assert (row["served"], row["firsts"], row["copies"], row["out"]) == (1, 1, 1, 0)
    assert [frame[2] for frame in premises.answers(client)] == [b"\1"]


@pytest.mark.parametrize("hangs_up, reason", [(True, "cut_off"), (False, "in_time")])
def test_a_client_that_goes_within_its_answer(hangs_up, reason):
    premises = HostHarness()
    client, engine = premises.client(), premises.engine()
    link = next(iter(premises.socket_host.client_connections)).link
    link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
    row, streams = "x" * 1800 + "\t\t\n", range(1, 5)
    for stream in streams:
        premises.ask(client, request_frame(stream))
    for stream in streams:
        premises.engine_says(engine, name(stream), "DONE", "chunks=8,spent=1,wanted=1", row * 3)
        for n in range(1, 8):
            premises.engine_says(engine, name(stream), "MORE", f"at={n}", row * 3)
    cut = balanced(premises)
    assert (
        cut["offerings"]["quick"]["open"] > 0 and not premises.socket_host.open_requests
    )  # answered, and not whole yet
    if hangs_up:
        client.close()
    for _ in range(40):
        if not hangs_up:
            premises.heard(client)
        premises.turn()
    reasons = balanced(premises)["offerings"]["quick"]["reasons"]
    assert reasons[reason] > 0 and sum(reasons.values()) == 4 and not premises.socket_host.answering


def test_what_clients_take_back_what_is_of_no_use_and_what_finds_no_room():
    premises = HostHarness(limits={"openCap": 2, "streamsPerConn": 4})
    client, engine = premises.client(), premises.engine()
    premises.ask(
        client,
        request_frame(1) + request_frame(2) + request_frame(3) + request_frame(4, route="none"),
    )
    premises.ask(client, bytes.fromhex("050000000801000000"))
    cut = balanced(premises)
    row = cut["offerings"]["quick"]
    assert (
        row["reasons"]["withdrawn"] == 1 and row["reasons"]["at_the_door"] == 1 and row["open"] == 1
    )
    assert cut["offerings"]["(unusable)"]["reasons"]["unusable"] == 1
    client.close()
    premises.turn()
    premises.engine_says(engine, T1, "DONE", "chunks=1,spent=1,wanted=1", "a\t\t\n")
    assert balanced(premises)["offerings"]["quick"]["reasons"]["client_gone"] == 1


def test_the_end_with_much_open_and_an_id_that_comes_back():
    premises = HostHarness()
    client = premises.client()
    premises.engine()
    premises.ask(client, request_frame(1) + request_frame(2) + request_frame(3))
    premises.socket_host.on_discovery_event("2", json.dumps(listing(2, {"state": "DELETED"})))
    premises.turn()
    premises.socket_host.on_discovery_event("3", json.dumps(listing(3, {"addr": "127.0.0.9:7"})))
    premises.turn()
    balanced(premises)
    premises.socket_host.start_shutdown()
    premises.pass_time(4 * SECOND)
    row = balanced(premises)["offerings"]["quick"]
    assert (
        row["taken"] == 3 == row["served"] + row["refused"] + row["failed"]
        and premises.event_loop.stopped
    )


def test_a_slot_that_the_gateway_does_not_get_back_is_found():
    premises = HostHarness()
    client = premises.client()
    premises.engine()
    premises.ask(client, request_frame(1))
    premises.socket_host.engine_pools["e1"].engine.threads_in_flight += 1
    premises.socket_host.auditor.run_whole_pass()
    assert [*premises.socket_host.discrepancies.by_place] == [("engine out of step", "e1")]


# Snapshots.


def one_snapshot(**request_class):
    accounts = AuditedLedger()
    accounts.close(accounts.accept())
    said = take_snapshot(accounts.ledger, 5, "n1", {"id": "x", "started": 1})
    said["offerings"]["a"].update(request_class)
    return said


@pytest.mark.parametrize(
    "after, wrong", [({}, 0), ({"taken": 0}, 1), ({"served": 0, "taken": 0}, 2)]
)
def test_counts_that_shrink_within_an_epoch(after, wrong):
    assert len(find_decreases(one_snapshot(), one_snapshot(**after))) == wrong
    assert find_decreases(one_snapshot(), {**one_snapshot(**after), "epoch": {"id": "y"}}) == []


def test_several_gateways_add_up_their_sketches_too():
    cuts = []
    for n in range(3):
        sketches = LatencySketches(0.02)
        for span in range(n + 1, 3000, 3):
            sketches.record_answered("a", span * 10)
        sketches.merge_engine("never", "(departed)")
        cuts.append({**one_snapshot(), "gateway": f"n{n}", "waits": sketches.fields()})
    both = merge_snapshots(cuts)
    assert both["offerings"]["a"]["served"] == 3 and find_imbalances(both) == []
    assert abs(quantile(both["waits"][0], 0.99) - 2.97) < 0.07 and both["waits"][0]["count"] == 2999


def test_the_commands_tell_what_is_wrong(tmp_path):
    good, bad = tmp_path / "good.json", tmp_path / "bad.jsonl"
    good.write_text(json.dumps(as_plain(one_snapshot())))
    bad.write_text(
        "\n".join(
            json.dumps(as_plain(each))
            for each in (one_snapshot(), one_snapshot(served=0), one_snapshot(taken=0))
        )
    )
    run = CliRunner().invoke
    for command in "accounts", "audit":
        assert run(group, [command, str(good)]).exit_code == 0
    assert run(group, ["accounts", str(good), str(good), "--json"]).exit_code == 0
    said = run(group, ["audit", "--json", str(bad)])
    assert said.exit_code == 1 and len(json.loads(said.output)["wrong"]) == 5
    (tmp_path / "x").write_text("{}")
    said = run(group, ["audit", str(tmp_path / "x")])
    assert said.exit_code == 2 and "x:1: not a cut" in said.output
    assert run(group, ["accounts", "/nowhere.sock"]).exit_code == 2


# The checkpoint file.


def checkpoint_file_in(folder, gateway="n1"):
    logged = []
    return CheckpointFile(str(folder), gateway, logged.append), logged


def test_the_next_start_closes_the_epoch_before(tmp_path):
    accounts = AuditedLedger()
    accounts.close(accounts.accept())
    accounts.accept()
    first, logged = checkpoint_file_in(tmp_path)
    for now in range(5):
        first.write(take_snapshot(accounts.ledger, now, "n1", {"id": f"x{now}"}))
    second, said = checkpoint_file_in(tmp_path)
    assert "in use by another" in said[0] and second.mapping is None  # two programs in one folder
    second.write(one_snapshot())
    first.close()  # as a kill does
    third, said = checkpoint_file_in(tmp_path)
    assert said == ["figures: epoch x4 closed, taken=2 cut_off=1"]
    third.write(one_snapshot())
    third.close()
    kept = read_checkpoint_file(third.path)
    assert kept["cut"]["gateway"] == "n1" and kept["earlier"][0]["offerings"]["a"]["cut_off"] == 1


def test_a_slot_torn_at_any_place_leaves_the_other(tmp_path):
    old, new = (
        checkpoint.encode_slot(n, {"cut": as_plain(one_snapshot()), "earlier": [], "n": n})
        for n in (4, 5)
    )
    assert checkpoint.latest_slot(old.ljust(checkpoint.SLOT_BYTES, b"\0") + new)[1]["n"] == 5
    for at in range(len(new)):
        torn = new[:at] + bytes(len(new) - at)
        assert checkpoint.latest_slot(old.ljust(checkpoint.SLOT_BYTES, b"\0") + torn)[1]["n"] == 4
        assert (
            checkpoint.latest_slot(old[:at] + bytes(9) + old[at + 9 :])[2] == "torn"
            or at >= len(old) - 9
            or at < 8
        )


@pytest.mark.parametrize(
    "data, why",
    [
        (b"{}" * 40, "foreign"),
        (checkpoint.encode_slot(1, {})[:8] + b"\2\0" + checkpoint.encode_slot(1, {})[10:], "newer"),
        (checkpoint.encode_slot(1, {"a": 1})[:-1] + b"\7", "torn"),
        (checkpoint.encode_slot(1, {"cut": 3, "earlier": []}), "foreign"),
        (checkpoint.MAGIC + b"\1\0\xff\xff\xff\xff" + bytes(60), "torn"),
        (checkpoint.encode_slot(1, [1]), "foreign"),
    ],
)
def test_files_that_are_no_use_are_told_and_left(tmp_path, data, why):
    (tmp_path / "n1.figures").write_bytes(data)
    kept, logged = checkpoint_file_in(tmp_path)
    assert len(logged) == 1 and why in logged[0] and "a fresh epoch" in logged[0]
    kept.write(one_snapshot())
    kept.close()
    assert read_checkpoint_file(kept.path)["cut"]["at"] == 5


@given(strategies.binary(max_size=300))
def test_any_bytes_are_read_without_harm(data):
    assert checkpoint.latest_slot(data)[2] and checkpoint.latest_slot(checkpoint.MAGIC + data)[2]


def test_a_folder_that_is_full_or_no_folder(tmp_path, monkeypatch):
    (tmp_path / "file").write_text("")
    none, logged = checkpoint_file_in(tmp_path / "file" / "folder")
    none.write(one_snapshot())
    assert none.mapping is None and "Not a directory" in logged[0]

    def full(*_):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "posix_fallocate", full)
    none, logged = checkpoint_file_in(tmp_path / "full")
    none.write(one_snapshot())
    assert none.mapping is None and "No space left" in logged[0]


def test_more_engines_than_fit_are_kept_in_one_row(tmp_path):
    accounts = AuditedLedger()
    for n in range(12_000):
        accounts.ledger.engine_row(f"engine-{n:05d}").outcomes[1] = 10**9
    kept, logged = checkpoint_file_in(tmp_path)
    for _ in range(3):
        kept.write(take_snapshot(accounts.ledger, 7, "n1", {"id": "x"}))
    kept.close()
    assert len(logged) == 1 and "engines are kept in one row" in logged[0]
    assert (
        read_checkpoint_file(kept.path)["cut"]["engines"]["(all)"]["outcomes"]["honoured"]
        == 12_000 * 10**9
    )


# The HTTP listener.


def accounting_service(premises, path, said="", most=2):
    operator = path.parent / "operator.xml"
    operator.write_text(
        f'<operator version="1"><figures><listen unix="{path}" readers="{most}"/>{said}'
        "</figures></operator>"
    )
    return AccountingService(premises.socket_host, "n1", 7, read_operator(str(operator)).accounting)


def asked(premises, path, head):
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(str(path))
        sock.sendall(head)
        sock.setblocking(False)
        data = b""
        for _ in range(300):
            premises.time += 20
            premises.turn(2)
            try:
                data += sock.recv(1 << 20)
            except BlockingIOError:
                continue
        return data


def get(target, method="GET"):
    return f"{method} {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


def test_figures_are_told_in_both_forms(tmp_path):
    premises = HostHarness()
    path = tmp_path / "sock"
    service = accounting_service(premises, path, "<waits/>")
    client, engine = premises.client(), premises.engine()
    premises.ask(client, request_frame(1))
    premises.engine_says(engine, T1, "DONE", "chunks=1,spent=1,wanted=1", "a\t\t\n")
    assert stat.S_ISSOCK(os.stat(path).st_mode)
    assert b'"served":1' in asked(premises, path, get("/figures"))
    assert (
        b"404" in asked(premises, path, get("/nothing"))
        and asked(premises, path, b"\0\0\r\n\r\n") == b""
    )
    text = b"".join(exposition.text_chunks(service.take_snapshot())).decode()
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
    premises.socket_host.ledger.request_classes["quick"].terms[0] += 1
    premises.socket_host.auditor.run_whole_pass()
    assert b'"kind": "terms differ"' in asked(premises, path, get("/findings"))
    assert b'{"cleared": 1}' in asked(premises, path, get("/clear", "POST"))
    assert not premises.socket_host.discrepancies.by_place


def test_a_reader_that_does_not_read_is_left_and_others_are_not_kept(tmp_path):
    premises = HostHarness(
        events=[listing(1, *({"id": f"e{n}", "addr": f"127.0.0.9:{n + 1}"} for n in range(900)))]
    )
    path = tmp_path / "sock"
    service = accounting_service(premises, path)
    idle = [socket.socket(socket.AF_UNIX) for _ in range(4)]
    for sock in idle:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
        sock.connect(str(path))
        sock.sendall(get("/metrics"))
        premises.turn()
    assert service.http_listener.reader_count == 2  # the others were closed at once
    premises.pass_time(7 * SECOND, 500)
    assert service.http_listener.reader_count == 0 and b'"e899"' in asked(
        premises, path, get("/figures")
    )
    for sock in idle:
        sock.close()


def test_the_door_moves_on_reload_and_replaces_only_dead_sockets(tmp_path):
    premises = HostHarness()
    first, second = tmp_path / "one", tmp_path / "two"
    dead = socket.socket(socket.AF_UNIX)
    dead.bind(str(first))
    dead.close()
    service = accounting_service(premises, first)
    (tmp_path / "file").write_text("kept")
    with pytest.raises(ConfigurationError):
        accounting_service(premises, tmp_path / "file")
    with pytest.raises(OSError):
        HttpListener(
            premises.event_loop, str(first), 1, dict, int, print, {}
        )  # somebody listens there
    said = read_operator(str(tmp_path / "operator.xml")).accounting
    with pytest.raises(ConfigurationError):
        service.reload(said)  # the file that is no socket: the old door stays
    assert (
        b"200" in asked(premises, first, get("/figures"))
        and (tmp_path / "file").read_text() == "kept"
    )
    (tmp_path / "operator.xml").write_text(
        f'<operator version="1"><figures><listen unix="{second}"/></figures></operator>'
    )
    service.reload(read_operator(str(tmp_path / "operator.xml")).accounting)
    assert b"200" in asked(premises, second, get("/figures")) and not first.exists()
    service.end()
    assert not second.exists()


# The operator file and the log.


@pytest.mark.parametrize(
    "text, wrong",
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
            '<operator version="1"><figures><listen address="127.0.0.999:80"/></figures></operator>',
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
def test_a_faulty_operator_file_names_its_line_and_element(tmp_path, text, wrong):
    path = tmp_path / "operator.xml"
    path.write_text(text)
    with pytest.raises(ConfigurationError) as said:
        read_operator(str(path))
    assert wrong in str(said.value) and "\n" not in str(said.value)


def test_an_operator_file_has_defaults(tmp_path):
    path = tmp_path / "operator.xml"
    path.write_text(
        '<operator version="1"><figures><listen address="[::1]:9"/><keep folder="/x"/></figures>'
        "</operator>"
    )
    said = read_operator(str(path)).accounting
    assert (said.listen, said.readers) == (("::1", 9), 4)
    assert (
        said.checkpoint_folder,
        said.checkpoint_interval_ticks,
        said.latency_relative_error,
    ) == ("/x", 2500, 0.0)
    path.write_text('<operator version="1"/>')
    assert read_operator(str(path)).accounting is None


def test_every_line_of_a_finding_has_its_event():
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

"""The figures: both books, what a difference is called, the kept file, the door, the operator file."""

import json
import os
import socket
import stat

import pytest
from click.testing import CliRunner
from hypothesis import given, settings, strategies
from prometheus_client.parser import text_string_to_metric_families

from corkgauge.accounting import checkpoint as epoch
from corkgauge.accounting import counter_names as terms
from corkgauge.accounting import exposition
from corkgauge.accounting.auditor import LedgerAuditor
from corkgauge.accounting.checkpoint_file import CheckpointFile, read_file
from corkgauge.accounting.discrepancies import Discrepancies
from corkgauge.accounting.http_listener import HttpListener
from corkgauge.accounting.latency_sketches import LatencySketches, quantile
from corkgauge.accounting.ledger import RequestLedger
from corkgauge.accounting.service import AccountingService
from corkgauge.accounting.snapshot import cut_of, differences, plain, shrunk, together
from corkgauge.commands import group
from corkgauge.config.operator_file import read as read_operator
from corkgauge.config.platform import ConfigurationError
from corkgauge.eventloop.logging import event_of
from tests.harness import SECOND, HostHarness, listing, name, request_frame

T1 = name(1)


class Record:
    """A submission, or a hand-off of one, without anything else."""

    def __init__(self, row, engine_row=None, order=None):
        self.row, self.engine_row, self.order, self.serial = row, engine_row, order, 0


class Books:
    """A ledger beside records that do what they should, unless a test meddles."""

    def __init__(self, slice_=3, **said):
        self.now, self.logged = 1000, []
        self.open, self.answering, self.out, self.elsewhere = [], [], [], set()
        self.findings = Discrepancies(lambda: self.now, self.logged.append)
        self.ledger = RequestLedger(["a", "b"], lambda: self.now, guard=self.guard, **said)
        self.rows = [self.ledger.request_classes["a"], self.ledger.request_classes["b"]]
        self.engine_rows = [self.ledger.engine(f"e{n}") for n in range(2)]
        self.auditor = LedgerAuditor(self.ledger, self, self.findings, slice_)

    def guard(self, kind, row, serial):
        self.findings.count(kind, row.name, f"serial {serial}")

    def take(self, row=0):
        record = Record(self.rows[row])
        self.ledger.taken(record)
        self.open.append(record)
        return record

    def close(self, record, reason=terms.IN_TIME):
        self.open.remove(record)
        self.ledger.closed(record, reason)

    def hand(self, record, engine=0, sort=terms.FIRST):
        hand = Record(None, self.engine_rows[engine], record)
        self.ledger.handed_off(hand, sort)
        self.out.append(hand)
        return hand

    def over(self, hand, outcome=1):
        self.out.remove(hand)
        self.ledger.on_attempt_finished(hand, outcome)

    def kinds(self):
        self.auditor.pass_whole()
        return [(found.kind, found.row, found.difference) for found in self.findings.held.values()]

    # What the auditor asks.

    def open_entries(self):
        return [*self.open]

    def answering_entries(self):
        return [*self.answering]

    def hands_out(self):
        return [*self.out]

    def out_of_step(self, hand):
        return ""

    def engines(self):
        return [*self.engine_rows]

    def engine_out_of_step(self, row):
        return row.name, ""

    def name_of(self, row):
        return row.name

    def connections(self):
        return (0, 0), (0, 0)

    def traces(self, serial):
        return "stream 1" if serial in self.elsewhere else ""


@settings(max_examples=150, deadline=None)
@given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 5), strategies.integers(0, 999)), max_size=120
    ),
    strategies.integers(1, 7),
)
def test_a_pass_in_slices_is_right_whatever_happens_between_them(steps, slice_):
    books = Books(slice_)
    for what, which in steps:
        books.now += 1
        if what == 0:
            books.take(which % 2)
        elif what == 1 and books.open:
            books.close(books.open[which % len(books.open)], which % len(terms.REASONS))
        elif what == 2 and books.open:
            books.hand(books.open[which % len(books.open)], which % 2, which % 3)
        elif what == 3 and books.out:
            books.over(books.out[which % len(books.out)], which % 8)
        else:
            books.auditor.step()
    while not books.auditor.step():
        pass
    assert books.kinds() == [] and books.logged == []
    assert differences(cut_of(books.ledger, books.now, "n", {"id": "x"})) == []


def doubled_end(books):
    record = books.take()
    books.close(record)
    books.ledger.closed(record, terms.IN_TIME)


def left_in_the_table(books):
    record = books.take()
    books.ledger.closed(record, terms.IN_TIME)


def lost_from_the_table(books):
    books.elsewhere.add(books.open.pop().serial)


def swapped(books):
    books.take()  # entered, and its record lost
    books.open.pop()
    books.open.append(Record(books.rows[0]))  # a record that was never entered


@pytest.mark.parametrize(
    "meddle, found",
    [
        (lambda books: books.ledger.taken(books.open[0]), ("entered twice", "a", 1)),
        (lambda books: books.open.append(Record(books.rows[1])), ("never entered", "b", -1)),
        (lambda books: books.open.pop(), ("never closed", "a", 1)),
        (doubled_end, ("closed twice", "a", -1)),
        (left_in_the_table, ("closed twice", "a", -1)),
        (lost_from_the_table, ("lost from the table", "a", 1)),
        (swapped, ("count altered", "a", 0)),
        (lambda books: books.out.pop(), ("hand-off never closed", "e0", 1)),
        (
            lambda books: books.ledger.on_attempt_finished(books.out[0], 1),
            ("hand-off closed twice", "e0", -1),
        ),
        (
            lambda books: books.ledger.handed_off(books.out[0], 0),
            ("hand-off entered twice", "e0", 1),
        ),
        (
            lambda books: books.out.append(Record(None, books.engine_rows[1], books.open[0])),
            ("hand-off never entered", "e1", -1),
        ),
        (lambda books: books.rows[0].terms.__setitem__(2, 5), ("terms differ", "a", 5)),
        (lambda books: books.engine_rows[0].outcomes.__setitem__(3, 1), ("terms differ", "e0", -1)),
        (lambda books: books.rows[1].sorts.__setitem__(1, 2), ("books differ", "further", 2)),
        (lambda books: books.ledger.connection_up(0), ("books differ", "client connections", 1)),
        (lambda books: books.ledger.engine("e9"), ("engine out of step", "e9", 1)),
    ],
)
def test_an_imbalance_is_named_with_its_place(meddle, found):
    books = Books()
    books.hand(books.take())
    books.take(0)
    assert books.kinds() == []
    meddle(books)
    assert found in books.kinds() and found[1] in books.logged[0]


def test_a_finding_is_told_once_a_change_and_stays_until_it_is_cleared():
    books = Books()
    books.rows[0].open += 1
    for _ in range(5):
        books.kinds()
    assert len(books.logged) == 2  # that a count is altered, and that its row's terms differ
    books.rows[0].open -= 1
    assert len(books.kinds()) == 2 and books.findings.alarm  # right again, and still held
    assert books.findings.clear() == 2 and books.kinds() == [] and not books.findings.alarm
    assert books.ledger.last_events(books.rows[0]) == []


def test_damage_everywhere_is_bounded():
    books = Books()
    for n in range(2000):
        books.findings.see("count altered", f"r{n}", 1)
    assert len(books.findings.held) == 256 and books.findings.untold == 1744


def test_the_budget_is_counted_from_what_was_taken():
    books = Books(budget=(1.0, 0.1, SECOND))
    requests = [books.take() for _ in range(10)]
    for _ in range(2):
        books.hand(requests[0], sort=terms.FURTHER)
    assert books.kinds() == []
    books.hand(requests[1], sort=terms.COPY)
    assert ("over budget", "e0", 1) in books.kinds()
    books.now += 2 * SECOND
    books.findings.clear()
    books.hand(requests[2], sort=terms.FURTHER)
    assert books.kinds() == []


def test_engines_that_left_fold_into_one_row():
    books = Books()
    for n in range(300):
        row = books.ledger.engine(f"x{n}")
        hand = Record(None, row, books.take())
        books.ledger.handed_off(hand, 0)
        books.ledger.engine_gone(row)  # with a hand-off out
        again = books.ledger.engine(f"x{n}")
        assert again is not row  # its id came back: another's account
        books.ledger.engine_gone(again)
        books.ledger.on_attempt_finished(hand, n % 8)
    assert len(books.ledger.engine_rows()) == 3 and sum(books.ledger.departed.outcomes) == 300
    assert books.kinds() == []


# The program's own records, on a fake clock.


def balanced(premises):
    socket_host = premises.socket_host
    socket_host.auditor.pass_whole()
    assert not socket_host.findings.held, [
        found.line() for found in socket_host.findings.held.values()
    ]
    cut = cut_of(socket_host.ledger, socket_host.now, "n", {"id": "x"})
    assert differences(cut) == []
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
    request = premises.socket_host.names[T1]
    premises.socket_host.gateway._rescue(request.attempts[0])
    premises.socket_host.gateway._pump()
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
        cut["offerings"]["quick"]["open"] > 0 and not premises.socket_host.names
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
    premises.socket_host.event("2", json.dumps(listing(2, {"state": "DELETED"})))
    premises.turn()
    premises.socket_host.event("3", json.dumps(listing(3, {"addr": "127.0.0.9:7"})))
    premises.turn()
    balanced(premises)
    premises.socket_host.leave()
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
    premises.socket_host.auditor.pass_whole()
    assert [*premises.socket_host.findings.held] == [("engine out of step", "e1")]


# Cuts.


def cut(**request_class):
    books = Books()
    books.close(books.take())
    said = cut_of(books.ledger, 5, "n1", {"id": "x", "started": 1})
    said["offerings"]["a"].update(request_class)
    return said


@pytest.mark.parametrize(
    "after, wrong", [({}, 0), ({"taken": 0}, 1), ({"served": 0, "taken": 0}, 2)]
)
def test_counts_that_shrink_within_an_epoch(after, wrong):
    assert len(shrunk(cut(), cut(**after))) == wrong
    assert shrunk(cut(), {**cut(**after), "epoch": {"id": "y"}}) == []


def test_several_gateways_add_up_their_sketches_too():
    cuts = []
    for n in range(3):
        waits = LatencySketches(0.02)
        for span in range(n + 1, 3000, 3):
            waits.answered("a", span * 10)
        waits.engine_gone("never", "(departed)")
        cuts.append({**cut(), "gateway": f"n{n}", "waits": waits.told()})
    both = together(cuts)
    assert both["offerings"]["a"]["served"] == 3 and differences(both) == []
    assert abs(quantile(both["waits"][0], 0.99) - 2.97) < 0.07 and both["waits"][0]["count"] == 2999


def test_the_commands_tell_what_is_wrong(tmp_path):
    good, bad = tmp_path / "good.json", tmp_path / "bad.jsonl"
    good.write_text(json.dumps(plain(cut())))
    bad.write_text(
        "\n".join(json.dumps(plain(each)) for each in (cut(), cut(served=0), cut(taken=0)))
    )
    run = CliRunner().invoke
    for command in "figures", "audit":
        assert run(group, [command, str(good)]).exit_code == 0
    assert run(group, ["figures", str(good), str(good), "--json"]).exit_code == 0
    said = run(group, ["audit", "--json", str(bad)])
    assert said.exit_code == 1 and len(json.loads(said.output)["wrong"]) == 5
    (tmp_path / "x").write_text("{}")
    said = run(group, ["audit", str(tmp_path / "x")])
    assert said.exit_code == 2 and "x:1: not a cut" in said.output
    assert run(group, ["figures", "/nowhere.sock"]).exit_code == 2


# What is kept.


def shelf(folder, gateway="n1"):
    logged = []
    return CheckpointFile(str(folder), gateway, logged.append), logged


def test_the_next_start_closes_the_epoch_before(tmp_path):
    books = Books()
    books.close(books.take())
    books.take()
    first, logged = shelf(tmp_path)
    for now in range(5):
        first.put(cut_of(books.ledger, now, "n1", {"id": f"x{now}"}))
    second, said = shelf(tmp_path)
    assert "in use by another" in said[0] and second.map is None  # two programs in one folder
    second.put(cut())
    first.close()  # as a kill does
    third, said = shelf(tmp_path)
    assert said == ["figures: epoch x4 closed, taken=2 cut_off=1"]
    third.put(cut())
    third.close()
    kept = read_file(third.path)
    assert kept["cut"]["gateway"] == "n1" and kept["earlier"][0]["offerings"]["a"]["cut_off"] == 1


def test_a_slot_torn_at_any_place_leaves_the_other(tmp_path):
    old, new = (epoch.slot(n, {"cut": plain(cut()), "earlier": [], "n": n}) for n in (4, 5))
    assert epoch.latest(old.ljust(epoch.SLOT, b"\0") + new)[1]["n"] == 5
    for at in range(len(new)):
        torn = new[:at] + bytes(len(new) - at)
        assert epoch.latest(old.ljust(epoch.SLOT, b"\0") + torn)[1]["n"] == 4
        assert (
            epoch.latest(old[:at] + bytes(9) + old[at + 9 :])[2] == "torn"
            or at >= len(old) - 9
            or at < 8
        )


@pytest.mark.parametrize(
    "data, why",
    [
        (b"{}" * 40, "foreign"),
        (epoch.slot(1, {})[:8] + b"\2\0" + epoch.slot(1, {})[10:], "newer"),
        (epoch.slot(1, {"a": 1})[:-1] + b"\7", "torn"),
        (epoch.slot(1, {"cut": 3, "earlier": []}), "foreign"),
        (epoch.MAGIC + b"\1\0\xff\xff\xff\xff" + bytes(60), "torn"),
        (epoch.slot(1, [1]), "foreign"),
    ],
)
def test_files_that_are_no_use_are_told_and_left(tmp_path, data, why):
    (tmp_path / "n1.figures").write_bytes(data)
    kept, logged = shelf(tmp_path)
    assert len(logged) == 1 and why in logged[0] and "a fresh epoch" in logged[0]
    kept.put(cut())
    kept.close()
    assert read_file(kept.path)["cut"]["at"] == 5


@given(strategies.binary(max_size=300))
def test_any_bytes_are_read_without_harm(data):
    assert epoch.latest(data)[2] and epoch.latest(epoch.MAGIC + data)[2]


def test_a_folder_that_is_full_or_no_folder(tmp_path, monkeypatch):
    (tmp_path / "file").write_text("")
    none, logged = shelf(tmp_path / "file" / "folder")
    none.put(cut())
    assert none.map is None and "Not a directory" in logged[0]

    def full(*_):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "posix_fallocate", full)
    none, logged = shelf(tmp_path / "full")
    none.put(cut())
    assert none.map is None and "No space left" in logged[0]


def test_more_engines_than_fit_are_kept_in_one_row(tmp_path):
    books = Books()
    for n in range(12_000):
        books.ledger.engine(f"engine-{n:05d}").outcomes[1] = 10**9
    kept, logged = shelf(tmp_path)
    for _ in range(3):
        kept.put(cut_of(books.ledger, 7, "n1", {"id": "x"}))
    kept.close()
    assert len(logged) == 1 and "engines are kept in one row" in logged[0]
    assert read_file(kept.path)["cut"]["engines"]["(all)"]["outcomes"]["honoured"] == 12_000 * 10**9


# The door.


def door(premises, path, said="", most=2):
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
    bureau = door(premises, path, "<waits/>")
    client, engine = premises.client(), premises.engine()
    premises.ask(client, request_frame(1))
    premises.engine_says(engine, T1, "DONE", "chunks=1,spent=1,wanted=1", "a\t\t\n")
    assert stat.S_ISSOCK(os.stat(path).st_mode)
    assert b'"served":1' in asked(premises, path, get("/figures"))
    assert (
        b"404" in asked(premises, path, get("/nothing"))
        and asked(premises, path, b"\0\0\r\n\r\n") == b""
    )
    text = b"".join(exposition.pieces(bureau.cut())).decode()
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
    premises.socket_host.auditor.pass_whole()
    assert b'"kind": "terms differ"' in asked(premises, path, get("/findings"))
    assert b'{"cleared": 1}' in asked(premises, path, get("/clear", "POST"))
    assert not premises.socket_host.findings.held


def test_a_reader_that_does_not_read_is_left_and_others_are_not_kept(tmp_path):
    premises = HostHarness(
        events=[listing(1, *({"id": f"e{n}", "addr": f"127.0.0.9:{n + 1}"} for n in range(900)))]
    )
    path = tmp_path / "sock"
    bureau = door(premises, path)
    idle = [socket.socket(socket.AF_UNIX) for _ in range(4)]
    for sock in idle:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
        sock.connect(str(path))
        sock.sendall(get("/metrics"))
        premises.turn()
    assert bureau.door.here == 2  # the others were closed at once
    premises.pass_time(7 * SECOND, 500)
    assert bureau.door.here == 0 and b'"e899"' in asked(premises, path, get("/figures"))
    for sock in idle:
        sock.close()


def test_the_door_moves_on_reload_and_replaces_only_dead_sockets(tmp_path):
    premises = HostHarness()
    first, second = tmp_path / "one", tmp_path / "two"
    dead = socket.socket(socket.AF_UNIX)
    dead.bind(str(first))
    dead.close()
    bureau = door(premises, first)
    (tmp_path / "file").write_text("kept")
    with pytest.raises(ConfigurationError):
        door(premises, tmp_path / "file")
    with pytest.raises(OSError):
        HttpListener(
            premises.event_loop, str(first), 1, dict, int, print, {}
        )  # somebody listens there
    said = read_operator(str(tmp_path / "operator.xml")).accounting
    with pytest.raises(ConfigurationError):
        bureau.reload(said)  # the file that is no socket: the old door stays
    assert (
        b"200" in asked(premises, first, get("/figures"))
        and (tmp_path / "file").read_text() == "kept"
    )
    (tmp_path / "operator.xml").write_text(
        f'<operator version="1"><figures><listen unix="{second}"/></figures></operator>'
    )
    bureau.reload(read_operator(str(tmp_path / "operator.xml")).accounting)
    assert b"200" in asked(premises, second, get("/figures")) and not first.exists()
    bureau.end()
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
    assert (said.keep, said.keep_each, said.error) == ("/x", 2500, 0.0)
    path.write_text('<operator version="1"/>')
    assert read_operator(str(path)).accounting is None


def test_every_line_of_a_finding_has_its_event():
    books = Books()
    books.open.append(Record(books.rows[0]))
    books.rows[1].terms[0] += 1
    books.kinds()
    books.findings.clear()
    assert [event_of(line)[0] for line in books.logged] == [
        *["figures_finding"] * 2,
        "figures_cleared",
    ]
    assert event_of(books.logged[0])[1]["kind"] == "never entered"

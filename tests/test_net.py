"""The program on sockets: machines fed split bytes and garbage, timers, links, stages, answers once."""

import gc
import json
import os
import random
import socket
import subprocess
import sys

import pytest

from corkgauge.config import platform as configuration
from corkgauge.daemon.configuration_reload import ConfigurationReloader
from corkgauge.eventloop.connection import dial
from corkgauge.eventloop.loop import EventLoop
from corkgauge.eventloop.ring_buffer import MemoryBudget, RingBuffer
from corkgauge.net import client_connection as clients
from corkgauge.net import discovery_protocol as feed_wire
from corkgauge.net.client_protocol import ClientProtocol
from corkgauge.net.engine_pool import EnginePool
from corkgauge.net.engine_protocol import EngineProtocol, command
from corkgauge.net.table_group import group_number
from corkgauge.policy.records import AttemptOutcome, EngineState
from tests.harness import (
    PLATFORM_SETTINGS,
    SECOND,
    HostHarness,
    endpoint_list_event,
    request_frame,
    request_id,
)

PLENTY, ROW = 10**7, "a\t\t\n"
T1, U1 = request_id(1), request_id(99)


class Told:
    """An owner of a machine that writes down what it is told."""

    def __init__(self):
        self.told = []

    def __getattr__(self, name):
        return lambda *what: self.told.append((name, *what)) or ""


FED = [
    (
        ClientProtocol,
        request_frame(1)
        + request_frame(2, body=b"")
        + bytes.fromhex("0500000008010000000500000010030000000600000002040000000a"),
        5,
    ),
    (
        EngineProtocol,
        command("a", "DONE", "chunks=2,l=inflight:3", "x\ty\n")
        + command("b", "WAIT", "-", "")
        + command("a", "MORE", "at=1", "\r\n$3\r\n"),
        3,
    ),
    (
        feed_wire.DiscoveryProtocol,
        b"HTTP/1.1 200 OK\r\nContent-Type: x\r\n\r\n: hi\n\nid: 4\ndata: {\ndata: }\n\n",
        1,
    ),
    (
        feed_wire.DiscoveryProtocol,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nid: 4\n\r\n"
        b"9;x\r\ndata: a\n\n\r\n1\r\n:\r\n",
        1,
    ),
]


def fed(kind, pieces):
    owner = Told()
    machine = kind(owner, MemoryBudget(PLENTY))
    wrong = ""
    for piece in pieces:
        while piece and not wrong:
            size = min(len(piece), max(machine.inward.free_bytes, 1))
            assert machine.inward.put(piece[:size])
            piece = piece[size:]
            wrong = machine.parse_input()
    return owner.told, wrong


@pytest.mark.parametrize("kind, data, count", FED)
def test_a_machine_hears_the_same_however_its_bytes_are_split(kind, data, count):
    whole = fed(kind, [data])
    assert len(whole[0]) == count and not whole[1]
    for at in range(1, len(data)):
        assert fed(kind, [data[:at], data[at:]]) == whole
    assert fed(kind, [bytes([byte]) for byte in data]) == whole


@pytest.mark.parametrize("kind, data, count", FED)
def test_bytes_that_were_changed_never_raise(kind, data, count):
    chance = random.Random(11)
    for _ in range(400):
        bad = bytearray(data)
        for _ in range(chance.randint(1, 4)):
            bad[chance.randrange(len(bad))] = chance.randrange(256)
        told, wrong = fed(kind, [bytes(bad)])
        assert isinstance(wrong, str) and len(told) < 20


@pytest.mark.parametrize(
    "kind, data",
    [
        (ClientProtocol, b"\4\0\0\0" + b"x" * 8),
        (ClientProtocol, b"\xff\xff\xff\xff"),
        (EngineProtocol, b"*4\r\n$-1\r\n"),
        (EngineProtocol, b"*999999999\r\n"),
        (EngineProtocol, b"$3\r\nabc\r\n"),
        (EngineProtocol, b"*1\r\n$1\r\nab\r\n"),
        (EngineProtocol, b"*4\r\n$16000\r\n" + b"x" * 17_000),
        (feed_wire.DiscoveryProtocol, b"HTTP/1.1 503 no\r\n"),
        (
            feed_wire.DiscoveryProtocol,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        ),
        (feed_wire.DiscoveryProtocol, b"HTTP/1.1 200 OK\r\n\r\ndata: \xff\n"),
    ],
)
def test_framing_that_is_lost_is_said(kind, data):
    assert fed(kind, [data])[1]


@pytest.mark.parametrize("head, told", [(b"id: 1\ndata: ", True), (b"", False)])
def test_a_list_of_all_engines_is_taken_and_a_line_without_end_is_not(head, told):
    servers = [
        {
            "id": f"{n:036x}",
            "addr": "10.11.12.13:9000",
            "zone": "east-1",
            "kind": "std-large",
            "cell": n // 3,
            "state": "SERVING",
            "started_ms": 1_790_000_000_000,
        }
        for n in range(2_400)
    ]
    event = json.dumps(
        {"n": 1, "members": {"version": 1, "full": True, "servers": servers}}
    ).encode()
    assert len(event) > 300_000
    heard, wrong = fed(
        feed_wire.DiscoveryProtocol,
        [b"HTTP/1.1 200 OK\r\n\r\n", head + event * (1 if told else 4) + b"\n\n" * told],
    )
    assert (len(heard), bool(wrong)) == ((1, False) if told else (0, True))


@pytest.mark.parametrize(
    "statement, group",
    [
        (b"SELECT 'x from sales_3.a' FROM sales_17.orders", 17),
        (b"select 1", 0),
        (b"", 0),
        (b"\xff'\xfe", 0),
        (b'select * from "sales_17"."orders"', 17),
        (b"insert into staging.x select a_2.y from ops_4.b a_2", 4),
        (b"merge into ops_5.lines d using staging.delta s on d.id = s.id", 5),
        (b"select /* from a_1.b */ x -- from a_2.b\n from c_3 . d", 3),
        (b"select 'it''s from a_1.b' from q_9.z", 9),
        (b"select 'never ends from a_1.b", 0),
        (b'select "a from b_1.c" from staging.t, x_8.y', 8),
        (b"update `ops_6`.t set a = 1", 6),
        (b"WITH w AS (SELECT * FROM lake_0.o) SELECT * FROM w", 0),
        (b"select * from (select n from ops_12.t) q", 12),
        (b"select id -- was: from mart_1.old\nFROM s_2.o", 2),
    ],
)
def test_the_group_of_tables_of_a_statement(statement, group):
    assert group_number(statement) == group


def test_a_ring_keeps_order_within_its_bounds():
    allowance, chance = MemoryBudget(60_000), random.Random(5)
    ring, model = RingBuffer(50_000, allowance), b""
    for _ in range(3000):
        data = chance.randbytes(chance.randrange(300))
        if ring.put(data):
            model += data
        if chance.random() < 0.02 and ring.free_bytes:
            gap = ring.writable_view()
            gap[:] = b"g" * len(gap)
            ring.mark_written(len(gap))
            model += b"g" * len(gap)
        size = chance.randrange(500)
        assert (
            bytes(ring.readable_view()) == model[: len(ring.readable_view())]
            and ring.take(size) == model[:size]
        )
        model = model[size:]
        assert len(ring) == len(model) and allowance.reserved_bytes <= 60_000
    ring.close()
    assert allowance.reserved_bytes == 0 and not len(
        RingBuffer(8, allowance, 8).writable_view()[8:]
    )


def test_timers_are_never_early_keep_order_and_outlive_what_raises():
    clock, heard, troubles = [1000], [], []
    event_loop = EventLoop(clock=lambda: clock[0], on_exception=lambda: troubles.append(1))
    for delay in (30, 10, 20, 0):
        event_loop.call_later(delay, lambda d: heard.append((d, event_loop.now)), delay)
    event_loop.call_later(15, lambda: 1 / 0)
    for now in range(1000, 1040, 5):
        clock[0] = now
        event_loop.turn(0)
    assert heard == [(0, 1010), (10, 1010), (20, 1020), (30, 1030)] and troubles == [1]
    clock[0] = 0  # Danger: a clock set back
    event_loop.turn(0)
    assert event_loop.now == 1035 and event_loop.worst_lag == 9 and event_loop.lag == 0
    event_loop.call_later(0, lambda: clock.__setitem__(0, 2000))
    clock[0] = 1040
    event_loop.turn(0)
    assert event_loop.lag == 965  # Danger: what comes now has waited as long
    event_loop.turn(0)
    event_loop.turn(0)
    assert event_loop.lag == 0


def served(harness, client, engine, stream=1, **fields):
    harness.send(client, request_frame(stream, **fields))
    return harness.receive(engine)


def test_a_submission_goes_on_unchanged_and_its_pages_come_back_in_order():
    harness = HostHarness()
    client, engine = harness.connect_client(), harness.connect_engine()
    sent = served(harness, client, engine, body=b"select \xc3\xa9 from s_3.t")
    assert sent.startswith(b"*4\r\n$5\r\nfetch\r\n$16\r\n" + T1.encode())
    assert b"select \xc3\xa9 from s_3.t" in sent
    assert b"sort=quick,patience=29" in sent and b"op=" not in sent
    harness.send_engine_command(engine, T1, "TELL", "n=advance,amount=0.5", "")
    harness.send_engine_command(engine, T1, "DONE", "chunks=3,spent=120,wanted=9", "a\t\t\n")
    assert harness.receive(engine) == command("more", T1, "1") + command("more", T1, "2")
    assert not harness.receive_answers(client)
    harness.send_engine_command(engine, T1, "MORE", "at=2", "c\t\t\n")
    harness.send_engine_command(engine, T1, "MORE", "at=1", "b\t\t\n")
    assert harness.receive_answers(client) == [(4, 1, b"\1", b"a\t\t\nb\t\t\nc\t\t\n")]
    assert harness.receive(engine) == command("done", T1)
    assert (
        not harness.logged
        and harness.socket_host.result_memory.reserved_bytes
        == harness.socket_host.statement_memory.reserved_bytes
        == 0
    )


@pytest.mark.parametrize(
    "stream, code, fields",
    [
        (1, b"\3", {"route": "nowhere"}),
        (1, b"\3", {"customer": "nobody"}),
        (1, b"\3", {"patience": None}),
        (1, b"\3", {"patience": "soon"}),
        (1, b"\3", {"weight": "-1"}),
        (1, b"\3", {"est_mb": "nan"}),
        (1, b"\3", {"trace": ""}),
        (1, b"\3", {"trace": "a,b"}),
        (1, b"\3", {"entity": "xyz"}),
        (1, b"\2", {"patience": "1"}),
        (1, b"\3", {"patience": "10001"}),
        (1, b"\3", {"patience": "inf"}),
        (1, b"\3", {"weight": "0"}),
        (1, b"\3", {"weight": "1e9"}),
        (1, b"\3", {"est_mb": "1001"}),
        (1, b"\3", {"trace": "9B1F03AA5C7E2D41"}),
        (1, b"\3", {"trace": "1" * 17}),
        (1, b"\3", {"body": b" "}),
        (1, b"\3", {"entity": "0x1f"}),
        (1, b"\3", {"entity": "-1"}),
        (1, b"\3", {"route": "load"}),
        (1, b"\3", {"body": b"select \xff"}),
        (1, b"\3", {"body": b"select \0"}),
        (1, b"\3", {"body": b""}),
        (1, b"\3", {"trace": request_id(7)}),
    ],
)
def test_what_cannot_be_served_is_answered_on_its_stream_and_the_rest_lives_on(
    stream, code, fields
):
    harness = HostHarness()
    client, engine = harness.connect_client(), harness.connect_engine()
    assert served(
        harness, harness.connect_client(), engine, 7
    )  # its id stands for it, whoever else names it
    if "patience" in fields and fields["patience"] is None:
        fields = {**fields, "patience": ""}
    harness.send(client, request_frame(stream, **fields))
    assert [answer[:3] for answer in harness.receive_answers(client)] == [(4, stream, code)]
    assert served(
        harness, client, engine, 2, patience="5002"
    )  # Danger: an honest one, a little over
    harness.send(client, bytes.fromhex("05000000630900000005000000100a000000"))
    assert [answer[:3] for answer in harness.receive_answers(client)] == [
        (4, 0, b"\3"),
        (32, 10, b"\1"),
    ]


def test_what_is_taken_back_or_makes_no_sense_in_one_go_reaches_no_engine():
    harness = HostHarness()
    engine = harness.connect_engine()
    taken_back = b"".join(
        bytes.fromhex("0500000008") + k.to_bytes(4, "little") for k in range(1, 31)
    )
    for n, last in enumerate([taken_back, b"\0\0\0\0", request_frame(30)], 1):
        client = harness.connect_client()
        sent = [
            request_frame(k, trace=request_id(100 * n + k), body=b"from s_3.t" + b" " * 600)
            for k in range(1, 31)
        ]
        harness.send(client, b"".join(sent) + last)
        client.close()
    assert b"fetch" not in harness.receive(engine) and not harness.socket_host.in_flight_attempts
    client = harness.connect_client()
    client.sendall(request_frame(1) + request_frame(2)[:50])
    harness.pass_time(150)  # what is behind it does not hold it up for long
    assert harness.receive(engine).count(b"fetch") == 1


TURNED_OUT = [  # what a client sends, how much later the rest of it, the answers before the reason
    ([], []),
    ([b"GET / HTTP/1.1\r\n\r\n"], []),
    ([b"\0\0\0\x80" + b"x" * 50], []),
    ([b"\0\0\0\0"], []),
    ([request_frame()[:9]], []),
    ([request_frame()[n : n + 1] for n in range(40)], []),
    ([request_frame(), request_frame(2)[:30]], [1]),
    ([request_frame(), request_frame(body=b"drop table s_3.t")], [1]),
    ([request_frame(n, route="nowhere") for n in range(1, 40)], range(1, 34)),
    ([request_frame(n) for n in range(1, 99)], [*range(33, 66), *range(1, 33)]),
    (
        [
            request_frame(n) + bytes.fromhex("0500000008") + n.to_bytes(4, "little")
            for n in range(1, 40)
        ],
        [],
    ),
]


@pytest.mark.parametrize("sent, answered", TURNED_OUT)
def test_a_client_that_cannot_be_served_is_told_within_two_seconds_and_harms_no_other(
    sent, answered
):
    harness = HostHarness()
    good, bad, engine = harness.connect_client(), harness.connect_client(), harness.connect_engine()
    harness.send(good, bytes.fromhex("05000000100a000000"))
    for piece in sent:
        harness.send(bad, piece)
        harness.time += (
            400 if len(sent) == 40 else 0
        )  # dripped: each byte is a sign, the frame is none
    if sent:
        harness.send(bad, b"x" * 9)  # it still sends: its last answer must not be lost for that
    harness.pass_time(27_000)
    answers = harness.receive_answers(bad)
    assert [answer[1] for answer in answers] == [*answered, 0] and {a[2] for a in answers} <= {
        b"\2",
        b"\3",
    }
    assert (
        bad.recv(9) == b""
        and len(harness.socket_host.client_connections) == 1
        and not harness.socket_host.open_requests
    )
    assert (
        served(harness, good, engine, 1, trace=request_id(500))
        and not harness.socket_host.client_ring_memory.reserved_bytes
    )


def test_connections_that_say_nothing_give_way_but_none_that_is_owed_an_answer():
    harness = HostHarness(sockets=32)
    socket_host, engine = harness.socket_host, harness.connect_engine()
    owed, once, silent, unread = (harness.connect_client() for _ in range(4))
    served(harness, owed, engine, 1)
    served(harness, once, engine, 2)
    harness.send_engine_command(engine, request_id(2), "DONE", "chunks=1", "a\t\t\n")
    harness.pass_time(600)
    unread.sendall(b"x")
    assert socket_host.make_room()
    harness.turn()
    assert len(harness.receive_answers(once)) == 1 and once.recv(9) == silent.recv(9) == b""
    harness.pass_time(
        600
    )  # what crossed the end is read and dropped: a close over it would be a reset
    unread.sendall(b"x")
    assert len(socket_host.client_connections) == 2 and not socket_host.make_room()
    harness.send_engine_command(engine, request_id(1), "DONE", "chunks=1", "a\t\t\n")
    assert harness.receive_answers(owed)[0][2] == b"\1"


def test_a_length_is_a_claim_and_holds_no_memory():
    harness = HostHarness()
    for _ in range(50):
        harness.send(harness.connect_client(), (262_144).to_bytes(4, "little") + b"\2")
    assert harness.socket_host.client_ring_memory.reserved_bytes == 0


class Feeds:
    """Where a dial leads: each address to socket pairs of its own, or nowhere."""

    def __init__(self, harness, monkeypatch, tmp_path):
        self.harness, self.ends, self.file = harness, {}, tmp_path / "c.json"
        self.said = {
            "name": "n",
            "listen": "127.0.0.1:1",
            "feed": "127.0.0.1:2",
            "settings": PLATFORM_SETTINGS,
        }
        monkeypatch.setattr("corkgauge.net.discovery.dial", self.dial)
        self.source = ConfigurationReloader(
            harness.socket_host, configuration.PlatformConfig(self.said, "")
        )
        harness.turn()

    def dial(self, event_loop, where, span):
        mine, its = socket.socketpair()
        mine.setblocking(False)
        self.ends.setdefault(where[1], []).append(mine)
        return its, ""

    def tell(self, port, n, **more):
        event = json.dumps(endpoint_list_event(n, {**more}, full=False))
        self.harness.send(self.ends[port][-1], f"id: {n}\ndata: {event}\n\n".encode())

    def reload(self, text="", **changes):
        self.file.write_text(text or json.dumps({**self.said, **changes}))
        self.source.reload({"EDGE_CONFIG": str(self.file)})
        self.harness.turn()


def test_a_new_configuration_moves_the_feed_and_disturbs_nothing(monkeypatch, tmp_path):
    harness = HostHarness()
    client, engine, feeds = (
        harness.connect_client(),
        harness.connect_engine(),
        Feeds(harness, monkeypatch, tmp_path),
    )
    assert served(harness, client, engine)
    assert b"Last-Event-ID: 1\r\n" in feeds.ends[2][0].recv(999)
    harness.send(feeds.ends[2][0], b"HTTP/1.1 200 OK\r\n\r\n")
    feeds.tell(2, 2, id="e2")
    feeds.ends[2][0].sendall(b"id: 3\nda")
    for said in (
        "{",
        json.dumps({**feeds.said, "feed": "x"}),
        json.dumps({**feeds.said, "settings": {}}),
    ):
        feeds.reload(said)  # Danger: a faulty one must change nothing
    assert len(harness.logged) == 3 and all(
        "configuration not taken" in line for line in harness.logged
    )
    assert any("feed: expected" in line for line in harness.logged) and list(feeds.ends) == [2]
    for port in (3, 4, 2):
        feeds.reload(feed=f"127.0.0.1:{port}", limits={"sockets": 500})
        assert b"Last-Event-ID: 2\r\n" in feeds.ends[port][-1].recv(999)
    assert "limits.sockets changed" in harness.logged[3] and feeds.ends[2][0].recv(9) == b""
    harness.send(feeds.ends[2][-1], b"HTTP/1.1 200 OK\r\n\r\n")
    feeds.tell(2, 3, id="e2", state="DRAINING")
    assert harness.socket_host.engine_pools["e2"].engine.state == EngineState.DRAINING
    harness.send_engine_command(engine, T1, "DONE", "chunks=1", "a\t\t\n")
    assert harness.receive_answers(client)[0][2] == b"\1" and feeds.ends[3][0].recv(9) == b""


def test_a_feed_that_breaks_or_stops_is_asked_again_in_time_and_repeats_are_left_out(
    monkeypatch, tmp_path
):
    harness = HostHarness()
    feeds = Feeds(harness, monkeypatch, tmp_path)
    for turn in range(3):
        harness.send(feeds.ends[2][-1], b"HTTP/1.1 200 OK\r\n\r\n")
        for _ in range(2):
            feeds.tell(2, 2 + turn, id=f"e{turn}")
        harness.pass_time(12_000)
        feeds.ends[2][-1].sendall(b": sign\n\nid: 9\ndata: {")
        feeds.ends[2][-1].close()
        harness.pass_time(200)
        assert (
            len(feeds.ends[2]) == 2 + turn and harness.socket_host.last_event == 2 + turn
        )  # at once
    harness.send(feeds.ends[2][-1], b"HTTP/1.1 200 OK\r\n\r\n")
    harness.pass_time(17_500)  # it stays open and says nothing
    assert len(feeds.ends[2]) == 5 and f"Last-Event-ID: {4}".encode() in feeds.ends[2][-1].recv(999)


def test_more_than_the_open_streams_are_refused():
    harness = HostHarness()
    client = harness.connect_client()
    harness.send(client, b"".join(request_frame(n) for n in range(1, 36)))  # in one piece
    assert [answer[1] for answer in harness.receive_answers(client)] == [33, 34, 35]


STAGES = [  # what the engine does, and what the client then hears at once
    ([], b"", 0),
    ([(T1, "WAIT", "-", "")], b"", 1),
    ([(T1, "BROKE", "-", "")], b"\3", 0),
    ([(T1, "PAST", "-", "")], b"", 1),
    ([(T1, "DONE", "chunks=2", "a\t\t\n"), (T1, "BROKE", "-", "")], b"\3", 0),
    ([(T1, "DONE", "chunks=2", "a\t\t\n"), (T1, "MORE", "at=7", "a\t\t\n")], b"\3", 0),
    ([(T1, "DONE", "chunks=9999999", "a\t\t\n")], b"\3", 0),
    ([("zz", "DONE", "-", "a\t\t\n")], b"\3", 0),
    ([(T1, "WHAT", "-", "a\n")], b"\3", 0),
]


@pytest.mark.parametrize("says, code, again", STAGES)
def test_only_proof_that_it_never_ran_lets_an_irreversible_one_go_again(says, code, again):
    harness = HostHarness([endpoint_list_event(1, {}, {"id": "e2"})])
    client, engines = (
        harness.connect_client(),
        {tag: harness.connect_engine(tag) for tag in ("e1", "e2")},
    )
    harness.send(client, request_frame(route="once"))
    first = next(tag for tag, sock in engines.items() if harness.receive(sock))
    for parts in says:
        harness.send_engine_command(engines[first], *parts)
    if not says:
        engines[first].close()
        harness.turn()
        code = b"\3"  # written, then broken: it may have run
    other = engines["e2" if first == "e1" else "e1"]
    assert [answer[2] for answer in harness.receive_answers(client)] == [code][: len(code)]
    assert harness.receive(other).count(b"fetch") == again


DONE, MORE = command(T1, "DONE", "chunks=1", ROW), command(T1, "MORE", "at=1", ROW)
TWO = command(T1, "DONE", "chunks=2", ROW)
PEERS = [  # what an engine writes of a first of two open there, after how long, is it served from that
    (command(request_id(77), "DONE", "chunks=1", "x\t\t\n") + DONE, 0, True),
    (DONE + DONE, 0, True),
    (TWO + TWO + MORE + MORE, 0, True),
    (command(T1, "TELL", "n=x,amount=y", "") + DONE, 0, True),
    (TWO + command(T1, "DONE", "chunks=1", ROW), 0, False),
    (TWO + MORE.replace(b"at=1", b"at=3"), 0, False),
    (command(T1, "DONE", "chunks=1", "a\tb\n"), 0, False),
    (command(T1, "DONE", "chunks=1", ROW + "c\t"), 0, False),
    (command(T1, "DONE", "chunks=1", b"a\t\xff\t\n"), 0, False),
    (DONE.replace(b"a\t", b"\x01\t"), 0, False),
    (command(T1, "DONE", "chunks=1", "\t\t" + "x" * 5_998 + "\n"), 0, False),
    (command(T1, "DONE", "chunks=0", ROW), 0, False),
    (command(T1, "DONE", "chunks=nan", ROW), 0, False),
    (command(T1, "DONE", "chunks=1,spe", ROW), 0, False),
    (command(T1, "DONE", "chunks=1,spent=-4", ROW), 0, False),
    (command("\x07", "DONE", "chunks=1", ROW), 0, False),
    (DONE.replace(b"DONE", b"DOME"), 0, False),
    (
        b"*4\r\n$16\r\n"
        + T1.encode()
        + b"\r\n$4\r\nDONE\r\n$8\r\nchunks=1\r\n$3221225472\r\n"
        + b"x" * 9,
        0,
        False,
    ),
    (bytes(range(200, 256)), 0, False),
    (b"*4\r\n$16" + b"1" * 20, 0, False),
    (b"*-1\r\n", 0, False),
    (DONE[:-9], 3_500, False),
    (b"*", 3_500, False),
    (TWO + MORE[:9], 3_500, False),
    (b"", 13_000, False),
]


@pytest.mark.parametrize("said, later, good", PEERS)
def test_what_an_engine_spoils_goes_elsewhere_and_what_it_adds_harms_nothing(said, later, good):
    harness = HostHarness([endpoint_list_event(1, {}, {"id": "e2", "state": "DRAINING"})])
    client, engine = harness.connect_client(), harness.connect_engine()
    harness.send(client, request_frame(1) + request_frame(2))
    assert harness.receive(engine).count(b"fetch") == 2
    harness.socket_host.on_discovery_event(
        "2", json.dumps(endpoint_list_event(2, {"id": "e2"}, full=False))
    )
    other = harness.connect_engine("e2")
    harness.send(engine, said)
    harness.pass_time(later)
    answers, again = harness.receive_answers(client), harness.receive(other)
    if good:
        assert (
            answers[0][:3] == (4, 1, b"\1")
            and len(harness.socket_host.engine_pools["e1"].links) == 1
            and not again
        )
        harness.send_engine_command(engine, request_id(2), "DONE", "chunks=1", ROW)
        assert harness.receive_answers(client) == [(4, 2, b"\1", ROW.encode())]
    else:  # found well before its expiry; both have run, and are tried again at once
        assert (
            not answers
            and not harness.socket_host.engine_pools["e1"].links
            and again.count(b"fetch") == 2
        )
        harness.send_engine_command(other, T1, "DONE", "chunks=1", ROW)
        assert harness.receive_answers(client) == [(4, 1, b"\1", ROW.encode())]
    assert harness.socket_host.result_memory.reserved_bytes == 0


def test_a_page_that_does_not_come_sends_its_submission_elsewhere_and_leaves_the_link_to_the_others():
    harness = HostHarness([endpoint_list_event(1, {}, {"id": "e2", "state": "DRAINING"})])
    client, engine = harness.connect_client(), harness.connect_engine()
    harness.send(client, request_frame(1) + request_frame(2))
    harness.socket_host.on_discovery_event(
        "2", json.dumps(endpoint_list_event(2, {"id": "e2"}, full=False))
    )
    other = harness.connect_engine("e2")
    harness.send(engine, TWO.replace(b"chunks=2", b"chunks=3"))
    harness.pass_time(2_000)
    harness.send(engine, MORE)
    harness.pass_time(2_000)
    assert not harness.receive(other)  # a page came; the next has its time too
    harness.pass_time(3_500)
    assert not harness.receive(other)  # Danger: it may stand still, and go on with that page first
    harness.send_engine_command(engine, request_id(2), "TELL", "-", "")
    harness.pass_time(2_500)
    assert command("done", T1) in harness.receive(engine) and T1.encode() in harness.receive(other)
    harness.send_engine_command(engine, T1, "MORE", "at=2", ROW)  # too late, and no harm
    harness.send_engine_command(engine, request_id(2), "DONE", "chunks=1", ROW)
    harness.send_engine_command(other, T1, "DONE", "chunks=1", ROW)
    assert [answer[1:3] for answer in harness.receive_answers(client)] == [(2, b"\1"), (1, b"\1")]


def test_what_an_engine_tells_no_more_of_goes_elsewhere_before_its_expiry():
    harness = HostHarness(
        [endpoint_list_event(1, {}, {"id": "e2", "state": "DRAINING"})],
        extra={**PLATFORM_SETTINGS["extra"], "tellsEveryUs": 300_000},
    )
    client, engine = harness.connect_client(), harness.connect_engine()
    harness.send(client, request_frame(1) + request_frame(2))
    harness.socket_host.on_discovery_event(
        "2", json.dumps(endpoint_list_event(2, {"id": "e2"}, full=False))
    )
    other = harness.connect_engine("e2")
    harness.pass_time(9_500)
    harness.send_engine_command(engine, request_id(2), "TELL", "-", "")
    assert not harness.receive(other)  # Danger: it stood still, and may tell of the other next
    for _ in range(4):
        harness.pass_time(2_400)
        harness.send_engine_command(engine, request_id(2), "TELL", "-", "")
    again = harness.receive(other)
    assert T1.encode() in again and request_id(2).encode() not in again
    assert command("abort", T1) in harness.receive(engine)
    harness.send_engine_command(engine, T1, "DONE", "chunks=1", ROW)  # after its time, and no harm
    harness.send_engine_command(other, T1, "DONE", "chunks=1", "b\t\t\n")
    assert harness.receive_answers(client) == [(4, 1, b"\1", b"b\t\t\n")]


def test_hand_offs_keep_apart_so_that_one_bad_answer_spoils_few():
    harness = HostHarness()
    client, engines = harness.connect_client(), [harness.connect_engine(), harness.connect_engine()]
    harness.send(client, b"".join(request_frame(n) for n in range(1, 5)))
    assert [harness.receive(engine).count(b"fetch") for engine in engines] == [2, 2]


def test_a_hand_off_that_waits_for_a_link_is_withdrawn_when_its_engine_drains():
    harness = HostHarness()
    client = harness.connect_client()
    harness.send(client, request_frame())
    (in_flight_attempt,) = harness.socket_host.in_flight_attempts.values()
    assert not harness.socket_host.on_discovery_event(
        "2", json.dumps(endpoint_list_event(2, {"state": "DRAINING"}, full=False))
    )
    assert (
        in_flight_attempt.attempt.outcome == AttemptOutcome.ABANDONED
        and not harness.socket_host.engine_pools["e1"].waiting
    )
    engine = harness.connect_engine()
    assert not harness.receive(engine)  # Danger: nothing begins after a drain


def test_without_a_link_in_time_it_counts_as_unreached_and_is_answered_once():
    harness = HostHarness()
    client = harness.connect_client()
    harness.send(client, request_frame(route="once"))
    harness.pass_time(4 * SECOND)
    assert [answer[:3] for answer in harness.receive_answers(client)] == [(4, 1, b"\2")]
    assert any(line.startswith("rest e1 unreached faults=1") for line in harness.logged)


def test_a_hand_off_whose_own_time_ends_before_a_dial_tells_nothing_of_its_engine():
    harness = HostHarness(limits={"mostTries": 1, "streamsPerConn": 4, "dialTimeoutUs": 5_000_000})
    client = harness.connect_client()
    harness.send(client, request_frame(patience="400"))
    (in_flight_attempt,) = harness.socket_host.in_flight_attempts.values()
    harness.pass_time(SECOND)
    assert in_flight_attempt.attempt.outcome == AttemptOutcome.ABANDONED and not harness.logged
    assert [answer[2] for answer in harness.receive_answers(client)] == [b"\2"]


def test_no_descriptor_for_a_dial_is_a_value(monkeypatch):
    def full(*_):
        raise OSError(24, "Too many open files")

    monkeypatch.setattr("corkgauge.eventloop.connection.socket.socket", full)
    assert dial(EventLoop(), ("127.0.0.1", 1), SECOND) == (None, "EMFILE")


def test_an_id_of_an_engine_that_is_gone_may_come_back():
    harness = HostHarness()
    engine, old = harness.connect_engine(), harness.socket_host.engine_pools["e1"]
    harness.send(harness.connect_client(), request_frame())
    harness.socket_host.on_discovery_event("2", json.dumps(endpoint_list_event(2)))
    harness.socket_host.on_discovery_event(
        "3", json.dumps(endpoint_list_event(3, {"started_ms": 5}, full=False))
    )
    new = harness.socket_host.engine_pools["e1"]
    engine.close()
    harness.turn()
    assert (
        harness.socket_host.engine_pools["e1"] is new
        and not old.links
        and new.engine.state == EngineState.READY
    )


def test_a_late_answer_to_one_hand_off_is_not_taken_for_the_next():
    harness = HostHarness(limits={"mostTries": 3, "streamsPerConn": 4})
    client, engine = harness.connect_client(), harness.connect_engine()
    served(harness, client, engine, patience="500")
    harness.pass_time(SECOND)
    assert harness.receive(engine) == command("abort", T1)  # Danger: it works on until it hears
    assert [answer[2] for answer in harness.receive_answers(client)] == [b"\2"]
    harness.send(client, request_frame(2, trace=T1))
    assert not harness.receive(engine)  # the same id: another link
    second = harness.connect_engine()
    harness.send_engine_command(engine, T1, "DONE", "chunks=1", "old\t\t\n")
    assert not harness.receive_answers(client) and b"fetch" in harness.receive(second)
    harness.send_engine_command(second, T1, "DONE", "chunks=1", "new\t\t\n")
    assert harness.receive_answers(client) == [(4, 2, b"\1", b"new\t\t\n")]


def test_a_new_engine_at_an_old_address_gets_links_of_its_own():
    harness = HostHarness()
    engine = harness.connect_engine()
    harness.socket_host.on_discovery_event("2", json.dumps(endpoint_list_event(2, {"id": "e2"})))
    harness.turn()
    assert engine.recv(10) == b""  # the old one is closed
    assert (
        harness.socket_host.engine_pools["e2"].engine.state == EngineState.READY
        and not harness.socket_host.engine_pools["e2"].links
    )


def test_one_key_keeps_its_order_and_time_kept_back_goes_off_its_life():
    harness = HostHarness()
    one, two, engine = harness.connect_client(), harness.connect_client(), harness.connect_engine()
    keyed = dict(route="load", entity="00ff", nonce="n1")
    sent = served(harness, one, engine, **keyed)
    assert b"op=n1" in sent
    harness.pass_time(600)
    harness.send(two, request_frame(1, trace=U1, **keyed))
    assert not harness.receive(engine)
    assert [
        s.time_to_deadline for c in harness.socket_host.client_connections for s in c.open.values()
    ] == [30_000, 27_500]
    harness.send_engine_command(engine, T1, "DONE", "chunks=1", "a\t\t\n")
    assert U1.encode() in harness.receive(engine)


def test_time_that_a_submission_may_have_waited_unread_goes_off_its_life():
    harness = HostHarness()
    client = harness.connect_client()
    client.sendall(request_frame(patience="3000"))
    harness.event_loop.turn(0)
    harness.time += 300  # a long turn: between the poll that saw it and the reading
    harness.event_loop.turn(0)
    assert [
        request.time_to_deadline
        for client_connection in harness.socket_host.client_connections
        for request in client_connection.open.values()
    ] == [29_700]


def test_a_withdrawal_at_expiry_is_still_answered_an_early_one_is_not():
    harness = HostHarness()
    client = harness.connect_client()
    harness.send(client, request_frame(1) + request_frame(2))
    harness.send(client, bytes.fromhex("050000000801000000"))
    harness.pass_time(29_600)
    harness.send(client, bytes.fromhex("050000000802000000"))
    assert [answer[1] for answer in harness.receive_answers(client)] == [2]


def test_all_that_is_open_is_answered_before_the_program_ends():
    harness = HostHarness()
    client, engine = harness.connect_client(), harness.connect_engine()
    served(harness, client, engine, patience="5000")
    harness.socket_host.start_shutdown()
    assert harness.receive_answers(client)[0][:2] == (64, 0)
    harness.pass_time(SECOND // 2)
    late = harness.connect_client()
    harness.send(
        late, request_frame(1, trace=U1, patience="5000") + bytes.fromhex("050000001002000000")
    )
    assert [answer[:3] for answer in harness.receive_answers(late)] == [
        (64, 0, b""),
        (32, 2, b"\2"),
    ]
    for _ in range(4):
        harness.pass_time(SECOND // 2)
        harness.send_engine_command(engine, "alive-1", "FIT", "-", "")
    harness.send_engine_command(engine, U1, "DONE", "chunks=1", "a\t\t\n")
    harness.pass_time(2 * SECOND)
    answers = harness.receive_answers(client) + harness.receive_answers(late)
    assert [answer[1:3] for answer in answers] == [
        (1, b"\2"),
        (1, b"\1"),
    ] and harness.event_loop.stopped


def test_what_lies_unread_at_the_end_is_answered_first():
    harness = HostHarness()
    client = harness.connect_client()
    harness.send(client, bytes.fromhex("05000000100a000000"))
    harness.socket_host.start_shutdown()
    harness.turn()
    harness.socket_host.shutdown_deadline = harness.socket_host.now + 5_000
    harness.receive_answers(client)
    client.sendall(request_frame())
    harness.socket_host.continue_shutdown()
    assert not harness.event_loop.stopped
    harness.pass_time(SECOND)
    assert [answer[1:3] for answer in harness.receive_answers(client)] == [
        (1, b"\2")
    ] and harness.event_loop.stopped


def test_many_short_lives_leave_nothing_behind():
    """Danger: nothing collects garbage, so what points to each other stays for good."""
    harness, held = HostHarness(), []
    gc.collect()
    gc.disable()
    for n in range(1, 1201):
        engine = harness.connect_engine(f"e{n}")
        client = harness.connect_client()
        sent = request_frame(
            1,
            trace=request_id(n),
            route="load",
            nonce=f"n{n}",
            entity=f"{n:x}",
            patience="1000",
            body=b"select * from s_%d.t" % n,
        )
        harness.send(client, sent + (b"\xff" * 9 if n % 5 == 0 else b""))
        if n % 3:
            says = ("DONE", "chunks=1", ROW) if n % 2 else ("BROKE", "-", "")
            harness.send_engine_command(engine, request_id(n), *says)
        event = endpoint_list_event(
            n + 1, {"id": f"e{n}", "state": "DELETED"}, {"id": f"e{n + 1}"}, full=False
        )
        assert not harness.socket_host.on_discovery_event("", json.dumps(event))
        client.close()
        engine.close()
        harness.pass_time(100, 100)
        if n % 400 == 0:
            harness.pass_time(4 * SECOND, 500)
            held.append(len(gc.get_objects()))
    gc.enable()
    socket_host = harness.socket_host
    assert (
        not (
            socket_host.client_connections
            or socket_host.open_requests
            or socket_host.in_flight_attempts
        )
        and len(socket_host.engine_pools) == 1
    )
    assert held[2] - held[1] < 200


def test_clients_that_do_not_read_cannot_fill_the_memory():
    harness = HostHarness()
    harness.socket_host.result_memory.limit_bytes = 300_000
    client, engine = harness.connect_client(), harness.connect_engine()
    client_connection = next(iter(harness.socket_host.client_connections))
    client_connection.link.machine.outward.max_bytes = 5_000
    for n in range(1, 20):
        harness.send(client, request_frame(n, patience="4000"))
        harness.send_engine_command(
            engine, request_id(n), "DONE", "chunks=1", "\t\t" + "x" * 5_997 + "\n"
        )
    waiting = sum(len(piece) for entry in client_connection.waiting_answers for piece in entry[2])
    assert 0 < waiting <= 300_000 and harness.socket_host.result_memory.reserved_bytes == waiting
    client.close()
    harness.turn()
    assert (
        harness.socket_host.result_memory.reserved_bytes == 0
        and not harness.socket_host.client_connections
    )


def test_a_silent_link_is_asked_for_a_sign_before_the_engine_would_close_it():
    harness = HostHarness(limits={"connIdleUs": 3_000_000})
    engine = harness.connect_engine()
    harness.pass_time(2 * SECOND)
    assert harness.receive(engine).startswith(command("alive", "alive-1"))


@pytest.mark.parametrize(
    "event",
    [
        "x",
        "[]",
        "{}",
        '{"n": "x"}',
        '{"n": 2, "members": 3}',
        '{"n": 2, "members": {"servers": [{}]}}',
        json.dumps(endpoint_list_event(2, {"zone": "moon"})),
        json.dumps(endpoint_list_event(2, {"addr": "x"})),
        json.dumps(endpoint_list_event(4, {}, full=False)),
    ],
)
def test_a_feed_event_that_makes_no_sense_changes_nothing(event):
    harness = HostHarness()
    assert harness.socket_host.on_discovery_event("2", event)
    assert (
        harness.socket_host.last_event == 1
        and harness.socket_host.engine_pools["e1"].engine.state == EngineState.READY
    )
    assert not harness.socket_host.on_discovery_event(
        "1", json.dumps(endpoint_list_event(1))
    )  # told before: left out


@pytest.mark.parametrize(
    "change, key",
    [
        ({"listen": 5}, "listen"),
        ({"feed": "x"}, "feed"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": []}, "limits"),
        ({"limits": {"memory_mb": -1}}, "limits.memory_mb"),
        ({"limits": {"sockets": "x"}}, "limits.sockets"),
        ({"limits": {"memory_mb": 31}}, "limits.memory_mb"),
        ({"known": {"n": "x"}}, "known.n"),
        ({"known": {"n": 1, "events": 5}}, "known.events"),
        ({"settings": None}, "settings"),
        ({"settings": {}}, "profiles"),
        ({"settings": {**PLATFORM_SETTINGS, "instances": 0}}, "instances"),
        ({"settings": {**PLATFORM_SETTINGS, "rules": {"coldUs": -1}}}, "coldUs"),
        (
            {"settings": {**PLATFORM_SETTINGS, "profiles": [{"effect": "x", "deadlineUs": 1}]}},
            "effect",
        ),
    ],
)
def test_a_faulty_configuration_is_told_by_its_key(change, key, tmp_path):
    said = {"listen": "127.0.0.1:1", "feed": "127.0.0.1:2", "settings": PLATFORM_SETTINGS, **change}
    (tmp_path / "c.json").write_text(json.dumps(said))
    with pytest.raises(configuration.ConfigurationError, match=key):
        from corkgauge.net.platform_frontend import PlatformFrontEnd

        PlatformFrontEnd(
            EventLoop(), configuration.read({"EDGE_CONFIG": str(tmp_path / "c.json")}), print
        )


@pytest.mark.parametrize("text", ["", "{", "[1]"])
def test_a_configuration_that_is_no_object_is_told(text, tmp_path):
    (tmp_path / "c.json").write_text(text)
    for environment in (
        {},
        {"EDGE_CONFIG": str(tmp_path / "c.json")},
        {"EDGE_CONFIG": "/nowhere/at/all"},
    ):
        with pytest.raises(configuration.ConfigurationError, match="EDGE_CONFIG"):
            configuration.read(environment)


def test_a_command_whose_extra_is_missing_names_the_remedy(tmp_path):
    (tmp_path / "rich").mkdir()
    (tmp_path / "rich" / "__init__.py").write_text("raise ModuleNotFoundError('gone', name='rich')")
    said = subprocess.run(
        [sys.executable, "-m", "corkgauge", "demo", "--seconds", "1"],
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": str(tmp_path)},
    )
    assert (
        said.returncode == 2
        and said.stderr.count("\n") == 1
        and "corkgauge[operator]" in said.stderr
    )


def test_engines_are_dialled_when_something_goes_there_and_again_when_two_had_to_share():
    harness, dialled = (
        HostHarness(
            (endpoint_list_event(1, {}, {"id": "e2", "addr": "127.0.0.9:2"}),), instances=200
        ),
        [],
    )

    def dial(engine_pool, where):
        dialled.append(engine_pool.engine.name)
        engine_pool.dialling = False

    EnginePool.dial = dial
    harness.turn()
    assert dialled == []  # hundreds of gateways that dial all engines ahead cost more than they ask
    client = harness.connect_client()
    harness.send(client, request_frame(1))
    assert len(dialled) == 1
    engine = harness.connect_engine(dialled[0])
    harness.turn()
    assert len(dialled) == 1 and b"fetch" in engine.recv(4096)
    for stream in (3, 5, 7):  # of four, two at least share a link
        harness.send(client, request_frame(stream))
    assert len(dialled) > 1


def test_a_few_gateways_open_a_link_to_each_engine_ahead():
    """Danger: with much traffic the first ones would wait for a dial, and all would share one link."""
    dialled = []

    def dial(engine_pool, where):
        dialled.append(engine_pool.engine.name)
        engine_pool.dialling = False

    harness = HostHarness(
        (endpoint_list_event(1, {}, {"id": "e2", "addr": "127.0.0.9:2"}),), instances=3
    )
    EnginePool.dial = dial
    for engine_pool in harness.socket_host.engine_pools.values():
        engine_pool.dialling = False
        engine_pool.fill()
    harness.turn()
    assert sorted(dialled) == ["e1", "e2"]


def test_of_one_key_the_one_that_was_read_first_is_told_first_whatever_lies_behind_it(monkeypatch):
    harness = HostHarness()
    engine, one, other = (
        harness.connect_engine(),
        harness.connect_client(),
        harness.connect_client(),
    )
    busy = []
    monkeypatch.setattr(clients, "unread_byte_count", lambda sock: sock in busy)
    busy += [
        client_connection.link.sock for client_connection in harness.socket_host.client_connections
    ][:1]  # more lies there, all the time
    harness.send(
        one, request_frame(7, route="load", entity="5", nonce="a" * 8, trace=request_id(1))
    )
    assert request_id(1).encode() not in harness.receive(engine)
    harness.send(
        other, request_frame(8, route="load", entity="5", nonce="b" * 8, trace=request_id(2))
    )
    said = harness.receive(engine)
    assert (
        request_id(1).encode() in said and request_id(2).encode() not in said
    )  # it waits for its turn
    assert not harness.socket_host.unsubmitted_by_order_key
    harness.pass_time(SECOND // 10)
    assert harness.receive(engine).count(b"fetch") == 0


def test_a_withdrawal_at_expiry_of_what_the_gateway_never_heard_of_is_answered_and_it_never_does(
    monkeypatch,
):
    harness = HostHarness()
    engine, client = harness.connect_engine(), harness.connect_client()
    monkeypatch.setattr(
        clients, "unread_byte_count", lambda sock: 1
    )  # more lies there, all the time
    harness.send(client, request_frame(1, patience="40"))
    harness.send(client, bytes.fromhex("050000000801000000"))
    assert [answer[1:3] for answer in harness.receive_answers(client)] == [(1, b"\2")]
    harness.pass_time(SECOND)
    assert not harness.socket_host.gateway.queues and harness.receive(engine) == b""

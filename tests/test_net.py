"""Tests of protocol parsers, timers, connections, retries, configuration reload and shutdown."""

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
from corkgauge.eventloop.dial import dial
from corkgauge.eventloop.loop import EventLoop
from corkgauge.eventloop.memory_budget import MemoryBudget
from corkgauge.eventloop.ring_buffer import INITIAL_BYTES, RingBuffer
from corkgauge.net import client_connection as client_connection_module
from corkgauge.net import discovery_protocol
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

READY_CHECK_FRAME = bytes.fromhex("05000000100a000000")
MEMORY_LIMIT_BYTES, RESULT_ROW = 10**7, "a\t\t\n"
FIRST_REQUEST_ID, OTHER_REQUEST_ID = request_id(1), request_id(99)


class RecordingOwner:
    """Owns a protocol and records the calls that the protocol makes."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda *arguments: self.calls.append((name, *arguments)) or ""


PROTOCOL_INPUTS = [  # protocol, input, number of calls that the input causes
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
        discovery_protocol.DiscoveryProtocol,
        b"HTTP/1.1 200 OK\r\nContent-Type: x\r\n\r\n: hi\n\nid: 4\ndata: {\ndata: }\n\n",
        1,
    ),
    (
        discovery_protocol.DiscoveryProtocol,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nid: 4\n\r\n"
        b"9;x\r\ndata: a\n\n\r\n1\r\n:\r\n",
        1,
    ),
]


def parse_pieces(protocol_class, pieces):
    """Parse the pieces in order; return the calls to the owner and the error text."""
    owner = RecordingOwner()
    budget_count = 2 if protocol_class is ClientProtocol else 1  # of input, and of output
    protocol = protocol_class(owner, *[MemoryBudget(MEMORY_LIMIT_BYTES)] * budget_count)
    error = ""
    for piece in pieces:
        while piece and not error:
            size = min(len(piece), max(protocol.inward.free_bytes, 1))
            assert protocol.inward.put(piece[:size])
            piece = piece[size:]
            error = protocol.parse_input()
    return owner.calls, error


@pytest.mark.parametrize("protocol_class, data, count", PROTOCOL_INPUTS)
def test_protocol_parses_the_same_however_its_bytes_are_split(protocol_class, data, count):
    unsplit = parse_pieces(protocol_class, [data])
    assert len(unsplit[0]) == count and not unsplit[1]
    for split_at in range(1, len(data)):
        assert parse_pieces(protocol_class, [data[:split_at], data[split_at:]]) == unsplit
    assert parse_pieces(protocol_class, [bytes([byte]) for byte in data]) == unsplit


@pytest.mark.parametrize("protocol_class, data, count", PROTOCOL_INPUTS)
def test_parsing_corrupted_bytes_never_raises(protocol_class, data, count):
    generator = random.Random(11)
    for _ in range(400):
        corrupted = bytearray(data)
        for _ in range(generator.randint(1, 4)):
            corrupted[generator.randrange(len(corrupted))] = generator.randrange(256)
        calls, error = parse_pieces(protocol_class, [bytes(corrupted)])
        assert isinstance(error, str) and len(calls) < 20


@pytest.mark.parametrize(
    "protocol_class, data",
    [
        (ClientProtocol, b"\4\0\0\0" + b"x" * 8),
        (ClientProtocol, b"\xff\xff\xff\xff"),
        (EngineProtocol, b"*4\r\n$-1\r\n"),
        (EngineProtocol, b"*999999999\r\n"),
        (EngineProtocol, b"$3\r\nabc\r\n"),
        (EngineProtocol, b"*1\r\n$1\r\nab\r\n"),
        (EngineProtocol, b"*4\r\n$16000\r\n" + b"x" * 17_000),
        (discovery_protocol.DiscoveryProtocol, b"HTTP/1.1 503 no\r\n"),
        (
            discovery_protocol.DiscoveryProtocol,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        ),
        (discovery_protocol.DiscoveryProtocol, b"HTTP/1.1 200 OK\r\n\r\ndata: \xff\n"),
    ],
)
def test_invalid_framing_is_reported(protocol_class, data):
    assert parse_pieces(protocol_class, [data])[1]


@pytest.mark.parametrize("head, is_valid", [(b"id: 1\ndata: ", True), (b"", False)])
def test_endpoint_list_of_all_engines_is_parsed_and_an_overlong_line_is_rejected(head, is_valid):
    servers = [
        {
            "id": f"{index:036x}",
            "addr": "10.11.12.13:9000",
            "zone": "east-1",
            "kind": "std-large",
            "cell": index // 3,
            "state": "SERVING",
            "started_ms": 1_790_000_000_000,
        }
        for index in range(2_400)
    ]
    event = json.dumps(
        {"n": 1, "members": {"version": 1, "full": True, "servers": servers}}
    ).encode()
    assert len(event) > 300_000
    calls, error = parse_pieces(
        discovery_protocol.DiscoveryProtocol,
        [b"HTTP/1.1 200 OK\r\n\r\n", head + event * (1 if is_valid else 4) + b"\n\n" * is_valid],
    )
    assert (len(calls), bool(error)) == ((1, False) if is_valid else (0, True))


def test_event_of_endless_empty_lines_is_rejected(monkeypatch):
    """Guards against a feed whose empty data lines held up all requests and took memory."""
    monkeypatch.setattr(discovery_protocol, "MAX_LINE_BYTES", 3_000)
    owner = RecordingOwner()
    protocol = discovery_protocol.DiscoveryProtocol(owner, MemoryBudget(MEMORY_LIMIT_BYTES))
    assert protocol.inward.put(b"HTTP/1.1 200 OK\r\n\r\n") and not protocol.parse_input()
    assert protocol.inward.put(b"data:\n" * 600) and not protocol.parse_input()
    for _ in range(5):
        assert protocol.inward.put(b"data:\n" * 600)
        problem = protocol.parse_input()
    assert problem == "event exceeds 1,048,576 bytes"


def test_input_that_takes_long_to_handle_is_read_in_several_turns(monkeypatch):
    """Guards against one peer at full speed that holds up the tasks of all others."""
    harness = HostHarness()
    client = harness.connect_client()
    (client_connection,) = harness.socket_host.client_connections
    handled = []

    def handle_slowly(stream):
        handled.append(stream)
        harness.time += 1
        return ""

    monkeypatch.setattr(client_connection, "on_ready_check", handle_slowly)
    client.sendall(READY_CHECK_FRAME * 3_600)
    harness.turn(2)
    assert len(handled) == INITIAL_BYTES // len(READY_CHECK_FRAME)


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
def test_table_group_of_a_statement(statement, group):
    assert group_number(statement) == group


def test_ring_buffer_keeps_byte_order_and_its_memory_limit():
    budget, generator = MemoryBudget(60_000), random.Random(5)
    ring, expected = RingBuffer(50_000, budget), b""
    for _ in range(3000):
        data = generator.randbytes(generator.randrange(300))
        if ring.put(data):
            expected += data
        if generator.random() < 0.02 and ring.free_bytes:
            gap = ring.writable_view()
            gap[:] = b"g" * len(gap)
            ring.mark_written(len(gap))
            expected += b"g" * len(gap)
        size = generator.randrange(500)
        assert (
            bytes(ring.readable_view()) == expected[: len(ring.readable_view())]
            and ring.take(size) == expected[:size]
        )
        expected = expected[size:]
        assert len(ring) == len(expected) and budget.reserved_bytes <= 60_000
    ring.close()
    assert budget.reserved_bytes == 0 and not len(RingBuffer(8, budget, 8).writable_view()[8:])


def test_timers_run_in_order_never_early_and_survive_exceptions():
    clock, timer_runs, exceptions = [1000], [], []
    event_loop = EventLoop(clock=lambda: clock[0], on_exception=lambda: exceptions.append(1))
    for delay in (30, 10, 20, 0):
        event_loop.call_later(
            delay, lambda delay: timer_runs.append((delay, event_loop.now)), delay
        )
    event_loop.call_later(15, lambda: 1 / 0)
    for now in range(1000, 1040, 5):
        clock[0] = now
        event_loop.turn(0)
    assert timer_runs == [(0, 1010), (10, 1010), (20, 1020), (30, 1030)] and exceptions == [1]
    clock[0] = 0  # time of the loop must not go back with the clock
    event_loop.turn(0)
    assert event_loop.now == 1035 and event_loop.worst_lag == 9 and event_loop.lag == 0
    event_loop.call_later(0, lambda: clock.__setitem__(0, 2000))
    clock[0] = 1040
    event_loop.turn(0)
    assert event_loop.lag == 965  # input that is read now may have waited this long
    event_loop.turn(0)
    event_loop.turn(0)
    assert event_loop.lag == 0


def send_request(harness, client, engine, stream=1, **fields):
    harness.send(client, request_frame(stream, **fields))
    return harness.receive(engine)


def test_statement_is_forwarded_unchanged_and_its_pages_are_returned_in_order():
    harness = HostHarness()
    client, engine = harness.connect_client(), harness.connect_engine()
    sent = send_request(harness, client, engine, body=b"select \xc3\xa9 from s_3.t")
    assert sent.startswith(b"*4\r\n$5\r\nfetch\r\n$16\r\n" + FIRST_REQUEST_ID.encode())
    assert b"select \xc3\xa9 from s_3.t" in sent
    assert b"sort=quick,patience=29" in sent and b"op=" not in sent
    harness.send_engine_command(engine, FIRST_REQUEST_ID, "TELL", "n=advance,amount=0.5", "")
    harness.send_engine_command(
        engine, FIRST_REQUEST_ID, "DONE", "chunks=3,spent=120,wanted=9", "a\t\t\n"
    )
    assert harness.receive(engine) == command("more", FIRST_REQUEST_ID, "1") + command(
        "more", FIRST_REQUEST_ID, "2"
    )
    assert not harness.receive_answers(client)
    harness.send_engine_command(engine, FIRST_REQUEST_ID, "MORE", "at=2", "c\t\t\n")
    harness.send_engine_command(engine, FIRST_REQUEST_ID, "MORE", "at=1", "b\t\t\n")
    assert harness.receive_answers(client) == [(4, 1, b"\1", b"a\t\t\nb\t\t\nc\t\t\n")]
    assert harness.receive(engine) == command("done", FIRST_REQUEST_ID)
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
def test_invalid_request_is_answered_on_its_stream_and_the_connection_keeps_working(
    stream, code, fields
):
    harness = HostHarness()
    client, engine = harness.connect_client(), harness.connect_engine()
    # While a request is open, its id is taken, also for other clients.
    assert send_request(harness, harness.connect_client(), engine, 7)
    if "patience" in fields and fields["patience"] is None:
        fields = {**fields, "patience": ""}
    harness.send(client, request_frame(stream, **fields))
    assert [answer[:3] for answer in harness.receive_answers(client)] == [(4, stream, code)]
    # An honest client slightly over the limit is accepted.
    assert send_request(harness, client, engine, 2, patience="5002")
    harness.send(client, bytes.fromhex("05000000630900000005000000100a000000"))
    assert [answer[:3] for answer in harness.receive_answers(client)] == [
        (4, 0, b"\3"),
        (32, 10, b"\1"),
    ]


def test_requests_cancelled_or_followed_by_invalid_bytes_in_one_write_reach_no_engine():
    harness = HostHarness()
    engine = harness.connect_engine()
    cancellations = b"".join(
        bytes.fromhex("0500000008") + stream.to_bytes(4, "little") for stream in range(1, 31)
    )
    for round_number, last in enumerate([cancellations, b"\0\0\0\0", request_frame(30)], 1):
        client = harness.connect_client()
        frames = [
            request_frame(
                stream,
                trace=request_id(100 * round_number + stream),
                body=b"from s_3.t" + b" " * 600,
            )
            for stream in range(1, 31)
        ]
        harness.send(client, b"".join(frames) + last)
        client.close()
    assert b"fetch" not in harness.receive(engine) and not harness.socket_host.in_flight_attempts
    client = harness.connect_client()
    client.sendall(request_frame(1) + request_frame(2)[:50])
    harness.pass_time(150)  # the incomplete second frame delays the first request only briefly
    assert harness.receive(engine).count(b"fetch") == 1


FAULTY_CLIENT_INPUTS = [  # pieces that a client sends, streams answered before the close reason
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


@pytest.mark.parametrize("sent, answered", FAULTY_CLIENT_INPUTS)
def test_faulty_client_gets_the_reason_in_time_and_other_clients_are_unaffected(sent, answered):
    harness = HostHarness()
    good, bad, engine = harness.connect_client(), harness.connect_client(), harness.connect_engine()
    harness.send(good, bytes.fromhex("05000000100a000000"))
    for piece in sent:
        harness.send(bad, piece)
        # Single bytes count as activity, but the frame stays incomplete.
        harness.time += 400 if len(sent) == 40 else 0
    if sent:
        # The client still sends: a reset for that must not discard the last answer to it.
        harness.send(bad, b"x" * 9)
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
        send_request(harness, good, engine, 1, trace=request_id(500))
        and not harness.socket_host.client_input_memory.reserved_bytes
        and not harness.socket_host.client_output_memory.reserved_bytes
    )


def test_idle_connections_are_closed_to_make_room_but_none_with_an_open_request():
    harness = HostHarness(sockets=32)
    socket_host, engine = harness.socket_host, harness.connect_engine()
    waiting, answered, silent, unread = (harness.connect_client() for _ in range(4))
    send_request(harness, waiting, engine, 1)
    send_request(harness, answered, engine, 2)
    harness.send_engine_command(engine, request_id(2), "DONE", "chunks=1", "a\t\t\n")
    harness.pass_time(600)
    unread.sendall(b"x")
    assert socket_host.make_room()
    harness.turn()
    assert len(harness.receive_answers(answered)) == 1 and answered.recv(9) == silent.recv(9) == b""
    # Input that crosses the end of stream is read and dropped: closing over it would be a reset.
    harness.pass_time(600)
    unread.sendall(b"x")
    assert len(socket_host.client_connections) == 2 and not socket_host.make_room()
    harness.send_engine_command(engine, request_id(1), "DONE", "chunks=1", "a\t\t\n")
    assert harness.receive_answers(waiting)[0][2] == b"\1"


def test_announced_frame_length_reserves_no_memory():
    harness = HostHarness()
    for _ in range(50):
        harness.send(harness.connect_client(), (262_144).to_bytes(4, "little") + b"\2")
    assert harness.socket_host.client_input_memory.reserved_bytes == 0


def list_event_bytes(number, **fields):
    """Return an event of the discovery watch about one engine, as the server sends it."""
    event = json.dumps(endpoint_list_event(number, {**fields}, full=False))
    return f"id: {number}\ndata: {event}\n\n".encode()


class DiscoveryServers:
    """Connects each dial of the discovery watch to a new socket pair, kept by port."""

    def __init__(self, harness, monkeypatch, tmp_path):
        self.harness, self.sockets, self.file = harness, {}, tmp_path / "c.json"
        self.configuration = {
            "name": "n",
            "listen": "127.0.0.1:1",
            "feed": "127.0.0.1:2",
            "settings": PLATFORM_SETTINGS,
        }
        monkeypatch.setattr("corkgauge.net.discovery.dial", self.dial)
        self.reloader = ConfigurationReloader(
            harness.socket_host, configuration.PlatformConfig(self.configuration, "")
        )
        harness.turn()

    def dial(self, event_loop, address, timeout):
        server_socket, watch_socket = socket.socketpair()
        server_socket.setblocking(False)
        self.sockets.setdefault(address[1], []).append(server_socket)
        return watch_socket, ""

    def send_event(self, port, number, **fields):
        self.harness.send(self.sockets[port][-1], list_event_bytes(number, **fields))

    def reload(self, text="", **changes):
        self.file.write_text(text or json.dumps({**self.configuration, **changes}))
        self.reloader.reload({"EDGE_CONFIG": str(self.file)})
        self.harness.turn()


def test_configuration_reload_moves_the_discovery_watch_and_interrupts_no_request(
    monkeypatch, tmp_path
):
    harness = HostHarness()
    client, engine, servers = (
        harness.connect_client(),
        harness.connect_engine(),
        DiscoveryServers(harness, monkeypatch, tmp_path),
    )
    assert send_request(harness, client, engine)
    assert b"Last-Event-ID: 1\r\n" in servers.sockets[2][0].recv(999)
    harness.send(servers.sockets[2][0], b"HTTP/1.1 200 OK\r\n\r\n")
    servers.send_event(2, 2, id="e2")
    servers.sockets[2][0].sendall(b"id: 3\nda")
    for text in (
        "{",
        json.dumps({**servers.configuration, "feed": "x"}),
        json.dumps({**servers.configuration, "settings": {}}),
    ):
        servers.reload(text)  # an invalid configuration must change nothing
    assert len(harness.logged) == 3 and all(
        "configuration not taken" in line for line in harness.logged
    )
    assert any("feed: expected" in line for line in harness.logged) and list(servers.sockets) == [2]
    for port in (3, 4, 2):
        servers.reload(feed=f"127.0.0.1:{port}", limits={"sockets": 500})
        assert b"Last-Event-ID: 2\r\n" in servers.sockets[port][-1].recv(999)
    assert "limits.sockets changed" in harness.logged[3] and servers.sockets[2][0].recv(9) == b""
    harness.send(servers.sockets[2][-1], b"HTTP/1.1 200 OK\r\n\r\n")
    servers.send_event(2, 3, id="e2", state="DRAINING")
    assert harness.socket_host.engine_pools["e2"].engine.state == EngineState.DRAINING
    harness.send_engine_command(engine, FIRST_REQUEST_ID, "DONE", "chunks=1", "a\t\t\n")
    assert harness.receive_answers(client)[0][2] == b"\1" and servers.sockets[3][0].recv(9) == b""


def test_discovery_watch_reconnects_after_a_break_or_silence_and_skips_repeated_events(
    monkeypatch, tmp_path
):
    harness = HostHarness()
    servers = DiscoveryServers(harness, monkeypatch, tmp_path)
    for attempt in range(3):
        harness.send(servers.sockets[2][-1], b"HTTP/1.1 200 OK\r\n\r\n")
        for _ in range(2):
            servers.send_event(2, 2 + attempt, id=f"e{attempt}")
        harness.pass_time(12_000)
        servers.sockets[2][-1].sendall(b": sign\n\nid: 9\ndata: {")
        servers.sockets[2][-1].close()
        harness.pass_time(200)
        # Reconnected at once.
        assert (
            len(servers.sockets[2]) == 2 + attempt and harness.socket_host.last_event == 2 + attempt
        )
    harness.send(servers.sockets[2][-1], b"HTTP/1.1 200 OK\r\n\r\n")
    harness.pass_time(17_500)  # the connection stays open without any bytes
    assert len(servers.sockets[2]) == 5 and f"Last-Event-ID: {4}".encode() in servers.sockets[2][
        -1
    ].recv(999)


def test_requests_over_the_limit_of_open_streams_are_refused():
    harness = HostHarness()
    client = harness.connect_client()
    harness.send(client, b"".join(request_frame(n) for n in range(1, 36)))  # in one write
    assert [answer[1] for answer in harness.receive_answers(client)] == [33, 34, 35]


ENGINE_COMMANDS = [  # commands of the engine, code that the client gets at once, number of retries
    ([], b"", 0),
    ([(FIRST_REQUEST_ID, "WAIT", "-", "")], b"", 1),
    ([(FIRST_REQUEST_ID, "BROKE", "-", "")], b"\3", 0),
    ([(FIRST_REQUEST_ID, "PAST", "-", "")], b"", 1),
    (
        [(FIRST_REQUEST_ID, "DONE", "chunks=2", "a\t\t\n"), (FIRST_REQUEST_ID, "BROKE", "-", "")],
        b"\3",
        0,
    ),
    (
        [
            (FIRST_REQUEST_ID, "DONE", "chunks=2", "a\t\t\n"),
            (FIRST_REQUEST_ID, "MORE", "at=7", "a\t\t\n"),
        ],
        b"\3",
        0,
    ),
    ([(FIRST_REQUEST_ID, "DONE", "chunks=9999999", "a\t\t\n")], b"\3", 0),
    ([("zz", "DONE", "-", "a\t\t\n")], b"\3", 0),
    ([(FIRST_REQUEST_ID, "WHAT", "-", "a\n")], b"\3", 0),
]


@pytest.mark.parametrize("commands, code, retry_count", ENGINE_COMMANDS)
def test_non_idempotent_request_is_retried_only_with_proof_that_it_never_ran(
    commands, code, retry_count
):
    harness = HostHarness([endpoint_list_event(1, {}, {"id": "e2"})])
    client, engines = (
        harness.connect_client(),
        {tag: harness.connect_engine(tag) for tag in ("e1", "e2")},
    )
    harness.send(client, request_frame(route="once"))
    first = next(tag for tag, sock in engines.items() if harness.receive(sock))
    for parts in commands:
        harness.send_engine_command(engines[first], *parts)
    if not commands:
        engines[first].close()
        harness.turn()
        code = b"\3"  # the connection broke after the write: the statement may have run
    other = engines["e2" if first == "e1" else "e1"]
    assert [answer[2] for answer in harness.receive_answers(client)] == [code][: len(code)]
    assert harness.receive(other).count(b"fetch") == retry_count


ONE_PAGE_RESULT, SECOND_PAGE = (
    command(FIRST_REQUEST_ID, "DONE", "chunks=1", RESULT_ROW),
    command(FIRST_REQUEST_ID, "MORE", "at=1", RESULT_ROW),
)
FIRST_OF_TWO_PAGES = command(FIRST_REQUEST_ID, "DONE", "chunks=2", RESULT_ROW)
# Bytes that an engine writes while two attempts are open, wait in ticks, whether the first request
# is answered from these bytes.
ENGINE_INPUTS = [
    (command(request_id(77), "DONE", "chunks=1", "x\t\t\n") + ONE_PAGE_RESULT, 0, True),
    (ONE_PAGE_RESULT + ONE_PAGE_RESULT, 0, True),
    (FIRST_OF_TWO_PAGES + FIRST_OF_TWO_PAGES + SECOND_PAGE + SECOND_PAGE, 0, True),
    (command(FIRST_REQUEST_ID, "TELL", "n=x,amount=y", "") + ONE_PAGE_RESULT, 0, True),
    (FIRST_OF_TWO_PAGES + command(FIRST_REQUEST_ID, "DONE", "chunks=1", RESULT_ROW), 0, False),
    (FIRST_OF_TWO_PAGES + SECOND_PAGE.replace(b"at=1", b"at=3"), 0, False),
    (command(FIRST_REQUEST_ID, "DONE", "chunks=1", "a\tb\n"), 0, False),
    (command(FIRST_REQUEST_ID, "DONE", "chunks=1", RESULT_ROW + "c\t"), 0, False),
    (command(FIRST_REQUEST_ID, "DONE", "chunks=1", b"a\t\xff\t\n"), 0, False),
    (ONE_PAGE_RESULT.replace(b"a\t", b"\x01\t"), 0, False),
    (command(FIRST_REQUEST_ID, "DONE", "chunks=1", "\t\t" + "x" * 5_998 + "\n"), 0, False),
    (command(FIRST_REQUEST_ID, "DONE", "chunks=0", RESULT_ROW), 0, False),
    (command(FIRST_REQUEST_ID, "DONE", "chunks=nan", RESULT_ROW), 0, False),
    (command(FIRST_REQUEST_ID, "DONE", "chunks=1,spe", RESULT_ROW), 0, False),
    (command(FIRST_REQUEST_ID, "DONE", "chunks=1,spent=-4", RESULT_ROW), 0, False),
    (command("\x07", "DONE", "chunks=1", RESULT_ROW), 0, False),
    (ONE_PAGE_RESULT.replace(b"DONE", b"DOME"), 0, False),
    (
        b"*4\r\n$16\r\n"
        + FIRST_REQUEST_ID.encode()
        + b"\r\n$4\r\nDONE\r\n$8\r\nchunks=1\r\n$3221225472\r\n"
        + b"x" * 9,
        0,
        False,
    ),
    (bytes(range(200, 256)), 0, False),
    (b"*4\r\n$16" + b"1" * 20, 0, False),
    (b"*-1\r\n", 0, False),
    (ONE_PAGE_RESULT[:-9], 3_500, False),
    (b"*", 3_500, False),
    (FIRST_OF_TWO_PAGES + SECOND_PAGE[:9], 3_500, False),
    (b"", 13_000, False),
]


@pytest.mark.parametrize("data, wait_ticks, is_valid", ENGINE_INPUTS)
def test_invalid_engine_output_causes_retries_elsewhere_and_surplus_output_is_ignored(
    data, wait_ticks, is_valid
):
    harness = HostHarness([endpoint_list_event(1, {}, {"id": "e2", "state": "DRAINING"})])
    client, engine = harness.connect_client(), harness.connect_engine()
    harness.send(client, request_frame(1) + request_frame(2))
    assert harness.receive(engine).count(b"fetch") == 2
    harness.socket_host.on_discovery_event(
        "2", json.dumps(endpoint_list_event(2, {"id": "e2"}, full=False))
    )
    other = harness.connect_engine("e2")
    harness.send(engine, data)
    harness.pass_time(wait_ticks)
    answers, retries = harness.receive_answers(client), harness.receive(other)
    if is_valid:
        assert (
            answers[0][:3] == (4, 1, b"\1")
            and len(harness.socket_host.engine_pools["e1"].links) == 1
            and not retries
        )
        harness.send_engine_command(engine, request_id(2), "DONE", "chunks=1", RESULT_ROW)
        assert harness.receive_answers(client) == [(4, 2, b"\1", RESULT_ROW.encode())]
    else:  # found well before the deadline; both attempts may have run and are retried at once
        assert (
            not answers
            and not harness.socket_host.engine_pools["e1"].links
            and retries.count(b"fetch") == 2
        )
        harness.send_engine_command(other, FIRST_REQUEST_ID, "DONE", "chunks=1", RESULT_ROW)
        assert harness.receive_answers(client) == [(4, 1, b"\1", RESULT_ROW.encode())]
    assert harness.socket_host.result_memory.reserved_bytes == 0


def test_missing_page_causes_a_retry_elsewhere_and_keeps_the_connection_for_other_requests():
    harness = HostHarness([endpoint_list_event(1, {}, {"id": "e2", "state": "DRAINING"})])
    client, engine = harness.connect_client(), harness.connect_engine()
    harness.send(client, request_frame(1) + request_frame(2))
    harness.socket_host.on_discovery_event(
        "2", json.dumps(endpoint_list_event(2, {"id": "e2"}, full=False))
    )
    other = harness.connect_engine("e2")
    harness.send(engine, FIRST_OF_TWO_PAGES.replace(b"chunks=2", b"chunks=3"))
    harness.pass_time(2_000)
    harness.send(engine, SECOND_PAGE)
    harness.pass_time(2_000)
    assert not harness.receive(other)  # each page that arrives restarts the time limit
    harness.pass_time(3_500)
    # No retry yet: the whole engine may be stalled, and may continue with this page.
    assert not harness.receive(other)
    harness.send_engine_command(engine, request_id(2), "TELL", "-", "")
    harness.pass_time(2_500)
    assert command("done", FIRST_REQUEST_ID) in harness.receive(
        engine
    ) and FIRST_REQUEST_ID.encode() in harness.receive(other)
    # A late page is ignored.
    harness.send_engine_command(engine, FIRST_REQUEST_ID, "MORE", "at=2", RESULT_ROW)
    harness.send_engine_command(engine, request_id(2), "DONE", "chunks=1", RESULT_ROW)
    harness.send_engine_command(other, FIRST_REQUEST_ID, "DONE", "chunks=1", RESULT_ROW)
    assert [answer[1:3] for answer in harness.receive_answers(client)] == [(2, b"\1"), (1, b"\1")]


def test_attempt_without_progress_reports_is_retried_elsewhere_before_its_deadline():
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
    # No retry yet: the engine was stalled, and its next report may be of the other attempt.
    assert not harness.receive(other)
    for _ in range(4):
        harness.pass_time(2_400)
        harness.send_engine_command(engine, request_id(2), "TELL", "-", "")
    retries = harness.receive(other)
    assert FIRST_REQUEST_ID.encode() in retries and request_id(2).encode() not in retries
    assert command("abort", FIRST_REQUEST_ID) in harness.receive(engine)
    # A late answer is ignored.
    harness.send_engine_command(engine, FIRST_REQUEST_ID, "DONE", "chunks=1", RESULT_ROW)
    harness.send_engine_command(other, FIRST_REQUEST_ID, "DONE", "chunks=1", "b\t\t\n")
    assert harness.receive_answers(client) == [(4, 1, b"\1", b"b\t\t\n")]


def test_attempts_are_spread_over_connections_so_that_one_bad_answer_affects_few():
    harness = HostHarness()
    client, engines = harness.connect_client(), [harness.connect_engine(), harness.connect_engine()]
    harness.send(client, b"".join(request_frame(n) for n in range(1, 5)))
    assert [harness.receive(engine).count(b"fetch") for engine in engines] == [2, 2]


def test_attempt_waiting_for_a_connection_is_withdrawn_when_its_engine_drains():
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
    assert not harness.receive(engine)  # an engine that drains must get no new attempt


def test_attempt_without_a_connection_in_time_counts_as_unreached_and_is_answered_once():
    harness = HostHarness()
    client = harness.connect_client()
    harness.send(client, request_frame(route="once"))
    harness.pass_time(4 * SECOND)
    assert [answer[:3] for answer in harness.receive_answers(client)] == [(4, 1, b"\2")]
    assert any(line.startswith("rest e1 unreached faults=1") for line in harness.logged)


def test_attempt_that_expires_during_the_dial_records_no_fault_of_its_engine():
    harness = HostHarness(limits={"mostTries": 1, "streamsPerConn": 4, "dialTimeoutUs": 5_000_000})
    client = harness.connect_client()
    harness.send(client, request_frame(patience="400"))
    (in_flight_attempt,) = harness.socket_host.in_flight_attempts.values()
    harness.pass_time(SECOND)
    assert in_flight_attempt.attempt.outcome == AttemptOutcome.ABANDONED and not harness.logged
    assert [answer[2] for answer in harness.receive_answers(client)] == [b"\2"]


def test_dial_without_a_free_descriptor_returns_an_error_name(monkeypatch):
    def fail_without_descriptor(*_):
        raise OSError(24, "Too many open files")

    monkeypatch.setattr("corkgauge.eventloop.connection.socket.socket", fail_without_descriptor)
    assert dial(EventLoop(), ("127.0.0.1", 1), SECOND) == (None, "EMFILE")


def test_engine_id_can_be_used_again_after_its_engine_was_removed():
    harness = HostHarness()
    engine, old_pool = harness.connect_engine(), harness.socket_host.engine_pools["e1"]
    harness.send(harness.connect_client(), request_frame())
    harness.socket_host.on_discovery_event("2", json.dumps(endpoint_list_event(2)))
    harness.socket_host.on_discovery_event(
        "3", json.dumps(endpoint_list_event(3, {"started_ms": 5}, full=False))
    )
    new_pool = harness.socket_host.engine_pools["e1"]
    engine.close()
    harness.turn()
    assert (
        harness.socket_host.engine_pools["e1"] is new_pool
        and not old_pool.links
        and new_pool.engine.state == EngineState.READY
    )


def test_late_answer_to_one_attempt_is_not_taken_for_an_answer_to_the_next():
    harness = HostHarness(limits={"mostTries": 3, "streamsPerConn": 4})
    client, engine = harness.connect_client(), harness.connect_engine()
    send_request(harness, client, engine, patience="500")
    harness.pass_time(SECOND)
    # Without the abort the engine would keep running the statement.
    assert harness.receive(engine) == command("abort", FIRST_REQUEST_ID)
    assert [answer[2] for answer in harness.receive_answers(client)] == [b"\2"]
    harness.send(client, request_frame(2, trace=FIRST_REQUEST_ID))
    assert not harness.receive(engine)  # two attempts with one id must not share a connection
    second = harness.connect_engine()
    harness.send_engine_command(engine, FIRST_REQUEST_ID, "DONE", "chunks=1", "old\t\t\n")
    assert not harness.receive_answers(client) and b"fetch" in harness.receive(second)
    harness.send_engine_command(second, FIRST_REQUEST_ID, "DONE", "chunks=1", "new\t\t\n")
    assert harness.receive_answers(client) == [(4, 2, b"\1", b"new\t\t\n")]


def test_new_engine_at_a_known_address_does_not_reuse_old_connections():
    harness = HostHarness()
    engine = harness.connect_engine()
    harness.socket_host.on_discovery_event("2", json.dumps(endpoint_list_event(2, {"id": "e2"})))
    harness.turn()
    assert engine.recv(10) == b""  # the old connection is closed
    assert (
        harness.socket_host.engine_pools["e2"].engine.state == EngineState.READY
        and not harness.socket_host.engine_pools["e2"].links
    )


def test_requests_of_one_order_key_stay_in_order_and_waiting_reduces_time_to_deadline():
    harness = HostHarness()
    first_client, second_client, engine = (
        harness.connect_client(),
        harness.connect_client(),
        harness.connect_engine(),
    )
    key_fields = dict(route="load", entity="00ff", nonce="n1")
    sent = send_request(harness, first_client, engine, **key_fields)
    assert b"op=n1" in sent
    harness.pass_time(600)
    harness.send(second_client, request_frame(1, trace=OTHER_REQUEST_ID, **key_fields))
    assert not harness.receive(engine)
    assert [
        request.time_to_deadline
        for client_connection in harness.socket_host.client_connections
        for request in client_connection.open.values()
    ] == [30_000, 27_500]
    harness.send_engine_command(engine, FIRST_REQUEST_ID, "DONE", "chunks=1", "a\t\t\n")
    assert OTHER_REQUEST_ID.encode() in harness.receive(engine)


def test_time_a_request_may_have_waited_unread_reduces_its_time_to_deadline():
    harness = HostHarness()
    client = harness.connect_client()
    client.sendall(request_frame(patience="3000"))
    harness.event_loop.turn(0)
    harness.time += 300  # a long turn between the poll that reported the input and the read
    harness.event_loop.turn(0)
    assert [
        request.time_to_deadline
        for client_connection in harness.socket_host.client_connections
        for request in client_connection.open.values()
    ] == [29_700]


def test_cancellation_at_the_deadline_is_answered_and_an_early_one_is_not():
    harness = HostHarness()
    client = harness.connect_client()
    harness.send(client, request_frame(1) + request_frame(2))
    harness.send(client, bytes.fromhex("050000000801000000"))
    harness.pass_time(29_600)
    harness.send(client, bytes.fromhex("050000000802000000"))
    assert [answer[1] for answer in harness.receive_answers(client)] == [2]


def test_open_requests_are_answered_before_shutdown_ends():
    harness = HostHarness()
    client, engine = harness.connect_client(), harness.connect_engine()
    send_request(harness, client, engine, patience="5000")
    harness.socket_host.start_shutdown()
    assert harness.receive_answers(client)[0][:2] == (64, 0)
    harness.pass_time(SECOND // 2)
    late = harness.connect_client()
    harness.send(
        late,
        request_frame(1, trace=OTHER_REQUEST_ID, patience="5000")
        + bytes.fromhex("050000001002000000"),
    )
    assert [answer[:3] for answer in harness.receive_answers(late)] == [
        (64, 0, b""),
        (32, 2, b"\2"),
    ]
    for _ in range(4):
        harness.pass_time(SECOND // 2)
        harness.send_engine_command(engine, "alive-1", "FIT", "-", "")
    harness.send_engine_command(engine, OTHER_REQUEST_ID, "DONE", "chunks=1", "a\t\t\n")
    harness.pass_time(2 * SECOND)
    answers = harness.receive_answers(client) + harness.receive_answers(late)
    assert [answer[1:3] for answer in answers] == [
        (1, b"\2"),
        (1, b"\1"),
    ] and harness.event_loop.stopped


def test_unread_input_is_answered_before_shutdown_ends():
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


def test_many_short_connections_leave_no_objects_behind():
    """Guards against reference cycles, which stay in memory: garbage collection is disabled."""
    harness, object_counts = HostHarness(), []
    gc.collect()
    gc.disable()
    for n in range(1, 1201):
        engine = harness.connect_engine(f"e{n}")
        client = harness.connect_client()
        frame = request_frame(
            1,
            trace=request_id(n),
            route="load",
            nonce=f"n{n}",
            entity=f"{n:x}",
            patience="1000",
            body=b"select * from s_%d.t" % n,
        )
        harness.send(client, frame + (b"\xff" * 9 if n % 5 == 0 else b""))
        if n % 3:
            parts = ("DONE", "chunks=1", RESULT_ROW) if n % 2 else ("BROKE", "-", "")
            harness.send_engine_command(engine, request_id(n), *parts)
        event = endpoint_list_event(
            n + 1, {"id": f"e{n}", "state": "DELETED"}, {"id": f"e{n + 1}"}, full=False
        )
        assert not harness.socket_host.on_discovery_event("", json.dumps(event))
        client.close()
        engine.close()
        harness.pass_time(100, 100)
        if n % 400 == 0:
            harness.pass_time(4 * SECOND, 500)
            object_counts.append(len(gc.get_objects()))
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
    assert object_counts[2] - object_counts[1] < 200


def test_clients_that_do_not_read_cannot_exceed_the_result_memory():
    harness = HostHarness()
    harness.socket_host.result_memory.limit_bytes = 300_000
    client, engine = harness.connect_client(), harness.connect_engine()
    client_connection = next(iter(harness.socket_host.client_connections))
    client_connection.link.machine.outward.max_bytes = 5_000
    # The system takes little, so that answers wait although they may be passed on in parts.
    client_connection.link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    for n in range(1, 20):
        harness.send(client, request_frame(n, patience="4000"))
        harness.send_engine_command(
            engine, request_id(n), "DONE", "chunks=1", "\t\t" + "x" * 5_997 + "\n"
        )
    waiting_bytes = sum(frame.answer.body_bytes() for frame in client_connection.answers._waiting)
    assert (
        0 < waiting_bytes <= 300_000
        and harness.socket_host.result_memory.reserved_bytes == waiting_bytes
    )
    client.close()
    harness.turn()
    assert (
        harness.socket_host.result_memory.reserved_bytes == 0
        and not harness.socket_host.client_connections
    )


def test_idle_connection_gets_a_keepalive_before_the_engine_would_close_it():
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
def test_invalid_discovery_event_changes_nothing(event):
    harness = HostHarness()
    assert harness.socket_host.on_discovery_event("2", event)
    assert (
        harness.socket_host.last_event == 1
        and harness.socket_host.engine_pools["e1"].engine.state == EngineState.READY
    )
    # A repeated event is skipped.
    assert not harness.socket_host.on_discovery_event("1", json.dumps(endpoint_list_event(1)))


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
def test_invalid_configuration_is_reported_with_its_key(change, key, tmp_path):
    content = {
        "listen": "127.0.0.1:1",
        "feed": "127.0.0.1:2",
        "settings": PLATFORM_SETTINGS,
        **change,
    }
    (tmp_path / "c.json").write_text(json.dumps(content))
    with pytest.raises(configuration.ConfigurationError, match=key):
        from corkgauge.net.platform_frontend import PlatformFrontEnd

        PlatformFrontEnd(
            EventLoop(), configuration.read({"EDGE_CONFIG": str(tmp_path / "c.json")}), print
        )


@pytest.mark.parametrize("text", ["", "{", "[1]"])
def test_configuration_that_is_no_json_object_is_reported(text, tmp_path):
    (tmp_path / "c.json").write_text(text)
    for environment in (
        {},
        {"EDGE_CONFIG": str(tmp_path / "c.json")},
        {"EDGE_CONFIG": "/nowhere/at/all"},
    ):
        with pytest.raises(configuration.ConfigurationError, match="EDGE_CONFIG"):
            configuration.read(environment)


def test_command_with_a_missing_extra_names_the_extra_to_install(tmp_path):
    (tmp_path / "rich").mkdir()
    (tmp_path / "rich" / "__init__.py").write_text("raise ModuleNotFoundError('gone', name='rich')")
    result = subprocess.run(
        [sys.executable, "-m", "corkgauge", "demo", "--seconds", "1"],
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": str(tmp_path)},
    )
    assert (
        result.returncode == 2
        and result.stderr.count("\n") == 1
        and "corkgauge[operator]" in result.stderr
    )


def test_engine_is_dialled_on_first_use_and_again_when_attempts_share_a_connection():
    harness, dialled = (
        HostHarness(
            (endpoint_list_event(1, {}, {"id": "e2", "addr": "127.0.0.9:2"}),), instances=200
        ),
        [],
    )

    def dial(engine_pool, where):
        dialled.append(engine_pool.engine.name)
        engine_pool.is_dialling = False

    EnginePool.dial = dial
    harness.turn()
    # Hundreds of gateways that dial all engines in advance cost more than their requests.
    assert dialled == []
    client = harness.connect_client()
    harness.send(client, request_frame(1))
    assert len(dialled) == 1
    engine = harness.connect_engine(dialled[0])
    harness.turn()
    assert len(dialled) == 1 and b"fetch" in engine.recv(4096)
    for stream in (3, 5, 7):  # of four attempts, at least two share a connection
        harness.send(client, request_frame(stream))
    assert len(dialled) > 1


def test_few_gateways_open_a_connection_to_each_engine_in_advance():
    """Without this, under high load the first attempts wait for a dial and share one connection."""
    dialled = []

    def dial(engine_pool, where):
        dialled.append(engine_pool.engine.name)
        engine_pool.is_dialling = False

    harness = HostHarness(
        (endpoint_list_event(1, {}, {"id": "e2", "addr": "127.0.0.9:2"}),), instances=3
    )
    EnginePool.dial = dial
    for engine_pool in harness.socket_host.engine_pools.values():
        engine_pool.is_dialling = False
        engine_pool.fill()
    harness.turn()
    assert sorted(dialled) == ["e1", "e2"]


def test_requests_of_one_order_key_are_submitted_as_read_despite_unread_bytes(monkeypatch):
    harness = HostHarness()
    engine, first_client, second_client = (
        harness.connect_engine(),
        harness.connect_client(),
        harness.connect_client(),
    )
    unread_sockets = []
    monkeypatch.setattr(
        client_connection_module, "unread_byte_count", lambda sock: sock in unread_sockets
    )
    # The first connection always has unread bytes.
    unread_sockets += [
        client_connection.link.sock for client_connection in harness.socket_host.client_connections
    ][:1]
    harness.send(
        first_client, request_frame(7, route="load", entity="5", nonce="a" * 8, trace=request_id(1))
    )
    assert request_id(1).encode() not in harness.receive(engine)
    harness.send(
        second_client,
        request_frame(8, route="load", entity="5", nonce="b" * 8, trace=request_id(2)),
    )
    commands = harness.receive(engine)
    # The second request waits for the first.
    assert request_id(1).encode() in commands and request_id(2).encode() not in commands
    assert not harness.socket_host.unsubmitted_by_order_key
    harness.pass_time(SECOND // 10)
    assert harness.receive(engine).count(b"fetch") == 0


def test_cancellation_at_the_deadline_of_an_unsubmitted_request_is_answered_without_submission(
    monkeypatch,
):
    harness = HostHarness()
    engine, client = harness.connect_engine(), harness.connect_client()
    # The connection always has unread bytes.
    monkeypatch.setattr(client_connection_module, "unread_byte_count", lambda sock: 1)
    harness.send(client, request_frame(1, patience="40"))
    harness.send(client, bytes.fromhex("050000000801000000"))
    assert [answer[1:3] for answer in harness.receive_answers(client)] == [(1, b"\2")]
    harness.pass_time(SECOND)
    assert not harness.socket_host.gateway.queues and harness.receive(engine) == b""

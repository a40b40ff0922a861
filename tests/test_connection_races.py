"""Moments at which two events cross, over real connections on loopback, the bad order forced every time."""

import json
import os
import signal
import socket
import struct
import subprocess
import sys
import time

import pytest

from corkgauge.eventloop.connection import IN_TRANSIT_TICKS
from corkgauge.eventloop.loop import EventLoop
from corkgauge.net import discovery as feeds
from corkgauge.net.acceptor import Acceptor
from corkgauge.net.discovery import DiscoveryWatch
from corkgauge.net.engine_connection import EngineConnection
from corkgauge.net.engine_pool import EnginePool
from corkgauge.policy.records import AttemptOutcome
from corkgauge.testkit.fleet.parent_process import tied
from corkgauge.testkit.fleet.ports import free_port
from tests.harness import (
    PLATFORM_SETTINGS,
    SECOND,
    HostHarness,
    endpoint_list_event,
    request_frame,
    request_id,
)

ROW, T1 = "a\t\t\n", request_id(1)
REAL_DIAL = EnginePool.dial
TAKE_BACK = bytes.fromhex("050000000801000000")
READY_ASKED = bytes.fromhex("05000000100a000000")


def pair():
    """Both ends of a real connection on loopback."""
    with socket.socket() as door:
        door.bind(("127.0.0.1", 0))
        door.listen()
        mine = socket.create_connection(door.getsockname())
        its, _ = door.accept()
    mine.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return mine, its


def settled(sock):
    """Wait until the peer's machine has what was written or closed here; loopback needs no more than this."""
    end = time.monotonic() + 1
    while time.monotonic() < end:
        if EventLoop().poll_now(sock.fileno())[0]:
            return
    raise AssertionError("nothing came")


class Loopback(HostHarness):
    """Premises whose clients and engines are TCP connections; the clock is still handed in."""

    def connect_client(self):
        mine, its = pair()
        self.socket_host.add_client(its)
        self.turn()
        mine.setblocking(False)
        client_connection = [*self.socket_host.client_connections][-1]
        return mine, client_connection

    def connect_engine(self, tag="e1", turn=True):
        mine, its = pair()
        engine_pool = self.socket_host.engine_pools[tag]
        link = EngineConnection(engine_pool, its)
        engine_pool.links.append(link)
        self.event_loop.spawn(link.link.run)
        link.check_idle()
        if turn:
            self.turn()
            engine_pool.fill()
            self.turn()
        mine.setblocking(False)
        return mine, link

    def ask_and_settle(self, sock, data, client_connection):
        sock.sendall(data)
        settled(client_connection.link.sock)
        self.turn()

    def heard_soon(self, sock, least=1):
        """What comes within a moment; at least so much where so much is due."""
        found, end = b"", time.monotonic() + (1 if least else 0.02)
        while time.monotonic() < end and (not least or len(found) < least):
            self.turn(2)
            try:
                found += sock.recv(1 << 16)
            except BlockingIOError:
                time.sleep(0.001)
        return found


def closes(sock):
    sock.close()


def resets(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def takes_back(sock):
    sock.sendall(TAKE_BACK)


def says_much_and_goes(sock):
    """What lies before the end is more than one turn reads."""
    sock.setblocking(True)
    sock.sendall(b"".join(request_frame(n) for n in range(2, 30)) + request_frame(40)[:60])
    sock.close()


GOINGS = [closes, resets, takes_back, says_much_and_goes]


@pytest.mark.parametrize("goes", GOINGS)
def test_no_attempt_begins_once_its_client_has_gone_while_it_waited_for_a_link(goes):
    """The link comes up in the very turn after the client went, before its connection is read."""
    harness = Loopback()
    client, client_connection = harness.connect_client()
    harness.ask_and_settle(client, request_frame(), client_connection)
    assert len(harness.socket_host.engine_pools["e1"].waiting) == 1
    goes(client)
    settled(client_connection.link.sock)
    engine, link = harness.connect_engine(turn=False)
    harness.socket_host.engine_pools[
        "e1"
    ].fill()  # as a dial that comes up does it, before the poller is asked again
    assert link.link.bytes_queued == 0 and not harness.socket_host.in_flight_attempts
    assert harness.heard_soon(engine, 0) == b"" and harness.socket_host.counters["handed off"] == 0
    assert not harness.logged


@pytest.mark.parametrize("goes", GOINGS)
def test_no_further_attempt_begins_once_its_client_has_gone_while_the_first_was_out(goes):
    """The engine's refusal and the client's going lie unread in one turn; the refusal is read first."""
    harness = Loopback([endpoint_list_event(1, {}, {"id": "e2"})])
    client, client_connection = harness.connect_client()
    engines = {tag: harness.connect_engine(tag) for tag in ("e1", "e2")}
    harness.ask_and_settle(client, request_frame(), client_connection)
    (first,) = (tag for tag, (sock, _) in engines.items() if harness.heard_soon(sock, 0))
    (sock, link), (other, other_link) = engines[first], engines["e2" if first == "e1" else "e1"]
    sock.sendall(b"*4\r\n$16\r\n" + T1.encode() + b"\r\n$4\r\nWAIT\r\n$1\r\n-\r\n$0\r\n\r\n")
    settled(link.link.sock)
    goes(client)
    settled(client_connection.link.sock)
    assert link.link.is_peer_connected()  # the answer is told, as its task would have told it
    for _ in range(3):
        harness.event_loop._run_due_timers()  # what the turn left to do, with the client's end still unread by its task
    assert other_link.link.bytes_queued == 0 and harness.heard_soon(other, 0) == b""
    assert not harness.socket_host.in_flight_attempts and not harness.logged


@pytest.mark.parametrize("goes", GOINGS)
def test_no_attempt_begins_in_a_turn_that_lags(goes):
    """Request and end have both come before the loop reads either, 0.2 s late. (The gateway takes nothing while it is
    so far behind, so this holds without the last look as well.)
    """
    harness = Loopback()
    client, client_connection = harness.connect_client()
    engine, _ = harness.connect_engine()
    client.sendall(request_frame())
    goes(client)
    settled(client_connection.link.sock)
    time.sleep(0.01)
    harness.time += 2_000
    harness.turn()
    harness.pass_time(2_000)
    assert harness.heard_soon(engine, 0) == b"" and harness.socket_host.counters["handed off"] == 0


def test_an_attempt_that_an_engine_does_not_read_is_never_kept_back_in_a_ring():
    """Danger: put into a full socket it would begin when the engine reads again, whoever had gone by then."""
    harness = Loopback()
    client, client_connection = harness.connect_client()
    engine, link = harness.connect_engine()
    engine.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    link.link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    try:
        while True:  # the engine reads nothing, and its socket is full to the last byte
            link.link.sock.send(b"*1\r\n$1\r\nx\r\n" * 400)
    except BlockingIOError:
        pass
    try:
        while True:
            link.link.sock.send(b"x")
    except BlockingIOError:
        pass
    harness.ask_and_settle(client, request_frame(), client_connection)
    (in_flight_attempt,) = harness.socket_host.in_flight_attempts.values()
    assert (
        in_flight_attempt.link is None
        and len(link.link.machine.outward) == 0
        and link.link.bytes_queued == 0
    )
    client.close()
    settled(client_connection.link.sock)
    harness.turn()
    assert not harness.socket_host.in_flight_attempts
    assert T1.encode() not in harness.heard_soon(engine, 0)


def test_a_client_that_goes_while_its_input_is_paused_is_seen_to_go():
    harness = Loopback()
    client, client_connection = harness.connect_client()
    engine, _ = harness.connect_engine()
    harness.ask_and_settle(client, request_frame(), client_connection)
    harness.socket_host.client_ring_memory.limit_bytes = (
        harness.socket_host.client_ring_memory.reserved_bytes
    )  # no memory: what comes now pauses the input
    client.sendall((200_000).to_bytes(4, "little") + b"\2" + b"x" * 9_000)
    settled(client_connection.link.sock)
    harness.turn()
    assert not client_connection.link.machine.inward.free_bytes and client_connection.open
    client.close()
    time.sleep(0.01)
    harness.turn()
    assert not client_connection.open and not harness.socket_host.client_connections


def test_an_engine_that_has_closed_its_link_gets_nothing_written_there():
    """Danger: a request that an unsafe class sent there may have run or not, nobody knows."""
    harness = Loopback([endpoint_list_event(1, {})])
    client, client_connection = harness.connect_client()
    engine, link = harness.connect_engine()
    engine.close()
    settled(link.link.sock)
    client.sendall(request_frame(route="once"))
    settled(client_connection.link.sock)
    client_connection.link.is_peer_connected()  # the request is read before the engine's end is
    harness.event_loop._run_due_timers()
    assert link.link.bytes_queued == 0
    harness.turn()
    second, _ = harness.connect_engine()
    assert T1.encode() in harness.heard_soon(second, 60)


class Dials:
    """Dials that come up, or fail, only when they are let; `ends` holds where each led, and what it was let do."""

    def __init__(self, harness, monkeypatch):
        self.asked, self.let, self.ends = [], [], []
        EnginePool.dial = REAL_DIAL
        harness.socket_host.dials_in_progress = 0
        for engine_pool in harness.socket_host.engine_pools.values():
            engine_pool.dialling = False
        monkeypatch.setattr("corkgauge.net.engine_pool.dial", self.dial)

    def dial(self, event_loop, where, span):
        number = len(self.asked)
        self.asked.append(where)
        while len(self.let) <= number:
            event_loop.sleep(10)
        if self.let[number]:
            return None, self.let[number]
        mine, its = pair()
        mine.setblocking(False)
        self.ends.append(mine)
        return its, ""


def test_a_dial_for_an_old_address_does_not_leave_what_waits_for_the_new_one(monkeypatch):
    """The old address refuses only after the engine has moved; nothing else would fill again."""
    harness = Loopback()
    dials, (client, client_connection) = Dials(harness, monkeypatch), harness.connect_client()
    harness.ask_and_settle(client, request_frame(), client_connection)
    assert dials.asked == [("127.0.0.9", 1)]
    assert not harness.socket_host.on_discovery_event(
        "2", json.dumps(endpoint_list_event(2, {"addr": "127.0.0.9:2"}, full=False))
    )
    dials.let += ["ECONNREFUSED", ""]
    harness.pass_time(60, 10)
    assert dials.asked == [("127.0.0.9", 1), ("127.0.0.9", 2)]
    assert T1.encode() in harness.heard_soon(dials.ends[0], 60) and not harness.logged


@pytest.mark.parametrize("up", [True, False])
def test_a_dial_that_began_before_its_engine_started_anew_tells_nothing_of_the_new_one(
    up, monkeypatch
):
    harness = Loopback([endpoint_list_event(1, {"started_ms": 1})])
    dials, (client, client_connection) = Dials(harness, monkeypatch), harness.connect_client()
    harness.ask_and_settle(client, request_frame(), client_connection)
    engine_pool, (in_flight_attempt,) = (
        harness.socket_host.engine_pools["e1"],
        harness.socket_host.in_flight_attempts.values(),
    )
    assert len(dials.asked) == 1
    assert not harness.socket_host.on_discovery_event(
        "2", json.dumps(endpoint_list_event(2, {"started_ms": 100_000}, full=False))
    )
    dials.let.append("" if up else "ECONNREFUSED")
    harness.pass_time(100, 20)
    assert not engine_pool.links and not any("rest e1" in line for line in harness.logged)
    if up:  # the connection that reached the process before is closed with nothing on it
        assert harness.heard_soon(dials.ends[0], 0) == b""
    assert (
        in_flight_attempt.attempt.outcome in (AttemptOutcome.ABANDONED, -1)
        and in_flight_attempt.link is None
    )
    dials.let.append("")
    harness.pass_time(100, 20)
    assert (
        in_flight_attempt.attempt.outcome == AttemptOutcome.ABANDONED
    )  # what was decided on the one before is decided again


def test_want_of_descriptors_is_no_fault_of_the_engines_and_ends_when_there_are_some(monkeypatch):
    harness = Loopback()
    dials, (client, client_connection) = Dials(harness, monkeypatch), harness.connect_client()
    dials.let += ["EMFILE"] * 5
    harness.ask_and_settle(client, request_frame(patience="5000"), client_connection)
    harness.pass_time(1_000, 50)
    assert len(dials.asked) == 6 and not any("rest e1" in line for line in harness.logged)
    dials.let.append("")
    harness.pass_time(100, 20)
    assert b"fetch" in harness.heard_soon(dials.ends[0], 60)


def test_links_to_many_engines_leave_descriptors_for_the_feed_and_the_clients():
    """Danger: two to each of many engines are more than the share of the descriptors that is theirs."""
    engines = [{"id": f"e{n}", "addr": f"127.0.0.9:{n + 1}"} for n in range(60)]
    harness = Loopback([endpoint_list_event(1, *engines)], sockets=96)
    harness.socket_host.dials_in_progress = 0
    socket_host, kept = harness.socket_host, []
    for n in range(40):
        for engine_pool in socket_host.engine_pools.values():
            engine_pool.dialling = True  # but for what is joined by hand here nobody dials
        if not socket_host.has_descriptor_left(True):
            break
        kept.append(harness.connect_engine(f"e{n}"))
    assert (
        sum(len(engine_pool.links) for engine_pool in socket_host.engine_pools.values()) <= 96 // 3
    )
    harness.turn()  # the one that was idle longest has given way
    assert socket_host.counters["links gave way"] == 1 and socket_host.has_descriptor_left(True)


def test_bytes_that_come_before_an_idle_connection_is_closed_keep_it():
    harness = Loopback()
    (client, client_connection), (engine, _) = harness.connect_client(), harness.connect_engine()
    harness.ask_and_settle(client, READY_ASKED, client_connection)
    harness.heard_soon(client, 7)
    harness.pass_time(700)
    client.sendall(request_frame())
    settled(client_connection.link.sock)
    assert not client_connection.link.close_if_input_read("room for others")
    harness.turn()
    assert (
        T1.encode() in harness.heard_soon(engine, 60)
        and client_connection in harness.socket_host.client_connections
    )


def test_a_close_over_what_crosses_it_takes_no_answer_along():
    """A request comes after our end and before our close; a reset would take the unread answer along."""
    harness = Loopback()
    client, client_connection = harness.connect_client()
    harness.ask_and_settle(client, READY_ASKED, client_connection)
    harness.pass_time(700)
    assert client_connection.link.close_if_input_read("room for others")
    client.sendall(request_frame())  # it has not read our end
    settled(client_connection.link.sock)
    harness.pass_time(IN_TRANSIT_TICKS + 200)
    assert (
        client_connection not in harness.socket_host.client_connections
        and harness.socket_host.counters["handed off"] == 0
    )
    client.setblocking(True)
    client.settimeout(1)
    assert client.recv(100)[4] == 32 and client.recv(100) == b""  # the answer, then the end
    assert client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0  # and no reset behind it


def ending(harness):
    """A program that is told to end, with a door of its own; the clock is let run to its last look."""
    door = harness.socket_host.acceptor = Acceptor(
        harness.event_loop, harness.socket_host, ("127.0.0.1", 0)
    )
    harness.event_loop.spawn(door.run)
    harness.turn()
    harness.socket_host.start_shutdown()
    harness.turn()
    return door


def test_what_waits_at_the_door_when_the_program_ends_is_let_in_and_answered():
    harness = Loopback()
    engine, _ = harness.connect_engine()
    door = ending(harness)
    door.is_open = False  # the loop has had no turn to let them in
    harness.event_loop.wake(door.sock.fileno())
    harness.turn()
    client = socket.create_connection(door.sock.getsockname())
    client.sendall(request_frame(patience="4000"))
    door.is_open = True
    harness.pass_time(9_100, 100)
    assert T1.encode() in harness.heard_soon(engine, 60) and not harness.event_loop.stopped
    harness.send_engine_command(engine, T1, "DONE", "chunks=1", ROW)
    client.settimeout(1)
    found = b""
    while len(found) < 16:
        harness.turn()
        found += client.recv(100)
    assert ROW.encode() in found
    harness.pass_time(2_000)
    assert harness.event_loop.stopped and client.recv(100) == b""


def test_half_a_frame_that_is_on_its_way_when_the_program_ends_is_waited_for():
    harness = Loopback()
    (client, client_connection), (engine, _) = harness.connect_client(), harness.connect_engine()
    ending(harness)
    harness.pass_time(8_900, 100)
    data = request_frame()
    harness.ask_and_settle(client, data[:20], client_connection)
    harness.pass_time(300, 100)  # the last look comes between the two halves
    assert not harness.event_loop.stopped
    client.sendall(data[20:])
    assert T1.encode() in harness.heard_soon(engine, 60)


def test_clients_that_rest_until_the_end_are_shown_it_and_what_crosses_it_is_not_sent_on():
    harness = Loopback()
    (client, client_connection), (engine, _) = harness.connect_client(), harness.connect_engine()
    harness.ask_and_settle(client, READY_ASKED, client_connection)
    ending(harness)
    harness.pass_time(9_200, 100)
    assert harness.socket_host.farewell_started_at < 2**60 and not harness.event_loop.stopped
    client.sendall(request_frame())  # crosses the end
    settled(client_connection.link.sock)
    harness.pass_time(1_000, 50)
    assert harness.event_loop.stopped and harness.socket_host.counters["handed off"] == 0
    assert harness.heard_soon(engine, 0) == b""
    client.settimeout(1)
    client.setblocking(True)
    said = client.recv(100)
    assert said[4] == 32 and said[-5:] == bytes.fromhex("4000000000") and client.recv(100) == b""
    assert client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0


def test_told_to_end_twice_it_leaves_once():
    harness = Loopback()
    client, client_connection = harness.connect_client()
    ending(harness)
    end = harness.socket_host.shutdown_deadline
    harness.pass_time(500)
    harness.socket_host.start_shutdown()
    assert harness.socket_host.shutdown_deadline == end
    assert harness.heard_soon(client, 0).count(bytes.fromhex("050000004000000000")) == 1


class Quiet:
    """A feed that takes the connection, and what it then does or leaves."""

    def __init__(self, harness, monkeypatch):
        self.harness, self.ends = harness, []
        monkeypatch.setattr(feeds, "dial", self.dial)
        self.feed = DiscoveryWatch(harness.socket_host, ("127.0.0.1", 1))
        harness.event_loop.spawn(self.feed.run)
        harness.turn()

    def dial(self, event_loop, where, span):
        mine, its = pair()
        mine.setblocking(False)
        self.ends.append(mine)
        return its, ""


@pytest.mark.parametrize(
    "first, drip",
    [
        (b"", b""),
        (b"HTTP/1.1 200 OK\r\n", b""),
        (b"", b"x"),
        (b"HTTP/1.1 200 OK\r\n\r\n", b""),
        (b"HTTP/1.1 200 OK\r\n\r\n: hi\n\nid: 2\ndata: {", b"x"),
        (b"HTTP/1.1 200 OK\r\n", b"x"),
        (b"HTTP/1.1 200 OK\r\n\r\n: hi\n\nid: 2", b""),
    ],
)
def test_a_feed_that_goes_quiet_in_any_way_is_left_before_what_it_keeps_counts_as_told(
    first, drip, monkeypatch
):
    harness = Loopback()
    quiet = Quiet(harness, monkeypatch)
    quiet.ends[0].sendall(first)
    for _ in range(50):  # 5 s
        if drip and len(quiet.ends) == 1:
            quiet.ends[0].sendall(drip)
            time.sleep(0.0005)
        harness.pass_time(1_000, 250)
    assert len(quiet.ends) >= 2
    asked = harness.heard_soon(quiet.ends[1])
    assert b"Last-Event-ID: 1\r\n" in asked


def test_a_feed_that_comments_each_second_is_kept(monkeypatch):
    harness = Loopback()
    quiet = Quiet(harness, monkeypatch)
    quiet.ends[0].sendall(b"HTTP/1.1 200 OK\r\n\r\n")
    for _ in range(12):
        quiet.ends[0].sendall(b": hi\n\n")
        time.sleep(0.001)
        harness.pass_time(SECOND, 500)
    assert len(quiet.ends) == 1


@pytest.mark.parametrize("when", ["loading", "reading"])
def test_a_signal_to_read_again_that_comes_while_the_program_starts_does_not_end_it(when, tmp_path):
    said = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "feed": "127.0.0.1:2",
        "settings": PLATFORM_SETTINGS,
    }
    port = free_port()
    (tmp_path / "c.json").write_text(json.dumps(said))
    code = f"""
import os, signal, sys
def strike(*_):
    os.kill(os.getpid(), signal.SIGHUP)
import corkgauge.commands.serve as serve
if {when!r} == "loading":
    import builtins
    real = builtins.__import__
    def slow(name, *rest):
        if name == "corkgauge.eventloop.loop" or name == "corkgauge.daemon.process":
            strike()
        return real(name, *rest)
    builtins.__import__ = slow
else:
    from corkgauge.config import platform as configuration
    real_read = configuration.read
    def read(environment):
        strike()
        return real_read(environment)
    configuration.read = read
from corkgauge.commands import main
sys.argv = ["corkgauge", "serve"]
sys.exit(main())
"""
    started = subprocess.Popen(
        [sys.executable, "-c", code],
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=tied(os.getpid()),
        env={
            **os.environ,
            "EDGE_CONFIG": str(tmp_path / "c.json"),
            "EDGE_LISTEN": f"127.0.0.1:{port}",
        },
    )
    try:
        assert "serving as n" in next(
            line for line in started.stderr if "serving" in line or "Trace" in line
        )
    finally:
        started.send_signal(signal.SIGTERM)
        assert started.wait(10) == 0
        started.stderr.close()

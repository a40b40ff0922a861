"""Tests of races between two events on TCP connections over loopback.

Each test forces the order of events that would cause a failure.
"""

import contextlib
import errno
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
from corkgauge.net import discovery as discovery_module
from corkgauge.net.acceptor import Acceptor
from corkgauge.net.discovery import DiscoveryWatch
from corkgauge.net.engine_connection import EngineConnection
from corkgauge.net.engine_pool import EnginePool
from corkgauge.policy.records import AttemptOutcome
from corkgauge.testkit.fleet.parent_process import kill_with_parent
from corkgauge.testkit.fleet.ports import free_port
from tests.harness import (
    PLATFORM_SETTINGS,
    SECOND,
    HostHarness,
    endpoint_list_event,
    request_frame,
    request_id,
)

RESULT_ROW, FIRST_REQUEST_ID = "a\t\t\n", request_id(1)
REAL_DIAL = EnginePool.dial
CANCEL_FRAME = bytes.fromhex("050000000801000000")
READY_CHECK_FRAME = bytes.fromhex("05000000100a000000")


def connected_pair():
    """Return both ends of a TCP connection over loopback."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        peer_socket = socket.create_connection(listener.getsockname())
        host_socket, _ = listener.accept()
    peer_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return peer_socket, host_socket


def wait_for_input(sock):
    """Wait for input or end of stream; loopback delivers at once all that the peer has sent."""
    give_up_at = time.monotonic() + 1
    while time.monotonic() < give_up_at:
        if EventLoop().poll_now(sock.fileno())[0]:
            return
    raise AssertionError("socket received neither input nor end of stream within 1 s")


class LoopbackHarness(HostHarness):
    """Runs a front end with TCP connections for clients and engines, on a simulated clock."""

    def connect_client(self):
        peer_socket, host_socket = connected_pair()
        self.socket_host.add_client(host_socket)
        self.turn()
        peer_socket.setblocking(False)
        client_connection = [*self.socket_host.client_connections][-1]
        return peer_socket, client_connection

    def connect_engine(self, tag="e1", turn=True):
        peer_socket, host_socket = connected_pair()
        engine_pool = self.socket_host.engine_pools[tag]
        link = EngineConnection(engine_pool, host_socket)
        engine_pool.links.append(link)
        self.event_loop.spawn(link.link.run)
        link.check_idle()
        if turn:
            self.turn()
            engine_pool.fill()
            self.turn()
        peer_socket.setblocking(False)
        return peer_socket, link

    def send_and_wait(self, sock, data, client_connection):
        sock.sendall(data)
        wait_for_input(client_connection.link.sock)
        self.turn()

    def receive_soon(self, sock, min_bytes=1):
        """Return the bytes received within 1 s, or earlier once `min_bytes` have arrived.

        With `min_bytes` of 0, return what arrives within 0.02 s.
        """
        received, give_up_at = b"", time.monotonic() + (1 if min_bytes else 0.02)
        while time.monotonic() < give_up_at and (not min_bytes or len(received) < min_bytes):
            self.turn(2)
            try:
                received += sock.recv(1 << 16)
            except BlockingIOError:
                time.sleep(0.001)
        return received


def close_connection(sock):
    sock.close()


def reset_connection(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def cancel_request(sock):
    sock.sendall(CANCEL_FRAME)


def send_many_requests_and_close(sock):
    """Send more input before the end of stream than one turn of the event loop reads."""
    sock.setblocking(True)
    sock.sendall(b"".join(request_frame(n) for n in range(2, 30)) + request_frame(40)[:60])
    sock.close()


CLIENT_DEPARTURES = [
    close_connection,
    reset_connection,
    cancel_request,
    send_many_requests_and_close,
]


@pytest.mark.parametrize("leave", CLIENT_DEPARTURES)
def test_no_attempt_is_sent_after_its_client_left_while_it_waited_for_a_connection(leave):
    """The connection to the engine opens before the client's end of stream is read."""
    harness = LoopbackHarness()
    client, client_connection = harness.connect_client()
    harness.send_and_wait(client, request_frame(), client_connection)
    assert len(harness.socket_host.engine_pools["e1"].waiting) == 1
    leave(client)
    wait_for_input(client_connection.link.sock)
    engine, link = harness.connect_engine(turn=False)
    harness.socket_host.engine_pools["e1"].fill()  # as after a completed dial, before the next poll
    assert link.link.bytes_queued == 0 and not harness.socket_host.in_flight_attempts
    assert (
        harness.receive_soon(engine, 0) == b"" and harness.socket_host.counters["handed off"] == 0
    )
    assert not harness.logged


@pytest.mark.parametrize("leave", CLIENT_DEPARTURES)
def test_no_retry_is_sent_after_the_client_left_during_the_first_attempt(leave):
    """Both the engine's refusal and the client's end are unread; the refusal is read first."""
    harness = LoopbackHarness([endpoint_list_event(1, {}, {"id": "e2"})])
    client, client_connection = harness.connect_client()
    engines = {tag: harness.connect_engine(tag) for tag in ("e1", "e2")}
    harness.send_and_wait(client, request_frame(), client_connection)
    (first_tag,) = (tag for tag, (sock, _) in engines.items() if harness.receive_soon(sock, 0))
    (sock, link), (other, other_link) = (
        engines[first_tag],
        engines["e2" if first_tag == "e1" else "e1"],
    )
    sock.sendall(
        b"*4\r\n$16\r\n" + FIRST_REQUEST_ID.encode() + b"\r\n$4\r\nWAIT\r\n$1\r\n-\r\n$0\r\n\r\n"
    )
    wait_for_input(link.link.sock)
    leave(client)
    wait_for_input(client_connection.link.sock)
    assert link.link.is_peer_connected()  # reads the answer, as the task of the connection does
    for _ in range(3):
        # Runs the work that the turn left, before the client's task reads its end of stream.
        harness.event_loop._run_due_timers()
    assert other_link.link.bytes_queued == 0 and harness.receive_soon(other, 0) == b""
    assert not harness.socket_host.in_flight_attempts and not harness.logged


@pytest.mark.parametrize("leave", CLIENT_DEPARTURES)
def test_no_attempt_is_sent_in_a_late_turn_of_the_event_loop(leave):
    """The request and the client's end both arrive before the loop reads either, 0.2 s late.

    The gateway accepts nothing while the loop lags that far, so the test passes also without the
    check of the client's socket before an attempt is sent.
    """
    harness = LoopbackHarness()
    client, client_connection = harness.connect_client()
    engine, _ = harness.connect_engine()
    client.sendall(request_frame())
    leave(client)
    wait_for_input(client_connection.link.sock)
    time.sleep(0.01)
    harness.time += 2_000
    harness.turn()
    harness.pass_time(2_000)
    assert (
        harness.receive_soon(engine, 0) == b"" and harness.socket_host.counters["handed off"] == 0
    )


def test_attempt_is_never_buffered_for_an_engine_that_does_not_read():
    """An attempt in a full send buffer would start when the engine reads, after its client left."""
    harness = LoopbackHarness()
    client, client_connection = harness.connect_client()
    engine, link = harness.connect_engine()
    engine.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    link.link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    try:
        while True:  # fill the send buffer to the last byte; the engine reads nothing
            link.link.sock.send(b"*1\r\n$1\r\nx\r\n" * 400)
    except BlockingIOError:
        pass
    try:
        while True:
            link.link.sock.send(b"x")
    except BlockingIOError:
        pass
    harness.send_and_wait(client, request_frame(), client_connection)
    (in_flight_attempt,) = harness.socket_host.in_flight_attempts.values()
    assert (
        in_flight_attempt.link is None
        and len(link.link.machine.outward) == 0
        and link.link.bytes_queued == 0
    )
    client.close()
    wait_for_input(client_connection.link.sock)
    harness.turn()
    assert not harness.socket_host.in_flight_attempts
    assert FIRST_REQUEST_ID.encode() not in harness.receive_soon(engine, 0)


def test_disconnect_of_a_client_with_paused_input_is_noticed():
    harness = LoopbackHarness()
    client, client_connection = harness.connect_client()
    _engine, _ = harness.connect_engine()
    harness.send_and_wait(client, request_frame(), client_connection)
    # No memory is left, so further input pauses reading.
    harness.socket_host.client_input_memory.limit_bytes = (
        harness.socket_host.client_input_memory.reserved_bytes
    )
    client.sendall((200_000).to_bytes(4, "little") + b"\2" + b"x" * 9_000)
    wait_for_input(client_connection.link.sock)
    harness.turn()
    assert not client_connection.link.machine.inward.free_bytes and client_connection.open
    client.close()
    time.sleep(0.01)
    harness.turn()
    assert not client_connection.open and not harness.socket_host.client_connections


def test_nothing_is_written_to_a_connection_that_the_engine_has_closed():
    """A non-idempotent request written there could not be retried: it may have run or not."""
    harness = LoopbackHarness([endpoint_list_event(1, {})])
    client, client_connection = harness.connect_client()
    engine, link = harness.connect_engine()
    engine.close()
    wait_for_input(link.link.sock)
    client.sendall(request_frame(route="once"))
    wait_for_input(client_connection.link.sock)
    # Reads the request before the end of stream of the engine is read.
    client_connection.link.is_peer_connected()
    harness.event_loop._run_due_timers()
    assert link.link.bytes_queued == 0
    harness.turn()
    second, _ = harness.connect_engine()
    assert FIRST_REQUEST_ID.encode() in harness.receive_soon(second, 60)


class ControlledDials:
    """Completes dial number n when the test adds `errors[n]`: an error name, or "" for success.

    `addresses` holds the address of each dial, `peer_sockets` the far ends of those that succeeded.
    """

    def __init__(self, harness, monkeypatch):
        self.addresses, self.errors, self.peer_sockets = [], [], []
        EnginePool.dial = REAL_DIAL
        harness.socket_host.dials_in_progress = 0
        for engine_pool in harness.socket_host.engine_pools.values():
            engine_pool.is_dialling = False
        monkeypatch.setattr("corkgauge.net.engine_pool.dial", self.dial)

    def dial(self, event_loop, address, timeout):
        number = len(self.addresses)
        self.addresses.append(address)
        while len(self.errors) <= number:
            event_loop.sleep(10)
        if self.errors[number]:
            return None, self.errors[number]
        peer_socket, host_socket = connected_pair()
        peer_socket.setblocking(False)
        self.peer_sockets.append(peer_socket)
        return host_socket, ""


def test_failed_dial_to_an_old_address_does_not_block_attempts_waiting_for_the_new_one(monkeypatch):
    """The old address refuses after the engine moved; no other event would send the attempt."""
    harness = LoopbackHarness()
    dials, (client, client_connection) = (
        ControlledDials(harness, monkeypatch),
        harness.connect_client(),
    )
    harness.send_and_wait(client, request_frame(), client_connection)
    assert dials.addresses == [("127.0.0.9", 1)]
    assert not harness.socket_host.on_discovery_event(
        "2", json.dumps(endpoint_list_event(2, {"addr": "127.0.0.9:2"}, full=False))
    )
    dials.errors += ["ECONNREFUSED", ""]
    harness.pass_time(60, 10)
    assert dials.addresses == [("127.0.0.9", 1), ("127.0.0.9", 2)]
    assert (
        FIRST_REQUEST_ID.encode() in harness.receive_soon(dials.peer_sockets[0], 60)
        and not harness.logged
    )


@pytest.mark.parametrize("dial_succeeds", [True, False])
def test_dial_begun_before_an_engine_restart_records_nothing_about_the_new_incarnation(
    dial_succeeds, monkeypatch
):
    harness = LoopbackHarness([endpoint_list_event(1, {"started_ms": 1})])
    dials, (client, client_connection) = (
        ControlledDials(harness, monkeypatch),
        harness.connect_client(),
    )
    harness.send_and_wait(client, request_frame(), client_connection)
    engine_pool, (in_flight_attempt,) = (
        harness.socket_host.engine_pools["e1"],
        harness.socket_host.in_flight_attempts.values(),
    )
    assert len(dials.addresses) == 1
    assert not harness.socket_host.on_discovery_event(
        "2", json.dumps(endpoint_list_event(2, {"started_ms": 100_000}, full=False))
    )
    dials.errors.append("" if dial_succeeds else "ECONNREFUSED")
    harness.pass_time(100, 20)
    assert not engine_pool.links and not any("rest e1" in line for line in harness.logged)
    if dial_succeeds:  # the connection to the previous process is closed with nothing sent on it
        assert harness.receive_soon(dials.peer_sockets[0], 0) == b""
    assert (
        in_flight_attempt.attempt.outcome in (AttemptOutcome.ABANDONED, -1)
        and in_flight_attempt.link is None
    )
    dials.errors.append("")
    harness.pass_time(100, 20)
    # A decision made for the previous incarnation must be made again.
    assert in_flight_attempt.attempt.outcome == AttemptOutcome.ABANDONED


def test_lack_of_descriptors_is_no_engine_fault_and_dials_resume_when_some_are_free(monkeypatch):
    harness = LoopbackHarness()
    dials, (client, client_connection) = (
        ControlledDials(harness, monkeypatch),
        harness.connect_client(),
    )
    dials.errors += ["EMFILE"] * 5
    harness.send_and_wait(client, request_frame(patience="5000"), client_connection)
    harness.pass_time(1_000, 50)
    assert len(dials.addresses) == 6 and not any("rest e1" in line for line in harness.logged)
    dials.errors.append("")
    harness.pass_time(100, 20)
    assert b"fetch" in harness.receive_soon(dials.peer_sockets[0], 60)


def test_connections_to_many_engines_leave_descriptors_for_discovery_and_clients():
    """Two connections to each of many engines exceed the share of descriptors for engines."""
    engines = [{"id": f"e{n}", "addr": f"127.0.0.9:{n + 1}"} for n in range(60)]
    harness = LoopbackHarness([endpoint_list_event(1, *engines)], sockets=96)
    harness.socket_host.dials_in_progress = 0
    socket_host, peer_sockets = harness.socket_host, []
    for n in range(40):
        for engine_pool in socket_host.engine_pools.values():
            engine_pool.is_dialling = True  # no dials but the connections added below
        if not socket_host.make_room_for_link(True):
            break
        peer_sockets.append(harness.connect_engine(f"e{n}"))
    assert (
        sum(len(engine_pool.links) for engine_pool in socket_host.engine_pools.values()) <= 96 // 3
    )
    harness.turn()  # closes the connection that was idle longest
    assert socket_host.counters["links gave way"] == 1 and socket_host.make_room_for_link(True)


def test_input_before_the_close_of_an_idle_connection_keeps_it_open():
    harness = LoopbackHarness()
    (client, client_connection), (engine, _) = harness.connect_client(), harness.connect_engine()
    harness.send_and_wait(client, READY_CHECK_FRAME, client_connection)
    harness.receive_soon(client, 7)
    harness.pass_time(700)
    client.sendall(request_frame())
    wait_for_input(client_connection.link.sock)
    assert not client_connection.link.close_if_input_read("room for others")
    harness.turn()
    assert (
        FIRST_REQUEST_ID.encode() in harness.receive_soon(engine, 60)
        and client_connection in harness.socket_host.client_connections
    )


def test_close_with_a_request_in_transit_loses_no_answer():
    """A request arrives after end of stream was sent and before the close.

    A reset would discard the answer that the client has not read.
    """
    harness = LoopbackHarness()
    client, client_connection = harness.connect_client()
    harness.send_and_wait(client, READY_CHECK_FRAME, client_connection)
    harness.pass_time(700)
    assert client_connection.link.close_if_input_read("room for others")
    client.sendall(request_frame())  # the client has not read the end of stream
    wait_for_input(client_connection.link.sock)
    harness.pass_time(IN_TRANSIT_TICKS + 200)
    assert (
        client_connection not in harness.socket_host.client_connections
        and harness.socket_host.counters["handed off"] == 0
    )
    client.setblocking(True)
    client.settimeout(1)
    assert client.recv(100)[4] == 32 and client.recv(100) == b""  # the answer, then end of stream
    assert client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0  # no reset follows


def begin_shutdown(harness):
    """Add an acceptor and start the shutdown; return the acceptor.

    The caller advances the clock up to the last check for input.
    """
    acceptor = harness.socket_host.acceptor = Acceptor(
        harness.event_loop, harness.socket_host, ("127.0.0.1", 0)
    )
    harness.event_loop.spawn(acceptor.run)
    harness.turn()
    harness.socket_host.start_shutdown()
    harness.turn()
    return acceptor


class FailingListener:
    """A listening socket whose next accept fails with the error of a connection that is gone."""

    def __init__(self, sock):
        self._sock, self._has_failed = sock, False

    def accept(self):
        if not self._has_failed:
            self._has_failed = True
            raise ConnectionAbortedError(errno.ECONNABORTED, "connection aborted")
        return self._sock.accept()

    def __getattr__(self, name):
        return getattr(self._sock, name)


def test_failed_connection_in_the_accept_queue_does_not_reset_those_behind_it_at_shutdown():
    """Guards against losing requests of clients that are queued behind one that has gone."""
    harness = LoopbackHarness()
    acceptor = Acceptor(harness.event_loop, harness.socket_host, ("127.0.0.1", 0))
    acceptor.sock = FailingListener(acceptor.sock)
    clients = [socket.create_connection(acceptor.sock.getsockname()) for _ in range(2)]
    assert acceptor.shut() == len(clients)


def test_connection_in_the_accept_queue_at_shutdown_is_accepted_and_answered():
    harness = LoopbackHarness()
    engine, _ = harness.connect_engine()
    acceptor = begin_shutdown(harness)
    acceptor.is_open = False  # as if the loop had no turn to accept connections
    harness.event_loop.wake(acceptor.sock.fileno())
    harness.turn()
    client = socket.create_connection(acceptor.sock.getsockname())
    client.sendall(request_frame(patience="4000"))
    acceptor.is_open = True
    harness.pass_time(9_100, 100)
    assert (
        FIRST_REQUEST_ID.encode() in harness.receive_soon(engine, 60)
        and not harness.event_loop.stopped
    )
    harness.send_engine_command(engine, FIRST_REQUEST_ID, "DONE", "chunks=1", RESULT_ROW)
    client.settimeout(1)
    received = b""
    while len(received) < 16:
        harness.turn()
        received += client.recv(100)
    assert RESULT_ROW.encode() in received
    harness.pass_time(2_000)
    assert harness.event_loop.stopped and client.recv(100) == b""


def test_shutdown_waits_for_the_rest_of_a_partial_frame():
    harness = LoopbackHarness()
    (client, client_connection), (engine, _) = harness.connect_client(), harness.connect_engine()
    begin_shutdown(harness)
    harness.pass_time(8_900, 100)
    data = request_frame()
    harness.send_and_wait(client, data[:20], client_connection)
    harness.pass_time(300, 100)  # the last check for input runs between the two halves
    assert not harness.event_loop.stopped
    client.sendall(data[20:])
    assert FIRST_REQUEST_ID.encode() in harness.receive_soon(engine, 60)


def test_idle_clients_get_an_orderly_close_at_shutdown_and_late_requests_are_not_sent():
    harness = LoopbackHarness()
    (client, client_connection), (engine, _) = harness.connect_client(), harness.connect_engine()
    harness.send_and_wait(client, READY_CHECK_FRAME, client_connection)
    begin_shutdown(harness)
    harness.pass_time(9_200, 100)
    assert harness.socket_host.write_shutdown_at < 2**60 and not harness.event_loop.stopped
    client.sendall(request_frame())  # crosses the end of stream
    wait_for_input(client_connection.link.sock)
    harness.pass_time(1_000, 50)
    assert harness.event_loop.stopped and harness.socket_host.counters["handed off"] == 0
    assert harness.receive_soon(engine, 0) == b""
    client.settimeout(1)
    client.setblocking(True)
    received = client.recv(100)
    assert (
        received[4] == 32
        and received[-5:] == bytes.fromhex("4000000000")
        and client.recv(100) == b""
    )
    assert client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0


def test_second_start_of_shutdown_changes_nothing():
    harness = LoopbackHarness()
    client, _client_connection = harness.connect_client()
    begin_shutdown(harness)
    deadline = harness.socket_host.shutdown_deadline
    harness.pass_time(500)
    harness.socket_host.start_shutdown()
    assert harness.socket_host.shutdown_deadline == deadline
    assert harness.receive_soon(client, 0).count(bytes.fromhex("050000004000000000")) == 1


class DiscoveryServer:
    """Accepts connections of a discovery watch; the test decides what is sent on them."""

    def __init__(self, harness, monkeypatch):
        self.harness, self.server_sockets = harness, []
        monkeypatch.setattr(discovery_module, "dial", self.dial)
        self.watch = DiscoveryWatch(harness.socket_host, ("127.0.0.1", 1))
        harness.event_loop.spawn(self.watch.run)
        harness.turn()

    def dial(self, event_loop, address, timeout):
        server_socket, watch_socket = connected_pair()
        server_socket.setblocking(False)
        self.server_sockets.append(server_socket)
        return watch_socket, ""


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
def test_stalled_discovery_connection_is_replaced_and_incomplete_events_do_not_count(
    first, drip, monkeypatch
):
    harness = LoopbackHarness()
    discovery = DiscoveryServer(harness, monkeypatch)
    discovery.server_sockets[0].sendall(first)
    for _ in range(50):  # 5 s
        if drip and len(discovery.server_sockets) == 1:
            discovery.server_sockets[0].sendall(drip)
            time.sleep(0.0005)
        harness.pass_time(1_000, 250)
    assert len(discovery.server_sockets) >= 2
    watch_request = harness.receive_soon(discovery.server_sockets[1])
    assert b"Last-Event-ID: 1\r\n" in watch_request


def test_discovery_connection_with_a_comment_each_second_is_kept(monkeypatch):
    harness = LoopbackHarness()
    discovery = DiscoveryServer(harness, monkeypatch)
    discovery.server_sockets[0].sendall(b"HTTP/1.1 200 OK\r\n\r\n")
    for _ in range(12):
        discovery.server_sockets[0].sendall(b": hi\n\n")
        time.sleep(0.001)
        harness.pass_time(SECOND, 500)
    assert len(discovery.server_sockets) == 1


@pytest.mark.parametrize("when", ["loading", "reading"])
def test_reload_signal_during_startup_does_not_end_the_process(when, tmp_path):
    configuration = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "feed": "127.0.0.1:2",
        "settings": PLATFORM_SETTINGS,
    }
    port = free_port()
    (tmp_path / "c.json").write_text(json.dumps(configuration))
    code = f"""
import os, signal, sys
def send_reload_signal(*_):
    os.kill(os.getpid(), signal.SIGHUP)
import corkgauge.commands.serve as serve
if {when!r} == "loading":
    import builtins
    real = builtins.__import__
    def slow(name, *rest):
        if name == "corkgauge.eventloop.loop" or name == "corkgauge.daemon.process":
            send_reload_signal()
        return real(name, *rest)
    builtins.__import__ = slow
else:
    from corkgauge.config import platform as configuration
    real_read = configuration.read
    def read(environment):
        send_reload_signal()
        return real_read(environment)
    configuration.read = read
from corkgauge.commands import main
sys.argv = ["corkgauge", "serve"]
sys.exit(main())
"""
    process = subprocess.Popen(
        [sys.executable, "-c", code],
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=kill_with_parent(os.getpid()),
        env={
            **os.environ,
            "EDGE_CONFIG": str(tmp_path / "c.json"),
            "EDGE_LISTEN": f"127.0.0.1:{port}",
        },
    )
    try:
        assert "serving as n" in next(
            line for line in process.stderr if "serving" in line or "Trace" in line
        )
    finally:
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
        process.stderr.close()


def test_no_attempt_is_sent_while_the_end_of_its_client_may_be_hidden_behind_unread_input():
    """Guards against work for a client that closed with much unread while input was paused."""
    harness = LoopbackHarness()
    client, client_connection = harness.connect_client()
    harness.send_and_wait(client, request_frame(), client_connection)
    # No memory is left, so reading pauses; the rest fills the receive buffer, the end behind it.
    budget = harness.socket_host.client_input_memory
    budget.limit_bytes = budget.reserved_bytes
    client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
    large_frame = (200_000).to_bytes(4, "little") + b"\2" + b"x" * 199_999
    with contextlib.suppress(BlockingIOError):
        while True:
            client.send(large_frame)
    wait_for_input(client_connection.link.sock)
    harness.turn()
    assert not client_connection.link.machine.inward.free_bytes
    client.close()
    engine, _ = harness.connect_engine()
    assert FIRST_REQUEST_ID.encode() not in harness.receive_soon(engine, 0)
    # Another client is not delayed by the attempt that is held back.
    other, other_connection = harness.connect_client()
    harness.send_and_wait(other, request_frame(2), other_connection)
    assert request_id(2).encode() in harness.receive_soon(engine)
    harness.pass_time(5 * SECOND)  # each frame is discarded in its turn, up to the end
    assert FIRST_REQUEST_ID.encode() not in harness.receive_soon(engine, 0)
    assert client_connection not in harness.socket_host.client_connections

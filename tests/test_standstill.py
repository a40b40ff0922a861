"""Tests of time limits after the process stood still: what arrived meanwhile came in time."""

import socket

from corkgauge.eventloop.loop import READ, SECOND, EventLoop
from corkgauge.net.engine_protocol import command
from tests.harness import HostHarness, SlowPoller, request_frame, request_id
from tests.test_net import DiscoveryServers, list_event_bytes

STANDSTILL_TICKS = 2 * SECOND


def stand_still(harness):
    """Let the clock run on while the process does nothing, then go on."""
    harness.time += STANDSTILL_TICKS
    harness.turn()


def test_wait_returns_the_event_that_came_before_its_deadline_was_noticed():
    """Guards against dials that fail with a time-out although the connection is established."""
    clock = [10**9]
    event_loop = EventLoop(clock=lambda: clock[0])
    near, far = socket.socketpair()
    events = []

    def wait_for_input():
        events.append(event_loop.wait(near.fileno(), READ, event_loop.now + SECOND))

    event_loop.spawn(wait_for_input)
    event_loop.turn(0)
    far.send(b"x")
    clock[0] += STANDSTILL_TICKS
    for _ in range(3):
        event_loop.turn(0)
    assert events == [READ]


def test_frame_whose_rest_arrived_during_a_standstill_is_answered():
    """Guards against cutting off a request that was written whole while nothing was read."""
    harness = HostHarness()
    client = harness.connect_client()
    frame = request_frame(body=b"select * from s_3.t" + b" " * 100_000)
    harness.send(client, frame[:50_000])
    client.sendall(frame[50_000:])
    stand_still(harness)
    answered_streams = [answer[1] for answer in harness.receive_answers(client)]
    # The gateway may refuse what it reads this late; stream 0 would tell of a closed connection.
    assert answered_streams in ([], [1])
    assert len(harness.socket_host.open_requests) + len(answered_streams) == 1


def test_answer_whose_rest_arrived_during_a_standstill_is_accepted():
    """Guards against closing an engine's connection, with all its attempts, over a whole answer."""
    harness = HostHarness()
    client, engine = harness.connect_client(), harness.connect_engine()
    harness.send(client, request_frame())
    answer = command(request_id(1), "DONE", "chunks=1", "a\t\t\n")
    harness.send(engine, answer[:20])
    engine.sendall(answer[20:])
    stand_still(harness)
    assert harness.receive_answers(client)[0][1:3] == (1, b"\1")


def test_keepalive_answered_during_a_standstill_keeps_the_connection():
    """Guards against failing all attempts of a healthy engine after a standstill of our own."""
    harness = HostHarness()
    client, engine = harness.connect_client(), harness.connect_engine()
    harness.send(client, request_frame())
    harness.receive(engine)
    while b"alive" not in harness.receive(engine):
        harness.pass_time(50)
    engine.sendall(command("alive-1", "FIT", "-", ""))
    stand_still(harness)
    (engine_pool,) = harness.socket_host.engine_pools.values()
    assert len(engine_pool.links) == 1 and not engine_pool.links[0].link.close_reason
    assert not harness.logged


def test_feed_that_spoke_during_a_standstill_is_kept(monkeypatch, tmp_path):
    """Guards against leaving a feed, and the drains in it, for silence that was our own."""
    harness = HostHarness()
    servers = DiscoveryServers(harness, monkeypatch, tmp_path)
    (feed,) = servers.sockets[2]
    harness.send(feed, b"HTTP/1.1 200 OK\r\n\r\n: sign\n\n")
    feed.sendall(b": sign\n\n")
    stand_still(harness)
    servers.send_event(2, 2, id="e2", state="DRAINING")
    assert len(servers.sockets[2]) == 1 and harness.socket_host.last_event == 2


def test_answer_that_came_before_the_limits_of_its_request_is_used_after_a_standstill():
    """Guards against failing a request, and blaming its engine, over an answer that is unread."""
    harness = HostHarness()
    client, engine = harness.connect_client(), harness.connect_engine()
    harness.send(client, request_frame(patience="1000"))
    harness.receive(engine)
    engine.sendall(command(request_id(1), "DONE", "chunks=1", "a\t\t\n"))
    stand_still(harness)
    assert [answer[1:3] for answer in harness.receive_answers(client)] == [(1, b"\1")]
    assert b"abort" not in harness.receive(engine)


def test_input_of_every_connection_is_read_before_late_timers_run():
    """Guards against timers between the tasks that a poll after a standstill makes ready."""
    clock = [10**9]
    event_loop = EventLoop(clock=lambda: clock[0])
    order = []

    def wait_for_input(name, near):
        event_loop.wait(near.fileno(), READ)
        order.append(name)

    pairs = {name: socket.socketpair() for name in ("first", "second")}
    for name, (near, _far) in pairs.items():
        event_loop.spawn(wait_for_input, name, near)
    event_loop.call_later(SECOND, order.append, "timer")
    event_loop.turn(0)
    clock[0] += STANDSTILL_TICKS
    for _near, far in pairs.values():
        far.send(b"x")
    for _ in range(3):
        event_loop.turn(0)
    assert order == ["first", "second", "timer"]


def test_late_timers_run_while_input_never_ends():
    """Guards against input that holds decisions back for ever."""
    clock = [10**9]
    event_loop = EventLoop(clock=lambda: clock[0])
    near, far = socket.socketpair()
    far.send(b"x")  # never read, so each poll reports it
    fired = []

    def read_slowly():
        while True:
            event_loop.wait(near.fileno(), READ)
            clock[0] += SECOND

    event_loop.spawn(read_slowly)
    event_loop.call_later(SECOND // 2, fired.append, "timer")
    for _ in range(4):
        event_loop.turn(0)
    assert fired == ["timer"]


def test_request_does_not_go_to_an_engine_that_the_unread_feed_says_drains(monkeypatch, tmp_path):
    """Guards against attempts at a draining engine over an event that is merely unread."""
    harness = HostHarness()
    servers = DiscoveryServers(harness, monkeypatch, tmp_path)
    client, engine = harness.connect_client(), harness.connect_engine()
    (feed,) = servers.sockets[2]
    harness.send(feed, b"HTTP/1.1 200 OK\r\n\r\n: sign\n\n")  # polled behind the client from now on
    client.sendall(request_frame())
    feed.sendall(list_event_bytes(2, state="DRAINING"))
    SlowPoller(harness, SECOND)
    harness.turn()
    assert b"fetch" not in harness.receive(engine)
    assert harness.socket_host.last_event == 2

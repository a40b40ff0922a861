"""Order of the requests of one key when they are not read in the order in which they arrived."""

import socket
import time

import pytest

from corkgauge.eventloop import arrival
from corkgauge.eventloop.arrival import ArrivalTime, last_arrival
from corkgauge.eventloop.loop import SECOND
from corkgauge.net.client_protocol import REFUSED
from tests.harness import HostHarness, SlowPoller, request_frame, request_id

KEY_SPACING_TICKS = 610  # between two requests of a key, as clients keep it
STANDSTILL_TICKS = 3_000
MAX_TURN_COUNT = 20
BUSY_TURN_TICKS = 180  # of the event loop, below what makes it reject all new requests


def load_frame(number, body_bytes=0):
    """Return a request of an ordered class with a key."""
    body = b"select * from s_3.t" + b" " * body_bytes
    return request_frame(
        1, body, route="load", entity="00ff", nonce=f"n{number}", trace=request_id(number)
    )


@pytest.fixture
def harness():
    return HostHarness()


def was_refused(harness, client):
    """Return whether the client got a rejection."""
    return [answer[2] for answer in harness.receive_answers(client)] == [bytes([REFUSED])]


def test_standstill_within_a_poll_counts_for_the_input_read_after_it(harness):
    SlowPoller(harness, STANDSTILL_TICKS)
    harness.event_loop.turn(0)
    assert harness.event_loop.max_unread_ticks >= STANDSTILL_TICKS
    harness.event_loop.turn(0)
    assert harness.event_loop.max_unread_ticks == 0


def test_after_a_standstill_the_older_request_of_a_key_does_not_run_behind_the_newer_one(harness):
    # Guards against the wrong order of one key, whose requests were read in the order of poll.
    read_first, read_last = harness.connect_client(), harness.connect_client()
    engine = harness.connect_engine()
    harness.pass_time(SECOND)
    read_last.sendall(load_frame(1))
    read_first.sendall(load_frame(2))
    SlowPoller(harness, STANDSTILL_TICKS)
    harness.turn()
    commands = harness.receive(engine)
    assert request_id(2).encode() in commands and request_id(1).encode() not in commands
    assert was_refused(harness, read_last)


def test_request_read_in_parts_does_not_run_behind_a_newer_one_that_overtook_it(harness):
    # Guards against the wrong order of one key without a standstill, on a busy machine.
    long_client, short_client = harness.connect_client(), harness.connect_client()
    engine = harness.connect_engine()
    harness.pass_time(SECOND)
    long_client.sendall(load_frame(1, body_bytes=150_000))
    for turn_number in range(MAX_TURN_COUNT):
        if turn_number == KEY_SPACING_TICKS // BUSY_TURN_TICKS:
            short_client.sendall(load_frame(2))
        harness.time += BUSY_TURN_TICKS
        harness.event_loop.turn(0)
    commands = harness.receive(engine)
    assert request_id(2).encode() in commands and request_id(1).encode() not in commands
    assert was_refused(harness, long_client)


def test_request_whose_last_byte_came_after_a_newer_one_is_kept_behind_it(harness):
    long_client, short_client = harness.connect_client(), harness.connect_client()
    engine = harness.connect_engine()
    frame = load_frame(1, body_bytes=20_000)
    harness.send(long_client, frame[:10_000])
    harness.pass_time(KEY_SPACING_TICKS)
    harness.send(short_client, load_frame(2))
    harness.pass_time(KEY_SPACING_TICKS)
    harness.send(long_client, frame[10_000:])
    assert request_id(2).encode() in harness.receive(engine)
    harness.send_engine_command(engine, request_id(2), "DONE", "chunks=1", "a\t\t\n")
    assert request_id(1).encode() in harness.receive(engine)


def test_requests_of_one_connection_are_in_order_after_a_standstill(harness):
    client, engine = harness.connect_client(), harness.connect_engine()
    harness.pass_time(SECOND)
    client.sendall(load_frame(1) + load_frame(2).replace(b"\2\1\0\0\0", b"\2\2\0\0\0", 1))
    SlowPoller(harness, STANDSTILL_TICKS)
    harness.turn()
    assert request_id(1).encode() in harness.receive(engine)
    harness.send_engine_command(engine, request_id(1), "DONE", "chunks=1", "a\t\t\n")
    assert request_id(2).encode() in harness.receive(engine)


def use_kernel_times(monkeypatch, harness, ages):
    """Let the kernel report these ages of the last byte, by the client's end of the connection."""
    ages_by_host_socket = dict(
        zip([each.link.sock for each in harness.socket_host.client_connections], ages, strict=True)
    )

    def last_arrival_at(sock, now):
        arrived_at = now - ages_by_host_socket[sock]
        return ArrivalTime(arrived_at, arrived_at)

    monkeypatch.setattr(arrival, "last_arrival", last_arrival_at)


def test_by_the_kernels_times_both_requests_run_that_are_read_in_the_right_order(
    monkeypatch, harness
):
    first_client, second_client = harness.connect_client(), harness.connect_client()
    engine = harness.connect_engine()
    harness.pass_time(SECOND)
    use_kernel_times(monkeypatch, harness, (2_000, 1_000))
    first_client.sendall(load_frame(1))
    second_client.sendall(load_frame(2))
    SlowPoller(harness, STANDSTILL_TICKS)
    harness.turn()
    assert request_id(1).encode() in harness.receive(engine)
    harness.send_engine_command(engine, request_id(1), "DONE", "chunks=1", "a\t\t\n")
    assert request_id(2).encode() in harness.receive(engine)


def test_time_of_the_last_byte_says_nothing_about_an_earlier_frame(monkeypatch, harness):
    # Guards against the wrong order of one key: the frame counted as newer than it may be.
    other_client, client = harness.connect_client(), harness.connect_client()
    engine = harness.connect_engine()
    harness.pass_time(SECOND)
    use_kernel_times(monkeypatch, harness, (1_500, 0))
    other_client.sendall(load_frame(2))
    client.sendall(load_frame(1) + request_frame(2, trace=request_id(3)))
    SlowPoller(harness, STANDSTILL_TICKS)
    harness.turn()
    assert request_id(1).encode() not in harness.receive(engine)
    assert was_refused(harness, client)


def test_time_that_a_request_waited_during_a_standstill_reduces_its_time_to_deadline(harness):
    # Guards against a final answer that is late by the length of the standstill.
    client = harness.connect_client()
    harness.pass_time(SECOND)
    client.sendall(request_frame(patience="3000"))
    SlowPoller(harness, STANDSTILL_TICKS)
    harness.turn()
    (request,) = harness.socket_host.open_requests.values()
    assert request.time_to_deadline == 3 * SECOND - STANDSTILL_TICKS


def test_kernel_tells_when_the_last_byte_of_a_tcp_connection_arrived():
    listener = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(listener.getsockname())
    server, _ = listener.accept()
    client.sendall(b"x")
    time.sleep(0.2)
    assert last_arrival(server, SECOND) is None  # unread input
    server.recv(1)
    last_byte = last_arrival(server, SECOND)
    assert last_byte.earliest < last_byte.latest < SECOND - SECOND // 10
    unix_socket, _ = socket.socketpair()
    assert last_arrival(unix_socket, SECOND) is None


def test_order_of_a_key_is_forgotten_once_no_request_can_have_waited_that_long(harness):
    client = harness.connect_client()
    for number in range(1, 4):
        frame = request_frame(number, route="load", entity=f"{number}", nonce=f"n{number}")
        harness.send(client, frame)
        harness.pass_time(SECOND, SECOND // 10)
    order = harness.socket_host.gateway.order
    assert len(order._latest_by_key) == 3
    harness.pass_time(10 * SECOND, SECOND)  # longer than any deadline of the class
    harness.send(client, request_frame(4, route="load", entity="4", nonce="n4"))
    assert [*order._latest_by_key] == [3, 4]

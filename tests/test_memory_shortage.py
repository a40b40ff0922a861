"""Tests of who goes on, and how, while the memory for buffers is used up by others."""

import socket

from corkgauge.eventloop.connection import MAX_MEMORY_WAIT_TICKS
from corkgauge.eventloop.loop import SECOND
from corkgauge.net.client_connection import FRAME_TIMEOUT_TICKS
from tests.harness import HostHarness, request_frame, request_id

FULL_PAGE = "a" * 5_997 + "\t\t\n"
READY_CHECK_FRAME = bytes.fromhex("05000000100a000000")


def use_up(budget):
    """Leave no memory in a budget, as if others held all of it."""
    budget.limit_bytes = budget.reserved_bytes


def answer_with_full_pages(harness, engine, number, page_count):
    """Send the result of a request as its engine does: the first page, then the others."""
    name = request_id(number)
    harness.send_engine_command(engine, name, "DONE", f"chunks={page_count}", FULL_PAGE)
    for page_number in range(1, page_count):
        harness.send_engine_command(engine, name, "MORE", f"at={page_number}", FULL_PAGE)


def test_answer_without_buffer_memory_is_passed_on_in_parts():
    """Guards against answers that waited for memory and were never sent, nor any after them."""
    harness = HostHarness()
    client, engine = harness.connect_client(), harness.connect_engine()
    for number in (1, 2):
        harness.send(client, request_frame(number))
    use_up(harness.socket_host.client_output_memory)
    answer_with_full_pages(harness, engine, 1, 4)
    answer_with_full_pages(harness, engine, 2, 1)
    harness.send(client, READY_CHECK_FRAME)
    first, second, ready = harness.receive_answers(client)
    assert first[1:] == (1, b"\1", FULL_PAGE.encode() * 4)
    assert second[1:] == (2, b"\1", FULL_PAGE.encode())
    assert ready[:2] == (32, 10)
    assert not harness.socket_host.answering and not harness.logged


LARGE_STATEMENT = b"select * from s_3.t" + b" " * 100_000


def test_frame_that_waits_for_memory_is_read_once_memory_is_released():
    """Guards against cutting off a client whose whole request was not read for lack of memory."""
    harness = HostHarness()
    client, engine = harness.connect_client(), harness.connect_engine()
    budget = harness.socket_host.client_input_memory
    assert budget.reserve(budget.limit_bytes)
    harness.send(client, request_frame(body=LARGE_STATEMENT))
    harness.pass_time(4_000)
    assert not harness.socket_host.open_requests
    budget.release(budget.limit_bytes)
    harness.turn()  # without any time: the release itself resumes reading
    assert harness.receive(engine).count(LARGE_STATEMENT) == 1
    harness.send_engine_command(engine, request_id(1), "DONE", "chunks=1", FULL_PAGE)
    assert [answer[1:3] for answer in harness.receive_answers(client)] == [(1, b"\1")]


def test_request_that_finds_no_memory_is_refused_on_its_stream_and_its_connection_goes_on():
    """Guards against requests without any answer while others hold the memory for input."""
    harness = HostHarness()
    client, engine = harness.connect_client(), harness.connect_engine()
    harness.send(client, request_frame(1))
    use_up(harness.socket_host.client_input_memory)
    harness.send(client, request_frame(2, LARGE_STATEMENT) + request_frame(3))
    harness.pass_time(6_000)
    # The platform allows half a second after the request's time, which may be very short.
    assert [answer[1:3] for answer in harness.receive_answers(client)] == [(2, b"\2")]
    for number in (1, 3):
        harness.send_engine_command(engine, request_id(number), "DONE", "chunks=1", FULL_PAGE)
    assert [answer[1:3] for answer in harness.receive_answers(client)] == [(1, b"\1"), (3, b"\1")]
    assert harness.socket_host.counters["no memory"] == 1 and not harness.logged


def test_time_limit_of_a_frame_does_not_run_while_the_frame_waits_for_memory():
    """Guards against a limit on the client's time that counts time in which nothing was read."""
    harness = HostHarness()
    client = harness.connect_client()
    budget = harness.socket_host.client_input_memory
    frame = request_frame(body=LARGE_STATEMENT)
    assert budget.reserve(budget.limit_bytes)
    harness.send(client, frame[:5_000])
    harness.pass_time(4_000)
    budget.release(budget.limit_bytes)
    harness.turn()
    harness.pass_time(FRAME_TIMEOUT_TICKS - 1_000)  # of the client's own time
    harness.send(client, frame[5_000:])
    assert len(harness.socket_host.open_requests) == 1


def test_frame_without_end_is_rejected_while_it_is_discarded():
    harness = HostHarness()
    client = harness.connect_client()
    use_up(harness.socket_host.client_input_memory)
    harness.send(client, request_frame(body=LARGE_STATEMENT)[:-9])
    harness.pass_time(MAX_MEMORY_WAIT_TICKS + FRAME_TIMEOUT_TICKS + 500)
    assert harness.receive_answers(client) == [(4, 0, b"\3", b"a frame that does not end")]


def test_clients_that_complete_no_frame_leave_memory_to_those_that_have():
    """Guards against bad clients that take the memory for input from all others."""
    harness = HostHarness()
    budget = harness.socket_host.client_input_memory
    budget.limit_bytes = 1_000_000
    client, engine = harness.connect_client(), harness.connect_engine()
    harness.send(client, request_frame(1))
    endless_frame = request_frame(body=b" " * 200_000)[:100_000]
    endless_clients = [harness.connect_client() for _ in range(10)]  # memory is there for half
    for endless_client in endless_clients:
        harness.send(endless_client, endless_frame)
    harness.send(client, request_frame(2, LARGE_STATEMENT))
    assert harness.receive(engine).count(LARGE_STATEMENT) == 1


def test_pages_of_a_result_are_requested_when_a_client_frees_memory_by_reading():
    """Guards against results that wait until an attempt ends although memory was freed before."""
    harness = HostHarness()
    client, engine = harness.connect_client(), harness.connect_engine()
    budget = harness.socket_host.result_memory
    assert budget.reserve(budget.limit_bytes)  # as by answers that wait for their clients
    harness.send(client, request_frame(1))
    harness.receive(engine)
    harness.send_engine_command(engine, request_id(1), "DONE", "chunks=2", FULL_PAGE)
    assert b"more" not in harness.receive(engine)
    harness.event_loop.call_later(1, budget.release, budget.limit_bytes)
    harness.pass_time(50)
    assert b"more" in harness.receive(engine)


def test_attempt_that_found_no_buffer_memory_is_sent_when_memory_is_released():
    """Guards against engines that count as unreachable because others do not read."""
    harness = HostHarness()
    client, engine = harness.connect_client(), harness.connect_engine()
    budget = harness.socket_host.server_ring_memory
    assert budget.reserve(budget.limit_bytes)  # as by connections to engines that do not read
    harness.send(client, request_frame(1, LARGE_STATEMENT))
    assert harness.receive(engine) == b""
    harness.event_loop.call_later(1, budget.release, budget.limit_bytes)
    harness.pass_time(50)
    assert harness.receive(engine).count(LARGE_STATEMENT) == 1


def test_engine_does_not_count_as_unreachable_while_attempts_wait_for_buffer_memory():
    harness = HostHarness(limits={"mostTries": 3, "streamsPerConn": 4, "dialTimeoutUs": 250_000})
    client, _engine = harness.connect_client(), harness.connect_engine()
    use_up(harness.socket_host.server_ring_memory)
    harness.send(client, request_frame(1, LARGE_STATEMENT))
    harness.pass_time(3_000)
    assert harness.socket_host.counters["no send memory"]
    assert not any(" unreached " in line for line in harness.logged)


def test_clients_that_do_not_read_leave_memory_to_requests_and_to_other_results():
    """Guards against clients that take memory from all others by not reading their answers."""
    harness = HostHarness()
    socket_host = harness.socket_host
    socket_host.client_output_memory.limit_bytes = 20_000
    socket_host.result_memory.limit_bytes = 120_000
    client, engine = harness.connect_client(), harness.connect_engine()
    (client_connection,) = socket_host.client_connections
    client_connection.link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    for number in range(1, 11):
        harness.send(client, request_frame(number, patience="2000"))
        answer_with_full_pages(harness, engine, number, 1)
    assert socket_host.client_output_memory.reserved_bytes and not (
        socket_host.client_input_memory.reserved_bytes
    )
    assert socket_host.result_memory.reserved_bytes > 20_000
    harness.pass_time(2 * SECOND)
    # Of what has expired, only an answer that the client has begun to get keeps its memory.
    assert socket_host.result_memory.reserved_bytes <= len(FULL_PAGE)
    assert socket_host.counters["results dropped"]


def leave_answers_unread(harness, engine, first_number, count):
    """Connect a client that reads nothing, and answer `count` requests of it in full pages."""
    client = harness.connect_client()
    client_connection = [*harness.socket_host.client_connections][-1]
    client_connection.link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    for stream in range(1, count + 1):
        number = first_number + stream
        harness.send(client, request_frame(stream, trace=request_id(number)))
        answer_with_full_pages(harness, engine, number, 1)
    return client


def test_few_clients_that_do_not_read_leave_result_memory_to_answers_and_pages_of_others():
    """Guards against two clients that hold all memory for results until their requests expire."""
    harness = HostHarness()
    socket_host = harness.socket_host
    use_up(socket_host.client_output_memory)
    socket_host.result_memory.limit_bytes = 60 * len(FULL_PAGE)
    engine = harness.connect_engine()
    unread = [leave_answers_unread(harness, engine, first, 20) for first in (100, 200)]
    assert socket_host.counters["results dropped"]
    client = harness.connect_client()
    harness.send(client, request_frame(1) + request_frame(2))
    # Queued behind the page that the client has not read yet.
    answer_with_full_pages(harness, engine, 1, 1)
    answer_with_full_pages(harness, engine, 2, 4)
    assert [answer[1:] for answer in harness.receive_answers(client)] == [
        (1, b"\1", FULL_PAGE.encode()),
        (2, b"\1", FULL_PAGE.encode() * 4),
    ]
    assert len(unread) == 2 and not harness.logged

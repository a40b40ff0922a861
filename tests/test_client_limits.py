"""Tests of the limits on cancellations and unusable frames, and of how a client is dismissed."""

import pytest

from corkgauge.eventloop.loop import SECOND
from corkgauge.net.client_connection import MAX_FAULT_COUNT
from corkgauge.net.recent_names import MAX_NAME_COUNT, REMEMBERED_TICKS, RecentNames
from tests.harness import HostHarness, request_frame, request_id

NAME = request_id(7)
REASON = b"withdrawn too often"


def cancel_frame(stream):
    return bytes.fromhex("0500000008") + stream.to_bytes(4, "little")


def answered_streams(harness, client):
    return [answer[1] for answer in harness.receive_answers(client)]


@pytest.mark.parametrize("is_cancelled", [True, False], ids=["cancelled", "unusable"])
def test_limits_of_a_connection_count_by_rate_and_not_over_its_life(is_cancelled):
    """Guards against closing a long-lived connection, with a request behind, at its 33rd fault."""
    harness = HostHarness()
    client = harness.connect_client()
    harness.connect_engine()
    last_stream = 2 * MAX_FAULT_COUNT
    for stream in range(1, last_stream):
        fault = cancel_frame(stream) if is_cancelled else request_frame(stream, route="nowhere")
        frame = request_frame(stream) + fault if is_cancelled else fault
        harness.send(client, frame)
        harness.pass_time(SECOND // 5)
        harness.receive(client)
    harness.send(client, cancel_frame(last_stream - 1) + request_frame(last_stream))
    assert len(harness.socket_host.open_requests) == 1


def test_dismissed_client_gets_an_answer_to_each_request_that_it_has_sent():
    """Guards against closing over whole requests behind the cancellation that was one too many."""
    harness = HostHarness()
    client = harness.connect_client()
    harness.connect_engine()
    harness.send(client, request_frame(1) + request_frame(2))
    streams = range(3, 3 + MAX_FAULT_COUNT + 1)
    pairs = b"".join(request_frame(stream) + cancel_frame(stream) for stream in streams)
    behind = streams[-1] + 1
    harness.send(client, pairs + request_frame(behind) + request_frame(behind + 1)[:30])
    harness.send(client, request_frame(behind + 1)[30:])
    answers = harness.receive_answers(client)
    assert sorted(answer[1] for answer in answers[:-1]) == [1, 2, behind, behind + 1]
    assert answers[-1][1:] == (0, b"\3", REASON)
    assert not harness.socket_host.open_requests


def test_dismissed_client_that_goes_on_sending_is_closed_without_delay():
    """Guards against work for a client that floods the connection that is being closed."""
    harness = HostHarness()
    client = harness.connect_client()
    flood = b"".join(request_frame(stream) + cancel_frame(stream) for stream in range(1, 400))
    harness.send(client, flood)
    streams = answered_streams(harness, client)
    assert streams[-1] == 0 and len(streams) < 300
    assert client.recv(1) == b""


@pytest.mark.parametrize("leave", ["close", "cancel", "answered"])
def test_id_that_may_have_run_is_not_run_again(leave):
    """Guards against an unsafe request that ran twice, as it came again after its client left."""
    harness = HostHarness()
    client, engine = harness.connect_client(), harness.connect_engine()
    frame = request_frame(1, trace=NAME, route="once")
    harness.send(client, frame)
    assert harness.receive(engine).count(b"fetch") == 1
    if leave == "answered":
        harness.send_engine_command(engine, NAME, "DONE", "chunks=1", "a\t\t\n")
        assert harness.receive_answers(client)[0][2] == b"\1"
    elif leave == "cancel":
        harness.send(client, cancel_frame(1))
    client.close()
    harness.turn()
    again = harness.connect_client()
    harness.send(again, frame)
    harness.pass_time(SECOND // 10)
    assert harness.receive_answers(again) == [(4, 1, b"\3", b"trace: unusable")]
    assert b"fetch" not in harness.receive(engine)


def test_id_of_a_request_that_never_ran_may_come_again():
    """Guards against refusing an id for good that no engine has seen."""
    harness = HostHarness()
    client = harness.connect_client()
    harness.send(client, request_frame(1, trace=NAME, route="once"))
    harness.send(client, cancel_frame(1))
    engine = harness.connect_engine()
    harness.send(client, request_frame(2, trace=NAME, route="once"))
    assert harness.receive(engine).count(b"fetch") == 1


def test_remembered_ids_are_bounded_under_ever_new_ids():
    """Guards against memory that grows with each new id."""
    names = RecentNames()
    for number in range(MAX_NAME_COUNT + 10):
        names.remember(str(number), number)
    assert len(names) == MAX_NAME_COUNT
    assert names.contains(str(MAX_NAME_COUNT), MAX_NAME_COUNT)
    names.remember("last", 2 * REMEMBERED_TICKS)
    assert len(names) == 1

"""Tests of connections to engines that come up late, on a simulated clock."""

import pytest

from corkgauge.net import engine_pool as engine_pool_module
from corkgauge.net.engine_pool import EnginePool
from tests.harness import SECOND, HostHarness, endpoint_list_event, request_frame
from tests.test_connection_races import REAL_DIAL, connected_pair

RESULT_ROW = "a\t\t\n"
MILLISECOND_TICKS = 10
STEP_TICKS = 50


class LateDials:
    """Connects to engines after `lasts_ticks`, and answers the attempts that arrive."""

    def __init__(self, monkeypatch, lasts_ticks, servers=({},), **options):
        self.harness = HostHarness([endpoint_list_event(1, *servers)], **options)
        self.lasts_ticks = lasts_ticks
        self.engine_sockets = []
        self.dial_count = 0
        monkeypatch.setattr(EnginePool, "dial", REAL_DIAL)
        monkeypatch.setattr(engine_pool_module, "dial", self.dial)
        host = self.harness.socket_host
        host.dials_in_progress = 0
        for engine_pool in host.engine_pools.values():
            engine_pool.is_dialling = False
        self.client = self.harness.connect_client()
        self.answers = []

    def dial(self, event_loop, address, timeout_ticks):
        self.dial_count += 1
        lasts_ticks = self.lasts_ticks
        event_loop.sleep(min(lasts_ticks, timeout_ticks))
        if lasts_ticks > timeout_ticks:
            return None, "ETIMEDOUT"
        engine_socket, host_socket = connected_pair()
        engine_socket.setblocking(False)
        self.engine_sockets.append(engine_socket)
        return host_socket, ""

    def pass_time(self, ticks):
        for _ in range(ticks // STEP_TICKS):
            self.harness.pass_time(STEP_TICKS)
            for engine_socket in self.engine_sockets:
                self.answer(engine_socket)
            self.answers += self.harness.receive_answers(self.client)

    def answer(self, engine_socket):
        try:
            received = engine_socket.recv(1 << 16)
        except BlockingIOError:
            return
        words = received.split(b"\r\n")
        for index, word in enumerate(words):
            if word == b"fetch":
                name = words[index + 2].decode()
                self.harness.send_engine_command(
                    engine_socket, name, "DONE", "chunks=1", RESULT_ROW
                )


# Each dial ended after the dial timeout and began anew, so a slow engine never got a request.
@pytest.mark.parametrize("lasts_ms", [100, 400, 1_500])
def test_engine_whose_connections_come_up_late_serves_requests(lasts_ms, monkeypatch):
    dials = LateDials(monkeypatch, lasts_ms * MILLISECOND_TICKS)
    for stream in range(1, 21):
        dials.harness.send(dials.client, request_frame(stream))
        dials.pass_time(SECOND // 2)
    assert len(dials.answers) == 20
    # A connection has come up 2 s after the first request, which is after the fourth.
    assert {stream for _, stream, code, _ in dials.answers if code == b"\1"} >= {*range(5, 21)}


# A dial that goes on must not keep attempts waiting, nor take the descriptors of other engines.
def test_dials_to_engines_that_never_accept_are_bounded(monkeypatch):
    servers = [{"id": f"e{number}"} for number in range(1, 41)]
    dials = LateDials(monkeypatch, 1_000 * SECOND, servers, sockets=300)
    host = dials.harness.socket_host
    extended_dial_counts = []
    for stream in range(1, 21):
        dials.harness.send(dials.client, request_frame(stream))
        dials.pass_time(SECOND // 2)
        extended_dial_counts.append(host.extended_dial_count)
    assert len(dials.answers) == 20
    assert 0 < max(extended_dial_counts) <= host.max_engine_links // 8
    host.endpoint_list.apply(endpoint_list_event(2, {"state": "DRAINING"}))
    dials.pass_time(3 * SECOND)
    assert host.dials_in_progress == 0
    assert host.extended_dial_count == 0


@pytest.mark.parametrize(
    "change",
    [{"state": "DRAINING"}, {"started_ms": 1}, {"addr": "127.0.0.9:2"}],
    ids=["draining", "restarted", "moved"],
)
def test_late_connection_to_an_engine_that_changed_meanwhile_is_closed(change, monkeypatch):
    dials = LateDials(monkeypatch, SECOND)
    dials.harness.send(dials.client, request_frame())
    dials.pass_time(SECOND // 2)
    host = dials.harness.socket_host
    dials.lasts_ticks = 1_000 * SECOND  # for further dials
    host.endpoint_list.apply(endpoint_list_event(2, change, full=False))
    dials.pass_time(SECOND)
    assert len(dials.engine_sockets) == 1
    assert host.engine_pools["e1"].links == []
    assert dials.engine_sockets[0].recv(1) == b""

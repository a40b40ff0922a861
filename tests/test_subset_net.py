"""Tests of subsets in the host: cost of list changes, connection limits, idle connections."""

import json
import socket
import tracemalloc

import pytest

from corkgauge.net import engine_pool as engine_pool_module
from corkgauge.net.engine_pool import EnginePool
from corkgauge.net.engine_protocol import command
from corkgauge.policy.records import EngineState
from corkgauge.testkit.seeded_random import SeededRandom
from tests.harness import SECOND, HostHarness, endpoint_list_event, request_frame, request_id

REAL_DIAL = EnginePool.dial


def engine_entries(count, first=1):
    """Return entries of an endpoint list event for `count` engines, numbered from `first`."""
    return [
        {"id": f"e{number}", "addr": f"127.0.0.9:{number}"}
        for number in range(first, first + count)
    ]


def apply_event(harness, *servers, full=False):
    number = harness.socket_host.last_event + 1
    assert not harness.socket_host.on_discovery_event(
        str(number), json.dumps(endpoint_list_event(number, *servers, full=full))
    )


def set_subset(harness, *tags):
    """Put these engines alone into the subset, as the gateway does."""
    for tag, engine_pool in harness.socket_host.engine_pools.items():
        engine_pool.engine.in_subset = tag in tags
    harness.socket_host.gateway.subset.engines = [
        harness.socket_host.engine_pools[tag].engine for tag in tags
    ]
    harness.socket_host.gateway.selector.clear_cached_orders()


class CountingDict(dict):
    """A dict that counts how often all of its entries are iterated over."""

    iteration_count = 0

    def __iter__(self):
        CountingDict.iteration_count += 1
        return super().__iter__()

    def values(self):
        CountingDict.iteration_count += 1
        return super().values()

    def items(self):
        CountingDict.iteration_count += 1
        return super().items()


@pytest.fixture
def pool_calls(monkeypatch):
    """Record calls of `fill` and `withdraw` by engine; count iterations over all pools."""
    calls = {"fill": [], "withdraw": []}
    for method in calls:

        def recorded(engine_pool, method=method, original=getattr(EnginePool, method)):
            calls[method].append(engine_pool.engine.name)
            original(engine_pool)

        monkeypatch.setattr(EnginePool, method, recorded)

    def watch(harness):
        harness.socket_host.engine_pools = CountingDict(harness.socket_host.engine_pools)
        CountingDict.iteration_count = 0
        for engine_names in calls.values():
            engine_names.clear()
        return calls

    return watch


@pytest.fixture
def dialled_engines(monkeypatch):
    """Record which engines the host dials; no dial ever completes."""
    engine_names = []

    def dial(engine_pool, address):
        engine_names.append(engine_pool.engine.name)

    monkeypatch.setattr(EnginePool, "dial", dial)

    def begin(harness):
        monkeypatch.setattr(EnginePool, "dial", dial)  # the harness replaces `dial` too
        for engine_pool in harness.socket_host.engine_pools.values():
            engine_pool.is_dialling, engine_pool.socket_host.dials_in_progress = False, 0
        engine_names.clear()
        return engine_names

    return begin


# Changes of the endpoint list.


@pytest.mark.parametrize("count", [10, 40, 160])
def test_event_about_one_engine_processes_one_pool_whatever_the_list_length(count, pool_calls):
    harness = HostHarness([endpoint_list_event(1, *engine_entries(count))], instances=200)
    calls = pool_calls(harness)
    apply_event(harness, {"id": "e3", "addr": "127.0.0.9:3", "started_ms": 5})
    apply_event(harness, {"id": "e4", "addr": "127.0.0.9:4", "state": "DRAINING"})
    apply_event(harness, {"id": "e4", "addr": "127.0.0.9:4", "state": "DELETED"})
    apply_event(harness, *engine_entries(1, count + 1))
    assert (
        calls == {"fill": ["e3", f"e{count + 1}"], "withdraw": ["e4", "e4"]}
        and CountingDict.iteration_count == 0
    )
    assert (
        len(harness.socket_host.engine_pools) == count
        and "e4" not in harness.socket_host.engine_pools
    )


def test_full_endpoint_list_processes_each_pool_once(pool_calls):
    harness = HostHarness([endpoint_list_event(1, *engine_entries(30))], instances=200)
    calls = pool_calls(harness)
    apply_event(harness, *engine_entries(20, 11), full=True)
    assert calls == {
        "fill": [f"e{n}" for n in range(11, 31)],
        "withdraw": [f"e{n}" for n in range(1, 11)],
    }
    assert CountingDict.iteration_count == 2 and [*harness.socket_host.engine_pools] == [
        f"e{n}" for n in range(11, 31)
    ]


def test_event_about_several_engines_processes_them_in_the_order_first_listed(pool_calls):
    harness = HostHarness([endpoint_list_event(1, *engine_entries(30))], instances=200)
    calls = pool_calls(harness)
    apply_event(
        harness,
        *reversed(engine_entries(3, 4)),
        {"id": "e9", "addr": "127.0.0.9:9", "state": "DRAINING"},
        *engine_entries(1, 2),
    )
    assert calls == {"fill": ["e2", "e4", "e5", "e6"], "withdraw": ["e9"]}


def test_waiting_attempt_is_sent_by_an_event_about_another_engine(pool_calls):
    harness = HostHarness([endpoint_list_event(1, {})], instances=200)
    client = harness.connect_client()
    harness.send(client, request_frame())
    engine_socket, host_socket = socket.socketpair()
    engine_pool = harness.socket_host.engine_pools["e1"]
    link = engine_pool_module.EngineConnection(engine_pool, host_socket)
    engine_pool.links.append(link)  # `fill` has not been called since
    calls = pool_calls(harness)
    apply_event(harness, *engine_entries(1, 2))
    assert {*calls["fill"]} == {"e1", "e2"} and request_id(1).encode() in engine_socket.recv(4096)
    calls["fill"].clear()
    apply_event(harness, *engine_entries(1, 3))
    assert calls["fill"] == ["e3"]  # no attempt waits for the first engine any more


def test_failed_dial_of_a_spare_connection_is_repeated_with_the_next_event(
    pool_calls, dialled_engines
):
    harness = HostHarness([endpoint_list_event(1, {}, *engine_entries(1, 2))], instances=3)
    engine_pool = harness.socket_host.engine_pools["e1"]
    dials = dialled_engines(harness)
    engine_pool.next_spare_dial_at = harness.event_loop.now + SECOND  # as after a refused dial
    engine_pool.fill()
    apply_event(harness, *engine_entries(1, 3))
    harness.turn()
    assert "e1" not in dials
    harness.pass_time(SECOND)
    apply_event(harness, *engine_entries(1, 4))
    harness.turn()
    assert "e1" in dials


class RandomRun:
    """Runs random list changes, requests, failed dials and closed connections.

    With `fill_all`, fills all pools after each change, as earlier versions of the host did. `trace`
    holds what clients, engines and the network observe.
    """

    def __init__(self, seed, fill_all):
        self.random, self.trace, self.engine_sockets, self.refusals_left = (
            SeededRandom(seed),
            [],
            [],
            0,
        )
        self.original_dial, engine_pool_module.dial = engine_pool_module.dial, self.dial
        self.harness = HostHarness(
            [endpoint_list_event(1, *engine_entries(5))], sockets=60, instances=(3, 200)[seed % 2]
        )
        EnginePool.dial = REAL_DIAL
        self.socket_host = self.harness.socket_host
        self.socket_host.dials_in_progress = 0
        for engine_pool in self.socket_host.engine_pools.values():
            engine_pool.is_dialling = False
            engine_pool.fill()
        self.client, self.fill_all, self.stream, self.states = (
            self.harness.connect_client(),
            fill_all,
            0,
            dict.fromkeys(range(1, 9)),
        )

    def dial(self, event_loop, address, timeout):
        self.trace.append(("dial", address[1]))
        if self.refusals_left:
            self.refusals_left -= 1
            return None, ("ECONNREFUSED", "EMFILE")[self.refusals_left % 2]
        engine_socket, host_socket = socket.socketpair()
        engine_socket.setblocking(False)
        self.engine_sockets.append((address[1], engine_socket))
        return host_socket, ""

    def step(self):
        action = self.random.below(6)
        if action < 2:
            number = 1 + self.random.below(8)
            state = ("SERVING", "SERVING", "DRAINING", "DELETED")[self.random.below(4)]
            moved, started = self.random.below(8) == 0, self.random.below(6) == 0
            apply_event(
                self.harness,
                {
                    "id": f"e{number}",
                    "addr": f"127.0.0.9:{number + 100 * moved}",
                    "state": state,
                    "started_ms": self.harness.time // 10 if started else 0,
                },
            )
            if self.fill_all:
                for engine_pool in [*self.socket_host.engine_pools.values()]:
                    engine_pool.fill()
        elif action == 2:
            self.refusals_left = self.random.below(4)
        elif action == 3 and self.engine_sockets:
            self.engine_sockets.pop(self.random.below(len(self.engine_sockets)))[1].close()
        else:
            # Without free descriptors the host closes an idle client connection.
            if not self.socket_host.client_connections:
                self.client = self.harness.connect_client()
            self.stream += 1
            self.client.sendall(request_frame(self.stream, patience="900"))
        self.harness.turn()
        self.harness.pass_time(100 * (1 + self.random.below(40)), 100)
        for port, engine_socket in self.engine_sockets:
            try:
                for line in engine_socket.recv(1 << 16).split(b"fetch")[1:]:
                    self.trace.append(("fetch", port, line[7:23]))
                    if self.random.below(3):
                        engine_socket.sendall(
                            command(line[7:23].decode(), "DONE", "chunks=1", "a\t\t\n")
                        )
            except (BlockingIOError, ConnectionError):
                pass
        self.harness.turn()
        self.trace.append(("answers", len(self.harness.receive_answers(self.client))))

    def finish(self):
        engine_pool_module.dial = self.original_dial
        assert not [line for line in self.harness.logged if "Traceback" in line], (
            self.harness.logged
        )
        return self.trace


@pytest.mark.parametrize("seed", range(1, 13))
def test_event_has_the_same_effects_as_filling_every_pool(seed):
    traces = []
    for fill_all in False, True:
        run = RandomRun(seed, fill_all)
        try:
            for _ in range(60):
                run.step()
        finally:
            traces.append(run.finish())
    assert traces[0] == traces[1] and sum(entry[0] == "dial" for entry in traces[0]) > 10


# Connections.


def test_dial_does_not_iterate_over_all_engines(pool_calls):
    harness = HostHarness([endpoint_list_event(1, *engine_entries(50))], sockets=90, instances=200)
    engine_sockets = [harness.connect_engine(f"e{n}") for n in range(1, 21)]
    client = harness.connect_client()
    pool_calls(harness)
    assert (
        harness.socket_host.make_room_for_link(True)
        and harness.socket_host.max_links_per_engine() >= 2
    )
    for n in range(1, 9):
        harness.send(client, request_frame(n))
    assert CountingDict.iteration_count == 0 and len(harness.socket_host.links) == len(
        engine_sockets
    )


def test_closed_connections_are_no_longer_counted():
    harness = HostHarness([endpoint_list_event(1, *engine_entries(3))], instances=200)
    engine_sockets = [harness.connect_engine(tag) for tag in ("e1", "e1", "e2")]
    assert len(harness.socket_host.links) == 3
    engine_sockets[0].close()
    harness.turn()
    apply_event(harness, *engine_entries(1), full=True)
    harness.turn()
    assert [each.engine_pool.engine.name for each in harness.socket_host.links] == ["e1"]


def test_connection_limit_depends_on_the_subset_and_closing_pools_not_on_the_list():
    harness = HostHarness([endpoint_list_event(1, *engine_entries(60))], sockets=96, instances=200)
    socket_host = harness.socket_host
    # The same limit as without a subset, because all engines are in the subset.
    assert socket_host.max_links_per_engine() == 2
    set_subset(harness, "e1", "e2", "e3", "e4")
    assert socket_host.max_links_per_engine() == 96 // 3 // 4
    socket_host.engine_pools["e9"].engine.state = EngineState.DRAINING
    socket_host.closing_pools[socket_host.engine_pools["e9"]] = None
    assert socket_host.max_links_per_engine() == 96 // 3 // 5


@pytest.mark.parametrize("count", [2, 7, 30])
def test_connection_limit_depends_on_the_list_while_the_subset_holds_all_engines(count):
    harness = HostHarness(
        [endpoint_list_event(1, *engine_entries(count))], sockets=300, instances=200
    )
    socket_host = harness.socket_host
    engine_socket = harness.connect_engine("e1")
    for state in "DRAINING", "DELETED", "SERVING", "DRAINING":
        apply_event(harness, {"id": "e1", "addr": "127.0.0.9:1", "state": state})
        assert socket_host.max_links_per_engine() == max(2, 100 // len(socket_host.engine_pools))
    apply_event(harness, *engine_entries(count - 1, 2), full=True)
    assert socket_host.max_links_per_engine() == max(2, 100 // len(socket_host.engine_pools))
    assert engine_socket.fileno() >= 0 and {
        each.engine.state for each in socket_host.closing_pools
    } <= {
        EngineState.DRAINING,
        EngineState.GONE,
    }


def test_connection_outside_the_subset_is_closed_first_when_descriptors_run_out():
    harness = HostHarness([endpoint_list_event(1, *engine_entries(9))], sockets=32, instances=200)
    harness.socket_host.max_engine_links, engine_sockets = 3, []
    for tag in "e1", "e2", "e3":
        engine_sockets.append(harness.connect_engine(tag))
        harness.pass_time(100)
        harness.socket_host.engine_pools[tag].links[0].link.last_written_at = harness.event_loop.now
    set_subset(harness, "e1", "e2", "e4")
    assert not harness.socket_host.make_room_for_link(True)
    harness.turn()
    assert [each.engine_pool.engine.name for each in harness.socket_host.links] == ["e1", "e2"]
    engine_sockets.append(harness.connect_engine("e4"))
    assert not harness.socket_host.make_room_for_link(True)
    harness.turn()  # all are in the subset: closes the one idle longest, as without a subset
    assert [each.engine_pool.engine.name for each in harness.socket_host.links] == ["e2", "e4"]


def test_idle_connection_outside_the_subset_is_closed_and_one_inside_is_kept():
    harness = HostHarness(
        [endpoint_list_event(1, *engine_entries(2))],
        limits={"connIdleUs": 3_000_000},
        instances=200,
    )
    engine_sockets = [harness.connect_engine(tag) for tag in ("e1", "e2")]
    set_subset(harness, "e1")
    harness.pass_time(SECOND + SECOND // 4)
    assert harness.receive(engine_sockets[0]).startswith(command("alive", "alive-1"))
    # Closed without a keepalive before.
    assert engine_sockets[1].recv(100) == b"" and not harness.socket_host.engine_pools["e2"].links
    assert [each.engine_pool.engine.name for each in harness.socket_host.links] == ["e1"]


def test_connection_of_an_engine_that_returns_to_the_subset_is_kept():
    harness = HostHarness(
        [endpoint_list_event(1, *engine_entries(2))],
        limits={"connIdleUs": 3_000_000},
        instances=200,
    )
    engine_socket = harness.connect_engine("e2")
    set_subset(harness, "e1")
    harness.pass_time(SECOND // 2)
    set_subset(harness, "e1", "e2")
    harness.pass_time(SECOND)
    assert harness.receive(engine_socket).startswith(command("alive", "alive-1"))


def test_connection_outside_the_subset_gets_keepalives_while_an_attempt_is_in_flight():
    harness = HostHarness(
        [endpoint_list_event(1, {})], limits={"connIdleUs": 1_200_000}, instances=200
    )
    engine_socket, client = harness.connect_engine(), harness.connect_client()
    harness.send(client, request_frame(patience="4500"))
    assert b"fetch" in harness.receive(engine_socket)
    harness.socket_host.engine_pools["e1"].engine.in_subset = False
    harness.pass_time(SECOND // 2 + SECOND // 10)
    assert harness.receive(engine_socket).startswith(command("alive", "alive-1"))
    harness.send_engine_command(engine_socket, "alive-1", "FIT", "-", "")
    harness.send_engine_command(engine_socket, request_id(1), "DONE", "chunks=1", "a\t\t\n")
    assert [each[1:3] for each in harness.receive_answers(client)] == [(1, b"\1")]
    harness.pass_time(2 * SECOND)
    assert not harness.socket_host.links


def test_engine_outside_the_subset_is_not_dialled_in_advance(dialled_engines):
    harness = HostHarness([endpoint_list_event(1, *engine_entries(4))], instances=3)
    dials = dialled_engines(harness)
    set_subset(harness, "e1", "e3")
    for engine_pool in harness.socket_host.engine_pools.values():
        engine_pool.fill()
    harness.turn()
    assert dials == ["e1", "e3"] and len(harness.socket_host.pools_lacking_spare) <= 2


def test_engine_outside_the_subset_is_dialled_only_for_waiting_attempts(dialled_engines):
    harness = HostHarness([endpoint_list_event(1, {})], instances=3)
    engine_pool, dials = harness.socket_host.engine_pools["e1"], dialled_engines(harness)
    engine_pool.engine.in_subset = False
    client = harness.connect_client()
    harness.send(client, request_frame(1) + request_frame(2))
    assert dials == ["e1"]
    engine_pool.is_dialling = False
    engine_socket = harness.connect_engine()
    harness.turn()
    # Both use this connection, and no further one is dialled in advance.
    assert harness.receive(engine_socket).count(b"fetch") == 2
    assert dials == ["e1"]
    engine_pool.engine.in_subset = True
    engine_pool.fill()
    harness.turn()
    assert dials == ["e1", "e1"]


def test_unused_engine_of_a_long_list_takes_little_memory():
    events = [endpoint_list_event(1, *engine_entries(count)) for count in (100, 500)]
    sizes = []
    for event in events:
        tracemalloc.start()
        try:
            harness = HostHarness([event], instances=870)
            snapshot = tracemalloc.take_snapshot().filter_traces(
                [
                    tracemalloc.Filter(True, "*/corkgauge/net/*"),
                    tracemalloc.Filter(True, "*/corkgauge/figures/*"),
                ]
            )
            sizes.append(sum(statistic.size for statistic in snapshot.statistics("filename")))
        finally:
            tracemalloc.stop()
        assert {each.engine.state for each in harness.socket_host.engine_pools.values()} == {
            EngineState.READY
        }
    assert (sizes[1] - sizes[0]) / 400 < 1_100  # bytes per engine

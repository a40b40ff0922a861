"""The host's side of a bounded working set: what a change of the list costs, whom links are shared by and kept for."""

import json
import socket
import tracemalloc

import pytest

from corkgauge.net import engine_pool as engines
from corkgauge.net.engine_pool import EnginePool
from corkgauge.net.engine_protocol import command
from corkgauge.policy.records import EngineState
from corkgauge.testkit.seeded_random import SeededRandom
from tests.harness import SECOND, HostHarness, endpoint_list_event, request_frame, request_id

REAL_DIAL = EnginePool.dial


def many(count, first=1):
    return [{"id": f"e{n}", "addr": f"127.0.0.9:{n}"} for n in range(first, first + count)]


def changed(harness, *servers, full=False):
    number = harness.socket_host.last_event + 1
    assert not harness.socket_host.on_discovery_event(
        str(number), json.dumps(endpoint_list_event(number, *servers, full=full))
    )


def held(harness, *tags):
    """As the module tells it: these alone are in the working set."""
    for tag, engine_pool in harness.socket_host.engine_pools.items():
        engine_pool.engine.in_subset = tag in tags
    harness.socket_host.gateway.subset.engines = [
        harness.socket_host.engine_pools[tag].engine for tag in tags
    ]
    harness.socket_host.gateway.selector.clear_cached_orders()


class Walked(dict):
    """A table that counts how often anybody goes through all of it."""

    walks = 0

    def __iter__(self):
        Walked.walks += 1
        return super().__iter__()

    def values(self):
        Walked.walks += 1
        return super().values()

    def items(self):
        Walked.walks += 1
        return super().items()


@pytest.fixture
def walked(monkeypatch):
    """Calls of `fill` and `withdraw` by engine, and walks over all engines of the host."""
    seen = {"fill": [], "withdraw": []}
    for kind in seen:

        def noted(engine_pool, kind=kind, real=getattr(EnginePool, kind)):
            seen[kind].append(engine_pool.engine.name)
            real(engine_pool)

        monkeypatch.setattr(EnginePool, kind, noted)

    def watch(harness):
        harness.socket_host.engine_pools = Walked(harness.socket_host.engine_pools)
        Walked.walks = 0
        for each in seen.values():
            each.clear()
        return seen

    return watch


@pytest.fixture
def dialled(monkeypatch):
    """Whom the host dials; nothing ever comes of it."""
    found = []

    def dial(engine_pool, where):
        found.append(engine_pool.engine.name)

    monkeypatch.setattr(EnginePool, "dial", dial)

    def begin(harness):
        monkeypatch.setattr(EnginePool, "dial", dial)  # the rig puts its own there
        for engine_pool in harness.socket_host.engine_pools.values():
            engine_pool.dialling, engine_pool.socket_host.dials_in_progress = False, 0
        found.clear()
        return found

    return begin


# A change of the list.


@pytest.mark.parametrize("count", [10, 40, 160])
def test_a_change_of_one_engine_costs_one_however_long_the_list(count, walked):
    harness = HostHarness([endpoint_list_event(1, *many(count))], instances=200)
    seen = walked(harness)
    changed(harness, {"id": "e3", "addr": "127.0.0.9:3", "started_ms": 5})
    changed(harness, {"id": "e4", "addr": "127.0.0.9:4", "state": "DRAINING"})
    changed(harness, {"id": "e4", "addr": "127.0.0.9:4", "state": "DELETED"})
    changed(harness, *many(1, count + 1))
    assert seen == {"fill": ["e3", f"e{count + 1}"], "withdraw": ["e4", "e4"]} and Walked.walks == 0
    assert (
        len(harness.socket_host.engine_pools) == count
        and "e4" not in harness.socket_host.engine_pools
    )


def test_a_whole_list_costs_the_list_once(walked):
    harness = HostHarness([endpoint_list_event(1, *many(30))], instances=200)
    seen = walked(harness)
    changed(harness, *many(20, 11), full=True)
    assert seen == {
        "fill": [f"e{n}" for n in range(11, 31)],
        "withdraw": [f"e{n}" for n in range(1, 11)],
    }
    assert Walked.walks == 2 and [*harness.socket_host.engine_pools] == [
        f"e{n}" for n in range(11, 31)
    ]


def test_what_is_told_of_several_acts_in_the_order_in_which_the_list_first_named_them(walked):
    harness = HostHarness([endpoint_list_event(1, *many(30))], instances=200)
    seen = walked(harness)
    changed(
        harness,
        *reversed(many(3, 4)),
        {"id": "e9", "addr": "127.0.0.9:9", "state": "DRAINING"},
        *many(1, 2),
    )
    assert seen == {"fill": ["e2", "e4", "e5", "e6"], "withdraw": ["e9"]}


def test_what_waits_for_a_link_goes_on_with_a_change_that_names_another_engine(walked):
    harness = HostHarness([endpoint_list_event(1, {})], instances=200)
    client = harness.connect_client()
    harness.send(client, request_frame())
    mine, its = socket.socketpair()
    engine_pool = harness.socket_host.engine_pools["e1"]
    link = engines.EngineConnection(engine_pool, its)
    engine_pool.links.append(link)  # it is there, and nobody has filled it yet
    seen = walked(harness)
    changed(harness, *many(1, 2))
    assert {*seen["fill"]} == {"e1", "e2"} and request_id(1).encode() in mine.recv(4096)
    seen["fill"].clear()
    changed(harness, *many(1, 3))
    assert seen["fill"] == ["e3"]  # nothing waits at the first any more


def test_a_link_ahead_that_was_not_to_be_had_is_tried_again_with_the_next_change(walked, dialled):
    harness = HostHarness([endpoint_list_event(1, {}, *many(1, 2))], instances=3)
    engine_pool = harness.socket_host.engine_pools["e1"]
    found = dialled(harness)
    engine_pool.next_spare_dial_at = (
        harness.event_loop.now + SECOND
    )  # as after a dial that was refused
    engine_pool.fill()
    changed(harness, *many(1, 3))
    harness.turn()
    assert "e1" not in found
    harness.pass_time(SECOND)
    changed(harness, *many(1, 4))
    harness.turn()
    assert "e1" in found


class Played:
    """One course of changes, requests, failed dials and ended links, by chance; `whole` fills all engines after each
    change, as the host once did. `trace` is what the outside sees.
    """

    def __init__(self, seed, whole):
        self.chance, self.trace, self.guests, self.refused = SeededRandom(seed), [], [], 0
        self.kept, engines.dial = engines.dial, self.dial
        self.harness = HostHarness(
            [endpoint_list_event(1, *many(5))], sockets=60, instances=(3, 200)[seed % 2]
        )
        EnginePool.dial = REAL_DIAL
        self.socket_host = self.harness.socket_host
        self.socket_host.dials_in_progress = 0
        for engine_pool in self.socket_host.engine_pools.values():
            engine_pool.dialling = False
            engine_pool.fill()
        self.client, self.whole, self.stream, self.states = (
            self.harness.connect_client(),
            whole,
            0,
            dict.fromkeys(range(1, 9)),
        )

    def dial(self, event_loop, where, span):
        self.trace.append(("dial", where[1]))
        if self.refused:
            self.refused -= 1
            return None, ("ECONNREFUSED", "EMFILE")[self.refused % 2]
        mine, its = socket.socketpair()
        mine.setblocking(False)
        self.guests.append((where[1], mine))
        return its, ""

    def step(self):
        what = self.chance.below(6)
        if what < 2:
            n = 1 + self.chance.below(8)
            state = ("SERVING", "SERVING", "DRAINING", "DELETED")[self.chance.below(4)]
            moved, started = self.chance.below(8) == 0, self.chance.below(6) == 0
            changed(
                self.harness,
                {
                    "id": f"e{n}",
                    "addr": f"127.0.0.9:{n + 100 * moved}",
                    "state": state,
                    "started_ms": self.harness.time // 10 if started else 0,
                },
            )
            if self.whole:
                for engine_pool in [*self.socket_host.engine_pools.values()]:
                    engine_pool.fill()
        elif what == 2:
            self.refused = self.chance.below(4)
        elif what == 3 and self.guests:
            self.guests.pop(self.chance.below(len(self.guests)))[1].close()
        else:
            if (
                not self.socket_host.client_connections
            ):  # an idle one gives way where there are no descriptors
                self.client = self.harness.connect_client()
            self.stream += 1
            self.client.sendall(request_frame(self.stream, patience="900"))
        self.harness.turn()
        self.harness.pass_time(100 * (1 + self.chance.below(40)), 100)
        for where, guest in self.guests:
            try:
                for line in guest.recv(1 << 16).split(b"fetch")[1:]:
                    self.trace.append(("fetch", where, line[7:23]))
                    if self.chance.below(3):
                        guest.sendall(command(line[7:23].decode(), "DONE", "chunks=1", "a\t\t\n"))
            except (BlockingIOError, ConnectionError):
                pass
        self.harness.turn()
        self.trace.append(("answers", len(self.harness.receive_answers(self.client))))

    def over(self):
        engines.dial = self.kept
        assert not [line for line in self.harness.logged if "Traceback" in line], (
            self.harness.logged
        )
        return self.trace


@pytest.mark.parametrize("seed", range(1, 13))
def test_a_change_does_all_that_looking_at_every_engine_did(seed):
    traces = []
    for whole in False, True:
        play = Played(seed, whole)
        try:
            for _ in range(60):
                play.step()
        finally:
            traces.append(play.over())
    assert traces[0] == traces[1] and sum(each[0] == "dial" for each in traces[0]) > 10


# Links.


def test_a_dial_costs_no_walk_over_all_engines(walked):
    harness = HostHarness([endpoint_list_event(1, *many(50))], sockets=90, instances=200)
    ends = [harness.connect_engine(f"e{n}") for n in range(1, 21)]
    client = harness.connect_client()
    walked(harness)
    assert (
        harness.socket_host.has_descriptor_left(True)
        and harness.socket_host.max_links_per_engine() >= 2
    )
    for n in range(1, 9):
        harness.send(client, request_frame(n))
    assert Walked.walks == 0 and len(harness.socket_host.links) == len(ends)


def test_links_that_end_are_counted_no_more():
    harness = HostHarness([endpoint_list_event(1, *many(3))], instances=200)
    socks = [harness.connect_engine(tag) for tag in ("e1", "e1", "e2")]
    assert len(harness.socket_host.links) == 3
    socks[0].close()
    harness.turn()
    changed(harness, *many(1), full=True)
    harness.turn()
    assert [each.engine_pool.engine.name for each in harness.socket_host.links] == ["e1"]


def test_links_are_shared_by_the_working_set_and_what_closes_not_by_the_list():
    harness = HostHarness([endpoint_list_event(1, *many(60))], sockets=96, instances=200)
    socket_host = harness.socket_host
    assert socket_host.max_links_per_engine() == 2  # as ever where all engines are in the set
    held(harness, "e1", "e2", "e3", "e4")
    assert socket_host.max_links_per_engine() == 96 // 3 // 4
    socket_host.engine_pools["e9"].engine.state = EngineState.DRAINING
    socket_host.closing_pools[socket_host.engine_pools["e9"]] = None
    assert socket_host.max_links_per_engine() == 96 // 3 // 5


@pytest.mark.parametrize("count", [2, 7, 30])
def test_while_all_engines_are_in_the_set_the_share_is_that_of_the_list(count):
    harness = HostHarness([endpoint_list_event(1, *many(count))], sockets=300, instances=200)
    socket_host = harness.socket_host
    kept = harness.connect_engine("e1")
    for state in "DRAINING", "DELETED", "SERVING", "DRAINING":
        changed(harness, {"id": "e1", "addr": "127.0.0.9:1", "state": state})
        assert socket_host.max_links_per_engine() == max(2, 100 // len(socket_host.engine_pools))
    changed(harness, *many(count - 1, 2), full=True)
    assert socket_host.max_links_per_engine() == max(2, 100 // len(socket_host.engine_pools))
    assert kept.fileno() >= 0 and {each.engine.state for each in socket_host.closing_pools} <= {
        EngineState.DRAINING,
        EngineState.GONE,
    }


def test_where_descriptors_run_out_a_link_outside_the_set_gives_way_first():
    harness = HostHarness([endpoint_list_event(1, *many(9))], sockets=32, instances=200)
    harness.socket_host.max_engine_links, ends = 3, []
    for tag in "e1", "e2", "e3":
        ends.append(harness.connect_engine(tag))
        harness.pass_time(100)
        harness.socket_host.engine_pools[tag].links[0].link.last_written_at = harness.event_loop.now
    held(harness, "e1", "e2", "e4")
    assert not harness.socket_host.has_descriptor_left(True)
    harness.turn()
    assert [each.engine_pool.engine.name for each in harness.socket_host.links] == ["e1", "e2"]
    ends.append(harness.connect_engine("e4"))
    assert not harness.socket_host.has_descriptor_left(True)
    harness.turn()  # all in the set: the one that has been idle longest, as ever
    assert [each.engine_pool.engine.name for each in harness.socket_host.links] == ["e2", "e4"]


def test_an_idle_link_outside_the_set_ends_and_one_inside_is_kept():
    harness = HostHarness(
        [endpoint_list_event(1, *many(2))], limits={"connIdleUs": 3_000_000}, instances=200
    )
    ends = [harness.connect_engine(tag) for tag in ("e1", "e2")]
    held(harness, "e1")
    harness.pass_time(SECOND + SECOND // 4)
    assert harness.receive(ends[0]).startswith(command("alive", "alive-1"))
    assert (
        ends[1].recv(100) == b"" and not harness.socket_host.engine_pools["e2"].links
    )  # closed, with nothing said before
    assert [each.engine_pool.engine.name for each in harness.socket_host.links] == ["e1"]


def test_a_link_of_an_engine_that_comes_back_to_the_set_is_kept():
    harness = HostHarness(
        [endpoint_list_event(1, *many(2))], limits={"connIdleUs": 3_000_000}, instances=200
    )
    end = harness.connect_engine("e2")
    held(harness, "e1")
    harness.pass_time(SECOND // 2)
    held(harness, "e1", "e2")
    harness.pass_time(SECOND)
    assert harness.receive(end).startswith(command("alive", "alive-1"))


def test_a_link_outside_the_set_is_asked_for_signs_while_something_is_out_there():
    harness = HostHarness(
        [endpoint_list_event(1, {})], limits={"connIdleUs": 1_200_000}, instances=200
    )
    end, client = harness.connect_engine(), harness.connect_client()
    harness.send(client, request_frame(patience="4500"))
    assert b"fetch" in harness.receive(end)
    harness.socket_host.engine_pools["e1"].engine.in_subset = False
    harness.pass_time(SECOND // 2 + SECOND // 10)
    assert harness.receive(end).startswith(command("alive", "alive-1"))
    harness.send_engine_command(end, "alive-1", "FIT", "-", "")
    harness.send_engine_command(end, request_id(1), "DONE", "chunks=1", "a\t\t\n")
    assert [each[1:3] for each in harness.receive_answers(client)] == [(1, b"\1")]
    harness.pass_time(2 * SECOND)
    assert not harness.socket_host.links


def test_no_engine_outside_the_set_is_dialled_ahead(dialled):
    harness = HostHarness([endpoint_list_event(1, *many(4))], instances=3)
    found = dialled(harness)
    held(harness, "e1", "e3")
    for engine_pool in harness.socket_host.engine_pools.values():
        engine_pool.fill()
    harness.turn()
    assert found == ["e1", "e3"] and len(harness.socket_host.pools_lacking_spare) <= 2


def test_an_engine_outside_the_set_is_dialled_for_what_waits_and_for_nothing_more(dialled):
    harness = HostHarness([endpoint_list_event(1, {})], instances=3)
    engine_pool, found = harness.socket_host.engine_pools["e1"], dialled(harness)
    engine_pool.engine.in_subset = False
    client = harness.connect_client()
    harness.send(client, request_frame(1) + request_frame(2))
    assert found == ["e1"]
    engine_pool.dialling = False
    end = harness.connect_engine()
    harness.turn()
    assert (
        harness.receive(end).count(b"fetch") == 2
    )  # they share it, and no further one is dialled ahead
    assert found == ["e1"]
    engine_pool.engine.in_subset = True
    engine_pool.fill()
    harness.turn()
    assert found == ["e1", "e1"]


def test_an_engine_of_a_long_list_that_nothing_is_sent_to_costs_the_host_little():
    events = [endpoint_list_event(1, *many(count)) for count in (100, 500)]
    took = []
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
            took.append(sum(each.size for each in snapshot.statistics("filename")))
        finally:
            tracemalloc.stop()
        assert {each.engine.state for each in harness.socket_host.engine_pools.values()} == {
            EngineState.READY
        }
    assert (took[1] - took[0]) / 400 < 1_100

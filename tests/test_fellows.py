"""Fellows: seals, replays, starts; views that agree, refute and heal; accusations by one that was late itself."""

import heapq

import pytest

from corkgauge.membership.datagrams import (
    BURST_DATAGRAMS,
    MAX_DATAGRAM_BYTES,
    DatagramCodec,
    DatagramKind,
)
from corkgauge.membership.member_list import ALIVE, GONE, LEFT, SUSPECTED, UNKNOWN, MemberList
from corkgauge.membership.sealing import Key
from corkgauge.testkit.seeded_random import SeededRandom

SECOND = 10_000
SECRET, OTHER = b"a" * 32, b"b" * 32


def pair():
    """Two that know each other's start."""
    one = DatagramCodec("n1", 100, [Key(SECRET)], lambda *_: None, lambda start: None)
    two = DatagramCodec("n2", 200, [Key(SECRET)], lambda *_: None, lambda start: None)
    one.set_peers(["n2"])
    two.set_peers(["n1"])
    for here, there in ((one, two), (two, one)):
        sender, sort, start = there.decode(here.encode(there.name, DatagramKind.HELLO, None), 0)
        assert (sort, start) == (DatagramKind.HELLO, here.incarnation)
        assert (
            here.decode(there.encode(here.name, DatagramKind.HELLO_REPLY, None, start), 0)[1]
            == DatagramKind.HELLO_REPLY
        )
    return one, two


def test_a_letter_is_taken_once_by_whom_it_was_written_to():
    one, two = pair()
    data = one.encode("n2", DatagramKind.CALL, ["x", 1])
    assert two.decode(data, 0) == ("n1", DatagramKind.CALL, ["x", 1])
    assert two.decode(data, 0) is None and two.counts["replay"] == 1
    assert (
        one.decode(one.encode("n2", DatagramKind.CALL, 1), 0) is None
        and one.counts["stranger"] == 1
    )
    third = DatagramCodec("n3", 300, [Key(SECRET)], lambda *_: None, lambda start: None)
    third.set_peers(["n1"])
    assert (
        third.decode(one.encode("n2", DatagramKind.CALL, 1), 0) is None
        and third.counts["not to us"] == 1
    )


@pytest.mark.parametrize("change", range(0, 60, 3))
def test_a_letter_with_one_octet_changed_is_no_letter(change):
    one, two = pair()
    data = bytearray(one.encode("n2", DatagramKind.CALL, ["some", "words"]))
    data[change % len(data)] ^= 0x41
    assert two.decode(bytes(data), 0) is None and two.counts["taken"] == 1


@pytest.mark.parametrize(
    "data", [b"", b"\xc9", b"\xc9" * 40, bytes(MAX_DATAGRAM_BYTES + 1), b"\0" * 100]
)
def test_what_is_no_letter_costs_one_count(data):
    one, _ = pair()
    assert one.decode(data, 0) is None
    assert one.counts["not a letter"] + one.counts["seal"] == 1


def test_another_key_opens_nothing_and_two_hold_while_one_is_changed():
    one, two = pair()
    one.keys = [Key(OTHER)]
    assert two.decode(one.encode("n2", DatagramKind.CALL, 1), 0) is None and two.counts["seal"] == 1
    two.keys = [Key(SECRET), Key(OTHER)]
    assert two.decode(one.encode("n2", DatagramKind.CALL, 2), 0) == ("n1", DatagramKind.CALL, 2)
    assert (
        one.decode(two.encode("n1", DatagramKind.CALL, 3), 0) is None
    )  # it knows the new one alone
    with pytest.raises(ValueError):
        Key(b"short")


def test_letters_of_an_hour_ago_say_nothing_to_a_new_start():
    one, two = pair()
    old = [one.encode("n2", DatagramKind.CALL, n) for n in range(5)]
    again = DatagramCodec("n2", 900, [Key(SECRET)], lambda *_: None, lambda start: None)
    again.set_peers(["n1"])
    assert [again.decode(data, 0) for data in old] == [
        ("n1", DatagramKind.HELLO, 100)
    ] * 5  # told our start, and no more
    assert again.counts["to an earlier start"] == 5 and again.counts["taken"] == 0


def test_a_start_below_the_last_one_is_told_and_grows():
    outgrown = []
    one, two = pair()
    again = DatagramCodec(
        "n1", 50, [Key(SECRET)], lambda *_: None, outgrown.append
    )  # its clock was set back
    again.set_peers(["n2"])
    sender, sort, start = two.decode(again.encode("n2", DatagramKind.HELLO, None), 0)
    assert again.decode(
        two.encode("n1", DatagramKind.HELLO_REPLY, None, start), 0
    ) is None and outgrown == [100]


def test_a_fellow_that_floods_takes_its_allowance_and_no_more():
    one, two = pair()
    taken = sum(
        two.decode(one.encode("n2", DatagramKind.CALL, n), 1) is not None for n in range(3000)
    )
    assert taken <= BURST_DATAGRAMS and two.counts["flood"] >= 3000 - BURST_DATAGRAMS
    assert two.decode(one.encode("n2", DatagramKind.CALL, 0), 2 * SECOND) is not None


class Net:
    """Companies on one clock; letters take a moment, and `blocked(sender, to)` says which do not arrive."""

    def __init__(self, many, period=5_000, blocked=lambda *_: False, seed=1):
        self.now, self.serial, self.events, self.blocked = 0, 0, [], blocked
        self.chance, self.period, self.sent, self.stopped = SeededRandom(seed), period, 0, {}
        self.names = [f"n{n}" for n in range(many)]
        self.nodes = {}
        for name in self.names:
            self.start(name, 1000)

    def start(self, name, start):
        node = self.nodes[name] = Node(self, name)
        node.member_list = MemberList(
            node, name, start, [Key(SECRET)], [(each, "") for each in self.names], self.period
        )

    def run(self, seconds):
        until = self.now + int(seconds * SECOND)
        while self.events and self.events[0][0] <= until:
            self.now, _, node, method, what = heapq.heappop(self.events)
            if self.nodes[node.name] is not node:
                continue
            if (on := self.stopped.get(node.name, 0)) > self.now:
                self.call_later(on - self.now, node, method, what)
            else:
                method(*what)
        self.now = until

    def call_later(self, delay, node, method, what):
        self.serial += 1
        heapq.heappush(
            self.events, (self.now + max(int(delay), 1), self.serial, node, method, what)
        )

    def states(self, of):
        return {
            name: node.member_list.state_of(of) for name, node in self.nodes.items() if name != of
        }


class Node:
    def __init__(self, net, name):
        self.net, self.name, self.said, self.changes = net, name, [], []

    now = property(lambda self: self.net.now)

    def send_datagram(self, name, data):
        self.net.sent += 1
        if not self.net.blocked(self.name, name):
            other = self.net.nodes[name]
            self.net.call_later(
                5 + self.net.chance.below(20), other, other.member_list.handle_datagram, (data,)
            )

    def call_later(self, delay, method, *what):
        self.net.call_later(delay, self, method, what)

    def chance(self, below):
        return self.net.chance.below(below)

    def log(self, line):
        self.said.append(line)

    def on_member_changed(self, member, before):
        self.changes.append((self.net.now, member.name, member.state))


@pytest.mark.parametrize("many", [2, 3, 12])
def test_all_come_to_know_all(many):
    net = Net(many)
    net.run(10 + many)
    for name in net.names:
        assert {*net.states(name).values()} == {ALIVE}


def test_a_fellow_that_ends_is_suspected_then_gone_for_all_and_back_with_its_next_start():
    net = Net(6)
    net.run(10)
    dead = net.nodes["n3"]
    net.nodes["n3"] = Node(net, "n3")  # nobody behind the address
    net.nodes["n3"].member_list = type(
        "Nobody", (), {"handle_datagram": staticmethod(lambda data: None)}
    )
    net.run(25)
    others = [node for name, node in net.nodes.items() if name != "n3"]
    assert all(node.member_list.state_of("n3") == GONE for node in others)
    assert all(
        [state for _, name, state in node.changes if name == "n3"][-2:] == [SUSPECTED, GONE]
        for node in others
    )
    net.start("n3", 2000)
    net.run(10)
    assert (
        all(node.member_list.state_of("n3") == ALIVE for node in others)
        and dead is not net.nodes["n3"]
    )


def test_one_bad_link_is_not_a_dead_fellow():
    net = Net(6, blocked=lambda one, other: {one, other} == {"n0", "n1"})
    net.run(60)
    assert {*net.states("n0").values()} <= {ALIVE, UNKNOWN} and {*net.states("n1").values()} <= {
        ALIVE,
        UNKNOWN,
    }
    assert not any(state == GONE for node in net.nodes.values() for _, _, state in node.changes)


def test_one_that_stood_still_accuses_nobody_when_it_goes_on():
    net = Net(8)
    net.run(10)
    net.stopped["n2"] = net.now + 30 * SECOND
    net.run(29)
    seen = net.states("n2")
    assert all(state in (SUSPECTED, GONE) for state in seen.values())
    before = [len(node.changes) for node in net.nodes.values()]
    net.run(15)
    assert {*net.states("n2").values()} == {ALIVE}
    assert not [change for change in net.nodes["n2"].changes if change[2] in (SUSPECTED, GONE)]
    for node, many in zip(net.nodes.values(), before):
        assert not [change for change in node.changes[many:] if change[1] != "n2"]


def test_halves_hold_each_other_gone_and_are_one_again_after_the_cut():
    net = Net(8)
    net.run(10)
    net.blocked = lambda one, other: (int(one[1:]) < 4) != (int(other[1:]) < 4)
    net.run(40)
    assert net.states("n7")["n0"] == GONE and net.states("n7")["n6"] == ALIVE
    net.blocked = lambda *_: False
    net.run(30)
    for name in net.names:
        assert {*net.states(name).values()} == {ALIVE}


def test_one_that_is_not_heard_is_found_though_it_hears():
    net = Net(5)
    net.run(10)
    net.blocked = lambda one, other: one == "n4"
    net.run(40)
    assert {*net.states("n4").values()} == {GONE}
    net.blocked = lambda *_: False
    net.run(20)
    assert {*net.states("n4").values()} == {ALIVE}


def test_a_third_of_all_letters_lost_makes_nobody_gone():
    net = Net(10)
    net.run(10)
    net.blocked = lambda *_: net.chance.within(0.3)
    net.run(120)
    wrong = [change for node in net.nodes.values() for change in node.changes if change[2] == GONE]
    assert not wrong


def test_a_planned_end_is_told_at_once():
    net = Net(5)
    net.run(10)
    net.nodes["n1"].member_list.leave()
    net.run(5)
    assert {*net.states("n1").values()} == {LEFT}


def test_what_a_gateway_sends_does_not_grow_with_the_number_of_fellows():
    rates = []
    for many in (4, 24):
        net = Net(many)
        net.run(40)
        before = net.sent
        net.run(40)
        rates.append((net.sent - before) / many)
    assert rates[1] < 1.3 * rates[0]


def test_a_word_that_makes_no_sense_changes_nothing():
    net = Net(3)
    net.run(5)
    one, two = net.nodes["n0"].member_list, net.nodes["n1"].member_list
    for body in (
        None,
        [],
        [1, 2, 3],
        [7, [["n2", 9, 1, 1, ""]]],
        [7, [["n2", GONE, -1, 1, ""]]],
        ["x", []],
    ):
        two.handle_datagram(one.codec.encode("n1", DatagramKind.PROBE, body))
    assert two.counts["no sense"] == 6 and two.state_of("n2") == ALIVE


def test_fellows_may_be_renamed_in_service_and_what_is_known_of_the_others_stays():
    net = Net(4)
    net.run(8)
    member_list = net.nodes["n0"].member_list
    start = member_list.members["n1"].incarnation
    member_list.set_members([("n0", "a"), ("n1", "b"), ("n9", "b")])
    assert (
        sorted(member_list.members) == ["n1", "n9"]
        and member_list.members["n1"].incarnation == start
    )
    assert member_list.state_of("n9") == UNKNOWN and member_list.state_of("n2") == GONE

"""Tests of membership: seals, replays, incarnations, failure detection, refutation, healing."""

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
SECRET, OTHER_SECRET = b"a" * 32, b"b" * 32


def codec_pair():
    """Return two codecs that know each other's incarnation; each has accepted a HELLO_REPLY."""
    one = DatagramCodec("n1", 100, [Key(SECRET)], lambda *_: None, lambda incarnation: None)
    two = DatagramCodec("n2", 200, [Key(SECRET)], lambda *_: None, lambda incarnation: None)
    one.set_peers(["n2"])
    two.set_peers(["n1"])
    for here, there in ((one, two), (two, one)):
        _, kind, incarnation = there.decode(here.encode(there.name, DatagramKind.HELLO, None), 0)
        assert (kind, incarnation) == (DatagramKind.HELLO, here.incarnation)
        assert (
            here.decode(there.encode(here.name, DatagramKind.HELLO_REPLY, None, incarnation), 0)[1]
            == DatagramKind.HELLO_REPLY
        )
    return one, two


def test_a_datagram_is_accepted_once_and_only_by_its_receiver():
    one, two = codec_pair()
    data = one.encode("n2", DatagramKind.CALL, ["x", 1])
    assert two.decode(data, 0) == ("n1", DatagramKind.CALL, ["x", 1])
    assert two.decode(data, 0) is None and two.counts["replay"] == 1
    assert (
        one.decode(one.encode("n2", DatagramKind.CALL, 1), 0) is None
        and one.counts["stranger"] == 1
    )
    third = DatagramCodec("n3", 300, [Key(SECRET)], lambda *_: None, lambda incarnation: None)
    third.set_peers(["n1"])
    assert (
        third.decode(one.encode("n2", DatagramKind.CALL, 1), 0) is None
        and third.counts["not to us"] == 1
    )


@pytest.mark.parametrize("change", range(0, 60, 3))
def test_a_datagram_with_one_octet_changed_is_rejected(change):
    one, two = codec_pair()
    data = bytearray(one.encode("n2", DatagramKind.CALL, ["some", "words"]))
    data[change % len(data)] ^= 0x41
    # The one accepted datagram is the HELLO_REPLY of `codec_pair`.
    assert two.decode(bytes(data), 0) is None and two.counts["taken"] == 1


@pytest.mark.parametrize(
    "data", [b"", b"\xc9", b"\xc9" * 40, bytes(MAX_DATAGRAM_BYTES + 1), b"\0" * 100]
)
def test_an_invalid_datagram_is_rejected_and_counted_once(data):
    one, _ = codec_pair()
    assert one.decode(data, 0) is None
    assert one.counts["not a letter"] + one.counts["seal"] == 1


def test_unknown_keys_are_rejected_and_two_keys_verify_during_a_rotation():
    one, two = codec_pair()
    one.keys = [Key(OTHER_SECRET)]
    assert two.decode(one.encode("n2", DatagramKind.CALL, 1), 0) is None and two.counts["seal"] == 1
    two.keys = [Key(SECRET), Key(OTHER_SECRET)]
    assert two.decode(one.encode("n2", DatagramKind.CALL, 2), 0) == ("n1", DatagramKind.CALL, 2)
    assert (
        one.decode(two.encode("n1", DatagramKind.CALL, 3), 0) is None
    )  # `one` has only the new key
    with pytest.raises(ValueError):
        Key(b"short")


def test_datagrams_to_an_earlier_incarnation_are_rejected():
    one, _ = codec_pair()
    old = [one.encode("n2", DatagramKind.CALL, n) for n in range(5)]
    restarted = DatagramCodec("n2", 900, [Key(SECRET)], lambda *_: None, lambda incarnation: None)
    restarted.set_peers(["n1"])
    assert [restarted.decode(data, 0) for data in old] == [
        ("n1", DatagramKind.HELLO, 100)
    ] * 5  # each is handled as a HELLO, and its body is ignored
    assert restarted.counts["to an earlier start"] == 5 and restarted.counts["taken"] == 0


def test_an_incarnation_below_the_last_one_is_superseded():
    superseded = []
    _, two = codec_pair()
    restarted = DatagramCodec(
        "n1", 50, [Key(SECRET)], lambda *_: None, superseded.append
    )  # the clock was set back
    restarted.set_peers(["n2"])
    _, _, incarnation = two.decode(restarted.encode("n2", DatagramKind.HELLO, None), 0)
    assert restarted.decode(
        two.encode("n1", DatagramKind.HELLO_REPLY, None, incarnation), 0
    ) is None and superseded == [100]


def test_a_flooding_member_is_rate_limited():
    one, two = codec_pair()
    accepted_count = sum(
        two.decode(one.encode("n2", DatagramKind.CALL, n), 1) is not None for n in range(3000)
    )
    assert accepted_count <= BURST_DATAGRAMS and two.counts["flood"] >= 3000 - BURST_DATAGRAMS
    assert two.decode(one.encode("n2", DatagramKind.CALL, 0), 2 * SECOND) is not None


class Network:
    """Runs member lists on one simulated clock.

    Datagrams for which `is_blocked(sender, receiver)` is true are lost.
    """

    def __init__(self, member_count, period_ticks=5_000, is_blocked=lambda *_: False, seed=1):
        self.now = 0
        self.is_blocked = is_blocked
        self.random = SeededRandom(seed)
        self.period_ticks = period_ticks
        self.sent_count = 0
        self.stopped_until = {}
        self.names = [f"n{number}" for number in range(member_count)]
        self.nodes = {}
        self._events = []
        self._serial = 0
        for name in self.names:
            self.start(name, 1000)

    def start(self, name, incarnation):
        node = self.nodes[name] = Node(self, name)
        members = [(each, "") for each in self.names]
        node.member_list = MemberList(
            node, name, incarnation, [Key(SECRET)], members, self.period_ticks
        )

    def run(self, seconds):
        until = self.now + int(seconds * SECOND)
        while self._events and self._events[0][0] <= until:
            self.now, _, node, method, arguments = heapq.heappop(self._events)
            if self.nodes[node.name] is not node:
                continue
            stopped_until = self.stopped_until.get(node.name, 0)
            if stopped_until > self.now:
                self.call_later(stopped_until - self.now, node, method, arguments)
            else:
                method(*arguments)
        self.now = until

    def call_later(self, delay, node, method, arguments):
        self._serial += 1
        due = self.now + max(int(delay), 1)
        heapq.heappush(self._events, (due, self._serial, node, method, arguments))

    def states_of(self, member):
        """Return, by name of each other member, the state that it has recorded for `member`."""
        return {
            name: node.member_list.state_of(member)
            for name, node in self.nodes.items()
            if name != member
        }


class Node:
    """Hosts one member list and records each change of a member's state."""

    def __init__(self, network, name):
        self.network = network
        self.name = name
        self.lines = []
        self.changes = []

    now = property(lambda self: self.network.now)

    def send_datagram(self, name, data):
        self.network.sent_count += 1
        if not self.network.is_blocked(self.name, name):
            receiver = self.network.nodes[name]
            latency = 5 + self.network.random.below(20)
            handle = receiver.member_list.handle_datagram
            self.network.call_later(latency, receiver, handle, (data,))

    def call_later(self, delay, method, *arguments):
        self.network.call_later(delay, self, method, arguments)

    def random_below(self, below):
        return self.network.random.below(below)

    def log(self, line):
        self.lines.append(line)

    def on_member_changed(self, member, before):
        self.changes.append((self.network.now, member.name, member.state))


@pytest.mark.parametrize("member_count", [2, 3, 12])
def test_all_members_learn_that_all_others_are_alive(member_count):
    network = Network(member_count)
    network.run(10 + member_count)
    for name in network.names:
        assert {*network.states_of(name).values()} == {ALIVE}


def test_a_failed_member_is_suspected_then_gone_and_alive_with_its_next_incarnation():
    network = Network(6)
    network.run(10)
    failed_node = network.nodes["n3"]
    network.nodes["n3"] = Node(network, "n3")  # the address has no receiver
    network.nodes["n3"].member_list = type(
        "NoReceiver", (), {"handle_datagram": staticmethod(lambda data: None)}
    )
    network.run(25)
    others = [node for name, node in network.nodes.items() if name != "n3"]
    assert all(node.member_list.state_of("n3") == GONE for node in others)
    assert all(
        [state for _, name, state in node.changes if name == "n3"][-2:] == [SUSPECTED, GONE]
        for node in others
    )
    network.start("n3", 2000)
    network.run(10)
    assert (
        all(node.member_list.state_of("n3") == ALIVE for node in others)
        and failed_node is not network.nodes["n3"]
    )


def test_a_single_bad_link_makes_no_member_gone():
    network = Network(6, is_blocked=lambda sender, receiver: {sender, receiver} == {"n0", "n1"})
    network.run(60)
    assert {*network.states_of("n0").values()} <= {ALIVE, UNKNOWN} and {
        *network.states_of("n1").values()
    } <= {
        ALIVE,
        UNKNOWN,
    }
    assert not any(state == GONE for node in network.nodes.values() for _, _, state in node.changes)


def test_a_stalled_member_suspects_nobody_after_it_resumes():
    network = Network(8)
    network.run(10)
    network.stopped_until["n2"] = network.now + 30 * SECOND
    network.run(29)
    states = network.states_of("n2")
    assert all(state in (SUSPECTED, GONE) for state in states.values())
    before = [len(node.changes) for node in network.nodes.values()]
    network.run(15)
    assert {*network.states_of("n2").values()} == {ALIVE}
    assert not [change for change in network.nodes["n2"].changes if change[2] in (SUSPECTED, GONE)]
    for node, count in zip(network.nodes.values(), before, strict=True):
        assert not [change for change in node.changes[count:] if change[1] != "n2"]


def test_all_members_are_alive_again_after_a_partition_heals():
    network = Network(8)
    network.run(10)
    network.is_blocked = lambda sender, receiver: (int(sender[1:]) < 4) != (int(receiver[1:]) < 4)
    network.run(40)
    assert network.states_of("n7")["n0"] == GONE and network.states_of("n7")["n6"] == ALIVE
    network.is_blocked = lambda *_: False
    network.run(30)
    for name in network.names:
        assert {*network.states_of(name).values()} == {ALIVE}


def test_a_member_that_receives_but_cannot_send_is_gone_until_it_can():
    network = Network(5)
    network.run(10)
    network.is_blocked = lambda sender, receiver: sender == "n4"
    network.run(40)
    assert {*network.states_of("n4").values()} == {GONE}
    network.is_blocked = lambda *_: False
    network.run(20)
    assert {*network.states_of("n4").values()} == {ALIVE}


def test_losing_a_third_of_all_datagrams_makes_no_member_gone():
    network = Network(10)
    network.run(10)
    network.is_blocked = lambda *_: network.random.happens(0.3)
    network.run(120)
    gone_changes = [
        change for node in network.nodes.values() for change in node.changes if change[2] == GONE
    ]
    assert not gone_changes


def test_a_planned_leave_is_known_to_all_members_within_seconds():
    network = Network(5)
    network.run(10)
    network.nodes["n1"].member_list.leave()
    network.run(5)
    assert {*network.states_of("n1").values()} == {LEFT}


def test_the_send_rate_of_a_member_does_not_grow_with_the_number_of_members():
    rates = []
    for member_count in (4, 24):
        network = Network(member_count)
        network.run(40)
        before = network.sent_count
        network.run(40)
        rates.append((network.sent_count - before) / member_count)
    assert rates[1] < 1.3 * rates[0]


def test_malformed_messages_are_counted_and_change_no_state():
    network = Network(3)
    network.run(5)
    one, two = network.nodes["n0"].member_list, network.nodes["n1"].member_list
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


def test_replacing_the_member_set_keeps_the_records_of_remaining_members():
    network = Network(4)
    network.run(8)
    member_list = network.nodes["n0"].member_list
    incarnation = member_list.members["n1"].incarnation
    member_list.set_members([("n0", "a"), ("n1", "b"), ("n9", "b")])
    assert (
        sorted(member_list.members) == ["n1", "n9"]
        and member_list.members["n1"].incarnation == incarnation
    )
    assert member_list.state_of("n9") == UNKNOWN and member_list.state_of("n2") == GONE

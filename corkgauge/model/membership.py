"""Fellows at sizes that sockets do not reach: the real companies on one simulated clock.

Owns the simulated way between them. Must never look into a company to decide what happens.
"""

import gc
import resource
import time
from heapq import heappop, heappush
from typing import Any

from corkgauge.eventloop.loop import SECOND
from corkgauge.membership.member_list import ALIVE, GONE, Member, MemberList
from corkgauge.membership.sealing import Key
from corkgauge.testkit.seeded_random import SeededRandom

PERIOD = SECOND // 2
KEY = Key(b"k" * 32)


class Node:
    """One company's host."""

    def __init__(self, net: "Net", name: str) -> None:
        self.net, self.name, self.sent, self.octets, self.alive = net, name, 0, 0, True
        self.company = MemberList(self, name, 1 + net.now, [KEY], net.roll, PERIOD)

    @property
    def now(self) -> int:
        return self.net.now

    def send_datagram(self, name: str, data: bytes) -> None:
        self.sent += 1
        self.octets += len(data)
        other = self.net.nodes.get(name)
        if other is not None and not self.net.chance.within(self.net.loss):
            self.net.call_later(5 + self.net.chance.below(20), other, other.company.handle_datagram, data)

    def call_later(self, delay: int, method: Any, *what: Any) -> None:
        self.net.call_later(delay, self, method, *what)

    def chance(self, below: int) -> int:
        return self.net.chance.below(below)

    def log(self, line: str) -> None:
        pass

    def on_member_changed(self, member: Member, before: int) -> None:
        self.net.wrong_gone += member.state == GONE and self.net.nodes[member.name].alive


class Net:
    """`many` companies; `loss` of all letters are lost."""

    def __init__(self, many: int, loss: float = 0.0) -> None:
        self.now, self.serial, self.loss, self.chance = 0, 0, loss, SeededRandom(many)
        self.events: list[tuple] = []
        self.wrong_gone = 0
        self.roll = [(f"n{n}", f"hall-{n % 4}") for n in range(many)]
        self.nodes: dict[str, Node] = {}
        for name, _ in self.roll:
            self.nodes[name] = Node(self, name)

    def call_later(self, delay: int, node: Node, method: Any, *what: Any) -> None:
        self.serial += 1
        heappush(self.events, (self.now + max(int(delay), 1), self.serial, node, method, what))

    def run(self, seconds: float) -> None:
        until = self.now + int(seconds * SECOND)
        while self.events and self.events[0][0] <= until:
            self.now, _, node, method, what = heappop(self.events)
            if node.alive:
                method(*what)
        self.now = until

    def seen(self, name: str) -> int:
        """How many of the living hold it alive."""
        return sum(
            node.company.state_of(name) == ALIVE for node in self.nodes.values() if node.alive
        )


def measured(many: int) -> dict[str, Any]:
    """Time to a common view after all start at once and after one is killed, letters and octets a second and gateway,
    memory of one company. Simulated; seconds of simulated time but `took`."""
    begun = time.time()
    gc.collect()
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    net = Net(many)
    common = None
    while common is None and net.now < 600 * SECOND:
        net.run(1)
        if all(not node.company.table.unknown_count for node in net.nodes.values()):
            common = net.now / SECOND
    sent, octets, at = _sums(net)
    net.run(20)
    more, heavier, then = _sums(net)
    span = (then - at) / SECOND * many
    dead = net.nodes["n1"]
    dead.alive, died = False, net.now
    while net.seen("n1") and net.now < died + 300 * SECOND:
        net.run(0.5)
    return {
        "fellows": many,
        "common_view_s": common,
        "letters_a_second": round((more - sent) / span, 2),
        "octets_a_second": round((heavier - octets) / span),
        "all_know_of_a_death_s": (net.now - died) / SECOND,
        "living_held_gone": net.wrong_gone,
        "memory_kb_each": round(
            (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / many, 1
        ),
        "took_s": round(time.time() - begun, 1),
    }


def _sums(net: Net) -> tuple[int, int, int]:
    return (
        sum(node.sent for node in net.nodes.values()),
        sum(node.octets for node in net.nodes.values()),
        net.now,
    )

"""Simulates membership at sizes beyond sockets: the real member lists on one simulated clock.

Owns the simulated network between them; never looks into a member list to decide what happens.
"""

import gc
import resource
import time
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from typing import Any, NamedTuple

from corkgauge.eventloop.loop import SECOND
from corkgauge.membership.member_list import ALIVE, GONE, Member, MemberList, MemberState
from corkgauge.membership.sealing import Key
from corkgauge.testkit.seeded_random import SeededRandom

PERIOD_TICKS = SECOND // 2
KEY = Key(b"k" * 32)
ZONES = 4
MIN_LATENCY_TICKS = 5
LATENCY_SPREAD_TICKS = 20
JOIN_LIMIT_SECONDS = 600  # until all are to have a common view
FAILURE_LIMIT_SECONDS = 300  # until all are to know of a failure
STEADY_SECONDS = 20  # over which the traffic at rest is counted


class Event(NamedTuple):
    """A call that is due; the serial keeps the order of those due at once."""

    due: int
    serial: int
    node: "Node"
    method: Callable[..., None]
    arguments: tuple[Any, ...]


class Node:
    """The host of one member list."""

    def __init__(self, network: "Network", name: str) -> None:
        self.network = network
        self.name = name
        self.sent_datagrams = 0
        self.sent_bytes = 0
        self.is_running = True
        self.member_list = MemberList(
            self, name, 1 + network.now, [KEY], network.names_and_zones, PERIOD_TICKS
        )

    @property
    def now(self) -> int:
        """The simulated time in ticks of a tenth of a millisecond."""
        return self.network.now

    def send_datagram(self, name: str, data: bytes) -> None:
        """Send over the simulated network."""
        self.sent_datagrams += 1
        self.sent_bytes += len(data)
        self.network.carry(name, data)

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """Call the method after so many ticks, if this node still runs."""
        self.network.call_later(delay, self, method, *what)

    def random_below(self, below: int) -> int:
        """Draw a number from 0 to below it."""
        return self.network.random.below(below)

    def log(self, line: str) -> None:
        """Drop a line of log."""

    def on_member_changed(self, member: Member, before: MemberState) -> None:
        """Count a running member that is held gone."""
        is_wrong = member.state == GONE and self.network.nodes[member.name].is_running
        self.network.wrongly_gone += is_wrong


class Network:
    """`node_count` nodes on one clock; the share `loss` of all datagrams is lost."""

    def __init__(self, node_count: int, loss: float = 0.0) -> None:
        self.now = 0
        self.loss = loss
        self.random = SeededRandom(node_count)
        self.wrongly_gone = 0  # running members that were held gone
        self.names_and_zones = [
            (f"n{number}", f"hall-{number % ZONES}") for number in range(node_count)
        ]
        self.nodes: dict[str, Node] = {}
        self._events: list[Event] = []
        self._serial = 0
        for name, _ in self.names_and_zones:
            self.nodes[name] = Node(self, name)

    def carry(self, receiver: str, data: bytes) -> None:
        """Bring a datagram to its receiver, some time later, or lose it."""
        node = self.nodes.get(receiver)
        if node is not None and not self.random.within(self.loss):
            latency = MIN_LATENCY_TICKS + self.random.below(LATENCY_SPREAD_TICKS)
            self.call_later(latency, node, node.member_list.handle_datagram, data)

    def call_later(
        self, delay: int, node: Node, method: Callable[..., None], *arguments: Any
    ) -> None:
        """Call the method after so many ticks, if the node still runs."""
        self._serial += 1
        due = self.now + max(int(delay), 1)
        heappush(self._events, Event(due, self._serial, node, method, arguments))

    def run(self, seconds: float) -> None:
        """Let the clock go on."""
        until = self.now + int(seconds * SECOND)
        while self._events and self._events[0].due <= until:
            event = heappop(self._events)
            self.now = event.due
            if event.node.is_running:
                event.method(*event.arguments)
        self.now = until

    def count_holding_alive(self, name: str) -> int:
        """Return how many of the running nodes hold a member alive."""
        return sum(
            node.member_list.state_of(name) == ALIVE
            for node in self.nodes.values()
            if node.is_running
        )

    def has_common_view(self) -> bool:
        """Return whether no member is unknown to any other."""
        return not any(node.member_list.table.unknown_count for node in self.nodes.values())

    def traffic(self) -> "Traffic":
        """Return what all nodes have sent until now."""
        return Traffic(
            self.now,
            sum(node.sent_datagrams for node in self.nodes.values()),
            sum(node.sent_bytes for node in self.nodes.values()),
        )


@dataclass(frozen=True, slots=True)
class Traffic:
    """What all nodes had sent at a time."""

    at: int
    datagrams: int
    octets: int


def measure_membership(node_count: int) -> dict[str, Any]:
    """Run all from their start until one that failed is known to have; return what was seen.

    Time to a common view after all start at once, and after one fails; datagrams and octets a
    second and node; memory of one node. Seconds are simulated, but for `took_s`.
    """
    started_at = time.time()
    gc.collect()
    memory_before = _peak_memory_kb()
    network = Network(node_count)
    common_view_seconds = _run_until_common_view(network)
    before = network.traffic()
    network.run(STEADY_SECONDS)
    after = network.traffic()
    node_seconds = (after.at - before.at) / SECOND * node_count
    failure_seconds = _run_until_failure_known(network, "n1")
    return {
        "fellows": node_count,
        "common_view_s": common_view_seconds,
        "letters_a_second": round((after.datagrams - before.datagrams) / node_seconds, 2),
        "octets_a_second": round((after.octets - before.octets) / node_seconds),
        "all_know_of_a_death_s": failure_seconds,
        "living_held_gone": network.wrongly_gone,
        "memory_kb_each": round((_peak_memory_kb() - memory_before) / node_count, 1),
        "took_s": round(time.time() - started_at, 1),
    }


def _run_until_common_view(network: Network) -> float | None:
    while network.now < JOIN_LIMIT_SECONDS * SECOND:
        network.run(1)
        if network.has_common_view():
            return network.now / SECOND
    return None


def _run_until_failure_known(network: Network, name: str) -> float:
    network.nodes[name].is_running = False
    failed_at = network.now
    limit = failed_at + FAILURE_LIMIT_SECONDS * SECOND
    while network.count_holding_alive(name) and network.now < limit:
        network.run(0.5)
    return (network.now - failed_at) / SECOND


def _peak_memory_kb() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss

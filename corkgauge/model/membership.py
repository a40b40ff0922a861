"""Simulates membership in fleets too large for sockets.

The member lists are those of the program; the clock and the network are simulated. The simulation
must never read a member list to decide what happens.
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
JOIN_LIMIT_SECONDS = 600  # longest wait for a common view
FAILURE_LIMIT_SECONDS = 300  # longest wait until all members know of a failure
STEADY_SECONDS = 20  # period of the measurement of the traffic without changes


class Event(NamedTuple):
    """A scheduled call; the serial keeps the order of calls that are due at the same time."""

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
        self.network.send_datagram(name, data)

    def call_later(self, delay: int, method: Callable[..., None], *arguments: Any) -> None:
        """Call the method after `delay` ticks, if this node is running then."""
        self.network.call_later(delay, self, method, *arguments)

    def random_below(self, limit: int) -> int:
        """Return a random number from 0 to `limit` - 1."""
        return self.network.random.below(limit)

    def log(self, line: str) -> None:
        """Discard the log line."""

    def on_member_changed(self, member: Member, before: MemberState) -> None:
        """Count a running member that is considered gone."""
        is_wrong = member.state == GONE and self.network.nodes[member.name].is_running
        self.network.wrongly_gone_count += is_wrong


class Network:
    """Simulates `node_count` nodes; the fraction `loss` of all datagrams is lost."""

    def __init__(self, node_count: int, loss: float = 0.0) -> None:
        self.now = 0
        self.loss = loss
        self.random = SeededRandom(node_count)
        self.wrongly_gone_count = 0  # running members that were considered gone
        self.names_and_zones = [
            (f"n{number}", f"hall-{number % ZONES}") for number in range(node_count)
        ]
        self.nodes: dict[str, Node] = {}
        self._events: list[Event] = []
        self._serial = 0
        for name, _ in self.names_and_zones:
            self.nodes[name] = Node(self, name)

    def send_datagram(self, receiver: str, data: bytes) -> None:
        """Deliver a datagram after the latency of the network, or lose it."""
        node = self.nodes.get(receiver)
        if node is not None and not self.random.happens(self.loss):
            latency = MIN_LATENCY_TICKS + self.random.below(LATENCY_SPREAD_TICKS)
            self.call_later(latency, node, node.member_list.handle_datagram, data)

    def call_later(
        self, delay: int, node: Node, method: Callable[..., None], *arguments: Any
    ) -> None:
        """Call the method after `delay` ticks, if the node is running then."""
        self._serial += 1
        due = self.now + max(int(delay), 1)
        heappush(self._events, Event(due, self._serial, node, method, arguments))

    def run(self, seconds: float) -> None:
        """Simulate this many seconds."""
        until = self.now + int(seconds * SECOND)
        while self._events and self._events[0].due <= until:
            event = heappop(self._events)
            self.now = event.due
            if event.node.is_running:
                event.method(*event.arguments)
        self.now = until

    def count_holding_alive(self, name: str) -> int:
        """Return the number of running nodes that consider the member alive."""
        return sum(
            node.member_list.state_of(name) == ALIVE
            for node in self.nodes.values()
            if node.is_running
        )

    def has_common_view(self) -> bool:
        """Return whether all nodes know all members."""
        return not any(node.member_list.table.unknown_count for node in self.nodes.values())

    def traffic(self) -> "Traffic":
        """Return the traffic of all nodes up to the current time."""
        return Traffic(
            self.now,
            sum(node.sent_datagrams for node in self.nodes.values()),
            sum(node.sent_bytes for node in self.nodes.values()),
        )


@dataclass(frozen=True, slots=True)
class Traffic:
    """Datagrams and octets that all nodes had sent at a time."""

    at: int
    datagrams: int
    octets: int


def measure_membership(node_count: int) -> dict[str, Any]:
    """Simulate a fleet from its start until a failure of one member is known; return the figures.

    The figures are the time to a common view after a simultaneous start, the time until all know
    of the failure, datagrams and octets per second and node, and the memory per node. All times are
    simulated, except `took_s`, the real duration of the simulation.
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
        "living_held_gone": network.wrongly_gone_count,
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

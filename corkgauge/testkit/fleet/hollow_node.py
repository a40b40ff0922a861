"""Runs hollow members: gateways with their fleet subsystems, without serving requests.

Owns one member's authenticated datagrams on a loopback socket, its timers and its counters. The
subsystems are those of the program (membership, leases, maintenance and peer health); the host has
no clients, no queues and no connections to engines. Never decides anything for the subsystems,
never changes a time limit of theirs, and sends to loopback addresses only.
"""

import json
import socket
import time
from collections import Counter, deque
from collections.abc import Callable
from struct import unpack_from
from types import SimpleNamespace
from typing import Any

from corkgauge.accounting.ledger import RequestLedger
from corkgauge.config.operator_file import (
    LeaseConfig,
    MaintenanceConfig,
    MembershipConfig,
    PeerHealthConfig,
)
from corkgauge.config.settings import Settings
from corkgauge.eventloop.loop import SECOND, EventLoop
from corkgauge.leases.service import LeaseService
from corkgauge.maintenance.service import MaintenanceService
from corkgauge.membership.member_list import ALIVE, SUSPECTED, UNKNOWN, Member, MemberState
from corkgauge.membership.service import MembershipService
from corkgauge.peer_health.service import PeerHealthService
from corkgauge.testkit.fleet.day import settings

KEY = b"hollow workload managers, no secret"
MESSAGE_KINDS = "hello", "back", "ask", "answer", "ask_for", "deaf", "ask_all", "tell", "call"
SO_TIMESTAMPNS = 35  # asm-generic/socket.h: socket option for receive times, socket(7)
MAX_RECORDED_ARRIVALS = 200_000  # per socket; older ones are dropped
ELEMENTS = "duties", "works", "shared"


class CountingSocket:
    """A member's bound socket, which counts datagrams and drops those to other groups of ports.

    The socket outlives the member, so that a restarted member uses the same port. `arrival_times`
    holds the receive time of each datagram, in ticks of the wall clock.
    """

    def __init__(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        self.out, self.octets_out, self.got, self.octets_in, self.withheld = 0, 0, 0, 0, 0
        self.arrival_times: deque[int] | None = None
        self.group, self.groups = (
            0,
            dict[int, int](),
        )  # group of this port, and groups of the ports that are not in group 0

    def record_arrivals(self) -> None:
        """Start recording when the kernel receives each datagram."""
        self.sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        self.arrival_times = deque(maxlen=MAX_RECORDED_ARRIVALS)

    def fileno(self) -> int:
        """Return the file descriptor of the socket."""
        return self.sock.fileno()

    def close(self) -> None:
        """Do nothing: the socket stays open when its member ends, to keep the port."""

    def discard_received(self) -> None:
        """Discard datagrams that arrived while no member ran.

        Otherwise a restarted member would process them.
        """
        try:
            while True:
                self.sock.recv(1)
        except BlockingIOError:
            pass

    def recv(self, max_bytes: int) -> bytes:
        """Receive and count a datagram."""
        if self.arrival_times is None:
            data = self.sock.recv(max_bytes)
        else:
            data, ancillary_data, *_ = self.sock.recvmsg(max_bytes, 64)
            for _, _, timestamp in ancillary_data:
                seconds, nanoseconds = unpack_from("qq", timestamp)
                self.arrival_times.append(seconds * SECOND + nanoseconds // 100_000)
        self.got += 1
        self.octets_in += len(data)
        return data

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send and count a datagram, unless the port belongs to another group."""
        if self.groups.get(address[1], 0) != self.group:
            self.withheld += 1
            return
        self.out += 1
        self.octets_out += len(data)
        self.sock.sendto(data, address)

    def take_max_burst(self, span: int) -> int:
        """Return the most recorded datagrams within `span` ticks, and clear the record."""
        most, first, times = 0, 0, sorted(self.arrival_times or ())
        for n, arrival in enumerate(times):
            while times[first] <= arrival - span:
                first += 1
            most = max(most, n + 1 - first)
        if self.arrival_times is not None:
            self.arrival_times.clear()
        return most


class MemberEventLoop:
    """The event loop as one member uses it.

    No timer of the member runs once it is lost. `spent` sums the processor time of the member's
    timers and tasks, in nanoseconds.
    """

    def __init__(self, event_loop: EventLoop) -> None:
        self.event_loop, self.lost, self.spent, self.running_since = event_loop, False, 0, 0
        self.date, self.clock_offset = event_loop.date, event_loop.clock_offset

    @property
    def now(self) -> int:
        """Return the time of the event loop, in ticks."""
        return self.event_loop.now

    def call_later(self, delay: int, method: Callable[..., None], *arguments: Any) -> None:
        """Call the method after `delay` ticks, unless the member is lost by that time."""
        self.event_loop.call_later(delay, self._run, method, arguments)

    def _run(self, method: Callable[..., None], arguments: tuple) -> None:
        if self.lost:
            return
        started_at = time.thread_time_ns()
        try:
            method(*arguments)
        finally:
            self.spent += time.thread_time_ns() - started_at

    def spawn(self, method: Callable[..., None], *arguments: Any) -> None:
        """Start a task of the member."""
        self.running_since = time.thread_time_ns()
        self.event_loop.spawn(method, *arguments)

    def wait(self, fd: int, mask: int, until: int | None = None) -> int:
        """Park the task until the descriptor is ready; adds the time it ran before to `spent`."""
        self.spent += time.thread_time_ns() - self.running_since if self.running_since else 0
        found = self.event_loop.wait(fd, mask, until)
        self.running_since = time.thread_time_ns()
        return found

    def wake(self, fd: int, events: int = 0) -> None:
        """Resume the task that waits for this descriptor."""
        self.event_loop.wake(fd, events)

    def on_exception(self) -> None:
        """Report the current exception to the event loop."""
        self.event_loop.on_exception()


class HollowHost:
    """The host of the fleet subsystems of a member that serves no requests."""

    def __init__(
        self,
        member_event_loop: MemberEventLoop,
        counting_socket: CountingSocket,
        platform_config: Any,
        log: Callable[[str], None],
    ) -> None:
        self.event_loop, self.counting_socket, self.log, self.routes = (
            member_event_loop,
            counting_socket,
            log,
            {},
        )
        self.engine_pools: dict[str, Any] = {}
        self.open_requests: dict[str, Any] = {}
        self.maintenance: Any = None
        self.settings = Settings(platform_config.settings, self, platform_config.seed)
        self.gateway = self.settings.gateway
        self.request_classes = {each.name: each for each in self.settings.request_classes}
        self.ledger = RequestLedger(
            self.request_classes, lambda: member_event_loop.now, self.settings.retry_budget
        )

    @property
    def now(self) -> int:
        """Return the time of the event loop, in ticks."""
        return self.event_loop.now

    lag = 0

    def call_later(self, delay: int, method: Callable[..., None], *arguments: Any) -> None:
        """Do nothing: without requests, the timers of the policy module are not needed."""


class HollowMembership(MembershipService):
    """The program's membership service on an existing socket; counts the changes of states."""

    def _bind(self, config: MembershipConfig) -> None:
        self.sock = self.socket_host.counting_socket
        self.became = Counter[str]()
        self.not_alive_count = len(config.members) - 1  # members not held alive
        self.all_alive_since = 0  # when the last of them became alive

    def on_member_changed(self, member: Member, previous_state: MemberState) -> None:
        """Count a change of a member's state, and pass it on."""
        self.became[f"{previous_state.label} {member.state.label}"] += 1
        self.not_alive_count += (previous_state == ALIVE) - (member.state == ALIVE)
        if not self.not_alive_count:
            self.all_alive_since = self.event_loop.now
        super().on_member_changed(member, previous_state)


class VoterOnlyLeaseService(LeaseService):
    """The lease service of a dedicated voter, which is never a candidate."""

    def is_wanted(self, lease: str) -> bool:
        """Return False: this member wants no lease."""
        return False


class HollowMember:
    """A hollow member, or a dedicated voter.

    Args:
        event_loop: The event loop, shared by the members of a process.
        name: The name of the member.
        counting_socket: The socket of the member.
        roster: All members, as the JSON text of [[name, port, zone], ...].
        voters: The names of the voters.
        number: A number of the member, for the seeds of random numbers.
        elements: The subsystems to run, as elements of the operator file.
        on_log_line: Called with each log line.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        name: str,
        counting_socket: CountingSocket,
        roster: str,
        voters: tuple[str, ...],
        number: int,
        elements: tuple[str, ...] = ELEMENTS,
        on_log_line: Callable[[str], None] | None = None,
    ) -> None:
        self.name, self.counting_socket, self.member_event_loop = (
            name,
            counting_socket,
            MemberEventLoop(event_loop),
        )
        self.kinds_out, self.octets_by, self.kinds_in = (
            Counter[str](),
            Counter[str](),
            Counter[str](),
        )
        self.changes: list[dict[str, Any]] = []
        # Decoded for each member, because in operation each process holds its own roster.
        members = tuple(
            (each, ("127.0.0.1", port), zone) for each, port, zone in json.loads(roster)
        )
        counting_socket.discard_received()
        platform_config = SimpleNamespace(
            name=name,
            seed=number * 7919 + event_loop.now % 7919,
            settings=settings() | {"instances": max(len(members) - len(voters), 1), "myNumber": 0},
        )
        socket_host = HollowHost(
            self.member_event_loop,
            counting_socket,
            platform_config,
            on_log_line or (lambda line: None),
        )
        self.membership = HollowMembership(
            socket_host, platform_config, MembershipConfig((KEY,), members, None, SECOND // 2)
        )
        member_list = self.membership.member_list
        self._count_messages(member_list.codec)
        self.lease_service: LeaseService | None = None
        self.maintenance_service: MaintenanceService | None = None
        self.peer_health_service: PeerHealthService | None = None
        if "duties" in elements:  # with the default times of an operator file
            lease_config = LeaseConfig(
                1,
                voters,
                (("books", "books", 5 * SECOND),),
                5 * SECOND,
                5 * SECOND,
                SECOND // 4,
                0.01,
                "",
            )
            self.lease_service = (VoterOnlyLeaseService if name in voters else LeaseService)(
                socket_host, platform_config, lease_config, self.membership
            )
        if "works" in elements and self.lease_service is not None:
            self.maintenance_service = MaintenanceService(
                socket_host,
                platform_config,
                MaintenanceConfig(
                    (4, 0.25, 0.5, 0.5, 0.7, 1, 1), (), SECOND // 2, 5 * SECOND, SECOND
                ),
                self.membership,
                self.lease_service,
            )
        if "shared" in elements:
            self.peer_health_service = PeerHealthService(
                socket_host, platform_config, PeerHealthConfig(SECOND // 4, 8_000), self.membership
            )
        if name in voters and self.lease_service is not None:
            for holder in self.lease_service.candidates.values():
                holder.set_wanted(False)

    def _count_messages(self, codec: Any) -> None:
        """Count datagrams by kind, and calls of subsystems by their subject."""
        encode, decode = codec.encode, codec.decode

        def counting_encode(to: str, kind_number: int, body: Any, known_as: int = 0) -> bytes:
            data = encode(to, kind_number, body, known_as)
            kind = body[0] if MESSAGE_KINDS[kind_number] == "call" else MESSAGE_KINDS[kind_number]
            self.kinds_out[kind] += 1
            self.octets_by[kind] += len(data)
            return data

        def counting_decode(data: bytes, now: int) -> Any:
            message = decode(data, now)
            if message is not None:
                kind_number, body = message[1:]
                self.kinds_in[
                    body[0] if MESSAGE_KINDS[kind_number] == "call" else MESSAGE_KINDS[kind_number]
                ] += 1
            return message

        codec.encode, codec.decode = counting_encode, counting_decode

    def end(self) -> None:
        """End as at a restart of the program: hand leases over, and notify some members."""
        if self.lease_service is not None:
            self.lease_service.leave()
            self.lease_service.end()
        self.membership.end()
        self.lose()

    def lose(self) -> None:
        """Stop at once, as if the machine failed: send nothing more, and run no timers."""
        self.member_event_loop.lost = True
        self.membership.sock = None
        self.member_event_loop.wake(self.counting_socket.fileno())

    def learn_incarnations(self, incarnations: dict[str, int]) -> None:
        """Learn the incarnations of all members, with no gossip left to send.

        This is the state of a fleet some hours after the start of all members.
        """
        member_list = self.membership.member_list
        for name, incarnation in incarnations.items():
            if name != self.name:
                member_list.codec.learn_incarnation(name, incarnation)
        member_list.local.has_joined = True
        member_list.gossip.updates.clear()

    # Queries of the process.

    def unknown(self) -> int:
        """Return the number of members that are not held alive."""
        return self.membership.not_alive_count

    def holds(self, names: list[str], alive: bool) -> bool:
        """Return whether this member holds all these others alive, or all gone.

        A member counts as gone if it is neither alive, suspected nor unknown.
        """
        members = self.membership.member_list.members
        if alive:
            return all(members[name].state == ALIVE for name in names if name in members)
        return not any(
            members[name].state in (ALIVE, SUSPECTED, UNKNOWN) for name in names if name in members
        )

    def duties(self) -> list[str]:
        """Return the leases under which this member may act now."""
        return (
            []
            if self.lease_service is None
            else [each.lease for each in self.lease_service.candidates.values() if each.may_act()]
        )

    def counters(self) -> dict[str, Any]:
        """Return the counters of this member."""
        counting_socket, member_list = self.counting_socket, self.membership.member_list
        return {
            "out": counting_socket.out,
            "octets_out": counting_socket.octets_out,
            "in": counting_socket.got,
            "octets_in": counting_socket.octets_in,
            "held_back": counting_socket.withheld,
            "words": len(member_list.gossip.updates),
            "spent": self.member_event_loop.spent,
            "unknown": self.unknown(),
            "duties": self.duties(),
            "kinds_out": dict(self.kinds_out),
            "octets_by": dict(self.octets_by),
            "kinds_in": dict(self.kinds_in),
            "became": dict(self.membership.became),
            "refused": dict(member_list.codec.counts),
            "health": member_list.local.health,
            "late": member_list.counts["late ourselves"],
            "unsent": self.membership.unsent,
            "overloaded": self.lease_service is not None and self.lease_service.is_overloaded,
            "changes": [] if self.lease_service is None else self.lease_service.changes[-20:],
            "books": self._books(),
        }

    def _books(self) -> list[dict[str, Any]]:
        collector = (
            self.lease_service.collectors.get("books") if self.lease_service is not None else None
        )
        return (
            []
            if collector is None
            else [
                {
                    key: entry[key]
                    for key in ("fence", "number", "gateways", "missing_count", "wrong", "at")
                }
                for entry in [*collector.history.entries][-3:]
            ]
        )


def resident_mb() -> float:
    """Return the resident memory of this process in MB (proc(5), statm)."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4096 / 2**20


def dropped() -> dict[int, int]:
    """Return the datagrams dropped for a full buffer by port (proc(5), net/udp, last column)."""
    with open("/proc/net/udp") as file:
        rows = [line.split() for line in file.readlines()[1:]]
    return {int(row[1].rpartition(":")[2], 16): int(row[12]) for row in rows}

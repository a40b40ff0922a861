"""Hollow workload managers: what several of them are to each other, without what serves.

Owns one member's sealed datagrams on a loopback socket, its timers and its counters. The objects
are those of service (Society, Office, Yard, Exchange); the house beside them has no clients, no
queues and no links to engines. Must never decide anything for them, never stretch a span of theirs,
and never send to any address but loopback ones.
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
SO_TIMESTAMPNS = 35  # asm-generic/socket.h: when the kernel had a datagram, socket(7)
MAX_RECORDED_ARRIVALS = 200_000  # arrivals that a voter's wire remembers
ELEMENTS = "duties", "works", "shared"


class CountingSocket:
    """A member's bound socket, with a count of what passes and a filter on whom it reaches. It outlives the member, so
    that a restart finds the same port; `noted` keeps when each datagram came, tenths of a
    millisecond of the date.
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
        )  # of this port; of those ports that are in another group

    def record_arrivals(self) -> None:
        """From now on it keeps when the kernel had each datagram."""
        self.sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        self.arrival_times = deque(maxlen=MAX_RECORDED_ARRIVALS)

    def fileno(self) -> int:
        return self.sock.fileno()

    def close(self) -> None:
        """The member has ended; the port stays ours."""

    def discard_received(self) -> None:
        """Danger: what came while nobody was there would meet the next start of the member."""
        try:
            while True:
                self.sock.recv(1)
        except BlockingIOError:
            pass

    def recv(self, most: int) -> bytes:
        if self.arrival_times is None:
            data = self.sock.recv(most)
        else:
            data, beside, *_ = self.sock.recvmsg(most, 64)
            for _, _, stamp in beside:
                seconds, rest = unpack_from("qq", stamp)
                self.arrival_times.append(seconds * SECOND + rest // 100_000)
        self.got += 1
        self.octets_in += len(data)
        return data

    def sendto(self, data: bytes, where: tuple[str, int]) -> None:
        if self.groups.get(where[1], 0) != self.group:
            self.withheld += 1
            return
        self.out += 1
        self.octets_out += len(data)
        self.sock.sendto(data, where)

    def take_max_burst(self, span: int) -> int:
        """Most datagrams that came within `span` tenths of a millisecond, of those noted; and forgets them."""
        most, first, noted = 0, 0, sorted(self.arrival_times or ())
        for n, when in enumerate(noted):
            while noted[first] <= when - span:
                first += 1
            most = max(most, n + 1 - first)
        if self.arrival_times is not None:
            self.arrival_times.clear()
        return most


class MemberEventLoop:
    """A hub as one member sees it: once the member is lost none of its timers runs, and the processor time of what
    does run is added up (nanoseconds).
    """

    def __init__(self, event_loop: EventLoop) -> None:
        self.event_loop, self.lost, self.spent, self.mark = event_loop, False, 0, 0
        self.date, self.clock_offset = event_loop.date, event_loop.clock_offset

    @property
    def now(self) -> int:
        return self.event_loop.now

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        self.event_loop.call_later(delay, self._run, method, what)

    def _run(self, method: Callable[..., None], what: tuple) -> None:
        if self.lost:
            return
        begun = time.thread_time_ns()
        try:
            method(*what)
        finally:
            self.spent += time.thread_time_ns() - begun

    def spawn(self, method: Callable[..., None], *what: Any) -> None:
        self.mark = time.thread_time_ns()
        self.event_loop.spawn(method, *what)

    def wait(self, fd: int, mask: int, until: int | None = None) -> int:
        self.spent += time.thread_time_ns() - self.mark if self.mark else 0
        found = self.event_loop.wait(fd, mask, until)
        self.mark = time.thread_time_ns()
        return found

    def wake(self, fd: int, events: int = 0) -> None:
        self.event_loop.wake(fd, events)

    def on_exception(self) -> None:
        self.event_loop.on_exception()


class HollowHost:
    """What a serving host is to the subsystems of several processes, with nothing to serve."""

    def __init__(
        self,
        member_event_loop: MemberEventLoop,
        wire: CountingSocket,
        platform_config: Any,
        log: Callable[[str], None],
    ) -> None:
        self.event_loop, self.wire, self.log, self.routes = member_event_loop, wire, log, {}
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
        return self.event_loop.now

    lag = 0

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """The module's own timers: nothing is served, so nothing of it runs."""


class HollowMembership(MembershipService):
    """The society of service, on a socket that was bound before; who became what is noted."""

    def _bind(self, said: MembershipConfig) -> None:
        self.sock = self.socket_host.wire
        self.became = Counter[str]()
        self.short = len(said.members) - 1  # members that it does not hold alive
        self.settled = 0  # when that came to be none

    def on_member_changed(self, member: Member, before: MemberState) -> None:
        self.became[f"{before.label} {member.state.label}"] += 1
        self.short += (before == ALIVE) - (member.state == ALIVE)
        if not self.short:
            self.settled = self.event_loop.now
        super().on_member_changed(member, before)


class VoterOnlyLeaseService(LeaseService):
    """On a machine set aside: it votes, and stands for nothing."""

    def is_wanted(self, lease: str) -> bool:
        return False


class HollowMember:
    """One hollow workload manager, or one voter on a machine set aside. `roster` is JSON, [[name, port, zone], ...];
    `elements` of those that an operator file may have.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        name: str,
        wire: CountingSocket,
        roster: str,
        voters: tuple[str, ...],
        number: int,
        elements: tuple[str, ...] = ELEMENTS,
        lines: Callable[[str], None] | None = None,
    ) -> None:
        self.name, self.wire, self.member_event_loop = name, wire, MemberEventLoop(event_loop)
        self.kinds_out, self.octets_by, self.kinds_in = (
            Counter[str](),
            Counter[str](),
            Counter[str](),
        )
        self.changes: list[dict[str, Any]] = []
        # Read anew for each: in service each process holds its own roster.
        members = tuple(
            (each, ("127.0.0.1", port), zone) for each, port, zone in json.loads(roster)
        )
        wire.discard_received()
        platform_config = SimpleNamespace(
            name=name,
            seed=number * 7919 + event_loop.now % 7919,
            settings=settings() | {"instances": max(len(members) - len(voters), 1), "myNumber": 0},
        )
        socket_host = HollowHost(
            self.member_event_loop, wire, platform_config, lines or (lambda line: None)
        )
        self.membership = HollowMembership(
            socket_host, platform_config, MembershipConfig((KEY,), members, None, SECOND // 2)
        )
        member_list = self.membership.member_list
        self._count_messages(member_list.codec)
        self.lease_service: LeaseService | None = None
        self.maintenance_service: MaintenanceService | None = None
        self.peer_health_service: PeerHealthService | None = None
        if "duties" in elements:  # spans as an operator file that names none has them
            said = LeaseConfig(
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
                socket_host, platform_config, said, self.membership
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
        """By sort, and by subject where another subsystem sends."""
        write, opened = codec.encode, codec.decode

        def written(to: str, sort: int, body: Any, known_as: int = 0) -> bytes:
            data = write(to, sort, body, known_as)
            kind = body[0] if MESSAGE_KINDS[sort] == "call" else MESSAGE_KINDS[sort]
            self.kinds_out[kind] += 1
            self.octets_by[kind] += len(data)
            return data

        def read(data: bytes, now: int) -> Any:
            found = opened(data, now)
            if found is not None:
                sort, body = found[1:]
                self.kinds_in[
                    body[0] if MESSAGE_KINDS[sort] == "call" else MESSAGE_KINDS[sort]
                ] += 1
            return found

        codec.encode, codec.decode = written, read

    def end(self) -> None:
        """In order, as a restart of the program does: duties are handed over, a few are told."""
        if self.lease_service is not None:
            self.lease_service.leave()
            self.lease_service.end()
        self.membership.end()
        self.lose()

    def lose(self) -> None:
        """The machine is gone: nothing more is said, nothing is done."""
        self.member_event_loop.lost = True
        self.membership.sock = None
        self.member_event_loop.wake(self.wire.fileno())

    def told(self, starts: dict[str, int]) -> None:
        """All members' starts at once, with nothing left to pass on: as hours after the start of all."""
        member_list = self.membership.member_list
        for name, start in starts.items():
            if name != self.name:
                member_list.codec.learn_incarnation(name, start)
        member_list.local.has_joined = True
        member_list.gossip.updates.clear()

    # What a coordinator may ask.

    def unknown(self) -> int:
        """Members that it does not hold alive."""
        return self.membership.short

    def holds(self, names: list[str], alive: bool) -> bool:
        """Are all of these, but ourselves, alive (or none of them, not even suspected) by its view?"""
        members = self.membership.member_list.members
        if alive:
            return all(members[name].state == ALIVE for name in names if name in members)
        return not any(
            members[name].state in (ALIVE, SUSPECTED, UNKNOWN) for name in names if name in members
        )

    def duties(self) -> list[str]:
        return (
            []
            if self.lease_service is None
            else [each.lease for each in self.lease_service.candidates.values() if each.may_act()]
        )

    def counters(self) -> dict[str, Any]:
        wire, member_list = self.wire, self.membership.member_list
        return {
            "out": wire.out,
            "octets_out": wire.octets_out,
            "in": wire.got,
            "octets_in": wire.octets_in,
            "held_back": wire.withheld,
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
        clerk = (
            self.lease_service.collectors.get("books") if self.lease_service is not None else None
        )
        return (
            []
            if clerk is None
            else [
                {
                    key: entry[key]
                    for key in ("fence", "number", "gateways", "missing_count", "wrong", "at")
                }
                for entry in [*clerk.history.entries][-3:]
            ]
        )


def resident_mb() -> float:
    """Of this process, MB (proc(5), statm)."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4096 / 2**20


def dropped() -> dict[int, int]:
    """By port: datagrams that found a full buffer (proc(5), net/udp, last column)."""
    with open("/proc/net/udp") as file:
        rows = [line.split() for line in file.readlines()[1:]]
    return {int(row[1].rpartition(":")[2], 16): int(row[12]) for row in rows}

"""Fellows of one program: the socket, the timers and what operators see of them.

Owns the datagram socket and the addresses. Must never decide who is alive, and never hold up the loop: what
comes is read a few datagrams at a time, and what the socket does not take is lost, as any datagram may be.
"""

import errno
import socket
from collections.abc import Callable
from struct import pack
from typing import Any
from zlib import crc32

from corkgauge.config.operator_file import MembershipConfig
from corkgauge.config.platform import ConfigurationError, PlatformConfig
from corkgauge.eventloop.loop import READ, SECOND
from corkgauge.membership.datagrams import LARGEST, Key
from corkgauge.membership.member_list import STATES, Member, MemberList

AT_ONCE = 32  # datagrams that are read in a row, before others have their turn


class MembershipService:
    """`house` has `hub`, `log` and `routes`."""

    def __init__(
        self, socket_host: Any, platform_config: PlatformConfig, said: MembershipConfig
    ) -> None:
        self.socket_host, self.event_loop, self.name, self.said = (
            socket_host,
            socket_host.event_loop,
            platform_config.name,
            said,
        )
        self.seed, self.drawn, self.unsent = platform_config.seed, 0, 0
        self.addresses: dict[str, tuple[str, int]] = {}
        self.sock: Any = None
        self._bind(said)
        self._arrange(said)
        start = (
            self.event_loop.now // 10 << 12
            | crc32(pack("<QQ", self.seed, self.event_loop.now)) & 0xFFF
        )
        self.member_list = MemberList(
            self,
            self.name,
            start,
            [Key(each) for each in said.keys],
            [(name, zone) for name, _, zone in said.members],
            said.period,
        )
        socket_host.routes[b"GET", b"/fellows"] = self.told
        self.event_loop.spawn(self._read, self.sock)

    def reload(self, said: MembershipConfig) -> None:
        """Other fellows, keys or addresses; Faulty, and nothing is changed, where ours is not among them."""
        self._named(said)
        if (said.listen, said.period) != (self.said.listen, self.said.period):
            self.socket_host.log(
                "operator file: fellows listen or period changed, in force after a restart"
            )
        self._arrange(said)
        self.member_list.named([(name, zone) for name, _, zone in said.members])
        self.member_list.locked([Key(each) for each in said.keys])
        self.said = said

    def end(self) -> None:
        self.member_list.leave()
        sock, self.sock = self.sock, None
        self.event_loop.wake(sock.fileno())
        sock.close()

    def _named(self, said: MembershipConfig) -> tuple[str, int]:
        """Our own address among the fellows."""
        where = {name: address for name, address, _ in said.members}.get(self.name)
        if where is None:
            raise ConfigurationError(f"fellows: expected {self.name!r}, our own name, among them")
        return where

    def _bind(self, said: MembershipConfig) -> None:
        where = said.listen or self._named(said)
        self.sock = socket.socket(
            socket.AF_INET6 if ":" in where[0] else socket.AF_INET, socket.SOCK_DGRAM
        )
        self.sock.setblocking(False)
        try:
            # Danger: two programs under one name would each answer for the other; the second gets no address.
            self.sock.bind(where)
        except OSError as problem:
            self.sock.close()
            raise ConfigurationError(
                f"fellows: {where[0]}:{where[1]}: {problem.strerror}"
            ) from None

    def _arrange(self, said: MembershipConfig) -> None:
        self._named(said)
        self.addresses = {name: address for name, address, _ in said.members}

    def _read(self, sock: Any) -> None:
        while self.sock is sock:
            self.event_loop.wait(sock.fileno(), READ)
            for _ in range(AT_ONCE):
                if self.sock is not sock:
                    return
                try:
                    data = sock.recv(LARGEST + 1)
                except BlockingIOError:
                    break
                except OSError:
                    continue  # what came back of a datagram of ours: its fellow does not listen
                try:
                    self.member_list.came(data)
                except Exception:  # Danger: one datagram must not end the reading of all others
                    self.event_loop.troubled()

    # What the company may do.

    @property
    def now(self) -> int:
        return self.event_loop.now

    def send_datagram(self, name: str, data: bytes) -> None:
        try:
            self.sock.sendto(data, self.addresses[name])
        except OSError as problem:
            if problem.errno not in (errno.ECONNREFUSED,):
                self.unsent += 1

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        self.event_loop.call_later(delay, method, *what)

    def chance(self, below: int) -> int:
        self.drawn += 1
        return crc32(pack("<QQ", self.seed, self.drawn)) * below >> 32

    def log(self, line: str) -> None:
        self.socket_host.log(line)

    def changed(self, member: Member, before: int) -> None:
        self.socket_host.log(
            f"fellow {member.name} {STATES[member.state]}, was {STATES[before]}: {member.why}"
        )

    # Figures.

    def told(self, asked: bytes = b"") -> dict[str, Any]:
        """For operators: our view of each, and the counters. Spans are seconds."""
        member_list, now = self.member_list, self.event_loop.now
        return {
            "name": self.name,
            "hall": member_list.zone,
            "start": member_list.letters.start,
            "health": member_list.health,
            "fellows": {
                each.name: {
                    "state": STATES[each.state],
                    "hall": each.zone,
                    "why": each.why,
                    "for": (now - each.since) / SECOND if each.since else None,
                    "heard": (now - each.heard) / SECOND if each.heard else None,
                    "start": each.start,
                    "turn": each.turn,
                }
                for each in sorted(member_list.members.values(), key=lambda each: each.name)
            },
            "counters": {
                **member_list.counts,
                "unsent": self.unsent,
                **{f"letters {why}": count for why, count in member_list.letters.counts.items()},
            },
        }

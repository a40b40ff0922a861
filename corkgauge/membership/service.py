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

from corkgauge.config.platform import ConfigurationError, PlatformConfig
from corkgauge.membership.member_list import STATES, MemberList, Member
from corkgauge.membership.datagrams import LARGEST, Key
from corkgauge.eventloop.loop import READ, SECOND
from corkgauge.config.operator_file import Fellows

AT_ONCE = 32  # datagrams that are read in a row, before others have their turn


class MembershipService:
    """`house` has `hub`, `log` and `routes`."""

    def __init__(self, house: Any, post: PlatformConfig, said: Fellows) -> None:
        self.house, self.hub, self.name, self.said = house, house.hub, post.name, said
        self.seed, self.drawn, self.unsent = post.seed, 0, 0
        self.addresses: dict[str, tuple[str, int]] = {}
        self.sock: Any = None
        self._bind(said)
        self._arrange(said)
        start = self.hub.now // 10 << 12 | crc32(pack("<QQ", self.seed, self.hub.now)) & 0xFFF
        self.company = MemberList(
            self,
            self.name,
            start,
            [Key(each) for each in said.keys],
            [(name, hall) for name, _, hall in said.fellows],
            said.period,
        )
        house.routes[b"GET", b"/fellows"] = self.told
        self.hub.spawn(self._read, self.sock)

    def reload(self, said: Fellows) -> None:
        """Other fellows, keys or addresses; Faulty, and nothing is changed, where ours is not among them."""
        self._named(said)
        if (said.listen, said.period) != (self.said.listen, self.said.period):
            self.house.log(
                "operator file: fellows listen or period changed, in force after a restart"
            )
        self._arrange(said)
        self.company.named([(name, hall) for name, _, hall in said.fellows])
        self.company.locked([Key(each) for each in said.keys])
        self.said = said

    def end(self) -> None:
        self.company.leave()
        sock, self.sock = self.sock, None
        self.hub.wake(sock.fileno())
        sock.close()

    def _named(self, said: Fellows) -> tuple[str, int]:
        """Our own address among the fellows."""
        where = {name: address for name, address, _ in said.fellows}.get(self.name)
        if where is None:
            raise ConfigurationError(f"fellows: expected {self.name!r}, our own name, among them")
        return where

    def _bind(self, said: Fellows) -> None:
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

    def _arrange(self, said: Fellows) -> None:
        self._named(said)
        self.addresses = {name: address for name, address, _ in said.fellows}

    def _read(self, sock: Any) -> None:
        while self.sock is sock:
            self.hub.wait(sock.fileno(), READ)
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
                    self.company.came(data)
                except Exception:  # Danger: one datagram must not end the reading of all others
                    self.hub.troubled()

    # What the company may do.

    @property
    def now(self) -> int:
        return self.hub.now

    def post(self, name: str, data: bytes) -> None:
        try:
            self.sock.sendto(data, self.addresses[name])
        except OSError as problem:
            if problem.errno not in (errno.ECONNREFUSED,):
                self.unsent += 1

    def wake(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        self.hub.later(delay, method, *what)

    def chance(self, below: int) -> int:
        self.drawn += 1
        return crc32(pack("<QQ", self.seed, self.drawn)) * below >> 32

    def log(self, line: str) -> None:
        self.house.log(line)

    def changed(self, fellow: Member, before: int) -> None:
        self.house.log(
            f"fellow {fellow.name} {STATES[fellow.state]}, was {STATES[before]}: {fellow.why}"
        )

    # Figures.

    def told(self, asked: bytes = b"") -> dict[str, Any]:
        """For operators: our view of each, and the counters. Spans are seconds."""
        company, now = self.company, self.hub.now
        return {
            "name": self.name,
            "hall": company.hall,
            "start": company.letters.start,
            "health": company.health,
            "fellows": {
                each.name: {
                    "state": STATES[each.state],
                    "hall": each.hall,
                    "why": each.why,
                    "for": (now - each.since) / SECOND if each.since else None,
                    "heard": (now - each.heard) / SECOND if each.heard else None,
                    "start": each.start,
                    "turn": each.turn,
                }
                for each in sorted(company.fellows.values(), key=lambda each: each.name)
            },
            "counters": {
                **company.counts,
                "unsent": self.unsent,
                **{f"letters {why}": count for why, count in company.letters.counts.items()},
            },
        }

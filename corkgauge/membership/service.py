"""The membership service of one process: the datagram socket, the timers and the status report.

Owns the socket and the addresses. Decides nothing about who is alive, and never holds up the event
loop: what arrives is read a few datagrams at a time, and what the socket does not take is lost, as
any datagram may be.
"""

import errno
import socket
from collections.abc import Callable
from struct import pack
from typing import Any, Protocol
from zlib import crc32

from corkgauge.config.operator_file import MembershipConfig
from corkgauge.config.platform import ConfigurationError, PlatformConfig
from corkgauge.eventloop.loop import READ, SECOND, EventLoop
from corkgauge.membership.datagrams import MAX_DATAGRAM_BYTES
from corkgauge.membership.member_list import Member, MemberList, MemberState
from corkgauge.membership.sealing import Key

DATAGRAMS_IN_A_ROW = 32  # that are read before others have their turn
INCARNATION_SHIFT_BITS = 12  # below the milliseconds: drawn, so that two starts at once differ
TICKS_PER_MILLISECOND = 10

Address = tuple[str, int]


class ServingHost(Protocol):
    """What the service needs of the process's host."""

    event_loop: EventLoop
    routes: dict[tuple[bytes, bytes], Callable[..., Any]]  # by HTTP method and path

    def log(self, line: str) -> None:
        """Write a line of log."""


class MembershipService:
    """The host of a MemberList on sockets.

    Raises ConfigurationError where our name is not among the members, or our address is taken.
    """

    def __init__(
        self, socket_host: ServingHost, platform_config: PlatformConfig, config: MembershipConfig
    ) -> None:
        self.socket_host = socket_host
        self.event_loop = socket_host.event_loop
        self.name = platform_config.name
        self.config = config
        self.seed = platform_config.seed
        self.draws = 0
        self.unsent = 0  # datagrams that the socket did not take
        self.addresses: dict[str, Address] = {}
        self.sock: Any = None  # a UDP socket, or a hollow node's; None once the service has ended
        self._bind(config)
        self._set_addresses(config)
        self.member_list = MemberList(
            self,
            self.name,
            _new_incarnation(self.seed, self.event_loop.now),
            [Key(secret) for secret in config.keys],
            _names_and_zones(config),
            config.period_ticks,
        )
        socket_host.routes[b"GET", b"/fellows"] = self.status_report
        self.event_loop.spawn(self._read_datagrams, self.sock)

    def reload(self, config: MembershipConfig) -> None:
        """Take other members, keys or addresses.

        Raises ConfigurationError, and changes nothing, where our name is not among the members.
        """
        self._own_address(config)
        if (config.listen, config.period_ticks) != (self.config.listen, self.config.period_ticks):
            self.socket_host.log(
                "operator file: fellows listen or period changed, in force after a restart"
            )
        self._set_addresses(config)
        self.member_list.set_members(_names_and_zones(config))
        self.member_list.set_keys([Key(secret) for secret in config.keys])
        self.config = config

    def end(self) -> None:
        """Leave the membership and close the socket."""
        self.member_list.leave()
        sock = self.sock
        self.sock = None
        self.event_loop.wake(sock.fileno())
        sock.close()

    @property
    def now(self) -> int:
        """The event loop's time in ticks of a tenth of a millisecond."""
        return self.event_loop.now

    def send_datagram(self, name: str, data: bytes) -> None:
        """Send to a member; what the socket does not take is counted and lost."""
        try:
            self.sock.sendto(data, self.addresses[name])
        except OSError as problem:
            # ECONNREFUSED answers an earlier datagram, whose member did not listen.
            if problem.errno != errno.ECONNREFUSED:
                self.unsent += 1

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """Call the method after so many ticks."""
        self.event_loop.call_later(delay, method, *what)

    def chance(self, below: int) -> int:
        """Draw a number from 0 to below it; the seed repeats a run."""
        self.draws += 1
        return crc32(pack("<QQ", self.seed, self.draws)) * below >> 32

    def log(self, line: str) -> None:
        """Write a line of log."""
        self.socket_host.log(line)

    def on_member_changed(self, member: Member, before: MemberState) -> None:
        """Log a change of a member's state."""
        self.socket_host.log(
            f"fellow {member.name} {member.state.label}, was {before.label}: {member.reason}"
        )

    def status_report(self, request: bytes = b"") -> dict[str, Any]:
        """Return our view of each member and the counters, for operators. Times are seconds."""
        member_list = self.member_list
        by_name = sorted(member_list.members.values(), key=lambda member: member.name)
        datagram_counts = member_list.codec.counts.items()
        return {
            "name": self.name,
            "hall": member_list.zone,
            "start": member_list.codec.incarnation,
            "health": member_list.local.health,
            "fellows": {member.name: self._member_report(member) for member in by_name},
            "counters": {
                **member_list.counts,
                "unsent": self.unsent,
                **{f"letters {reason}": count for reason, count in datagram_counts},
            },
        }

    def _member_report(self, member: Member) -> dict[str, Any]:
        return {
            "state": member.state.label,
            "hall": member.zone,
            "why": member.reason,
            "for": self._seconds_since(member.state_since),
            "heard": self._seconds_since(member.last_heard),
            "start": member.incarnation,
            "turn": member.refutations,
        }

    def _seconds_since(self, ticks: int) -> float | None:
        return (self.event_loop.now - ticks) / SECOND if ticks else None

    def _own_address(self, config: MembershipConfig) -> Address:
        addresses = {name: address for name, address, _ in config.members}
        address = addresses.get(self.name)
        if address is None:
            raise ConfigurationError(f"fellows: expected {self.name!r}, our own name, among them")
        return address

    def _bind(self, config: MembershipConfig) -> None:
        address = config.listen or self._own_address(config)
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.sock = socket.socket(family, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        try:
            # Two programs under one name would each answer for the other: the second gets no
            # address.
            self.sock.bind(address)
        except OSError as problem:
            self.sock.close()
            raise ConfigurationError(
                f"fellows: {address[0]}:{address[1]}: {problem.strerror}"
            ) from None

    def _set_addresses(self, config: MembershipConfig) -> None:
        self._own_address(config)
        self.addresses = {name: address for name, address, _ in config.members}

    def _read_datagrams(self, sock: Any) -> None:
        """Read until the service ends, a few at a time."""
        while self.sock is sock:
            self.event_loop.wait(sock.fileno(), READ)
            for _ in range(DATAGRAMS_IN_A_ROW):
                if self.sock is not sock:
                    return
                try:
                    data = sock.recv(MAX_DATAGRAM_BYTES + 1)
                except BlockingIOError:
                    break
                except OSError:
                    continue  # the refusal of a datagram of ours: its member does not listen
                self._handle_datagram(data)

    def _handle_datagram(self, data: bytes) -> None:
        try:
            self.member_list.handle_datagram(data)
        except Exception:  # one datagram must not end the reading of all others
            self.event_loop.on_exception()


def _names_and_zones(config: MembershipConfig) -> list[tuple[str, str]]:
    return [(name, zone) for name, _, zone in config.members]


def _new_incarnation(seed: int, now_ticks: int) -> int:
    """Return a number above that of any earlier start, unless the clock was set back."""
    milliseconds = now_ticks // TICKS_PER_MILLISECOND
    drawn = crc32(pack("<QQ", seed, now_ticks)) % (1 << INCARNATION_SHIFT_BITS)
    return (milliseconds << INCARNATION_SHIFT_BITS) | drawn

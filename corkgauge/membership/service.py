"""Runs a member list on a UDP socket and the event loop, and reports its status.

Owns the socket and the members' addresses. Makes no decision on member states, and never blocks the
event loop: datagrams are read a few at a time, and a datagram that the socket refuses is dropped,
because any datagram may be lost.
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

MAX_DATAGRAMS_PER_WAKEUP = 32  # read before other tasks of the event loop run
# Random bits below the milliseconds of an incarnation, so that simultaneous starts differ.
INCARNATION_SHIFT_BITS = 12
TICKS_PER_MILLISECOND = 10

Address = tuple[str, int]


class ServingHost(Protocol):
    """The parts of the process's host that the service uses."""

    event_loop: EventLoop
    routes: dict[tuple[bytes, bytes], Callable[..., Any]]  # by HTTP method and path

    def log(self, line: str) -> None:
        """Write a log line."""


class MembershipService:
    """Hosts a MemberList on a UDP socket.

    Raises:
        ConfigurationError: The local name is not among the members, or the socket cannot be bound
            to the local address.
    """

    def __init__(
        self, socket_host: ServingHost, platform_config: PlatformConfig, config: MembershipConfig
    ) -> None:
        self.socket_host = socket_host
        self.event_loop = socket_host.event_loop
        self.name = platform_config.name
        self.config = config
        self.seed = platform_config.seed
        self.draw_count = 0
        self.unsent = 0  # datagrams that the socket refused
        self.addresses: dict[str, Address] = {}
        self.sock: Any = None  # a UDP socket or a test double; None after `end`
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
        """Apply changed members, keys and addresses.

        Raises:
            ConfigurationError: The local name is not among the members; nothing is changed.
        """
        self._local_address(config)
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
        """The event loop's current time in ticks of a tenth of a millisecond."""
        return self.event_loop.now

    def send_datagram(self, name: str, data: bytes) -> None:
        """Send a datagram to a member; count and drop the datagram if the socket refuses it."""
        try:
            self.sock.sendto(data, self.addresses[name])
        except OSError as problem:
            # ECONNREFUSED reports that an earlier datagram reached no listening socket.
            if problem.errno != errno.ECONNREFUSED:
                self.unsent += 1

    def call_later(self, delay: int, method: Callable[..., None], *arguments: Any) -> None:
        """Call the method with these arguments after `delay` ticks."""
        self.event_loop.call_later(delay, method, *arguments)

    def random_below(self, below: int) -> int:
        """Return a random number from 0 to `below` - 1; the same seed repeats the sequence."""
        self.draw_count += 1
        return crc32(pack("<QQ", self.seed, self.draw_count)) * below >> 32

    def log(self, line: str) -> None:
        """Write a log line."""
        self.socket_host.log(line)

    def on_member_changed(self, member: Member, before: MemberState) -> None:
        """Log a change of a member's state from `before`."""
        self.socket_host.log(
            f"fellow {member.name} {member.state.label}, was {before.label}: {member.reason}"
        )

    def status_report(self, request: bytes = b"") -> dict[str, Any]:
        """Return the local view of each member and the counters for operators, in seconds."""
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
            "heard": self._seconds_since(member.last_datagram_at),
            "start": member.incarnation,
            "turn": member.refutations,
        }

    def _seconds_since(self, ticks: int) -> float | None:
        return (self.event_loop.now - ticks) / SECOND if ticks else None

    def _local_address(self, config: MembershipConfig) -> Address:
        addresses = {name: address for name, address, _ in config.members}
        address = addresses.get(self.name)
        if address is None:
            raise ConfigurationError(
                f"fellows: expected an entry for {self.name!r}, the local name, found none"
            )
        return address

    def _bind(self, config: MembershipConfig) -> None:
        address = config.listen or self._local_address(config)
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.sock = socket.socket(family, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        try:
            # A second process under the same name fails here, because the address is in use.
            # Otherwise each of the two processes would answer probes for the other.
            self.sock.bind(address)
        except OSError as problem:
            self.sock.close()
            raise ConfigurationError(
                f"fellows: cannot bind {address[0]}:{address[1]}: {problem.strerror}; check that "
                "the address is local and that no other process runs under this name"
            ) from None

    def _set_addresses(self, config: MembershipConfig) -> None:
        self._local_address(config)
        self.addresses = {name: address for name, address, _ in config.members}

    def _read_datagrams(self, sock: Any) -> None:
        """Read datagrams until the service ends, a few per wakeup."""
        while self.sock is sock:
            self.event_loop.wait(sock.fileno(), READ)
            for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
                if self.sock is not sock:
                    return
                try:
                    data = sock.recv(MAX_DATAGRAM_BYTES + 1)
                except BlockingIOError:
                    break
                except OSError:
                    continue  # an earlier datagram that was sent reached no listening socket
                self._handle_datagram(data)

    def _handle_datagram(self, data: bytes) -> None:
        try:
            self.member_list.handle_datagram(data)
        except Exception:  # a failing datagram must not end the reading of later ones
            self.event_loop.on_exception()


def _names_and_zones(config: MembershipConfig) -> list[tuple[str, str]]:
    return [(name, zone) for name, _, zone in config.members]


def _new_incarnation(seed: int, now_ticks: int) -> int:
    """Return an incarnation above those of all earlier starts, unless the clock was set back."""
    milliseconds = now_ticks // TICKS_PER_MILLISECOND
    drawn = crc32(pack("<QQ", seed, now_ticks)) % (1 << INCARNATION_SHIFT_BITS)
    return (milliseconds << INCARNATION_SHIFT_BITS) | drawn

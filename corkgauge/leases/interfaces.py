"""Interfaces that the lease package requires of its callers."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from corkgauge.eventloop.loop import EventLoop

if TYPE_CHECKING:
    from corkgauge.leases.candidate import LeaseCandidate


class VoterHost(Protocol):
    """Services that a voter requires of its host."""

    @property
    def now(self) -> int:
        """Ticks (tenths of a millisecond) since boot, read from the clock on each access."""

    def send(self, name: str, body: list[Any]) -> None:
        """Send a datagram to a candidate."""

    def persist(
        self, record: dict[str, Any], callback: Callable[..., None], *arguments: Any
    ) -> None:
        """Call `callback` once the record is durable on disk, and never before."""

    def log(self, line: str) -> None:
        """Write a line to the log."""


class CandidateHost(Protocol):
    """Services that a candidate requires of its host."""

    @property
    def now(self) -> int:
        """Ticks (tenths of a millisecond) since boot, read from the clock on each access."""

    @property
    def date(self) -> int:
        """The system time in milliseconds; steps of this clock do not affect safety."""

    def send(self, name: str, body: list[Any]) -> None:
        """Send a datagram to a voter."""

    def call_later(self, delay: int, method: Callable[..., None], *arguments: Any) -> None:
        """Call a method after `delay` ticks (tenths of a millisecond)."""

    def random_below(self, limit: int) -> int:
        """Return a random number from 0 to `limit` - 1."""

    def rank_of(self, lease: str) -> int:
        """Return this candidate's rank: 0 for the one that should try first."""

    def on_lease_gained(self, candidate: "LeaseCandidate") -> None:
        """Notify the host that the candidate has acquired the lease."""

    def on_lease_lost(self, candidate: "LeaseCandidate", reason: str) -> None:
        """Notify the host that the candidate no longer holds the lease."""

    def on_lease_released(self, candidate: "LeaseCandidate") -> None:
        """Notify the host of a release, so that the host can notify the next candidates."""


class SocketHost(Protocol):
    """Services that leases require of the process that runs them."""

    event_loop: EventLoop
    ledger: Any
    routes: dict[tuple[bytes, bytes], Callable[[bytes], dict[str, Any]]]

    def log(self, line: str) -> None:
        """Write a line to the log."""


class LeaseOwner(Protocol):
    """A subsystem that acts under a lease."""

    def on_lease_gained(self) -> None:
        """Notify the owner that this instance has acquired the lease."""

    def on_lease_lost(self) -> None:
        """Notify the owner that this instance no longer holds the lease."""

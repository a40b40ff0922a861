"""What the parts of this package need of whoever runs them."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from corkgauge.eventloop.loop import EventLoop

if TYPE_CHECKING:
    from corkgauge.leases.candidate import LeaseCandidate


class VoterHost(Protocol):
    """What a voter needs of its host."""

    @property
    def now(self) -> int:
        """Tenths of a millisecond since boot, read anew each time."""

    def send(self, name: str, body: list[Any]) -> None:
        """Send a datagram to a candidate."""

    def persist(
        self, record: dict[str, Any], callback: Callable[..., None], *arguments: Any
    ) -> None:
        """Call `then` once the record is safe on disk, and never before."""

    def log(self, line: str) -> None:
        """Write a line to the log."""


class CandidateHost(Protocol):
    """What a candidate needs of its host."""

    @property
    def now(self) -> int:
        """Tenths of a millisecond since boot, read anew each time."""

    @property
    def date(self) -> int:
        """The system's time in milliseconds, whose steps cost no safety."""

    def send(self, name: str, body: list[Any]) -> None:
        """Send a datagram to a voter."""

    def call_later(self, delay: int, method: Callable[..., None], *arguments: Any) -> None:
        """Call a method after so many tenths of a millisecond."""

    def random_below(self, limit: int) -> int:
        """Return a number from 0 to `limit` - 1."""

    def rank_of(self, lease: str) -> int:
        """Return how many others should try first."""

    def on_lease_gained(self, candidate: "LeaseCandidate") -> None:
        """Notify the host that the lease is held from now on."""

    def on_lease_lost(self, candidate: "LeaseCandidate", reason: str) -> None:
        """Notify the host that the lease is held no more."""

    def on_lease_released(self, candidate: "LeaseCandidate") -> None:
        """Notify the host that the lease was given back: the next candidates should know."""


class SocketHost(Protocol):
    """What leases need of the process that they run in."""

    event_loop: EventLoop
    ledger: Any
    routes: dict[tuple[bytes, bytes], Callable[[bytes], dict[str, Any]]]

    def log(self, line: str) -> None:
        """Write a line to the log."""


class LeaseOwner(Protocol):
    """A subsystem that acts under a lease."""

    def on_lease_gained(self) -> None:
        """Notify the owner that the lease is held from now on."""

    def on_lease_lost(self) -> None:
        """Notify the owner that the lease is held no more."""

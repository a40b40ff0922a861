"""Records of the other members and of the local member, and the interface of their host.

Times are ticks of a tenth of a millisecond.
"""

from collections.abc import Callable
from typing import Any, Protocol

from corkgauge.membership.messages import ALIVE, LEFT, UNKNOWN, MemberState, StatusUpdate

# Lifeguard's local health multiplier: 0 is healthy, and an interval is scaled by 1 + local health.
MAX_LOCAL_HEALTH = 8
STATE_SYNC_INTERVAL_TICKS = 30_000  # minimum time between two full states sent to one member


class Member:
    """Another member in the view of the local member."""

    __slots__ = (
        "accusers",
        "incarnation",
        "last_datagram_at",
        "name",
        "reason",
        "refutations",
        "state",
        "state_sent_at",
        "state_since",
        "suspicion_timer_serial",
        "zone",
    )

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.state = UNKNOWN
        self.incarnation = 0
        self.refutations = 0  # suspicions that the member has refuted in this incarnation
        self.state_since = 0  # ticks
        self.reason = ""  # of the last state change, shown to operators
        self.accusers: set[str] = set()  # members that suspect this member
        self.suspicion_timer_serial = 0  # of the latest suspicion timer; earlier timers are ignored
        self.last_datagram_at = 0  # ticks; receipt of the last accepted datagram except HELLOs
        self.state_sent_at = -STATE_SYNC_INTERVAL_TICKS  # ticks, last full state sent

    def status_update(self) -> StatusUpdate:
        """Return the status update on the member, for gossip."""
        accuser = min(self.accusers, default="")
        return StatusUpdate(self.name, self.state, self.incarnation, self.refutations, accuser)


class LocalMember:
    """The local member: zone, local health, refutations, and whether it has joined or left."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.zone = ""
        self.refutations = 0
        # 0 to MAX_LOCAL_HEALTH: 0 is healthy, higher values mean that the local member is slow.
        self.health = 0
        self.has_joined = False  # another member has answered a HELLO
        self.has_left = False

    def adjust_health(self, step: int) -> None:
        """Add `step` to the local health, limited to 0 to MAX_LOCAL_HEALTH."""
        self.health = min(max(self.health + step, 0), MAX_LOCAL_HEALTH)

    def status_update(self, incarnation: int) -> StatusUpdate:
        """Return the status update that the local member sends about itself."""
        state = LEFT if self.has_left else ALIVE
        return StatusUpdate(self.name, state, incarnation, self.refutations)


class Host(Protocol):
    """The process that runs a member list. Times are ticks."""

    @property
    def now(self) -> int:
        """The current time."""

    def send_datagram(self, name: str, data: bytes) -> None:
        """Send a datagram to the member `name`; the datagram may be lost."""

    def call_later(self, delay: int, method: Callable[..., None], *arguments: Any) -> None:
        """Call the method with these arguments after the delay."""

    def random_below(self, below: int) -> int:
        """Return a random number from 0 to `below` - 1."""

    def log(self, line: str) -> None:
        """Write a log line."""

    def on_member_changed(self, member: Member, before: MemberState) -> None:
        """Handle a change of a member's state from `before`."""

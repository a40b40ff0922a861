"""The records of members: what is held of each other one, and what of this one.

Times are ticks of a tenth of a millisecond.
"""

from collections.abc import Callable
from typing import Any, Protocol

from corkgauge.membership.messages import ALIVE, LEFT, UNKNOWN, MemberState, StatusUpdate

MAX_LOCAL_HEALTH = 8  # 0 is well; intervals grow by one of themselves for each (Lifeguard's LHM)
STATE_SYNC_INTERVAL_TICKS = 30_000  # between two whole states sent to one member


class Member:
    """One of the others, as this member sees it."""

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
        self.refutations = 0  # suspicions that it has refuted in this incarnation
        self.state_since = 0  # ticks
        self.reason = ""  # of the last change of state
        self.accusers: set[str] = set()
        self.suspicion_timer_serial = 0  # of the suspicion timer that counts
        self.last_datagram_at = 0  # ticks, of its last datagram
        self.state_sent_at = -STATE_SYNC_INTERVAL_TICKS  # ticks, when it was sent the whole state

    def status_update(self) -> StatusUpdate:
        """Return what this member is to pass on of it."""
        accuser = min(self.accusers, default="")
        return StatusUpdate(self.name, self.state, self.incarnation, self.refutations, accuser)


class LocalMember:
    """The member itself: its zone, its local health, whether it has joined or left."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.zone = ""
        self.refutations = 0
        self.health = 0  # 0 to MAX_LOCAL_HEALTH: how much its own lateness is to blame
        self.has_joined = False  # another member has answered
        self.has_left = False

    def adjust_health(self, step: int) -> None:
        """Add the step, within 0 and MAX_LOCAL_HEALTH."""
        self.health = min(max(self.health + step, 0), MAX_LOCAL_HEALTH)

    def status_update(self, incarnation: int) -> StatusUpdate:
        """Return what this member says of itself."""
        state = LEFT if self.has_left else ALIVE
        return StatusUpdate(self.name, state, incarnation, self.refutations)


class Host(Protocol):
    """What a member list needs of the process it runs in. Times are ticks."""

    @property
    def now(self) -> int:
        """The time."""

    def send_datagram(self, name: str, data: bytes) -> None:
        """Send to a member by its name; the datagram may be lost."""

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """Call the method after the delay."""

    def random_below(self, below: int) -> int:
        """Draw a number from 0 to below it."""

    def log(self, line: str) -> None:
        """Write a line of log."""

    def on_member_changed(self, member: Member, before: MemberState) -> None:
        """Take note that a member's state is no longer what it was before."""

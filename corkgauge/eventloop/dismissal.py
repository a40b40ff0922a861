"""Tells when the connection of a dismissed client may be closed.

A client that exceeds a limit is dismissed, not cut off: what it has sent before it could learn of
that is answered first, as closing a connection over a complete request would lose the request.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from corkgauge.eventloop.loop import SECOND

if TYPE_CHECKING:
    from corkgauge.eventloop.connection import StreamConnection

MAX_DISMISSAL_TICKS = SECOND
# Frames that are still handled. A client that respects the limit of 32 open requests has no more
# than these on the way: a request, and its cancellation, for each.
MAX_FRAMES_AFTER_DISMISSAL = 64


class Dismissal:
    """The dismissal of one client: its reason, and the bounds of what follows it."""

    __slots__ = ("deadline", "max_frame_count", "reason")

    def __init__(self, reason: str, link: StreamConnection) -> None:
        self.reason = reason
        self.deadline = link.event_loop.now + MAX_DISMISSAL_TICKS
        self.max_frame_count = link.machine.complete_frame_count + MAX_FRAMES_AFTER_DISMISSAL

    def is_over(self, link: StreamConnection) -> bool:
        """Return whether all that the client sent is answered, or a bound has been reached."""
        if link.event_loop.now >= self.deadline:
            return True
        if link.machine.complete_frame_count > self.max_frame_count:
            return True
        return (
            not link.has_partial_frame()
            and not len(link.machine.outward)
            and link.owner.is_answered()
            and not link.has_unread_input()
        )

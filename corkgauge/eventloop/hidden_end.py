"""Tells whether a peer may have closed its connection without the kernel showing it.

A peer's end arrives behind all that it has sent. While a receive buffer is full, as reading is
paused or slower than the peer writes, the rest stays with the peer, and the end too.
"""

from typing import Any

from corkgauge.eventloop.arrival import unread_byte_count
from corkgauge.eventloop.loop import EventLoop

# With less unread input, the receive window of a TCP connection is open.
MIN_HIDING_BYTES = 32_768
# Time for the rest to arrive once the receive window opens again.
SETTLE_TICKS = 100


class HiddenEnd:
    """Follows the input of one connection; `bytes_received` is what has been read from it so far.

    After an end could be hidden, it is taken for possible until less than `MIN_HIDING_BYTES` have
    arrived within `SETTLE_TICKS`.
    """

    __slots__ = ("_arrived_bytes", "_event_loop", "_possible_at", "_sock")

    def __init__(self, event_loop: EventLoop, sock: Any) -> None:
        self._event_loop = event_loop
        self._sock = sock
        self._possible_at: int | None = None  # tick of the last check that found an end possible
        self._arrived_bytes = 0  # bytes that had arrived then, read or unread

    @property
    def is_suspected(self) -> bool:
        """Whether an end was possible at the last check."""
        return self._possible_at is not None

    def on_resumed(self, bytes_received: int) -> None:
        """Note that the connection is read again after a pause."""
        self._set_possible(bytes_received + unread_byte_count(self._sock))

    def is_possible(self, bytes_received: int) -> bool:
        """Return whether the peer may have closed without this being seen yet."""
        unread_bytes = unread_byte_count(self._sock)
        arrived_bytes = bytes_received + unread_bytes
        if unread_bytes >= MIN_HIDING_BYTES:
            self._set_possible(arrived_bytes)
            return True
        if self._possible_at is None:
            return False
        if self._event_loop.now < self._possible_at + SETTLE_TICKS:
            return True
        if arrived_bytes >= self._arrived_bytes + MIN_HIDING_BYTES:
            self._set_possible(arrived_bytes)
            return True
        self._possible_at = None
        return False

    def _set_possible(self, arrived_bytes: int) -> None:
        self._possible_at = self._event_loop.now
        self._arrived_bytes = arrived_bytes

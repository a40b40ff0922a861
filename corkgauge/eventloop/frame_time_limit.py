"""Limits the time in which a peer may send one frame; all times are ticks.

Does not decide when the limit runs: the connection restarts and extends it.
"""


class FrameTimeLimit:
    """The time limit for the frame that a connection receives.

    Args:
        limit_ticks: The limit; 0 for none.
        now: The current tick.
        min_progress_bytes: The limit starts anew whenever so many bytes have arrived, so that a
            long frame on a slow connection is received; 0 if it holds for the whole frame.
    """

    __slots__ = ("_bytes_at_restart", "_min_progress_bytes", "limit_ticks", "since")

    def __init__(self, limit_ticks: int, now: int, min_progress_bytes: int = 0) -> None:
        self.limit_ticks = limit_ticks
        self.since = now
        self._min_progress_bytes = min_progress_bytes
        self._bytes_at_restart = 0

    @property
    def deadline(self) -> int:
        """Tick at which the limit ends."""
        return self.since + self.limit_ticks

    def restart(self, now: int, bytes_received: int) -> None:
        """Start the limit anew; `bytes_received` counts all input of the connection."""
        self.since = now
        self._bytes_at_restart = bytes_received

    def on_bytes_received(self, now: int, bytes_received: int) -> None:
        """Start the limit anew if enough bytes have arrived since the last start."""
        progress_bytes = bytes_received - self._bytes_at_restart
        if self._min_progress_bytes and progress_bytes >= self._min_progress_bytes:
            self.restart(now, bytes_received)

    def extend(self, ticks: int) -> None:
        """End the limit later by a time in which the connection was not read."""
        self.since += ticks

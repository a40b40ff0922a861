"""Logs the exceptions that the event loop stopped, at a bounded rate."""

from loguru import logger

from corkgauge.eventloop.loop import SECOND, EventLoop

LOG_INTERVAL_TICKS = SECOND


class ExceptionLog:
    """Logs the exception being handled: one an interval with its trace, the others are counted.

    Called by the event loop where an exception of a connection or a timer stops.
    """

    def __init__(self, event_loop: EventLoop) -> None:
        self._event_loop = event_loop
        self._next_line_at = 0  # ticks
        self._unlogged = 0

    def __call__(self) -> None:
        """Log or count the exception that is being handled."""
        self._unlogged += 1
        now = self._event_loop.now
        if now < self._next_line_at:
            return
        logger.opt(exception=True).error(f"{self._unlogged} exceptions stopped, the last")
        self._next_line_at = now + LOG_INTERVAL_TICKS
        self._unlogged = 0

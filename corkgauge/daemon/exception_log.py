"""Logs the exceptions that the event loop caught, at a limited rate."""

from loguru import logger

from corkgauge.eventloop.loop import SECOND, EventLoop

LOG_INTERVAL_TICKS = SECOND


class ExceptionLog:
    """Logs one exception per interval with its traceback and counts the others.

    The event loop calls it in the handler of each exception that a task or a timer raised.
    """

    def __init__(self, event_loop: EventLoop) -> None:
        self._event_loop = event_loop
        self._next_log_at = 0  # ticks
        self._unlogged_count = 0

    def __call__(self) -> None:
        """Log or count the exception that is being handled."""
        self._unlogged_count += 1
        now = self._event_loop.now
        if now < self._next_log_at:
            return
        logger.opt(exception=True).error(f"{self._unlogged_count} exceptions stopped, the last")
        self._next_log_at = now + LOG_INTERVAL_TICKS
        self._unlogged_count = 0

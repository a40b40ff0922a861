"""Garbage collection of the serving process, only when memory is short."""

import gc
import resource

from loguru import logger

from corkgauge.eventloop.loop import SECOND, EventLoop

MAX_MEMORY_FRACTION = 0.75  # of the memory limit; above it, garbage is collected
CHECK_INTERVAL_TICKS = SECOND
PAUSE_AFTER_COLLECTION_TICKS = 30 * SECOND


def resident_bytes() -> int:
    """Return the resident memory of this process, in bytes."""
    with open("/proc/self/statm", "rb") as file:
        resident_pages = int(file.read().split()[1])
    return resident_pages * resource.getpagesize()


class GarbageCollection:
    """Collects garbage by the resident memory instead of by the number of allocated objects.

    A collection stops the whole process for about 100 ms. It therefore runs only when memory is
    short, and at most once in half a minute.
    """

    def __init__(self, event_loop: EventLoop, limit_bytes: int) -> None:
        self._event_loop = event_loop
        self._limit_bytes = limit_bytes

    def start(self) -> None:
        """Replace automatic collection by `check`; collections skip the objects that exist now."""
        gc.collect()
        gc.freeze()
        gc.disable()
        self._event_loop.call_later(CHECK_INTERVAL_TICKS, self.check)

    def check(self) -> None:
        """Collect garbage if memory is short, and schedule the next check."""
        pause_ticks = CHECK_INTERVAL_TICKS
        if resident_bytes() > MAX_MEMORY_FRACTION * self._limit_bytes:
            megabytes = resident_bytes() >> 20
            logger.warning(f"memory short, {megabytes} MB; collected {gc.collect()} objects")
            pause_ticks = PAUSE_AFTER_COLLECTION_TICKS
        self._event_loop.call_later(pause_ticks, self.check)

"""The scheduler: greenlets over select.poll, and timers by the date as it was at the start, counted on steadily.

Owns the poller, the timers and the one thread. Must never block but in poll, never wake a timer early, and
never let what one task or timer raises end the others. Nobody else polls, sleeps or asks for the time.
"""

import select
import time
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from operator import itemgetter
from typing import Any

from greenlet import getcurrent, greenlet

SECOND = 10_000  # in tenths of a millisecond
READ, WRITE = select.POLLIN, select.POLLOUT
BROKEN = select.POLLHUP | select.POLLERR | select.POLLNVAL
GONE = select.POLLRDHUP  # the peer writes no more, whatever of it still lies unread


def unix_time() -> int:
    return time.time_ns() // 100_000


class SteadyClock:
    """Danger: a date that is set back by an hour would stop every timer for an hour, and one that is set on would end
    all that is open at once. So the date is asked once, and a clock that nobody sets counts on from there."""

    def __init__(self) -> None:
        self.base = unix_time() - time.monotonic_ns() // 100_000

    def __call__(self) -> int:
        return self.base + time.monotonic_ns() // 100_000


class EventLoop:
    """Times are whole tenths of a millisecond. `clock` stands in for both clocks, in tests."""

    def __init__(
        self, clock: Callable[[], int] | None = None, troubled: Callable[[], None] = lambda: None
    ) -> None:
        self.troubled = troubled  # called where an exception of a task or timer stops
        self.clock, self.date = clock or SteadyClock(), clock or unix_time
        self.now, self.stopped, self.worst_lag, self.serial = self.clock(), False, 0, 0
        # When this turn began, how long the one before took, and the longest but the first, which starts all.
        self.began, self.lasted, self.worst_turn = self.now, 0, -1
        self.poller, self.parked = select.poll(), dict[int, tuple[greenlet, int]]()
        self.glance = select.poll()
        self.ready = deque[tuple[greenlet, tuple]]()
        # Timers by the whole millisecond that follows them, as poll knows no finer time: far cheaper than a
        # heap of all, of which there are ten thousand and more.
        self.timers, self.slots = dict[int, list[tuple]](), list[int]()
        self.unsent = list[Callable[[], None]]()  # what tasks leave to do for the end of their turn
        self.main = getcurrent()

    def tick(self) -> None:
        self.now = max(self.now, self.clock())

    def ahead(self) -> int:
        """How far this clock is from the date, where that was set; a date that others tell is so much later here."""
        step = self.clock() - self.date()
        return step if abs(step) > SECOND else 0

    def call_later(self, delay: int, method: Callable[..., None], *what: Any) -> None:
        """Call it once so much time has passed, never at once."""
        when = self.now + max(delay, 1)
        slot = -(-when // 10)
        if slot not in self.timers:
            self.timers[slot] = []
            heappush(self.slots, slot)
        self.timers[slot].append((when, method, what))

    def spawn(self, method: Callable[..., None], *what: Any) -> None:
        self.ready.append((greenlet(method, self.main), what))

    # For tasks.

    def wait(self, fd: int, mask: int, until: int | None = None) -> int:
        """Park until one of these events, or that time: what happened, 0 for the time or a wake."""
        if fd in self.parked:
            raise RuntimeError(f"two tasks wait for descriptor {fd}")
        alarm = 0
        if until is not None:
            alarm = self.serial = self.serial + 1
            self.call_later(until - self.now, self._alarm, fd, alarm)
        self.parked[fd] = getcurrent(), alarm
        self.poller.register(fd, mask)
        return self.main.switch()

    def look(self, *fds: int) -> list[int]:
        """What there is at each of these descriptors at this moment; never waits."""
        for fd in fds:
            self.glance.register(fd, READ | GONE)
        found = dict(self.glance.poll(0))
        for fd in fds:
            self.glance.unregister(fd)
        return [found.get(fd, 0) for fd in fds]

    def interest(self, fd: int, mask: int) -> None:
        """Change what a parked task waits for."""
        if fd in self.parked:
            self.poller.modify(fd, mask)

    def wake(self, fd: int, events: int = 0) -> None:
        """Let the task that is parked there look again."""
        task, _ = self.parked.pop(fd, (None, 0))
        if task is not None:
            self.poller.unregister(fd)
            self.ready.append((task, (events,)))

    def _alarm(self, fd: int, alarm: int) -> None:
        if self.parked.get(fd, (None, 0))[1] == alarm:
            self.wake(fd)

    def sleep(self, span: int) -> None:
        self.call_later(span, self.ready.append, (getcurrent(), ()))
        self.main.switch()

    # The loop.

    @property
    def lag(self) -> int:
        """What is read now may have come just after the poll before the last; so long it has waited."""
        return self.lasted + self.now - self.began

    def turn(self, most: float = 1000) -> None:
        """Tasks that are ready, timers that are due, then poll until the next thing or for so many ms."""
        for _ in range(len(self.ready)):
            task, what = self.ready.popleft()
            self.tick()
            self._guarded(task.switch, what)
            # Danger: many tasks in a row would make a last moment pass; timers go between any two.
            self._due()
        self.tick()
        self._due()
        wait = 0.0
        if not self.ready and not self.stopped:
            # Rounded up by poll, so a timer is never early.
            wait = min(max(10 * self.slots[0] - self.clock(), 0) / 10, most) if self.slots else most
        self.lasted = self.now - self.began
        self.worst_turn = max(self.worst_turn, self.lasted) if self.worst_turn >= 0 else 0
        events = self.poller.poll(wait)
        self.tick()
        self.began = self.now
        for fd, what in events:
            self.wake(fd, what)

    def _due(self) -> None:
        while self.slots and 10 * self.slots[0] <= self.now and not self.stopped:
            for due, method, what in sorted(
                self.timers.pop(heappop(self.slots)), key=itemgetter(0)
            ):
                self.worst_lag = max(self.worst_lag, self.now - due)
                self._guarded(method, what)
            self.tick()
        while self.unsent:
            unsent, self.unsent = self.unsent, []
            for method in unsent:
                self._guarded(method, ())

    def worst(self) -> str:
        return f"worst_lag={self.worst_lag} worst_turn={self.worst_turn}"

    def run(self) -> None:
        while not self.stopped:
            self.turn()

    def _guarded(self, method: Callable[..., Any], what: tuple) -> None:
        try:
            method(*what)
        except Exception:  # Danger: one broken call must not end what serves all others
            self.troubled()

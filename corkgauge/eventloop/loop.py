"""The event loop: greenlets over select.poll, timers, and the one clock of the process.

Blocks nowhere but in poll, wakes no timer early, and lets nothing that a task or a timer raises end
the others. Nobody else polls, sleeps or asks for the time. Times are whole ticks, tenths of a
millisecond.
"""

import select
import time
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from operator import itemgetter
from typing import Any

from greenlet import getcurrent, greenlet

SECOND = 10_000  # in ticks
TICKS_PER_MILLISECOND = 10
NANOSECONDS_PER_TICK = 100_000
MAX_POLL_MILLISECONDS = 1000  # of one turn, where nothing else is due

READ, WRITE = select.POLLIN, select.POLLOUT
BROKEN = select.POLLHUP | select.POLLERR | select.POLLNVAL
GONE = select.POLLRDHUP  # the peer writes no more, whatever of it still lies unread

Callback = Callable[..., Any]
Arguments = tuple[Any, ...]
# Plain tuples, as there are tens of thousands of them and each is made on the path of a request.
Timer = tuple[int, Callback, Arguments]  # when it is due, what is called, with what
ReadyTask = tuple[greenlet, Arguments]  # with what it is switched to
ParkedTask = tuple[greenlet | None, int]  # with the serial of its timeout, 0 for none

NOT_PARKED: ParkedTask = (None, 0)


def unix_time() -> int:
    """Read the date, in ticks since 1970; it may be set at any time."""
    return time.time_ns() // NANOSECONDS_PER_TICK


class SteadyClock:
    """The date as it was at the start, counted on by a clock that nobody sets.

    With the date itself, setting it back by an hour would stop every timer for an hour, and setting
    it on would end all that is open at once.
    """

    def __init__(self) -> None:
        self.base = unix_time() - time.monotonic_ns() // NANOSECONDS_PER_TICK

    def __call__(self) -> int:
        """Read the ticks since 1970, as the date stood at the start."""
        return self.base + time.monotonic_ns() // NANOSECONDS_PER_TICK


class EventLoop:
    """Runs tasks and timers, one at a time.

    `clock` stands in for both clocks, in tests. `on_exception` is called in the handler of each
    exception that a task or a timer raised.
    """

    def __init__(
        self,
        clock: Callable[[], int] | None = None,
        on_exception: Callable[[], None] = lambda: None,
    ) -> None:
        self.on_exception = on_exception
        self.clock: Callable[[], int] = clock or SteadyClock()
        self.date: Callable[[], int] = clock or unix_time
        self.now = self.clock()
        self.stopped = False

        # Figures of turns: the longest is without the first, which starts everything.
        self.worst_lag = 0
        self.worst_turn = -1
        self._turn_began_at = self.now
        self._last_turn_ticks = 0

        # Tasks.
        self.parked: dict[int, ParkedTask] = {}  # by descriptor
        self.end_of_turn_callbacks: list[Callable[[], None]] = []  # run at the end of a turn
        self._main = getcurrent()
        self._ready: deque[ReadyTask] = deque()
        self._timeout_serial = 0
        self._poller = select.poll()
        self._immediate_poller = select.poll()

        # Timers by the whole millisecond that follows them, as poll knows no finer time: far
        # cheaper than a heap of all, of which there are ten thousand and more.
        self._timers: dict[int, list[Timer]] = {}
        self._due_milliseconds: list[int] = []  # heap of the keys of `_timers`

    def update_now(self) -> None:
        """Set `now` by the clock; it never goes back."""
        self.now = max(self.now, self.clock())

    def clock_offset(self) -> int:
        """How far this clock is from the date, in ticks, where the date was set; 0 within a second.

        A date that others tell is so much later by this clock.
        """
        step = self.clock() - self.date()
        return step if abs(step) > SECOND else 0

    def call_later(self, delay: int, method: Callback, *arguments: Any) -> None:
        """Call the method once, after so many ticks, one at least: never at once."""
        due = self.now + max(delay, 1)
        due_millisecond = -(-due // TICKS_PER_MILLISECOND)
        if due_millisecond not in self._timers:
            self._timers[due_millisecond] = []
            heappush(self._due_milliseconds, due_millisecond)
        self._timers[due_millisecond].append((due, method, arguments))

    def spawn(self, method: Callable[..., None], *arguments: Any) -> None:
        """Run the method as a task of its own, from the next turn on."""
        self._ready.append((greenlet(method, self._main), arguments))

    # For tasks.

    def wait(self, fd: int, mask: int, deadline: int | None = None) -> int:
        """Park the calling task until one of these events, or that time.

        Returns the events, 0 for the time or a wake. Raises RuntimeError where another task waits
        for the descriptor.
        """
        if fd in self.parked:
            raise RuntimeError(f"two tasks wait for descriptor {fd}")
        timeout_serial = 0
        if deadline is not None:
            self._timeout_serial += 1
            timeout_serial = self._timeout_serial
            self.call_later(deadline - self.now, self._on_wait_timeout, fd, timeout_serial)
        self.parked[fd] = getcurrent(), timeout_serial
        self._poller.register(fd, mask)
        events: int = self._main.switch()
        return events

    def poll_now(self, *fds: int) -> list[int]:
        """Ask which events there are at each of these descriptors at this moment; never waits."""
        for fd in fds:
            self._immediate_poller.register(fd, READ | GONE)
        found = dict(self._immediate_poller.poll(0))
        for fd in fds:
            self._immediate_poller.unregister(fd)
        return [found.get(fd, 0) for fd in fds]

    def set_event_mask(self, fd: int, mask: int) -> None:
        """Change the events that a parked task waits for."""
        if fd in self.parked:
            self._poller.modify(fd, mask)

    def wake(self, fd: int, events: int = 0) -> None:
        """Let the task that is parked at this descriptor go on, in the next turn."""
        task, _ = self.parked.pop(fd, NOT_PARKED)
        if task is not None:
            self._poller.unregister(fd)
            self._ready.append((task, (events,)))

    def _on_wait_timeout(self, fd: int, timeout_serial: int) -> None:
        # The descriptor may have another task by now, or none: its serial tells.
        if self.parked.get(fd, NOT_PARKED)[1] == timeout_serial:
            self.wake(fd)

    def sleep(self, ticks: int) -> None:
        """Park the calling task for so many ticks."""
        self.call_later(ticks, self._ready.append, (getcurrent(), ()))
        self._main.switch()

    # The loop.

    @property
    def lag(self) -> int:
        """Ticks that what is read now may have waited.

        It may have come just after the poll before the last.
        """
        return self._last_turn_ticks + self.now - self._turn_began_at

    def turn(self, max_milliseconds: float = MAX_POLL_MILLISECONDS) -> None:
        """Run the ready tasks and due timers, then poll, `max_milliseconds` at most."""
        for _ in range(len(self._ready)):
            task, arguments = self._ready.popleft()
            self.update_now()
            self._call_guarded(task.switch, arguments)
            # Many tasks in a row would make a deadline pass: timers go between any two.
            self._run_due_timers()
        self.update_now()
        self._run_due_timers()
        timeout_ms = 0.0
        if not self._ready and not self.stopped:
            timeout_ms = max_milliseconds
            if self._due_milliseconds:
                # Poll rounds up, so a timer is never early.
                ticks = max(TICKS_PER_MILLISECOND * self._due_milliseconds[0] - self.clock(), 0)
                timeout_ms = min(ticks / TICKS_PER_MILLISECOND, max_milliseconds)
        self._last_turn_ticks = self.now - self._turn_began_at
        self.worst_turn = max(self.worst_turn, self._last_turn_ticks) if self.worst_turn >= 0 else 0
        found = self._poller.poll(timeout_ms)
        self.update_now()
        self._turn_began_at = self.now
        for fd, events in found:
            self.wake(fd, events)

    def _run_due_timers(self) -> None:
        """Run the timers that are due, then what tasks left for the end of their turn."""
        while (
            self._due_milliseconds
            and TICKS_PER_MILLISECOND * self._due_milliseconds[0] <= self.now
            and not self.stopped
        ):
            timers = self._timers.pop(heappop(self._due_milliseconds))
            for due, method, arguments in sorted(timers, key=itemgetter(0)):
                self.worst_lag = max(self.worst_lag, self.now - due)
                self._call_guarded(method, arguments)
            self.update_now()
        while self.end_of_turn_callbacks:
            # A new list, as what is called may leave more.
            callbacks = self.end_of_turn_callbacks
            self.end_of_turn_callbacks = []
            for method in callbacks:
                self._call_guarded(method, ())

    def worst_delays(self) -> str:
        """Write the worst lag and turn, in ticks, as the log has them."""
        return f"worst_lag={self.worst_lag} worst_turn={self.worst_turn}"

    def run(self) -> None:
        """Turn until `stopped` is set."""
        while not self.stopped:
            self.turn()

    def _call_guarded(self, method: Callback, arguments: Arguments) -> None:
        try:
            method(*arguments)
        except Exception:  # one broken call would end what serves all others
            self.on_exception()

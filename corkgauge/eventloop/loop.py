"""The event loop: runs greenlet tasks over select.poll, and timers, by one clock.

The loop blocks only in poll, calls no timer early, and keeps running after an exception of a task
or a timer. All tasks wait and read the time through the loop. Outside of it, `clock.py` reads the
time since boot, `write_line` of `daemon/process.py` polls without waiting, and the writer thread of
`corkgauge.recovery` uses a clock. All times are ticks, tenths of a millisecond.
"""

import select
import time
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from operator import itemgetter
from typing import Any

from greenlet import getcurrent, greenlet

SECOND = 10_000  # ticks
TICKS_PER_MILLISECOND = 10
NANOSECONDS_PER_TICK = 100_000
# Longest wait of one turn. A poll that takes longer shows that the process stood still. A shorter
# standstill may go unnoticed.
MAX_POLL_MILLISECONDS = 25
MAX_POLL_OVERRUN_TICKS = 100  # by which a poll may return late on a busy machine
# A timer that is later than this waits until the input of its time has been read. Earlier, it runs
# between any two tasks: many tasks in a row would delay it.
MAX_TIMER_DELAY_TICKS = 200

READ, WRITE = select.POLLIN, select.POLLOUT
BROKEN = select.POLLHUP | select.POLLERR | select.POLLNVAL
GONE = select.POLLRDHUP  # the peer has shut down writing; unread input may remain

Callback = Callable[..., Any]
Arguments = tuple[Any, ...]
# Plain tuples are cheap: tens of thousands exist at once, created while requests are handled.
Timer = tuple[int, Callback, Arguments]  # due time in ticks, callback, its arguments
ReadyTask = tuple[greenlet, Arguments]  # task, arguments of the switch to it
ParkedTask = tuple[greenlet | None, int]  # task, number of its timeout (0: no timeout)

NOT_PARKED: ParkedTask = (None, 0)


def unix_time() -> int:
    """Return the system date in ticks since 1970; an operator may set it at any time."""
    return time.time_ns() // NANOSECONDS_PER_TICK


class SteadyClock:
    """The system date at the start, advanced by the monotonic clock.

    With the system date itself, setting it back by an hour would delay every timer by an hour, and
    setting it forward would make every open request and connection time out at once.
    """

    def __init__(self) -> None:
        self.base = unix_time() - time.monotonic_ns() // NANOSECONDS_PER_TICK

    def __call__(self) -> int:
        """Return the ticks since 1970 by the system date at the start."""
        return self.base + time.monotonic_ns() // NANOSECONDS_PER_TICK


class EventLoop:
    """Runs tasks and timers, one at a time.

    `clock` replaces both the monotonic clock and the system date in tests. `on_exception` is called
    in the handler of each exception that a task or a timer raised.
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

        # Largest timer delay and longest turn so far, in ticks. The first turn does not count, as
        # it starts all subsystems; -1: the first turn has not ended yet.
        self.worst_lag = 0
        self.worst_turn = -1
        self._turn_began_at = self.now
        self._last_turn_ticks = 0
        self._standstill_ticks = 0  # length of the last poll if it took longer than it should have
        self.turn_number = 0
        self._polled_at = self.now  # tick at which the last poll returned
        # Input that came until this tick has been passed to the tasks that wait for it.
        self._input_read_until = self.now

        # Tasks.
        self.parked: dict[int, ParkedTask] = {}  # by file descriptor
        # Descriptors whose tasks run before all others that are ready.
        self._priority_fds: set[int] = set()
        self.deferred_callbacks: list[Callable[[], None]] = []  # run after the current task
        self._main = getcurrent()
        self._ready: deque[ReadyTask] = deque()
        self._timeout_serial = 0
        self._poller = select.poll()
        self._immediate_poller = select.poll()

        # Timers grouped by their due time rounded up to a millisecond, the resolution of poll. A
        # heap of all timers, ten thousand and more, would be far more expensive.
        self._timers: dict[int, list[Timer]] = {}
        self._due_milliseconds: list[int] = []  # heap of the keys of `_timers`

    def update_now(self) -> None:
        """Set `now` to the clock's time; `now` never decreases."""
        self.now = max(self.now, self.clock())

    def clock_offset(self) -> int:
        """Return the ticks by which this clock is ahead of the system date; 0 within a second.

        The two differ after the date was set. A date received from another machine is converted to
        this clock by adding the offset.
        """
        offset = self.clock() - self.date()
        return offset if abs(offset) > SECOND else 0

    def call_later(self, delay: int, method: Callback, *arguments: Any) -> None:
        """Call the method once, `delay` ticks from now, at the earliest in one tick."""
        due = self.now + max(delay, 1)
        due_millisecond = -(-due // TICKS_PER_MILLISECOND)
        if due_millisecond not in self._timers:
            self._timers[due_millisecond] = []
            heappush(self._due_milliseconds, due_millisecond)
        self._timers[due_millisecond].append((due, method, arguments))

    def spawn(self, method: Callable[..., None], *arguments: Any) -> None:
        """Run the method as a new task, from the next turn on."""
        self._ready.append((greenlet(method, self._main), arguments))

    # Methods that tasks call.

    def wait(self, fd: int, mask: int, deadline: int | None = None) -> int:
        """Park the calling task until one of the events in `mask`, or until the deadline.

        Returns the events, or 0 after the deadline or a call of `wake` without events.

        Raises:
            RuntimeError: Another task waits for the descriptor already.
        """
        if fd in self.parked:
            raise RuntimeError(
                f"file descriptor {fd}: expected one waiting task, found a second one"
            )
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
        """Return the events that are pending for each descriptor now, without waiting."""
        for fd in fds:
            self._immediate_poller.register(fd, READ | GONE)
        found = dict(self._immediate_poller.poll(0))
        for fd in fds:
            self._immediate_poller.unregister(fd)
        return [found.get(fd, 0) for fd in fds]

    def set_event_mask(self, fd: int, mask: int) -> None:
        """Change the events that the task parked for this descriptor waits for."""
        if fd in self.parked:
            self._poller.modify(fd, mask)

    def set_priority(self, fd: int, is_first: bool) -> None:
        """Let the task of this descriptor run before all others that are ready, or no longer.

        The caller ends the priority when the descriptor is closed, as its number is used again.
        """
        if is_first:
            self._priority_fds.add(fd)
        else:
            self._priority_fds.discard(fd)

    def wake(self, fd: int, events: int = 0) -> None:
        """Resume the task that is parked for this descriptor, in the next turn."""
        task, _ = self.parked.pop(fd, NOT_PARKED)
        if task is not None:
            self._poller.unregister(fd)
            if fd in self._priority_fds:
                self._ready.appendleft((task, (events,)))
            else:
                self._ready.append((task, (events,)))

    def _on_wait_timeout(self, fd: int, timeout_serial: int) -> None:
        # Another task, or none, may wait for the descriptor now; the serial identifies the wait.
        if self.parked.get(fd, NOT_PARKED)[1] == timeout_serial:
            # After a standstill of the process, timers run before the first poll. An event that
            # came meanwhile was in time.
            self.wake(fd, dict(self._poller.poll(0)).get(fd, 0))

    def sleep(self, ticks: int) -> None:
        """Park the calling task for this many ticks."""
        self.call_later(ticks, self._ready.append, (getcurrent(), ()))
        self._main.switch()

    # Methods of the process that runs the loop.

    @property
    def lag(self) -> int:
        """Longest time in ticks that input which is read now may have waited.

        Such input may have arrived right after the poll before the last one.
        """
        return self._last_turn_ticks + self.now - self._turn_began_at

    @property
    def max_unread_ticks(self) -> int:
        """Longest time in ticks that input which is read now may have waited.

        Other than `lag`, it includes a standstill of the process in the last poll.
        """
        return self.lag + self._standstill_ticks

    def turn(self, max_milliseconds: float = MAX_POLL_MILLISECONDS) -> None:
        """Run the ready tasks and due timers, then poll for events, at most until the next timer.

        The poll lasts `max_milliseconds` at most.
        """
        for _ in range(len(self._ready)):
            task, arguments = self._ready.popleft()
            self.update_now()
            self._call_guarded(task.switch, arguments)
            self._run_due_timers()
        self._input_read_until = self._polled_at
        self.update_now()
        self._run_due_timers()
        timeout_ms = 0.0
        if not self._ready and not self.stopped:
            timeout_ms = max_milliseconds
            if self._due_milliseconds:
                # Poll rounds its timeout up, so no timer is called early.
                ticks = max(TICKS_PER_MILLISECOND * self._due_milliseconds[0] - self.clock(), 0)
                timeout_ms = min(ticks / TICKS_PER_MILLISECOND, max_milliseconds)
        self._last_turn_ticks = self.now - self._turn_began_at
        self.worst_turn = max(self.worst_turn, self._last_turn_ticks) if self.worst_turn >= 0 else 0
        poll_began_at = self.clock()
        found = self._poller.poll(timeout_ms)
        poll_ended_at = self.clock()
        self.now = max(self.now, poll_ended_at)
        self._polled_at = self.now
        poll_ticks = poll_ended_at - poll_began_at
        is_late = poll_ticks > timeout_ms * TICKS_PER_MILLISECOND + MAX_POLL_OVERRUN_TICKS
        self._standstill_ticks = poll_ticks if is_late else 0
        self._turn_began_at = self.now
        self.turn_number += 1
        for fd, events in found:
            self.wake(fd, events)

    def _run_due_timers(self) -> None:
        """Run the due timers, then the deferred callbacks.

        Called after each task, so a deferred callback runs right after the task that appended it.
        """
        while self._is_timer_due() and not self.stopped:
            timers = self._timers.pop(heappop(self._due_milliseconds))
            for due, method, arguments in sorted(timers, key=itemgetter(0)):
                self.worst_lag = max(self.worst_lag, self.now - due)
                self._call_guarded(method, arguments)
            self.update_now()
        while self.deferred_callbacks:
            # A new list, as a callback may append further callbacks.
            callbacks = self.deferred_callbacks
            self.deferred_callbacks = []
            for method in callbacks:
                self._call_guarded(method, ())

    def _is_timer_due(self) -> bool:
        """Return whether the next timers may run.

        A timer may end a time limit. After a standstill of the process, the limit may have been
        kept by input that is not read yet, so timers that are late wait for one poll and for the
        tasks that it makes ready.
        """
        if not self._due_milliseconds:
            return False
        due = TICKS_PER_MILLISECOND * self._due_milliseconds[0]
        is_late = self.now > due + MAX_TIMER_DELAY_TICKS
        return due <= self.now and (not is_late or due <= self._input_read_until)

    def worst_delays(self) -> str:
        """Return the largest timer delay and the longest turn, in ticks, as text for the log."""
        return f"worst_lag={self.worst_lag} worst_turn={self.worst_turn}"

    def run(self) -> None:
        """Run turns until `stopped` is set."""
        while not self.stopped:
            self.turn()

    def _call_guarded(self, method: Callback, arguments: Arguments) -> None:
        try:
            method(*arguments)
        except Exception:  # the loop must keep running for all other tasks
            self.on_exception()

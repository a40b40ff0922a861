"""Decides when a command under a lease starts, and when it must be terminated or killed.

Free of I/O: the caller passes the time, and the host acts on the process. The command must never
run past the time that the instance granted, counted from before the request to the instance.
"""

from enum import Enum
from typing import Protocol


class CommandState(Enum):
    """The phase of the command."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDING = "ending"
    OVER = "over"


class CommandHost(Protocol):
    """Actions on the process of the command."""

    def begin(self, fencing_token: int) -> None:
        """Start the process under this fencing token."""

    def terminate(self) -> None:
        """Send SIGTERM to the process."""

    def kill(self) -> None:
        """Send SIGKILL to the process."""


class LeasedCommand:
    """One command under a lease; times are seconds, and points in time are seconds since boot.

    `grace_seconds` is the time from SIGTERM to SIGKILL. `margin_seconds` is the time from SIGKILL
    to the end of the lease.
    """

    def __init__(self, host: CommandHost, grace_seconds: float, margin_seconds: float) -> None:
        self.host = host
        self.grace_seconds = grace_seconds
        self.margin_seconds = margin_seconds
        self.state = CommandState.WAITING
        self.fencing_token = 0
        self.held_until = 0.0
        self.end_reason = ""

    def on_answer(
        self, asked_at: float, is_held: bool, fencing_token: int, left_seconds: float
    ) -> None:
        """Handle the instance's reply to a request sent at `asked_at`.

        If `is_held`, the lease ends `left_seconds` after `asked_at`.
        """
        if not is_held:
            self._terminate("no longer held")
        elif self.state is CommandState.WAITING:
            # The command is terminated one grace period and margin before the lease ends, so with
            # no more time left it would be terminated at once. Twice that time is required, so that
            # the command can do some work before SIGTERM.
            if left_seconds > 2 * (self.grace_seconds + self.margin_seconds):
                self.state = CommandState.RUNNING
                self.fencing_token = fencing_token
                self.held_until = asked_at + left_seconds
                self.host.begin(fencing_token)
        elif self.state is CommandState.RUNNING:
            if fencing_token != self.fencing_token:
                # The lease was lost and acquired again, so another command may have run in between.
                self._terminate("held anew")
            else:
                self.held_until = max(self.held_until, asked_at + left_seconds)

    def check_deadlines(self, now: float) -> None:
        """Terminate or kill the command at its deadline, even if the instance does not reply."""
        if self.state is CommandState.RUNNING and now >= self._terminate_at():
            self._terminate("the time is nearly over")
        if self.state is CommandState.ENDING and now >= self._kill_at():
            self.state = CommandState.OVER
            self.host.kill()

    def seconds_to_next_check(self, now: float) -> float:
        """Return the seconds until the next deadline, or 1 if no command runs."""
        if self.state is CommandState.RUNNING:
            return max(self._terminate_at() - now, 0.0)
        if self.state is CommandState.ENDING:
            return max(self._kill_at() - now, 0.0)
        return 1.0

    def request_end(self, now: float) -> None:
        """Terminate the command at an operator's request, with no more than the grace period."""
        if self.state is CommandState.RUNNING:
            self.held_until = min(self.held_until, now + self.grace_seconds + self.margin_seconds)
            self._terminate("told to end")

    def on_exited(self) -> None:
        """Record that the process has exited."""
        self.state = CommandState.OVER

    def _terminate_at(self) -> float:
        return self.held_until - self.grace_seconds - self.margin_seconds

    def _kill_at(self) -> float:
        return self.held_until - self.margin_seconds

    def _terminate(self, reason: str) -> None:
        if self.state is CommandState.RUNNING:
            self.state = CommandState.ENDING
            self.end_reason = reason
            self.host.terminate()

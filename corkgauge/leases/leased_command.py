"""A command that runs under a lease: when it is begun, and when it must be over.

Owns that decision. Free of I/O: the clock is handed in, what to do is its host's. Must never let
the command run past the time that the instance granted, counted from before it was asked.
"""

from enum import Enum
from typing import Protocol


class CommandState(Enum):
    """Where the command is in its life."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDING = "ending"
    OVER = "over"


class CommandHost(Protocol):
    """What may be done with the command."""

    def begin(self, fencing_token: int) -> None:
        """Start it, under this fencing token."""

    def terminate(self) -> None:
        """Send it SIGTERM."""

    def kill(self) -> None:
        """Send it SIGKILL."""


class LeasedCommand:
    """One command. All times are seconds since boot, or seconds.

    `grace_seconds` is what the command has between SIGTERM and SIGKILL, `margin_seconds` what lies
    between SIGKILL and its death.
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
        """Take the instance's answer: the lease is held for so long from `asked_at` on."""
        if not is_held:
            self._terminate("no longer held")
        elif self.state is CommandState.WAITING:
            # What is begun with less than its grace left would have to be killed at once.
            if left_seconds > 2 * (self.grace_seconds + self.margin_seconds):
                self.state = CommandState.RUNNING
                self.fencing_token = fencing_token
                self.held_until = asked_at + left_seconds
                self.host.begin(fencing_token)
        elif self.state is CommandState.RUNNING:
            if fencing_token != self.fencing_token:
                # Lost and had again in between: another may have run meanwhile.
                self._terminate("held anew")
            else:
                self.held_until = max(self.held_until, asked_at + left_seconds)

    def check_deadlines(self, now: float) -> None:
        """Act on the time that goes by, answer or none."""
        if self.state is CommandState.RUNNING and now >= self._terminate_at():
            self._terminate("the time is nearly over")
        if self.state is CommandState.ENDING and now >= self._kill_at():
            self.state = CommandState.OVER
            self.host.kill()

    def seconds_to_next_check(self, now: float) -> float:
        """Return the seconds until time alone may change something."""
        if self.state is CommandState.RUNNING:
            return max(self._terminate_at() - now, 0.0)
        if self.state is CommandState.ENDING:
            return max(self._kill_at() - now, 0.0)
        return 1.0

    def request_end(self, now: float) -> None:
        """End it for an operator: it has its grace, and no longer."""
        if self.state is CommandState.RUNNING:
            self.held_until = min(self.held_until, now + self.grace_seconds + self.margin_seconds)
            self._terminate("told to end")

    def on_exited(self) -> None:
        """Note that the command has ended by itself, or as it was told."""
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

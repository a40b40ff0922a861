"""A command that runs under a duty: when it is begun, and when it must be over.

Owns that decision. Free of I/O: the clock is handed in, what to do is its host's. Must never let the command
run past the time that the gateway granted, counted from before it was asked.
"""

from typing import Protocol

WAITING, RUNNING, ENDING, OVER = range(4)


class Host(Protocol):
    """What may be done with the command."""

    def begin(self, fence: int) -> None: ...
    def terminate(self) -> None: ...
    def kill(self) -> None: ...


class LeasedCommand:
    """Times are seconds since boot. `grace` is what the command has between SIGTERM and SIGKILL, `margin`
    what lies between SIGKILL and its death."""

    def __init__(self, host: Host, grace: float, margin: float) -> None:
        self.host, self.grace, self.margin = host, grace, margin
        self.state, self.fence, self.until = WAITING, 0, 0.0
        self.why = ""

    def told(self, asked: float, held: bool, fence: int, left: float) -> None:
        """The gateway's answer to what was asked at `asked`: so long it is held from then on."""
        if not held:
            return self._end("no longer held")
        if self.state in (ENDING, OVER):
            return
        if self.state == WAITING:
            # Danger: what is begun with less than its grace left would have to be killed at once.
            if left > 2 * (self.grace + self.margin):
                self.state, self.fence, self.until = RUNNING, fence, asked + left
                self.host.begin(fence)
        elif fence != self.fence:
            # Danger: lost and had again in between, another may have run meanwhile.
            self._end("held anew")
        else:
            self.until = max(self.until, asked + left)

    def looked(self, now: float) -> None:
        """Time goes by, answer or none."""
        if self.state == RUNNING and now >= self.until - self.grace - self.margin:
            self._end("the time is nearly over")
        if self.state == ENDING and now >= self.until - self.margin:
            self.state = OVER
            self.host.kill()

    def next_look(self, now: float) -> float:
        """Seconds until time alone may change something."""
        if self.state == RUNNING:
            return max(self.until - self.grace - self.margin - now, 0.0)
        return max(self.until - self.margin - now, 0.0) if self.state == ENDING else 1.0

    def give_up(self, now: float) -> None:
        """An operator ends it: it has its grace, and no longer."""
        if self.state == RUNNING:
            self.until = min(self.until, now + self.grace + self.margin)
            self._end("told to end")

    def ended(self) -> None:
        """The command has ended by itself, or as it was told."""
        self.state = OVER

    def _end(self, why: str) -> None:
        if self.state == RUNNING:
            self.state, self.why = ENDING, why
            self.host.terminate()
